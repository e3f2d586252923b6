// Package retry decides whether a failed attempt is followed by another, and
// when. It is pure: time and randomness are passed in.
//
// Load: an endpoint or a zone is lost and many requests fail together. Harm
// prevented: retries that multiply the load on what is left until that fails
// too, and a request that runs twice.
package retry

import (
	"math/rand/v2"
	"time"
)

// Limits of retries.
const (
	// Part of recent successes that may be retries: attempts stay within 1.1
	// times the requests.
	Part = 0.1
	// MinPerWindow lets an entry with next to no traffic retry at all. One a
	// second is no storm, whatever fails.
	MinPerWindow = 1
	// Window is the time over which successes and retries are counted.
	Window = time.Second
	// BackoffBase and BackoffCap bound the wait before a retry. Ten
	// milliseconds let a restarted listener come back; a quarter of a second
	// is still small against deadlines of seconds.
	BackoffBase = 10 * time.Millisecond
	BackoffCap  = 250 * time.Millisecond
	// MaxAttempts bounds the attempts of one request: past the third its
	// failure is not by chance.
	MaxAttempts = 3
)

// Failure is what is known of a failed attempt.
type Failure struct {
	// NotRun: it is proved that the request did not run.
	NotRun bool
	// Idempotent: the class allows the request to run again.
	Idempotent bool
	// Attempts made so far, the failed one included.
	Attempts int
	Deadline time.Time
	// Estimate is how long another attempt is expected to take.
	Estimate time.Duration
}

// Policy decides about retries. An implementation is owned by one lock.
type Policy interface {
	// Success counts a request that was answered.
	Success(now time.Time)
	// Next returns how long to wait before the next attempt, or false where
	// there is to be none. A granted retry is counted as used.
	Next(now time.Time, f Failure) (wait time.Duration, ok bool)
}

// safe holds for every policy, the baseline included: a request that may have
// run is not sent again unless it is idempotent.
func (f Failure) safe() bool { return f.NotRun || f.Idempotent }

// Fixed is the baseline: up to MaxAttempts at a fixed interval.
type Fixed struct{ Wait time.Duration }

// Success implements Policy.
func (Fixed) Success(time.Time) {}

// Next implements Policy.
func (p Fixed) Next(_ time.Time, f Failure) (time.Duration, bool) {
	return p.Wait, f.safe() && f.Attempts < MaxAttempts
}

// Budget grants retries as a part of recent successes, so that they vanish
// when most requests fail: then the cause is not one endpoint, and sending
// more does not help.
type Budget struct {
	rnd       *rand.Rand
	successes window
	retries   window
}

// NewBudget returns a Budget. seed makes its backoff repeatable.
func NewBudget(seed uint64) *Budget {
	return &Budget{rnd: rand.New(rand.NewPCG(seed, seed))}
}

// Success implements Policy.
func (b *Budget) Success(now time.Time) { b.successes.add(now) }

// Next implements Policy.
func (b *Budget) Next(now time.Time, f Failure) (time.Duration, bool) {
	if !f.safe() || f.Attempts >= MaxAttempts {
		return 0, false
	}
	wait := b.backoff(f.Attempts)
	if now.Add(wait + f.Estimate).After(f.Deadline) {
		return 0, false
	}
	// The successes of a little less than the window pay for the retries of a
	// little more than it: the bound holds over any second, not only over
	// those that begin with a bucket.
	allowed := max(MinPerWindow, int(Part*float64(b.successes.sum(now, buckets-1))))
	if b.retries.sum(now, buckets+1) >= allowed {
		return 0, false
	}
	b.retries.add(now)
	return wait, true
}

// backoff is drawn from the whole range up to the exponential bound (full
// jitter): requests that failed together do not come back together.
func (b *Budget) backoff(attempts int) time.Duration {
	bound := min(BackoffBase<<min(attempts, 10), BackoffCap)
	return time.Duration(b.rnd.Int64N(int64(bound)))
}

const (
	buckets     = 20
	bucketWidth = Window / buckets
)

// window counts events in buckets of bucketWidth.
type window struct {
	slots [buckets + 1]struct {
		index int64
		count int
	}
}

func (w *window) add(now time.Time) {
	i := now.UnixNano() / int64(bucketWidth)
	s := &w.slots[i%int64(len(w.slots))]
	if s.index != i {
		s.index, s.count = i, 0
	}
	s.count++
}

// sum counts the newest n buckets, the one in progress included.
func (w *window) sum(now time.Time, n int) int {
	i := now.UnixNano() / int64(bucketWidth)
	total := 0
	for _, s := range w.slots {
		if s.index > i-int64(n) && s.index <= i {
			total += s.count
		}
	}
	return total
}
