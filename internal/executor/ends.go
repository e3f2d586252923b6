package executor

import (
	"slices"
	"time"
)

func (c *Core) loseAll(e *endpoint, reason string) {
	tasks := make([]*task, 0, len(e.tasks))
	for t := range e.tasks {
		tasks = append(tasks, t)
	}
	for _, t := range tasks {
		c.event(Event{Kind: EventLost, Job: t.step.job.rec.Job.ID, Task: t.name(), Run: t.run, Endpoint: e.id, Reason: reason})
		c.again(t)
	}
}

// again puts a task whose run is known to have ended, or never to begin, back
// among those that wait.
func (c *Core) again(t *task) {
	s := t.step
	c.release(t)
	c.touch(s.job)
	if s.gangDone {
		t.phase = taskDone
		s.left--
		if s.left == 0 {
			c.completeStep(s)
		}
	} else {
		t.phase = taskWaiting
		s.waiting++
		c.breakGang(s)
	}
	c.retireIfStopped(s.job)
}

// breakGang stops the other members of a gang of which one is not there: they
// would wait for it until their endpoints give them up.
func (c *Core) breakGang(s *stepRun) {
	if !s.spec.Gang {
		return
	}
	for _, t := range s.tasks {
		if t.phase == taskPlaced {
			c.stopFor(t, "gang incomplete")
		}
	}
}

// takeEnd takes in an end that an endpoint lists.
func (c *Core) takeEnd(now time.Duration, e *endpoint, end ListedEnd) {
	if end.Number <= e.seen {
		return
	}
	e.seen = end.Number
	t := c.find(e, end.Task, end.Run)
	if t == nil {
		c.takeLateEnd(now, e, end)
		return
	}
	j := t.step.job
	j.begun = true
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
		c.again(t)
	}
}

// completeTask takes in that a task has ended well. One such end of a gang's member
// stands for all of them.
func (c *Core) completeTask(now time.Duration, t *task) {
	c.noteLength(now, t)
	c.release(t)
	c.markDone(t)
}

func (c *Core) markDone(t *task) {
	s, j := t.step, t.step.job
	t.phase = taskDone
	s.left--
	c.touch(j)
	if s.spec.Gang {
		c.completeGang(s)
	}
	if s.left == 0 {
		c.completeStep(s)
	}
	c.retireIfStopped(j)
}

// completeGang marks the members whose ends are still to be listed. Each of them
// ends done as well; their runs stay counted on their endpoints until then.
func (c *Core) completeGang(s *stepRun) {
	s.gangDone = true
	for _, t := range s.tasks {
		if t.phase == taskWaiting {
			t.phase = taskDone
			s.waiting--
			s.left--
		}
	}
}

func (c *Core) completeStep(s *stepRun) {
	o, j := s.occ, s.job
	o.left--
	if s.ran > 0 {
		c.learn(j.rec.Queue, s.ranMs/float64(s.ran), s.ran, s.spec.EstimateMs)
		c.setObjective(j)
	}
	for _, other := range o.steps {
		if slices.Contains(other.spec.After, s.index) {
			other.waitsFor--
		}
	}
	if o.left > 0 {
		return
	}
	c.closeOccurrence(j, o.number)
	if j.firstOpen >= j.occurrenceCount() && !j.rec.State.Ended() {
		c.end(j, JobCompleted, "all tasks done")
	}
}

// Backoff of tasks whose runs fail. A task that fails at once would otherwise
// be started some ten times a second.
const (
	failureBackoff    = 150 * time.Millisecond
	maxFailureBackoff = 1200 * time.Millisecond
)

// handleFailure takes in that a run has handleFailure, and fails the job after as many as
// its queue allows. Tasks that last have no such limit.
func (c *Core) handleFailure(now time.Duration, t *task, e *endpoint) {
	c.countFailure(now, t, e)
	c.again(t)
	c.endIfFailed(t)
}

// failureCount is where a task's failed runs are counted.
func (t *task) failureCount() *int {
	if t.step.spec.Gang {
		return &t.step.failures
	}
	return &t.failures
}

func (c *Core) countFailure(now time.Duration, t *task, e *endpoint) {
	count := t.failureCount()
	*count++
	t.avoid = e.incarnation()
	t.notBefore = now + min(failureBackoff<<min(*count-1, 8), maxFailureBackoff)
	c.touch(t.step.job)
}

func (c *Core) endIfFailed(t *task) {
	j := t.step.job
	if !t.step.spec.LongRunning && *t.failureCount() >= j.rec.Terms.Attempts && !j.rec.State.Ended() {
		c.end(j, JobFailed, "a task has failed as often as allowed")
	}
}
