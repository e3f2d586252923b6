package executor

import "time"

// Changing capacity. An endpoint's capacity may shrink and grow while it runs, and its next entry
// in service discovery reports that. Load: the store is down, no entry arrives, and starts decided
// before are sent once it is back, to endpoints whose capacity has shrunk meanwhile. So starts rely
// on an entry only as long as an endpoint still honours the capacity that was in force at that
// entry.

// maxStartDelay is how long a start may take to reach its endpoint.
const maxStartDelay = 500 * time.Millisecond

// entryAge is how old an endpoint's newest service discovery entry is, by its own clock; 0 if
// unknown.
func (e *endpoint) entryAge(now time.Duration) time.Duration {
	if e.capacityReportedAt == 0 || e.clockAt == 0 {
		return 0
	}
	return e.clock + now - e.clockAt - e.capacityReportedAt
}

// hasCurrentCapacity reports whether an endpoint's last reported capacity is recent enough to place
// tasks by it.
func (c *Core) hasCurrentCapacity(now time.Duration, e *endpoint) bool {
	return c.limits.CapacityMaxAge == 0 || e.entryAge(now) <= c.limits.CapacityMaxAge-maxStartDelay
}

// maySendStart reports whether a durable start may still be sent: its endpoint's capacity may have
// shrunk since it was decided.
func (c *Core) maySendStart(now time.Duration, e *endpoint) bool {
	return c.hasCurrentCapacity(now, e) && e.capacity.Holds(e.used)
}

// cancelStart cancels a start that may not be sent. If it was sent before, it may have been carried
// out, or may be carried out later, until a stop closes its run number.
func (c *Core) cancelStart(t *task, reason string) {
	c.event(Event{Kind: EventLost, Job: t.step.job.rec.Job.ID, Task: t.name(), Run: t.run, Endpoint: t.endpoint.id, Reason: reason})
	if t.orderedAt == 0 {
		c.requeue(t)
		return
	}
	t.resending = false
	c.requestStop(t, "start cancelled")
	c.stopGangMembers(t.step)
}
