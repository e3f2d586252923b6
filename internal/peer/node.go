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
	// Self identifies this process. Its ID and Role must match the certificate.
	Self Identity
	// Deployment is the deployment that certificates must name.
	Deployment string
	// TLS holds this process's certificate (or GetCertificate and
	// GetClientCertificate, for renewal) and RootCAs, the authorities that
	// verify peers in both directions. ClientCAs, if set, verifies accepted
	// connections instead.
	TLS *tls.Config
	// Listen is the UDP address to listen on, an IP address and a port.
	Listen string
	// TransferMemory bounds the memory of all requests above MaxOrdinary that are being read at the same
	// time, over all peers, in bytes; 0 for four of the largest. It must hold the largest message of any
	// kind that is handled.
	TransferMemory int64
	Logger         *slog.Logger
}

type nodeState uint8

const (
	stateNew nodeState = iota
	stateRunning
	stateClosing
	stateClosed
)

// Node holds this process's connections to and from its peers.
type Node struct {
	opts      Options
	log       *slog.Logger
	listenOn  netip.AddrPort
	serverTLS *tls.Config
	clientTLS *tls.Config
	registry  registry
	// noticeSeq numbers this process's notices. It belongs to the node and not
	// to a link, so that it never decreases while the process runs.
	noticeSeq      atomic.Uint64
	transferMemory *semaphore.Weighted

	udp       *net.UDPConn
	transport *quic.Transport
	listener  *quic.Listener
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup

	mu        sync.Mutex
	state     nodeState
	remotes   map[string]*remote
	incoming  map[string]*link
	boots     *bootTracker
	delivered map[string]*noticeSeqs
	// callsInFlight counts outgoing and incoming calls; idle is closed when it
	// reaches zero after Close began.
	callsInFlight int
	idle          chan struct{}
}

// NewNode checks the options and returns a node that is not started.
func NewNode(opts Options) (*Node, error) {
	listenOn, err := checkOptions(&opts)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Node{
		opts:           opts,
		log:            opts.Logger.With("component", "peer"),
		listenOn:       listenOn,
		serverTLS:      serverTLS(opts.TLS, opts.Deployment),
		clientTLS:      clientTLS(opts.TLS, opts.Deployment),
		transferMemory: semaphore.NewWeighted(opts.TransferMemory),
		ctx:            ctx,
		cancel:         cancel,
		remotes:        map[string]*remote{},
		incoming:       map[string]*link{},
		boots:          newBootTracker(),
		delivered:      map[string]*noticeSeqs{},
		idle:           make(chan struct{}),
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
	// Without RootCAs the library would trust every public authority.
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
	if opts.TransferMemory == 0 {
		opts.TransferMemory = defaultTransferMemory
	}
	return addr, nil
}

// Start begins to accept connections. Peers are dialled when the first message
// is sent to them.
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
	listener, err := transport.Listen(n.serverTLS, acceptConfig())
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

// dialConfig lets the accepting end open nothing but the stream that announces
// its shutdown: it sends messages over the connection that it dials itself. The
// dialling end alone keeps the connection alive; its probes and their
// acknowledgements show both ends that the other one lives. A process that many
// others are connected to has only their probes to answer.
func dialConfig() *quic.Config {
	c := commonConfig()
	c.KeepAlivePeriod = keepAlivePeriod
	c.MaxIncomingStreams = -1
	c.MaxIncomingUniStreams = 1
	return c
}

// LocalAddr returns the address that the node listens on, or nil before Start.
func (n *Node) LocalAddr() net.Addr {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.udp == nil {
		return nil
	}
	return n.udp.LocalAddr()
}

// Self returns this process's identity.
func (n *Node) Self() Identity { return n.opts.Self }

// SetPeers replaces the wanted peers, a map of ID to address (IP address and
// port). Connections to and from removed peers, and to a changed address, are
// closed. A peer with a malformed address is left out while the others apply;
// the first such address is returned as the error.
func (n *Node) SetPeers(peers map[string]string) error {
	wanted, firstErr := n.parsePeers(peers)
	for _, r := range n.replaceRemotes(wanted) {
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

// replaceRemotes installs the wanted set and returns the remotes that it
// removed.
func (n *Node) replaceRemotes(wanted map[string]netip.AddrPort) []*remote {
	n.mu.Lock()
	defer n.mu.Unlock()
	var removed []*remote
	for id, r := range n.remotes {
		addr, keep := wanted[id]
		if keep && addr == r.addr {
			continue
		}
		removed = append(removed, r)
		delete(n.remotes, id)
		if l := n.incoming[id]; l != nil && !keep {
			l.close(codeRemoved, "no longer a peer")
		}
	}
	if n.state >= stateClosing {
		return removed
	}
	for id, addr := range wanted {
		if n.remotes[id] == nil {
			n.remotes[id] = newRemote(n, id, addr)
		}
	}
	return removed
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

// spawn runs f in a goroutine unless the node is closing.
func (n *Node) spawn(f func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.state != stateRunning {
		return false
	}
	n.wg.Go(f)
	return true
}

// beginCall counts a call in flight unless the node is closing. Each successful
// beginCall needs an endCall.
func (n *Node) beginCall() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.state != stateRunning {
		return false
	}
	n.callsInFlight++
	return true
}

func (n *Node) endCall() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.callsInFlight--
	if n.callsInFlight == 0 && n.state >= stateClosing {
		close(n.idle)
	}
}

// Close shuts the node down gracefully: it accepts no new calls, announces the
// shutdown to the peers, waits up to closeGrace for calls in flight and closes
// all connections. It returns when all of the node's goroutines have ended.
func (n *Node) Close() error {
	incoming, remotes, ok := n.beginClose()
	if !ok {
		n.wg.Wait()
		return nil
	}
	grace := time.NewTimer(closeGrace)
	defer grace.Stop()
	for _, l := range incoming {
		l.sendGoAway()
	}
	for _, r := range remotes {
		r.drain()
	}
	n.awaitDrained(incoming, grace.C)
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
	if n.callsInFlight == 0 {
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

// awaitDrained waits until no call is in flight and the peers have closed their
// connections, which shows that they have read the last answers. Closing them
// from this side would discard answers in transit.
func (n *Node) awaitDrained(incoming []*link, grace <-chan time.Time) {
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
