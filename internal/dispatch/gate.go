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

// queuePollInterval is how often the queue is checked while no slot is
// released. Slots also become free when an ejection ends or a slow start
// progresses, which triggers no event.
const queuePollInterval = 10 * time.Millisecond

// gate admits requests to one pool's endpoints. It combines queueing, endpoint
// selection and retries under one lock.
type gate struct {
	pool   string
	routes func() *RouteTable
	now    func() time.Time

	mu            sync.Mutex
	table         *RouteTable
	endpoints     map[string]Endpoint
	picker        pick.Picker
	queue         admission.Queue
	retries       retry.Policy
	waiters       map[uint64]*waiter
	nextID        uint64
	pollScheduled bool
	meter         slots.Meter
}

// waiter is a queued request.
type waiter struct {
	kind  string
	avoid string
	done  chan admissionResult // buffered: sending the decision never blocks
}

// admissionResult is the admission decision on a request.
type admissionResult struct {
	slot    *slot
	refusal *admission.Refusal
}

// slot is a reservation for one request in flight to an endpoint.
type slot struct {
	gate     *gate
	endpoint Endpoint
	kind     string
	start    time.Time
	expected time.Duration
}

// refresh applies a new route table.
//
// It is called under the lock before each pick and before control code reads
// the requests in flight. Otherwise a request that read the old table just
// before an instance was removed could be sent to it after control code had
// counted none in flight there. Once InFlight has returned, every later pick
// uses a table at least as new as the one in force at that time.
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

// acquire returns a slot or a refusal. It returns neither if ctx ends first.
func (g *gate) acquire(ctx context.Context, r admission.Request, avoid string) (*slot, *admission.Refusal) {
	w := g.grantOrEnqueue(&r, avoid)
	select {
	case a := <-w.done:
		return a.slot, a.refusal
	case <-ctx.Done():
		return g.cancelWait(r.ID, w)
	}
}

// grantOrEnqueue grants a slot immediately if one is free and no request is
// waiting, and queues the request otherwise.
func (g *gate) grantOrEnqueue(r *admission.Request, avoid string) *waiter {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.refresh(now)
	g.nextID++
	r.ID = g.nextID
	w := &waiter{kind: r.Kind, avoid: avoid, done: make(chan admissionResult, 1)}
	if g.queue.Len() == 0 {
		if id, ok := g.picker.Pick(now, avoid); ok {
			w.done <- admissionResult{slot: g.newSlot(now, id, r.Kind)}
			g.updateMeter(now)
			return w
		}
	}
	g.queue.SetSlots(g.picker.Slots(now))
	g.waiters[r.ID] = w
	g.deliverRefusals(g.queue.Offer(now, *r))
	g.updateMeter(now)
	g.schedulePoll()
	return w
}

// cancelWait removes a request from the queue. A decision made in the meantime
// is returned.
func (g *gate) cancelWait(id uint64, w *waiter) (*slot, *admission.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waiters[id] == w {
		delete(g.waiters, id)
		g.queue.Remove(id)
		g.updateMeter(g.now())
		return nil, nil
	}
	a := <-w.done
	return a.slot, a.refusal
}

func (g *gate) newSlot(now time.Time, instance, kind string) *slot {
	return &slot{
		gate: g, endpoint: g.endpoints[instance], kind: kind,
		start: now, expected: g.queue.Estimate(kind),
	}
}

func (g *gate) deliverRefusals(list []admission.Refusal) {
	for _, r := range list {
		if w := g.waiters[r.ID]; w != nil {
			delete(g.waiters, r.ID)
			g.meter.Refused(g.queue.Estimate(w.kind))
			w.done <- admissionResult{refusal: &r}
		}
	}
}

// release frees the slot and dispatches waiting requests.
func (s *slot) release(result pick.Result, latency time.Duration) {
	g := s.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.refresh(now)
	held := now.Sub(s.start)
	// Timeouts count because they hold slots longer than any response. Fast
	// failures do not: an endpoint that fails immediately would make the pool
	// look fast.
	if result == pick.ResultOK || held > s.expected {
		g.queue.Observe(s.kind, held)
	}
	if result == pick.ResultOK {
		g.retries.Success(now)
	}
	g.picker.Done(now, s.endpoint.Instance, pick.Sample{
		Result: result, Latency: latency, Expected: g.queue.Estimate(s.kind),
	})
	g.dispatchWaiting(now)
}

// dispatchWaiting assigns free slots to waiting requests.
func (g *gate) dispatchWaiting(now time.Time) {
	defer g.updateMeter(now)
	for g.queue.Len() > 0 {
		id, ok := g.picker.Pick(now, "")
		if !ok {
			return
		}
		r, ok, refused := g.queue.Next(now)
		g.deliverRefusals(refused)
		if !ok {
			g.picker.Done(now, id, pick.Sample{Result: pick.ResultNone})
			return
		}
		w := g.waiters[r.ID]
		delete(g.waiters, r.ID)
		if id == w.avoid {
			id = g.reserveOther(now, id)
		}
		w.done <- admissionResult{slot: g.newSlot(now, id, r.Kind)}
	}
}

// reserveOther exchanges a reserved slot for one at another endpoint, if there
// is one.
func (g *gate) reserveOther(now time.Time, id string) string {
	other, ok := g.picker.Pick(now, id)
	if !ok {
		return id
	}
	g.picker.Done(now, id, pick.Sample{Result: pick.ResultNone})
	return other
}

// schedulePoll dispatches periodically while requests are waiting.
func (g *gate) schedulePoll() {
	if g.pollScheduled || g.queue.Len() == 0 {
		return
	}
	g.pollScheduled = true
	time.AfterFunc(queuePollInterval, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.pollScheduled = false
		now := g.now()
		g.refresh(now)
		g.deliverRefusals(g.queue.Expire(now))
		g.dispatchWaiting(now)
		g.schedulePoll()
	})
}

// nextRetry asks the retry policy for another attempt.
func (g *gate) nextRetry(f retry.Failure) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retries.Next(g.now(), f)
}

func (g *gate) retryAfter() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.RetryAfter(g.now())
}

func (g *gate) estimate(kind string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Estimate(kind)
}

func (g *gate) updateMeter(now time.Time) { g.meter.Set(now, g.picker.Total(), g.queue.Work()) }

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

func (g *gate) routesChanged() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.refresh(now)
	g.dispatchWaiting(now)
}
