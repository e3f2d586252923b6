package executor

import "time"

// Late ends. Load: an endpoint does not report for longer than its leases last, because its network
// or this owner's link is cut or saturated. Its runs are abandoned and their tasks restarted
// elsewhere; then it lists that a run had ended well before its lease expired. Acknowledging that
// end would confirm work that is done a second time, or a failure after which no run was allowed to
// start. Unacknowledged, the end does not count, and the second run is the only one.
//
// The endpoint keeps listing what is not acknowledged, with all later ends. It gets no new tasks, so
// that its list stays short, until its instance is moved or maintained: the next incarnation has no
// such end.

// withheldPollGap is the interval between polls of an endpoint whose list never becomes empty: it
// answers each of them at once.
const withheldPollGap = 400 * time.Millisecond

// applyLateEnd applies the end of a run that is not a current one. An end that arrives before its
// task was placed again counts like one in time.
func (c *Core) applyLateEnd(now time.Duration, e *endpoint, end ListedEnd) {
	t := c.taskByName(end.Task)
	abandoned := e.abandonedRuns[end.Task] == end.Run
	if t != nil && t.step.spec.LongRunning {
		return
	}
	switch end.How {
	case EndedDone:
		c.applyLateSuccess(e, end, t, abandoned)
	case EndedFailed:
		if abandoned {
			c.applyLateFailure(now, e, end, t)
		}
	}
	if e.withheldEnd != end.Number {
		c.dropAbandoned(e, end.Task)
	}
}

// applyLateSuccess applies a late successful end; t is nil if its job is no longer open.
func (c *Core) applyLateSuccess(e *endpoint, end ListedEnd, t *task, abandoned bool) {
	if t != nil && t.phase == taskWaiting && t.run == end.Run && !c.gangHasStarted(t.step) {
		c.event(Event{Kind: EventTaskEnd, Job: t.step.job.rec.Job.ID, Task: end.Task, Run: end.Run, Endpoint: e.id, Reason: "done, heard late"})
		t.step.waiting--
		c.markDone(t)
		return
	}
	if superseded := t != nil && t.run > end.Run; superseded || abandoned {
		c.withhold(e, end)
	}
}

// applyLateFailure applies the late failed end of an abandoned run. It counts, or is withheld if a
// run has started since that would exceed the allowed attempts.
func (c *Core) applyLateFailure(now time.Duration, e *endpoint, end ListedEnd, t *task) {
	if t == nil || t.run > end.Run && *t.failureCount()+1 >= t.step.job.rec.Terms.Attempts {
		c.withhold(e, end)
		return
	}
	c.event(Event{Kind: EventTaskEnd, Job: t.step.job.rec.Job.ID, Task: end.Task, Run: end.Run, Endpoint: e.id, Reason: "failed, heard late"})
	c.countFailure(now, t, e)
	c.endIfFailed(t)
}

// withhold keeps an end, and all later ones of its endpoint, from being acknowledged.
func (c *Core) withhold(e *endpoint, end ListedEnd) {
	if e.withheldEnd == 0 {
		e.withheldEnd = end.Number
		c.event(Event{Kind: EventWithheld, Task: end.Task, Run: end.Run, Endpoint: e.id, Reason: "its task has been started again"})
	}
}

// gangHasStarted reports whether members of a gang are running: they would have to end with the one
// whose end was late.
func (c *Core) gangHasStarted(s *stepRun) bool {
	return s.spec.Gang && s.waiting < s.unfinished
}

// lastAcknowledgeable is the number of the last end that may be acknowledged.
func (e *endpoint) lastAcknowledgeable() int64 {
	if e.withheldEnd > 0 {
		return min(e.appliedEnd, e.withheldEnd-1)
	}
	return e.appliedEnd
}

func (e *endpoint) pollInterval() time.Duration {
	if e.withheldEnd > 0 {
		return withheldPollGap
	}
	return pollGap
}
