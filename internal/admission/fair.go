package admission

import (
	"math/rand/v2"
	"time"
)

// Limits of Fair.
const (
	// maxPerSlot bounds the queue. 64 requests a slot are more than a pool
	// gets through within any deadline it is likely to have; the bound is for
	// memory, deadlines are what usually refuses.
	maxPerSlot = 64
	// overloadPerSlot bounds the queue under sustained overload. One waiting
	// request a slot keeps every slot busy; any more would only wait and be
	// refused later instead of now.
	overloadPerSlot = 1
	// overloadAfter is how long requests must have been refused for the
	// overload to count as sustained. A burst, such as the closing of tabs at
	// the end of a shift, that can be served within its deadlines never does,
	// however long its queue.
	overloadAfter = time.Second
	// overloadGap without a refusal ends an overload.
	overloadGap = 500 * time.Millisecond
	// urgentRun is how many urgent requests may pass before a normal one that
	// waits gets its turn: urgent work goes first without starving the rest.
	urgentRun = 4
	// minRetryAfter and maxRetryAfter bound the advice to callers. Below a
	// tenth of a second they would be back before anything has changed; above
	// half a minute they would stay away from a pool that has recovered.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// trustedPart of a request's own time is the most that an estimate is
	// believed. An estimate that has grown past the deadline would otherwise
	// refuse everything and never be corrected.
	trustedPart = 0.5
)

// Fair is a bounded queue that knows deadlines and shares slots among callers.
//
// Load: demand beyond the slots, in bursts or for long, from callers of very
// different appetite. Harm prevented: a long queue in which every request is
// answered after its caller has gone, so that a full pool does no useful work;
// and one caller that fills the queue and starves the others.
//
// In a burst each caller's requests run in order of arrival. Once requests have
// been refused for overloadAfter the newest goes first: the old ones have used
// up their time, and serving them first would make every answer late.
type Fair struct {
	rnd         *rand.Rand
	slots       int
	lanes       [2]lane // normal, urgent
	where       map[uint64]*flow
	urgent      int       // urgent requests in a row
	pressed     time.Time // since when requests have been refused
	lastRefusal time.Time
	times       estimates
	refused     recent
}

// Indexes of Fair.lanes.
const (
	normalLane = iota
	urgentLane
)

// NewFair returns an empty queue. seed makes the jitter of its advice
// repeatable.
func NewFair(seed uint64) *Fair {
	return &Fair{
		rnd:   rand.New(rand.NewPCG(seed, seed)),
		lanes: [2]lane{newLane(), newLane()},
		where: map[uint64]*flow{},
		times: newEstimates(),
	}
}

// SetSlots implements Queue.
func (q *Fair) SetSlots(n int) { q.slots = n }

// Len implements Queue.
func (q *Fair) Len() int { return q.lanes[normalLane].len + q.lanes[urgentLane].len }

// Work implements Queue.
func (q *Fair) Work() time.Duration { return time.Duration(q.Len()) * q.times.all }

// Observe implements Queue.
func (q *Fair) Observe(kind string, service time.Duration) { q.times.observe(kind, service) }

// Estimate implements Queue.
func (q *Fair) Estimate(kind string) time.Duration { return q.times.of(kind) }

// Offer implements Queue.
func (q *Fair) Offer(now time.Time, r Request) []Refusal {
	l := &q.lanes[laneOf(r)]
	if now.Add(q.wait(now, l, r) + q.service(r)).After(r.Deadline) {
		q.press(now)
		return []Refusal{q.refuse(now, r.ID, ReasonTooLate)}
	}
	q.where[r.ID] = l.push(r)
	return q.trim(now)
}

// wait estimates how long r would wait. In a fair queue it waits for the
// smaller of everything ahead and its own caller's requests times the number
// of callers that share. Newest-first it waits for one turn only.
func (q *Fair) wait(now time.Time, l *lane, r Request) time.Duration {
	if q.slots == 0 {
		return 0
	}
	ahead := min(l.len, l.queued(r.Caller)*(len(l.flows)+1))
	if l == &q.lanes[normalLane] {
		ahead += q.lanes[urgentLane].len
	}
	if q.overloaded(now) {
		ahead = min(ahead, len(l.flows))
	}
	return time.Duration(ahead+1) * q.times.all / time.Duration(q.slots)
}

// service is the part of the estimated service time that is believed. It is
// the upper estimate: a request that times out in flight has an unknown
// outcome, which is worse for a charge than a refusal.
func (q *Fair) service(r Request) time.Duration {
	bound := time.Duration(trustedPart * float64(r.Deadline.Sub(r.Arrived)))
	return min(q.times.upper(r.Kind), bound)
}

// overloaded tells whether requests have been refused for long.
func (q *Fair) overloaded(now time.Time) bool {
	return q.pressing(now) && now.Sub(q.pressed) >= overloadAfter
}

func (q *Fair) pressing(now time.Time) bool {
	return now.Sub(q.lastRefusal) < overloadGap
}

// press notes that there is more than can be served. Requests that run out of
// time in the queue do not count: they are what a burst has left behind, and
// say nothing of the load since.
func (q *Fair) press(now time.Time) {
	if !q.pressing(now) {
		q.pressed = now
	}
	q.lastRefusal = now
}

// trim refuses what is beyond the bound: the oldest request of the caller with
// the most of them, so that a greedy caller displaces its own requests.
func (q *Fair) trim(now time.Time) []Refusal {
	bound, reason := maxPerSlot*max(q.slots, 1), ReasonFull
	if q.overloaded(now) {
		bound, reason = overloadPerSlot*max(q.slots, 1), ReasonDisplaced
	}
	var out []Refusal
	for q.Len() > bound {
		l := &q.lanes[normalLane]
		if l.len == 0 {
			l = &q.lanes[urgentLane]
		}
		victim := l.takeOldestOfLongest()
		delete(q.where, victim.ID)
		q.press(now)
		out = append(out, q.refuse(now, victim.ID, reason))
	}
	return out
}

func (q *Fair) refuse(now time.Time, id uint64, reason Reason) Refusal {
	q.refused.add(now)
	return Refusal{ID: id, Reason: reason, RetryAfter: q.RetryAfter(now)}
}

// Next implements Queue.
func (q *Fair) Next(now time.Time) (Request, bool, []Refusal) {
	var refused []Refusal
	for q.Len() > 0 {
		l := q.turn()
		r := l.take(q.overloaded(now), q.times.of)
		delete(q.where, r.ID)
		if now.Add(q.service(r)).After(r.Deadline) {
			refused = append(refused, q.refuse(now, r.ID, ReasonTooLate))
			continue
		}
		return r, true, refused
	}
	return Request{}, false, refused
}

// turn chooses the lane that is served next.
func (q *Fair) turn() *lane {
	normal, urgent := &q.lanes[normalLane], &q.lanes[urgentLane]
	if urgent.len > 0 && (normal.len == 0 || q.urgent < urgentRun) {
		q.urgent++
		return urgent
	}
	q.urgent = 0
	return normal
}

// Remove implements Queue.
func (q *Fair) Remove(id uint64) {
	f := q.where[id]
	if f == nil {
		return
	}
	delete(q.where, id)
	f.lane.remove(f, id)
}

// RetryAfter implements Queue: the time it would take to serve what waits and
// what was refused within the last second, as that will come back. It is drawn
// from half to one and a half of this, so that callers that were refused
// together do not return together.
func (q *Fair) RetryAfter(now time.Time) time.Duration {
	backlog := q.Len() + q.refused.sum(now)
	d := minRetryAfter
	if q.slots > 0 {
		d += time.Duration(backlog) * q.times.all / time.Duration(q.slots)
	} else {
		d += time.Second
	}
	d = time.Duration((0.5 + q.rnd.Float64()) * float64(d))
	return max(minRetryAfter, min(d, maxRetryAfter))
}

func laneOf(r Request) int {
	if r.Urgent {
		return urgentLane
	}
	return normalLane
}

// recent counts events of about the last second.
type recent struct {
	second    int64
	now, last int
}

func (c *recent) roll(now time.Time) {
	s := now.Unix()
	switch s - c.second {
	case 0:
	case 1:
		c.last, c.now = c.now, 0
	default:
		c.last, c.now = 0, 0
	}
	c.second = s
}

func (c *recent) add(now time.Time) {
	c.roll(now)
	c.now++
}

func (c *recent) sum(now time.Time) int {
	c.roll(now)
	return max(c.now, c.last)
}
