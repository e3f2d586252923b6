package shards

import (
	"context"
	"sync"
	"time"

	"cyclamenwheel/internal/admission"
	"cyclamenwheel/internal/executor"
)

// meterSubmission counts what was decided on a submission and has its reply carry a notice. A job that
// was known before, or that could not be accepted at any load, counts neither as accepted nor as
// refused. Without overload control it does nothing.
func (r *Runner) meterSubmission(now time.Duration, token uint64, in SubmitCall, known bool, verdict executor.Verdict, refusal executor.Refusal) {
	if r.meter == nil {
		return
	}
	class := admission.MeterClass{Priority: in.Acceptance.Terms.Priority, Account: in.Acceptance.Account}
	r.countRefusedAtNode(now, class, in.Refused)
	switch {
	case known:
	case verdict == executor.VerdictAccepted:
		r.meter.ObserveAccepted(now, class)
	case refusal.Reason == executor.RefusedBacklog || refusal.Reason == executor.RefusedAccountBacklog:
		r.meter.ObserveRefused(now, class, refusal.Wait, refusal.RetryAfter)
	}
	r.metered[token] = class
}

// countRefusedAtNode counts submissions that a node refused without sending them.
func (r *Runner) countRefusedAtNode(now time.Duration, class admission.MeterClass, n int) {
	r.meter.ObserveRefusedAtNode(now, class, n)
	r.core.CountRefusedAtNode(now, class.Priority, class.Account, n)
}

// withNotice adds the notice to the result of a metered submission.
func (r *Runner) withNotice(token uint64, result Result) Result {
	class, metered := r.metered[token]
	if !metered {
		return result
	}
	delete(r.metered, token)
	notice := r.meter.Notice(r.now(), class)
	result.Notice = &notice
	return result
}

// known answers which jobs of a call the pool has accepted or is accepting, unless a successor may have
// accepted some.
func (r *Runner) known(ctx context.Context, in KnownCall) KnownResult {
	answer := make(chan KnownResult, 1)
	if !r.post(func(now time.Duration) { answer <- r.answerKnown(now, in) }) {
		return KnownResult{}
	}
	select {
	case result := <-answer:
		return result
	case <-r.done:
	case <-ctx.Done():
	}
	return KnownResult{}
}

func (r *Runner) answerKnown(now time.Duration, in KnownCall) KnownResult {
	if r.meter == nil || r.tenure.ProofAge() >= knownProofAge || max(len(in.IDs), len(in.Classes)) > maxKnownIDs {
		return KnownResult{}
	}
	out := KnownResult{Answered: true}
	for _, id := range in.IDs {
		if r.core.Knows(id) || r.arriving.contains(id) {
			out.Known = append(out.Known, id)
		}
	}
	for _, report := range in.Classes {
		r.countRefusedAtNode(now, report.class(), report.Refused)
		out.Notices = append(out.Notices, r.meter.Notice(now, report.class()))
	}
	return out
}

func (m *Manager) localKnown(ctx context.Context, in KnownCall) KnownResult {
	r := m.localRunner(in.Pool)
	if r == nil {
		return KnownResult{}
	}
	return r.known(ctx, in)
}

// arrivals counts the submissions of each job that a runner has received and not answered. They may be
// accepted however they are queued. Their number is bounded by that of the calls in progress.
type arrivals struct {
	mu   sync.Mutex
	jobs map[string]int
}

func (a *arrivals) add(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.jobs == nil {
		a.jobs = map[string]int{}
	}
	a.jobs[id]++
}

func (a *arrivals) remove(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.jobs[id]--; a.jobs[id] <= 0 {
		delete(a.jobs, id)
	}
}

func (a *arrivals) contains(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.jobs[id] > 0
}
