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
	// overloadClear bounds the queue under sustained overload: it holds what
	// the slots get through within this time. That bridges the gaps between
	// arrivals, so that no slot is idle; any more would only add to the wait of
	// every answer, and to that of a request that is displaced.
	overloadClear = 10 * time.Millisecond
	// overloadMin is the least such bound. A small or slow pool gets through
	// less than one request in overloadClear: at twice its capacity, one slot
	// with one waiting request is idle 14% of the time, with four 2%.
	overloadMin = 4
	// greedyFactor is how many times as many requests a caller must have
	// waiting as another for one that has waited longer than overloadClear to
	// be displaced. Equal callers differ by chance by two or three times.
	greedyFactor = 3
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
// Each caller's requests run in order of arrival. In a burst the queue may grow
// as long as the deadlines allow. Once requests have been refused for
// overloadAfter the queue is held short: what waits already was promised a slot
// and keeps its place, and new requests are refused on arrival until the queue
// has drained. Load: demand beyond the capacity for seconds or more. Harm
// prevented: a request that waits and is then displaced by a newer one has cost
// its caller that wait, for an answer that was known when it came.
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
	f := l.push(r)
	q.where[r.ID] = f
	return q.trim(now, f)
}

// wait estimates how long r would wait. In a fair queue it waits for the
// smaller of everything ahead and its own caller's requests times the number
// of callers that share.
func (q *Fair) wait(now time.Time, l *lane, r Request) time.Duration {
	if q.slots == 0 {
		return 0
	}
	ahead := min(l.len, l.queued(r.Caller)*(len(l.flows)+1))
	if l == &q.lanes[normalLane] {
		ahead += q.lanes[urgentLane].len
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

// trim refuses what is beyond the bound after a request of the flow came was
// added.
//
// The bound in force in an overload may be far below the length of the queue.
// Then each arrival costs one refusal and no more: those that wait would
// otherwise be thrown out by the hundred, after having waited for long.
func (q *Fair) trim(now time.Time, came *flow) []Refusal {
	var out []Refusal
	switch {
	case q.overloaded(now):
		if q.Len() > q.overloadBound() {
			out = append(out, q.drop(now, came))
		}
	default:
		for q.Len() > maxPerSlot*max(q.slots, 1) {
			out = append(out, q.drop(now, came))
		}
	}
	return out
}

// overloadBound is how many requests may wait under sustained overload.
func (q *Fair) overloadBound() int {
	cleared := 0
	if q.times.all > 0 {
		cleared = int(time.Duration(q.slots) * overloadClear / q.times.all)
	}
	return min(max(cleared, overloadMin), maxPerSlot*max(q.slots, 1))
}

// drop refuses one request because of the newest of the flow came: as a rule
// that one, which has waited for nothing yet. The newest of the caller with the
// most waiting goes in its place if that is fairer and costs no long wait.
func (q *Fair) drop(now time.Time, came *flow) Refusal {
	l := &q.lanes[normalLane]
	if l.len == 0 {
		l = &q.lanes[urgentLane]
	}
	f, reason := l.longest(came), ReasonDisplaced
	if came.lane == l && !yields(now, f, came) {
		f = came
	}
	if f == came {
		reason = ReasonFull
	}
	victim := l.takeNewest(f)
	delete(q.where, victim.ID)
	q.press(now)
	return q.refuse(now, victim.ID, reason)
}

// yields tells whether the newest request of f may be displaced for came, of
// which f has more waiting. It may if it has just come; or if the caller holds
// so much of the queue that it would starve the other.
func yields(now time.Time, f, came *flow) bool {
	newest := f.waiting[len(f.waiting)-1]
	return now.Sub(newest.Arrived) <= overloadClear ||
		len(f.waiting) >= greedyFactor*len(came.waiting)
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
		r := l.take(q.times.of)
		delete(q.where, r.ID)
		if q.late(now, r) {
			refused = append(refused, q.refuse(now, r.ID, ReasonTooLate))
			continue
		}
		return r, true, refused
	}
	return Request{}, false, refused
}

// late tells whether r could not end in time if it ran now.
func (q *Fair) late(now time.Time, r Request) bool {
	return now.Add(q.service(r)).After(r.Deadline)
}

// Expire implements Queue.
//
// Load: slots that do not come free for long, as when endpoints fall silent.
// Harm prevented: a request that can no longer be served is told so only when
// its turn comes or its deadline has passed, long after that was known.
func (q *Fair) Expire(now time.Time) []Refusal {
	var out []Refusal
	late := func(r Request) bool { return q.late(now, r) }
	for i := range q.lanes {
		for _, r := range q.lanes[i].takeAll(late) {
			delete(q.where, r.ID)
			out = append(out, q.refuse(now, r.ID, ReasonTooLate))
		}
	}
	return out
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
