// Package ingress answers callers: it forwards a request to the owner of its queue's pool
// and turns the result into an answer that says whether the request has taken effect. Its
// input is decoded requests with their queue and account. The listener for callers'
// requests (platform) calls it; internal/host sets it up.
package ingress

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenwheel/internal/admission"
	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/jobs"
	"cyclamenwheel/internal/published"
	"cyclamenwheel/internal/routing"
	"cyclamenwheel/internal/shards"
	"cyclamenwheel/platform"
)

// Ingress serves the callers' requests that arrive at one process.
type Ingress struct {
	*published.Keeper
	calls Calls
	gate  *admission.Gate
	log   *slog.Logger
}

// New returns an ingress that serves the configuration in force. Submissions pass the gate; without one,
// all of them are sent to the owners of their pools.
func New(configs *published.Keeper, calls Calls, gate *admission.Gate, log *slog.Logger) *Ingress {
	return &Ingress{Keeper: configs, calls: calls, gate: gate, log: log}
}

// Submit submits a job.
func (i *Ingress) Submit(ctx context.Context, q *routing.Queue, account string, job jobs.Job) platform.Answer {
	if result, decided := i.acceptedEarlier(ctx, q, account, job.ID); decided {
		return answerOf(result)
	}
	in := shards.SubmitCall{Pool: q.Service, Job: job, Address: q.Address(), Acceptance: executor.Accepting{Queue: q.Name, Terms: q.Terms, Account: account}}
	if i.gate == nil {
		return answerOf(i.calls.Submit(ctx, in))
	}
	return i.submitThroughGate(ctx, in)
}

// State returns a job's state.
func (i *Ingress) State(ctx context.Context, q *routing.Queue, account, id string) platform.Answer {
	result := i.callOnJob(ctx, q, account, id, i.calls.State)
	a := answerOf(result)
	if result.Outcome == shards.OutcomeDone {
		a.State = result.State.String()
	}
	return a
}

// Cancel cancels a job.
func (i *Ingress) Cancel(ctx context.Context, q *routing.Queue, account, id string) platform.Answer {
	return answerOf(i.callOnJob(ctx, q, account, id, i.calls.Cancel))
}

// Pending returns how many of a queue's jobs have not started.
func (i *Ingress) Pending(ctx context.Context, q *routing.Queue) platform.Answer {
	result := i.calls.Pending(ctx, shards.QueueCall{Pool: q.Service, Queue: q.Name})
	for _, e := range i.Earlier(q) {
		if result.Outcome != shards.OutcomeDone {
			break
		}
		sum := result.Pending
		result = i.calls.Pending(ctx, shards.QueueCall{Pool: e.Service, Queue: e.Queue})
		result.Pending += sum
	}
	a := answerOf(result)
	if result.Outcome == shards.OutcomeDone {
		a.Pending = &result.Pending
	}
	return a
}

// answerOf distinguishes calls that certainly had no effect, which callers may repeat
// freely, from those that may have had one, whose outcome callers must query.
func answerOf(r shards.Result) platform.Answer {
	retry := time.Duration(r.RetryAfterMs) * time.Millisecond
	switch r.Outcome {
	case shards.OutcomeDone:
		return platform.Answer{Status: http.StatusOK}
	case shards.OutcomeRefused:
		return platform.Answer{Status: http.StatusTooManyRequests, RetryAfter: retry, Problem: "not-accepted", Detail: r.Reason}
	case shards.OutcomeNotFound:
		return platform.Answer{Status: http.StatusGone, Problem: "no-such-job"}
	case shards.OutcomeUnavailable:
		return platform.Answer{Status: http.StatusServiceUnavailable, RetryAfter: max(retry, time.Second), Problem: "unavailable", Detail: r.Reason}
	}
	return platform.Answer{Status: http.StatusGatewayTimeout, Problem: "outcome-unknown", Detail: r.Reason}
}

// Answered logs and counts an answered request.
func (i *Ingress) Answered(r platform.Request) {
	status := statusLabel(r.Answer.Status)
	metrics.GetOrCreateCounter(`cyclamen_requests_total{method="` + methodLabel(r.Method) + `",status="` + status + `"}`).Inc()
	metrics.GetOrCreateHistogram(`cyclamen_request_duration_seconds{method="` + methodLabel(r.Method) + `"}`).Update(r.Took.Seconds())
	if r.Method == http.MethodGet && r.Answer.Status == http.StatusOK {
		return // callers poll; changes of a job's state are logged separately
	}
	i.log.Info("request answered", "job", r.Job, "queue", r.Queue, "account", r.Account, "method", r.Method, "config_version", r.Version,
		"status", r.Answer.Status, "reason", r.Answer.Problem, "detail", r.Answer.Detail,
		"retry_after_ms", r.Answer.RetryAfter.Milliseconds(), "duration_ms", r.Took.Milliseconds())
}

// methodLabel bounds the label's values: callers may send any string as method.
func methodLabel(method string) string {
	switch method {
	case http.MethodGet, http.MethodPost, http.MethodDelete:
		return method
	}
	return "other"
}

func statusLabel(status int) string {
	switch status {
	case http.StatusOK, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusGatewayTimeout,
		http.StatusNotFound, http.StatusGone, http.StatusUnauthorized, http.StatusBadRequest:
		return http.StatusText(status)
	}
	return "other"
}
