package peer

import (
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// noticeHeader is the frame before each notice on a notice stream.
type noticeHeader struct {
	Kind string `cbor:"1,keyasint"`
	Seq  uint64 `cbor:"2,keyasint"`
}

type notice struct {
	kind string
	seq  uint64
	body []byte
}

// outbox holds the notices that wait for a peer, at most one of each kind. A
// slow, frozen or unreachable peer therefore costs its senders neither memory
// nor time, and receives the newest notices when it is back.
type outbox struct {
	mu      sync.Mutex
	pending map[string]notice
	order   []string
	signal  chan struct{}
}

func newOutbox() *outbox {
	return &outbox{pending: map[string]notice{}, signal: make(chan struct{}, 1)}
}

// put queues a notice, replacing an older one of the same kind.
func (o *outbox) put(m notice) {
	o.mu.Lock()
	defer o.mu.Unlock()
	waiting, ok := o.pending[m.kind]
	if ok && waiting.seq > m.seq {
		return
	}
	if !ok {
		o.order = append(o.order, m.kind)
	}
	o.pending[m.kind] = m
	select {
	case o.signal <- struct{}{}:
	default:
	}
}

// pop removes and returns the notice whose kind has waited longest.
func (o *outbox) pop() (notice, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.order) == 0 {
		return notice{}, false
	}
	kind := o.order[0]
	o.order = o.order[1:]
	m := o.pending[kind]
	delete(o.pending, kind)
	return m, true
}

func (o *outbox) len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.order)
}

// Notify sends m one way. It never blocks; of several notices of one kind that
// wait for the same peer only the newest is sent. A notice can be lost with its
// connection, so senders must repeat what matters.
func Notify[M any](n *Node, peerID, kind string, m M, opts ...KindOption) error {
	if len(kind) > maxKind {
		return &TooLargeError{Size: len(kind), Limit: maxKind}
	}
	body, err := encode(m, applyOptions(opts).limit)
	if err != nil {
		return err
	}
	r, err := n.remote(peerID)
	if err != nil {
		return &UnreachableError{Peer: peerID, Kind: kind, Cause: err}
	}
	r.outbox.put(notice{kind: kind, seq: n.noticeSeq.Add(1), body: body})
	r.ensureSender()
	return nil
}

func (r *remote) ensureSender() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.senderRunning {
		r.senderRunning = r.node.spawn(r.sendNotices)
	}
}

// sendNotices sends the notices of the outbox until the peer is removed.
func (r *remote) sendNotices() {
	for {
		select {
		case <-r.outbox.signal:
		case <-r.ctx.Done():
			return
		}
		for r.outbox.len() > 0 && r.ctx.Err() == nil {
			if err := r.sendOverLink(); err != nil {
				r.awaitNextDial(err)
			}
		}
	}
}

// awaitNextDial waits until the next dial is due.
func (r *remote) awaitNextDial(err error) {
	wait := backoffBase
	var backoffErr *BackoffError
	if errors.As(err, &backoffErr) {
		wait = backoffErr.Wait
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.ctx.Done():
	}
}

// sendOverLink sends notices on one stream until the link fails or the peer is
// removed. The stream stays open while there is nothing to send.
func (r *remote) sendOverLink() error {
	l, err := r.acquire(r.ctx)
	if err != nil {
		return err
	}
	l.endCall() // a notice stream must not keep a draining link open
	stream, err := l.conn.OpenUniStreamSync(r.ctx)
	if err != nil {
		return linkError("open", err)
	}
	defer func() { _ = stream.Close() }()
	for l.usable() {
		m, ok := r.outbox.pop()
		if !ok {
			select {
			case <-r.outbox.signal:
			case <-l.conn.Context().Done():
			case <-r.ctx.Done():
				return r.ctx.Err()
			}
			continue
		}
		if err := writeNotice(stream, m); err != nil {
			r.outbox.put(m)
			return err
		}
	}
	return nil
}

func writeNotice(stream *quic.SendStream, m notice) error {
	data, err := encode(noticeHeader{Kind: m.kind, Seq: m.seq}, maxHeader)
	if err != nil {
		return err
	}
	if _, err := stream.Write(appendFrame(appendFrame(nil, data), m.body)); err != nil {
		return linkError("write", err)
	}
	return nil
}

// serveNotices accepts and reads the peer's notice streams.
func (n *Node) serveNotices(l *link) {
	for {
		stream, err := l.conn.AcceptUniStream(l.conn.Context())
		if err != nil {
			return
		}
		n.wg.Go(func() {
			err := n.readNotices(l, stream)
			var frameErr *FrameError
			if errors.As(err, &frameErr) {
				n.closeMalformed(l, err)
			}
		})
	}
}

func (n *Node) readNotices(l *link, stream io.Reader) error {
	for {
		var head noticeHeader
		if err := readFrameInto(stream, maxHeader, &head); err != nil {
			if errors.Is(err, io.EOF) {
				return nil // the stream ended between two notices
			}
			return err
		}
		h, ok := n.registry.noticeHandler(head.Kind)
		limit := MaxOrdinary
		if ok {
			limit = h.limit
		}
		body, err := readFrame(stream, limit)
		if err != nil {
			return err
		}
		if !ok || !n.recordIfNewest(l.peer, head) {
			continue
		}
		if err := n.deliver(l, h, head, body); err != nil {
			return err
		}
	}
}

// deliver runs the handler. A notice that doesn't match the handler's type,
// because the peer runs another version, is logged and dropped: a notice is
// one-way, so its sender can't be informed.
func (n *Node) deliver(l *link, h noticeHandler, head noticeHeader, body []byte) error {
	err := h.decodeAndRun(l.peer, body)
	var decodeErr *DecodeError
	if errors.As(err, &decodeErr) {
		n.log.Warn("notice does not match its type; dropped", "peer", l.peer.ID, "kind", head.Kind, "error", err.Error())
		return nil
	}
	return err
}

// noticeSeqs holds the highest sequence number delivered from one boot, by
// kind.
type noticeSeqs struct {
	bootID string
	byKind map[string]uint64
}

// recordIfNewest reports whether a notice is to be delivered, and records its
// sequence number if so. The stream of a broken link can still be read while
// its successor is, so an older notice can arrive last. Notices of a replaced
// boot are dropped.
func (n *Node) recordIfNewest(from Identity, head noticeHeader) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.boots.isCurrent(from.ID, from.BootID) {
		return false
	}
	s := n.delivered[from.ID]
	if s == nil || s.bootID != from.BootID {
		s = &noticeSeqs{bootID: from.BootID, byKind: map[string]uint64{}}
		n.delivered[from.ID] = s
	}
	if head.Seq <= s.byKind[head.Kind] {
		return false
	}
	s.byKind[head.Kind] = head.Seq
	return true
}
