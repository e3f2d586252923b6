package executor_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/jobs"
	"cyclamenwheel/internal/standin/disruption"
)

const (
	// serviceStartup is how long a task with a disruption budget takes until it is at work.
	serviceStartup = 400 * time.Millisecond
	// pollTimeout is how long after its wait a poll counts as unanswered.
	pollTimeout = 700 * time.Millisecond
)

// watchBudgets starts to check the budgets of a job's steps.
func (w *world) watchBudgets(j jobs.Job) {
	for i, s := range j.Steps {
		if !s.LongRunning || s.MayMiss == 0 || w.budgets.Watches(jobs.TaskName{Job: j.ID, Step: i}.String()) {
			continue
		}
		var tasks []string
		for k := range s.Count {
			tasks = append(tasks, jobs.TaskName{Job: j.ID, Step: i, Index: k}.String())
		}
		w.budgets.Watch(w.now, s.MayMiss, tasks)
	}
}

// observeBudgetedTasks updates which tasks are at work.
func (w *world) observeBudgetedTasks() {
	states := map[string]disruption.State{}
	for _, h := range w.endpoints {
		for _, r := range h.running {
			if r.isAtWork(w.now) {
				states[r.task] = disruption.AtWork
			}
		}
	}
	w.budgets.Observe(w.now, func(task string) disruption.State { return states[task] })
}

// isAtWork reports whether a run of a task with a budget has started up and is not being stopped.
func (r *run) isAtWork(now time.Duration) bool {
	return now-r.began >= serviceStartup && r.outcome != executor.EndedStopped
}

// checkBudget checks an order that ends a run against its step's disruption budget. Endpoints that
// drain or fail their runs, and orders that are carried out late, are exempt.
func (w *world) checkBudget(h *simEndpoint, r *run, late bool) {
	if r.outcome == executor.EndedStopped {
		return
	}
	exempt := late || h.draining || h.failsAll || h.stalls || !r.isAtWork(w.now)
	if violation := w.budgets.Stop(w.now, r.task, exempt); violation != "" {
		w.violations = append(w.violations, fmt.Sprintf("%v: %s\n%s", w.now, violation, w.traceOfStep(r.task)))
	}
}

// traceOfStep returns the trace of the tasks of a task's step as text.
func (w *world) traceOfStep(task string) string {
	var b strings.Builder
	for _, t := range w.trace {
		if t.task == "" || w.budgets.SameStep(t.task, task) {
			fmt.Fprintf(&b, "%v %s %s %s run %d epoch %d %v\n", t.at, t.what, t.task, t.endpoint, t.run, t.epoch, t.result)
		}
	}
	return b.String()
}

// operate ends an incarnation by an operation on its instance, and with it all that runs there. The
// instance gets a new endpoint.
func (w *world) operate(h *simEndpoint, nextID string) {
	for _, r := range h.running {
		w.checkBudget(h, r, false)
	}
	w.kill(h)
	next := w.addEndpoint(nextID)
	next.rack, next.capacity = h.rack, h.capacity
	next.entryWritten, next.entryWrittenAt = executor.EndpointInfo{}, 0 // it writes its entry at the next step
}

// openPoll is a poll that waits at its endpoint for an end, until a time.
type openPoll struct {
	owner     *owner
	poll      executor.Poll
	startedMs int64
	number    int64
	until     time.Duration
}

// answerOpenPolls answers the polls whose endpoints have a new end or whose time is up.
func (w *world) answerOpenPolls() {
	w.openPolls = slices.DeleteFunc(w.openPolls, func(p openPoll) bool {
		h := w.endpoints[p.poll.Endpoint]
		switch {
		case p.owner.stopped:
		case h == nil || h.terminated || h.startedMs != p.startedMs || !h.reachableBy(p.owner.epoch):
			w.failPoll(p.owner, p.poll)
		case h.number > p.number || w.now >= p.until:
			w.answerPoll(p.owner, p.poll, h)
		default:
			return false
		}
		return true
	})
}

// failPoll makes a poll count as unanswered, at once or after its wait and pollTimeout.
func (w *world) failPoll(o *owner, p executor.Poll) {
	if !w.waitingPolls {
		o.core.PollDone(w.now, p, executor.PollUnanswered, executor.Listed{})
		return
	}
	w.answers = append(w.answers, lateAnswer{w.now + p.Wait + pollTimeout, o, p, executor.Listed{}, executor.PollUnanswered})
}
