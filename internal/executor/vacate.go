package executor

import (
	"fmt"
	"time"
)

// vacateFor is how long a request to vacate is valid unless it is repeated.
const vacateFor = 4 * time.Second

// reasonVacate is the reason of stops that a request to vacate the endpoint asks for.
const reasonVacate = "instance leaves"

// vacate marks an endpoint so that no tasks are placed on it for vacateFor.
func (c *Core) vacate(now time.Duration, e *endpoint) {
	if !e.vacating {
		c.event(Event{Kind: EventVacating, Endpoint: e.id, Run: len(e.tasks)})
	}
	e.vacating = true
	e.vacateUntil = now + vacateFor
}

// Vacancy is how far an endpoint has been vacated.
type Vacancy struct {
	// Left is the number of tasks that are still on the endpoint.
	Left int
	// StartedMs identifies the incarnation, 0 if unknown.
	StartedMs int64
}

// Vacate requests that an endpoint is vacated, so that its instance can be moved or maintained, and
// returns how many tasks are left on it. No tasks are placed there for vacateFor after a request.
// Long-running tasks are stopped within their disruption budgets, other tasks only if stopTasks is
// set. The request applies to the endpoint's instance, and so to an incarnation that starts
// meanwhile.
func (c *Core) Vacate(now time.Duration, id string, stopTasks bool) (v Vacancy, known bool) {
	// An endpoint that service discovery does not list yet counts as vacating once it is listed.
	e := c.endpoint(id)
	c.vacate(now, e)
	c.stopLongRunning(e)
	if stopTasks {
		for t := range e.tasks {
			if !t.step.spec.LongRunning {
				c.requestStop(t, reasonVacate)
			}
		}
	}
	return Vacancy{Left: len(e.tasks) + e.unknownRuns, StartedMs: e.startedMs}, e.hasReported
}

// SetVacatingSoon sets which endpoints will have to be vacated soon. It is valid for vacateFor unless
// it is repeated.
func (c *Core) SetVacatingSoon(now time.Duration, ids []string) {
	for _, id := range ids {
		if e := c.endpoints[id]; e != nil {
			e.vacatingSoonUntil = now + vacateFor
		}
	}
}

// stopLongRunning stops long-running tasks, as many at a time as their steps' disruption budgets
// (MayMiss) allow. Tasks of a step without a budget are stopped at once.
func (c *Core) stopLongRunning(e *endpoint) {
	for t := range e.tasks {
		if t.step.spec.LongRunning && !t.stopping && c.withinBudget(t) {
			c.requestStop(t, reasonVacate)
		}
	}
}

// stopLongRunningOnDrain stops the long-running tasks of an endpoint that is shutting down,
// where they would end without a checkpoint. This does not count against the steps' disruption
// budgets.
func (c *Core) stopLongRunningOnDrain(e *endpoint) {
	for t := range e.tasks {
		if t.step.spec.LongRunning {
			c.requestStop(t, "endpoint drains")
		}
	}
}

// requestStop marks a task's run to be stopped and logs the reason.
func (c *Core) requestStop(t *task, reason string) {
	if t.stopping {
		if reason != reasonVacate {
			t.stopForVacate = false
		}
		return
	}
	t.stopForVacate, t.stopOrdered = reason == reasonVacate, false
	if budget := t.step.spec.MayMiss; budget > 0 {
		reason = fmt.Sprintf("%s; unavailable tasks of its step: %d, allowed: %d", reason, c.countUnavailable(t.step, t), budget)
	}
	t.stopping = true
	c.event(Event{Kind: EventStop, Job: t.step.job.rec.Job.ID, Task: t.name(), Run: t.run, Endpoint: t.endpoint.id, Reason: reason})
}

// expireVacate ends a request to vacate an endpoint that was not repeated in time.
func (c *Core) expireVacate(e *endpoint) {
	e.vacating = false
	for t := range e.tasks {
		if t.isStopPostponed() {
			t.stopping = false
			c.event(Event{Kind: EventStopWithdrawn, Job: t.step.job.rec.Job.ID, Task: t.name(), Run: t.run, Endpoint: e.id, Reason: "request to vacate expired"})
		}
	}
}

// isStopPostponed reports whether a stop was decided only for a request to vacate the endpoint and has
// been held back since, as maySendStop does with runs that are at work. Once an order has been sent, it
// may still be carried out.
func (t *task) isStopPostponed() bool {
	return t.stopping && t.stopForVacate && !t.stopOrdered && t.step.spec.LongRunning && t.percent >= fullyStarted
}

// maySendStop reports whether the stop of a run may be sent. Between the decision and the order, or its
// repetition, other tasks of the step may have become unavailable: a stop of a run that is at work is
// held against the disruption budget each time. Endpoints that drain, and jobs that have ended, end
// their runs in any case.
func (c *Core) maySendStop(t *task) bool {
	return !t.step.spec.LongRunning || t.percent < fullyStarted || t.endpoint.draining || t.step.job.rec.State.Ended() || c.withinBudget(t)
}

// withinBudget reports whether the disruption budget of a long-running task's step, if it has one,
// allows that the task becomes unavailable.
func (c *Core) withinBudget(t *task) bool {
	budget := t.step.spec.MayMiss
	return budget <= 0 || c.countUnavailable(t.step, t) < budget
}

// countUnavailable counts the tasks of a step, other than one, that are not confirmed to be
// fully started or are about to be stopped.
func (c *Core) countUnavailable(s *stepRun, except *task) int {
	n := 0
	for _, t := range s.tasks {
		if t != except && !c.isAvailable(t) {
			n++
		}
	}
	return n
}

// isAvailable reports whether a long-running task is confirmed to be fully started and is not about to
// be stopped.
func (c *Core) isAvailable(t *task) bool {
	return t.phase == taskPlaced && !t.stopping && t.percent >= fullyStarted && t.endpoint.failedPolls == 0 && !t.endpoint.draining &&
		c.outlivedPredecessor(t)
}

// outlivedPredecessor reports whether a run has been listed since any stop of it that the predecessor
// may have sent must be complete. This owner has no record of such a stop, and endpoints list a run as
// running until its stop is complete. None can begin once an endpoint has reported to this owner, which
// raises its fencing token.
func (c *Core) outlivedPredecessor(t *task) bool {
	return c.epoch == 1 || t.listedAt >= t.endpoint.firstReportClock+c.limits.StopTimeout
}
