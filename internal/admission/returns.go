package admission

import (
	"math/rand/v2"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Limits of Returns.
const (
	// maxReturns bounds the refused jobs and the classes that are remembered.
	maxReturns = 20000
	// returnTTL is how long a job is remembered after its first offer.
	returnTTL = 15 * time.Second
	// returnEarly and returnLate are how long before and after its scheduled time a retry counts as
	// on time. A reservation is kept until then.
	returnEarly = 250 * time.Millisecond
	returnLate  = 2 * time.Second
	// minReturnDelay and maxReturnDelay bound the delays, which are whole seconds as HTTP's
	// Retry-After counts in seconds.
	minReturnDelay = time.Second
	maxReturnDelay = 3 * time.Second
	// callerPatience is how long after its first offer a caller still retries. Capacity that is
	// reserved beyond it would be kept from other callers for nothing.
	callerPatience = 3 * time.Second
)

// ReturnKey identifies a class of jobs in one pool: those of one account at one priority.
type ReturnKey struct {
	Priority int
	Account  string
}

// Return is what is known of a refused job that is offered again.
type Return struct {
	// FirstOffered is when the job was first refused.
	FirstOffered time.Duration
	// Refusals is how often it was refused.
	Refusals int
	// OnTime is set from 250 ms before to 2 s after the time at which it was to be retried.
	OnTime bool
}

// Returns tracks the refused jobs of one pool that may be retried. It is not safe for concurrent use.
//
// Load: a pool receives more than it can run, and refused callers retry. Failure prevented: retries
// that come together find no capacity, and a newcomer takes what a caller was told to wait for.
//
// All memory is bounded. Both caches are ordered so that the oldest entry expires first, and a call
// only looks at the oldest entries.
type Returns struct {
	rnd *rand.Rand
	// jobs are ordered by first offer: an entry is changed in place and never added again.
	jobs *simplelru.LRU[string, *returningJob]
	// classes are ordered by last use.
	classes *simplelru.LRU[ReturnKey, *returningClass]
}

// returningJob is a refused job. class is nil if nothing is reserved for it.
type returningJob struct {
	firstOffered, due time.Duration
	refusals          int
	work              float64
	class             *returningClass
}

// NewReturns returns an empty Returns. seed makes the spreading of retries reproducible.
func NewReturns(seed uint64) *Returns {
	// The only error is a size below 1.
	jobs, _ := simplelru.NewLRU(maxReturns, func(_ string, j *returningJob) { j.release() })
	classes, _ := simplelru.NewLRU[ReturnKey, *returningClass](maxReturns, nil)
	return &Returns{rnd: rand.New(rand.NewPCG(seed, seed)), jobs: jobs, classes: classes}
}

// SetRate sets how much work of a class is done in a second, in the unit of the work given to Refuse.
// Without a rate the drain alone decides when callers of the class retry.
func (r *Returns) SetRate(now time.Duration, class ReturnKey, workPerSecond float64) {
	r.class(now, class).rate = workPerSecond
}

// Refuse records a refusal. drain is how long the work ahead of the caller takes. It returns the delay
// after which the caller is to retry: 1, 2 or 3 s. The delay is that of the drain or, if the retries
// scheduled for that second exceed the class's rate, the next one with room before the caller gives
// up. If there is none, it is the one with the fewest retries. Capacity is reserved for retries before
// the caller gives up.
func (r *Returns) Refuse(now time.Duration, id string, class ReturnKey, work float64, drain time.Duration) time.Duration {
	r.expire(now)
	j := r.job(now, id)
	j.release()
	j.refusals++
	c := r.class(now, class)
	delay, inTime := c.delay(now, r.earliestDelay(drain), j.firstOffered+callerPatience, work)
	j.due = now + delay
	if inTime {
		j.work, j.class = work, c
		c.reserve(j.due, work)
	}
	return delay
}

// Lookup returns what is known of a job that is offered again. It changes nothing: the reservation
// ends with the Refuse or Forget that follows.
func (r *Returns) Lookup(now time.Duration, id string) (Return, bool) {
	j, known := r.jobs.Peek(id)
	if !known || now-j.firstOffered >= returnTTL {
		return Return{}, false
	}
	onTime := now >= j.due-returnEarly && now <= j.due+returnLate
	return Return{FirstOffered: j.firstOffered, Refusals: j.refusals, OnTime: onTime}, true
}

// Forget drops a job that was accepted or has ended.
func (r *Returns) Forget(id string) { r.jobs.Remove(id) }

// Due returns the work of jobs of the class that were scheduled to retry by until and have not been
// retried yet, to 250 ms. Newcomers of the class leave this much capacity to them.
func (r *Returns) Due(now, until time.Duration, class ReturnKey) float64 {
	if c, known := r.classes.Peek(class); known {
		return c.reserved(now-returnLate, until)
	}
	return 0
}

// earliestDelay converts a drain to whole seconds. Drains between two whole seconds are spread over
// both, in proportion, so that callers with equal drains do not all retry in the same second.
func (r *Returns) earliestDelay(drain time.Duration) time.Duration {
	if drain <= minReturnDelay {
		return minReturnDelay
	}
	spread := time.Duration(r.rnd.Int64N(int64(time.Second)))
	return (min(drain, maxReturnDelay) + spread).Truncate(time.Second)
}

func (r *Returns) job(now time.Duration, id string) *returningJob {
	j, known := r.jobs.Peek(id)
	if !known {
		j = &returningJob{firstOffered: now}
		r.jobs.Add(id, j)
	}
	return j
}

// class returns the state of a class and marks it as used.
func (r *Returns) class(now time.Duration, key ReturnKey) *returningClass {
	c, known := r.classes.Get(key)
	if !known {
		c = &returningClass{}
		r.classes.Add(key, c)
	}
	c.usedAt = now
	return c
}

// expire removes outdated jobs and classes.
func (r *Returns) expire(now time.Duration) {
	for _, j, ok := r.jobs.GetOldest(); ok && now-j.firstOffered >= returnTTL; _, j, ok = r.jobs.GetOldest() {
		r.jobs.RemoveOldest()
	}
	for _, c, ok := r.classes.GetOldest(); ok && now-c.usedAt >= returnTTL; _, c, ok = r.classes.GetOldest() {
		r.classes.RemoveOldest()
	}
}

// release ends the job's reservation.
func (j *returningJob) release() {
	if j.class != nil {
		j.class.release(j.due, j.work)
		j.class = nil
	}
}
