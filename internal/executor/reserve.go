package executor

import "time"

// Reservations. Load: a pool under peak demand is full of short tasks that end one by one while
// an endpoint with long-running tasks crashes or is vacated. The capacity that a short task frees
// is smaller than a long-running task needs and goes to the next short one, so that
// long-running tasks wait as long as the peak lasts and their users see an outage. An endpoint
// reserved for a long-running task gets no more short ones, so that enough capacity becomes
// free within one or two of their runs.
const (
	// reservationDuration bounds a reservation: tasks that have not ended on the endpoint by
	// then will not end soon, and another endpoint may be better.
	reservationDuration = 4 * time.Second
	// maxReservedShare is the largest share of the open endpoints that may be reserved at a
	// time, so that the loss of many endpoints does not stop the short tasks.
	maxReservedShare = 0.25
	// maxReservationTriesPerRound bounds the tasks considered per round, as each requires a
	// scan of all endpoints.
	maxReservationTriesPerRound = 4
)

// reserve reserves endpoints for long-running tasks that find no free capacity, and for suspect
// tasks that find no endpoint without recently started tasks.
func (c *Core) reserve(now time.Duration, endpoints []*endpoint) {
	reserved := c.dropReservations(now)
	most := max(1, int(maxReservedShare*float64(len(endpoints))))
	tried := 0
	for _, t := range append(c.startableLongRunningTasks(now), c.waitingSuspects(now)...) {
		if len(reserved) >= most || tried == maxReservationTriesPerRound {
			return
		}
		if reserved[t] {
			continue
		}
		tried++
		if c.bestEndpoint(now, t, endpoints) != nil {
			continue // this round places it
		}
		if e := c.endpointToReserve(now, t, endpoints); e != nil {
			e.reservedFor, e.reservedUntil = t, now+reservationDuration
			reserved[t] = true
			c.event(Event{Kind: EventReserved, Job: t.step.job.rec.Job.ID, Task: t.name(), Endpoint: e.id, Run: len(e.tasks)})
		}
	}
}

// dropReservations ends the reservations that are used or expired, and returns the tasks of the
// others.
func (c *Core) dropReservations(now time.Duration) map[*task]bool {
	reserved := map[*task]bool{}
	for _, e := range c.endpoints {
		if e.reservedFor == nil {
			continue
		}
		if t := e.reservedFor; now >= e.reservedUntil || !c.isOpen(now, e) || t.phase != taskWaiting || t.step.job.rec.State.Ended() {
			e.reservedFor = nil
			continue
		}
		reserved[e.reservedFor] = true
	}
	return reserved
}

// startableLongRunningTasks returns the long-running tasks that could start now.
func (c *Core) startableLongRunningTasks(now time.Duration) []*task {
	var out []*task
	for _, j := range c.open {
		if j.rec.State.Ended() {
			continue
		}
		for s := range j.readySteps() {
			if !s.spec.LongRunning {
				continue
			}
			for _, t := range s.tasks {
				if c.mayStart(now, t) && !t.needsIsolatedRun(now) {
					out = append(out, t)
				}
			}
		}
	}
	return out
}

// endpointToReserve returns the endpoint with the most free capacity among those that would fit
// the task once their short tasks have ended.
func (c *Core) endpointToReserve(now time.Duration, t *task, endpoints []*endpoint) *endpoint {
	var best *endpoint
	for _, e := range endpoints {
		if e.reservedFor != nil || !e.capacityWithoutShortTasks().Holds(needs(t.step.spec)) || c.taskObstacle(now, t, e) != obstacleNone {
			continue
		}
		if best == nil || e.free().CPUMilli > best.free().CPUMilli {
			best = e
		}
	}
	return best
}

// capacityWithoutShortTasks returns the capacity that the long-running tasks leave.
func (e *endpoint) capacityWithoutShortTasks() Resources {
	capacity := e.capacity
	for t := range e.tasks {
		if t.step.spec.LongRunning {
			capacity = capacity.Minus(needs(t.step.spec))
		}
	}
	return capacity
}
