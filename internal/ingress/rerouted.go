package ingress

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/published"
	"cyclamenwheel/internal/routing"
	"cyclamenwheel/internal/shards"
)

// Queues that an earlier version of the configuration led to another pool. A job stays in the pool that
// accepted it, and only that pool knows its id. Load: a version leads a queue elsewhere while its callers
// repeat submissions and ask about their jobs. Only such queues cost more calls: a submission one for each
// earlier pool, for repetitionWindow after the version; other requests only if the present pool does not
// know the job.

// repetitionWindow is how long after its acceptance a submission may arrive again.
const repetitionWindow = 2 * time.Minute

// acceptedEarlier asks the pools to which the queue has led lately whether one of them has accepted a job.
// If decided, the result answers the submission, which must not be sent to the present pool: a pool that can't
// be asked may have the job.
func (i *Ingress) acceptedEarlier(ctx context.Context, q *routing.Queue, account, id string) (result shards.Result, decided bool) {
	for _, e := range i.Earlier(q) {
		if e.Age() > repetitionWindow {
			continue
		}
		call := shards.FindCall{JobCall: earlierJobCall(e, account, id), Version: i.Config().Version}
		switch result = i.calls.Find(ctx, call); result.Outcome {
		case shards.OutcomeNotFound:
			continue
		case shards.OutcomeUnavailable:
			result.Outcome = shards.OutcomeUnknown
		}
		countEarlierPool("submit", result.Outcome)
		return result, true
	}
	return shards.Result{}, false
}

// callOnJob makes a call on a job in the queue's pool, and if that does not know it, in the pools to which
// the queue has led before.
func (i *Ingress) callOnJob(ctx context.Context, q *routing.Queue, account, id string, call func(context.Context, shards.JobCall) shards.Result) shards.Result {
	result := call(ctx, shards.JobCall{Pool: q.Service, ID: id, By: executor.Caller{Queue: q.Name, Account: account}, Address: q.Address()})
	if result.Outcome != shards.OutcomeNotFound {
		return result
	}
	for _, e := range i.Earlier(q) {
		if result = call(ctx, earlierJobCall(e, account, id)); result.Outcome != shards.OutcomeNotFound {
			countEarlierPool("job", result.Outcome)
			break
		}
	}
	return result
}

func earlierJobCall(e published.EarlierRoute, account, id string) shards.JobCall {
	return shards.JobCall{Pool: e.Service, ID: id, By: executor.Caller{Queue: e.Queue, Account: account}}
}

// countEarlierPool counts requests that the pool of an earlier version has answered.
func countEarlierPool(request string, outcome shards.Outcome) {
	metrics.GetOrCreateCounter(`cyclamen_earlier_pool_answers_total{request="` + request + `",outcome="` + outcome.String() + `"}`).Inc()
}
