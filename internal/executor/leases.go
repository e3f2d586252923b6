package executor

import "time"

// grantLease returns the end of the lease to request now, on the endpoint's clock, and records it. It
// is zero before that clock is known.
func (c *Core) grantLease(e *endpoint, now time.Duration) time.Duration {
	if e.clockAt == 0 {
		return 0
	}
	// An endpoint that does not answer may still receive polls: renewing its leases would postpone
	// for ever the moment at which its tasks can be started elsewhere.
	if e.failedPolls > 0 && e.grantedUntil > 0 {
		return e.grantedUntil
	}
	// The endpoint's clock may be slow and its last reading old. If its clock were assumed to be
	// ahead of what it is, the lease would outlast what a successor waits for.
	passed := time.Duration(float64(now-e.clockAt) * (1 - clockDrift))
	until := e.clock + passed + c.limits.Lease
	e.grantedUntil = max(e.grantedUntil, until)
	return until
}

// leaseExpiry is when all leases on an endpoint have certainly expired. Its clock may be slow, so a
// second on it may last longer here. On an endpoint that has not answered this owner, a predecessor
// may have renewed leases until its proof of ownership expired.
func (c *Core) leaseExpiry(e *endpoint) time.Duration {
	expiry := e.earlierRunsUntil
	if !e.hasReported && e.term == 0 {
		expiry = max(expiry, c.predecessorExpiry(e))
	}
	if e.clockAt > 0 {
		expiry = max(expiry, e.clockAt+maxElapsed(e.grantedUntil-e.clock))
	}
	return expiry
}

// maxElapsed is the longest time that may pass here while d passes on an endpoint's clock.
func maxElapsed(d time.Duration) time.Duration {
	return time.Duration(float64(max(0, d))/(1-clockDrift)) + expiryMargin
}

// abandonExpired abandons the runs of endpoints whose leases have all expired, and requeues their
// tasks.
func (c *Core) abandonExpired(now time.Duration) {
	for _, e := range c.endpoints {
		if len(e.tasks) > 0 && now >= c.leaseExpiry(e) {
			for t := range e.tasks {
				c.abandon(now, e, t)
			}
			c.requeueAll(e, "lease expired")
		}
	}
}

// recordClock records an endpoint's clock reading. The answer was made at some moment before now, so
// the estimate is never ahead of the endpoint.
func (e *endpoint) recordClock(now, clock time.Duration) {
	if clock <= 0 {
		return
	}
	if e.clockAt == 0 || clock >= e.clock {
		e.clock, e.clockAt = clock, now
	}
}
