// Package disruption checks the disruption budgets of long-running steps for simulated endpoints: no
// order may end a task that is at work while as many others of its step are away as the budget allows.
// The simulations of package executor's tests and package wire use it. Product code must not.
//
// Its callers report what their endpoints see; times are durations since any fixed moment.
package disruption

import (
	"fmt"
	"slices"
	"time"
)

// Notice is how long a task may be away for other reasons than an order before it counts against its
// step's disruption budget: within it an owner has noticed that.
const Notice = 4500 * time.Millisecond

// State is the state of a task on the endpoints.
type State uint8

// States of tasks.
const (
	// Away: no run of the task is at work.
	Away State = iota
	// AtWork: a run of the task has started up and is not being stopped.
	AtWork
	// Expired: the lease of a run at work has expired, and the endpoint has not ended the run yet. Such
	// a task counts against the budget at once, as its owner has gone without an answer for as long as
	// a lease lasts.
	Expired
)

// Check checks the budgets of steps. The zero value has none.
type Check struct{ steps map[string]*step }

// step is a step with a disruption budget.
type step struct {
	mayMiss int
	tasks   map[string]*task
}

// task is a task of such a step.
type task struct {
	state State
	// byOrder is set once an order has ended a run of the task, until the task is at work again.
	byOrder bool
	// awaySince is when the task was last lost, or its step was added.
	awaySince time.Duration
}

// isAway reports whether the task counts against the budget.
func (t *task) isAway(now time.Duration) bool {
	return t.byOrder || t.state == Expired || t.state == Away && now-t.awaySince >= Notice
}

// Watch adds the tasks of a step, of which mayMiss may be away at once. It replaces the step if it was
// added before.
func (c *Check) Watch(now time.Duration, mayMiss int, tasks []string) {
	if c.steps == nil {
		c.steps = map[string]*step{}
	}
	s := &step{mayMiss: mayMiss, tasks: map[string]*task{}}
	for _, name := range tasks {
		s.tasks[name] = &task{awaySince: now}
		c.steps[name] = s
	}
}

// Watches reports whether a task is checked.
func (c *Check) Watches(name string) bool { return c.steps[name] != nil }

// SameStep reports whether two tasks belong to one step that is checked.
func (c *Check) SameStep(a, b string) bool { return c.Watches(a) && c.steps[a] == c.steps[b] }

// Observe updates the states of all tasks.
func (c *Check) Observe(now time.Duration, stateOf func(task string) State) {
	for name, s := range c.steps {
		t, state := s.tasks[name], stateOf(name)
		if t.state == AtWork && state != AtWork {
			t.awaySince = now
		}
		t.state = state
		t.byOrder = t.byOrder && state != AtWork
	}
}

// Lost records that a run at work has ended without an order.
func (c *Check) Lost(now time.Duration, name string) {
	if s := c.steps[name]; s != nil {
		*s.tasks[name] = task{state: Away, awaySince: now}
	}
}

// Stop records an order that ends a task's run. It returns the violation of the budget, empty if there
// is none. The budget does not apply to an exempt order, such as one for a run that is not at work. The
// caller has observed the states before.
func (c *Check) Stop(now time.Duration, name string, exempt bool) string {
	s := c.steps[name]
	if s == nil {
		return ""
	}
	s.tasks[name].byOrder = true
	away := 0
	for other, t := range s.tasks {
		if other != name && t.isAway(now) {
			away++
		}
	}
	if exempt || away < s.mayMiss {
		return ""
	}
	return fmt.Sprintf("%s is ended by an order while %d others of its step are away, allowed are %d", name, away, s.mayMiss)
}

// NotAtWork returns the tasks that were not at work when they were last observed, sorted by name.
func (c *Check) NotAtWork() []string {
	var out []string
	for name, s := range c.steps {
		if s.tasks[name].state != AtWork {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
