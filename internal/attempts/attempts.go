// Package attempts repeats writes that may be repeated safely: the store recognises
// them by a sequence number or a condition, or the newest one counts. How long one
// attempt waits is decided by the answers seen lately.
//
// Load: the store carries out half of the writes and loses their answers, while
// owners of pools change. A claim needs two answered writes in a row and an
// owner's batch one, and a member that is silent for a second is taken for gone:
// with a wait far above what an answer takes, each lost answer costs a second in
// which a pool accepts and starts nothing.
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
	// shortest is the least wait: some ten times what a quiet store takes, so that a
	// node short of processor time does not repeat each call.
	shortest = 80 * time.Millisecond
	// longest bounds the wait for a store that is slow.
	longest = 900 * time.Millisecond
	// patience is how many times the usual answer's time an attempt waits, and
	// usual is the percentile that counts as usual.
	patience = 4
	usual    = 95
	// windows and answersPerWindow say how many answers are remembered: some ten
	// seconds of a busy owner.
	windows          = 2
	answersPerWindow = 64
	// measureEvery spaces the work of finding the percentile, in answers.
	measureEvery = 8
	// growth bounds the later waits of a call, in first waits, while other calls are
	// answered: the store is forgetful then and not slow, and a long wait for an
	// answer that is lost helps nobody. silence is how long no call may have been
	// answered for that.
	growth  = 2
	silence = time.Second
	// fewAnswers is how many of the newest answers the wait covers by half as much
	// again, so that a store that has become slow is known after one.
	fewAnswers = 4
	// turnedAwayPause follows an attempt that failed before its wait was over: the
	// store is down, or turns this node away.
	turnedAwayPause = 60 * time.Millisecond
)

// Resolution of the remembered times.
const (
	leastMicros = 100
	mostMicros  = 4_000_000
	digits      = 2
)

// Policy is how long attempts wait, learnt from the answers. It is safe for
// concurrent use; the zero value is not ready to use.
type Policy struct {
	mu      sync.Mutex
	seen    *hdrhistogram.WindowedHistogram
	answers int
	// typical is the percentile last found, latest the newest answers' times.
	typical time.Duration
	latest  [fewAnswers]time.Duration
	// heard is when a call was last answered and carried out.
	heard time.Duration
}

// NewPolicy returns a policy that has seen no answer.
func NewPolicy() *Policy {
	return &Policy{seen: hdrhistogram.NewWindowed(windows, leastMicros, mostMicros, digits), typical: shortest / patience}
}

// Wait is how long the numbered attempt of a call, from 1 on, waits for its answer.
// The second waits as long as the first, as one lost answer says nothing of the
// store's speed; from then on each waits half as long again: where no answer comes
// at all, the store is slower than it was and not only forgetful.
func (p *Policy) Wait(now time.Duration, attempt int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	wait := max(shortest, patience*p.typical)
	for _, took := range p.latest {
		wait = max(wait, took+took/2)
	}
	most := longest
	if now-p.heard < silence {
		most = growth * wait
	}
	for range attempt - 2 {
		wait = min(wait+wait/2, most)
	}
	return min(wait, longest)
}

// Slow reports whether the store takes longer than limit for most of its answers
// lately. One that loses answers gives the others as fast as ever.
func (p *Policy) Slow(limit time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	slow := 0
	for _, took := range p.latest {
		if took > limit {
			slow++
		}
	}
	return 2*slow > fewAnswers
}

// Silent is for how long the store has carried out nothing that it answered.
func (p *Policy) Silent(now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now - p.heard
}

// Answered takes in how long an answer took. done is false where it turned the
// call away.
func (p *Policy) Answered(now, took time.Duration, done bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if done {
		p.heard = now
	}
	// Beyond the histogram's range there is nothing to learn: the wait is bounded.
	_ = p.seen.Current.RecordValue(min(max(took.Microseconds(), leastMicros), mostMicros))
	p.latest[p.answers%fewAnswers] = took
	p.answers++
	if p.answers%measureEvery == 0 {
		p.typical = time.Duration(p.seen.Merge().ValueAtQuantile(usual)) * time.Microsecond
	}
	if p.answers%answersPerWindow == 0 {
		p.seen.Rotate()
	}
}

// Verdict is what an attempt's error says of the call.
type Verdict uint8

// Verdicts on attempts.
const (
	// Final: the answer will not change.
	Final Verdict = iota
	// TurnedAway: the store answered that it has done nothing; it may later.
	TurnedAway
	// Unanswered: the call may have been carried out.
	Unanswered
)

// answer is what became of one attempt.
type answer[T any] struct {
	out  T
	err  error
	took time.Duration
	// givenUp: a later attempt has taken its place.
	givenUp bool
}

// repeater is one call and its attempts. The first stays open beside the newest one:
// its answer may be slow and not lost.
type repeater[T any] struct {
	policy  *Policy
	call    func(context.Context) (T, error)
	answers chan answer[T]
	tries   int
	// giveUp ends the newest attempt.
	giveUp context.CancelFunc
}

// Repeat makes a call until its answer is final or ctx ends, and returns how many
// attempts that took. judge says what an error means; nil errors are final. The
// first answer of any attempt counts.
//
// Where each attempt is given up for the next one, none is answered by a store that
// has just become slow.
func Repeat[T any](ctx context.Context, p *Policy, judge func(error) Verdict, call func(context.Context) (T, error)) (out T, tries int, err error) {
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
			return out, r.tries, err
		case <-timer.C:
			r.attempt(ctx)
			timer.Reset(p.Wait(planlease.Boottime(), r.tries))
		case a := <-r.answers:
			if a.givenUp && a.err != nil {
				continue
			}
			out, err = a.out, a.err
			if r.take(a, judge) {
				return out, r.tries, err
			}
			timer.Reset(turnedAwayPause)
		}
	}
}

// attempt makes another attempt and gives up the one before, unless that is the
// first.
func (r *repeater[T]) attempt(ctx context.Context) {
	if r.tries > 1 {
		r.giveUp()
	}
	r.tries++
	call := ctx
	ctx, giveUp := context.WithTimeout(ctx, longest)
	r.giveUp = giveUp
	go func() {
		defer giveUp()
		began := planlease.Boottime()
		out, err := r.call(ctx)
		a := answer[T]{out, err, planlease.Boottime() - began, ctx.Err() != nil}
		select {
		case r.answers <- a:
		case <-call.Done():
		}
	}()
}

// take learns from an answer and reports whether it is final.
func (r *repeater[T]) take(a answer[T], judge func(error) Verdict) (final bool) {
	if a.err == nil {
		r.policy.Answered(planlease.Boottime(), a.took, true)
		return true
	}
	verdict := judge(a.err)
	if verdict != Unanswered {
		r.policy.Answered(planlease.Boottime(), a.took, verdict == Final)
	}
	return verdict == Final
}
