package peer

import (
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// noticeHeader is the frame before each notice on the stream of notices.
type noticeHeader struct {
	Kind string `cbor:"1,keyasint"`
	Seq  uint64 `cbor:"2,keyasint"`
}

type notice struct {
	kind string
	seq  uint64
	body []byte
}

// outbox holds the notices that wait for a peer: at most one of each kind. A
// peer that is slow, frozen or away therefore costs its senders no memory and
// no time, and finds the newest word when it comes back.
type outbox struct {
	mu      sync.Mutex
	pending map[string]notice
	order   []string
	signal  chan struct{}
}

func newOutbox() *outbox {
	return &outbox{pending: map[string]notice{}, signal: make(chan struct{}, 1)}
}

// put replaces the waiting notice of the same kind if it is older.
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

// take returns the notice whose kind has waited longest.
func (o *outbox) take() (notice, bool) {
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
// wait for the same peer only the newest is sent. A notice can be lost with
// its connection, so what matters is repeated by its sender.
func Notify[M any](n *Node, peerID, kind string, m M, opts ...KindOption) error {
	if len(kind) > maxKind {
		return &TooLargeError{Size: len(kind), Limit: maxKind}
	}
	body, err := encode(m, settings(opts).limit)
	if err != nil {
		return err
	}
	r, err := n.remote(peerID)
	if err != nil {
		return &UnreachableError{Peer: peerID, Kind: kind, Cause: err}
	}
	r.outbox.put(notice{kind: kind, seq: n.noticeSeq.Add(1), body: body})
	r.startSending()
	return nil
}

func (r *remote) startSending() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.sending {
		r.sending = r.node.spawn(r.sendNotices)
	}
}

// sendNotices writes what is in the outbox until the peer is removed.
func (r *remote) sendNotices() {
	for {
		select {
		case <-r.outbox.signal:
		case <-r.ctx.Done():
			return
		}
		for r.outbox.len() > 0 && r.ctx.Err() == nil {
			if err := r.sendOnOneLink(); err != nil {
				r.pause(err)
			}
		}
	}
}

// pause waits until the next dial is due.
func (r *remote) pause(err error) {
	wait := backoffBase
	var pause *BackoffError
	if errors.As(err, &pause) {
		wait = pause.Wait
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.ctx.Done():
	}
}

// sendOnOneLink writes notices on one stream until the link fails or the peer
// is removed. The stream stays open while there is nothing to send.
func (r *remote) sendOnOneLink() error {
	l, err := r.acquire(r.ctx)
	if err != nil {
		return err
	}
	l.end() // an idle stream of notices doesn't hold up a draining link
	stream, err := l.conn.OpenUniStreamSync(r.ctx)
	if err != nil {
		return linkError("open", err)
	}
	defer func() { _ = stream.Close() }()
	for l.usable() {
		m, ok := r.outbox.take()
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

// serveNotices reads the peer's streams of notices.
func (n *Node) serveNotices(l *link) {
	for {
		stream, err := l.conn.AcceptUniStream(l.conn.Context())
		if err != nil {
			return
		}
		n.wg.Go(func() {
			err := n.readNotices(l, stream)
			var frame *FrameError
			if errors.As(err, &frame) {
				n.reportMalformed(l, err)
			}
		})
	}
}

func (n *Node) readNotices(l *link, stream io.Reader) error {
	for {
		var head noticeHeader
		if err := readInto(stream, maxHeader, &head); err != nil {
			if errors.Is(err, io.EOF) {
				return nil // ended between two notices
			}
			return err
		}
		h, known := n.registry.notice(head.Kind)
		limit := MaxOrdinary
		if known {
			limit = h.limit
		}
		body, err := readFrame(stream, limit)
		if err != nil {
			return err
		}
		if !known || !n.isNewest(l.peer, head) {
			continue
		}
		if err := n.deliver(l, h, head, body); err != nil {
			return err
		}
	}
}

// deliver leaves out a notice of another version's shape: it is one way, and
// its sender can't be told.
func (n *Node) deliver(l *link, h noticeHandler, head noticeHeader, body []byte) error {
	err := h.deliver(l.peer, body)
	var shape *DecodeError
	if errors.As(err, &shape) {
		n.log.Warn("notice of another shape", "peer", l.peer.ID, "kind", head.Kind, "error", err.Error())
		return nil
	}
	return err
}

// noticeSeqs is the highest number delivered, by kind, from one boot.
type noticeSeqs struct {
	bootID string
	byKind map[string]uint64
}

// isNewest tells whether a notice is to be delivered. The stream of a broken
// link can still be read while its successor is, so an older notice can come
// last; and a boot that has been replaced is no longer heard.
func (n *Node) isNewest(from Identity, head noticeHeader) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.boots.isCurrent(from.ID, from.BootID) {
		return false
	}
	s := n.seen[from.ID]
	if s == nil || s.bootID != from.BootID {
		s = &noticeSeqs{bootID: from.BootID, byKind: map[string]uint64{}}
		n.seen[from.ID] = s
	}
	if head.Seq <= s.byKind[head.Kind] {
		return false
	}
	s.byKind[head.Kind] = head.Seq
	return true
}
