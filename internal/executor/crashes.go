package executor

import (
	"fmt"
	"time"
)

// Tasks that crash their endpoints. Load: a task takes each endpoint down that starts it, with
// all that runs there. Started again without a limit, it takes one endpoint after the other
// out of its pool for some seconds, and a dozen sound runs with each. A crash lists no ends: all
// that is known is which runs an incarnation had as it ended, most of them sound.
//
// So the ends of incarnations count as evidence against the tasks whose runs they took. A
// suspect runs where nothing of another job has just begun (trial.go): if that endpoint
// crashes as well, nothing else can have caused it.

const (
	// justBegun is how long an endpoint must have been heard after it was first known to
	// have a run for that run to count as one that goes on.
	justBegun = 250 * time.Millisecond
	// settledAfter is how long it must have been heard for its end to say nothing against
	// the run, and for the ends before to be forgotten: what lasts would otherwise be given up
	// after some crashes of other causes.
	settledAfter = 2 * time.Second
)

const (
	// crashesShown crashes, crashesAlone of them with nothing else to blame, are a task's own
	// fault.
	crashesShown = 3
	crashesAlone = 2
	// crashesMost ends a task whatever caused them: three starts more than crashesShown are
	// never made.
	crashesMost = crashesShown + 2
)

// awaitWord is how long after its last lease has run out a task waits for word of
// endpoints that may have crashed under it.
const awaitWord = 8 * time.Second

// evidence is what speaks for a task being the cause of crashes.
type evidence struct {
	// Crashes counts the incarnations that ended under its runs.
	Crashes int `cbor:"1,keyasint"`
	// Alone counts those of them in which its run had just begun and none of another job had.
	// Of several in a row at one address the first counts: an endpoint may crash by itself, and
	// whenever it is back.
	Alone int `cbor:"2,keyasint,omitempty"`
	// Addr is the address of the last of them.
	Addr string `cbor:"4,keyasint,omitempty"`
	// Suspect: its run had just begun in one of them, or there were several.
	Suspect bool `cbor:"3,keyasint,omitempty"`
}

func (e evidence) plus(o evidence) evidence {
	sum := evidence{Crashes: e.Crashes + o.Crashes, Alone: e.Alone, Addr: e.Addr}
	sum.Suspect = e.Suspect || o.Suspect || sum.Crashes > 1
	if o.Alone > 0 && o.Addr != e.Addr {
		sum.Alone, sum.Addr = e.Alone+o.Alone, o.Addr
	}
	return sum
}

// String tells people what speaks against the task.
func (e evidence) String() string {
	return fmt.Sprintf("%d endpoints have crashed under it, %d of them with no other run to blame", e.Crashes, e.Alone)
}

// shows reports whether the task is to be given up.
func (e evidence) shows() bool {
	return e.Crashes >= crashesMost || e.Crashes >= crashesShown && e.Alone >= crashesAlone
}

// endedRun is a run that was on an incarnation as that ended.
type endedRun struct {
	task   *task
	number int
	// known: the incarnation was known to have the run, and was heard for so long after that.
	known bool
	heard time.Duration
}

// crash is what the end of an incarnation says of one run that it took with it.
type crash struct {
	endedRun
	in Incarnation
	// others counts the runs of other jobs that had just begun there.
	others   int
	evidence evidence
}

// heardFor is how long the task's endpoint has been heard since it was first known to have
// the run; 0 where it is not known to have it.
func (t *task) heardFor() time.Duration {
	if t.confirmed == 0 {
		return 0
	}
	return max(0, t.host.clockAt-t.confirmed)
}

// weigh returns what the end of an incarnation says of the runs that it took with it. An
// endpoint that was dark before a start was sent to it has not crashed by that start: a run
// that it is not known to have had does not make its task a suspect.
func weigh(e *endpoint, runs []endedRun) []crash {
	begun, all := map[*job]int{}, 0
	for _, r := range runs {
		if r.heard < justBegun {
			begun[r.task.step.job]++
			all++
		}
	}
	out := make([]crash, len(runs))
	for i, r := range runs {
		out[i] = crash{endedRun: r, in: e.incarnation(), others: all - begun[r.task.step.job]}
		if r.heard >= settledAfter {
			continue
		}
		out[i].evidence.Crashes = 1
		if r.known && r.heard < justBegun {
			out[i].evidence.Suspect = true
			if out[i].others == 0 {
				out[i].evidence.Alone, out[i].evidence.Addr = 1, e.addr
			}
		}
	}
	return out
}

// runsOf returns the runs that an incarnation has, but for those whose order never left.
func (e *endpoint) runsOf() []endedRun {
	var out []endedRun
	for t := range e.tasks {
		if t.ordered > 0 || t.restored {
			out = append(out, endedRun{t, t.run, t.confirmed > 0, t.heardFor()})
		}
	}
	return out
}

// unheardRuns returns the runs of an endpoint that were given up and of which nothing was
// heard since, where their tasks are still open.
func (c *Core) unheardRuns(e *endpoint) []endedRun {
	var out []endedRun
	for name, r := range e.unheard {
		if t := c.taskNamed(name); t != nil {
			out = append(out, endedRun{t, e.givenUp[name], r.known, r.heard})
		}
	}
	return out
}

// presumeGone takes an endpoint for gone that service discovery does not show, and of which
// nothing has been heard for long since runs on it were given up. It may as well be cut off.
func (c *Core) presumeGone(now time.Duration, e *endpoint) {
	if e.listed || len(e.unheard) == 0 || now-e.gaveUpAt < awaitWord {
		return
	}
	presumed := c.presumedCrashes(e)
	c.forgetUnheard(e)
	c.accuseAll(presumed)
}

// presumedCrashes returns what it says of runs that were given up on a silent endpoint that
// nothing more will be heard of it: none of them is a suspect for that.
func (c *Core) presumedCrashes(e *endpoint) []crash {
	out := weigh(e, c.unheardRuns(e))
	for i := range out {
		out[i].evidence.Alone, out[i].evidence.Suspect = 0, false
	}
	return out
}

// accuse takes in what a crash says of a task.
func (c *Core) accuse(x crash) {
	t, j := x.task, x.task.step.job
	if x.evidence.Crashes == 0 || t.phase == taskDone || j.rec.State.Ended() {
		return
	}
	t.evidence = t.evidence.plus(x.evidence)
	c.beWary(t)
	c.touch(j)
	c.event(Event{Kind: EventCrashed, Job: j.rec.Job.ID, Task: t.name(), Run: x.number, Endpoint: x.in.ID, StartedMs: x.in.StartedMs,
		AgeMs:  x.heard.Milliseconds(),
		Reason: fmt.Sprintf("%s; on the last one %d runs of other jobs had just begun", t.evidence, x.others)})
	if t.evidence.shows() {
		c.event(Event{Kind: EventGivenUp, Job: j.rec.Job.ID, Task: t.name(), Run: x.number, Reason: t.evidence.String()})
		c.end(j, JobFailed, "task "+t.name()+" is given up: "+t.evidence.String())
	}
}

// absolve takes in that a run has settled: its task does not crash each endpoint.
func (c *Core) absolve(t *task) {
	if !t.cautious() {
		return
	}
	t.evidence, t.lapsed = evidence{}, false
	c.touch(t.step.job)
}

// accuseAll takes in the end of an incarnation.
func (c *Core) accuseAll(crashes []crash) {
	for _, x := range crashes {
		c.accuse(x)
	}
}

// unheardLosses is how many endpoints have not been heard since a task's lease ran out there,
// and when that last happened.
type unheardLosses struct {
	endpoints int
	last      time.Duration
}

// countUnheard counts them for all tasks.
func (c *Core) countUnheard() {
	clear(c.unheard)
	for _, e := range c.endpoints {
		for task := range e.unheard {
			n := c.unheard[task]
			c.unheard[task] = unheardLosses{n.endpoints + 1, max(n.last, e.gaveUpAt)}
		}
	}
}

// heldBack reports whether too many endpoints that may have crashed under a task are silent
// for it to be started again: each of them tells, once it is heard, or is back as another
// incarnation, whether it did. One that is gone for good never tells.
func (c *Core) heldBack(now time.Duration, t *task) bool {
	if t.run < crashesShown || len(c.unheard) == 0 {
		return false
	}
	lost := c.unheard[t.name()]
	return lost.endpoints > 0 && now-lost.last < awaitWord && t.evidence.Crashes+lost.endpoints >= crashesShown
}

// isDue reports whether a task waits, and nothing of its own keeps it from being placed now.
func (c *Core) isDue(now time.Duration, t *task) bool {
	return t.phase == taskWaiting && now >= t.notBefore && !c.heldBack(now, t)
}

// mayStart reports whether a task is due and its account may start it.
func (c *Core) mayStart(now time.Duration, t *task) bool {
	return c.isDue(now, t) && c.allowed(t.step, 1)
}
