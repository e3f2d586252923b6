// Package attempts repeats calls of the store that may be repeated safely: reads,
// and writes that the store recognises by a sequence number or a condition. How
// long one attempt waits is decided by the answers seen lately.
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

	"cyclamenwheel/internal/pause"
	"cyclamenwheel/internal/planlease"
)

const (
	// shortest is the least wait: some ten times what a quiet store takes (4 ms,
	// and as much again on the way), so that a node short of processor time does
	// not repeat each call.
	shortest = 80 * time.Millisecond
	// longest bounds the wait for a store that is slow: 50 times its usual answer
	// is 200 ms.
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
	wait    time.Duration
	// heard is when a call was last answered and carried out.
	heard time.Duration
}

// NewPolicy returns a policy that has seen no answer.
func NewPolicy() *Policy {
	return &Policy{seen: hdrhistogram.NewWindowed(windows, leastMicros, mostMicros, digits), wait: shortest}
}

// Wait is how long the numbered attempt of a call, from 1 on, waits for its answer.
// The second waits as long as the first, as one lost answer says nothing of the
// store's speed; from then on each waits half as long again: where no answer comes
// at all, the store is slower than it was and not only forgetful.
func (p *Policy) Wait(now time.Duration, attempt int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	most := longest
	if now-p.heard < silence {
		most = min(growth*p.wait, longest)
	}
	wait := p.wait
	for range attempt - 2 {
		wait = min(wait+wait/2, most)
	}
	return wait
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
	p.answers++
	if p.answers%measureEvery == 0 {
		typical := time.Duration(p.seen.Merge().ValueAtQuantile(usual)) * time.Microsecond
		p.wait = min(max(patience*typical, shortest), longest)
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

// Repeat makes a call until its answer is final or ctx ends, and returns how many
// attempts that took. judge says what an error means; nil errors are final.
func Repeat[T any](ctx context.Context, p *Policy, judge func(error) Verdict, call func(context.Context) (T, error)) (out T, tries int, err error) {
	for tries = 1; ; tries++ {
		began := planlease.Boottime()
		attempt, cancel := context.WithTimeout(ctx, p.Wait(began, tries))
		out, err = call(attempt)
		cancel()
		now := planlease.Boottime()
		took := now - began
		if err == nil {
			p.Answered(now, took, true)
			return out, tries, nil
		}
		verdict := judge(err)
		if verdict != Unanswered {
			p.Answered(now, took, verdict == Final)
		}
		if verdict == Final || ctx.Err() != nil {
			return out, tries, err
		}
		if took < turnedAwayPause {
			pause.For(ctx, turnedAwayPause)
		}
	}
}
