package shards

import (
	"context"
	"time"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/platform"
)

// appendOutcome is what became of a batch. proofs waited for it.
type appendOutcome struct {
	err    error
	proofs []func()
}

// flush appends what has changed, or proves the epoch where nothing has for a
// while.
func (r *Runner) flush(now time.Duration) {
	if r.appending != nil || now-r.stuckSince < appendGap {
		return
	}
	ready := r.core.Ready()
	proven := r.tenure.ProofAge() < proofEvery && len(r.proofs) == 0
	if ready.Empty() && proven {
		return
	}
	if len(ready.Records) == 0 && proven {
		r.release(ready)
		return
	}
	r.appending, r.stuckSince = &ready, now
	proofs := r.proofs
	r.proofs = nil
	go r.append(ready, proofs)
}

func (r *Runner) append(ready executor.Ready, proofs []func()) {
	records := make([]platform.Record, len(ready.Records))
	for i, rec := range ready.Records {
		records[i] = platform.Record{Key: rec.Key, Value: rec.Value}
	}
	r.appended <- appendOutcome{r.tenure.Append(r.appendCtx, records), proofs}
}

func (r *Runner) takeAppend(outcome appendOutcome) {
	if outcome.err != nil {
		r.log.Warn("pool lost", "epoch", r.epoch, "error", outcome.err.Error())
		r.over = true
		return
	}
	for _, proof := range outcome.proofs {
		proof()
	}
	ready := *r.appending
	r.appending = nil
	r.release(ready)
}

// handOver appends the last record of an owner that gives its pool up in order,
// once the batch on its way is through. No order leaves after that: the successor
// counts on it. Without the record it waits for longer, and that is all.
func (r *Runner) handOver() {
	ctx, cancel := context.WithTimeout(r.appendCtx, handOverLimit)
	defer cancel()
	if r.appending != nil && !r.over {
		select {
		case outcome := <-r.appended:
			r.takeAppend(outcome)
		case <-ctx.Done():
			return
		}
	}
	if r.over || !r.proven() {
		return
	}
	last := r.core.HandOver(r.now())
	err := r.tenure.Append(ctx, []platform.Record{{Key: last.Key, Value: last.Value}})
	if err != nil {
		r.log.Warn("pool not handed over", "epoch", r.epoch, "error", err.Error())
		return
	}
	r.log.Info("pool handed over", "epoch", r.epoch, "bytes", len(last.Value))
}

// release carries out what a durable batch allows.
func (r *Runner) release(ready executor.Ready) {
	r.core.Advance(ready)
	for _, reply := range ready.Replies {
		r.reply(reply.Token, Result{Outcome: OutcomeDone})
	}
	r.unsent = append(r.unsent, ready.Orders...)
	if r.proven() && r.ctx.Err() == nil {
		r.sendUnsent(r.now())
	}
}

// sendUnsent sends the orders whose records are durable. A process that was
// suspended between an append and its answer finds its proof too old to send
// them; dropped there, their tasks would be placed and never begin, since an
// order that has not left is never repeated.
func (r *Runner) sendUnsent(now time.Duration) {
	orders := r.unsent
	r.unsent = nil
	for _, o := range orders {
		r.send(now, o)
	}
}
