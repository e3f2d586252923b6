package dispatch

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cyclamenwheel/internal/idempotency"
)

// Handler is the http.Handler that serves callers.
type Handler struct {
	opts    Options
	conns   *connSet
	gates   sync.Map // pool name to *gate
	calls   callCount
	metrics requestMetrics
	closing atomic.Bool // responses close their caller's connection
}

// NewHandler returns a Handler. It forwards paths unchanged; a router in front
// of it must not clean them. Its server must be protected by an intake.Guard,
// which bounds the memory and the time of request bodies.
func NewHandler(o Options) *Handler {
	o = o.withDefaults()
	return &Handler{
		opts:    o,
		conns:   newConnSet(o.Dial, o.Current),
		metrics: requestMetrics{set: o.Metrics},
	}
}

// call is one caller request being handled.
type call struct {
	id       string
	service  string
	policy   classPolicy
	arrived  time.Time
	deadline time.Time
	caller   string
	key      string

	method string
	target string
	host   string
	header http.Header
	body   []byte

	acceptsChunked bool   // the caller's HTTP version supports chunked responses
	attempt        string // the request ID of the current attempt
	claim          *idempotency.Claim
	mayHaveRun     bool // an earlier attempt may have run
	outcome        string
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := h.opts.Now()
	c := &call{id: requestID(r.Header.Get(HeaderRequestID)), arrived: now}
	defer func() { h.metrics.observe(c, h.opts.Now().Sub(now)) }()
	if h.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	if !h.calls.enter() {
		h.writeRefusal(w, c, h.refusalBeforeClaim(r, TypeDraining, http.StatusServiceUnavailable))
		return
	}
	defer h.calls.exit()
	if p := h.prepare(c, r); p != nil {
		h.writeRefusal(w, c, *p)
		return
	}
	if p := h.readBody(c, r); p != nil {
		h.writeRefusal(w, c, *p)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	if c.key != "" && !c.policy.idempotent {
		h.serveClaimed(ctx, w, c)
		return
	}
	h.serveUnclaimed(ctx, w, c)
}

// prepare determines the service and the class policy of the request.
func (h *Handler) prepare(c *call, r *http.Request) *refusal {
	table := h.opts.Routes()
	if table == nil || table.closed {
		p := h.refusalBeforeClaim(r, TypeNotReady, http.StatusServiceUnavailable)
		return &p
	}
	service, rest := splitPath(r.URL.Path)
	route := table.services[service]
	if route == nil {
		p := h.refusalBeforeClaim(r, TypeUnknownService, http.StatusNotFound)
		return &p
	}
	c.service = service
	c.policy = route.classify(r.Method, rest)
	c.deadline = c.arrived.Add(shorterTimeout(c.policy.deadline, r.Header.Get(HeaderDeadline)))
	c.caller = callerOf(r)
	c.acceptsChunked = r.ProtoAtLeast(1, 1)
	c.method, c.host, c.target = r.Method, r.Host, r.RequestURI
	if c.target == "" || c.target[0] != '/' { // absolute form
		c.target = r.URL.RequestURI()
	}
	c.key = r.Header.Get(HeaderIdempotencyKey)
	if len(c.key) > idempotency.MaxKeyLen {
		return &refusal{kind: TypeBadKey, status: http.StatusBadRequest, ran: RanNo}
	}
	c.header = outgoingHeader(r, c.id)
	return nil
}

func outgoingHeader(r *http.Request, id string) http.Header {
	h := r.Header.Clone()
	removeHopByHopHeaders(h)
	h.Del("Content-Length")
	h.Set(HeaderCallerRequestID, id)
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		h.Add("X-Forwarded-For", host)
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""} // prevents net/http from adding one where the caller sent none
	}
	return h
}

// gate returns the gate of a pool and creates it if needed.
func (h *Handler) gate(pool string) *gate {
	if g, ok := h.gates.Load(pool); ok {
		return g.(*gate)
	}
	g, _ := h.gates.LoadOrStore(pool, newGate(h.opts, pool))
	return g.(*gate)
}

func newGate(o Options, pool string) *gate {
	return &gate{
		pool: pool, routes: o.Routes, now: o.Now,
		endpoints: map[string]Endpoint{},
		waiters:   map[uint64]*waiter{},
		picker:    o.NewPicker(o.Seed),
		queue:     o.NewQueue(o.Seed),
		retries:   o.NewRetry(o.Seed),
	}
}

func (h *Handler) eachGate(f func(*gate)) {
	h.gates.Range(func(_, g any) bool {
		f(g.(*gate))
		return true
	})
}

// InFlight returns how many of this entry's requests are in flight to an
// instance. Once it has returned 0 for an instance that is not in the current
// table, no further request is sent there.
func (h *Handler) InFlight(instance string) int {
	n := 0
	h.eachGate(func(g *gate) { n += g.inFlight(instance) })
	return n
}

// Demand returns how many slots of a pool this entry could use: the requests in
// flight plus what is needed to clear the queue and avoid refusals. It averages
// over the time between calls, one per heartbeat.
func (h *Handler) Demand(pool string) int { return h.gate(pool).demand() }

// RoutesChanged applies a new route table immediately instead of with the next
// request.
func (h *Handler) RoutesChanged() { h.eachGate((*gate).routesChanged) }

// AnnounceClose makes every response from now on close its caller's connection.
//
// A load balancer that balances connections leaves open connections with an
// entry that is no longer ready, and the entry closes them when it stops. A
// charge being written at that moment has an unknown outcome. A caller whose
// last response announced the close sends nothing more on that connection; only
// one that was idle for the whole readiness grace period can still hit a closed
// connection, as with any HTTP server's idle timeout.
func (h *Handler) AnnounceClose() { h.closing.Store(true) }

// Drain refuses new requests and waits for those in flight. Call it after the
// listeners are closed.
func (h *Handler) Drain(ctx context.Context) error {
	h.AnnounceClose()
	left := h.calls.drain(ctx)
	h.conns.closeAllIdle()
	if left > 0 {
		return &DrainTimeoutError{InFlight: left}
	}
	return nil
}

// callCount counts the calls in progress and can be closed to new ones.
type callCount struct {
	mu     sync.Mutex
	active int
	closed bool
	empty  chan struct{}
}

func (c *callCount) enter() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.active++
	return true
}

func (c *callCount) exit() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active--
	if c.closed && c.active == 0 {
		close(c.empty)
	}
}

// drain returns how many calls were still in progress when ctx ended.
func (c *callCount) drain(ctx context.Context) int {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		c.empty = make(chan struct{})
		if c.active == 0 {
			close(c.empty)
		}
	}
	c.mu.Unlock()
	select {
	case <-c.empty:
		return 0
	case <-ctx.Done():
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.active
	}
}
