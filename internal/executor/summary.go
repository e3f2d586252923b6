package executor

import (
	"cmp"
	"slices"
	"time"
)

// Summary is a pool's state in figures, for the fleet's decisions and for dumps.
type Summary struct {
	Pool string `json:"pool" cbor:"1,keyasint"`
	// BacklogCoreMs is the accepted work that has not ended; running tasks count as half done.
	BacklogCoreMs float64 `json:"backlog_core_ms" cbor:"2,keyasint"`
	// ReadyCoreMs is the part of BacklogCoreMs that could start at once, given capacity.
	ReadyCoreMs float64 `json:"ready_core_ms" cbor:"11,keyasint"`
	// RunningCPUMilli is the CPU in use by running tasks.
	RunningCPUMilli int `json:"running_cpu_milli" cbor:"3,keyasint"`
	CapacityMilli   int `json:"capacity_milli" cbor:"4,keyasint"`
	Endpoints       int `json:"endpoints" cbor:"5,keyasint"`
	WaitingTasks    int `json:"waiting_tasks" cbor:"6,keyasint"`
	Jobs            int `json:"jobs" cbor:"7,keyasint"`
	// LongRunningCPUMilli is the part of RunningCPUMilli used by long-running tasks.
	LongRunningCPUMilli int `json:"lasting_cpu_milli" cbor:"8,keyasint"`
	// OfferedCoreMs counts all work submitted since the epoch began, accepted or not, each job
	// once.
	OfferedCoreMs float64 `json:"offered_core_ms" cbor:"9,keyasint"`
	// EndpointLoads are the loads that were asked for, by endpoint.
	EndpointLoads []EndpointLoad `json:"hosts" cbor:"10,keyasint"`
	// MinEndpoints is how many endpoints the long-running tasks need to satisfy their steps'
	// limits of tasks per endpoint, however small the tasks are.
	MinEndpoints int `json:"least_hosts" cbor:"12,keyasint"`
	// Starved counts the steps of long-running tasks that find no endpoint.
	Starved int `json:"starved" cbor:"13,keyasint"`
}

// EndpointLoad is the load of an endpoint that is in service.
type EndpointLoad struct {
	Endpoint  string `json:"endpoint" cbor:"1,keyasint"`
	UsedMilli int    `json:"used_milli" cbor:"2,keyasint"`
	Tasks     int    `json:"tasks" cbor:"3,keyasint"`
	// HasLongRunning reports whether the endpoint has long-running tasks.
	HasLongRunning bool `json:"lasting" cbor:"4,keyasint"`
	// Renew is set if the endpoint's next incarnation would serve better; Unusable, if it can't get
	// tasks before and does not count as capacity.
	Renew    bool `json:"renew,omitempty" cbor:"5,keyasint,omitempty"`
	Unusable bool `json:"unusable,omitempty" cbor:"6,keyasint,omitempty"`
}

func (e *endpoint) load() EndpointLoad {
	return EndpointLoad{Endpoint: e.id, UsedMilli: e.used.CPUMilli, Tasks: len(e.tasks), HasLongRunning: e.hasLongRunning(),
		Renew: len(e.withheldEnds) > 0, Unusable: e.endsFull()}
}

// lateJobShare is how much of the ready work of jobs that will be late anyway counts as demand
// for instances: the work has to be done, but not soon.
const lateJobShare = 0.3

// EndpointLoads returns the loads of the named endpoints, and of the given number of others that
// have the least load and no long-running tasks, of those in service.
func (c *Core) EndpointLoads(least int, named []string) []EndpointLoad {
	var out, others []EndpointLoad
	for _, id := range named {
		if e := c.endpoints[id]; e != nil && e.inService() {
			out = append(out, e.load())
		}
	}
	if least > 0 {
		others = c.leastLoaded()
	}
	isNamed := make(map[string]bool, len(named))
	for _, id := range named {
		isNamed[id] = true
	}
	for _, l := range others {
		if least == 0 {
			break
		}
		if !isNamed[l.Endpoint] {
			out = append(out, l)
			least--
		}
	}
	slices.SortFunc(out, func(a, b EndpointLoad) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}

// leastLoaded returns the loads of the endpoints in service that have no long-running tasks, the least
// first, and of those with the same load the ones to renew.
func (c *Core) leastLoaded() []EndpointLoad {
	var out []EndpointLoad
	for _, e := range c.endpoints {
		if e.inService() && !e.hasLongRunning() {
			out = append(out, e.load())
		}
	}
	slices.SortFunc(out, func(a, b EndpointLoad) int {
		return cmp.Or(cmp.Compare(a.UsedMilli, b.UsedMilli), RenewFirst(a.Renew, b.Renew), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return out
}

// RenewFirst compares two endpoints, or their instances, so that those to renew sort before others.
func RenewFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// Summary returns the pool's state in figures, without EndpointLoads.
func (c *Core) Summary(now time.Duration) Summary {
	s := Summary{Pool: c.pool, Jobs: len(c.open)}
	for _, e := range c.endpoints {
		if !e.usable() {
			continue
		}
		s.Endpoints++
		s.CapacityMilli += e.capacity.CPUMilli
		s.RunningCPUMilli += e.used.CPUMilli
		s.LongRunningCPUMilli += e.longRunningCPU()
	}
	s.OfferedCoreMs = c.offeredCoreMs
	s.MinEndpoints, s.Starved = c.minLongRunningEndpoints(), c.countUnplaceableSteps(now)
	for _, j := range c.open {
		if j.rec.State.Ended() || isLongRunning(&j.rec.Job) {
			continue
		}
		w := c.remaining(j)
		if c.cannotMeetObjective(now, j) {
			w.ready *= lateJobShare
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

// minLongRunningEndpoints returns how many endpoints the long-running steps need at least: serving
// and filling steps never share an endpoint.
func (c *Core) minLongRunningEndpoints() int {
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

// countUnplaceableSteps counts the long-running steps with a waiting task that finds no
// endpoint, even if the pool's total free capacity would be enough.
func (c *Core) countUnplaceableSteps(now time.Duration) int {
	n := 0
	for _, j := range c.open {
		if j.rec.State.Ended() || !isLongRunning(&j.rec.Job) {
			continue
		}
		for _, t := range j.firstWaitingTasks() {
			found := t.givenUp
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
