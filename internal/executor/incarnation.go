package executor

import (
	"fmt"
	"time"
)

// Incarnation names one life of an endpoint. An endpoint may restart under its id: it then
// holds nothing of before, numbers its ends from 1 again and has another clock.
type Incarnation struct {
	ID string
	// StartedMs is when it started, in ms since 1970; 0 where that was not told.
	StartedMs int64
}

func (e *endpoint) incarnation() Incarnation { return Incarnation{ID: e.id, StartedMs: e.startedMs} }

// termBits of a fence number count the incarnations that an owner has met under one id;
// the bits above are its epoch.
const termBits = 20

// fence is the number of orders to an endpoint. It rises with each incarnation: one that
// has been heard under its own number turns away what was ordered of those before.
func (c *Core) fence(e *endpoint) int64 { return c.epoch<<termBits | int64(e.term) }

// forget drops an endpoint. Should its id come back, orders of before must not reach it.
func (c *Core) forget(e *endpoint) {
	delete(c.endpoints, e.id)
	c.terms[e.id] = e.term + 1
	c.unsavedGivenUp[e.id] = true
}

// meet takes in the start of the incarnation that an answer is from, or an entry of service
// discovery. What was asked under the endpoint's present fence left after that incarnation
// had started, so that another start is a later one whatever the time of day says.
func (c *Core) meet(now time.Duration, e *endpoint, startedMs int64) {
	switch {
	case startedMs == 0 || startedMs == e.startedMs:
	case e.startedMs == 0:
		e.startedMs = startedMs
	default:
		c.beginAnew(now, e, startedMs)
	}
}

// restoreStart takes in the start of an incarnation that a record names. Of several the
// newest is kept, without what was kept for one before.
func (c *Core) restoreStart(e *endpoint, startedMs int64) {
	if startedMs > e.startedMs {
		e.startedMs, e.givenUp, e.unheard = startedMs, nil, nil
		c.unsavedGivenUp[e.id] = true
	}
}

// doubtRestored deals with tasks that were placed on an earlier incarnation than the newest one
// that the records name. Their orders, with leases by the earlier clock, may have reached it,
// and a predecessor may send them for as long as it believes in itself.
func (c *Core) doubtRestored(now time.Duration, e *endpoint) {
	var taken []endedRun
	for t := range e.tasks {
		if t.meantFor != 0 && t.meantFor != e.startedMs {
			taken = append(taken, endedRun{task: t, number: t.run})
		}
	}
	if len(taken) > 0 {
		e.heldUntil = now + c.limits.ProofAge + stretched(c.limits.LongestLease)
	}
	for _, x := range weigh(e, taken) {
		x.in.StartedMs = x.task.meantFor
		x.task.doubted = &x
	}
}

// beginAnew forgets what was known of an endpoint's incarnation before, such as the number
// of its last end: by that number the new ends would be taken for known and be acknowledged
// unread, and their tasks run again. It counts as not listed, as the new one may have less
// room. What belongs to the endpoint's instance is kept.
func (c *Core) beginAnew(now time.Duration, e *endpoint, startedMs int64) {
	c.event(Event{Kind: EventRestarted, Endpoint: e.id, StartedMs: startedMs, Run: len(e.tasks),
		Reason: fmt.Sprintf("ends up to %d acknowledged before", e.acknowledged)})
	c.accuseAll(weigh(e, c.unheardRuns(e)))
	taken := weigh(e, e.runsOf())
	c.unsavedGivenUp[e.id] = true
	*e = endpoint{
		id: e.id, addr: e.addr, zone: e.zone, kind: e.kind, rack: e.rack, startedMs: startedMs, term: e.term + 1,
		capacity: e.capacity, used: e.used, tasks: e.tasks,
		vacating: e.vacating, vacateUntil: e.vacateUntil, dueUntil: e.dueUntil,
		nextLook: now, heldUntil: now + stretched(c.limits.LongestLease), trial: e.trial,
	}
	for _, x := range taken {
		x.task.doubted = &x
	}
	for t := range e.tasks {
		c.doubt(now, e, t)
	}
}

// doubt deals with a task of an endpoint that has restarted. Where its order has left, the
// run is over, or the order reached the new incarnation: its first listing tells.
func (c *Core) doubt(now time.Duration, e *endpoint, t *task) {
	if t.ordered == 0 && !t.restored {
		c.event(Event{Kind: EventLost, Job: t.step.job.rec.Job.ID, Task: t.name(), Run: t.run, Endpoint: e.id, Reason: "incarnation ended"})
		c.again(t)
		return
	}
	t.restored = true
	t.confirmed, t.stopSent, t.listedAt, t.percent, t.movedAt = 0, 0, 0, 0, now
	t.answered, t.resending, t.proven = false, false, false
}

// mayForget is the number of the last end that a renewal may let the endpoint forget. The
// renewal may find a new incarnation, whose ends nobody has read: it has none unless a start
// reached it, which then is not known to have reached the present one.
func (e *endpoint) mayForget() int64 {
	if e.startedMs == 0 {
		return e.acknowledged // endpoints that don't tell their starts have one life an id
	}
	if e.failedLook > 0 {
		return 0
	}
	for t := range e.tasks {
		if t.ordered > 0 && !t.proven {
			return 0
		}
	}
	return e.acknowledged
}

// Answer is what an endpoint tells of itself with an answer to an order.
type Answer struct {
	// Clock is its own steady clock, 0 where not told.
	Clock time.Duration
	// StartedMs is when the incarnation that answered started, in ms since 1970; 0 where
	// not told.
	StartedMs int64
}

// clockSlack is how late the reading of a clock may come: the answer with it was under way,
// or waited here.
const clockSlack = 2 * time.Second

// isFrom reports whether an answer to an order that left at sent is from the endpoint's
// present incarnation. One that does not say is told by its clock, which goes on from its
// last reading and may be slow.
func (a Answer) isFrom(now, sent time.Duration, e *endpoint) bool {
	if a.StartedMs != 0 && e.startedMs != 0 {
		return a.StartedMs == e.startedMs
	}
	if a.Clock == 0 || e.clockAt == 0 {
		return false
	}
	least := e.clock + time.Duration(float64(sent-e.clockAt)*(1-clockDrift)) - time.Millisecond
	most := e.clock + now - e.clockAt + clockSlack
	return a.Clock >= least && a.Clock <= most
}

// unsure takes in that an endpoint may have restarted: an answer does not seem to be from the
// incarnation that is known. It is asked at once; runs may last as if it had restarted.
func (c *Core) unsure(now time.Duration, e *endpoint) {
	if e.startedMs == 0 {
		return
	}
	e.nextLook = now
	e.heldUntil = now + stretched(c.limits.LongestLease)
}
