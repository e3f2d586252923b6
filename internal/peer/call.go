package peer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// callHeader is the first frame of a call; the request follows as the second.
type callHeader struct {
	Kind string `cbor:"1,keyasint"`
	// TimeoutMillis is how long the caller waits. It is a span and not a time,
	// as clocks differ.
	TimeoutMillis int64 `cbor:"2,keyasint"`
}

// answerHeader is the first frame of an answer. Where Type is empty the answer
// itself follows as the second.
type answerHeader struct {
	Type   string `cbor:"1,keyasint,omitempty"`
	Detail string `cbor:"2,keyasint,omitempty"`
}

// Call sends req and returns the answer of the peer's handler. Its errors tell
// how sure the failure is: *UnreachableError where the request was certainly
// not handled, *OutcomeUnknownError where it may have been, *RemoteError where
// the handler itself failed. A request that can't be encoded is
// *EncodeError or *TooLargeError and was not sent.
func Call[Req, Resp any](ctx context.Context, n *Node, peerID, kind string, req Req, opts ...KindOption) (Resp, error) {
	var resp Resp
	s := settings(opts)
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
	if !n.begin() {
		return nil, &UnreachableError{Peer: peerID, Kind: kind, Cause: &ClosedError{}}
	}
	defer n.end()
	l, stream, err := n.open(ctx, peerID)
	if err != nil {
		return nil, &UnreachableError{Peer: peerID, Kind: kind, Cause: err}
	}
	defer l.end()
	defer cancelStream(stream, streamCanceled) // no effect on a stream that has ended
	stop := context.AfterFunc(ctx, func() { cancelStream(stream, streamCanceled) })
	defer stop()

	if err := writeRequest(ctx, stream, kind, body); err != nil {
		return nil, &UnreachableError{Peer: peerID, Kind: kind, Cause: because(ctx, err)}
	}
	// The peer handles a request only once it has read the end of the stream.
	// Up to here the failure is certain; from here on it may have run. A
	// failure to end the stream shows in reading the answer, which can still
	// be there: a peer that doesn't know the kind says so before the end.
	_ = stream.Close()
	answer, err := readAnswer(stream, kind, limit)
	return answer, n.judgeAnswer(ctx, l, kind, err)
}

func (n *Node) open(ctx context.Context, peerID string) (*link, *quic.Stream, error) {
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
		l.end()
		return nil, nil, because(ctx, linkError("open", err))
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
	if err := readInto(stream, maxHeader, &head); err != nil {
		return nil, err
	}
	if head.Type != "" {
		return nil, &RemoteError{Kind: kind, Type: head.Type, Detail: head.Detail}
	}
	return readFrame(stream, limit)
}

// judgeAnswer says how sure a failure to read the answer is. A broken answer
// also closes the connection, as nothing on it can be trusted.
func (n *Node) judgeAnswer(ctx context.Context, l *link, kind string, err error) error {
	if err == nil {
		return nil
	}
	var remote *RemoteError
	if errors.As(err, &remote) {
		return remote
	}
	var stream *quic.StreamError
	if errors.As(err, &stream) && stream.Remote && stream.ErrorCode == streamRefused {
		refused := &RefusedError{Code: codeNames[codeClosing], Detail: "not taken"}
		return &UnreachableError{Peer: l.peer.ID, Kind: kind, Cause: refused}
	}
	var frame *FrameError
	if errors.As(err, &frame) {
		n.reportMalformed(l, err)
	}
	return &OutcomeUnknownError{Peer: l.peer.ID, Kind: kind, Cause: because(ctx, err)}
}

func (n *Node) reportMalformed(l *link, err error) {
	n.log.Warn("malformed input from a peer", "peer", l.peer.ID, "boot", l.peer.BootID, "error", err.Error())
	l.close(codeMalformed, err.Error())
}

// because prefers the end of the caller's context as the cause: the failure of
// the stream is then only its consequence.
func because(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

func cancelStream(stream *quic.Stream, code quic.StreamErrorCode) {
	stream.CancelRead(code)
	stream.CancelWrite(code)
}
