// Package host assembles and runs one node: the HTTP server for callers'
// requests, the pools that the node owns, the feeds of operator and endpoint
// records and the peer links. Its input is the node settings, the records in
// the store and process signals; it decides when the node is ready and in which
// order it shuts down. The main function of cyclamen-node calls Run.
package host

import (
	"context"
	"log/slog"
	"math/rand/v2"
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

	"cyclamenwheel/internal/admission"
	"cyclamenwheel/internal/attempts"
	"cyclamenwheel/internal/eventlog"
	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/fleetops"
	"cyclamenwheel/internal/ingress"
	"cyclamenwheel/internal/intake"
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
	// leaseDuration is how far ahead leases are renewed. It outlasts a change
	// of a pool's owner (expiry of the old membership, a claim, the first
	// renewals) with a margin for one lost answer.
	leaseDuration = 3500 * time.Millisecond
	// ownershipProofAge lets running tasks continue through an outage of the
	// store for as long as a successor waits for them.
	ownershipProofAge = 5 * time.Second
	// balancerDetectTime is how long the balancer takes to detect that a node
	// is not ready: it checks every second and acts on the second failed check.
	balancerDetectTime = 2500 * time.Millisecond
	// linksCloseLimit, dutiesStopLimit and logFlushLimit bound the last steps
	// of a shutdown: closing the links, ending the background duties, and
	// writing the rest of the log.
	linksCloseLimit = 400 * time.Millisecond
	dutiesStopLimit = 400 * time.Millisecond
	logFlushLimit   = 300 * time.Millisecond
	// shutdownMargin is the part of the grace time reserved for delays: each
	// step runs late on a node short of CPU time.
	shutdownMargin = 500 * time.Millisecond
	// minDrainLimit is the minimum time for requests in flight, however short
	// the grace time is.
	minDrainLimit = 300 * time.Millisecond
	// incompleteShare is the inverse of the part of the time for requests in flight that is left when
	// incomplete ones are closed.
	incompleteShare = 2
	// transferShare is the inverse of the part of the memory that large messages of other nodes may take
	// while they arrive. minTransferMemory holds one of them.
	transferShare     = 16
	minTransferMemory = 1 << 20
	// headerTimeout and idleTimeout are the timeouts of all HTTP servers here.
	// The timeouts in a configuration's limits are not applied to them.
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
	maxHeader     = 16 << 10
)

// UnsupportedError reports a setting that this version does not support.
type UnsupportedError struct{ What string }

func (e *UnsupportedError) Error() string { return "not supported: " + e.What }

// Node is one process of the system.
type Node struct {
	set             settings.NodeSettings
	log             *slog.Logger
	client          *platform.Client
	peers           *peer.Node
	manager         *shards.Manager
	configs         *published.Keeper
	ingress         *ingress.Ingress
	gate            *admission.Gate // nil without overload control
	stopping        atomic.Bool
	requestDeadline requestDeadline
	clients         *intake.Guard
	endpoints       *endpointTable

	mu          sync.Mutex
	waves       map[int]platform.Wave
	recentPeers map[string]recentPeer
}

// recentPeer is the address of a current or recent member and the time when it
// was last seen as one.
type recentPeer struct {
	addr         string
	lastMemberAt time.Duration
}

// Run runs a node until the process receives a stop signal.
func Run(set settings.NodeSettings, path string) error {
	writer := eventlog.NewWriter(os.Stdout)
	defer writer.Close(logFlushLimit)
	base := slog.NewJSONHandler(writer, &slog.HandlerOptions{Level: slog.LevelInfo})
	log := slog.New(eventlog.NewHandler(base)).With("node", set.Node, "zone", set.Zone)
	if set.Orders != "rpc" {
		return &UnsupportedError{What: "orders = " + set.Orders}
	}
	debug.SetMemoryLimit(intake.CollectorLimit(set.Memory))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n := &Node{set: set, log: log, client: platform.NewClient(set.Store, set.Instances, set.Advice),
		clients: intake.NewGuard(set.Clients.Limits(), log), endpoints: newEndpointTable(), waves: map[int]platform.Wave{}, recentPeers: map[string]recentPeer{}}
	log.Info("starting", "version", version.Version, "settings", path)
	return n.run(ctx, cancel)
}

func (n *Node) run(ctx context.Context, cancel context.CancelFunc) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	boot := uuid.NewString()
	calls := &shards.Calls{OverloadControl: n.overloadControl()}
	n.configs = published.New(published.Options{Peers: n.peerNames, Changed: n.onConfigChanged, Logger: n.log,
		Strict: n.set.Bounds.StrictKeys, Revoke: n.set.Bounds.KeysUnconfirmed,
		Ask: func(ctx context.Context, name string, have int64) (published.Answer, error) {
			return published.AskPeer(ctx, n.peers, name, have)
		},
		AskEarlier: func(ctx context.Context, name string) ([]published.PastTable, error) {
			return published.AskPeerEarlier(ctx, n.peers, name)
		}})
	if n.overloadControl() {
		n.gate = admission.NewGate(rand.Uint64())
	}
	n.ingress = ingress.New(n.configs, calls, n.gate, n.log)
	front, err := n.startServer(n.set.CallersListen.String(), n.requestDeadline.wrap(&platform.Front{Service: n.ingress}))
	if err != nil {
		return err
	}
	ready, err := n.startServer(n.set.ReadyListen.String(), http.HandlerFunc(n.serveReadiness))
	if err != nil {
		return err
	}
	if err := n.startPeers(ctx, boot, calls); err != nil {
		return err
	}
	stopOperatorServer, err := n.startOperatorServer(calls)
	if err != nil {
		return err
	}
	defer stopOperatorServer()
	var wg sync.WaitGroup
	membership, leave := context.WithCancel(ctx)
	wg.Go(func() { n.manager.Run(membership) })
	wg.Go(func() { n.followOperator(ctx) })
	wg.Go(func() { n.configs.Follow(ctx) })
	wg.Go(func() { n.followEndpoints(ctx) })
	n.log.Info("started", "boot", boot)
	n.awaitStopSignal(signals)
	err = n.shutDown(front, ready, leave)
	cancel()
	n.awaitBackground(&wg)
	return err
}

// awaitBackground waits up to dutiesStopLimit for background goroutines: an
// unanswered call must not keep the process beyond its grace time, when it is
// killed and the rest of its log is lost.
func (n *Node) awaitBackground(wg *sync.WaitGroup) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		wg.Wait()
	}()
	select {
	case <-ended:
	case <-time.After(dutiesStopLimit):
		n.log.Warn("shutdown continues while background duties still run")
	}
}

// drainLimit returns the part of the grace time that remains for requests in
// flight after all other shutdown steps.
func drainLimit(grace time.Duration) time.Duration {
	return max(minDrainLimit, grace-balancerDetectTime-linksCloseLimit-dutiesStopLimit-2*logFlushLimit-shutdownMargin)
}

// startOperatorServer serves operators on loopback (state dumps, profiles,
// readiness and metrics) and, if configured, metrics for collectors on a port
// of its own.
func (n *Node) startOperatorServer(calls *shards.Calls) (stop func(), err error) {
	op, err := operator.New(operator.Options{
		Process: operator.Process{ID: n.set.Node, Deployment: n.set.Deployment, Zone: n.set.Zone, Version: version.Version},
		Listen:  n.set.OperatorListen, Logger: n.log, Clients: n.clients,
	})
	if err != nil {
		return nil, err
	}
	op.SetReady(n.notReadyReasons)
	op.RegisterDump("duties", func() any { return n.manager.Status() })
	op.RegisterDump("pools", func() any { return n.manager.Dump() })
	op.RegisterDump("configuration", func() any { return n.ingress.Config() })
	op.RegisterDump("gate", func() any { return n.dumpGate() })
	op.RegisterDump("owner_limits", func() any { return calls.OwnerLimits() })
	op.RegisterDump("peers", func() any { return n.peers.Status() })
	// Profiles of the running process are safe to serve here, as the operators'
	// port is on loopback.
	op.Handle("/debug/pprof/profile", http.HandlerFunc(pprof.Profile))
	op.Handle("/debug/pprof/heap", pprof.Handler("heap"))
	if err := op.Start(); err != nil {
		return nil, err
	}
	n.log.Info("operators served", "listen", op.Addr().String())
	closeOperator := func() {
		if err := op.Close(); err != nil {
			n.log.Warn("cannot close operator server", operator.Err(err))
		}
	}
	if !n.set.MetricsListen.IsValid() {
		return closeOperator, nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	server, err := n.startServer(n.set.MetricsListen.String(), mux)
	if err != nil {
		return closeOperator, err
	}
	return func() {
		closeOperator()
		_ = server.Close() // no request to it needs an answer during a shutdown
	}, nil
}

// dumpGate returns the classes of the gate, none without overload control.
func (n *Node) dumpGate() []admission.GateDump {
	if n.gate == nil {
		return []admission.GateDump{}
	}
	return n.gate.Dump(planlease.Boottime())
}

func (n *Node) notReadyReasons() []string {
	switch {
	case n.stopping.Load():
		return []string{"stopping"}
	case n.ingress.Config() == nil:
		return []string{"no configuration"}
	}
	return nil
}

// awaitStopSignal returns when the process receives a signal to stop.
func (n *Node) awaitStopSignal(signals <-chan os.Signal) {
	for s := range signals {
		if s != syscall.SIGHUP {
			n.log.Info("stopping", "signal", s.String())
			return
		}
		n.log.Info("reload signal ignored", "outcome", "changeable settings are read from the store")
	}
}

// startPeers starts the peer links and creates the pool manager.
func (n *Node) startPeers(ctx context.Context, boot string, calls *shards.Calls) error {
	tlsConfig, err := peerTLSConfig(ctx, n.client, n.log, n.set.Deployment, n.set.Node)
	if err != nil {
		return err
	}
	n.peers, err = peer.NewNode(peer.Options{
		Self:       peer.Identity{ID: n.set.Node, Role: "entry", BootID: boot, Zone: n.set.Zone},
		Deployment: n.set.Deployment, TLS: tlsConfig, Listen: n.set.PeerListen.String(), Logger: n.log,
		TransferMemory: max(minTransferMemory, n.set.Memory/transferShare),
	})
	if err != nil {
		return err
	}
	addr := n.set.PeerListen.String()
	member := shards.MemberName(n.set.Node, addr, boot, time.Now(), n.set.Processor)
	store := tenure.Store{Journal: n.client, Attempts: attempts.NewPolicy()}
	n.manager = shards.NewManager(shards.Options{
		Node: n.set.Node, Addr: addr, Member: member,
		Membership: n.client, Store: store, Endpoints: n.client, ListEndpoints: n.endpoints.list, Logger: n.log,
		Limits: executor.Limits{Lease: leaseDuration, ProofAge: ownershipProofAge, KeepEnded: n.set.Bounds.KeepEnded, StopTimeout: n.set.Bounds.StopTimeout,
			LongestLease: n.set.Bounds.LongestLease, CapacityMaxAge: n.set.Bounds.StableWindow + n.set.Bounds.Heartbeat, OverloadControl: n.overloadControl(),
			Memory: executor.NewJobMemory(n.set.JobMemory)},
		Fleet: func(ctx context.Context, duty shards.Duty) {
			fleetops.Run(ctx, fleetops.Options{Holder: n.set.Node, Member: member, Claims: duty, Claimed: duty.RecordClaim,
				Store: store, Cloud: n.client, Pools: calls, Facts: n.fleetFacts, Logger: n.log,
				Limits: fleetops.Limits{Holder: n.set.Node, MoveTime: n.set.Bounds.MoveTime, MaintainTime: n.set.Bounds.MaintainTime, HolderTTL: n.set.Bounds.HolderTTL,
					OrdersPerSecond: n.set.InstanceOrdersPerSecond}})
		},
		AskMembers: func(ctx context.Context, node string, in shards.MembersCall) (shards.MembersResult, error) {
			return shards.AskMembers(ctx, n.peers, node, in)
		},
		Config:        n.configs.Digest,
		Routes:        n.configs.Config,
		ObserveConfig: n.configs.ObserveDigest,
		NotifyLeaving: func(ctx context.Context, node string) { shards.NotifyLeaving(ctx, n.peers, node, member) },
		OnPeers:       n.updatePeers,
	})
	calls.Manager, calls.Peers = n.manager, n.peers
	n.manager.Register(n.peers)
	n.configs.Register(n.peers)
	return n.peers.Start()
}

// overloadControl reports whether overload control is in force.
func (n *Node) overloadControl() bool {
	switch n.set.OverloadControl {
	case settings.OverloadOn:
		return true
	case settings.OverloadOff:
		return false
	}
	return platform.OverloadControlInForce(n.set.Contracts)
}

// peerRemovalDelay is how long a node stays a peer after it stopped being a
// member. Removing it at once would cut calls in flight to it, and their
// callers would not know the outcome.
const peerRemovalDelay = 3 * time.Second

// updatePeers sets the peers to the current and the recent members.
func (n *Node) updatePeers(members map[string]string) {
	n.mu.Lock()
	now := planlease.Boottime()
	for node, addr := range members {
		n.recentPeers[node] = recentPeer{addr, now}
	}
	peers := map[string]string{}
	for node, p := range n.recentPeers {
		if now-p.lastMemberAt > peerRemovalDelay {
			delete(n.recentPeers, node)
			continue
		}
		peers[node] = p.addr
	}
	n.mu.Unlock()
	if err := n.peers.SetPeers(peers); err != nil {
		n.log.Warn("peer with an invalid address skipped", operator.Err(err))
	}
}

// startServer listens on addr and serves h in the background.
func (n *Node) startServer(addr string, h http.Handler) (*http.Server, error) {
	listener, err := n.clients.Listen(addr)
	if err != nil {
		return nil, &operator.ListenError{Listen: addr, Cause: err}
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelWarn)}
	n.clients.Protect(server)
	go func() {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			n.log.Error("HTTP server stopped unexpectedly", "listen", addr, operator.Err(err))
		}
	}()
	return server, nil
}

// serveReadiness answers the balancer's readiness check: a node is not ready
// before it has a configuration, nor while it shuts down.
func (n *Node) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if len(n.notReadyReasons()) > 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// shutDown stops the node in order: it releases the pools to other nodes at
// once, and still accepts requests until the balancer sends no more.
func (n *Node) shutDown(front, ready *http.Server, leave context.CancelFunc) error {
	limit := drainLimit(n.set.Bounds.Grace)
	n.requestDeadline.setCloseTime(planlease.Boottime() + balancerDetectTime + limit)
	n.stopping.Store(true)
	leave()
	return shutdown.Run(context.Background(), n.log, []shutdown.Step{
		shutdown.Wait("balancer notices", balancerDetectTime),
		{Name: "requests end", Limit: limit, Run: func(ctx context.Context) error { return n.endRequests(ctx, front, limit) }},
		{Name: "links close", Limit: linksCloseLimit, Run: func(context.Context) error { return n.peers.Close() }},
		{Name: "readiness ends", Limit: logFlushLimit, Run: ready.Shutdown},
	})
}

// endRequests lets the requests in flight end within limit. Near its end it closes those that have not
// arrived whole, so that the process does not wait for clients that never complete them.
func (n *Node) endRequests(ctx context.Context, front *http.Server, limit time.Duration) error {
	timer := time.AfterFunc(limit-limit/incompleteShare, n.clients.CloseIncomplete)
	defer timer.Stop()
	return front.Shutdown(ctx)
}
