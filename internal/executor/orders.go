package executor

import "time"

// OrderResult says how an order went.
type OrderResult uint8

// Results of orders.
const (
	OrderDone OrderResult = iota
	// OrderUnanswered: it may have been carried out, or be carried out later.
	OrderUnanswered
	// OrderFenced: a newer epoch commands the endpoint.
	OrderFenced
	// OrderOld: that run has ended or was stopped there.
	OrderOld
	// OrderLate: its lease had run out on arrival.
	OrderLate
	// OrderNoRoom: a guarded endpoint is full.
	OrderNoRoom
	// OrderNoTicket: the endpoint asks for a fresh ticket.
	OrderNoTicket
	// OrderGone: another incarnation lives at the address.
	OrderGone
	// OrderUnhealthy: the endpoint takes no orders now.
	OrderUnhealthy
	// OrderInvalid: the endpoint can't read the order.
	OrderInvalid
)

var orderResultNames = [...]string{"done", "unanswered", "fenced", "old", "late", "no room", "no ticket", "gone", "unhealthy", "invalid"}

func (r OrderResult) String() string { return orderResultNames[r] }

// Quarantine of endpoints that fail what they start. Load: an endpoint fails
// everything at once while its health is good, and being always free it draws
// most of the starts. The first probes after it cost one task each.
const (
	// quarantineAfter ends of failed runs in a row may be the tasks' own fault.
	quarantineAfter = 2
	quarantineBase = time.Second
	quarantineMax  = 4 * time.Second
	// refusalPause follows a refusal that says the endpoint is full or unwell.
	refusalPause = 300 * time.Millisecond
)

// TakeStops returns the stops that are due. They need no record.
func (c *Core) TakeStops() []Order {
	out := c.stops
	c.stops = nil
	return out
}

// NextStart returns the next start that may leave now, and its lease. It is answered by
// OrderDone. ok is false once as many are under way as the owner carries.
func (c *Core) NextStart(now time.Duration) (o Order, lease time.Duration, ok bool) {
	c.pace.pass(now)
	for len(c.leaving) > 0 && c.pace.free() > 0 {
		o, c.leaving = c.leaving[0], c.leaving[1:]
		if !o.isCurrent() || o.Fence != c.fence(o.task.host) || o.task.stopping {
			continue
		}
		if !c.mayLeave(now, o.task.host) {
			c.takeBack(o.task)
			continue
		}
		o.task.ordered, o.task.answered, o.task.resending = now, false, false
		o.sent, o.slot = now, c.pace.sent(now)
		return o, c.grant(o.task.host, now), true
	}
	return Order{}, 0, false
}

// isCurrent reports whether the order is about the newest run of its task.
func (o *Order) isCurrent() bool {
	return o.task != nil && o.task.host != nil && o.task.host.id == o.Endpoint && o.task.run == o.Run
}

// OrderDone takes in the result of an order.
func (c *Core) OrderDone(now time.Duration, o Order, result OrderResult, a Answer) {
	switch {
	case o.slot == nil:
	case result == OrderUnanswered:
		c.pace.unanswered(now, o.slot)
	default:
		c.pace.answered(now, o.slot)
	}
	c.explainPace(now)
	e := c.endpoints[o.Endpoint]
	if e == nil || o.Fence != c.fence(e) {
		return // about an earlier incarnation
	}
	if c.meet(now, e, a.StartedMs); o.Fence != c.fence(e) {
		return // another incarnation has answered
	}
	fromCurrent := a.isFrom(now, o.sent, e)
	if fromCurrent {
		e.noteClock(now, a.Clock)
	}
	switch result {
	case OrderFenced:
		c.fenced = true
		c.event(Event{Kind: EventFenced, Endpoint: o.Endpoint})
		return
	case OrderGone:
		c.crashed(e)
		return
	}
	t := o.task
	if t == nil || t.host != e || t.run != o.Run {
		return
	}
	switch o.Kind {
	case OrderStart:
		t.proven = t.proven || fromCurrent && result == OrderDone
		c.applyStartResult(now, t, e, result)
		if !fromCurrent && a.Clock > 0 {
			c.unsure(now, e)
		}
	case OrderStop:
		c.applyStopResult(now, t, e, result)
	}
}

func (c *Core) applyStartResult(now time.Duration, t *task, e *endpoint, result OrderResult) {
	switch result {
	case OrderDone:
		t.answered = true
		c.confirm(now, t)
		e.nextLook = min(e.nextLook, now+lookGap)
	case OrderUnanswered:
		e.nextLook = min(e.nextLook, now+unsureWait)
	case OrderOld:
		// Its end, or that of a stop, is listed or has been.
		t.answered = true
		t.confirmed = max(t.confirmed, now)
		e.nextLook = now
	case OrderLate:
		t.answered = true
	case OrderNoTicket:
		delete(t.step.advice.tickets, e.incarnation())
		c.rejectStart(now, t, e, result)
	case OrderNoRoom, OrderUnhealthy, OrderInvalid:
		c.rejectStart(now, t, e, result)
	}
}

// rejectStart takes back a start that the endpoint turned away. An earlier copy
// of the order may still arrive if one went unanswered, so the run keeps its
// place until a stop has closed its number.
func (c *Core) rejectStart(now time.Duration, t *task, e *endpoint, result OrderResult) {
	c.event(Event{Kind: EventLost, Job: t.step.job.rec.Job.ID, Task: t.name(), Run: t.run, Endpoint: e.id, Reason: "start refused: " + result.String()})
	if result != OrderNoTicket {
		e.quarantine = max(e.quarantine, now+refusalPause)
	}
	t.stopping = true
	c.breakGang(t.step)
}

func (c *Core) applyStopResult(now time.Duration, t *task, e *endpoint, result OrderResult) {
	if result != OrderDone {
		return
	}
	e.nextLook = min(e.nextLook, now+lookGap)
	if t.confirmed == 0 {
		// Closed before it came, or running unseen: the next listing that was
		// asked for after this answer tells which.
		t.confirmed = now
	}
}

// updateQuarantine learns from an end how well an endpoint works.
func (c *Core) updateQuarantine(now time.Duration, e *endpoint, t *task, outcome HowEnded) {
	switch outcome {
	case EndedDone:
		e.consecutiveFailures = 0
	case EndedFailed:
		if t.failures > 0 && t.avoid != e.incarnation() {
			return // it fails everywhere: the task's own fault
		}
		e.consecutiveFailures++
		if e.consecutiveFailures >= quarantineAfter {
			pause := min(quarantineBase<<min(e.consecutiveFailures-quarantineAfter, 4), quarantineMax)
			e.quarantine = now + pause
			c.event(Event{Kind: EventQuiet, Endpoint: e.id, Reason: "runs fail", Run: e.consecutiveFailures, AgeMs: pause.Milliseconds()})
		}
	}
}

// Tick orders stops that are due, again where the run is still listed, and
// deals with runs that stand still.
func (c *Core) Tick(now time.Duration) {
	c.judgeSpeeds()
	for _, e := range c.endpoints {
		if e.vacating && now > e.vacateUntil && !e.draining {
			e.vacating = false
		}
		if e.draining {
			c.stopLongRunningOnDrain(e)
		}
		c.presumeGone(now, e)
		for t := range e.tasks {
			c.tickTask(now, e, t)
		}
	}
}

func (c *Core) tickTask(now time.Duration, e *endpoint, t *task) {
	if t.confirmed > 0 && !t.stopping && c.isStalled(t) {
		t.stopping = true
		e.consecutiveFailures++
		e.quarantine = now + quarantineBase
		t.avoid = e.incarnation()
		c.event(Event{Kind: EventStop, Job: t.step.job.rec.Job.ID, Task: t.name(), Run: t.run, Endpoint: e.id, Reason: "stands still"})
	}
	if t.exceedsGangStart(now) {
		c.breakGang(t.step)
	}
	c.rescue(e, t)
	if !t.stopping || e.addr == "" || t.stopSent > 0 && now-t.stopSent < stopRepeat {
		return
	}
	t.stopSent = now
	c.stops = append(c.stops, Order{Kind: OrderStop, Endpoint: e.id, Addr: e.addr, Fence: c.fence(e), Task: t.name(), Run: t.run, task: t})
}

// gangStartTimeout is how long the other members of a gang wait for one that is not known to have
// begun. Its endpoint may have crashed as the start came, and not be missed for seconds; they
// hold their room meanwhile, and endpoints end those that have waited for long.
const gangStartTimeout = time.Second

func (t *task) exceedsGangStart(now time.Duration) bool {
	return t.step.spec.Gang && t.ordered > 0 && t.confirmed == 0 && now-t.ordered > gangStartTimeout
}

// Standstill. Load: tasks on some endpoints stand still while their leases are
// renewed. A run whose progress has not moved for several times what its kind
// takes is stopped and begins again elsewhere; its checkpoint is kept.
const (
	stallFactor = 4
	minStallTimeout  = 2500 * time.Millisecond
)

func (c *Core) isStalled(t *task) bool {
	if t.step.spec.LongRunning && t.percent >= atWork {
		return false
	}
	expected := time.Duration(c.taskMs(t.step)) * time.Millisecond
	limit := max(minStallTimeout, stallFactor*expected/10)
	// Without an answer from the endpoint nothing is known of its progress.
	return t.host.failedLook == 0 && t.host.looked-max(t.movedAt, t.confirmed) > limit
}
