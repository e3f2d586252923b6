// Package retry decides whether a failed attempt is followed by another, and
// after what delay. Its inputs are the failure, the recent successes and
// retries, the current time and a random seed; it reads no clock.
// internal/dispatch asks one Policy per pool after each failed attempt, under
// the pool's lock, and internal/measure/load runs it in simulations.
//
// Load: an endpoint or a zone is lost and many requests fail together.
// Unlimited retries would multiply the load on the remaining endpoints until
// they fail too, and a retried request might run twice.
package retry

import (
	"math/rand/v2"
	"time"
)

// Limits of retries.
const (
	// BudgetRatio is the allowed ratio of retries to recent successes, which keeps
	// attempts within 1.1 times the requests.
	BudgetRatio = 0.1
	// MinPerWindow allows retries at an entry with very little traffic. One per
	// second cannot cause a retry storm.
	MinPerWindow = 1
	// Window is the time over which successes and retries are counted.
	Window = time.Second
	// BackoffBase and BackoffCap bound the delay before a retry. Ten
	// milliseconds let a restarted listener come back; a quarter of a second is
	// still small compared to deadlines of seconds.
	BackoffBase = 10 * time.Millisecond
	BackoffCap  = 250 * time.Millisecond
	// MaxAttempts bounds the attempts of one request: a third failure is
	// unlikely to be chance.
	MaxAttempts = 3
)

// Failure describes a failed attempt.
type Failure struct {
	// NotRun: the request provably did not run.
	NotRun bool
	// Idempotent: the class allows the request to run more than once.
	Idempotent bool
	// Attempts made so far, including the failed one.
	Attempts int
	Deadline time.Time
	// Estimate is the expected duration of another attempt.
	Estimate time.Duration
}

// Policy decides on retries. Calls must be serialized by the caller.
type Policy interface {
	// Success counts a request that got a response.
	Success(now time.Time)
	// Next returns the delay before the next attempt, or false if there is
	// none. A granted retry counts as used.
	Next(now time.Time, f Failure) (wait time.Duration, ok bool)
}

// retryIsSafe applies to every policy, including the baseline: a request that
// may have run is not sent again unless it is idempotent.
func (f Failure) retryIsSafe() bool { return f.NotRun || f.Idempotent }

// Fixed is the baseline: up to MaxAttempts with a fixed delay.
type Fixed struct{ Wait time.Duration }

// Success implements Policy.
func (Fixed) Success(time.Time) {}

// Next implements Policy.
func (p Fixed) Next(_ time.Time, f Failure) (time.Duration, bool) {
	return p.Wait, f.retryIsSafe() && f.Attempts < MaxAttempts
}

// Budget grants retries in proportion to recent successes. When most requests
// fail, the cause is not a single endpoint and retries do not help, so almost
// none are granted.
type Budget struct {
	rnd       *rand.Rand
	successes window
	retries   window
}

// NewBudget returns a Budget. seed makes its backoff reproducible.
func NewBudget(seed uint64) *Budget {
	return &Budget{rnd: rand.New(rand.NewPCG(seed, seed))}
}

// Success implements Policy.
func (b *Budget) Success(now time.Time) { b.successes.add(now) }

// Next implements Policy.
func (b *Budget) Next(now time.Time, f Failure) (time.Duration, bool) {
	if !f.retryIsSafe() || f.Attempts >= MaxAttempts {
		return 0, false
	}
	wait := b.backoff(f.Attempts)
	if now.Add(wait + f.Estimate).After(f.Deadline) {
		return 0, false
	}
	// Successes are counted over slightly less than the window and retries over
	// slightly more, so that the bound holds over any second and not only over
	// those that start with a bucket.
	allowed := max(MinPerWindow, int(BudgetRatio*float64(b.successes.sum(now, bucketCount-1))))
	if b.retries.sum(now, bucketCount+1) >= allowed {
		return 0, false
	}
	b.retries.add(now)
	return wait, true
}

// backoff returns a random delay up to the exponential bound (full jitter), so
// that requests that failed together are not retried together.
func (b *Budget) backoff(attempts int) time.Duration {
	bound := min(BackoffBase<<min(attempts, 10), BackoffCap)
	return time.Duration(b.rnd.Int64N(int64(bound)))
}

const (
	bucketCount = 20
	bucketWidth = Window / bucketCount
)

// window counts events in buckets of bucketWidth.
type window struct {
	counters [bucketCount + 1]struct {
		index int64
		count int
	}
}

func (w *window) add(now time.Time) {
	i := now.UnixNano() / int64(bucketWidth)
	s := &w.counters[i%int64(len(w.counters))]
	if s.index != i {
		s.index, s.count = i, 0
	}
	s.count++
}

// sum counts the newest n buckets, including the current one.
func (w *window) sum(now time.Time, n int) int {
	i := now.UnixNano() / int64(bucketWidth)
	total := 0
	for _, s := range w.counters {
		if s.index > i-int64(n) && s.index <= i {
			total += s.count
		}
	}
	return total
}
