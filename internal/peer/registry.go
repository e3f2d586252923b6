package peer

import (
	"context"
	"sync"
)

// KindOption configures one kind of message. Both ends must use the same
// options for a kind.
type KindOption func(*kindSettings)

type kindSettings struct{ limit int }

// MaxBytes sets the size limit of a kind's messages, requests and answers
// alike, up to MaxTransfer. The default is MaxOrdinary.
func MaxBytes(limit int) KindOption {
	return func(s *kindSettings) { s.limit = min(limit, MaxTransfer) }
}

func applyOptions(opts []KindOption) kindSettings {
	s := kindSettings{limit: MaxOrdinary}
	for _, opt := range opts {
		opt(&s)
	}
	return s
}

// callHandler serves one kind of call. Decoding is a separate step, so that the
// memory of a large request is released before the handler runs.
type callHandler struct {
	kindSettings
	decodeRequest func(body []byte) (func(ctx context.Context, from Identity) ([]byte, error), error)
}

// noticeHandler decodes and handles one kind of notice.
type noticeHandler struct {
	kindSettings
	decodeAndRun func(from Identity, body []byte) error
}

// registry holds the handlers by message kind.
type registry struct {
	mu      sync.RWMutex
	calls   map[string]callHandler
	notices map[string]noticeHandler
}

func (r *registry) callHandler(kind string) (callHandler, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	h, ok := r.calls[kind]
	return h, ok
}

func (r *registry) noticeHandler(kind string) (noticeHandler, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	h, ok := r.notices[kind]
	return h, ok
}

func register[H any](r *registry, m *map[string]H, kind string, h H) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if *m == nil {
		*m = map[string]H{}
	}
	if _, ok := (*m)[kind]; ok {
		panic(&DuplicateHandlerError{Kind: kind})
	}
	(*m)[kind] = h
}

// Handle registers the handler for calls of a kind. It runs once per call that
// arrived completely; its context ends when the caller's does. The ID and Role
// of from are authenticated by the certificate; its BootID and Zone are only
// claimed by the peer.
func Handle[Req, Resp any](n *Node, kind string,
	fn func(ctx context.Context, from Identity, req Req) (Resp, error), opts ...KindOption,
) {
	s := applyOptions(opts)
	decodeRequest := func(body []byte) (func(context.Context, Identity) ([]byte, error), error) {
		var req Req
		if err := decode(body, &req); err != nil {
			return nil, err
		}
		return func(ctx context.Context, from Identity) ([]byte, error) {
			resp, err := fn(ctx, from, req)
			if err != nil {
				return nil, err
			}
			return encode(resp, s.limit)
		}, nil
	}
	register(&n.registry, &n.registry.calls, kind, callHandler{kindSettings: s, decodeRequest: decodeRequest})
}

// HandleNotice registers the handler for notices of a kind. Notices of one kind
// from one peer are delivered one at a time and never out of order; fn must
// return quickly, as the peer's other notices wait for it.
func HandleNotice[M any](n *Node, kind string, fn func(from Identity, m M), opts ...KindOption) {
	decodeAndRun := func(from Identity, body []byte) error {
		var m M
		if err := decode(body, &m); err != nil {
			return err
		}
		fn(from, m)
		return nil
	}
	h := noticeHandler{kindSettings: applyOptions(opts), decodeAndRun: decodeAndRun}
	register(&n.registry, &n.registry.notices, kind, h)
}
