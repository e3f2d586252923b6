package executor

import "time"

// vacateFor is how long a request to vacate holds unless it is repeated.
const vacateFor = 4 * time.Second

// vacate stops placing on an endpoint and moves what lasts on it elsewhere.
func (c *Core) vacate(now time.Duration, e *endpoint) {
	if !e.vacating {
		c.event(Event{Kind: EventVacating, Endpoint: e.id, Run: len(e.tasks)})
	}
	e.vacating = true
	e.vacateUntil = now + vacateFor
}

// Vacancy is how far an endpoint is cleared of tasks.
type Vacancy struct {
	// Left is how many tasks are left on it.
	Left int
	// StartedMs tells the incarnation that this is about, 0 where not told.
	StartedMs int64
}

// Vacate asks to clear an endpoint of tasks, so that its instance can move or
// be maintained. It returns how many are left; with none left nothing is
// placed there for vacateFor, unless the request is withdrawn. Tasks that end
// by themselves are left to it unless hurry is set. The request holds for the
// endpoint's instance, and so for an incarnation that begins meanwhile.
func (c *Core) Vacate(now time.Duration, id string, hurry bool) (v Vacancy, known bool) {
	// An endpoint that service discovery has not shown yet is kept clear from
	// the moment it does.
	e := c.endpoint(id)
	c.vacate(now, e)
	c.stopLongRunning(now, e)
	if hurry {
		for t := range e.tasks {
			if !t.step.spec.LongRunning {
				c.stopFor(t, "instance leaves")
			}
		}
	}
	return Vacancy{Left: len(e.tasks) + e.strangers, StartedMs: e.startedMs}, e.lookedEver
}

// LeavesSoon takes in which endpoints will have to be cleared soon. It holds for
// vacateFor unless it is repeated.
func (c *Core) LeavesSoon(now time.Duration, ids []string) {
	for _, id := range ids {
		if e := c.endpoints[id]; e != nil {
			e.dueUntil = now + vacateFor
		}
	}
}

// predecessorStopWindow covers a stop that a predecessor sent just before it was fenced.
const predecessorStopWindow = time.Second

// stopLongRunning stops tasks that last, as many at a time as their steps may
// miss. A step without a budget is stopped at once.
//
// A predecessor may have ordered stops that this owner does not know of, and
// endpoints list a run as working until its stop is through. Until those stops
// must have ended, one more could be one too many.
func (c *Core) stopLongRunning(now time.Duration, e *endpoint) {
	if c.epoch > 1 && now < c.claimedAt+c.limits.StopTimeout+predecessorStopWindow {
		return
	}
	for t := range e.tasks {
		s := t.step
		if !s.spec.LongRunning || t.stopping {
			continue
		}
		if s.spec.MayMiss > 0 && c.countUnavailable(s, t) >= s.spec.MayMiss {
			continue
		}
		c.stopFor(t, "instance leaves")
	}
}

// stopLongRunningOnDrain moves what lasts off an endpoint that is about to leave: it
// would end there without a checkpoint. An endpoint that leaves by itself takes
// nothing from the steps' budgets.
func (c *Core) stopLongRunningOnDrain(e *endpoint) {
	for t := range e.tasks {
		if t.step.spec.LongRunning {
			c.stopFor(t, "endpoint drains")
		}
	}
}

func (c *Core) stopFor(t *task, reason string) {
	if t.stopping {
		return
	}
	t.stopping = true
	c.event(Event{Kind: EventStop, Job: t.step.job.rec.Job.ID, Task: t.name(), Run: t.run, Endpoint: t.host.id, Reason: reason})
}

// countUnavailable counts the tasks of a step, besides one, that are not surely at work.
func (c *Core) countUnavailable(s *stepRun, except *task) int {
	n := 0
	for _, t := range s.tasks {
		if t != except && (t.phase != taskPlaced || t.stopping || t.percent < atWork || t.host.failedLook > 0) {
			n++
		}
	}
	return n
}
