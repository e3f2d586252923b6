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

// writeFacts reports whether anything about workers was new.
func (p *Planner) writeFacts(f Facts, list uint64) bool {
	for _, cause := range slices.Sorted(maps.Keys(f.Down)) {
		ids := f.Down[cause]
		slices.Sort(ids)
		p.submit(fleetlog.KindDown, pools.Down{List: list, Instances: ids, Why: cause})
	}
	for chunk := range slices.Chunk(f.Seen, batchMax) {
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

func (p *Planner) commit(items []pools.CommitItem, list uint64) {
	for chunk := range slices.Chunk(items, batchMax) {
		p.submit(fleetlog.KindCommit, pools.Commit{List: list, Items: chunk})
	}
}

// submit writes a record under the present epoch unless one of its kind is on
// its way: the next round writes what is still missing then.
func (p *Planner) submit(kind fleetlog.Kind, body any) {
	epoch := p.contender.Holds(p.node.Now())
	if epoch == 0 || p.busy[kind] {
		return
	}
	p.busy[kind] = true
	p.node.SubmitAsync(submitLimit, kind, epoch, body, func(v fold.Verdict, err error) {
		p.busy[kind] = false
		p.dirty = true
		if err != nil || !v.Accepted {
			p.log.Info("record not in force", "kind", kind, "reason", v.Reason, "detail", v.Detail, "error", text(err))
		}
	})
}

// askReboot asks the platform for op. The lease is checked at the last moment;
// what window remains between the check and the act is closed by the operation
// id, under which the platform acts once whoever asks.
func (p *Planner) askReboot(op platform.Operation, now time.Duration) {
	if at, ok := p.asked[op.ID]; ok && now-at < askAgainAfter {
		return
	}
	if p.contender.Holds(p.node.Now()) == 0 {
		return
	}
	p.forgetAsked(now)
	p.asked[op.ID] = now
	p.background(func(ctx context.Context) {
		if err := p.opts.Platform.Reboot(ctx, op); err != nil {
			p.log.Warn("reboot not taken", "instance", op.Instance, "operation", op.ID, "error", err.Error())
		}
	})
}

// forgetAsked bounds what is remembered of operations asked for.
func (p *Planner) forgetAsked(now time.Duration) {
	maps.DeleteFunc(p.asked, func(_ string, at time.Duration) bool { return now-at > 10*askAgainAfter })
}

func (p *Planner) background(f func(context.Context)) {
	p.node.Background(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, askLimit)
		defer cancel()
		f(ctx)
	})
}
