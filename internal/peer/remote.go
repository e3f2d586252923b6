package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// remote is a wanted peer: the connection dialled to it, and its notices.
type remote struct {
	node   *Node
	id     string
	addr   netip.AddrPort
	ctx    context.Context
	cancel context.CancelFunc
	outbox *outbox

	mu       sync.Mutex
	link     *link
	attempt  *attempt
	failures int
	retryAt  time.Time
	lastErr  error
	sending  bool
}

// attempt is one dial, shared by all who wait for it. It is not bound to the
// context of any of them: one caller's short deadline doesn't fail the others.
type attempt struct {
	done chan struct{}
	err  error
}

func newRemote(n *Node, id string, addr netip.AddrPort) *remote {
	ctx, cancel := context.WithCancel(n.ctx)
	return &remote{node: n, id: id, addr: addr, ctx: ctx, cancel: cancel, outbox: newOutbox()}
}

// acquire returns a live link on which a call has been begun, dialling if need
// be. In the pause after a failed dial it fails at once: a caller with other
// choices learns of it now, and a dead peer costs one dial per pause however
// many callers there are.
func (r *remote) acquire(ctx context.Context) (*link, error) {
	for {
		l, a, err := r.linkOrAttempt()
		if err != nil {
			return nil, err
		}
		if l != nil {
			return l, nil
		}
		select {
		case <-a.done:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if a.err != nil {
			return nil, a.err
		}
	}
}

func (r *remote) linkOrAttempt() (*link, *attempt, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link != nil && r.link.begin() {
		return r.link, nil, nil
	}
	if r.attempt != nil {
		return nil, r.attempt, nil
	}
	if wait := time.Until(r.retryAt); r.failures > 0 && wait > 0 {
		return nil, nil, &BackoffError{Wait: wait, Cause: r.lastErr}
	}
	a := &attempt{done: make(chan struct{})}
	if !r.node.spawn(func() { r.run(a) }) {
		return nil, nil, &ClosedError{}
	}
	r.attempt = a
	return nil, a, nil
}

// run dials once and publishes the outcome.
func (r *remote) run(a *attempt) {
	l, err := r.dial()
	r.mu.Lock()
	r.attempt = nil
	a.err = err
	if err != nil {
		r.failures++
		r.lastErr = err
		r.retryAt = time.Now().Add(backoff(r.failures, rand.Float64()))
	} else {
		r.failures, r.lastErr, r.link = 0, nil, l
		if r.ctx.Err() != nil { // removed while it was being dialled
			l.close(codeRemoved, "no longer a peer")
		}
	}
	r.mu.Unlock()
	close(a.done)
	if err != nil {
		r.node.log.Debug("dial failed", "peer", r.id, "addr", r.addr.String(), "error", err.Error())
		return
	}
	r.attend(l)
}

// attend watches a dialled link until it ends. The only stream that the other
// end opens on it says that it is shutting down.
func (r *remote) attend(l *link) {
	r.node.wg.Go(func() {
		if _, err := l.conn.AcceptUniStream(l.conn.Context()); err == nil {
			l.drain()
		}
	})
	r.node.watch(l)
}

func (r *remote) dial() (*link, error) {
	ctx, cancel := context.WithTimeout(r.ctx, 2*handshakeTimeout+helloTimeout)
	defer cancel()
	addr := net.UDPAddrFromAddrPort(r.addr)
	conn, err := r.node.transport.Dial(ctx, addr, r.node.clientTL, dialConfig())
	if err != nil {
		return nil, linkError("dial", err)
	}
	l, err := r.greet(ctx, conn)
	if err != nil {
		_ = conn.CloseWithError(codeOf(err), clip(err.Error()))
		return nil, err
	}
	return l, nil
}

// greet exchanges hellos and checks that the process at the address is the one
// wanted: addresses are given to other instances in time.
func (r *remote) greet(ctx context.Context, conn *quic.Conn) (*link, error) {
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, linkError("hello", err)
	}
	if err := stream.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return nil, linkError("hello", err)
	}
	if err := writeHello(stream, r.node.opts.Self); err != nil {
		return nil, err
	}
	var answer hello
	if err := readInto(stream, maxHello, &answer); err != nil {
		return nil, err
	}
	peer, err := r.node.checkHello(conn, answer)
	if err != nil {
		return nil, err
	}
	if peer.ID != r.id {
		return nil, &IdentityError{Want: r.id, Got: peer.ID}
	}
	return &link{conn: conn, peer: peer}, nil
}

func writeHello(stream *quic.Stream, self Identity) error {
	data, err := encode(hello{Self: self}, maxHello)
	if err != nil {
		return err
	}
	if _, err := stream.Write(appendFrame(nil, data)); err != nil {
		return linkError("hello", err)
	}
	return closeStream(stream)
}

func closeStream(stream interface{ Close() error }) error {
	if err := stream.Close(); err != nil {
		return linkError("close", err)
	}
	return nil
}

// codeOf returns the code to close a connection with after err.
func codeOf(err error) quic.ApplicationErrorCode {
	var stale *StaleBootError
	var frame *FrameError
	var closed *ClosedError
	switch {
	case errors.As(err, &closed):
		return codeClosing
	case errors.As(err, &stale):
		return codeStaleBoot
	case errors.As(err, &frame):
		return codeMalformed
	default:
		return codeIdentity
	}
}

// dropOlder closes the link if it leads to another boot than the given one.
func (r *remote) dropOlder(boot string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link != nil && r.link.peer.BootID != boot {
		r.link.close(codeSuperseded, "a newer boot is linked")
	}
}

// drain lets the calls on the link end.
func (r *remote) drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link != nil {
		r.link.drain()
	}
}

// close ends the link and whatever waits for it.
func (r *remote) close() {
	r.cancel()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link != nil {
		r.link.close(codeRemoved, "no longer a peer")
	}
}
