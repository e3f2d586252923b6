package planner

import (
	"context"
	"maps"
	"slices"
	"time"

	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/fold"
	"cyclamenwheel/internal/platform"
	"cyclamenwheel/internal/pools"
)

// submitFacts submits records of the facts and reports whether instances were
// seen or lost.
func (p *Planner) submitFacts(f Facts, list uint64) bool {
	for _, cause := range slices.Sorted(maps.Keys(f.Down)) {
		ids := f.Down[cause]
		slices.Sort(ids)
		p.submit(fleetlog.KindDown, pools.Down{List: list, Instances: ids, Why: cause})
	}
	for chunk := range slices.Chunk(f.Seen, maxRecordItems) {
		p.submit(fleetlog.KindSeen, pools.Seen{List: list, Facts: chunk})
	}
	if len(f.Forget) > 0 {
		p.submit(fleetlog.KindForget, pools.Forget{List: list, Instances: f.Forget})
	}
	for _, l := range f.Leaves {
		p.submit(fleetlog.KindLeave, l)
	}
	return len(f.Seen) > 0 || len(f.Down) > 0
}

func (p *Planner) submitCommits(items []pools.CommitItem, list uint64) {
	for chunk := range slices.Chunk(items, maxRecordItems) {
		p.submit(fleetlog.KindCommit, pools.Commit{List: list, Items: chunk})
	}
}

// submit appends a record under the present epoch unless one of its kind is
// still being appended; the next round then writes what is still missing.
func (p *Planner) submit(kind fleetlog.Kind, body any) {
	epoch := p.contender.Holds(p.node.Now())
	if epoch == 0 || p.submitting[kind] {
		return
	}
	p.submitting[kind] = true
	p.node.SubmitAsync(submitTimeout, kind, epoch, body, func(v fold.Verdict, err error) {
		p.submitting[kind] = false
		p.roundNeeded = true
		if err != nil || !v.Accepted {
			p.log.Info("record not accepted", "kind", kind, "reason", v.Reason, "detail", v.Detail, "error", errorText(err))
		}
	})
}

// requestReboot requests op from the platform. The lease is checked immediately
// before the call; if it is lost after the check, the operation id prevents
// harm, because the platform acts once per id whoever makes the request.
func (p *Planner) requestReboot(op platform.Operation, now time.Duration) {
	if at, ok := p.requestedAt[op.ID]; ok && now-at < requestRetryInterval {
		return
	}
	if p.contender.Holds(p.node.Now()) == 0 {
		return
	}
	p.pruneRequests(now)
	p.requestedAt[op.ID] = now
	p.background(func(ctx context.Context) {
		if err := p.opts.Platform.Reboot(ctx, op); err != nil {
			p.log.Warn("reboot request failed", "instance", op.Instance, "operation", op.ID, "error", err.Error())
		}
	})
}

// pruneRequests bounds the memory used for the times of requests.
func (p *Planner) pruneRequests(now time.Duration) {
	maps.DeleteFunc(p.requestedAt, func(_ string, at time.Duration) bool { return now-at > 10*requestRetryInterval })
}

func (p *Planner) background(f func(context.Context)) {
	p.node.Background(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, platformCallTimeout)
		defer cancel()
		f(ctx)
	})
}
