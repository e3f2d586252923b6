// Package admission decides, when every slot of a pool is taken, which requests wait,
// which one runs next and which are refused. Its input is requests with deadlines,
// observed service times and the number of slots; time is passed in and the randomness is
// seeded, so decisions are reproducible. The dispatcher calls it for each pool, and the
// load model of internal/measure/load for its simulations.
//
// A queue does no locking: its owner serializes the calls.
//
// Under overload control, a Meter at the owner of a pool counts what is offered to it by class, and a
// Gate at each node refuses what the owner would refuse, from the notices that the Meter derives.
package admission

import "time"

// Request holds the properties of a request that admission depends on.
type Request struct {
	ID uint64
	// Caller identifies the sender; slots are shared fairly among callers.
	Caller string
	// Kind groups requests with similar service times: a service and its class.
	Kind     string
	Urgent   bool
	Arrived  time.Time
	Deadline time.Time
}

// Reason says why a request was refused. Values are stable: they appear in problem
// documents and metrics.
type Reason string

// Reasons for a refusal.
const (
	// ReasonFull means that the queue was full when the request arrived.
	ReasonFull Reason = "queue_full"
	// ReasonTooLate means that the request could not have finished before its deadline.
	ReasonTooLate Reason = "deadline_out_of_reach"
	// ReasonDisplaced means that a newer request took its place, either from a caller with
	// fewer waiting requests or because it is urgent.
	ReasonDisplaced Reason = "displaced"
)

// Refusal is the final result of a request that will not run.
type Refusal struct {
	ID     uint64
	Reason Reason
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter time.Duration
}

// Queue holds the requests that wait for a slot.
type Queue interface {
	// SetSlots sets how many requests may run concurrently.
	SetSlots(n int)
	// Offer queues a request for which there is no free slot. It returns the requests
	// refused as a result, which may include r itself.
	Offer(now time.Time, r Request) []Refusal
	// Next removes and returns the request to run in a free slot, together with the
	// refusals of those that could no longer meet their deadline.
	Next(now time.Time) (r Request, ok bool, refused []Refusal)
	// Expire removes and returns the requests that can no longer meet their deadline. It
	// is called at short intervals, because Next is not called while no slot is free.
	Expire(now time.Time) []Refusal
	// Remove drops a request whose caller has disconnected.
	Remove(id uint64)
	// Observe records how long a request of a kind occupied its slot.
	Observe(kind string, service time.Duration)
	// Estimate returns the mean service time of a kind; 0 if unknown.
	Estimate(kind string) time.Duration
	// RetryAfter returns the delay to advise to a request that is refused now.
	RetryAfter(now time.Time) time.Duration
	// Len returns the number of waiting requests.
	Len() int
	// Work returns the expected service time of all waiting requests.
	Work() time.Duration
}

// FIFO is the baseline for comparisons: unbounded, first in first out, ignoring deadlines.
type FIFO struct {
	waiting      []Request
	serviceTimes estimates
}

// NewFIFO returns an empty FIFO.
func NewFIFO() *FIFO { return &FIFO{serviceTimes: newEstimates()} }

// SetSlots implements Queue.
func (q *FIFO) SetSlots(int) {}

// Offer implements Queue.
func (q *FIFO) Offer(_ time.Time, r Request) []Refusal {
	q.waiting = append(q.waiting, r)
	return nil
}

// Next implements Queue.
func (q *FIFO) Next(time.Time) (Request, bool, []Refusal) {
	if len(q.waiting) == 0 {
		return Request{}, false, nil
	}
	r := q.waiting[0]
	q.waiting = q.waiting[1:]
	return r, true, nil
}

// Expire implements Queue.
func (q *FIFO) Expire(time.Time) []Refusal { return nil }

// Remove implements Queue.
func (q *FIFO) Remove(id uint64) {
	for i, r := range q.waiting {
		if r.ID == id {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
}

// Observe implements Queue.
func (q *FIFO) Observe(kind string, service time.Duration) { q.serviceTimes.observe(kind, service) }

// Estimate implements Queue.
func (q *FIFO) Estimate(kind string) time.Duration { return q.serviceTimes.meanOf(kind) }

// RetryAfter implements Queue.
func (q *FIFO) RetryAfter(time.Time) time.Duration { return time.Second }

// Len implements Queue.
func (q *FIFO) Len() int { return len(q.waiting) }

// Work implements Queue.
func (q *FIFO) Work() time.Duration { return time.Duration(len(q.waiting)) * q.serviceTimes.overall }
