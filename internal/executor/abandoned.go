package executor

import "time"

// abandonedRunsTTL is how long an endpoint that service discovery does not list is kept for its
// abandoned runs: its entry may have expired while it still runs.
const abandonedRunsTTL = time.Minute

// abandon records that a run is abandoned while its endpoint may still report.
func (c *Core) abandon(now time.Duration, e *endpoint, t *task) {
	if t.orderedAt == 0 && !t.restored {
		return // its order was never sent
	}
	if e.abandonedRuns == nil {
		e.abandonedRuns = map[runID]bool{}
	}
	e.abandonedRuns[runID{t.name(), t.run}] = true
	if t.possibleCrash == nil { // else the crash before counts, and the run counts for one crash at most
		if e.unreportedRuns == nil {
			e.unreportedRuns = map[string]unreportedRun{}
		}
		e.unreportedRuns[t.name()] = unreportedRun{t.run, t.confirmedAt > 0, t.confirmedFor()}
	}
	t.leaseExpired = true
	c.markCautious(t)
	e.abandonedAt = now
	c.unsavedEndpoints[e.id] = true
}

// unreportedRun is an abandoned run on an endpoint that has not reported since.
type unreportedRun struct {
	run int
	// confirmed reports whether the endpoint had confirmed it; confirmedFor is how long it reported
	// after that.
	confirmed    bool
	confirmedFor time.Duration
}

func (r unreportedRun) milliseconds() int64 {
	if !r.confirmed {
		return -1
	}
	return r.confirmedFor.Milliseconds()
}

// clearUnreported drops what was kept in case an incarnation had crashed with its runs.
func (c *Core) clearUnreported(e *endpoint) {
	if len(e.unreportedRuns) > 0 {
		e.unreportedRuns = nil
		c.unsavedEndpoints[e.id] = true
	}
}

// dropAbandoned removes an abandoned run whose end is known.
func (c *Core) dropAbandoned(e *endpoint, id runID) {
	if e.abandonedRuns[id] {
		delete(e.abandonedRuns, id)
		c.unsavedEndpoints[e.id] = true
	}
}

func (e *endpoint) hasRecentAbandonedRuns(now time.Duration) bool {
	return len(e.abandonedRuns) > 0 && now-e.abandonedAt < abandonedRunsTTL
}
