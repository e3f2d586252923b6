package peer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// callHeader is the first frame of a call; the second frame is the request.
type callHeader struct {
	Kind string `cbor:"1,keyasint"`
	// TimeoutMillis is how long the caller waits. It is a duration and not a
	// point in time, because clocks differ.
	TimeoutMillis int64 `cbor:"2,keyasint"`
}

// answerHeader is the first frame of an answer. If Type is empty, the second
// frame is the answer itself; otherwise the call failed.
type answerHeader struct {
	Type   string `cbor:"1,keyasint,omitempty"`
	Detail string `cbor:"2,keyasint,omitempty"`
}

// Call sends req and returns the answer of the peer's handler. The error type
// tells whether the request may have been handled: *UnreachableError if it was
// certainly not, *OutcomeUnknownError if it may have been, *RemoteError if the
// handler returned an error. A request that can't be encoded fails with
// *EncodeError or *TooLargeError and is not sent.
func Call[Req, Resp any](ctx context.Context, n *Node, peerID, kind string, req Req, opts ...KindOption) (Resp, error) {
	var resp Resp
	s := applyOptions(opts)
	body, err := encode(req, s.limit)
	if err != nil {
		return resp, err
	}
	answer, err := n.call(ctx, peerID, kind, body, s.limit)
	if err != nil {
		return resp, err
	}
	if err := decode(answer, &resp); err != nil {
		return resp, &OutcomeUnknownError{Peer: peerID, Kind: kind, Cause: err}
	}
	return resp, nil
}

func (n *Node) call(ctx context.Context, peerID, kind string, body []byte, limit int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, defaultCallTimeout)
	defer cancel()
	if !n.beginCall() {
		return nil, &UnreachableError{Peer: peerID, Kind: kind, Cause: &ClosedError{}}
	}
	defer n.endCall()
	l, stream, err := n.openStream(ctx, peerID)
	if err != nil {
		return nil, &UnreachableError{Peer: peerID, Kind: kind, Cause: err}
	}
	defer l.endCall()
	defer cancelStream(stream, streamCanceled) // no effect on a finished stream
	stop := context.AfterFunc(ctx, func() { cancelStream(stream, streamCanceled) })
	defer stop()

	if err := writeRequest(ctx, stream, kind, body); err != nil {
		return nil, &UnreachableError{Peer: peerID, Kind: kind, Cause: preferContextError(ctx, err)}
	}
	// The peer handles a request only after reading the end of the stream. A
	// failure before this point means that it was not handled; after it, the
	// request may have run. An error of Close shows when the answer is read.
	// The answer may still arrive: a peer without a handler for the kind
	// answers before the end of the request.
	_ = stream.Close()
	answer, err := readAnswer(stream, kind, limit)
	return answer, n.classifyAnswerError(ctx, l, kind, err)
}

func (n *Node) openStream(ctx context.Context, peerID string) (*link, *quic.Stream, error) {
	r, err := n.remote(peerID)
	if err != nil {
		return nil, nil, err
	}
	l, err := r.acquire(ctx)
	if err != nil {
		return nil, nil, err
	}
	stream, err := l.conn.OpenStreamSync(ctx)
	if err != nil {
		l.endCall()
		return nil, nil, preferContextError(ctx, linkError("open", err))
	}
	return l, stream, nil
}

func writeRequest(ctx context.Context, stream *quic.Stream, kind string, body []byte) error {
	head := callHeader{Kind: kind}
	if deadline, ok := ctx.Deadline(); ok {
		head.TimeoutMillis = max(1, time.Until(deadline).Milliseconds())
	}
	data, err := encode(head, maxHeader)
	if err != nil {
		return err
	}
	buf := appendFrame(appendFrame(nil, data), body)
	if _, err := stream.Write(buf); err != nil {
		return linkError("write", err)
	}
	return nil
}

func readAnswer(stream *quic.Stream, kind string, limit int) ([]byte, error) {
	var head answerHeader
	if err := readFrameInto(stream, maxHeader, &head); err != nil {
		return nil, err
	}
	if head.Type != "" {
		return nil, &RemoteError{Kind: kind, Type: head.Type, Detail: head.Detail}
	}
	return readFrame(stream, limit)
}

// classifyAnswerError turns a failure to read the answer into the error type
// that tells whether the request may have been handled. A malformed answer also
// closes the connection, as nothing on it can be trusted.
func (n *Node) classifyAnswerError(ctx context.Context, l *link, kind string, err error) error {
	if err == nil {
		return nil
	}
	var remoteErr *RemoteError
	if errors.As(err, &remoteErr) {
		return remoteErr
	}
	var streamErr *quic.StreamError
	if errors.As(err, &streamErr) && streamErr.Remote && streamErr.ErrorCode == streamRefused {
		refused := &RefusedError{Code: codeNames[codeClosing], Detail: "request not accepted"}
		return &UnreachableError{Peer: l.peer.ID, Kind: kind, Cause: refused}
	}
	var frameErr *FrameError
	if errors.As(err, &frameErr) {
		n.closeMalformed(l, err)
	}
	return &OutcomeUnknownError{Peer: l.peer.ID, Kind: kind, Cause: preferContextError(ctx, err)}
}

func (n *Node) closeMalformed(l *link, err error) {
	n.log.Warn("peer sent malformed input; closing its connection", "peer", l.peer.ID, "boot", l.peer.BootID, "error", err.Error())
	l.close(codeMalformed, err.Error())
}

// preferContextError returns the error of the caller's context if it has ended,
// because the stream's failure is then only a consequence, and err otherwise.
func preferContextError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

func cancelStream(stream *quic.Stream, code quic.StreamErrorCode) {
	stream.CancelRead(code)
	stream.CancelWrite(code)
}
