package admission

import (
	"math/rand/v2"
	"time"
)

// Limits of Fair.
const (
	// maxPerSlot bounds the queue. 64 requests a slot are more than a pool serves within
	// any plausible deadline. The bound protects memory; usually deadlines cause the
	// refusals.
	maxPerSlot = 64
	// overloadDrainTime bounds the queue under sustained overload: it holds what the slots
	// serve within this time. That bridges the gaps between arrivals, so that no slot is
	// idle; a longer queue would only add to the latency of every answer and to the time
	// that a displaced request has wasted.
	overloadDrainTime = 10 * time.Millisecond
	// minOverloadBound is the lower limit of that bound. A small or slow pool serves less
	// than one request in overloadDrainTime: at twice its capacity, one slot with one
	// waiting request is idle 14% of the time, with four 2%.
	minOverloadBound = 4
	// greedyFactor is the ratio of waiting requests to weight between two callers from which a
	// request of the larger one may be displaced although it has waited longer than
	// overloadDrainTime. Callers with equal load differ by chance by a factor of two or
	// three.
	greedyFactor = 3
	// overloadAfter is how long requests must have been refused for the overload to count
	// as sustained. A burst that can be served within its deadlines, such as the closing
	// of tabs at the end of a shift, causes no refusals, however long its queue.
	overloadAfter = time.Second
	// overloadEndsAfter without a refusal ends an overload.
	overloadEndsAfter = 500 * time.Millisecond
	// maxUrgentInRow is how many urgent requests may run before a waiting normal one gets
	// its turn: urgent work goes first without starving the rest.
	maxUrgentInRow = 4
	// minRetryAfter and maxRetryAfter bound the retry advice. Below a tenth of a second
	// callers would be back before anything has changed; above half a minute they would
	// stay away from a pool that has recovered.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// maxEstimateShare of a request's timeout is the upper limit for its estimated service
	// time. Otherwise an estimate beyond the deadline would refuse every request and never
	// be corrected.
	maxEstimateShare = 0.5
)

// Fair is a bounded queue that respects deadlines and shares slots among callers.
//
// Load: demand beyond the slots, in bursts or sustained, from callers with very different
// request rates. Failures prevented: a long queue in which every request is answered after
// its caller has disconnected, so that a full pool does no useful work; and one caller
// that fills the queue and starves the others.
//
// Each caller's requests run in order of arrival. In a burst the queue may grow as long as
// the deadlines allow. Once requests have been refused for overloadAfter, the queue is
// kept short: requests already waiting keep their place, and new ones are refused on
// arrival until the queue has drained. Load: demand beyond the capacity for seconds or
// more. Failure prevented: a request waits and is then displaced by a newer one, although
// it could have been refused on arrival.
type Fair struct {
	rnd            *rand.Rand
	slots          int
	weights        map[string]float64 // of the callers with a weight other than 1
	lanes          [2]lane            // normal, urgent
	flowByID       map[uint64]*flow
	urgentInRow    int       // urgent requests served in a row
	refusingSince  time.Time // first refusal of the current series
	lastRefusal    time.Time
	serviceTimes   estimates
	recentRefusals secondCounter
}

// Indexes of Fair.lanes.
const (
	normalLane = iota
	urgentLane
)

// NewFair returns an empty queue. seed makes the jitter of its retry advice reproducible.
func NewFair(seed uint64) *Fair {
	q := &Fair{
		rnd:          rand.New(rand.NewPCG(seed, seed)),
		weights:      map[string]float64{},
		flowByID:     map[uint64]*flow{},
		serviceTimes: newEstimates(),
	}
	weightOf := func(caller string) float64 { return Weight(q.weights[caller]) }
	q.lanes = [2]lane{newLane(weightOf), newLane(weightOf)}
	return q
}

// SetWeight sets the weight by which a caller shares the slots, also for its waiting
// requests. A weight that is not positive and finite counts as 1, the weight of a caller for
// which none is set. Only weights other than 1 take memory.
func (q *Fair) SetWeight(caller string, weight float64) {
	if weight = Weight(weight); weight == 1 {
		delete(q.weights, caller)
	} else {
		q.weights[caller] = weight
	}
	for i := range q.lanes {
		q.lanes[i].reweigh(caller)
	}
}

// SetSlots implements Queue.
func (q *Fair) SetSlots(n int) { q.slots = n }

// Len implements Queue.
func (q *Fair) Len() int { return q.lanes[normalLane].len + q.lanes[urgentLane].len }

// Work implements Queue.
func (q *Fair) Work() time.Duration { return time.Duration(q.Len()) * q.serviceTimes.overall }

// Observe implements Queue.
func (q *Fair) Observe(kind string, service time.Duration) { q.serviceTimes.observe(kind, service) }

// Estimate implements Queue.
func (q *Fair) Estimate(kind string) time.Duration { return q.serviceTimes.meanOf(kind) }

// Offer implements Queue.
func (q *Fair) Offer(now time.Time, r Request) []Refusal {
	l := &q.lanes[laneOf(r)]
	if now.Add(q.expectedWait(now, l, r) + q.cappedServiceTime(r)).After(r.Deadline) {
		q.noteRefusal(now)
		return []Refusal{q.refuse(now, r.ID, ReasonTooLate)}
	}
	f := l.push(r)
	q.flowByID[r.ID] = f
	return q.enforceBound(now, f)
}

// expectedWait estimates how long r would wait for the requests that are served before it
// with fair sharing.
func (q *Fair) expectedWait(now time.Time, l *lane, r Request) time.Duration {
	if q.slots == 0 {
		return 0
	}
	ahead := l.ahead(r.Caller)
	if l == &q.lanes[normalLane] {
		ahead += q.lanes[urgentLane].len
	}
	return time.Duration(ahead+1) * q.serviceTimes.overall / time.Duration(q.slots)
}

// cappedServiceTime returns the estimated service time of r, capped by maxEstimateShare.
// It uses the upper estimate: a request that times out in flight has an unknown outcome,
// which for a charge is worse than a refusal.
func (q *Fair) cappedServiceTime(r Request) time.Duration {
	bound := time.Duration(maxEstimateShare * float64(r.Deadline.Sub(r.Arrived)))
	return min(q.serviceTimes.upper(r.Kind), bound)
}

// overloaded reports whether requests have been refused for at least overloadAfter.
func (q *Fair) overloaded(now time.Time) bool {
	return q.refusing(now) && now.Sub(q.refusingSince) >= overloadAfter
}

// refusing reports whether the last refusal is recent enough to belong to an ongoing
// overload.
func (q *Fair) refusing(now time.Time) bool {
	return now.Sub(q.lastRefusal) < overloadEndsAfter
}

// noteRefusal records that demand exceeds the capacity. Requests that expire in the queue
// do not count: they are left over from an earlier burst and say nothing about the current
// load.
func (q *Fair) noteRefusal(now time.Time) {
	if !q.refusing(now) {
		q.refusingSince = now
	}
	q.lastRefusal = now
}

// enforceBound refuses requests beyond the bound after a request was added to the flow
// added.
//
// The bound in an overload may be far below the length of the queue. Each arrival then
// causes at most one refusal: otherwise hundreds of requests would be dropped at once
// after a long wait.
func (q *Fair) enforceBound(now time.Time, added *flow) []Refusal {
	var out []Refusal
	switch {
	case q.overloaded(now):
		if q.Len() > q.overloadBound() {
			out = append(out, q.refuseOne(now, added))
		}
	default:
		for q.Len() > maxPerSlot*max(q.slots, 1) {
			out = append(out, q.refuseOne(now, added))
		}
	}
	return out
}

// overloadBound returns how many requests may wait under sustained overload.
func (q *Fair) overloadBound() int {
	cleared := 0
	if q.serviceTimes.overall > 0 {
		cleared = int(time.Duration(q.slots) * overloadDrainTime / q.serviceTimes.overall)
	}
	return min(max(cleared, minOverloadBound), maxPerSlot*max(q.slots, 1))
}

// refuseOne refuses one request because of the newest one in the flow added: usually that
// one, as it has not waited yet. The newest request of the caller with the most waiting
// requests for its weight is refused instead if that is fairer and wastes no long wait.
func (q *Fair) refuseOne(now time.Time, added *flow) Refusal {
	l := &q.lanes[normalLane]
	if l.len == 0 {
		l = &q.lanes[urgentLane]
	}
	f, reason := l.longest(added), ReasonDisplaced
	if added.lane == l && !mayDisplace(now, f, added) {
		f = added
	}
	if f == added {
		reason = ReasonFull
	}
	victim := l.takeNewest(f)
	delete(q.flowByID, victim.ID)
	q.noteRefusal(now)
	return q.refuse(now, victim.ID, reason)
}

// mayDisplace reports whether the newest request of f, which has more waiting requests
// for its weight than added, may be displaced for added: if it has only just arrived, or if
// f holds so much of the queue that it would starve the other caller.
func mayDisplace(now time.Time, f, added *flow) bool {
	newest := f.waiting[len(f.waiting)-1]
	return now.Sub(newest.Arrived) <= overloadDrainTime ||
		f.queued() >= greedyFactor*added.queued()
}

func (q *Fair) refuse(now time.Time, id uint64, reason Reason) Refusal {
	q.recentRefusals.add(now)
	return Refusal{ID: id, Reason: reason, RetryAfter: q.RetryAfter(now)}
}

// Next implements Queue.
func (q *Fair) Next(now time.Time) (Request, bool, []Refusal) {
	var refused []Refusal
	for q.Len() > 0 {
		l := q.nextLane()
		r := l.takeNext(q.serviceTimes.meanOf)
		delete(q.flowByID, r.ID)
		if q.missesDeadline(now, r) {
			refused = append(refused, q.refuse(now, r.ID, ReasonTooLate))
			continue
		}
		return r, true, refused
	}
	return Request{}, false, refused
}

// missesDeadline reports whether r could not finish in time if it ran now.
func (q *Fair) missesDeadline(now time.Time, r Request) bool {
	return now.Add(q.cappedServiceTime(r)).After(r.Deadline)
}

// Expire implements Queue.
//
// Load: no slot becomes free for long, as when endpoints stop responding. Failure
// prevented: a request that can no longer be served is refused only at its turn or after
// its deadline, long after that was certain.
func (q *Fair) Expire(now time.Time) []Refusal {
	var out []Refusal
	missesDeadline := func(r Request) bool { return q.missesDeadline(now, r) }
	for i := range q.lanes {
		for _, r := range q.lanes[i].takeMatching(missesDeadline) {
			delete(q.flowByID, r.ID)
			out = append(out, q.refuse(now, r.ID, ReasonTooLate))
		}
	}
	return out
}

// nextLane chooses the lane to serve next.
func (q *Fair) nextLane() *lane {
	normal, urgent := &q.lanes[normalLane], &q.lanes[urgentLane]
	if urgent.len > 0 && (normal.len == 0 || q.urgentInRow < maxUrgentInRow) {
		q.urgentInRow++
		return urgent
	}
	q.urgentInRow = 0
	return normal
}

// Remove implements Queue.
func (q *Fair) Remove(id uint64) {
	f := q.flowByID[id]
	if f == nil {
		return
	}
	delete(q.flowByID, id)
	f.lane.remove(f, id)
}

// RetryAfter implements Queue. It returns the time to serve the waiting requests and those
// refused within the last second, as the latter will be retried. The result is jittered
// between half and one and a half of that, so that callers refused together do not retry
// together.
func (q *Fair) RetryAfter(now time.Time) time.Duration {
	backlog := q.Len() + q.recentRefusals.recentCount(now)
	d := minRetryAfter
	if q.slots > 0 {
		d += time.Duration(backlog) * q.serviceTimes.overall / time.Duration(q.slots)
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

// secondCounter counts events within about the last second.
type secondCounter struct {
	second            int64
	current, previous int
}

func (c *secondCounter) advance(now time.Time) {
	s := now.Unix()
	switch s - c.second {
	case 0:
	case 1:
		c.previous, c.current = c.current, 0
	default:
		c.previous, c.current = 0, 0
	}
	c.second = s
}

func (c *secondCounter) add(now time.Time) {
	c.advance(now)
	c.current++
}

func (c *secondCounter) recentCount(now time.Time) int {
	c.advance(now)
	return max(c.current, c.previous)
}
