// Package admission decides which requests wait, which one runs next and which
// are refused, once every slot of a pool is taken. It is pure: time is passed
// in and its randomness is seeded.
//
// A queue is owned by one lock or goroutine; it does no locking of its own.
package admission

import "time"

// Request is what the decision needs to know of a request.
type Request struct {
	ID uint64
	// Caller is who sent it; slots are shared fairly among callers.
	Caller string
	// Kind groups requests with the same usual service time: a service and its
	// class.
	Kind     string
	Urgent   bool
	Arrived  time.Time
	Deadline time.Time
}

// Reason tells why a request was refused. Values are stable: they appear in
// problems and metrics.
type Reason string

// Reasons of refusals.
const (
	// ReasonFull: it came when the queue had reached its bound.
	ReasonFull Reason = "queue_full"
	// ReasonTooLate: it could not have finished before its deadline.
	ReasonTooLate Reason = "deadline_out_of_reach"
	// ReasonDisplaced: a newer request took its place, of a caller that has
	// fewer waiting or of one more urgent.
	ReasonDisplaced Reason = "displaced"
)

// Refusal is the final word on a request that will not run.
type Refusal struct {
	ID     uint64
	Reason Reason
	// RetryAfter is when it is worth trying again.
	RetryAfter time.Duration
}

// Queue holds the requests that wait for a slot.
type Queue interface {
	// SetSlots tells how many requests may run at a time.
	SetSlots(n int)
	// Offer takes a request for which there is no free slot. What is refused
	// because of it is returned, which may be the request itself.
	Offer(now time.Time, r Request) []Refusal
	// Next takes the request out that is to run now that a slot is free, and
	// returns those that were given up on the way.
	Next(now time.Time) (r Request, ok bool, refused []Refusal)
	// Expire takes out and returns those that can no longer end in time. It is
	// called at short intervals, as Next is not while no slot is free.
	Expire(now time.Time) []Refusal
	// Remove forgets a request whose caller has gone.
	Remove(id uint64)
	// Observe learns how long a request of a kind held its slot.
	Observe(kind string, service time.Duration)
	// Estimate returns the usual service time of a kind; 0 if unknown.
	Estimate(kind string) time.Duration
	// RetryAfter is the advice for a request that is refused now.
	RetryAfter(now time.Time) time.Duration
	// Len returns how many requests wait.
	Len() int
	// Work returns the expected service time of all that waits.
	Work() time.Duration
}

// FIFO is the baseline: unbounded, first in first out, blind to deadlines.
type FIFO struct {
	waiting []Request
	times   estimates
}

// NewFIFO returns an empty FIFO.
func NewFIFO() *FIFO { return &FIFO{times: newEstimates()} }

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
func (q *FIFO) Observe(kind string, service time.Duration) { q.times.observe(kind, service) }

// Estimate implements Queue.
func (q *FIFO) Estimate(kind string) time.Duration { return q.times.of(kind) }

// RetryAfter implements Queue.
func (q *FIFO) RetryAfter(time.Time) time.Duration { return time.Second }

// Len implements Queue.
func (q *FIFO) Len() int { return len(q.waiting) }

// Work implements Queue.
func (q *FIFO) Work() time.Duration { return time.Duration(len(q.waiting)) * q.times.all }
