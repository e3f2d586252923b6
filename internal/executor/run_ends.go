package executor

import (
	"slices"
	"time"
)

// requeueAll requeues all tasks of an endpoint, whose runs have ended with it.
func (c *Core) requeueAll(e *endpoint, reason string) {
	tasks := make([]*task, 0, len(e.tasks))
	for t := range e.tasks {
		tasks = append(tasks, t)
	}
	for _, t := range tasks {
		c.event(Event{Kind: EventLost, Job: t.step.job.rec.Job.ID, Task: t.name(), Run: t.run, Endpoint: e.id, Reason: reason})
		c.requeue(t)
	}
}

// requeue requeues a task whose run has ended or can't start any more.
func (c *Core) requeue(t *task) {
	s := t.step
	c.release(t)
	c.markDirty(s.job)
	if s.gangDone {
		t.phase = taskDone
		s.unfinished--
		if s.unfinished == 0 {
			c.completeStep(s)
		}
	} else {
		t.phase = taskWaiting
		s.waiting++
		c.stopGangMembers(s)
	}
	c.retireIfStopped(s.job)
}

// stopGangMembers stops the remaining members of a gang that lacks one. They would otherwise wait for
// it until their endpoints end them.
func (c *Core) stopGangMembers(s *stepRun) {
	if !s.spec.Gang {
		return
	}
	for _, t := range s.tasks {
		if t.phase == taskPlaced {
			c.requestStop(t, "gang incomplete")
		}
	}
}

// applyEnd applies an end that an endpoint lists.
func (c *Core) applyEnd(now time.Duration, e *endpoint, end ListedEnd) {
	if end.Number <= e.appliedEnd {
		return
	}
	e.appliedEnd = end.Number
	t := c.placedTask(e, end.Task, end.Run)
	if t == nil {
		c.applyLateEnd(now, e, end)
		return
	}
	j := t.step.job
	j.runConfirmed = true
	c.event(Event{Kind: EventTaskEnd, Job: j.rec.Job.ID, Task: end.Task, Run: end.Run, Endpoint: e.id, Reason: end.How.String()})
	if end.Checkpoint != "" {
		t.checkpoint = end.Checkpoint
	}
	c.updateQuarantine(now, e, t, end.How)
	switch {
	case end.How == EndedDone && !t.step.spec.LongRunning:
		c.completeTask(now, t)
	case end.How == EndedFailed:
		c.handleFailure(now, t, e)
	default:
		c.requeue(t)
	}
}

// completeTask records the run time of a completed task and marks the task as done.
func (c *Core) completeTask(now time.Duration, t *task) {
	c.recordLength(now, t)
	c.release(t)
	c.markDone(t)
}

// markDone marks a task as done, and the rest of its gang if it has one: the completion of one
// member counts for all of them.
func (c *Core) markDone(t *task) {
	s, j := t.step, t.step.job
	t.phase = taskDone
	s.unfinished--
	c.markDirty(j)
	if s.spec.Gang {
		c.completeGang(s)
	}
	if s.unfinished == 0 {
		c.completeStep(s)
	}
	c.retireIfStopped(j)
}

// completeGang marks the waiting members of a gang as done. Members that are still running will
// complete as well and stay counted on their endpoints until their ends are listed.
func (c *Core) completeGang(s *stepRun) {
	s.gangDone = true
	for _, t := range s.tasks {
		if t.phase == taskWaiting {
			t.phase = taskDone
			s.waiting--
			s.unfinished--
		}
	}
}

// completeStep records that all tasks of a step have ended, unblocks later steps and ends the
// job after its last occurrence.
func (c *Core) completeStep(s *stepRun) {
	o, j := s.occ, s.job
	o.unfinishedSteps--
	if s.measuredRuns > 0 {
		c.addLength(j.rec.Queue, s.measuredRunMs/float64(s.measuredRuns), s.measuredRuns, s.spec.EstimateMs)
		c.setObjective(j)
	}
	for _, other := range o.steps {
		if slices.Contains(other.spec.After, s.index) {
			other.waitsFor--
		}
	}
	if o.unfinishedSteps > 0 {
		return
	}
	c.closeOccurrence(j, o.number)
	if j.firstOpen >= j.occurrenceCount() && !j.rec.State.Ended() {
		c.endJob(j, JobCompleted, "all tasks done")
	}
}

// Backoff of tasks whose runs fail. Without it, a task that fails at once would be started about
// ten times a second.
const (
	failureBackoff    = 150 * time.Millisecond
	maxFailureBackoff = 1200 * time.Millisecond
)

// handleFailure requeues a task whose run has failed, and fails the job after as many failures
// as its queue allows. Long-running tasks have no such limit.
func (c *Core) handleFailure(now time.Duration, t *task, e *endpoint) {
	c.countFailure(now, t, t.run, e)
	c.requeue(t)
	c.endIfFailed(t)
}

// failureCount returns the counter of a task's failed runs, which the members of a gang share.
func (t *task) failureCount() *int {
	if t.step.spec.Gang {
		return &t.step.failures
	}
	return &t.failures
}

// failureCountWith is what the counter of failed runs becomes if a run has failed: a run of a gang counts
// once.
func (t *task) failureCountWith(run int) int {
	if t.step.spec.Gang && slices.Contains(t.step.failedRuns, run) {
		return t.step.failures
	}
	return *t.failureCount() + 1
}

// countFailure counts a failed run and delays the next one, preferably on another endpoint.
func (c *Core) countFailure(now time.Duration, t *task, run int, e *endpoint) {
	if t.step.gangDone {
		return
	}
	count := t.failureCount()
	*count = t.failureCountWith(run)
	if t.step.spec.Gang && !slices.Contains(t.step.failedRuns, run) {
		t.step.failedRuns = append(t.step.failedRuns, run)
	}
	t.avoidIncarnation = e.incarnation()
	t.notBefore = now + min(failureBackoff<<min(*count-1, 8), maxFailureBackoff)
	c.markDirty(t.step.job)
}

// endIfFailed fails the job if the task has failed as often as its queue allows.
func (c *Core) endIfFailed(t *task) {
	j := t.step.job
	if !t.step.spec.LongRunning && !t.step.gangDone && *t.failureCount() >= j.rec.Terms.Attempts && !j.rec.State.Ended() {
		c.endJob(j, JobFailed, "a task has failed as often as allowed")
	}
}
