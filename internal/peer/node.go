package peer

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"golang.org/x/sync/semaphore"
)

// Options configure a node.
type Options struct {
	// Self is this process. Its ID and Role are those of the certificate.
	Self Identity
	// Deployment is the one that certificates must name.
	Deployment string
	// TLS holds this process's certificate (also by GetCertificate and
	// GetClientCertificate, for renewal) and RootCAs, the authorities of the
	// peers' certificates at both ends; ClientCAs, where set, is used for
	// accepting instead.
	TLS *tls.Config
	// Listen is the UDP address to listen on, an IP number and a port.
	Listen string
	Logger *slog.Logger
}

type nodeState uint8

const (
	stateNew nodeState = iota
	stateRunning
	stateClosing
	stateClosed
)

// Node is this process's end of the links to its peers.
type Node struct {
	opts     Options
	log      *slog.Logger
	listenOn netip.AddrPort
	serverTL *tls.Config
	clientTL *tls.Config
	registry registry
	// noticeSeq numbers this process's notices. It belongs to the node, so
	// that it never falls while the process lives, whatever links come and go.
	noticeSeq atomic.Uint64
	budget    *semaphore.Weighted

	udp       *net.UDPConn
	transport *quic.Transport
	listener  *quic.Listener
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup

	mu       sync.Mutex
	state    nodeState
	remotes  map[string]*remote
	incoming map[string]*link
	boots    *boots
	seen     map[string]*noticeSeqs
	// inflight counts calls at both ends; idle is closed when it has fallen to
	// zero after Close began.
	inflight int
	idle     chan struct{}
}

// NewNode checks the options and returns a node that is not yet started.
func NewNode(opts Options) (*Node, error) {
	listenOn, err := checkOptions(&opts)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Node{
		opts:     opts,
		log:      opts.Logger.With("component", "peer"),
		listenOn: listenOn,
		serverTL: serverTLS(opts.TLS, opts.Deployment),
		clientTL: clientTLS(opts.TLS, opts.Deployment),
		budget:   semaphore.NewWeighted(transferBudget),
		ctx:      ctx,
		cancel:   cancel,
		remotes:  map[string]*remote{},
		incoming: map[string]*link{},
		boots:    newBoots(),
		seen:     map[string]*noticeSeqs{},
		idle:     make(chan struct{}),
	}, nil
}

func checkOptions(opts *Options) (netip.AddrPort, error) {
	var none netip.AddrPort
	if opts.Self.ID == "" || opts.Self.Role == "" || opts.Self.BootID == "" {
		return none, &OptionsError{Option: "Self", Detail: "needs ID, Role and BootID"}
	}
	if opts.Deployment == "" {
		return none, &OptionsError{Option: "Deployment", Detail: "is empty"}
	}
	// Without roots the library would trust every public authority.
	if opts.TLS == nil || opts.TLS.RootCAs == nil {
		return none, &OptionsError{Option: "TLS", Detail: "needs RootCAs"}
	}
	addr, err := netip.ParseAddrPort(opts.Listen)
	if err != nil {
		return none, &OptionsError{Option: "Listen", Detail: err.Error()}
	}
	if opts.Logger == nil {
		opts.Logger = slog.Default()
	}
	return addr, nil
}

// Start listens. Peers are dialled when there is something to say to them.
func (n *Node) Start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.state != stateNew {
		return &ClosedError{}
	}
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(n.listenOn))
	if err != nil {
		return &LinkError{Op: "listen", Cause: err}
	}
	transport := &quic.Transport{Conn: udp}
	listener, err := transport.Listen(n.serverTL, acceptConfig())
	if err != nil {
		return errors.CombineErrors(&LinkError{Op: "listen", Cause: err}, udp.Close())
	}
	n.udp, n.transport, n.listener = udp, transport, listener
	n.state = stateRunning
	n.wg.Go(n.acceptLoop)
	return nil
}

func commonConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		KeepAlivePeriod:                keepAlivePeriod,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: connectionWindow,
		MaxConnectionReceiveWindow:     maxConnectionWindow,
	}
}

func acceptConfig() *quic.Config {
	c := commonConfig()
	c.MaxIncomingStreams = maxCallsPerConnection
	c.MaxIncomingUniStreams = maxNoticeStreams
	return c
}

// dialConfig lets the peer open nothing but the stream that announces its
// shutdown: what it has to say goes over its own connection.
func dialConfig() *quic.Config {
	c := commonConfig()
	c.MaxIncomingStreams = -1
	c.MaxIncomingUniStreams = 1
	return c
}

// LocalAddr is the address that the node listens on, or nil before Start.
func (n *Node) LocalAddr() net.Addr {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.udp == nil {
		return nil
	}
	return n.udp.LocalAddr()
}

// Self is this process's identity.
func (n *Node) Self() Identity { return n.opts.Self }

// SetPeers replaces the wanted peers: id to address (IP number and port).
// Connections to and from removed ones, and to a changed address, are closed.
// A malformed address leaves its peer out; the others still apply, and the
// first such address is the error.
func (n *Node) SetPeers(peers map[string]string) error {
	wanted, firstErr := n.parsePeers(peers)
	for _, r := range n.swapRemotes(wanted) {
		r.close()
	}
	return firstErr
}

func (n *Node) parsePeers(peers map[string]string) (map[string]netip.AddrPort, error) {
	wanted := make(map[string]netip.AddrPort, len(peers))
	var firstErr error
	for id, addr := range peers {
		if id == n.opts.Self.ID {
			continue
		}
		parsed, err := netip.ParseAddrPort(addr)
		if err != nil {
			if firstErr == nil {
				firstErr = &OptionsError{Option: "peer " + id, Detail: err.Error()}
			}
			continue
		}
		wanted[id] = parsed
	}
	return wanted, firstErr
}

// swapRemotes installs the wanted set and returns what it displaced.
func (n *Node) swapRemotes(wanted map[string]netip.AddrPort) []*remote {
	n.mu.Lock()
	defer n.mu.Unlock()
	var displaced []*remote
	for id, r := range n.remotes {
		addr, keep := wanted[id]
		if keep && addr == r.addr {
			continue
		}
		displaced = append(displaced, r)
		delete(n.remotes, id)
		if l := n.incoming[id]; l != nil && !keep {
			l.close(codeRemoved, "no longer a peer")
		}
	}
	if n.state >= stateClosing {
		return displaced
	}
	for id, addr := range wanted {
		if n.remotes[id] == nil {
			n.remotes[id] = newRemote(n, id, addr)
		}
	}
	return displaced
}

func (n *Node) remote(id string) (*remote, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.state != stateRunning {
		return nil, &ClosedError{}
	}
	if r := n.remotes[id]; r != nil {
		return r, nil
	}
	return nil, &UnknownPeerError{ID: id}
}

// spawn runs f in the background unless the node is closing.
func (n *Node) spawn(f func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.state != stateRunning {
		return false
	}
	n.wg.Go(f)
	return true
}

// begin counts a call in flight unless the node is closing; end follows it.
func (n *Node) begin() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.state != stateRunning {
		return false
	}
	n.inflight++
	return true
}

func (n *Node) end() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inflight--
	if n.inflight == 0 && n.state >= stateClosing {
		close(n.idle)
	}
}

// Close ends the node gracefully: no new calls, the peers are told, calls in
// flight may end within a grace period, then all connections close. It returns
// when nothing of the node runs any more.
func (n *Node) Close() error {
	incoming, remotes, ok := n.beginClose()
	if !ok {
		n.wg.Wait()
		return nil
	}
	grace := time.NewTimer(closeGrace)
	defer grace.Stop()
	for _, l := range incoming {
		l.goAway()
	}
	for _, r := range remotes {
		r.drain()
	}
	n.awaitQuiet(incoming, grace.C)
	n.cancel()
	for _, r := range remotes {
		r.close()
	}
	err := n.closeTransport()
	n.wg.Wait()
	return err
}

func (n *Node) beginClose() (incoming []*link, remotes []*remote, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.state != stateRunning {
		if n.state == stateNew {
			n.state = stateClosed
			n.cancel()
		}
		return nil, nil, false
	}
	n.state = stateClosing
	if n.inflight == 0 {
		close(n.idle)
	}
	for _, l := range n.incoming {
		incoming = append(incoming, l)
	}
	for _, r := range n.remotes {
		remotes = append(remotes, r)
	}
	return incoming, remotes, true
}

// awaitQuiet waits until no call is in flight and the peers have closed their
// connections, which tells that they have read the last answers. Closing from
// this side would discard answers still on their way.
func (n *Node) awaitQuiet(incoming []*link, grace <-chan time.Time) {
	select {
	case <-n.idle:
	case <-grace:
		return
	}
	for _, l := range incoming {
		select {
		case <-l.conn.Context().Done():
		case <-grace:
			return
		}
	}
}

func (n *Node) closeTransport() error {
	n.mu.Lock()
	n.state = stateClosed
	for _, l := range n.incoming {
		l.close(codeClosing, "shutdown")
	}
	n.mu.Unlock()
	err := n.listener.Close()
	err = errors.CombineErrors(err, n.transport.Close())
	err = errors.CombineErrors(err, n.udp.Close())
	if err != nil {
		return &LinkError{Op: "close", Cause: err}
	}
	return nil
}
