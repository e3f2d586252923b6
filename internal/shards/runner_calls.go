package shards

import (
	"context"
	"time"

	"cyclamenwheel/internal/admission"
	"cyclamenwheel/internal/executor"
)

// Outcome is the result class of a call on a pool.
type Outcome uint8

// Outcomes.
const (
	// OutcomeDone: the job was accepted, cancelled or found.
	OutcomeDone Outcome = iota
	// OutcomeRefused: the job was not accepted; it never runs unless it is submitted again.
	OutcomeRefused
	// OutcomeUnavailable: no owner could handle the call now; it had no effect.
	OutcomeUnavailable
	// OutcomeUnknown: the call may have had an effect.
	OutcomeUnknown
	// OutcomeNotFound: there is no such job.
	OutcomeNotFound
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
	// Changing reports that the pool is about to get another owner, which can answer.
	Changing bool `cbor:"6,keyasint,omitempty"`
	// Notice is the admission state of the class of a submission that the owner has decided on; nil
	// without overload control.
	Notice *admission.Notice `cbor:"7,keyasint,omitempty"`
}

// reply answers a waiting call. It does nothing if the call was answered before.
func (r *Runner) reply(token uint64, result Result) {
	if ch, ok := r.waitingCalls[token]; ok {
		ch <- r.withNotice(token, result)
		delete(r.waitingCalls, token)
	}
}

// request runs f on the control goroutine. If f reports that its result is final, request
// returns it; otherwise it waits for reply to be called with the token.
func (r *Runner) request(ctx context.Context, f func(now time.Duration, token uint64) (Result, bool)) Result {
	ch := make(chan Result, 1)
	ok := r.post(func(now time.Duration) { r.decide(now, ch, f) })
	if !ok {
		return resultOwnerChanging
	}
	select {
	case result := <-ch:
		return result
	case <-r.done:
		return resultOwnerChangingUnknown
	case <-ctx.Done():
		return resultNoAnswer
	}
}

// decide runs f for a call whose answer goes to ch.
func (r *Runner) decide(now time.Duration, ch chan Result, f func(now time.Duration, token uint64) (Result, bool)) {
	r.nextToken++
	token := r.nextToken
	r.waitingCalls[token] = ch
	if result, done := f(now, token); done {
		r.reply(token, result)
	}
}

// submit submits a job to the pool and waits until its acceptance is stored.
func (r *Runner) submit(ctx context.Context, in SubmitCall) Result {
	r.arriving.add(in.Job.ID)
	defer r.arriving.remove(in.Job.ID)
	return r.requestQueued(ctx, in.Job.RecordBytes(), func(now time.Duration, token uint64) (Result, bool) {
		if r.storeStalled(now) {
			return Result{Outcome: OutcomeUnavailable, Reason: "the store does not answer", RetryAfterMs: storeRetryAfterMs}, true
		}
		known := r.core.Knows(in.Job.ID)
		if !known && r.ledElsewhere(in.Address) {
			return resultLedElsewhere, true
		}
		verdict, refusal := r.core.Submit(now, in.Job, in.Acceptance, token)
		r.meterSubmission(now, token, in, known, verdict, refusal)
		switch verdict {
		case executor.VerdictDuplicate:
			return Result{Outcome: OutcomeDone}, true
		case executor.VerdictRefused:
			return Result{Outcome: OutcomeRefused, Reason: refusal.Reason, RetryAfterMs: refusal.RetryAfter.Milliseconds()}, true
		}
		return Result{}, false
	})
}

// storeRetryAfterMs is the retry delay given to callers while the store does not answer:
// its outages last some seconds.
const storeRetryAfterMs = 1000

// storeStalled reports whether a job that is submitted now could not be stored in time.
func (r *Runner) storeStalled(now time.Duration) bool {
	if !r.hasFreshProof() {
		return true
	}
	if len(r.batches) == 0 {
		return false
	}
	waited := now - r.batches[0].sentAt
	return waited > appendStalledAfter || waited > storeStalledAfter && r.store.Attempts.SilentFor(now) > storeStalledAfter
}

func (r *Runner) cancelJob(ctx context.Context, in JobCall) Result {
	return r.request(ctx, func(now time.Duration, token uint64) (Result, bool) {
		if !r.core.VisibleTo(in.ID, in.By) {
			return Result{Outcome: OutcomeNotFound}, true
		}
		found, durable := r.core.Cancel(now, in.ID, token)
		if !found {
			return r.notFound(token, in)
		}
		return Result{Outcome: OutcomeDone}, durable
	})
}

func (r *Runner) state(ctx context.Context, in JobCall) Result {
	return r.request(ctx, func(now time.Duration, token uint64) (Result, bool) {
		if !r.hasFreshProof() {
			return Result{Outcome: OutcomeUnavailable, Reason: "the store does not answer", RetryAfterMs: storeRetryAfterMs}, true
		}
		state, found := r.core.State(in.ID)
		switch {
		case !found:
			return r.notFound(token, in)
		case !r.core.VisibleTo(in.ID, in.By):
			return Result{Outcome: OutcomeNotFound}, true
		}
		return Result{Outcome: OutcomeDone, State: state}, true
	})
}

func (r *Runner) pending(ctx context.Context, queue string) Result {
	return r.request(ctx, func(_ time.Duration, token uint64) (Result, bool) {
		result := Result{Outcome: OutcomeDone, Pending: r.core.Pending(queue)}
		if r.tenure.ProofAge() >= knownProofAge {
			return r.replyOnceProven(token, result)
		}
		return result, true
	})
}

// vacate vacates endpoints. It reports an endpoint as empty, or a lowered share of an
// account's limit as observed, only after an append that was sent later has succeeded: an
// owner that was displaced without noticing would otherwise report on tasks that its
// successor runs.
func (r *Runner) vacate(ctx context.Context, in VacateCall) VacateResult {
	done := make(chan VacateResult, 1)
	ok := r.post(func(now time.Duration) {
		result, needsProof := r.startVacate(now, in)
		if !needsProof {
			done <- result
			return
		}
		r.onProven = append(r.onProven, func() {
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

// startVacate applies the call to the pool. needsProof reports whether the result may only
// be returned after an append has proved the epoch.
func (r *Runner) startVacate(now time.Duration, in VacateCall) (result VacateResult, needsProof bool) {
	result = VacateResult{Owned: true, Left: map[string]int{}, Started: map[string]int64{}}
	r.core.ApplyShares(now, in.Shares.Grants)
	result.Accounts, needsProof = r.core.AccountReports(in.Shares.Grants), in.Shares.Prove
	for _, item := range in.Items {
		if item.Ended {
			r.core.IncarnationEnded(executor.Incarnation{ID: item.Endpoint, StartedMs: item.StartedMs})
			continue
		}
		if v, found := r.core.Vacate(now, item.Endpoint, item.StopTasks); found {
			result.Left[item.Endpoint], result.Started[item.Endpoint] = v.Left, v.StartedMs
			needsProof = needsProof || v.Left == 0
		}
	}
	r.core.SetVacatingSoon(now, in.Due)
	r.core.SetIncomingCapacity(now, in.IncomingCapacity)
	result.Summary = r.core.Summary(now)
	result.Summary.EndpointLoads = r.core.EndpointLoads(in.Loads, in.Due)
	result.ProofAgeMs = r.tenure.ProofAge().Milliseconds()
	return result, needsProof
}
