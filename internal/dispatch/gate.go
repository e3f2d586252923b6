package dispatch

import (
	"context"
	"sync"
	"time"

	"cyclamenwheel/internal/admission"
	"cyclamenwheel/internal/dispatch/pick"
	"cyclamenwheel/internal/dispatch/retry"
	"cyclamenwheel/internal/slots"
)

// pumpInterval is how often waiting requests are looked at while no slot is
// given back: slots also come free because an ejection ends or a slow start
// proceeds, and no event tells of that.
const pumpInterval = 10 * time.Millisecond

// gate lets requests through to one pool's endpoints: it joins the decisions
// about queueing, picking and retrying under one lock.
type gate struct {
	pool   string
	routes func() *RouteTable
	now    func() time.Time

	mu        sync.Mutex
	table     *RouteTable
	endpoints map[string]Endpoint
	picker    pick.Picker
	queue     admission.Queue
	retries   retry.Policy
	waiters   map[uint64]*waiter
	nextID    uint64
	pumping   bool
	meter     slots.Meter
}

// waiter is a request in the queue.
type waiter struct {
	kind  string
	avoid string
	done  chan admitted // buffered: the decision never waits for the request
}

// admitted is the decision on a request.
type admitted struct {
	slot    *slot
	refusal *admission.Refusal
}

// slot is the right to have one request in flight to an endpoint.
type slot struct {
	gate     *gate
	endpoint Endpoint
	kind     string
	start    time.Time
	expected time.Duration
}

// refresh takes over a new route table.
//
// It is called under the lock before each pick, and before control code reads
// what is in flight. Failure prevented: a request that read the old table just
// before an instance was removed, and is sent to it after control code has
// counted nothing in flight there. Once InFlight has returned, every later
// pick uses at least the table that was in force at that time.
func (g *gate) refresh(now time.Time) {
	t := g.routes()
	if t == g.table || t == nil {
		return
	}
	g.table = t
	list := t.Endpoints(g.pool)
	clear(g.endpoints)
	picks := make([]pick.Endpoint, 0, len(list))
	for _, e := range list {
		g.endpoints[e.Instance] = e
		picks = append(picks, pick.Endpoint{
			Instance: e.Instance, BootID: e.BootID, Zone: e.Zone, Slots: e.Slots,
		})
	}
	g.picker.Set(now, picks)
}

// acquire returns a slot, or the refusal. It returns neither if ctx ended
// first.
func (g *gate) acquire(ctx context.Context, r admission.Request, avoid string) (*slot, *admission.Refusal) {
	w := g.enter(&r, avoid)
	select {
	case a := <-w.done:
		return a.slot, a.refusal
	case <-ctx.Done():
		return g.leave(r.ID, w)
	}
}

// enter grants a slot at once where one is free and nobody waits for it, and
// queues the request otherwise.
func (g *gate) enter(r *admission.Request, avoid string) *waiter {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.refresh(now)
	g.nextID++
	r.ID = g.nextID
	w := &waiter{kind: r.Kind, avoid: avoid, done: make(chan admitted, 1)}
	if g.queue.Len() == 0 {
		if id, ok := g.picker.Pick(now, avoid); ok {
			w.done <- admitted{slot: g.grant(now, id, r.Kind)}
			g.note(now)
			return w
		}
	}
	g.queue.SetSlots(g.picker.Slots(now))
	g.waiters[r.ID] = w
	g.refuse(g.queue.Offer(now, *r))
	g.note(now)
	g.schedule()
	return w
}

// leave gives up waiting. A decision that came at the same time is kept.
func (g *gate) leave(id uint64, w *waiter) (*slot, *admission.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waiters[id] == w {
		delete(g.waiters, id)
		g.queue.Remove(id)
		g.note(g.now())
		return nil, nil
	}
	a := <-w.done
	return a.slot, a.refusal
}

func (g *gate) grant(now time.Time, instance, kind string) *slot {
	return &slot{
		gate: g, endpoint: g.endpoints[instance], kind: kind,
		start: now, expected: g.queue.Estimate(kind),
	}
}

func (g *gate) refuse(list []admission.Refusal) {
	for _, r := range list {
		if w := g.waiters[r.ID]; w != nil {
			delete(g.waiters, r.ID)
			g.meter.Refused(g.queue.Estimate(w.kind))
			w.done <- admitted{refusal: &r}
		}
	}
}

// release gives a slot back and lets the next request through.
func (s *slot) release(result pick.Result, latency time.Duration) {
	g := s.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.refresh(now)
	held := now.Sub(s.start)
	// Timeouts count too: they hold slots for longer than any answer. Fast
	// failures do not, or an endpoint that fails at once would make the pool
	// look quick.
	if result == pick.ResultOK || held > s.expected {
		g.queue.Observe(s.kind, held)
	}
	if result == pick.ResultOK {
		g.retries.Success(now)
	}
	g.picker.Done(now, s.endpoint.Instance, pick.Sample{
		Result: result, Latency: latency, Expected: g.queue.Estimate(s.kind),
	})
	g.pump(now)
}

// pump hands free slots to waiting requests.
func (g *gate) pump(now time.Time) {
	defer g.note(now)
	for g.queue.Len() > 0 {
		id, ok := g.picker.Pick(now, "")
		if !ok {
			return
		}
		r, ok, refused := g.queue.Next(now)
		g.refuse(refused)
		if !ok {
			g.picker.Done(now, id, pick.Sample{Result: pick.ResultNone})
			return
		}
		w := g.waiters[r.ID]
		delete(g.waiters, r.ID)
		if id == w.avoid {
			id = g.swap(now, id)
		}
		w.done <- admitted{slot: g.grant(now, id, r.Kind)}
	}
}

// swap exchanges a reserved slot for one at another endpoint, if there is one.
func (g *gate) swap(now time.Time, id string) string {
	other, ok := g.picker.Pick(now, id)
	if !ok {
		return id
	}
	g.picker.Done(now, id, pick.Sample{Result: pick.ResultNone})
	return other
}

// schedule runs the pump for as long as requests wait.
func (g *gate) schedule() {
	if g.pumping || g.queue.Len() == 0 {
		return
	}
	g.pumping = true
	time.AfterFunc(pumpInterval, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.pumping = false
		now := g.now()
		g.refresh(now)
		g.refuse(g.queue.Expire(now))
		g.pump(now)
		g.schedule()
	})
}

// nextRetry asks for another attempt.
func (g *gate) nextRetry(f retry.Failure) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retries.Next(g.now(), f)
}

func (g *gate) advice() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.RetryAfter(g.now())
}

func (g *gate) estimate(kind string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Estimate(kind)
}

func (g *gate) note(now time.Time) { g.meter.Set(now, g.picker.Total(), g.queue.Work()) }

func (g *gate) demand() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.meter.Read(g.now())
}

func (g *gate) inFlight(instance string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh(g.now())
	return g.picker.InFlight(instance)
}

func (g *gate) wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.refresh(now)
	g.pump(now)
}
