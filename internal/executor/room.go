package executor

import "time"

// Room that changes. An endpoint's room may shrink and grow while it runs, and it tells so with
// its next entry in service discovery. Load: the store is away, no entry comes, and what was
// decided before leaves as it is back, into rooms that have shrunk meanwhile. So starts go by an
// entry only as long as a room that has shrunk right after it still counts.

// startTravels is how long a start may take to its endpoint.
const startTravels = 500 * time.Millisecond

// toldAgo is how old an endpoint's newest entry is, by its own clock; 0 where that is not known.
func (e *endpoint) toldAgo(now time.Duration) time.Duration {
	if e.toldAt == 0 || e.clockAt == 0 {
		return 0
	}
	return e.clock + now - e.clockAt - e.toldAt
}

// roomKnown reports whether starts may go by what an endpoint has told of its room.
func (c *Core) roomKnown(now time.Duration, e *endpoint) bool {
	return c.limits.RoomHolds == 0 || e.toldAgo(now) <= c.limits.RoomHolds-startTravels
}

// mayLeave reports whether a durable start may still leave: its endpoint's room may have shrunk
// since it was decided.
func (c *Core) mayLeave(now time.Duration, e *endpoint) bool {
	return c.roomKnown(now, e) && e.capacity.Holds(e.used)
}

// takeBack gives up a start that may not leave. One that has left before may have been
// carried out, or be carried out later, until a stop closes its number.
func (c *Core) takeBack(t *task) {
	c.event(Event{Kind: EventLost, Job: t.step.job.rec.Job.ID, Task: t.name(), Run: t.run, Endpoint: t.host.id, Reason: "the endpoint's room may have shrunk"})
	if t.ordered == 0 {
		c.again(t)
		return
	}
	t.resending, t.stopping = false, true
	c.breakGang(t.step)
}
