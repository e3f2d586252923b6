package shards

import (
	"context"
	"time"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/routing"
)

var (
	// resultLedElsewhere answers a call of a node whose configuration is older than this one's: the
	// pool that its caller is led to now may have the job, or accept it.
	resultLedElsewhere = Result{Outcome: OutcomeUnavailable, Reason: "the queue leads to another pool", RetryAfterMs: ownerRetryAfterMs}
	// resultOlderConfig answers a FindCall of a node whose configuration is newer than this one's: a
	// submission by the older one could still be accepted here.
	resultOlderConfig = Result{Outcome: OutcomeUnavailable, Reason: "the owner has an older configuration", RetryAfterMs: ownerRetryAfterMs, Changing: true}
	// resultArriving answers a FindCall on a job that is being submitted here.
	resultArriving = Result{Outcome: OutcomeUnknown, Reason: "the job is being submitted"}
)

// notFound answers a call on a job that this owner does not know.
func (r *Runner) notFound(token uint64, in JobCall) (Result, bool) {
	if r.ledElsewhere(in.Address) {
		return resultLedElsewhere, true
	}
	return r.replyOnceProven(token, Result{Outcome: OutcomeNotFound})
}

// replyOnceProven answers a call once an append that is sent from now on has succeeded. An owner that was
// displaced without noticing, as it was suspended, would otherwise deny jobs that its successor has
// accepted.
func (r *Runner) replyOnceProven(token uint64, result Result) (Result, bool) {
	r.onProven = append(r.onProven, func() { r.reply(token, result) })
	return Result{}, false
}

// routes returns the configuration in force, nil before the first.
func (r *Runner) routes() *routing.Config {
	if r.config == nil {
		return nil
	}
	return r.config()
}

// ledElsewhere reports whether the configuration in force leads callers of an address to another pool.
func (r *Runner) ledElsewhere(a routing.Address) bool {
	if a == (routing.Address{}) {
		return false
	}
	c := r.routes()
	if c == nil {
		return false
	}
	service, known := c.ServiceAt(a)
	return known && service != r.pool
}

// find reports whether the pool has accepted a job. That it has not is told with a proof, and by a
// configuration by which none is accepted here later.
func (r *Runner) find(ctx context.Context, in FindCall) Result {
	return r.request(ctx, func(_ time.Duration, token uint64) (Result, bool) {
		if c := r.routes(); c == nil || c.Version < in.Version {
			return resultOlderConfig, true
		}
		result := Result{Outcome: OutcomeDone}
		switch {
		case r.core.Knows(in.ID) && !r.core.VisibleTo(in.ID, in.By):
			result = Result{Outcome: OutcomeRefused, Reason: executor.RefusedIDTaken}
		case r.core.Knows(in.ID):
		case r.arriving.contains(in.ID):
			return resultArriving, true
		default:
			result.Outcome = OutcomeNotFound
		}
		return r.replyOnceProven(token, result)
	})
}
