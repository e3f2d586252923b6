package executor

import (
	"slices"
	"time"
)

// Late ends. Load: an endpoint does not report for longer than its leases last, because its network
// or this owner's link is cut or saturated. Its runs are abandoned and their tasks restarted
// elsewhere; then it lists that a run had ended well before its lease expired. Acknowledging that
// end would confirm work that is done a second time, or a failure after which no run was allowed to
// start. Unacknowledged, the end does not count, and the second run is the only one.
//
// An end is void, and may be acknowledged, once another run on its endpoint has ended later because the
// leases there expired.
//
// The endpoint keeps listing what is not acknowledged, with all later ends. These are applied as usual.
// It gets tasks only if no other endpoint has capacity for them, and none once it could not list all of
// its ends any more. Its next incarnation has no such ends, so its instance is the first to be moved.

const (
	// withheldPollGap and withheldIdlePollGap are the intervals between polls of an endpoint whose list
	// never becomes empty, with and without tasks: it answers each of them at once.
	withheldPollGap     = 200 * time.Millisecond
	withheldIdlePollGap = 400 * time.Millisecond
)

// withheldEnd is an end that must not be acknowledged.
type withheldEnd struct {
	number int64
	runID
}

// applyLateEnd applies the end of a run that is not a current one. An end that arrives before its
// task was placed again counts like one in time.
func (c *Core) applyLateEnd(now time.Duration, e *endpoint, end ListedEnd) {
	t := c.taskByName(end.Task)
	id := runID{end.Task, end.Run}
	abandoned := e.abandonedRuns[id]
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
	if !e.withholds(end.Number) {
		c.dropAbandoned(e, id)
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

// applyLateFailure applies the late failed end of an abandoned run. It counts, unless a run has started
// since that would exceed the allowed attempts: then it must not.
func (c *Core) applyLateFailure(now time.Duration, e *endpoint, end ListedEnd, t *task) {
	if t == nil || t.run > end.Run && t.failureCountWith(end.Run) >= t.step.job.rec.Terms.Attempts {
		c.withhold(e, end)
		return
	}
	c.event(Event{Kind: EventTaskEnd, Job: t.step.job.rec.Job.ID, Task: end.Task, Run: end.Run, Endpoint: e.id, Reason: "failed, heard late"})
	c.countFailure(now, t, end.Run, e)
	c.endIfFailed(t)
}

// withhold keeps an end, and all later ones of its endpoint, from being acknowledged, unless it is void.
func (c *Core) withhold(e *endpoint, end ListedEnd) {
	w := withheldEnd{end.Number, runID{end.Task, end.Run}}
	if c.isVoid(e, w) {
		return
	}
	e.withheldEnds = append(e.withheldEnds, w)
	c.event(Event{Kind: EventWithheld, Task: end.Task, Run: end.Run, Endpoint: e.id, Reason: "its task has been started again"})
}

func (e *endpoint) withholds(end int64) bool {
	return slices.ContainsFunc(e.withheldEnds, func(w withheldEnd) bool { return w.number == end })
}

// voidWithheldEnds finds the newest run in a listing that ended because the endpoint's leases expired, and
// no longer withholds the ends before it.
func (c *Core) voidWithheldEnds(e *endpoint, ended []ListedEnd) {
	for _, end := range ended {
		if end.How == EndedLeaseExpired {
			e.leaseExpiredEnd = max(e.leaseExpiredEnd, end.Number)
		}
	}
	e.withheldEnds = slices.DeleteFunc(e.withheldEnds, func(w withheldEnd) bool {
		if !c.isVoid(e, w) {
			return false
		}
		c.dropAbandoned(e, w.runID)
		return true
	})
}

// isVoid reports, and logs, whether an end that would have to be withheld is void.
func (c *Core) isVoid(e *endpoint, w withheldEnd) bool {
	if w.number >= e.leaseExpiredEnd {
		return false
	}
	c.event(Event{Kind: EventVoid, Task: w.task, Run: w.run, Endpoint: e.id, Reason: "leases have expired since"})
	return true
}

// gangHasStarted reports whether members of a gang are running: they would have to end with the one
// whose end was late.
func (c *Core) gangHasStarted(s *stepRun) bool {
	return s.spec.Gang && s.waiting < s.unfinished
}

// lastAcknowledgeable is the number of the last end that may be acknowledged.
func (e *endpoint) lastAcknowledgeable() int64 {
	if len(e.withheldEnds) > 0 {
		return min(e.appliedEnd, e.withheldEnds[0].number-1)
	}
	return e.appliedEnd
}

// endsFull reports whether the endpoint can't get another task: it lists at most fullListing ends, and
// those beyond would not be seen.
func (e *endpoint) endsFull() bool {
	return len(e.withheldEnds) > 0 && int(e.appliedEnd-e.lastAcknowledgeable())+len(e.tasks) >= fullListing-1
}

func (e *endpoint) pollInterval() time.Duration {
	switch {
	case len(e.withheldEnds) == 0:
		return pollGap
	case len(e.tasks) == 0:
		return withheldIdlePollGap
	}
	return withheldPollGap
}
