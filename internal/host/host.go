// Package host puts together what one node runs: callers' requests, the pools
// that it owns, and the feeds and links they live on.
package host

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/http/pprof"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"

	"cyclamenwheel/internal/attempts"
	"cyclamenwheel/internal/eventlog"
	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/fleetops"
	"cyclamenwheel/internal/ingress"
	"cyclamenwheel/internal/operator"
	"cyclamenwheel/internal/peer"
	"cyclamenwheel/internal/planlease"
	"cyclamenwheel/internal/published"
	"cyclamenwheel/internal/settings"
	"cyclamenwheel/internal/shards"
	"cyclamenwheel/internal/shutdown"
	"cyclamenwheel/internal/tenure"
	"cyclamenwheel/internal/version"
	"cyclamenwheel/platform"
)

const (
	// lease is how far ahead leases are renewed: it outlasts the change of a
	// pool's owner (its membership lapses, a claim, the first renewals) with room for
	// an answer that is lost.
	lease = 3500 * time.Millisecond
	// proofAge lets running tasks go on through an outage of the store as long
	// as a successor is willing to wait for them.
	proofAge = 5 * time.Second
	// memoryShare is the part of the memory limit at which the collector works
	// harder; the rest is for the network's buffers.
	memoryShare = 0.7
	// balancerNotice is how long the balancer takes to see that a node is not
	// ready: it asks each second and believes the second miss.
	balancerNotice = 2500 * time.Millisecond
	// linksLimit, dutiesLimit and logLimit bound the last steps of a stop: links
	// close, what still runs of the duties ends, and the rest of the log is written.
	linksLimit  = 400 * time.Millisecond
	dutiesLimit = 400 * time.Millisecond
	logLimit    = 300 * time.Millisecond
	// stopMargin is the part of the grace time that no step counts on: a node short
	// of processor time is late with each of them.
	stopMargin = 500 * time.Millisecond
	// leastClose is what requests in flight get however short the grace time is.
	leastClose = 300 * time.Millisecond
	// headerTimeout and idleTimeout hold until a configuration names others.
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
	maxHeader     = 16 << 10
)

// UnsupportedError says that the settings ask for something that this version
// does not do.
type UnsupportedError struct{ What string }

func (e *UnsupportedError) Error() string { return "not supported: " + e.What }

// Node is one process of the system.
type Node struct {
	set      settings.NodeSettings
	log      *slog.Logger
	client   *platform.Client
	peers    *peer.Node
	manager  *shards.Manager
	configs  *published.Keeper
	ingress  *ingress.Ingress
	stopping atomic.Bool
	inFlight inFlight

	mu        sync.Mutex
	endpoints map[string]platform.EndpointEntry
	waves     map[int]platform.Wave
	peersSeen map[string]seenPeer
}

// seenPeer is a member's address and when it was last one.
type seenPeer struct {
	addr string
	at   time.Duration
}

// Run runs a node until it is told to stop.
func Run(set settings.NodeSettings, path string) error {
	writer := eventlog.NewWriter(os.Stdout)
	defer writer.Close(logLimit)
	base := slog.NewJSONHandler(writer, &slog.HandlerOptions{Level: slog.LevelInfo})
	log := slog.New(eventlog.NewHandler(base)).With("node", set.Node, "zone", set.Zone)
	if set.Orders != "rpc" {
		return &UnsupportedError{What: "orders = " + set.Orders}
	}
	debug.SetMemoryLimit(int64(float64(set.Memory) * memoryShare))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n := &Node{set: set, log: log, client: platform.NewClient(set.Store, set.Instances, set.Advice),
		endpoints: map[string]platform.EndpointEntry{}, waves: map[int]platform.Wave{}, peersSeen: map[string]seenPeer{}}
	log.Info("starting", "version", version.Version, "settings", path)
	return n.run(ctx, cancel)
}

func (n *Node) run(ctx context.Context, cancel context.CancelFunc) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	boot := uuid.NewString()
	calls := &shards.Calls{}
	n.configs = published.New(published.Options{Peers: n.peerNames, Changed: n.configChanged, Logger: n.log,
		Strict: n.set.Bounds.StrictKeys, Revoke: n.set.Bounds.KeysUnconfirmed,
		Ask: func(ctx context.Context, name string, have int64) (published.Answer, error) {
			return published.AskPeer(ctx, n.peers, name, have)
		}})
	n.ingress = ingress.New(n.configs, calls, n.log)
	front, err := n.serve(n.set.CallersListen.String(), n.inFlight.bound(&platform.Front{Service: n.ingress}))
	if err != nil {
		return err
	}
	ready, err := n.serve(n.set.ReadyListen.String(), http.HandlerFunc(n.answerReady))
	if err != nil {
		return err
	}
	if err := n.link(ctx, boot, calls); err != nil {
		return err
	}
	observed, err := n.observe()
	if err != nil {
		return err
	}
	defer observed()
	var wg sync.WaitGroup
	membership, leave := context.WithCancel(ctx)
	wg.Go(func() { n.manager.Run(membership) })
	wg.Go(func() { n.followOperator(ctx) })
	wg.Go(func() { n.configs.Follow(ctx) })
	wg.Go(func() { n.followEndpoints(ctx) })
	n.log.Info("started", "boot", boot)
	n.await(signals)
	err = n.stop(front, ready, leave)
	cancel()
	n.awaitDuties(&wg)
	return err
}

// awaitDuties waits for what still runs, for a time: a call that nobody answers
// must not keep the process beyond its grace time, at the end of which it is killed
// with the rest of its log unwritten.
func (n *Node) awaitDuties(wg *sync.WaitGroup) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		wg.Wait()
	}()
	select {
	case <-ended:
	case <-time.After(dutiesLimit):
		n.log.Warn("stopped with duties under way")
	}
}

// closeLimit is what is left of the grace time for requests in flight, beside all
// other steps of a stop.
func closeLimit(grace time.Duration) time.Duration {
	return max(leastClose, grace-balancerNotice-linksLimit-dutiesLimit-2*logLimit-stopMargin)
}

// observe serves operators: a dump of the state on request, profiles of health
// and metrics on loopback, and metrics for collectors.
func (n *Node) observe() (stop func(), err error) {
	op, err := operator.New(operator.Options{
		Process: operator.Process{ID: n.set.Node, Deployment: n.set.Deployment, Zone: n.set.Zone, Version: version.Version},
		Listen:  n.set.OperatorListen, Logger: n.log,
	})
	if err != nil {
		return nil, err
	}
	op.SetReady(n.notReady)
	op.RegisterDump("duties", func() any { return n.manager.Status() })
	op.RegisterDump("pools", func() any { return n.manager.Dump() })
	op.RegisterDump("configuration", func() any { return n.ingress.Config() })
	op.RegisterDump("peers", func() any { return n.peers.Status() })
	// Profiles of a live process: the operators' port is on loopback.
	op.Handle("/debug/pprof/profile", http.HandlerFunc(pprof.Profile))
	op.Handle("/debug/pprof/heap", pprof.Handler("heap"))
	if err := op.Start(); err != nil {
		return nil, err
	}
	n.log.Info("operators served", "listen", op.Addr().String())
	closeOperator := func() {
		if err := op.Close(); err != nil {
			n.log.Warn("operators' server not closed", operator.Err(err))
		}
	}
	if !n.set.MetricsListen.IsValid() {
		return closeOperator, nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	server, err := n.serve(n.set.MetricsListen.String(), mux)
	if err != nil {
		return closeOperator, err
	}
	return func() {
		closeOperator()
		_ = server.Close() // nobody is owed an answer of it any more
	}, nil
}

func (n *Node) notReady() []string {
	switch {
	case n.stopping.Load():
		return []string{"stopping"}
	case n.ingress.Config() == nil:
		return []string{"no configuration"}
	}
	return nil
}

// await returns when the process is told to stop.
func (n *Node) await(signals <-chan os.Signal) {
	for s := range signals {
		if s != syscall.SIGHUP {
			n.log.Info("stopping", "signal", s.String())
			return
		}
		n.log.Info("reload asked for", "outcome", "settings that may change are read from the store")
	}
}

// link opens the links to peers and prepares the ownership of pools.
func (n *Node) link(ctx context.Context, boot string, calls *shards.Calls) error {
	tlsConfig, err := linkTLS(ctx, n.client, n.log, n.set.Deployment, n.set.Node)
	if err != nil {
		return err
	}
	n.peers, err = peer.NewNode(peer.Options{
		Self:       peer.Identity{ID: n.set.Node, Role: "entry", BootID: boot, Zone: n.set.Zone},
		Deployment: n.set.Deployment, TLS: tlsConfig, Listen: n.set.PeerListen.String(), Logger: n.log,
	})
	if err != nil {
		return err
	}
	addr := n.set.PeerListen.String()
	member := shards.MemberName(n.set.Node, addr, boot, time.Now(), n.set.Processor)
	store := tenure.Store{Journal: n.client, Attempts: attempts.NewPolicy()}
	n.manager = shards.NewManager(shards.Options{
		Node: n.set.Node, Addr: addr, Member: member,
		Membership: n.client, Store: store, Endpoints: n.client, Logger: n.log,
		Limits: executor.Limits{Lease: lease, ProofAge: proofAge, KeepEnded: n.set.Bounds.KeepEnded, StopTimeout: n.set.Bounds.StopTimeout,
			LongestLease: n.set.Bounds.LongestLease, CapacityMaxAge: n.set.Bounds.StableWindow + n.set.Bounds.Heartbeat},
		Fleet: func(ctx context.Context, duty shards.Duty) {
			fleetops.Run(ctx, fleetops.Options{Holder: n.set.Node, Member: member, Claims: duty, Claimed: duty.RecordClaim,
				Store: store, Cloud: n.client, Pools: calls, Facts: n.facts, Logger: n.log,
				Limits: fleetops.Limits{Holder: n.set.Node, MoveTime: n.set.Bounds.MoveTime, MaintainTime: n.set.Bounds.MaintainTime, HolderTTL: n.set.Bounds.HolderTTL}})
		},
		AskMembers: func(ctx context.Context, node string) (shards.MembersResult, error) {
			return shards.AskMembers(ctx, n.peers, node)
		},
		NotifyLeaving: func(ctx context.Context, node string) { shards.NotifyLeaving(ctx, n.peers, node, member) },
		OnPeers:       n.takePeers,
	})
	calls.Manager, calls.Peers = n.manager, n.peers
	n.manager.Register(n.peers)
	n.configs.Register(n.peers)
	return n.peers.Start()
}

// peerLinger is how long a node that is no longer a member stays a peer: calls
// that are on their way to it would otherwise be cut, and their callers left
// without knowing what became of them.
const peerLinger = 3 * time.Second

// takePeers sets the peers to the members of now and of just before.
func (n *Node) takePeers(members map[string]string) {
	n.mu.Lock()
	now := planlease.Boottime()
	for node, addr := range members {
		n.peersSeen[node] = seenPeer{addr, now}
	}
	peers := map[string]string{}
	for node, p := range n.peersSeen {
		if now-p.at > peerLinger {
			delete(n.peersSeen, node)
			continue
		}
		peers[node] = p.addr
	}
	n.mu.Unlock()
	if err := n.peers.SetPeers(peers); err != nil {
		n.log.Warn("peer left out", operator.Err(err))
	}
}

func (n *Node) serve(addr string, h http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, &operator.ListenError{Listen: addr, Cause: err}
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelWarn)}
	go func() {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			n.log.Error("server ended", "listen", addr, operator.Err(err))
		}
	}()
	return server, nil
}

// answerReady tells the balancer whether to send connections: not before a
// configuration is known, and not while stopping.
func (n *Node) answerReady(w http.ResponseWriter, _ *http.Request) {
	if len(n.notReady()) > 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// stop ends the node in order: pools go to others at once, while requests are
// still taken until the balancer sends no more.
func (n *Node) stop(front, ready *http.Server, leave context.CancelFunc) error {
	limit := closeLimit(n.set.Bounds.Grace)
	n.inFlight.closeAt(planlease.Boottime() + balancerNotice + limit)
	n.stopping.Store(true)
	leave()
	return shutdown.Run(context.Background(), n.log, []shutdown.Step{
		shutdown.Wait("balancer notices", balancerNotice),
		{Name: "requests end", Limit: limit, Run: front.Shutdown},
		{Name: "links close", Limit: linksLimit, Run: func(context.Context) error { return n.peers.Close() }},
		{Name: "readiness ends", Limit: logLimit, Run: ready.Shutdown},
	})
}
