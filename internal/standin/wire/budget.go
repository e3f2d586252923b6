package wire

import (
	"fmt"
	"time"

	"cyclamenwheel/internal/standin/disruption"
)

// SpecServes is the spec of a task that runs until its job is cancelled.
const SpecServes = "serve"

// serveStartup is how long such a task takes until it is at work.
const serveStartup = 300 * time.Millisecond

// WatchBudget checks the disruption budget of a job's first step from now on: no stop may end a task
// that is at work while mayMiss others or more are away.
func (p *Platform) WatchBudget(job string, mayMiss, count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var tasks []string
	for n := range count {
		tasks = append(tasks, fmt.Sprintf("%s.0.0.%d", job, n))
	}
	p.budgets.Watch(p.elapsed(), mayMiss, tasks)
}

// NotAtWork returns the tasks with a disruption budget that are not at work.
func (p *Platform) NotAtWork() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observeBudgetedTasksLocked()
	return p.budgets.NotAtWork()
}

// elapsed is the time since the platform was started.
func (p *Platform) elapsed() time.Duration { return time.Since(p.startedAt) }

func (run *taskRun) isAtWork() bool {
	return !run.stopping && time.Since(run.startedAt) >= serveStartup
}

func (p *Platform) observeBudgetedTasksLocked() { p.budgets.Observe(p.elapsed(), p.stateOfLocked) }

// stateOfLocked returns the state of a task with a disruption budget.
func (p *Platform) stateOfLocked(task string) disruption.State {
	state := disruption.Away
	for _, e := range p.endpoints {
		run := e.running[task]
		if run == nil || !run.isAtWork() || e.crashed || e.removed {
			continue
		}
		if e.clock() <= e.lease {
			return disruption.AtWork
		}
		state = disruption.Expired
	}
	return state
}

// checkBudgetLocked records a violation if a stop ends a run beyond its step's disruption budget.
func (e *Endpoint) checkBudgetLocked(task string, run *taskRun) {
	if run.stopping {
		return
	}
	e.p.observeBudgetedTasksLocked()
	if violation := e.p.budgets.Stop(e.p.elapsed(), task, !run.isAtWork()); violation != "" {
		e.p.violations = append(e.p.violations, violation)
	}
}

// recordRunEndLocked records the end of a run without an order.
func (e *Endpoint) recordRunEndLocked(task string, run *taskRun) {
	if run.isAtWork() {
		e.p.budgets.Lost(e.p.elapsed(), task)
	}
}
