// Package attempts retries writes that are safe to repeat: the store recognises them by a
// sequence number or a condition, or only the newest counts. Its input is the call, a
// classification of its errors, and the answer times seen recently, from which it derives
// how long an attempt waits before the next one starts. Group membership (internal/shards)
// and the owners' journals (internal/tenure) call it for their writes to the store.
//
// Load: the store carries out half of the writes and loses their answers, while owners of
// pools change. A claim needs two answered writes in a row and an owner's batch one, and a
// member that is silent for a second is considered gone: with a wait far above the usual
// answer time, each lost answer costs a second in which a pool accepts and starts nothing.
package attempts

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cyclamenwheel/internal/planlease"
	"cyclamenwheel/platform"
)

const (
	// minWait is the lower limit of the wait: about ten times the answer time of an idle
	// store, so that a node short of CPU time does not repeat every call.
	minWait = 80 * time.Millisecond
	// maxWait bounds the wait for a slow store.
	maxWait = 900 * time.Millisecond
	// waitFactor times the typical answer time is how long an attempt waits.
	// typicalPercentile is the percentile of the answer times that counts as typical.
	waitFactor        = 4
	typicalPercentile = 95
	// windowCount and answersPerWindow set how many answers the histogram covers: about
	// ten seconds of a busy owner.
	windowCount      = 2
	answersPerWindow = 64
	// percentileEvery is how many answers pass between two computations of the percentile.
	percentileEvery = 8
	// maxGrowth bounds later waits of a call, as a multiple of its first wait, while other
	// calls are answered: the store then loses answers but is not slow, and a long wait
	// for a lost answer is useless. Without an answer for silentAfter, only maxWait bounds
	// them.
	maxGrowth   = 2
	silentAfter = time.Second
	// latestCount is how many of the newest answers the wait exceeds by half, so that a
	// single answer shows that the store has become slow.
	latestCount = 4
	// refusedPause follows an attempt that failed before its wait was over: the store is
	// down or refuses this node.
	refusedPause = 60 * time.Millisecond
)

// Range and resolution of the histogram.
const (
	minMicros         = 100
	maxMicros         = 4_000_000
	significantDigits = 2
)

// Policy derives the wait of an attempt from recent answer times. It is safe for
// concurrent use; create it with NewPolicy.
type Policy struct {
	mu        sync.Mutex
	histogram *hdrhistogram.WindowedHistogram
	answers   int
	// typical is the percentile last computed, latest the times of the newest answers.
	typical time.Duration
	latest  [latestCount]time.Duration
	// lastDone is when the store last answered a call that it carried out.
	lastDone time.Duration
}

// NewPolicy returns a policy without recorded answers.
func NewPolicy() *Policy {
	return &Policy{histogram: hdrhistogram.NewWindowed(windowCount, minMicros, maxMicros, significantDigits), typical: minWait / waitFactor}
}

// Wait returns how long an attempt of a call, counted from 1, waits for its answer. The
// second waits as long as the first, as one lost answer does not mean that the store is
// slow. From then on each waits half as long again: if no answer arrives at all, the store
// may have become slower.
func (p *Policy) Wait(now time.Duration, attempt int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	wait := max(minWait, waitFactor*p.typical)
	for _, took := range p.latest {
		wait = max(wait, took+took/2)
	}
	limit := maxWait
	if now-p.lastDone < silentAfter {
		limit = maxGrowth * wait
	}
	for range attempt - 2 {
		wait = min(wait+wait/2, limit)
	}
	return min(wait, maxWait)
}

// Slow reports whether most of the newest answers took longer than limit. A store that
// only loses answers is not slow: the others arrive as fast as before.
func (p *Policy) Slow(limit time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	slow := 0
	for _, took := range p.latest {
		if took > limit {
			slow++
		}
	}
	return 2*slow > latestCount
}

// SilentFor returns how long ago the store last answered a call that it carried out.
func (p *Policy) SilentFor(now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now - p.lastDone
}

// Answered records how long an answer took. done is false if the store refused the call.
func (p *Policy) Answered(now, took time.Duration, done bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if done {
		p.lastDone = now
	}
	// Times beyond the histogram's range are clamped: the wait is bounded anyway.
	_ = p.histogram.Current.RecordValue(min(max(took.Microseconds(), minMicros), maxMicros))
	p.latest[p.answers%latestCount] = took
	p.answers++
	if p.answers%percentileEvery == 0 {
		p.typical = time.Duration(p.histogram.Merge().ValueAtQuantile(typicalPercentile)) * time.Microsecond
	}
	if p.answers%answersPerWindow == 0 {
		p.histogram.Rotate()
	}
}

// Verdict classifies the error of an attempt.
type Verdict uint8

// Verdicts on attempts.
const (
	// Final means that a retry would get the same answer.
	Final Verdict = iota
	// Refused means that the store answered that it did nothing; a retry may succeed.
	Refused
	// Unanswered means that the call may have been carried out.
	Unanswered
)

// answer is the result of one attempt.
type answer[T any] struct {
	out  T
	err  error
	took time.Duration
	// superseded is set if the attempt was cancelled for a later one.
	superseded bool
}

// repeater is one call with its attempts. The first attempt stays open beside the newest
// one: its answer may be slow and not lost.
type repeater[T any] struct {
	policy   *Policy
	call     func(context.Context) (T, error)
	answers  chan answer[T]
	attempts int
	// cancelNewest cancels the newest attempt.
	cancelNewest context.CancelFunc
}

// Repeat makes a call until its answer is final or ctx ends, and returns the number of
// attempts. classify says what an error means; a nil error is final. The first conclusive
// answer of any attempt is returned.
//
// If every attempt were cancelled for the next one, a store that has just become slow
// would answer none in time.
func Repeat[T any](ctx context.Context, p *Policy, classify func(error) Verdict, call func(context.Context) (T, error)) (out T, attempts int, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := repeater[T]{policy: p, call: call, answers: make(chan answer[T])}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			if err == nil {
				err = &platform.OutcomeUnknownError{Call: "repeated call", Cause: ctx.Err()}
			}
			return out, r.attempts, err
		case <-timer.C:
			r.attempt(ctx)
			timer.Reset(p.Wait(planlease.Boottime(), r.attempts))
		case a := <-r.answers:
			if a.superseded && a.err != nil {
				continue
			}
			out, err = a.out, a.err
			if r.handle(a, classify) {
				return out, r.attempts, err
			}
			timer.Reset(refusedPause)
		}
	}
}

// attempt starts another attempt and cancels the one before, unless that is the first.
func (r *repeater[T]) attempt(ctx context.Context) {
	if r.attempts > 1 {
		r.cancelNewest()
	}
	r.attempts++
	callCtx := ctx
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	r.cancelNewest = cancel
	go func() {
		defer cancel()
		began := planlease.Boottime()
		out, err := r.call(ctx)
		a := answer[T]{out, err, planlease.Boottime() - began, ctx.Err() != nil}
		select {
		case r.answers <- a:
		case <-callCtx.Done():
		}
	}()
}

// handle records the answer's time and reports whether the answer is final.
func (r *repeater[T]) handle(a answer[T], classify func(error) Verdict) (final bool) {
	if a.err == nil {
		r.policy.Answered(planlease.Boottime(), a.took, true)
		return true
	}
	verdict := classify(a.err)
	if verdict != Unanswered {
		r.policy.Answered(planlease.Boottime(), a.took, verdict == Final)
	}
	return verdict == Final
}
