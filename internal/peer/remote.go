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

// remote is a wanted peer: the connection dialled to it and its outbox.
type remote struct {
	node   *Node
	id     string
	addr   netip.AddrPort
	ctx    context.Context
	cancel context.CancelFunc
	outbox *outbox

	mu            sync.Mutex
	link          *link
	dialInFlight  *dialAttempt
	failedDials   int
	nextDialAt    time.Time
	lastDialErr   error
	senderRunning bool
}

// dialAttempt is one dial, shared by all callers that wait for it. It is not
// bound to the context of any of them, so that the short deadline of one caller
// doesn't fail the others.
type dialAttempt struct {
	done chan struct{}
	err  error
}

func newRemote(n *Node, id string, addr netip.AddrPort) *remote {
	ctx, cancel := context.WithCancel(n.ctx)
	return &remote{node: n, id: id, addr: addr, ctx: ctx, cancel: cancel, outbox: newOutbox()}
}

// acquire returns an open link on which a call has been begun, and dials if
// necessary. During the backoff after a failed dial it fails immediately: a
// caller with alternatives can use them at once, and an unreachable peer costs
// one dial per backoff delay regardless of the number of callers.
func (r *remote) acquire(ctx context.Context) (*link, error) {
	for {
		l, a, err := r.linkOrDial()
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

func (r *remote) linkOrDial() (*link, *dialAttempt, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link != nil && r.link.beginCall() {
		return r.link, nil, nil
	}
	if r.dialInFlight != nil {
		return nil, r.dialInFlight, nil
	}
	if wait := time.Until(r.nextDialAt); r.failedDials > 0 && wait > 0 {
		return nil, nil, &BackoffError{Wait: wait, Cause: r.lastDialErr}
	}
	a := &dialAttempt{done: make(chan struct{})}
	if !r.node.spawn(func() { r.runDial(a) }) {
		return nil, nil, &ClosedError{}
	}
	r.dialInFlight = a
	return nil, a, nil
}

// runDial dials once and publishes the result.
func (r *remote) runDial(a *dialAttempt) {
	l, err := r.dial()
	r.mu.Lock()
	r.dialInFlight = nil
	a.err = err
	if err != nil {
		r.failedDials++
		r.lastDialErr = err
		r.nextDialAt = time.Now().Add(backoff(r.failedDials, rand.Float64()))
	} else {
		r.failedDials, r.lastDialErr, r.link = 0, nil, l
		if r.ctx.Err() != nil { // removed during the dial
			l.close(codeRemoved, "no longer a peer")
		}
	}
	r.mu.Unlock()
	close(a.done)
	if err != nil {
		r.node.log.Debug("dial failed", "peer", r.id, "addr", r.addr.String(), "error", err.Error())
		return
	}
	r.superviseLink(l)
}

// superviseLink follows a dialled link until it closes. The only stream that
// the accepting end opens on it announces its shutdown.
func (r *remote) superviseLink(l *link) {
	r.node.wg.Go(func() {
		if _, err := l.conn.AcceptUniStream(l.conn.Context()); err == nil {
			l.drain()
		}
	})
	r.node.countUntilClosed(l)
}

func (r *remote) dial() (*link, error) {
	ctx, cancel := context.WithTimeout(r.ctx, 2*handshakeTimeout+helloTimeout)
	defer cancel()
	addr := net.UDPAddrFromAddrPort(r.addr)
	conn, err := r.node.transport.Dial(ctx, addr, r.node.clientTLS, dialConfig())
	if err != nil {
		return nil, linkError("dial", err)
	}
	l, err := r.dialHello(ctx, conn)
	if err != nil {
		_ = conn.CloseWithError(closeCodeFor(err), truncateDetail(err.Error()))
		return nil, err
	}
	return l, nil
}

// dialHello exchanges hellos and checks that the process at the address is the
// wanted one, as addresses can be reassigned to other instances.
func (r *remote) dialHello(ctx context.Context, conn *quic.Conn) (*link, error) {
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
	if err := readFrameInto(stream, maxHello, &answer); err != nil {
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

// closeCodeFor returns the code with which to close a connection after err.
func closeCodeFor(err error) quic.ApplicationErrorCode {
	var stale *StaleBootError
	var frameErr *FrameError
	var closed *ClosedError
	switch {
	case errors.As(err, &closed):
		return codeClosing
	case errors.As(err, &stale):
		return codeStaleBoot
	case errors.As(err, &frameErr):
		return codeMalformed
	default:
		return codeIdentity
	}
}

// closeOtherBoot closes the link if it is to another boot than the given one.
func (r *remote) closeOtherBoot(boot string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link != nil && r.link.peer.BootID != boot {
		r.link.close(codeSuperseded, "a newer boot is linked")
	}
}

// drain closes the link once its calls in flight have ended.
func (r *remote) drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link != nil {
		r.link.drain()
	}
}

// close closes the link and cancels whatever waits for it.
func (r *remote) close() {
	r.cancel()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link != nil {
		r.link.close(codeRemoved, "no longer a peer")
	}
}
