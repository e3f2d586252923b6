package peer

import (
	"context"
	"sync"
)

// KindOption changes how one kind of message is treated. Both ends give the
// same options for a kind.
type KindOption func(*kindSettings)

type kindSettings struct{ limit int }

// MaxBytes sets the limit of a kind's messages, requests and answers alike, up
// to MaxTransfer. Without it the limit is MaxOrdinary.
func MaxBytes(limit int) KindOption {
	return func(s *kindSettings) { s.limit = min(limit, MaxTransfer) }
}

func settings(opts []KindOption) kindSettings {
	s := kindSettings{limit: MaxOrdinary}
	for _, opt := range opts {
		opt(&s)
	}
	return s
}

// callHandler serves one kind of call. Decoding is a step of its own, so that
// the memory of a large request is given back before the handler runs.
type callHandler struct {
	kindSettings
	prepare func(body []byte) (func(ctx context.Context, from Identity) ([]byte, error), error)
}

type noticeHandler struct {
	kindSettings
	deliver func(from Identity, body []byte) error
}

// registry holds the handlers by kind.
type registry struct {
	mu      sync.RWMutex
	calls   map[string]callHandler
	notices map[string]noticeHandler
}

func (r *registry) call(kind string) (callHandler, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	h, ok := r.calls[kind]
	return h, ok
}

func (r *registry) notice(kind string) (noticeHandler, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	h, ok := r.notices[kind]
	return h, ok
}

func add[H any](r *registry, m *map[string]H, kind string, h H) {
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

// Handle serves calls of a kind. The handler runs once per call that arrived
// whole; its context ends when the caller's does. from is vouched for by the
// certificate, but for BootID and Zone, which are the peer's own word.
func Handle[Req, Resp any](n *Node, kind string,
	fn func(ctx context.Context, from Identity, req Req) (Resp, error), opts ...KindOption,
) {
	s := settings(opts)
	prepare := func(body []byte) (func(context.Context, Identity) ([]byte, error), error) {
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
	add(&n.registry, &n.registry.calls, kind, callHandler{kindSettings: s, prepare: prepare})
}

// HandleNotice takes notices of a kind. Those of one peer are delivered one at
// a time, newer ones after older ones; fn must return quickly, as the peer's
// other notices wait for it.
func HandleNotice[M any](n *Node, kind string, fn func(from Identity, m M), opts ...KindOption) {
	deliver := func(from Identity, body []byte) error {
		var m M
		if err := decode(body, &m); err != nil {
			return err
		}
		fn(from, m)
		return nil
	}
	h := noticeHandler{kindSettings: settings(opts), deliver: deliver}
	add(&n.registry, &n.registry.notices, kind, h)
}
