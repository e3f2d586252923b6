// Package shards runs the pools that this process owns: it claims them, makes
// their records durable, and carries out what their executors decide. Which
// process owns which pool comes from the store's group membership; that it is
// still the owner is proved by the epoch of its appends alone.
package shards

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/fleetops"
	"cyclamenwheel/internal/planlease"
	"cyclamenwheel/internal/tenure"
	"cyclamenwheel/platform"
)

const (
	// roundGap lets messages gather before a round of decisions; it is a
	// fraction of what an append takes.
	roundGap = 4 * time.Millisecond
	// tickBusy and tickIdle bound the time between rounds.
	tickBusy = 50 * time.Millisecond
	tickIdle = 300 * time.Millisecond
	// proofEvery is how often an idle owner asks the store whether its epoch
	// is still the newest.
	proofEvery = 1500 * time.Millisecond
	// appendGap is the least time between two appends: each call has its price,
	// and a batch takes no longer than a single record.
	appendGap = 15 * time.Millisecond
	// stuckAfter is how long an append may be unanswered before new jobs are
	// refused, where the store answers nothing else either: they could not be
	// accepted in time. forgetfulAfter is the same where it does: a lost answer is
	// asked for again much sooner than a caller that is sent away comes back.
	stuckAfter     = 500 * time.Millisecond
	forgetfulAfter = 1200 * time.Millisecond
	// handOverLimit bounds what a runner that gives its pool up spends on its last
	// records: some calls of a slow store.
	handOverLimit = 900 * time.Millisecond
	// inboxSize bounds messages that wait for the control goroutine.
	inboxSize = 4096
)

// Endpoints is the part of the platform's client that orders endpoints
// and asks which of them may be ordered.
type Endpoints interface {
	Start(ctx context.Context, to platform.EndpointRef, o platform.StartOrder) (platform.EndpointAnswer, error)
	Stop(ctx context.Context, to platform.EndpointRef, task string, run int, fence int64) (platform.EndpointAnswer, error)
	Renew(ctx context.Context, to platform.EndpointRef, r platform.Renewal) (platform.RenewalResponse, error)
	Advise(ctx context.Context, step string, endpoints []string, timeout time.Duration) (platform.Advice, error)
}

// Runner owns one pool under one epoch.
type Runner struct {
	pool      string
	topic     string
	owner     string
	store     tenure.Store
	endpoints Endpoints
	log       *slog.Logger
	limits    executor.Limits
	now       func() time.Duration
	wall      func() time.Time

	core   *executor.Core
	tenure *tenure.Tenure
	epoch  int64
	inbox  chan func(now time.Duration)
	ctx    context.Context

	waiting   map[uint64]chan Result
	nextToken uint64
	// batches are on their way to the store, the oldest first; flushed is when the
	// newest was sent.
	batches []*batch
	flushed time.Duration
	// appended is where a batch's outcome comes; appendCtx outlasts ctx by what
	// handing over takes.
	appended  chan appendOutcome
	appendCtx context.Context
	// proofs wait for an append that is sent after them.
	proofs []func()
	// done is closed once the runner has ended and answered whom it could.
	done chan struct{}
	over bool
}

func newRunner(m *Manager, pool string) *Runner {
	return &Runner{
		pool: pool, topic: TopicOf(pool), owner: m.opts.Member, store: m.opts.Store, endpoints: m.opts.Endpoints,
		log: m.opts.Logger.With("pool", pool), limits: m.opts.Limits, now: planlease.Boottime, wall: time.Now,
		inbox: make(chan func(time.Duration), inboxSize), appended: make(chan appendOutcome, sideBySide), done: make(chan struct{}), waiting: map[uint64]chan Result{},
	}
}

// topicPrefix begins the topics of pools; the store keeps the newest record of
// each key in topics of this form.
const topicPrefix = "keyed.pool."

// TopicOf is the topic of a pool's records.
func TopicOf(pool string) string { return topicPrefix + pool }

// claim takes the pool over and restores its jobs, unless another member keeps it. The
// runner lives as long as ctx.
func (r *Runner) claim(ctx context.Context, claims tenure.Claims) error {
	r.ctx = ctx
	held, records, err := tenure.Claim(ctx, r.store, r.topic, r.owner, claims, r.log)
	if err != nil {
		return err
	}
	r.tenure, r.epoch = held, held.Epoch
	r.core = executor.New(r.pool, r.epoch, r.limits, r.now())
	r.core.SetWall(r.wall().UnixMilli())
	return r.core.Restore(fleetops.RecordsOf(records), r.now())
}

// honour keeps endpoints clear that are about to leave the pool.
func (r *Runner) honour(endpoints []string) {
	for _, id := range endpoints {
		r.core.Vacate(r.now(), id, false)
	}
}

// run owns the pool until ctx ends or a newer epoch shows.
func (r *Runner) run(ctx context.Context) {
	var stopAppends context.CancelFunc
	r.appendCtx, stopAppends = context.WithCancel(context.WithoutCancel(ctx))
	defer stopAppends()
	defer close(r.done)
	tick := time.NewTimer(0)
	defer tick.Stop()
	last := r.now() - roundGap
	for !r.over && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
		case outcome := <-r.appended:
			r.takeAppend(outcome)
			r.gather(last)
		case msg := <-r.inbox:
			msg(r.now())
			r.gather(last)
		}
		last = r.now()
		r.round(last)
		tick.Reset(r.tick())
	}
	r.handOver()
	r.abandon()
}

// gather lets more messages come in, so that one round answers all of them.
func (r *Runner) gather(last time.Duration) {
	if gap := roundGap - (r.now() - last); gap > 0 {
		time.Sleep(gap)
	}
	r.drainInbox()
}

func (r *Runner) drainInbox() {
	for {
		select {
		case msg := <-r.inbox:
			msg(r.now())
		default:
			return
		}
	}
}

func (r *Runner) tick() time.Duration {
	if (r.core.Dirty() || len(r.proofs) > 0) && len(r.batches) < sideBySide {
		return appendGap
	}
	if r.core.Busy() {
		return tickBusy
	}
	return tickIdle
}

// round decides and sends. Nothing is sent while the last proof of the epoch
// is older than allowed: a successor counts on that silence.
func (r *Runner) round(now time.Duration) {
	r.core.SetWall(r.wall().UnixMilli())
	r.core.Tick(now)
	r.core.Decide(now)
	r.logEvents()
	if r.core.Fenced() {
		r.over = true
		return
	}
	if r.proven() {
		for _, l := range r.core.DueLooks(now) {
			r.look(l)
		}
		for _, o := range r.core.TakeStops() {
			r.send(o, 0)
		}
		r.sendStarts(now)
	}
	if call, due := r.core.DueAdvice(now); due {
		r.advise(call)
	}
	r.flush(now)
}

func (r *Runner) proven() bool { return r.tenure.ProofAge() < r.limits.ProofAge }

// abandon answers everybody who waits. What was on its way to the store may
// have arrived; the rest has not happened.
func (r *Runner) abandon() {
	for _, b := range r.batches {
		for _, reply := range b.ready.Replies {
			r.reply(reply.Token, ownerChangesUnknown)
		}
	}
	for token := range r.waiting {
		r.reply(token, ownerChanges)
	}
	r.log.Info("pool given up", "epoch", r.epoch, "fenced", r.core.Fenced())
}

// post hands a message to the control goroutine.
func (r *Runner) post(msg func(now time.Duration)) bool {
	select {
	case r.inbox <- msg:
		return true
	case <-r.ctx.Done():
		return false
	}
}

func (r *Runner) logEvents() {
	for _, e := range r.core.TakeEvents() {
		metrics.GetOrCreateCounter(fmt.Sprintf("cyclamen_pool_events_total{event=%q}", e.Kind)).Inc()
		countAccount(e)
		attrs := []any{"epoch", r.epoch, "job", e.Job, "task", e.Task, "run", e.Run,
			"instance", e.Endpoint, "started_ms", e.StartedMs, "reason", e.Reason, "age_ms", e.AgeMs}
		if e.Account != "" {
			attrs = append(attrs, "account", e.Account)
		}
		r.log.Info(string(e.Kind), attrs...)
	}
}
