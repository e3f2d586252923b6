package wire

import (
	"fmt"
	"slices"
	"time"
)

// SpecServes is the spec of a task that runs until its job is cancelled.
const SpecServes = "serve"

const (
	// serveStartup is how long such a task takes until it is at work.
	serveStartup = 300 * time.Millisecond
	// awayNotice is how long a task may be away for other reasons than an order before it counts
	// against its step's disruption budget.
	awayNotice = 4500 * time.Millisecond
)

// budget is the disruption budget of a step.
type budget struct {
	mayMiss int
	tasks   []string
}

// WatchBudget checks the disruption budget of a job's first step from now on: no stop may end a task
// that is at work while mayMiss others or more are away.
func (p *Platform) WatchBudget(job string, mayMiss, count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := &budget{mayMiss: mayMiss}
	for n := range count {
		task := fmt.Sprintf("%s.0.0.%d", job, n)
		b.tasks = append(b.tasks, task)
		p.budgets[task] = b
		p.history(task).lastAtWork = time.Now()
	}
}

// NotAtWork returns the tasks with a disruption budget that are not at work.
func (p *Platform) NotAtWork() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for task := range p.budgets {
		if !p.isAtWorkLocked(task) {
			out = append(out, task)
		}
	}
	slices.Sort(out)
	return out
}

func (run *taskRun) isAtWork() bool {
	return !run.stopping && time.Since(run.startedAt) >= serveStartup
}

func (p *Platform) isAtWorkLocked(task string) bool {
	for _, e := range p.endpoints {
		if run := e.running[task]; run != nil && run.isAtWork() && !e.crashed && !e.removed && e.clock() <= e.lease {
			return true
		}
	}
	return false
}

// checkBudgetLocked records a violation if a stop ends a run beyond its step's disruption budget.
func (e *Endpoint) checkBudgetLocked(task string, run *taskRun) {
	b := e.p.budgets[task]
	if b == nil || run.stopping {
		return
	}
	away := 0
	for _, other := range b.tasks {
		h := e.p.history(other)
		if other != task && !e.p.isAtWorkLocked(other) && (h.awayByOrder || time.Since(h.lastAtWork) >= awayNotice) {
			away++
		}
	}
	if run.isAtWork() && away >= b.mayMiss {
		e.p.violations = append(e.p.violations, fmt.Sprintf("%s is ended by an order while %d others of its step are away, allowed are %d", task, away, b.mayMiss))
	}
	e.p.history(task).awayByOrder = true
}

// recordRunEndLocked records the end of a run without an order.
func (e *Endpoint) recordRunEndLocked(task string, run *taskRun) {
	if e.p.budgets[task] != nil && run.isAtWork() {
		h := e.p.history(task)
		h.awayByOrder, h.lastAtWork = false, time.Now()
	}
}
