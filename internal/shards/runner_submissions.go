package shards

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// maxWaitingSubmissions bounds the submissions that wait for the control goroutine. A round
	// takes maxSubmissionsPerRound of them, so that the last one waits for some eight rounds.
	maxWaitingSubmissions = 512
	// maxWaitingBytes bounds the encoded jobs of the submissions that wait: a large one takes hundreds of
	// times as much as an ordinary one.
	maxWaitingBytes        = 1 << 20
	maxSubmissionsPerRound = 64
	// answerShare is the inverse of the part of the caller's time that is left for the answer of a
	// submission that waits in vain, so that its caller learns that it was not accepted.
	answerShare = 16
	// busyRetryAfterMs is the retry delay given to callers of an owner that is busy.
	busyRetryAfterMs = 1000
)

// Reasons for which submissions are dropped before they are decided, as metric labels.
const (
	droppedQueueFull = "queue_full"
	droppedExpired   = "expired"
)

var (
	// resultOwnerBusy answers a submission that is not queued, or not sent, because too many are.
	resultOwnerBusy = Result{Outcome: OutcomeUnavailable, Reason: "the pool's owner is busy", RetryAfterMs: busyRetryAfterMs}
	// resultTooLate answers a submission whose caller's time ends before it is decided.
	resultTooLate = Result{Outcome: OutcomeUnavailable, Reason: "came too late"}
	// resultNoAnswer answers a call that was begun and is not answered within its caller's time.
	resultNoAnswer = Result{Outcome: OutcomeUnknown, Reason: "no answer in time"}
)

// submission is a submission that waits for the control goroutine.
type submission struct {
	// ctx ends when the submission is no longer worth a decision.
	ctx    context.Context
	decide func(now time.Duration, token uint64) (Result, bool)
	// answer has room for the one answer that each submission gets.
	answer chan Result
	// bytes is the size of its job.
	bytes int
}

// submissionQueue holds the submissions that wait, oldest first. A submission in it has not been
// decided: whoever removes it, its caller or the control goroutine, knows that it had no effect.
type submissionQueue struct {
	mu      sync.Mutex
	waiting []*submission
	// bytes is the sum over waiting.
	bytes  int
	closed bool
	// arrived receives a value when submissions wait.
	arrived chan struct{}
}

func newSubmissionQueue() *submissionQueue {
	return &submissionQueue{arrived: make(chan struct{}, 1)}
}

// push queues a submission. If it is not queued, ok is false and result is its answer.
func (q *submissionQueue) push(s *submission) (result Result, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case q.closed:
		return resultOwnerChanging, false
	case len(q.waiting) >= maxWaitingSubmissions, len(q.waiting) > 0 && q.bytes+s.bytes > maxWaitingBytes:
		countDropped(droppedQueueFull)
		return resultOwnerBusy, false
	}
	q.waiting = append(q.waiting, s)
	q.bytes += s.bytes
	q.signal()
	return Result{}, true
}

func (q *submissionQueue) signal() {
	select {
	case q.arrived <- struct{}{}:
	default:
	}
}

// take removes and returns the oldest submission, or nil if none waits. It answers those that are
// no longer worth a decision.
func (q *submissionQueue) take() *submission {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.waiting) > 0 {
		s := q.waiting[0]
		q.waiting[0] = nil
		q.waiting = q.waiting[1:]
		q.bytes -= s.bytes
		if s.ctx.Err() == nil {
			return s
		}
		countDropped(droppedExpired)
		s.answer <- resultTooLate
	}
	return nil
}

// signalIfWaiting requests another round if submissions are left.
func (q *submissionQueue) signalIfWaiting() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) > 0 {
		q.signal()
	}
}

// withdraw removes a submission. It returns false if the submission was taken or answered before.
func (q *submissionQueue) withdraw(s *submission) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	i := slices.Index(q.waiting, s)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	q.bytes -= s.bytes
	countDropped(droppedExpired)
	return true
}

// close answers all submissions that wait, and those that arrive from now on, with the change of
// owner.
func (q *submissionQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, s := range q.waiting {
		s.answer <- resultOwnerChanging
	}
	q.waiting, q.bytes, q.closed = nil, 0, true
}

func countDropped(reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("cyclamen_submissions_dropped_total{reason=%q}", reason)).Inc()
}

// requestQueued is request for submissions, which wait in a queue of their own. bytes is the size of the job. An answer of
// OutcomeUnavailable by the queue means that decide was not called and never will be.
func (r *Runner) requestQueued(ctx context.Context, bytes int, decide func(now time.Duration, token uint64) (Result, bool)) Result {
	worthwhile, cancel := withAnswerTime(ctx)
	defer cancel()
	s := &submission{ctx: worthwhile, decide: decide, answer: make(chan Result, 1), bytes: bytes}
	if result, ok := r.submissions.push(s); !ok {
		return result
	}
	select {
	case result := <-s.answer:
		return result
	case <-worthwhile.Done():
	}
	if r.submissions.withdraw(s) {
		return resultTooLate
	}
	select {
	case result := <-s.answer:
		return result
	case <-ctx.Done():
	}
	select {
	case result := <-s.answer: // preferred to the end of the caller's time
		return result
	default:
		return resultNoAnswer
	}
}

// withAnswerTime returns a context that ends early enough before ctx for an answer to arrive.
func withAnswerTime(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline.Add(-time.Until(deadline)/answerShare))
}

// handleSubmissions decides the submissions of one round.
func (r *Runner) handleSubmissions() {
	if r.lost || r.ctx.Err() != nil {
		return
	}
	for range maxSubmissionsPerRound {
		s := r.submissions.take()
		if s == nil {
			return
		}
		r.decide(r.now(), s.answer, s.decide)
	}
	r.submissions.signalIfWaiting()
}
