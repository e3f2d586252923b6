package executor

import (
	"cmp"
	"slices"
	"time"
)

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
	c.stopLasting(now, e)
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

// unknownStops covers a stop that a predecessor sent just before it was fenced.
const unknownStops = time.Second

// stopLasting stops tasks that last, as many at a time as their steps may
// miss. A step without a budget is stopped at once.
//
// A predecessor may have ordered stops that this owner does not know of, and
// endpoints list a run as working until its stop is through. Until those stops
// must have ended, one more could be one too many.
func (c *Core) stopLasting(now time.Duration, e *endpoint) {
	if c.epoch > 1 && now < c.claimedAt+c.limits.StopTimeout+unknownStops {
		return
	}
	for t := range e.tasks {
		s := t.step
		if !s.spec.LongRunning || t.stopping {
			continue
		}
		if s.spec.MayMiss > 0 && c.away(s, t) >= s.spec.MayMiss {
			continue
		}
		c.stopFor(t, "instance leaves")
	}
}

// leaveDraining moves what lasts off an endpoint that is about to leave: it
// would end there without a checkpoint. An endpoint that leaves by itself takes
// nothing from the steps' budgets.
func (c *Core) leaveDraining(e *endpoint) {
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

// away counts the tasks of a step, besides one, that are not surely at work.
func (c *Core) away(s *stepRun, besides *task) int {
	n := 0
	for _, t := range s.tasks {
		if t != besides && (t.phase != taskPlaced || t.stopping || t.percent < atWork || t.host.failedLook > 0) {
			n++
		}
	}
	return n
}

func (e *endpoint) load() HostLoad {
	return HostLoad{Endpoint: e.id, UsedMilli: e.used.CPUMilli, Tasks: len(e.tasks), Lasting: e.hasLasting()}
}

// hopelessShare is how much of the ready work of jobs that are late anyway
// counts as need for instances: it has to be done, but not soon.
const hopelessShare = 0.3

// Summary returns the pool's state in figures.
func (c *Core) Summary(now time.Duration) Summary {
	s := Summary{Pool: c.pool, Jobs: len(c.open)}
	for _, e := range c.endpoints {
		if !e.usable() {
			continue
		}
		s.Endpoints++
		s.CapacityMilli += e.capacity.CPUMilli
		s.RunningCPUMilli += e.used.CPUMilli
		s.Hosts = append(s.Hosts, e.load())
		s.LastingCPUMilli += e.lastingCPU()
	}
	slices.SortFunc(s.Hosts, func(a, b HostLoad) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	s.OfferedCoreMs = c.offered
	s.LeastHosts, s.Starved = c.leastHosts(), c.starved(now)
	for _, j := range c.open {
		if j.rec.State.Ended() || lasting(&j.rec.Job) {
			continue
		}
		w := c.remaining(j)
		if c.hopeless(now, j) {
			w.ready *= hopelessShare
		}
		s.ReadyCoreMs += w.ready / 1000
		s.BacklogCoreMs += (w.ready + w.running + w.later) / 1000
		for _, o := range j.current {
			for _, st := range o.steps {
				s.WaitingTasks += st.waiting
			}
		}
	}
	return s
}

// leastHosts is how many endpoints the steps of lasting tasks need at least:
// those that serve and those that fill never share one.
func (c *Core) leastHosts() int {
	serving, filling := 0, 0
	for _, j := range c.open {
		if j.rec.State.Ended() {
			continue
		}
		for i := range j.rec.Job.Steps {
			st := &j.rec.Job.Steps[i]
			if !st.LongRunning {
				continue
			}
			need := 1
			if st.MaxPerEndpoint > 0 {
				need = (st.Count + st.MaxPerEndpoint - 1) / st.MaxPerEndpoint
			}
			if st.Fills {
				filling = max(filling, need)
			} else {
				serving = max(serving, need)
			}
		}
	}
	return serving + filling
}

// starved counts steps of lasting tasks of which one waits and finds no
// endpoint, though room in the pool's sum may be left.
func (c *Core) starved(now time.Duration) int {
	n := 0
	for _, j := range c.open {
		if j.rec.State.Ended() || !lasting(&j.rec.Job) {
			continue
		}
		for _, t := range j.waitingTasks() {
			found := false
			for _, e := range c.endpoints {
				found = found || c.obstacle(now, t, e) == obstacleNone
			}
			if !found {
				n++
			}
		}
	}
	return n
}
