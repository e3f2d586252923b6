package executor

import (
	"fmt"
	"time"
)

// justBegun is how long an endpoint must have been heard after it was first known to have a
// run for that run to count as one that goes on.
const justBegun = 250 * time.Millisecond

// endedRun is a run that was on an incarnation as that ended.
type endedRun struct {
	task *task
	// heard is how long the incarnation was heard after it was first known to have the run.
	heard time.Duration
}

// heardFor is how long the task's endpoint has been heard since it was first known to have
// the run; 0 where it is not known to have it.
func (t *task) heardFor() time.Duration {
	if t.host == nil || t.confirmed == 0 {
		return 0
	}
	return max(0, t.host.clockAt-t.confirmed)
}

// endedRuns returns the runs on an incarnation that has ended, but for those whose order
// never left.
func (e *endpoint) endedRuns() []endedRun {
	var out []endedRun
	for t := range e.tasks {
		if t.ordered > 0 || t.restored {
			out = append(out, endedRun{t, t.heardFor()})
		}
	}
	return out
}

// noteCrash says of each run that an incarnation took with it how far that speaks against
// its task: how long it had gone on, and how many runs of other jobs had just begun there.
func (c *Core) noteCrash(in Incarnation, runs []endedRun) {
	begun := map[*job]int{}
	for _, r := range runs {
		if r.heard < justBegun {
			begun[r.task.step.job]++
		}
	}
	all := 0
	for _, n := range begun {
		all += n
	}
	for _, r := range runs {
		t, j := r.task, r.task.step.job
		t.crashes++
		c.event(Event{Kind: EventCrashed, Job: j.rec.Job.ID, Task: t.name(), Run: t.run, Endpoint: in.ID, StartedMs: in.StartedMs,
			AgeMs:  r.heard.Milliseconds(),
			Reason: fmt.Sprintf("number %d under this task, %d runs of other jobs had just begun there", t.crashes, all-begun[j])})
	}
}
