package shards

import (
	"context"
	"time"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/jobs"
)

// Outcome is what a call on a pool came to.
type Outcome uint8

// Outcomes.
const (
	// OutcomeDone: accepted, cancelled or found.
	OutcomeDone Outcome = iota
	// OutcomeRefused: not accepted; it never runs unless handed in again.
	OutcomeRefused
	// OutcomeUnavailable: nobody could take it now; nothing has happened.
	OutcomeUnavailable
	// OutcomeUnknown: it may have been done.
	OutcomeUnknown
	// OutcomeAbsent: there is no such job.
	OutcomeAbsent
)

var outcomeNames = [...]string{"done", "refused", "unavailable", "unknown", "absent"}

func (o Outcome) String() string { return outcomeNames[o] }

// Result is the answer to a call on a pool.
type Result struct {
	Outcome      Outcome           `cbor:"1,keyasint"`
	State        executor.JobState `cbor:"2,keyasint,omitempty"`
	Pending      int               `cbor:"3,keyasint,omitempty"`
	RetryAfterMs int64             `cbor:"4,keyasint,omitempty"`
	Reason       string            `cbor:"5,keyasint,omitempty"`
	// Changing reports that the pool is about to have another owner, who can answer.
	Changing bool `cbor:"6,keyasint,omitempty"`
}

func (r *Runner) reply(token uint64, result Result) {
	if ch, ok := r.waiting[token]; ok {
		ch <- result
		delete(r.waiting, token)
	}
}

// ask runs f on the control goroutine and returns its answer, now or later.
func (r *Runner) ask(ctx context.Context, f func(now time.Duration, token uint64) (Result, bool)) Result {
	ch := make(chan Result, 1)
	ok := r.post(func(now time.Duration) {
		r.nextToken++
		token := r.nextToken
		r.waiting[token] = ch
		if result, done := f(now, token); done {
			r.reply(token, result)
		}
	})
	if !ok {
		return ownerChanges
	}
	select {
	case result := <-ch:
		return result
	case <-r.done:
		return ownerChangesUnknown
	case <-ctx.Done():
		return Result{Outcome: OutcomeUnknown, Reason: "no answer in time"}
	}
}

// submit hands a job to the pool.
func (r *Runner) submit(ctx context.Context, job jobs.Job, under executor.Accepting) Result {
	return r.ask(ctx, func(now time.Duration, token uint64) (Result, bool) {
		if r.stuck(now) {
			return Result{Outcome: OutcomeUnavailable, Reason: "the store does not answer", RetryAfterMs: retryStoreMs}, true
		}
		if ctx.Err() != nil {
			return Result{Outcome: OutcomeUnavailable, Reason: "came too late"}, true
		}
		verdict, refusal := r.core.Submit(now, job, under, token)
		switch verdict {
		case executor.VerdictKnown:
			return Result{Outcome: OutcomeDone}, true
		case executor.VerdictRefused:
			return Result{Outcome: OutcomeRefused, Reason: refusal.Reason, RetryAfterMs: refusal.RetryAfter.Milliseconds()}, true
		}
		return Result{}, false
	})
}

// retryStoreMs is when to come back while the store does not answer: its
// outages last some seconds.
const retryStoreMs = 1000

// stuck reports whether a job that is handed in now could not be stored in time.
func (r *Runner) stuck(now time.Duration) bool {
	if !r.proven() {
		return true
	}
	if len(r.batches) == 0 {
		return false
	}
	unanswered := now - r.batches[0].sent
	return unanswered > forgetfulAfter || unanswered > stuckAfter && r.store.Attempts.SilentFor(now) > stuckAfter
}

func (r *Runner) cancelJob(ctx context.Context, id string, by executor.Caller) Result {
	return r.ask(ctx, func(now time.Duration, token uint64) (Result, bool) {
		if !r.core.Shows(id, by) {
			return Result{Outcome: OutcomeAbsent}, true
		}
		known, durable := r.core.Cancel(now, id, token)
		if !known {
			return Result{Outcome: OutcomeAbsent}, true
		}
		return Result{Outcome: OutcomeDone}, durable
	})
}

func (r *Runner) state(ctx context.Context, id string, by executor.Caller) Result {
	return r.ask(ctx, func(now time.Duration, _ uint64) (Result, bool) {
		if !r.proven() {
			return Result{Outcome: OutcomeUnavailable, Reason: "the store does not answer", RetryAfterMs: retryStoreMs}, true
		}
		state, known := r.core.State(id)
		if !known || !r.core.Shows(id, by) {
			return Result{Outcome: OutcomeAbsent}, true
		}
		return Result{Outcome: OutcomeDone, State: state}, true
	})
}

func (r *Runner) pending(ctx context.Context, queue string) Result {
	return r.ask(ctx, func(time.Duration, uint64) (Result, bool) {
		return Result{Outcome: OutcomeDone, Pending: r.core.Pending(queue)}, true
	})
}

// vacate clears endpoints. That one is clear, or that the pool keeps to a lowered share
// of an account's limit, is said only once an append sent afterwards has succeeded: an
// owner that was displaced unawares would otherwise speak for what its successor runs.
func (r *Runner) vacate(ctx context.Context, in VacateCall) VacateResult {
	done := make(chan VacateResult, 1)
	ok := r.post(func(now time.Duration) {
		result, prove := r.vacateNow(now, in)
		if !prove {
			done <- result
			return
		}
		r.proofs = append(r.proofs, func() {
			result.ProofAgeMs = r.tenure.ProofAge().Milliseconds()
			done <- result
		})
	})
	if !ok {
		return VacateResult{}
	}
	select {
	case result := <-done:
		return result
	case <-ctx.Done():
	case <-r.ctx.Done():
	}
	return VacateResult{}
}

func (r *Runner) vacateNow(now time.Duration, in VacateCall) (result VacateResult, prove bool) {
	result = VacateResult{Owned: true, Left: map[string]int{}, Started: map[string]int64{}}
	r.core.TakeShares(now, in.Shares.Grants)
	result.Accounts, prove = r.core.AccountReports(in.Shares.Grants), in.Shares.Prove
	for _, item := range in.Items {
		if item.Ended {
			r.core.Gone(executor.Incarnation{ID: item.Endpoint, StartedMs: item.StartedMs})
			continue
		}
		if v, known := r.core.Vacate(now, item.Endpoint, item.Hurry); known {
			result.Left[item.Endpoint], result.Started[item.Endpoint] = v.Left, v.StartedMs
			prove = prove || v.Left == 0
		}
	}
	r.core.LeavesSoon(now, in.Due)
	r.core.Lent(now, in.Loans)
	result.Summary = r.core.Summary(now)
	result.ProofAgeMs = r.tenure.ProofAge().Milliseconds()
	return result, prove
}
