// Package shards decides which pools this process owns, claims them, stores their records,
// and carries out what their executors decide. Which process should own a pool follows from
// the members of a group in the store and from the duties' last claims; that a process still
// owns a pool is proved only by appends under its epoch. The host runs the Manager, the
// ingress calls pools through Calls, and fleetops has endpoints vacated through it.
//
// Terms:
//   - A duty is the ownership of one pool, or the management of instances (the fleet duty, package
//     fleetops).
//   - The owner of a duty is the member that it is assigned to; its holder is the member that
//     claimed it last. The two differ until the owner has claimed it.
//   - Proven means that an append under the epoch has succeeded, so no newer epoch had been claimed
//     when the append was sent.
package shards

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenwheel/internal/admission"
	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/fleetops"
	"cyclamenwheel/internal/planlease"
	"cyclamenwheel/internal/routing"
	"cyclamenwheel/internal/tenure"
	"cyclamenwheel/platform"
)

const (
	// gatherInterval is the least time between rounds that messages trigger, so that one
	// round handles several; it is a fraction of the duration of an append.
	gatherInterval = 4 * time.Millisecond
	// roundShare bounds the part of an owner's time that its rounds take under overload control, as
	// the inverse of that part: with thousands of open jobs a round takes milliseconds, and starts and
	// renewals need the rest. maxGatherInterval keeps the delay of decisions below that of an append.
	roundShare        = 4
	maxGatherInterval = 24 * time.Millisecond
	// busyTick and idleTick bound the time between rounds.
	busyTick = 50 * time.Millisecond
	idleTick = 300 * time.Millisecond
	// proofInterval is how often an idle owner asks the store whether its epoch is still the
	// newest.
	proofInterval = 1500 * time.Millisecond
	// appendInterval is the least time between two appends: each call has a cost, and a
	// batch takes no longer than a single record.
	appendInterval = 15 * time.Millisecond
	// storeStalledAfter is how long an append may be unanswered before new jobs are refused,
	// if the store answers no other call either: they could not be accepted in time.
	// appendStalledAfter is the same bound if the store answers other calls: a lost answer
	// is requested again much sooner than a rejected caller retries.
	storeStalledAfter  = 500 * time.Millisecond
	appendStalledAfter = 1200 * time.Millisecond
	// handoverTimeout bounds the time that a runner spends on its last records when it gives
	// its pool up: as long as some calls of a slow store take.
	handoverTimeout = 900 * time.Millisecond
	// inboxSize bounds the messages queued for the control goroutine.
	inboxSize = 4096
)

// Endpoints is the part of the platform's client that sends orders to endpoints and requests
// placement advice.
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
	wallClock func() time.Time

	core   *executor.Core
	tenure *tenure.Tenure
	epoch  int64
	inbox  chan func(now time.Duration)
	// submissions wait apart from the inbox, so that a flood of them delays no other message.
	submissions *submissionQueue
	ctx         context.Context

	waitingCalls map[uint64]chan Result
	nextToken    uint64
	// meter counts submissions under overload control, and is nil without. metered are the classes of
	// the waiting submissions that it has counted.
	meter    *admission.Meter
	metered  map[uint64]admission.MeterClass
	arriving arrivals
	// batches are in flight to the store, the oldest first; lastFlush is when the newest
	// was sent.
	batches   []*batch
	lastFlush time.Duration
	// appendOutcomes receives the outcomes of batches; appendCtx outlasts ctx by the time
	// that the handover takes.
	appendOutcomes chan appendOutcome
	appendCtx      context.Context
	// onProven are called after an append that is sent from now on has succeeded.
	onProven []func()
	// done is closed once the runner has ended and answered the waiting calls.
	done chan struct{}
	// config returns the configuration in force, nil before the first.
	config func() *routing.Config
	// lastRoundTook is how long the last round took.
	lastRoundTook time.Duration
	// lost is set when the pool is fenced or an append has failed for good.
	lost bool
}

func newRunner(m *Manager, pool string) *Runner {
	return &Runner{
		pool: pool, topic: TopicOf(pool), owner: m.opts.Member, store: m.opts.Store, endpoints: m.opts.Endpoints,
		log: m.opts.Logger.With("pool", pool), limits: m.opts.Limits, now: planlease.Boottime, wallClock: time.Now,
		inbox: make(chan func(time.Duration), inboxSize), submissions: newSubmissionQueue(), appendOutcomes: make(chan appendOutcome, maxInFlightBatches), done: make(chan struct{}), config: m.opts.Routes, waitingCalls: map[uint64]chan Result{}, metered: map[uint64]admission.MeterClass{},
	}
}

// topicPrefix is the prefix of pools' topics; in topics of this form the store keeps the
// newest record of each key.
const topicPrefix = "keyed.pool."

// TopicOf returns the topic of a pool's records.
func TopicOf(pool string) string { return topicPrefix + pool }

// claim claims the pool and restores its jobs, unless another member holds it. The runner
// ends with ctx.
func (r *Runner) claim(ctx context.Context, claims tenure.Claims) error {
	r.ctx = ctx
	held, records, err := tenure.Claim(ctx, r.store, r.topic, r.owner, claims, r.log)
	if err != nil {
		return err
	}
	r.tenure, r.epoch = held, held.Epoch
	if r.limits.OverloadControl {
		r.meter = admission.NewMeter(r.epoch)
	}
	r.core = executor.New(r.pool, r.epoch, r.limits, r.now())
	r.core.SetWallClock(r.wallClock().UnixMilli())
	if err := r.core.Restore(fleetops.RecordsOf(records), r.now()); err != nil {
		r.core.ReleaseMemory()
		return err
	}
	return nil
}

// vacateEndpoints requests that the endpoints are vacated whose instances operations are about to move
// or maintain, before any task is placed.
func (r *Runner) vacateEndpoints(endpoints []string) {
	for _, id := range endpoints {
		r.core.Vacate(r.now(), id, false)
	}
}

// run owns the pool until ctx ends or a newer epoch exists.
func (r *Runner) run(ctx context.Context) {
	var stopAppends context.CancelFunc
	r.appendCtx, stopAppends = context.WithCancel(context.WithoutCancel(ctx))
	defer stopAppends()
	defer close(r.done)
	tick := time.NewTimer(0)
	defer tick.Stop()
	last := r.now() - gatherInterval
	for !r.lost && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
		case outcome := <-r.appendOutcomes:
			r.handleAppend(outcome)
			r.awaitMessages(last)
		case msg := <-r.inbox:
			msg(r.now())
			r.awaitMessages(last)
		case <-r.submissions.arrived:
			r.awaitMessages(last)
		}
		r.drainInbox()
		r.handleSubmissions()
		last = r.now()
		r.runRound(last)
		r.lastRoundTook = r.now() - last
		tick.Reset(r.nextTick())
	}
	r.submissions.close()
	r.appendHandover()
	r.answerWaitingCalls()
	r.core.ReleaseMemory()
}

// awaitMessages waits for more messages, so that one round handles all of them.
func (r *Runner) awaitMessages(last time.Duration) {
	if gap := r.roundInterval() - (r.now() - last); gap > 0 {
		time.Sleep(gap)
	}
}

// roundInterval returns the least time between rounds that messages trigger.
func (r *Runner) roundInterval() time.Duration {
	if !r.limits.OverloadControl {
		return gatherInterval
	}
	return min(max(gatherInterval, roundShare*r.lastRoundTook), maxGatherInterval)
}

// drainInbox handles the outcomes of appends and the messages that have arrived by now. Messages
// that arrive meanwhile wait for the next round, so that they cannot keep submissions waiting for
// ever.
func (r *Runner) drainInbox() {
	for range len(r.appendOutcomes) {
		r.handleAppend(<-r.appendOutcomes)
	}
	for range len(r.inbox) {
		(<-r.inbox)(r.now())
	}
}

func (r *Runner) nextTick() time.Duration {
	if (r.core.Dirty() || len(r.onProven) > 0) && len(r.batches) < maxInFlightBatches {
		return appendInterval
	}
	if r.core.Busy() {
		return busyTick
	}
	return idleTick
}

// runRound makes decisions and sends what they require. No order or poll is sent while
// the last proof of the epoch is too old: a successor relies on that.
func (r *Runner) runRound(now time.Duration) {
	r.core.SetWallClock(r.wallClock().UnixMilli())
	r.core.Tick(now)
	r.core.Decide(now)
	r.logEvents()
	if r.core.Fenced() {
		r.lost = true
		return
	}
	if r.hasFreshProof() {
		for _, p := range r.core.DuePolls(now) {
			r.poll(p)
		}
		for _, o := range r.core.TakeStops() {
			r.send(o, 0)
		}
		r.sendStarts(now)
	}
	if call, due := r.core.DueAdvice(now); due {
		r.requestAdvice(call)
	}
	r.flush(now)
}

// hasFreshProof reports whether the epoch was proved recently enough to send orders.
func (r *Runner) hasFreshProof() bool { return r.tenure.ProofAge() < r.limits.ProofAge }

// answerWaitingCalls answers all waiting calls when the runner ends. Batches in flight may
// have been stored; other calls have had no effect.
func (r *Runner) answerWaitingCalls() {
	for _, b := range r.batches {
		for _, reply := range b.ready.Replies {
			r.reply(reply.Token, resultOwnerChangingUnknown)
		}
	}
	for token := range r.waitingCalls {
		r.reply(token, resultOwnerChanging)
	}
	r.log.Info("pool given up", "epoch", r.epoch, "fenced", r.core.Fenced())
}

// post sends a message to the control goroutine. It returns false once the runner's context
// has ended.
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
		countAccountEvent(e)
		attrs := []any{"epoch", r.epoch, "job", e.Job, "task", e.Task, "run", e.Run,
			"instance", e.Endpoint, "started_ms", e.StartedMs, "reason", e.Reason, "age_ms", e.AgeMs}
		if e.Account != "" {
			attrs = append(attrs, "account", e.Account)
		}
		if r.limits.OverloadControl {
			observePrediction(e)
			attrs = append(attrs, admissionAttrs(e)...)
		}
		r.log.Info(string(e.Kind), attrs...)
	}
	countAdmissions(r.pool, r.core.TakeAdmissions())
}
