package executor

import (
	"time"

	"cyclamenwheel/internal/jobs"
)

// Pace of renewals. Load: an endpoint of 16 to 64 cores ends some ten tasks a
// second. A renewal that waits for an end comes back at once with each; the
// gap lets ends gather, at a cost of half the gap to each step.
const (
	lookGap = 60 * time.Millisecond
	// lookWait is how long a renewal waits for an end. It bounds how late a
	// lease is renewed, and so how short a lease may be.
	lookWait = 1000 * time.Millisecond
	// startingWait is the wait while a lasting task starts up: that it is at work
	// shows in a listing only, and others of its step wait to be moved till then.
	startingWait = 200 * time.Millisecond
	// unconfirmedWait is the wait while the answer to a start is on its way: it says
	// more, and sooner, than a listing that does not have the run yet. Only where it
	// does not come for unsureAfter is the endpoint asked.
	unconfirmedWait = 300 * time.Millisecond
	unsureAfter     = 200 * time.Millisecond
	// lookRetry follows a renewal without an answer.
	lookRetry = 120 * time.Millisecond
	// unsureWait is the gap before asking after a start without an answer.
	unsureWait = 80 * time.Millisecond
	// clockFresh is how old the reading of an idle endpoint's clock may be: each
	// second of it takes 20 ms from the next lease.
	clockFresh = 20 * time.Second
	// stopRepeat is how long an endpoint has to list a stopped run's end
	// before it is told again.
	stopRepeat = 400 * time.Millisecond
	// resendAfter is how long a start may go unlisted before it is repeated
	// under the same number.
	resendAfter = 300 * time.Millisecond
)

// endpoint returns the incarnation with this id, known or not.
func (c *Core) endpoint(id string) *endpoint {
	e := c.endpoints[id]
	if e == nil {
		e = &endpoint{id: id, term: c.terms[id], tasks: map[*task]bool{}}
		c.endpoints[id] = e
	}
	return e
}

// ObserveEndpoints takes in service discovery: the pool's whole list.
func (c *Core) ObserveEndpoints(now time.Duration, list []EndpointInfo) {
	for _, e := range c.endpoints {
		e.listed = false
	}
	shown := make(map[string]bool, len(list))
	for _, info := range list {
		shown[info.ID] = true
		if c.gone[Incarnation{info.ID, info.StartedMs}] {
			continue
		}
		e := c.endpoint(info.ID)
		if info.StartedMs != 0 && info.StartedMs < e.startedMs {
			continue // the entry of an earlier incarnation
		}
		c.meet(now, e, info.StartedMs)
		e.listed, e.draining = true, info.Draining
		e.addr, e.zone, e.kind, e.rack = info.Addr, info.Zone, info.Kind, info.Rack
		e.capacity, e.toldAt = info.Capacity, info.Clock
		if e.draining {
			c.vacate(now, e)
		}
	}
	for id, e := range c.endpoints {
		if !shown[id] && len(e.tasks) == 0 && !(e.vacating && now < e.vacateUntil) && !e.remembered(now) {
			c.forget(e)
		}
	}
}

// Gone takes in that an operation has ended an incarnation, and everything on it with it. Where the
// endpoint's present one is not known yet, its tasks may run on a later one: its first
// listing tells.
func (c *Core) Gone(in Incarnation) {
	c.gone[in] = true
	e := c.endpoints[in.ID]
	if e == nil || e.incarnation() != in {
		return
	}
	presumed := c.presumedCrashes(e)
	c.endIncarnation(e)
	c.accuseAll(presumed)
}

func (c *Core) endIncarnation(e *endpoint) {
	c.gone[e.incarnation()] = true
	c.event(Event{Kind: EventGone, Endpoint: e.id, StartedMs: e.startedMs, Run: len(e.tasks)})
	c.loseAll(e, "incarnation ended")
	c.forget(e)
}

// crashed takes in that an incarnation has ended for no reason that is known.
func (c *Core) crashed(e *endpoint) {
	taken := weigh(e, append(e.runsOf(), c.unheardRuns(e)...))
	c.endIncarnation(e)
	c.accuseAll(taken)
}

// Look is a renewal to send.
type Look struct {
	Endpoint     string
	Addr         string
	Fence        int64
	Acknowledged int64
	LeaseUntil   time.Duration
	Wait         time.Duration
	sent         time.Duration
}

// DueLooks returns the renewals to send now; each is answered by LookDone.
func (c *Core) DueLooks(now time.Duration) []Look {
	var due []Look
	for _, e := range c.endpoints {
		if e.lookOut || now < e.nextLook || e.addr == "" || !c.needsLook(now, e) {
			continue
		}
		e.lookOut = true
		due = append(due, Look{Endpoint: e.id, Addr: e.addr, Fence: c.fence(e), Acknowledged: e.mayForget(),
			LeaseUntil: c.grant(e, now), Wait: c.lookWait(now, e), sent: now})
	}
	return due
}

func (c *Core) needsLook(now time.Duration, e *endpoint) bool {
	if !e.lookedEver || now-e.looked > clockFresh {
		return true
	}
	if c.watchful && now-e.clockAt > watchEvery {
		return true
	}
	return len(e.tasks) > 0 || e.strangers > 0 || e.acknowledgeable() > e.acknowledged || e.failedLook > 0
}

func (c *Core) lookWait(now time.Duration, e *endpoint) time.Duration {
	if !e.lookedEver || e.failedLook > 0 {
		return 0
	}
	wait := lookWait
	if e.tries() {
		wait = trialLook
	}
	for t := range e.tasks {
		wait = min(wait, t.lookWait(now))
	}
	return wait
}

// lookWait is how long a renewal of the task's endpoint may wait for an end.
func (t *task) lookWait(now time.Duration) time.Duration {
	switch {
	case t.stopping, t.ordered > 0 && t.confirmed == 0 && now-t.ordered > unsureAfter:
		return unsureWait
	case t.step.spec.LongRunning && t.percent < atWork:
		return startingWait
	case t.confirmed == 0:
		return unconfirmedWait
	}
	return lookWait
}

// Listed is what an endpoint listed in answer to a renewal.
type Listed struct {
	Clock time.Duration
	// StartedMs is when the incarnation that answered started, in ms since 1970; 0 where
	// not told.
	StartedMs int64
	Running   []ListedRun
	Ended     []ListedEnd
}

// ListedRun is a run that an endpoint lists as running.
type ListedRun struct {
	Task       string
	Run        int
	Checkpoint string
	Percent    int
}

// HowEnded says how a run ended.
type HowEnded uint8

// How runs end.
const (
	EndedDone HowEnded = iota
	EndedFailed
	EndedStopped
	EndedLapsed
	EndedBroken
	EndedAlone
)

var howNames = [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone"}

func (h HowEnded) String() string { return howNames[h] }

// ListedEnd is an end that an endpoint lists.
type ListedEnd struct {
	Number     int64
	Task       string
	Run        int
	How        HowEnded
	Checkpoint string
}

// LookResult says how a renewal went.
type LookResult uint8

// Results of renewals.
const (
	LookAnswered LookResult = iota
	LookUnanswered
	LookFenced
	LookGone
)

// LookDone takes in the result of a renewal.
func (c *Core) LookDone(now time.Duration, l Look, result LookResult, in Listed) {
	e := c.endpoints[l.Endpoint]
	if e == nil || l.Fence != c.fence(e) {
		return // about an earlier incarnation
	}
	e.lookOut = false
	switch result {
	case LookGone:
		c.crashed(e)
	case LookFenced:
		c.fenced = true
		c.event(Event{Kind: EventFenced, Endpoint: e.id})
	case LookUnanswered:
		e.lookFailed(now)
	case LookAnswered:
		c.lookAnswered(now, l, e, in)
	}
}

func (e *endpoint) lookFailed(now time.Duration) {
	e.failedLook++
	e.nextLook = now + lookRetry
}

// lookAnswered takes in a listing. One that shows a new incarnation only says that it lives:
// orders for the one before may yet reach it.
func (c *Core) lookAnswered(now time.Duration, l Look, e *endpoint, in Listed) {
	c.meet(now, e, in.StartedMs)
	if l.Fence == c.fence(e) {
		c.takeIn(now, l.sent, e, in)
	}
}

func (c *Core) takeIn(now, sent time.Duration, e *endpoint, in Listed) {
	e.noteClock(now, in.Clock)
	if !e.lookedEver {
		// What a predecessor granted goes on, for a lease at most: it can grant
		// nothing more now that the fence is raised. Taken for no lease at all,
		// it would have run out before this owner's first renewal leaves, and
		// the tasks would begin elsewhere beside the runs that go on here.
		e.granted = max(e.granted, e.clock+c.limits.Lease)
	}
	e.nextLook = now + e.lookPause()
	if !e.lookedEver || e.failedLook > 0 {
		e.nextLook = now // nothing was renewed
	}
	e.lookedEver, e.looked, e.failedLook = true, now, 0
	c.forgetUnheard(e)
	running := make(map[*task]bool, len(in.Running))
	strangers := 0
	for _, r := range in.Running {
		t := c.find(e, r.Task, r.Run)
		if t == nil {
			strangers++
			c.stopStranger(e, r)
			continue
		}
		running[t] = true
		c.seeRunning(now, in.Clock, t, r)
	}
	e.strangers = strangers
	for _, end := range in.Ended {
		c.takeEnd(now, e, end)
	}
	if upTo := e.acknowledgeable(); upTo > e.acknowledged {
		c.acks[e.incarnation()] = upTo
	}
	if len(in.Ended) < fullListing {
		c.settleUnlisted(now, sent, e, running)
	}
}

// fullListing is how many ends one answer lists at most; with as many, more
// may follow and nothing can be concluded from what is missing.
const fullListing = 500

// find returns the task that is placed on e under this run.
func (c *Core) find(e *endpoint, name string, run int) *task {
	t := c.taskNamed(name)
	if t == nil || t.host != e || t.run != run {
		return nil
	}
	return t
}

// taskNamed returns the task of this name, nil where its job is not open.
func (c *Core) taskNamed(name string) *task {
	n, ok := jobs.ParseTaskName(name)
	if !ok {
		return nil
	}
	j := c.jobs[n.Job]
	if j == nil {
		return nil
	}
	return j.task(n.Occurrence, n.Step, n.Index)
}

// stopStranger ends a run that this owner does not know. Every start was
// recorded before it was ordered, so this is a run that was given up as lost
// while its endpoint lived on; it must not go on beside its successor.
func (c *Core) stopStranger(e *endpoint, r ListedRun) {
	c.event(Event{Kind: EventStranger, Task: r.Task, Run: r.Run, Endpoint: e.id})
	c.stops = append(c.stops, Order{Kind: OrderStop, Endpoint: e.id, Addr: e.addr, Fence: c.fence(e), Task: r.Task, Run: r.Run})
}

func (c *Core) seeRunning(now, clock time.Duration, t *task, r ListedRun) {
	c.confirm(now, t)
	t.proven = true
	t.doubted = nil
	if t.heardFor() >= justBegun {
		t.endTrial()
	}
	if t.heardFor() >= settledAfter {
		c.absolve(t)
	}
	c.noteProgress(clock, t, r.Percent)
	if r.Percent != t.percent {
		t.percent, t.movedAt = r.Percent, now
	}
	if r.Checkpoint != "" {
		t.checkpoint = r.Checkpoint
	}
}

// confirm takes in that an endpoint has a task's run.
func (c *Core) confirm(now time.Duration, t *task) {
	if t.confirmed == 0 {
		t.confirmed = now
	}
	t.step.job.begun = true
}

// settleUnlisted deals with runs that the endpoint neither runs nor has ended.
// Only a renewal sent after the start was answered, or after it went without
// an answer for long enough, says anything about it.
func (c *Core) settleUnlisted(now, sent time.Duration, e *endpoint, running map[*task]bool) {
	for t := range e.tasks {
		if running[t] || t.confirmed >= sent && t.confirmed > 0 {
			continue
		}
		if t.confirmed > 0 {
			// An end is listed until it is acknowledged, and it is
			// acknowledged only once recorded: the endpoint has forgotten it.
			c.loseUnlisted(t, "no longer listed")
			continue
		}
		c.settleUnsure(now, sent, t)
	}
}

// loseUnlisted takes back a task whose run its endpoint does not have. If an incarnation has
// ended meanwhile, the run has ended with it.
func (c *Core) loseUnlisted(t *task, reason string) {
	c.event(Event{Kind: EventLost, Job: t.step.job.rec.Job.ID, Task: t.name(), Run: t.run, Endpoint: t.host.id, Reason: reason})
	doubted := t.doubted
	c.again(t)
	if doubted != nil {
		c.accuse(*doubted)
	}
}

// settleUnsure repeats a start that the endpoint does not list. It may have
// been lost, or be carried out later: under the same number either way only one
// run can come of it. A task to be stopped gets a stop, after which that number
// can no longer start.
func (c *Core) settleUnsure(now, sent time.Duration, t *task) {
	if t.restored {
		c.loseUnlisted(t, "never began")
		return
	}
	// Before the first order has left there is nothing to repeat, and the
	// intent may not be durable yet.
	if t.stopping || t.resending || t.ordered == 0 || sent < t.ordered {
		return
	}
	if !t.answered && now-t.ordered < resendAfter {
		return
	}
	t.resending = true
	c.leaving = append(c.leaving, c.startOrder(t))
}
