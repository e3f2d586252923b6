package peer

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// acceptLoop accepts connections until the listener closes. It continues during
// a shutdown, so that late connections are refused explicitly instead of timing
// out.
func (n *Node) acceptLoop() {
	for {
		conn, err := n.listener.Accept(n.ctx)
		if err != nil {
			return
		}
		if !n.spawn(func() { n.serveConn(conn) }) {
			_ = conn.CloseWithError(codeClosing, "shutdown")
		}
	}
}

func (n *Node) serveConn(conn *quic.Conn) {
	l, err := n.acceptHello(conn)
	if err != nil {
		n.log.Warn("connection rejected", "remote", conn.RemoteAddr().String(), "error", err.Error())
		_ = conn.CloseWithError(closeCodeFor(err), truncateDetail(err.Error()))
		return
	}
	n.wg.Go(func() { n.countUntilClosed(l) })
	n.wg.Go(func() { n.serveNotices(l) })
	n.serveCalls(l)
}

// acceptHello reads the hello of a new connection, answers it and installs the
// link. It closes an older link of the same process, which the dialling end
// must have abandoned, or it would not have dialled again.
func (n *Node) acceptHello(conn *quic.Conn) (*link, error) {
	ctx, cancel := context.WithTimeout(conn.Context(), helloTimeout)
	defer cancel()
	stream, err := conn.AcceptStream(ctx)
	if err != nil {
		return nil, linkError("hello", err)
	}
	if err := stream.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return nil, linkError("hello", err)
	}
	var h hello
	if err := readFrameInto(stream, maxHello, &h); err != nil {
		return nil, err
	}
	peer, err := n.checkHello(conn, h)
	if err != nil {
		return nil, err
	}
	l := &link{conn: conn, peer: peer}
	if err := n.installIncoming(l); err != nil {
		return nil, err
	}
	return l, writeHello(stream, n.opts.Self)
}

func (n *Node) installIncoming(l *link) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.state != stateRunning {
		return &ClosedError{}
	}
	if !n.boots.isCurrent(l.peer.ID, l.peer.BootID) {
		return &StaleBootError{ID: l.peer.ID, BootID: l.peer.BootID}
	}
	if older := n.incoming[l.peer.ID]; older != nil {
		older.close(codeSuperseded, "a newer connection is linked")
	}
	n.incoming[l.peer.ID] = l
	return nil
}

func (n *Node) serveCalls(l *link) {
	for {
		stream, err := l.conn.AcceptStream(l.conn.Context())
		if err != nil {
			return
		}
		accepted := time.Now()
		if !n.beginCall() {
			cancelStream(stream, streamRefused)
			continue
		}
		n.wg.Go(func() {
			defer n.endCall()
			n.serveCall(l, stream, accepted)
		})
	}
}

// serveCall handles the call of a stream that was accepted at the given time.
func (n *Node) serveCall(l *link, stream *quic.Stream, accepted time.Time) {
	defer stream.CancelRead(streamCanceled) // no effect if everything was read
	head, run, err := n.readRequest(l, stream, accepted)
	var frameErr *FrameError
	if errors.As(err, &frameErr) {
		n.closeMalformed(l, err)
		return
	}
	var linkErr *LinkError
	var expiredErr *expiredError
	if errors.As(err, &linkErr) || errors.As(err, &expiredErr) || !n.isCurrent(l.peer) {
		cancelStream(stream, streamRefused)
		return
	}
	var answer []byte
	if err == nil {
		answer, err = runHandler(stream, head, l.peer, accepted, run)
	}
	n.writeAnswer(stream, answer, err)
}

// droppedExpiredUndecoded is the reason for which calls are dropped undecoded, as
// a metric label.
const droppedExpiredUndecoded = "expired_undecoded"

type handlerFunc func(ctx context.Context, from Identity) ([]byte, error)

// readRequest reads a whole request up to the end of its stream. The kind
// determines the size limit before the body is read. A request whose caller's
// time has passed since the stream was accepted is not decoded: under overload,
// requests that no caller waits for would take the time of those in time.
func (n *Node) readRequest(l *link, stream *quic.Stream, accepted time.Time) (head callHeader, run handlerFunc, err error) {
	if err := stream.SetReadDeadline(time.Now().Add(requestReadTimeout)); err != nil {
		return head, nil, linkError("read", err)
	}
	if err := readFrameInto(stream, maxHeader, &head); err != nil {
		return head, nil, err
	}
	h, ok := n.registry.callHandler(head.Kind)
	if !ok {
		return head, nil, &UnknownKindError{Kind: head.Kind}
	}
	size, err := readLength(stream, h.limit)
	if err != nil {
		return head, nil, err
	}
	if size > MaxOrdinary {
		if err := n.transferMemory.Acquire(l.conn.Context(), int64(size)); err != nil {
			return head, nil, linkError("read", err)
		}
		defer n.transferMemory.Release(int64(size))
	}
	body, err := readBody(stream, size)
	if err != nil {
		return head, nil, err
	}
	if err := expectEOF(stream); err != nil {
		return head, nil, err
	}
	if waited := time.Since(accepted); head.expired(waited) {
		countExpired(head.Kind)
		return head, nil, &expiredError{Kind: head.Kind, Waited: waited}
	}
	run, err = h.decodeRequest(body)
	return head, run, err
}

// expired reports whether the caller no longer waits. A header without a time
// does not say.
func (h callHeader) expired(waited time.Duration) bool {
	return h.TimeoutMillis > 0 && waited >= time.Duration(h.TimeoutMillis)*time.Millisecond
}

// countExpired counts a call that was dropped undecoded. Kinds are bounded by
// the registered handlers.
func countExpired(kind string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("cyclamen_peer_calls_dropped_total{reason=%q,kind=%q}", droppedExpiredUndecoded, kind)).Inc()
}

// expectEOF checks that the request ends here. A caller that gave up before the
// end has reset the stream, and its request is not handled.
func expectEOF(stream io.Reader) error {
	var one [1]byte
	switch count, err := stream.Read(one[:]); {
	case count > 0:
		return &FrameError{Detail: "bytes after the request"}
	case errors.Is(err, io.EOF):
		return nil
	default:
		return linkError("read", err)
	}
}

// runHandler runs the handler, bounded by the time for which its caller waits
// since the stream was accepted, in case the caller's stream reset is lost.
// Handlers rely on the deadline to leave time for their answer.
func runHandler(stream *quic.Stream, head callHeader, from Identity, accepted time.Time, run handlerFunc) ([]byte, error) {
	timeout := min(time.Duration(head.TimeoutMillis)*time.Millisecond, defaultCallTimeout)
	ctx, cancel := context.WithDeadline(stream.Context(), accepted.Add(timeout))
	defer cancel()
	return run(ctx, from)
}

func (n *Node) writeAnswer(stream *quic.Stream, answer []byte, failure error) {
	var head answerHeader
	if failure != nil {
		head = answerHeader{Type: truncateDetail(remoteErrorType(failure)), Detail: truncateDetail(failure.Error())}
	}
	data, err := encode(head, maxHeader+2*maxDetail)
	if err != nil {
		cancelStream(stream, streamCanceled)
		return
	}
	buf := appendFrame(nil, data)
	if failure == nil {
		buf = appendFrame(buf, answer)
	}
	if _, err := stream.Write(buf); err != nil {
		return // the caller no longer waits
	}
	_ = stream.Close()
}
