package executor

import "time"

// Reservations. Load: a pool in its turn of demand is full of short tasks that
// end one by one, while an endpoint with lasting tasks dies or leaves. The holes
// that short tasks leave are smaller than a lasting task and go to the next short
// one, so that lasting tasks wait for as long as the turn goes on and their users
// see them away. An endpoint kept for a lasting task takes no more short ones, so that
// its room comes together within a run or two of these.
const (
	// reserveFor bounds a reservation: what has not ended on the endpoint by
	// then does not end soon, and another endpoint may do better.
	reservationDuration = 4 * time.Second
	// reserveShare is the most of the open endpoints that is kept at a time, so
	// that the loss of many does not stop the short tasks.
	maxReservedShare = 0.25
	// reservePerRound bounds the tasks that one round looks at: each costs a
	// look at every endpoint.
	maxReservationTriesPerRound = 4
)

// reserve keeps endpoints for lasting tasks that find none with room, and for suspects that
// find none on which nothing has just begun.
func (c *Core) reserve(now time.Duration, hosts []*endpoint) {
	kept := c.dropReservations(now)
	most := max(1, int(maxReservedShare*float64(len(hosts))))
	tried := 0
	for _, t := range append(c.startableLongRunningTasks(now), c.suspectsWaiting(now)...) {
		if len(kept) >= most || tried == maxReservationTriesPerRound {
			return
		}
		if kept[t] {
			continue
		}
		tried++
		if c.choose(now, t, hosts) != nil {
			continue // it is placed in this round
		}
		if e := c.endpointToReserve(now, t, hosts); e != nil {
			e.keptFor, e.keptUntil = t, now+reservationDuration
			kept[t] = true
			c.event(Event{Kind: EventKept, Job: t.step.job.rec.Job.ID, Task: t.name(), Endpoint: e.id, Run: len(e.tasks)})
		}
	}
}

// dropReservations ends those that have served their purpose or lasted too
// long, and returns the tasks of the others.
func (c *Core) dropReservations(now time.Duration) map[*task]bool {
	kept := map[*task]bool{}
	for _, e := range c.endpoints {
		if e.keptFor == nil {
			continue
		}
		if t := e.keptFor; now >= e.keptUntil || !c.isOpen(now, e) || t.phase != taskWaiting || t.step.job.rec.State.Ended() {
			e.keptFor = nil
			continue
		}
		kept[e.keptFor] = true
	}
	return kept
}

// lastingWaiting returns the lasting tasks that could start now.
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
				if c.mayStart(now, t) && !t.alone(now) {
					out = append(out, t)
				}
			}
		}
	}
	return out
}

// choiceToKeep returns the endpoint that would take the task once its short
// tasks have ended, and has the most room already.
func (c *Core) endpointToReserve(now time.Duration, t *task, hosts []*endpoint) *endpoint {
	var best *endpoint
	for _, e := range hosts {
		if e.keptFor != nil || !e.capacityWithoutShortTasks().Holds(needs(t.step.spec)) || c.mismatch(now, t, e) != obstacleNone {
			continue
		}
		if best == nil || e.free().CPUMilli > best.free().CPUMilli {
			best = e
		}
	}
	return best
}

// withoutShort is the room left beside the tasks that last.
func (e *endpoint) capacityWithoutShortTasks() Room {
	room := e.capacity
	for t := range e.tasks {
		if t.step.spec.LongRunning {
			room = room.Minus(needs(t.step.spec))
		}
	}
	return room
}
