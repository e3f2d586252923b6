package shards

import (
	"context"
	"time"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/fleetops"
)

// Several batches may be in flight. Load: the store is slow for some seconds.
// With a single batch in flight, decisions made meanwhile wait for that batch and then for
// their own, at each step of a job; that is most of a job's overhead. With several batches
// in flight while the store is slow, each waits for its own answer only. When the store
// loses answers, only one batch is in flight: each of several would have to be repeated in
// turn.
const (
	// maxInFlightBatches bounds the batches in flight; the store recognises a repetition of
	// the last five.
	maxInFlightBatches = 4
	// slowStoreAfter is how long a batch has been in flight before the next one is sent
	// without waiting for it, provided that the store's answers take longer than that. A
	// healthy store answers in a tenth of it.
	slowStoreAfter = 50 * time.Millisecond
)

// batch is a set of records that is being appended to the store.
type batch struct {
	ready  executor.Ready
	sentAt time.Duration
	// onProven are called once the batch is stored.
	onProven []func()
	stored   bool
}

// appendOutcome is the result of appending a batch.
type appendOutcome struct {
	batch *batch
	err   error
}

// canFlush reports whether another batch may be sent now.
func (r *Runner) canFlush(now time.Duration) bool {
	if len(r.batches) == 0 {
		return now-r.lastFlush >= appendInterval
	}
	return len(r.batches) < maxInFlightBatches && now-r.lastFlush >= slowStoreAfter && r.store.Attempts.Slow(slowStoreAfter)
}

// flush appends the changed records. Without changes it appends an empty batch once the
// last proof of the epoch is older than proofInterval.
func (r *Runner) flush(now time.Duration) {
	if !r.canFlush(now) {
		return
	}
	proven := r.tenure.ProofAge() < proofInterval && len(r.onProven) == 0
	if !r.core.Dirty() && len(r.batches) > 0 && len(r.onProven) == 0 {
		return // a batch in flight proves the epoch as well
	}
	ready := r.core.Ready(now)
	if ready.Empty() && proven {
		return
	}
	if len(ready.Records) == 0 && proven && len(r.batches) == 0 {
		r.applyDurable(ready)
		return
	}
	b := &batch{ready: ready, sentAt: now, onProven: r.onProven}
	r.onProven, r.lastFlush = nil, now
	r.batches = append(r.batches, b)
	numbered := r.tenure.Number(fleetops.StoreRecords(ready.Records))
	go func() { r.appendOutcomes <- appendOutcome{b, r.tenure.AppendNumbered(r.appendCtx, numbered)} }()
}

// handleAppend marks a batch as stored and applies all batches up to the first one that is
// not stored: the store takes batches in order, but their answers may arrive out of order.
func (r *Runner) handleAppend(outcome appendOutcome) {
	if outcome.err != nil {
		r.log.Warn("pool lost", "epoch", r.epoch, "error", outcome.err.Error())
		r.lost = true
		return
	}
	outcome.batch.stored = true
	for len(r.batches) > 0 && r.batches[0].stored {
		b := r.batches[0]
		r.batches = r.batches[1:]
		for _, callback := range b.onProven {
			callback()
		}
		r.applyDurable(b.ready)
	}
}

// appendHandover appends the last record of an owner that hands its pool over as it shuts down, once
// the batches in flight are stored. The successor relies on no order being sent after that. Without
// this record the successor only waits longer.
func (r *Runner) appendHandover() {
	ctx, cancel := context.WithTimeout(r.appendCtx, handoverTimeout)
	defer cancel()
	for len(r.batches) > 0 && !r.lost {
		select {
		case outcome := <-r.appendOutcomes:
			r.handleAppend(outcome)
		case <-ctx.Done():
			return
		}
	}
	if r.lost || !r.hasFreshProof() {
		return
	}
	last := r.core.HandOver(r.now())
	err := r.tenure.Append(ctx, fleetops.StoreRecords([]executor.Record{last}))
	if err != nil {
		r.log.Warn("handing over the pool failed", "epoch", r.epoch, "error", err.Error())
		return
	}
	r.log.Info("pool handed over", "epoch", r.epoch, "bytes", len(last.Value))
}

// applyDurable carries out the effects of a stored batch.
func (r *Runner) applyDurable(ready executor.Ready) {
	r.core.Advance(r.now(), ready)
	for _, reply := range ready.Replies {
		r.reply(reply.Token, Result{Outcome: OutcomeDone})
	}
	if r.hasFreshProof() && r.ctx.Err() == nil {
		r.sendStarts(r.now())
	}
}

// sendStarts sends the starts that may be sent now. Starts stay queued while the proof of
// the epoch is too old, as after the process was suspended between an append and its answer:
// if they were dropped, their tasks would be placed but never start, because an order that
// was never sent is never repeated.
func (r *Runner) sendStarts(now time.Duration) {
	for {
		o, lease, ok := r.core.NextStart(now)
		if !ok {
			return
		}
		r.send(o, lease)
	}
}
