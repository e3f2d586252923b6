// Package ingress answers callers: it finds the queue's pool, hands the request
// to the pool's owner, and turns what comes back into an answer that says
// whether the request has taken effect.
package ingress

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/jobs"
	"cyclamenwheel/internal/routing"
	"cyclamenwheel/internal/shards"
	"cyclamenwheel/platform"
)

// Ingress serves callers' requests of one process.
type Ingress struct {
	calls  *shards.Calls
	log    *slog.Logger
	config atomic.Pointer[routing.Config]
}

// New returns an ingress without a configuration.
func New(calls *shards.Calls, log *slog.Logger) *Ingress {
	return &Ingress{calls: calls, log: log}
}

// SetConfig puts a configuration in force unless a newer one is: the store may
// answer a late read with an old state.
func (i *Ingress) SetConfig(c *routing.Config) bool {
	for {
		have := i.config.Load()
		if have != nil && have.Version >= c.Version {
			return false
		}
		if i.config.CompareAndSwap(have, c) {
			return true
		}
	}
}

// Config is the configuration in force, nil before the first.
func (i *Ingress) Config() *routing.Config { return i.config.Load() }

// Submit hands a job in.
func (i *Ingress) Submit(ctx context.Context, q *routing.Queue, job jobs.Job) platform.Answer {
	result := i.calls.Submit(ctx, shards.SubmitCall{Pool: q.Service, Job: job,
		Under: executor.Accepting{Queue: q.Name, Terms: q.Terms}})
	return answerOf(result)
}

// State answers with a job's state.
func (i *Ingress) State(ctx context.Context, q *routing.Queue, id string) platform.Answer {
	result := i.calls.State(ctx, shards.JobCall{Pool: q.Service, ID: id})
	a := answerOf(result)
	if result.Outcome == shards.OutcomeDone {
		a.State = result.State.String()
	}
	return a
}

// Cancel cancels a job.
func (i *Ingress) Cancel(ctx context.Context, q *routing.Queue, id string) platform.Answer {
	return answerOf(i.calls.Cancel(ctx, shards.JobCall{Pool: q.Service, ID: id}))
}

// Pending answers with the number of a queue's jobs that have not begun.
func (i *Ingress) Pending(ctx context.Context, q *routing.Queue) platform.Answer {
	result := i.calls.Pending(ctx, shards.QueueCall{Pool: q.Service, Queue: q.Name})
	a := answerOf(result)
	if result.Outcome == shards.OutcomeDone {
		a.Pending = &result.Pending
	}
	return a
}

// answerOf keeps apart what has certainly not happened, which callers may
// repeat as they like, and what may have, which they must ask about.
func answerOf(r shards.Result) platform.Answer {
	retry := time.Duration(r.RetryAfterMs) * time.Millisecond
	switch r.Outcome {
	case shards.OutcomeDone:
		return platform.Answer{Status: http.StatusOK}
	case shards.OutcomeRefused:
		return platform.Answer{Status: http.StatusTooManyRequests, RetryAfter: retry, Problem: "not-accepted", Detail: r.Reason}
	case shards.OutcomeAbsent:
		return platform.Answer{Status: http.StatusGone, Problem: "no-such-job"}
	case shards.OutcomeUnavailable:
		return platform.Answer{Status: http.StatusServiceUnavailable, RetryAfter: max(retry, time.Second), Problem: "unavailable", Detail: r.Reason}
	}
	return platform.Answer{Status: http.StatusGatewayTimeout, Problem: "outcome-unknown", Detail: r.Reason}
}

// Answered logs and counts a request's end.
func (i *Ingress) Answered(r platform.Request) {
	status := statusClass(r.Answer.Status)
	metrics.GetOrCreateCounter(`cyclamen_requests_total{method="` + methodLabel(r.Method) + `",status="` + status + `"}`).Inc()
	metrics.GetOrCreateHistogram(`cyclamen_request_duration_seconds{method="` + methodLabel(r.Method) + `"}`).Update(r.Took.Seconds())
	if r.Method == http.MethodGet && r.Answer.Status == http.StatusOK {
		return // callers poll; the state they were shown has its own line
	}
	i.log.Info("request answered", "job", r.Job, "queue", r.Queue, "method", r.Method, "config_version", r.Version,
		"status", r.Answer.Status, "reason", r.Answer.Problem, "detail", r.Answer.Detail,
		"retry_after_ms", r.Answer.RetryAfter.Milliseconds(), "duration_ms", r.Took.Milliseconds())
}

// methodLabel bounds the label's values: callers may send any word as method.
func methodLabel(method string) string {
	switch method {
	case http.MethodGet, http.MethodPost, http.MethodDelete:
		return method
	}
	return "other"
}

func statusClass(status int) string {
	switch status {
	case http.StatusOK, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusGatewayTimeout,
		http.StatusNotFound, http.StatusGone, http.StatusBadRequest:
		return http.StatusText(status)
	}
	return "other"
}
