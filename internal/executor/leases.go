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

// mayHaveRestarted reports whether a request may be the first that reaches a new incarnation under the
// endpoint's id. A lease to a time of the former incarnation's clock, which is far ahead of its own, lets
// its runs go on for LongestLease.
func (e *endpoint) mayHaveRestarted() bool { return e.failedPolls > 0 && e.startedMs != 0 }

// renewedLease returns the end of the lease to request with a poll, on the endpoint's clock; zero
// requests none.
func (c *Core) renewedLease(e *endpoint, now time.Duration) time.Duration {
	if e.mayHaveRestarted() {
		return 0
	}
	return c.grantLease(e, now)
}

// leaseExpiry is when all leases on an endpoint have certainly expired. Its clock may be slow, so a
// second on it may last longer here. On an endpoint that has not answered this owner, a predecessor
// may have renewed leases until its proof of ownership expired.
func (c *Core) leaseExpiry(e *endpoint) time.Duration {
	expiry := max(e.earlierRunsUntil, c.earlierClockLeaseExpiry(e))
	if !e.hasReported && e.term == 0 {
		expiry = max(expiry, c.predecessorExpiry(e))
	}
	if e.clockAt > 0 {
		expiry = max(expiry, e.clockAt+maxElapsed(e.grantedUntil-e.clock))
	}
	return expiry
}

// earlierClockLeaseExpiry is when leases to times of an earlier incarnation's clock have certainly
// expired; 0 if the endpoint has none.
func (c *Core) earlierClockLeaseExpiry(e *endpoint) time.Duration {
	switch {
	case e.earlierClockLeaseUntil == 0:
		return 0
	case e.clockAt == 0:
		return c.claimedAt + maxElapsed(c.limits.LongestLease) // granted before this owner's claim
	}
	return e.clockAt + maxElapsed(e.earlierClockLeaseUntil-e.clock)
}

// expectEarlierLeases records, at the first report of an incarnation, until when leases may last that
// others than this owner have had granted. Predecessors can't renew theirs now that the fence is raised,
// so they last for one more lease duration at most. If they counted as expired, the tasks would be
// started elsewhere before this owner's first renewal, beside runs that go on here. Leases to times of
// an earlier incarnation's clock may last for LongestLease.
func (c *Core) expectEarlierLeases(now time.Duration, e *endpoint, clock time.Duration) {
	e.grantedUntil = max(e.grantedUntil, e.clock+c.limits.Lease)
	reason := "the endpoint has restarted"
	if !e.restarted {
		if !c.mayHaveRestartedBeforeClaim(now, clock) {
			return
		}
		reason = "the endpoint may have restarted before the pool changed owner"
	}
	e.earlierClockLeaseUntil = clock + c.limits.LongestLease
	c.unsavedEndpoints[e.id] = true
	c.event(Event{Kind: EventEarlierClockLease, Endpoint: e.id, StartedMs: e.startedMs, Reason: reason})
}

// mayHaveRestartedBeforeClaim reports whether an incarnation that reports for the first time may have
// replaced one that a predecessor sent renewals to, without the predecessor's having noticed. Each
// endpoint is polled, and its incarnation known, at least every maxClockAge.
func (c *Core) mayHaveRestartedBeforeClaim(now, clock time.Duration) bool {
	return c.epoch > 1 && clock < maxClockAge && now-clock <= c.claimedAt+c.limits.ProofAge
}

// forgetEarlierClockLease drops the record of leases that have expired.
func (c *Core) forgetEarlierClockLease(e *endpoint) {
	if e.earlierClockLeaseUntil > 0 && e.clock > e.earlierClockLeaseUntil {
		e.earlierClockLeaseUntil = 0
		c.unsavedEndpoints[e.id] = true
	}
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
			possible := e.possibleCrashes()
			for t := range e.tasks {
				c.abandon(now, e, t)
			}
			c.requeueAll(e, "lease expired")
			c.recordCrashes(possible)
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
