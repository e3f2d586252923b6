package executor

import (
	"fmt"
	"time"
)

// Incarnation identifies one run of an endpoint process. An endpoint may restart under its id: it
// then has none of its earlier state, numbers its ends from 1 again and has another clock.
type Incarnation struct {
	ID string
	// StartedMs is when it started, in ms since 1970; 0 if not reported.
	StartedMs int64
}

func (e *endpoint) incarnation() Incarnation { return Incarnation{ID: e.id, StartedMs: e.startedMs} }

// The lowest termBits of a fencing token are the endpoint's term, which counts the incarnations that
// an owner has seen under one id; the bits above are the owner's epoch.
const termBits = 20

// fence is the fencing token for orders to an endpoint. It rises with each incarnation: one that has
// received its own token rejects orders meant for earlier incarnations.
func (c *Core) fence(e *endpoint) int64 { return c.epoch<<termBits | int64(e.term) }

// forgetEndpoint drops an endpoint. Should its id be listed again, the next term keeps earlier orders
// from taking effect; if the incarnation has ended, the id then belongs to another one.
func (c *Core) forgetEndpoint(e *endpoint, incarnationEnded bool) {
	delete(c.endpoints, e.id)
	c.terms[e.id] = pastTerm{next: e.term + 1, incarnationEnded: incarnationEnded || e.restarted}
	c.unsavedEndpoints[e.id] = true
}

// pastTerm is what is kept of an endpoint that is no longer known.
type pastTerm struct {
	// next is its next term.
	next int
	// incarnationEnded is set if an incarnation under its id is known to have ended.
	incarnationEnded bool
	// missingSince is when service discovery was first seen not to list it, 0 while it may.
	missingSince time.Duration
}

const (
	// incarnationMemory is how long what is known of a past incarnation is kept after service
	// discovery has last listed it. Delayed listings and orders are older by seconds at most.
	incarnationMemory = 5 * time.Minute
	// incarnationSweep is the time between two searches for those to forget.
	incarnationSweep = 10 * time.Second
)

// forgetPastIncarnations forgets incarnations that service discovery has not listed for long; without
// that an owner's memory grows with each move and restart. A term above the first is kept: an
// endpoint that has seen it would reject lower ones if it came back.
func (c *Core) forgetPastIncarnations(now time.Duration, shown map[string]bool, endedShown map[Incarnation]bool) {
	if now-c.incarnationsSweptAt < incarnationSweep {
		return
	}
	c.incarnationsSweptAt = now
	for in, missingSince := range c.endedIncarnations {
		if since, forget := missing(now, missingSince, endedShown[in]); forget {
			delete(c.endedIncarnations, in)
		} else {
			c.endedIncarnations[in] = since
		}
	}
	for id, t := range c.terms {
		since, forget := missing(now, t.missingSince, shown[id])
		if forget && t.next <= 1 {
			delete(c.terms, id)
		} else {
			t.missingSince = since
			c.terms[id] = t
		}
	}
}

// missing returns since when something has not been listed, and whether that is long ago.
func missing(now, since time.Duration, listed bool) (newSince time.Duration, forget bool) {
	switch {
	case listed:
		return 0, false
	case since == 0:
		return now, false
	}
	return since, now-since > incarnationMemory
}

// observeIncarnation applies the start time of the incarnation that sent an answer or an entry in
// service discovery. A request under the endpoint's present fencing token was sent after the known
// incarnation had started, so a different start time is that of a later incarnation, even if it is
// the earlier time: wall clocks may be set back.
func (c *Core) observeIncarnation(now time.Duration, e *endpoint, startedMs int64) {
	switch {
	case startedMs == 0 || startedMs == e.startedMs:
	case e.startedMs == 0:
		e.startedMs = startedMs
	default:
		c.resetIncarnation(now, e, startedMs)
	}
}

// restoreIncarnationStart applies the start time of an incarnation that a record names. The newest
// incarnation wins, and the state of earlier ones is dropped.
func (c *Core) restoreIncarnationStart(e *endpoint, startedMs int64) {
	if startedMs > e.startedMs {
		e.startedMs, e.abandonedRuns, e.unreportedRuns, e.earlierClockLeaseUntil = startedMs, nil, nil, 0
		c.unsavedEndpoints[e.id] = true
	}
}

// markRestoredUnconfirmed handles tasks that were placed on an earlier incarnation than the newest
// one that the records name. Their orders, with leases by the earlier clock, may have reached the
// newest one, and a predecessor may still send them until its proof of ownership expires.
func (c *Core) markRestoredUnconfirmed(now time.Duration, e *endpoint) {
	var earlierRuns []endedRun
	for t := range e.tasks {
		if t.targetStartedMs != 0 && t.targetStartedMs != e.startedMs {
			earlierRuns = append(earlierRuns, endedRun{task: t, number: t.run})
		}
	}
	if len(earlierRuns) > 0 {
		e.earlierRunsUntil = now + c.limits.ProofAge + maxElapsed(c.limits.LongestLease)
	}
	for _, x := range attributeCrash(e, earlierRuns) {
		x.incarnation.StartedMs = x.task.targetStartedMs
		x.task.possibleCrash = &x
	}
}

// resetIncarnation drops what was known of an endpoint's previous incarnation, such as the number of
// its last end: otherwise the new ends would count as applied and be acknowledged unread, and their
// tasks would run again. The endpoint counts as unlisted, as the new incarnation may have less
// capacity. What belongs to the endpoint's instance is kept.
func (c *Core) resetIncarnation(now time.Duration, e *endpoint, startedMs int64) {
	c.event(Event{Kind: EventRestarted, Endpoint: e.id, StartedMs: startedMs, Run: len(e.tasks),
		Reason: fmt.Sprintf("the previous incarnation's ends were acknowledged up to %d", e.acknowledgedEnd)})
	c.recordCrashes(attributeCrash(e, c.unreportedRuns(e)))
	crashes := attributeCrash(e, e.orderedRuns())
	c.unsavedEndpoints[e.id] = true
	*e = endpoint{
		id: e.id, addr: e.addr, zone: e.zone, kind: e.kind, rack: e.rack, startedMs: startedMs, term: e.term + 1,
		capacity: e.capacity, used: e.used, tasks: e.tasks,
		vacating: e.vacating, vacateUntil: e.vacateUntil, vacatingSoonUntil: e.vacatingSoonUntil,
		nextPoll: now, restarted: true, earlierRunsUntil: now + maxElapsed(c.limits.LongestLease), isolatedFor: e.isolatedFor,
	}
	for _, x := range crashes {
		x.task.possibleCrash = &x
	}
	for t := range e.tasks {
		c.markUnconfirmed(now, e, t)
	}
}

// markUnconfirmed resets a task of an endpoint that has restarted. If its order has been sent, the
// run either is over or starts on the new incarnation: that one's first listing shows which.
func (c *Core) markUnconfirmed(now time.Duration, e *endpoint, t *task) {
	if t.orderedAt == 0 && !t.restored {
		c.event(Event{Kind: EventLost, Job: t.step.job.rec.Job.ID, Task: t.name(), Run: t.run, Endpoint: e.id, Reason: "incarnation ended"})
		c.requeue(t)
		return
	}
	t.restored = true
	t.confirmedAt, t.stopSentAt, t.listedAt, t.percent, t.progressAt = 0, 0, 0, 0, now
	t.orderAnswered, t.resending, t.onCurrentIncarnation = false, false, false
}

// safeAcknowledgement is the number of the last end that a poll may acknowledge. The poll may reach a
// new incarnation whose ends nobody has read. That one has ends only if a start reached it, and
// such a start is not certain to have reached the present incarnation.
func (e *endpoint) safeAcknowledgement() int64 {
	if e.startedMs == 0 {
		return e.acknowledgedEnd // an endpoint that reports no start time has one incarnation per id
	}
	if e.failedPolls > 0 {
		return 0
	}
	for t := range e.tasks {
		if t.orderedAt > 0 && !t.onCurrentIncarnation {
			return 0
		}
	}
	return e.acknowledgedEnd
}

// Answer is what an endpoint reports about itself in its answer to an order.
type Answer struct {
	// Clock is its monotonic clock, 0 if not reported.
	Clock time.Duration
	// StartedMs is when the incarnation that answered started, in ms since 1970; 0 if not reported.
	StartedMs int64
}

// clockSlack is the most by which a clock reading may be delayed, in transit or in a queue here.
const clockSlack = 2 * time.Second

// isFrom reports whether an answer to an order sent at sent is from the endpoint's present
// incarnation. Without a start time, the clock decides: it continues from its last reading and may
// be slow.
func (a Answer) isFrom(now, sent time.Duration, e *endpoint) bool {
	if a.StartedMs != 0 && e.startedMs != 0 {
		return a.StartedMs == e.startedMs
	}
	if a.Clock == 0 || e.clockAt == 0 {
		return false
	}
	earliest := e.clock + time.Duration(float64(sent-e.clockAt)*(1-clockDrift)) - time.Millisecond
	latest := e.clock + now - e.clockAt + clockSlack
	return a.Clock >= earliest && a.Clock <= latest
}

// suspectRestart handles an answer that may be from another incarnation than the known one. The
// endpoint is polled at once, and its leases count as if it had restarted.
func (c *Core) suspectRestart(now time.Duration, e *endpoint) {
	if e.startedMs == 0 {
		return
	}
	e.nextPoll = now
	e.earlierRunsUntil = now + maxElapsed(c.limits.LongestLease)
}

// IncarnationEnded records that an operation has ended an incarnation with everything on it. If the
// endpoint's present incarnation is unknown, its tasks may run on a later one: its first listing
// shows that.
func (c *Core) IncarnationEnded(in Incarnation) {
	c.endedIncarnations[in] = 0
	e := c.endpoints[in.ID]
	if e == nil || e.incarnation() != in {
		return
	}
	crashes := append(c.presumedCrashes(e), e.possibleCrashes()...)
	c.endIncarnation(e)
	c.recordCrashes(crashes)
}

func (c *Core) endIncarnation(e *endpoint) {
	c.endedIncarnations[e.incarnation()] = 0
	c.event(Event{Kind: EventIncarnationEnded, Endpoint: e.id, StartedMs: e.startedMs, Run: len(e.tasks)})
	c.requeueAll(e, "incarnation ended")
	c.forgetEndpoint(e, true)
}

// incarnationCrashed records that an incarnation has ended for an unknown reason.
func (c *Core) incarnationCrashed(e *endpoint) {
	crashes := attributeCrash(e, append(e.orderedRuns(), c.unreportedRuns(e)...))
	c.endIncarnation(e)
	c.recordCrashes(crashes)
}
