package shards

import (
	"context"
	"time"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/fleetops"
)

// Batches on their way. Load: the store is slow for some seconds.
// With one batch on its way at a time, what is decided meanwhile waits for that one
// and then for its own, at each step of a job, which takes most of the time that a job
// has beside its work. Sent side by side while the store
// is slow, each batch waits for its own answer only. A store that loses answers gets
// one at a time: each of several would have to be repeated in its turn.
const (
	// sideBySide bounds the batches on their way; the store recognises a repetition
	// of the last five.
	sideBySide = 4
	// slowAfter is how long a batch has been on its way before the next one follows
	// without waiting for it, where the store's answers take longer than that: one
	// that is well answers in a tenth of it.
	slowAfter = 50 * time.Millisecond
)

// batch is records on their way to the store.
type batch struct {
	ready executor.Ready
	sent  time.Duration
	// proofs wait for it.
	proofs []func()
	stored bool
}

// appendOutcome is what became of a batch.
type appendOutcome struct {
	batch *batch
	err   error
}

// mayFlush reports whether another batch may be sent now.
func (r *Runner) mayFlush(now time.Duration) bool {
	if len(r.batches) == 0 {
		return now-r.flushed >= appendGap
	}
	return len(r.batches) < sideBySide && now-r.flushed >= slowAfter && r.store.Attempts.Slow(slowAfter)
}

// flush appends what has changed, or proves the epoch where nothing has for a
// while.
func (r *Runner) flush(now time.Duration) {
	if !r.mayFlush(now) {
		return
	}
	proven := r.tenure.ProofAge() < proofEvery && len(r.proofs) == 0
	if !r.core.Dirty() && len(r.batches) > 0 && len(r.proofs) == 0 {
		return // a batch on its way proves the epoch as well
	}
	ready := r.core.Ready(now)
	if ready.Empty() && proven {
		return
	}
	if len(ready.Records) == 0 && proven && len(r.batches) == 0 {
		r.release(ready)
		return
	}
	b := &batch{ready: ready, sent: now, proofs: r.proofs}
	r.proofs, r.flushed = nil, now
	r.batches = append(r.batches, b)
	records := fleetops.StoreRecords(ready.Records)
	number := r.tenure.Number(records)
	go func() { r.appended <- appendOutcome{b, r.tenure.AppendNumbered(r.appendCtx, number, records)} }()
}

// takeAppend takes in that a batch was stored, and carries out what is stored up to
// the first that is not: the store takes batches in order, but answers may overtake
// each other.
func (r *Runner) takeAppend(outcome appendOutcome) {
	if outcome.err != nil {
		r.log.Warn("pool lost", "epoch", r.epoch, "error", outcome.err.Error())
		r.over = true
		return
	}
	outcome.batch.stored = true
	for len(r.batches) > 0 && r.batches[0].stored {
		b := r.batches[0]
		r.batches = r.batches[1:]
		for _, proof := range b.proofs {
			proof()
		}
		r.release(b.ready)
	}
}

// handOver appends the last record of an owner that gives its pool up in order,
// once the batches on their way are through. No order leaves after that: the
// successor counts on it. Without the record it waits for longer, and that is all.
func (r *Runner) handOver() {
	ctx, cancel := context.WithTimeout(r.appendCtx, handOverLimit)
	defer cancel()
	for len(r.batches) > 0 && !r.over {
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
	err := r.tenure.Append(ctx, fleetops.StoreRecords([]executor.Record{last}))
	if err != nil {
		r.log.Warn("pool not handed over", "epoch", r.epoch, "error", err.Error())
		return
	}
	r.log.Info("pool handed over", "epoch", r.epoch, "bytes", len(last.Value))
}

// release carries out what a durable batch allows.
func (r *Runner) release(ready executor.Ready) {
	r.core.Advance(r.now(), ready)
	for _, reply := range ready.Replies {
		r.reply(reply.Token, Result{Outcome: OutcomeDone})
	}
	if r.proven() && r.ctx.Err() == nil {
		r.sendStarts(r.now())
	}
}

// sendStarts sends the starts that may leave. A process that was suspended between an
// append and its answer finds its proof too old to send any; dropped there, their tasks
// would be placed and never begin, since an order that has not left is never repeated.
func (r *Runner) sendStarts(now time.Duration) {
	for {
		o, lease, ok := r.core.NextStart(now)
		if !ok {
			return
		}
		r.send(o, lease)
	}
}
