package ingress

import (
	"context"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenwheel/internal/admission"
	"cyclamenwheel/internal/planlease"
	"cyclamenwheel/internal/shards"
	"cyclamenwheel/platform"
)

// Calls are the calls on pools that requests lead to.
type Calls interface {
	Submit(ctx context.Context, in shards.SubmitCall) shards.Result
	State(ctx context.Context, in shards.JobCall) shards.Result
	Cancel(ctx context.Context, in shards.JobCall) shards.Result
	Find(ctx context.Context, in shards.FindCall) shards.Result
	Pending(ctx context.Context, in shards.QueueCall) shards.Result
	Known(ctx context.Context, q shards.KnownQuestion) shards.KnownAnswer
}

// submitThroughGate submits a job unless the gate refuses it, in which case nothing is sent.
func (i *Ingress) submitThroughGate(ctx context.Context, in shards.SubmitCall) platform.Answer {
	key := admission.GateKey{Pool: in.Pool, Priority: in.Acceptance.Terms.Priority, Account: in.Acceptance.Account}
	if decision, ok := i.gate.Admit(planlease.Boottime(), key); !ok {
		notice, refuse := i.confirmRefusal(ctx, key, in.Job.ID, decision)
		if refuse {
			return i.refuseAtGate(key, in.Job.ID, decision, notice)
		}
		i.gate.AddRefused(key, -1)
	}
	in.Refused = i.gate.TakeRefused(key)
	result := i.calls.Submit(ctx, in)
	if result.Notice == nil {
		i.gate.AddRefused(key, in.Refused) // the owner has not counted them
	} else {
		i.gate.Observe(planlease.Boottime(), key, *result.Notice)
	}
	return answerOf(result)
}

// confirmRefusal asks the owner whether a submission may be refused: its job is not known there, so that
// the caller may be told that it was not accepted, and the class is still refused some. It returns the
// owner's newest notice. A submission on which the owner does not answer is sent.
func (i *Ingress) confirmRefusal(ctx context.Context, key admission.GateKey, id string, decision admission.GateDecision) (admission.Notice, bool) {
	refused := i.gate.TakeRefused(key)
	answer := i.calls.Known(ctx, shards.KnownQuestion{Pool: key.Pool, ID: id,
		Class: admission.MeterClass{Priority: key.Priority, Account: key.Account}, Refused: refused})
	if !answer.Answered {
		i.gate.AddRefused(key, refused)
		return decision.Notice, false
	}
	i.gate.Observe(planlease.Boottime(), key, answer.Notice)
	return answer.Notice, !answer.Known && answer.Notice.Admit < 1
}

// refuseAtGate logs and counts a refusal and returns the answer.
func (i *Ingress) refuseAtGate(key admission.GateKey, id string, decision admission.GateDecision, confirmed admission.Notice) platform.Answer {
	retry := admission.GateRetryAfter(confirmed)
	metrics.GetOrCreateCounter(`cyclamen_gate_refusals_total{reason="` + string(decision.Reason) + `"}`).Inc()
	i.log.Info("submission refused at the gate", "job", id, "pool", key.Pool, "priority", key.Priority, "account", key.Account,
		"reason", string(decision.Reason), "admit", decision.Notice.Admit, "wait_ms", confirmed.WaitMs,
		"notice_age_ms", decision.Age.Milliseconds(), "epoch", decision.Notice.Epoch, "retry_after_ms", retry.Milliseconds())
	return platform.Answer{Status: http.StatusTooManyRequests, RetryAfter: retry, Problem: "not-accepted", Detail: "gate"}
}
