package executor

import (
	"slices"
	"time"
)

// Isolated runs. A suspect task is placed where no run of another job is new, and no run of another
// job is placed beside it while its own is new. If the task is healthy, its run shows that within
// moments and the endpoint accepts other tasks again; if not, no other run there can have caused the
// crash, and no healthy task becomes a suspect.

const (
	// maxReportAge is the longest time since the last report of an endpoint on which a cautious task
	// (see task.needsRecentReport) may be placed.
	maxReportAge = 1500 * time.Millisecond
	// idlePollInterval is how often idle endpoints are polled while a cautious task waits.
	idlePollInterval = maxReportAge / 2
	// isolationPollWait is how long a poll waits during an isolated run, or while an endpoint is
	// reserved for a suspect.
	isolationPollWait = 200 * time.Millisecond
	// isolationTimeout is how long a suspect waits for such an endpoint: a gang or a long-running
	// task in a small pool may never find one.
	isolationTimeout = 3 * time.Second
)

// beginIsolation reserves the endpoint of a suspect for that suspect's job.
func (t *task) beginIsolation() {
	if t.evidence.Suspect {
		t.isIsolated, t.endpoint.isolatedFor = true, t.step.job
	}
}

// endIsolation ends the reservation, unless another suspect still runs isolated there.
func (t *task) endIsolation() {
	if !t.isIsolated {
		return
	}
	t.isIsolated = false
	for other := range t.endpoint.tasks {
		if other.isIsolated {
			return
		}
	}
	t.endpoint.isolatedFor = nil
}

// isIsolating reports whether an endpoint has an isolated run of a suspect or is reserved for one.
func (e *endpoint) isIsolating() bool {
	return e.isolatedFor != nil || e.reservedFor != nil && e.reservedFor.evidence.Suspect
}

// needsIsolatedRun reports whether a task may only be placed where no run of another job is new.
func (t *task) needsIsolatedRun(now time.Duration) bool {
	return t.requiresIsolation() || t.evidence.Suspect && (t.isolationWaitSince == 0 || now-t.isolationWaitSince < isolationTimeout)
}

// requiresIsolation reports whether a task starts isolated however long it waits, and stays so until
// its run is stable. Load: the tasks of other jobs crash one endpoint of the pool after another. Each
// crash within stableRunAfter of its start counts against a long-running task that only shares the
// endpoint, until it is given up. A short task would have ended by then.
func (t *task) requiresIsolation() bool {
	s := t.step.spec
	return s.LongRunning && !s.Gang && t.evidence.Crashes >= poisonCrashes
}

// isolationPeriod is how long an endpoint must have reported since it confirmed a run for the run's
// isolation to end.
func (t *task) isolationPeriod() time.Duration {
	if t.requiresIsolation() {
		return stableRunAfter
	}
	return newRunPeriod
}

// isolationScore ranks endpoints for a suspect: it prefers those with few runs to lose, and another
// one than that of its last crash.
func (t *task) isolationScore(e *endpoint, free float64) float64 {
	score := free
	if e.hasLongRunning() {
		score -= packLongRunningBonus
	}
	if e.addr == t.evidence.Addr {
		score -= failedEndpointPenalty
	}
	return score
}

// hasNewRuns reports whether an endpoint has new or unconfirmed runs of other jobs.
func (e *endpoint) hasNewRuns(except *job) bool {
	for t := range e.tasks {
		if t.step.job != except && t.confirmedFor() < newRunPeriod {
			return true
		}
	}
	return false
}

// needsRecentReport reports whether the task is placed only on endpoints that reported recently.
// Load: a zone loses power. Its idle endpoints are not yet known to be down, and a task whose lease
// has expired on one of them would be placed on the next.
func (t *task) needsRecentReport() bool { return t.leaseExpired || t.evidence.Crashes > 0 }

// markCautious adds a task to Core.cautiousTasks if it needs a recent report.
func (c *Core) markCautious(t *task) {
	if t.needsRecentReport() && !t.inCautiousTasks {
		t.inCautiousTasks = true
		c.cautiousTasks = append(c.cautiousTasks, t)
	}
}

// updateCautious drops finished and cleared tasks from cautiousTasks and sets pollIdle: idle
// endpoints are polled if cautious tasks are due, or if runs on an unresponsive endpoint may have to
// be restarted.
func (c *Core) updateCautious(now time.Duration) {
	c.cautiousTasks = slices.DeleteFunc(c.cautiousTasks, func(t *task) bool {
		over := t.phase == taskDone || t.step.job.rec.State.Ended() || !t.needsRecentReport()
		t.inCautiousTasks = t.inCautiousTasks && !over
		return over
	})
	c.countUnreportedLosses()
	c.pollIdle = false
	for _, t := range c.cautiousTasks {
		if t.step.waitsFor > 0 || !c.mayStart(now, t) {
			continue
		}
		c.pollIdle = true
		if t.isolationWaitSince == 0 {
			t.isolationWaitSince = now
		}
	}
	for _, e := range c.endpoints {
		c.pollIdle = c.pollIdle || e.failedPolls > 0 && len(e.tasks) > 0
	}
}

// waitingSuspects returns the suspects that could start now and need an isolated run, first those that
// don't start without one.
func (c *Core) waitingSuspects(now time.Duration) []*task {
	var required, preferred []*task
	for _, t := range c.cautiousTasks {
		switch {
		case !t.needsIsolatedRun(now) || t.step.waitsFor > 0 || !c.mayStart(now, t):
		case t.requiresIsolation():
			required = append(required, t)
		default:
			preferred = append(preferred, t)
		}
	}
	return append(required, preferred...)
}
