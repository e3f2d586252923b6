package executor

import (
	"fmt"
	"slices"
	"time"
)

// Poison tasks: tasks that crash their endpoints. Load: a task crashes each endpoint that starts
// it, with everything that runs there. Restarted without a limit, it takes one endpoint after
// another out of its pool for some seconds, each with a dozen healthy runs. A crashed endpoint
// lists no ends: only the set of runs that it had is known, and most of these were healthy.
//
// So the end of an incarnation counts as evidence against the tasks whose runs it took. A suspect
// task runs only where no run of another job is new (isolation.go): if that endpoint crashes as well,
// no other run can have caused it.

const (
	// newRunPeriod is how long an endpoint must have reported since it confirmed a run for that
	// run not to count as new.
	newRunPeriod = 250 * time.Millisecond
	// stableRunAfter is how long it must have reported for its crash not to count against the run,
	// and for earlier crashes to be forgotten. Otherwise a long-running task would be failed after
	// some crashes with other causes.
	stableRunAfter = 2 * time.Second
)

const (
	// A task with poisonCrashes crashes is a poison task if no other run can have caused
	// poisonIsolatedCrashes of them.
	poisonCrashes         = 3
	poisonIsolatedCrashes = 2
	// A task is failed after maxCrashes crashes, whatever their cause: it never gets a third start
	// after poisonCrashes crashes.
	maxCrashes = poisonCrashes + 2
)

// crashReportTimeout is how long after its last lease has expired a task waits for reports from
// endpoints that it may have crashed.
const crashReportTimeout = 8 * time.Second

// evidence is what suggests that a task crashes its endpoints.
type evidence struct {
	// Crashes counts the incarnations that ended with its runs on them.
	Crashes int `cbor:"1,keyasint"`
	// Isolated counts those of them in which its run was new and no run of another job was. Several
	// crashes in a row at one address count once: an endpoint may crash by itself each time it
	// has restarted.
	Isolated int `cbor:"2,keyasint,omitempty"`
	// Addr is the address of the last crash counted in Isolated.
	Addr string `cbor:"4,keyasint,omitempty"`
	// Suspect is set if its run was new in one of the crashes, or if there were several crashes.
	Suspect bool `cbor:"3,keyasint,omitempty"`
}

// add returns the sum of two crashes' evidence; o is the later one.
func (e evidence) add(o evidence) evidence {
	sum := evidence{Crashes: e.Crashes + o.Crashes, Isolated: e.Isolated, Addr: e.Addr}
	sum.Suspect = e.Suspect || o.Suspect || sum.Crashes > 1
	if o.Isolated > 0 && o.Addr != e.Addr {
		sum.Isolated, sum.Addr = e.Isolated+o.Isolated, o.Addr
	}
	return sum
}

// String describes the evidence for logs and error messages.
func (e evidence) String() string {
	return fmt.Sprintf("%d endpoints have crashed under it, %d of them while no other run was new", e.Crashes, e.Isolated)
}

// isPoison reports whether the evidence suffices to fail the task.
func (e evidence) isPoison() bool {
	return e.Crashes >= maxCrashes || e.Crashes >= poisonCrashes && e.Isolated >= poisonIsolatedCrashes
}

// endedRun is a run that its endpoint had when the incarnation ended.
type endedRun struct {
	task   *task
	number int
	// confirmed reports whether the incarnation had confirmed the run; confirmedFor is how long
	// it reported after that.
	confirmed    bool
	confirmedFor time.Duration
}

// crash is the evidence that the end of an incarnation gives on one of its runs.
type crash struct {
	endedRun
	incarnation Incarnation
	// otherNewRuns counts the new runs of other jobs there.
	otherNewRuns int
	evidence     evidence
}

// confirmedFor is how long the task's endpoint has reported since it first confirmed the run; 0 if
// it has not confirmed it.
func (t *task) confirmedFor() time.Duration {
	if t.confirmedAt == 0 {
		return 0
	}
	return max(0, t.endpoint.clockAt-t.confirmedAt)
}

// attributeCrash returns the evidence that the end of an incarnation gives on its runs. An endpoint
// that was unresponsive before a start was sent to it did not crash because of that start: an
// unconfirmed run does not make its task a suspect.
func attributeCrash(e *endpoint, runs []endedRun) []crash {
	newRunsByJob, newRuns := map[*job]int{}, 0
	for _, r := range runs {
		if r.confirmedFor < newRunPeriod {
			newRunsByJob[r.task.step.job]++
			newRuns++
		}
	}
	out := make([]crash, len(runs))
	for i, r := range runs {
		out[i] = crash{endedRun: r, incarnation: e.incarnation(), otherNewRuns: newRuns - newRunsByJob[r.task.step.job]}
		if r.confirmedFor >= stableRunAfter {
			continue
		}
		out[i].evidence.Crashes = 1
		if r.confirmed && r.confirmedFor < newRunPeriod {
			out[i].evidence.Suspect = true
			if out[i].otherNewRuns == 0 {
				out[i].evidence.Isolated, out[i].evidence.Addr = 1, e.addr
			}
		}
	}
	return out
}

// orderedRuns returns the runs of an incarnation whose start order has been sent.
func (e *endpoint) orderedRuns() []endedRun {
	var out []endedRun
	for t := range e.tasks {
		if t.orderedAt > 0 || t.restored {
			out = append(out, endedRun{t, t.run, t.confirmedAt > 0, t.confirmedFor()})
		}
	}
	return out
}

// unreportedRuns returns the abandoned runs of an endpoint that has not reported since, as far as
// their tasks are still open.
func (c *Core) unreportedRuns(e *endpoint) []endedRun {
	var out []endedRun
	for name, r := range e.unreportedRuns {
		if t := c.taskByName(name); t != nil {
			out = append(out, endedRun{t, r.run, r.confirmed, r.confirmedFor})
		}
	}
	return out
}

// presumeCrashed treats an endpoint as crashed that service discovery does not list and that has
// not reported for crashReportTimeout since runs on it were abandoned. It may only be unreachable,
// so that no task becomes a suspect by it.
func (c *Core) presumeCrashed(now time.Duration, e *endpoint) {
	if e.listed || len(e.unreportedRuns) == 0 || now-e.abandonedAt < crashReportTimeout {
		return
	}
	presumed := c.presumedCrashes(e)
	c.clearUnreported(e)
	c.recordCrashes(presumed)
}

// presumedCrashes returns the evidence for abandoned runs of an endpoint that will not report
// again. It makes none of their tasks a suspect.
func (c *Core) presumedCrashes(e *endpoint) []crash {
	out := attributeCrash(e, c.unreportedRuns(e))
	for i := range out {
		out[i].evidence.Isolated, out[i].evidence.Suspect = 0, false
	}
	return out
}

// possibleCrashes returns the crashes of earlier incarnations that may have taken the runs of an
// endpoint's tasks. They count if the endpoint will not show whether the runs began on its present one.
func (e *endpoint) possibleCrashes() []crash {
	var out []crash
	for t := range e.tasks {
		if t.possibleCrash != nil {
			out = append(out, *t.possibleCrash)
		}
	}
	return out
}

// recordCrash adds the evidence of a crash to its task, and fails the job if the task is a poison
// task.
func (c *Core) recordCrash(x crash) {
	t, j := x.task, x.task.step.job
	if x.evidence.Crashes == 0 || t.phase == taskDone || j.rec.State.Ended() {
		return
	}
	t.evidence = t.evidence.add(x.evidence)
	c.markCautious(t)
	c.markDirty(j)
	c.event(Event{Kind: EventCrashed, Job: j.rec.Job.ID, Task: t.name(), Run: x.number, Endpoint: x.incarnation.ID, StartedMs: x.incarnation.StartedMs,
		AgeMs:  x.confirmedFor.Milliseconds(),
		Reason: fmt.Sprintf("%s; the last one had %d new runs of other jobs", t.evidence, x.otherNewRuns)})
	if t.evidence.isPoison() {
		c.event(Event{Kind: EventPoisonTask, Job: j.rec.Job.ID, Task: t.name(), Run: x.number, Reason: t.evidence.String()})
		c.giveUp(t)
	}
}

// giveUp keeps a poison task from being started again, and fails its job unless other tasks with a
// disruption budget can go on without it: the end of the job would stop all of them at once.
func (c *Core) giveUp(t *task) {
	t.givenUp = true
	if j := t.step.job; !j.hasBudgetedTasks() {
		c.endJob(j, JobFailed, "task "+t.name()+" is given up: "+t.evidence.String())
	}
}

// hasBudgetedTasks reports whether the job has a long-running task with a disruption budget that has
// not been given up. Members of a gang can't go on without each other.
func (j *job) hasBudgetedTasks() bool {
	for _, o := range j.current {
		for _, s := range o.steps {
			if s.spec.LongRunning && s.spec.MayMiss > 0 && !s.spec.Gang && slices.ContainsFunc(s.tasks, func(t *task) bool { return !t.givenUp }) {
				return true
			}
		}
	}
	return false
}

// clearEvidence drops the evidence against a task with a stable run: it does not crash every
// endpoint.
func (c *Core) clearEvidence(t *task) {
	if !t.needsRecentReport() {
		return
	}
	t.evidence, t.givenUp, t.leaseExpired = evidence{}, false, false
	c.markDirty(t.step.job)
}

// recordCrashes adds the evidence of an ended incarnation to its tasks.
func (c *Core) recordCrashes(crashes []crash) {
	for _, x := range crashes {
		c.recordCrash(x)
	}
}

// unreportedLosses counts the endpoints that have not reported since a task's lease expired there;
// last is when a lease last expired.
type unreportedLosses struct {
	endpoints int
	last      time.Duration
}

// countUnreportedLosses computes Core.unreportedLosses.
func (c *Core) countUnreportedLosses() {
	clear(c.unreportedLosses)
	for _, e := range c.endpoints {
		for task := range e.unreportedRuns {
			n := c.unreportedLosses[task]
			c.unreportedLosses[task] = unreportedLosses{n.endpoints + 1, max(n.last, e.abandonedAt)}
		}
	}
}

// awaitsCrashReports reports whether a task must not be started yet because too many endpoints that
// it may have crashed are unresponsive. The next report of each shows whether it is still the same
// incarnation. An endpoint that never returns sends none, hence the timeout.
func (c *Core) awaitsCrashReports(now time.Duration, t *task) bool {
	if t.run < poisonCrashes || len(c.unreportedLosses) == 0 {
		return false
	}
	lost := c.unreportedLosses[t.name()]
	return lost.endpoints > 0 && now-lost.last < crashReportTimeout && t.evidence.Crashes+lost.endpoints >= poisonCrashes
}

// isDue reports whether a task is waiting, has not been given up, and neither its backoff nor pending
// crash reports keep it from being placed now.
func (c *Core) isDue(now time.Duration, t *task) bool {
	return t.phase == taskWaiting && !t.givenUp && now >= t.notBefore && !c.awaitsCrashReports(now, t)
}

// mayStart reports whether a task is due and its account may start it.
func (c *Core) mayStart(now time.Duration, t *task) bool {
	return c.isDue(now, t) && c.fitsAccountLimit(t.step, 1)
}
