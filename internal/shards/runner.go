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
	"cyclamenwheel/internal/jobs"
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
	// refused: they could not be accepted in time.
	stuckAfter = 500 * time.Millisecond
	// handOverLimit bounds what a runner that gives its pool up spends on its last
	// records: some calls of a slow store.
	handOverLimit = 600 * time.Millisecond
	// inboxSize bounds messages that wait for the control goroutine.
	inboxSize = 4096
)

// Endpoints is the part of the platform's client that orders endpoints
// and asks which of them may be ordered.
type Endpoints interface {
	Start(ctx context.Context, to platform.EndpointRef, o platform.StartOrder) (time.Duration, error)
	Stop(ctx context.Context, to platform.EndpointRef, task string, run int, fence int64) (time.Duration, error)
	Renew(ctx context.Context, to platform.EndpointRef, r platform.Renewal) (platform.Look, error)
	Advise(ctx context.Context, step string, endpoints []string, timeout time.Duration) (platform.Advice, error)
}

// Outcome is what a call on a pool came to.
type Outcome uint8

// Outcomes.
const (
	// OutcomeDone: accepted, cancelled or found.
	OutcomeDone Outcome = iota
	// OutcomeRefused: not accepted; it never runs unless handed in again.
	OutcomeRefused
	// OutcomeUnavailable: nobody could take it now; nothing has happened.
	OutcomeUnavailable
	// OutcomeUnknown: it may have been done.
	OutcomeUnknown
	// OutcomeAbsent: there is no such job.
	OutcomeAbsent
)

var outcomeNames = [...]string{"done", "refused", "unavailable", "unknown", "absent"}

func (o Outcome) String() string { return outcomeNames[o] }

// Result is the answer to a call on a pool.
type Result struct {
	Outcome      Outcome           `cbor:"1,keyasint"`
	State        executor.JobState `cbor:"2,keyasint,omitempty"`
	Pending      int               `cbor:"3,keyasint,omitempty"`
	RetryAfterMs int64             `cbor:"4,keyasint,omitempty"`
	Reason       string            `cbor:"5,keyasint,omitempty"`
}

// Runner owns one pool under one epoch.
type Runner struct {
	pool      string
	topic     string
	owner     string
	journal   tenure.Journal
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
	// appending is the batch on its way, nil where there is none; stuckSince
	// is when it was first sent.
	appending  *executor.Ready
	stuckSince time.Duration
	// appended is where the batch's outcome comes; appendCtx outlasts ctx by what
	// handing over takes.
	appended  chan appendOutcome
	appendCtx context.Context
	// proofs wait for an append that is sent after them.
	proofs []func()
	// done is closed once the runner has ended and answered whom it could.
	done chan struct{}
	// unsent are orders whose records are durable, kept while the proof of the
	// epoch is too old to send anything.
	unsent []executor.Order
	over   bool
}

// appendOutcome is what became of a batch. proofs waited for it.
type appendOutcome struct {
	err    error
	proofs []func()
}

func newRunner(m *Manager, pool string) *Runner {
	return &Runner{
		pool: pool, topic: TopicOf(pool), owner: m.opts.Member, journal: m.opts.Journal, endpoints: m.opts.Endpoints,
		log: m.opts.Logger.With("pool", pool), limits: m.opts.Limits, now: planlease.Boottime, wall: time.Now,
		inbox: make(chan func(time.Duration), inboxSize), appended: make(chan appendOutcome, 1), done: make(chan struct{}), waiting: map[uint64]chan Result{},
	}
}

// topicPrefix begins the topics of pools; the store keeps the newest record of
// each key in topics of this form.
const topicPrefix = "keyed.pool."

// TopicOf is the topic of a pool's records.
func TopicOf(pool string) string { return topicPrefix + pool }

// claim takes the pool over and restores its jobs. The runner lives as long as
// ctx.
func (r *Runner) claim(ctx context.Context) error {
	r.ctx = ctx
	held, records, err := tenure.Claim(ctx, r.journal, r.topic, r.owner, r.log)
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
	if (r.core.Dirty() || len(r.proofs) > 0) && r.appending == nil {
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
		for _, o := range r.core.TakeUrgent() {
			r.send(now, o)
		}
		r.sendUnsent(now)
	}
	if call, due := r.core.DueAdvice(now); due {
		r.advise(call)
	}
	r.flush(now)
}

func (r *Runner) proven() bool { return r.tenure.ProofAge() < r.limits.ProofAge }

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

func (r *Runner) reply(token uint64, result Result) {
	if ch, ok := r.waiting[token]; ok {
		ch <- result
		delete(r.waiting, token)
	}
}

// abandon answers everybody who waits. What was on its way to the store may
// have arrived; the rest has not happened.
func (r *Runner) abandon() {
	if r.appending != nil {
		for _, reply := range r.appending.Replies {
			r.reply(reply.Token, Result{Outcome: OutcomeUnknown, Reason: "the pool's owner changes"})
		}
	}
	for token := range r.waiting {
		r.reply(token, Result{Outcome: OutcomeUnavailable, Reason: "the pool's owner changes"})
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

// ask runs f on the control goroutine and returns its answer, now or later.
func (r *Runner) ask(ctx context.Context, f func(now time.Duration, token uint64) (Result, bool)) Result {
	ch := make(chan Result, 1)
	ok := r.post(func(now time.Duration) {
		r.nextToken++
		token := r.nextToken
		r.waiting[token] = ch
		if result, done := f(now, token); done {
			r.reply(token, result)
		}
	})
	if !ok {
		return Result{Outcome: OutcomeUnavailable, Reason: "the pool's owner changes"}
	}
	select {
	case result := <-ch:
		return result
	case <-r.done:
		return Result{Outcome: OutcomeUnknown, Reason: "the pool's owner changes"}
	case <-ctx.Done():
		return Result{Outcome: OutcomeUnknown, Reason: "no answer in time"}
	}
}

// submit hands a job to the pool.
func (r *Runner) submit(ctx context.Context, job jobs.Job, under executor.Accepting) Result {
	return r.ask(ctx, func(now time.Duration, token uint64) (Result, bool) {
		if r.stuck(now) {
			return Result{Outcome: OutcomeUnavailable, Reason: "the store does not answer", RetryAfterMs: retryStoreMs}, true
		}
		if ctx.Err() != nil {
			return Result{Outcome: OutcomeUnavailable, Reason: "came too late"}, true
		}
		verdict, refusal := r.core.Submit(now, job, under, token)
		switch verdict {
		case executor.VerdictKnown:
			return Result{Outcome: OutcomeDone}, true
		case executor.VerdictRefused:
			return Result{Outcome: OutcomeRefused, Reason: refusal.Reason, RetryAfterMs: refusal.RetryAfter.Milliseconds()}, true
		}
		return Result{}, false
	})
}

// retryStoreMs is when to come back while the store does not answer: its
// outages last some seconds.
const retryStoreMs = 1000

func (r *Runner) stuck(now time.Duration) bool {
	return r.appending != nil && now-r.stuckSince > stuckAfter || !r.proven()
}

func (r *Runner) cancelJob(ctx context.Context, id string) Result {
	return r.ask(ctx, func(now time.Duration, token uint64) (Result, bool) {
		known, durable := r.core.Cancel(now, id, token)
		if !known {
			return Result{Outcome: OutcomeAbsent}, true
		}
		return Result{Outcome: OutcomeDone}, durable
	})
}

func (r *Runner) state(ctx context.Context, id string) Result {
	return r.ask(ctx, func(now time.Duration, _ uint64) (Result, bool) {
		if !r.proven() {
			return Result{Outcome: OutcomeUnavailable, Reason: "the store does not answer", RetryAfterMs: retryStoreMs}, true
		}
		state, known := r.core.State(id)
		if !known {
			return Result{Outcome: OutcomeAbsent}, true
		}
		return Result{Outcome: OutcomeDone, State: state}, true
	})
}

func (r *Runner) pending(ctx context.Context, queue string) Result {
	return r.ask(ctx, func(time.Duration, uint64) (Result, bool) {
		return Result{Outcome: OutcomeDone, Pending: r.core.Pending(queue)}, true
	})
}

// vacate clears endpoints. That one is clear is said only once an append sent
// afterwards has succeeded: an owner that was displaced unawares would otherwise
// speak for endpoints on which its successor runs tasks.
func (r *Runner) vacate(ctx context.Context, in VacateCall) VacateResult {
	done := make(chan VacateResult, 1)
	ok := r.post(func(now time.Duration) {
		result, clear := r.vacateNow(now, in)
		if !clear {
			done <- result
			return
		}
		r.proofs = append(r.proofs, func() {
			result.ProofAgeMs = r.tenure.ProofAge().Milliseconds()
			done <- result
		})
	})
	if !ok {
		return VacateResult{}
	}
	select {
	case result := <-done:
		return result
	case <-ctx.Done():
	case <-r.ctx.Done():
	}
	return VacateResult{}
}

func (r *Runner) vacateNow(now time.Duration, in VacateCall) (result VacateResult, clear bool) {
	result = VacateResult{Owned: true, Left: map[string]int{}}
	for _, item := range in.Items {
		if item.Ended {
			r.core.Gone(item.Endpoint)
			continue
		}
		if left, known := r.core.Vacate(now, item.Endpoint, item.Hurry); known {
			result.Left[item.Endpoint] = left
			clear = clear || left == 0
		}
	}
	r.core.LeavesSoon(now, in.Due)
	r.core.Reach(now, in.ReachMilli)
	result.Summary = r.core.Summary(now)
	result.ProofAgeMs = r.tenure.ProofAge().Milliseconds()
	return result, clear
}

func (r *Runner) logEvents() {
	for _, e := range r.core.TakeEvents() {
		metrics.GetOrCreateCounter(fmt.Sprintf("cyclamen_pool_events_total{event=%q}", e.Kind)).Inc()
		r.log.Info(string(e.Kind), "epoch", r.epoch, "job", e.Job, "task", e.Task, "run", e.Run,
			"instance", e.Endpoint, "reason", e.Reason, "age_ms", e.AgeMs)
	}
}
