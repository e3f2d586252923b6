package executor

import "time"

// grant returns the end of a lease to ask for now, on the endpoint's clock, or
// zero before its clock is known.
func (c *Core) grant(e *endpoint, now time.Duration) time.Duration {
	if e.clockAt == 0 {
		return 0
	}
	// An endpoint that does not answer may still hear: renewing its leases
	// would put off the moment at which its tasks can begin elsewhere for ever.
	if e.failedLook > 0 && e.granted > 0 {
		return e.granted
	}
	// The endpoint's clock may be slow and its last reading old: taken for
	// ahead, the lease would outlast what a successor waits for.
	passed := time.Duration(float64(now-e.clockAt) * (1 - clockDrift))
	until := e.clock + passed + c.limits.Lease
	e.granted = max(e.granted, until)
	return until
}

// expiryOf is when all leases on an endpoint have surely run out. Its clock
// may be slow, so that a second of its time lasts a little longer here. For an
// endpoint that has not answered this owner, a predecessor may have renewed
// for as long as it was allowed to believe in itself.
func (c *Core) expiryOf(e *endpoint) time.Duration {
	if !e.lookedEver && e.term == 0 {
		return max(e.heldUntil, c.unheardExpiry(e))
	}
	return max(e.heldUntil, e.clockAt+stretched(e.granted-e.clock))
}

// stretched is how long a time on an endpoint's clock may last.
func stretched(d time.Duration) time.Duration {
	return time.Duration(float64(max(0, d))/(1-clockDrift)) + expiryMargin
}

// expire takes back the tasks of endpoints whose leases have all run out.
func (c *Core) expire(now time.Duration) {
	for _, e := range c.endpoints {
		if len(e.tasks) > 0 && now >= c.expiryOf(e) {
			for t := range e.tasks {
				c.giveUp(now, e, t)
			}
			c.loseAll(e, "lease ran out")
		}
	}
}

// noteClock takes in an endpoint's clock. The answer was made at some moment
// before now, so the estimate is never ahead of the endpoint.
func (e *endpoint) noteClock(now, clock time.Duration) {
	if clock <= 0 {
		return
	}
	if e.clockAt == 0 || clock >= e.clock {
		e.clock, e.clockAt = clock, now
	}
}
