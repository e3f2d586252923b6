package executor

import (
	"slices"
	"time"
)

// Quarantine of endpoints on which runs fail. Load: an endpoint fails every run at once while
// its health checks pass, and as it is always free it attracts most of the starts. After a
// quarantine, the first starts probe the endpoint at the cost of one task each.
const (
	// quarantineAfter consecutive failures quarantine an endpoint; fewer may be the tasks' own
	// fault.
	quarantineAfter = 2
	quarantineBase  = time.Second
	quarantineMax   = 4 * time.Second
	// refusalPause is the quarantine after an endpoint refused a start, because it is full or
	// unhealthy.
	refusalPause = 300 * time.Millisecond
)

// TakeStops returns and clears the stops to send. They need no record. A stop that has waited is left
// out if it is outdated by now; Tick repeats those that are still due.
func (c *Core) TakeStops() []Order {
	out := slices.DeleteFunc(c.stops, func(o Order) bool {
		return o.task != nil && (!o.isCurrent() || !o.task.stopping || !c.maySendStop(o.task))
	})
	c.stops = nil
	for _, o := range out {
		if o.task != nil {
			o.task.stopOrdered = true
		}
	}
	return out
}

// NextStart returns the next start to send now, and the end of its lease. The caller reports its
// outcome with OrderDone. ok is false if none is ready or the limit on starts in flight is
// reached.
func (c *Core) NextStart(now time.Duration) (o Order, lease time.Duration, ok bool) {
	c.startLimiter.ReleaseOverdue(now)
	for len(c.startQueue) > 0 && c.startLimiter.Free() > 0 {
		o, c.startQueue = c.startQueue[0], c.startQueue[1:]
		if !o.isCurrent() || o.Fence != c.fence(o.task.endpoint) || o.task.stopping {
			continue
		}
		if o.task.isListed() {
			o.task.resending = false
			continue
		}
		if o.task.endpoint.mayHaveRestarted() {
			c.holdStart(o.task)
			continue
		}
		if !c.maySendStart(now, o.task.endpoint) {
			c.cancelStart(o.task, "the endpoint's capacity may have shrunk")
			continue
		}
		o.task.orderedAt, o.task.orderAnswered, o.task.resending = now, false, false
		o.sent, o.slot = now, c.startLimiter.Acquire(now)
		return o, c.grantLease(o.task.endpoint, now), true
	}
	return Order{}, 0, false
}

// holdStart keeps a start from an endpoint that may have restarted. One that has not been sent yet is
// cancelled, as its task can start elsewhere; one that is repeated is still due when the endpoint answers.
func (c *Core) holdStart(t *task) {
	if t.orderedAt == 0 {
		c.cancelStart(t, "the endpoint does not answer")
		return
	}
	t.resending = false
}

// isCurrent reports whether the order belongs to the newest run of its task.
func (o *Order) isCurrent() bool {
	return o.task != nil && o.task.endpoint != nil && o.task.endpoint.id == o.Endpoint && o.task.run == o.Run
}

// isListed reports whether an endpoint has listed the task's current run. Its start is not repeated any
// more, and a refusal of an earlier repetition means nothing.
func (t *task) isListed() bool { return t.listedAt > 0 }

// OrderDone applies the outcome of an order.
func (c *Core) OrderDone(now time.Duration, o Order, result OrderResult, a Answer) {
	switch {
	case o.slot == nil:
	case result == OrderUnanswered:
		c.startLimiter.TimedOut(now, o.slot)
	default:
		c.startLimiter.Answered(now, o.slot)
	}
	c.logStartLimit(now)
	e := c.endpoints[o.Endpoint]
	if e == nil || o.Fence != c.fence(e) {
		return // sent to an earlier incarnation
	}
	if c.observeIncarnation(now, e, a.StartedMs); o.Fence != c.fence(e) {
		return // another incarnation has answered
	}
	fromCurrent := result != OrderOtherIncarnation && a.isFrom(now, o.sent, e)
	if fromCurrent {
		e.recordClock(now, a.Clock)
	}
	switch result {
	case OrderFenced:
		c.fenced = true
		c.event(Event{Kind: EventFenced, Endpoint: o.Endpoint})
		return
	case OrderOtherIncarnation:
		c.incarnationCrashed(e)
		return
	}
	t := o.task
	if t == nil || t.endpoint != e || t.run != o.Run {
		return
	}
	switch o.Kind {
	case OrderStart:
		t.onCurrentIncarnation = t.onCurrentIncarnation || fromCurrent && result == OrderDone
		c.applyStartResult(now, t, e, result)
		if !fromCurrent && a.Clock > 0 {
			c.suspectRestart(now, e)
		}
	case OrderStop:
		c.applyStopResult(now, t, e, result)
	}
}

func (c *Core) applyStartResult(now time.Duration, t *task, e *endpoint, result OrderResult) {
	switch result {
	case OrderDone:
		t.orderAnswered = true
		c.recordConfirmation(now, t)
		e.nextPoll = min(e.nextPoll, now+pollGap)
	case OrderUnanswered:
		e.nextPoll = min(e.nextPoll, now+uncertainPollWait)
	case OrderStaleRun:
		// The end of the run, or its stop, is listed or was listed earlier.
		t.orderAnswered = true
		t.confirmedAt = max(t.confirmedAt, now)
		e.nextPoll = now
	case OrderLeaseExpired:
		t.orderAnswered = true
	case OrderNoTicket:
		delete(t.step.advice.tickets, e.incarnation())
		c.withdrawStart(now, t, e, result)
	case OrderNoCapacity, OrderUnhealthy, OrderInvalid:
		c.withdrawStart(now, t, e, result)
	}
}

// withdrawStart withdraws a start that the endpoint refused. An earlier copy of the order may
// still arrive if one went unanswered, so the run stays on the endpoint until a stop has made
// sure that its number can't start any more.
func (c *Core) withdrawStart(now time.Duration, t *task, e *endpoint, result OrderResult) {
	if result != OrderNoTicket {
		e.quarantinedUntil = max(e.quarantinedUntil, now+refusalPause)
	}
	if t.isListed() {
		return
	}
	c.event(Event{Kind: EventLost, Job: t.step.job.rec.Job.ID, Task: t.name(), Run: t.run, Endpoint: e.id, Reason: "start refused: " + result.String()})
	c.requestStop(t, "start refused")
	c.stopGangMembers(t.step)
}

func (c *Core) applyStopResult(now time.Duration, t *task, e *endpoint, result OrderResult) {
	if result != OrderDone {
		return
	}
	e.nextPoll = min(e.nextPoll, now+pollGap)
	if t.confirmedAt == 0 {
		// The run was stopped before it started, or runs without having been listed. The
		// next listing requested after this answer shows which.
		t.confirmedAt = now
	}
}

// updateQuarantine counts how runs end on an endpoint, and quarantines one on which they fail.
func (c *Core) updateQuarantine(now time.Duration, e *endpoint, t *task, outcome HowEnded) {
	switch outcome {
	case EndedDone:
		e.consecutiveFailures = 0
	case EndedFailed:
		if t.failures > 0 && t.avoidIncarnation != e.incarnation() {
			return // the task last failed on another endpoint, so this one is not at fault
		}
		e.consecutiveFailures++
		if e.consecutiveFailures >= quarantineAfter {
			pause := min(quarantineBase<<min(e.consecutiveFailures-quarantineAfter, 4), quarantineMax)
			e.quarantinedUntil = now + pause
			c.event(Event{Kind: EventQuarantined, Endpoint: e.id, Reason: "runs fail", Run: e.consecutiveFailures, AgeMs: pause.Milliseconds()})
		}
	}
}

// Tick issues the stops that are due, repeats those whose run is still listed, and stops runs
// that have stalled.
func (c *Core) Tick(now time.Duration) {
	c.updateSlowEndpoints()
	for _, e := range c.endpoints {
		if e.vacating && now > e.vacateUntil && !e.draining {
			c.expireVacate(e)
		}
		if e.draining {
			c.stopLongRunningOnDrain(e)
		}
		c.presumeCrashed(now, e)
		for t := range e.tasks {
			c.tickTask(now, e, t)
		}
	}
}

func (c *Core) tickTask(now time.Duration, e *endpoint, t *task) {
	if t.confirmedAt > 0 && !t.stopping && c.isStalled(t) {
		e.consecutiveFailures++
		e.quarantinedUntil = now + quarantineBase
		t.avoidIncarnation = e.incarnation()
		c.requestStop(t, "no progress")
	}
	if t.gangStartOverdue(now) {
		c.stopGangMembers(t.step)
	}
	c.restartElsewhere(e, t)
	if !t.stopping || e.addr == "" || t.stopSentAt > 0 && now-t.stopSentAt < stopRepeat || !c.maySendStop(t) {
		return
	}
	t.stopSentAt = now
	c.stops = append(c.stops, Order{Kind: OrderStop, Endpoint: e.id, Addr: e.addr, Fence: c.fence(e), Task: t.name(), Run: t.run, task: t, sent: now})
}

// gangStartTimeout is how long the other members of a gang wait for one whose run is not
// confirmed. Its endpoint may have crashed as the start arrived, which can go unnoticed for
// seconds. Meanwhile the other members hold resources, and endpoints end members that wait for
// too long.
const gangStartTimeout = time.Second

// gangStartOverdue reports whether a gang member is still not confirmed after gangStartTimeout.
func (t *task) gangStartOverdue(now time.Duration) bool {
	return t.step.spec.Gang && t.orderedAt > 0 && t.confirmedAt == 0 && now-t.orderedAt > gangStartTimeout
}

// Stalled runs. Load: tasks on some endpoints make no progress while their leases are renewed. A
// run whose progress has not changed for stallFactor tenths of its expected duration, and for at
// least minStallTimeout, is stopped and started elsewhere; its checkpoint is kept.
const (
	stallFactor     = 4
	minStallTimeout = 2500 * time.Millisecond
)

// isStalled reports whether a run has made no progress for too long.
func (c *Core) isStalled(t *task) bool {
	if t.step.spec.LongRunning && t.percent >= fullyStarted {
		return false
	}
	expected := time.Duration(c.taskMs(t.step)) * time.Millisecond
	limit := max(minStallTimeout, stallFactor*expected/10)
	// Progress is unknown while the endpoint does not answer.
	return t.endpoint.failedPolls == 0 && t.endpoint.lastPollAnswer-max(t.progressAt, t.confirmedAt) > limit
}
