package fleetops

import (
	"context"
	"log/slog"
	"math"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"cyclamenwheel/internal/accounts"
	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/pause"
	"cyclamenwheel/internal/planlease"
	"cyclamenwheel/internal/quota"
	"cyclamenwheel/internal/tenure"
	"cyclamenwheel/platform"
)

const (
	// Topic holds the duty's records.
	Topic         = "keyed.fleet"
	roundInterval = 150 * time.Millisecond
	// maxListAgeBusy and maxListAgeIdle are how old the instance list may be while operations are
	// in progress, and otherwise.
	maxListAgeBusy = 450 * time.Millisecond
	maxListAgeIdle = 2 * time.Second
	// maxProofAge is how old the proof of the epoch may be when an order is sent; a successor
	// waits until orders sent with it can no longer arrive.
	maxProofAge     = 900 * time.Millisecond
	proofInterval   = 600 * time.Millisecond
	claimRetryDelay = 200 * time.Millisecond
)

// Cloud is the part of the platform's client that lists, moves and maintains instances.
type Cloud interface {
	Instances(ctx context.Context) ([]platform.Instance, error)
	Move(ctx context.Context, o platform.InstanceOrder, pool string) error
	Maintain(ctx context.Context, o platform.InstanceOrder, wave int) error
}

// Pools calls the pools' owners.
type Pools interface {
	VacateEndpoints(ctx context.Context, pool string, ask VacateCall) VacateResult
}

// VacateCall is a request to a pool's owner.
type VacateCall struct {
	Items []VacateItem
	// Due are endpoints whose instances a wave will need soon.
	Due []string
	// Loads is how many of the least loaded endpoints to report, beside those in Due.
	Loads int
	// IncomingCapacity is the CPU capacity on its way to the pool, or available to it.
	IncomingCapacity []executor.IncomingCapacity
	// Shares are the pool's shares of accounts' limits.
	Shares quota.Ask
}

// VacateResult is a response from a pool's owner.
type VacateResult struct {
	// Owned is false if no owner answered.
	Owned   bool
	Left    map[string]executor.Vacancy
	Summary executor.Summary
	// Accounts are the accounts' usage and requests in the pool.
	Accounts []quota.Report
	// ProofAge is how long before its answer the owner was last confirmed as the current one.
	ProofAge time.Duration
}

// Facts are the inputs from the configuration and the operator.
type Facts struct {
	Pools []string
	Spare string
	Waves []platform.Wave
	// Accounts are the published accounts.
	Accounts *accounts.Directory
}

// Options of a Runner.
type Options struct {
	Holder string
	Store  tenure.Store
	Cloud  Cloud
	Pools  Pools
	Facts  func() Facts
	Logger *slog.Logger
	Limits Limits
	// Member is this process's name among the claimants of the duty.
	Member string
	Claims tenure.Claims
	// Claimed is called with the epoch of a claim.
	Claimed func(ctx context.Context, epoch int64)
}

// Runner performs the fleet duty until its context ends.
type Runner struct {
	opts   Options
	state  *State
	shares *quota.Ledger
	tenure *tenure.Tenure
	// lastRoundAt is when the last round began.
	lastRoundAt time.Duration
	// balancesLoggedAt is when the pool balances were last logged.
	balancesLoggedAt time.Duration
	inbox            chan func(now time.Duration)
	listInFlight     bool
	listPace         listPace
	vacateInFlight   map[string]bool
}

// Run claims the duty and performs it until ctx ends or a newer epoch appears.
func Run(ctx context.Context, opts Options) {
	r := &Runner{opts: opts, inbox: make(chan func(time.Duration), 1024), vacateInFlight: map[string]bool{}}
	if !r.claim(ctx) {
		return
	}
	opts.Logger.Info("fleet duty claimed", "epoch", r.tenure.Epoch)
	opts.Claimed(ctx, r.tenure.Epoch)
	tick := time.NewTicker(roundInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case msg := <-r.inbox:
			msg(planlease.Boottime())
			if !r.roundDueEarly() {
				continue
			}
		case <-tick.C:
		}
		if err := r.round(ctx); err != nil {
			opts.Logger.Warn("fleet duty lost", "epoch", r.tenure.Epoch, "error", err.Error())
			return
		}
	}
	r.release()
}

// minRoundGap is the minimum time between two rounds.
const minRoundGap = 30 * time.Millisecond

// roundDueEarly reports whether to run a round before the next tick, because messages have arrived
// and operations or account shares wait for them.
func (r *Runner) roundDueEarly() bool {
	return (!r.state.Idle() || r.shares.Pending()) && planlease.Boottime()-r.lastRoundAt > minRoundGap
}

// releaseTimeout limits the time that a stopping process spends on its last record.
const releaseTimeout = 400 * time.Millisecond

// release records that this holder sends no more orders.
func (r *Runner) release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	record := r.state.Release(planlease.Boottime())
	err := r.tenure.Append(ctx, StoreRecords([]executor.Record{record}))
	r.opts.Logger.Info("fleet duty given up", "epoch", r.tenure.Epoch, "error", errorText(err))
}

func (r *Runner) claim(ctx context.Context) bool {
	for ctx.Err() == nil {
		claimed, records, err := tenure.Claim(ctx, r.opts.Store, Topic, r.opts.Member, r.opts.Claims, r.opts.Logger)
		if err == nil {
			r.tenure = claimed
			limits := r.opts.Limits
			limits.Epoch = claimed.Epoch
			r.state = NewState(limits)
			r.shares = quota.NewLedger()
			err = r.restore(RecordsOf(records))
		}
		if err == nil {
			return true
		}
		r.opts.Logger.Warn("claim failed", "duty", "fleet", "error", err.Error())
		if errors.HasType(err, (*tenure.HeldError)(nil)) {
			return false
		}
		pause.For(ctx, claimRetryDelay)
	}
	return false
}

func (r *Runner) restore(records []executor.Record) error {
	now := planlease.Boottime()
	for _, record := range records {
		if err := r.shares.Restore(quota.Record(record), now); err != nil {
			return &executor.MalformedRecordError{Key: record.Key, Cause: err}
		}
	}
	return r.state.Restore(records, now, time.Now().UnixMilli())
}

// RecordsOf converts the store's records to those of the packages that do no I/O.
func RecordsOf(in []platform.Record) []executor.Record {
	out := make([]executor.Record, len(in))
	for i, p := range in {
		out[i] = executor.Record{Key: p.Key, Value: p.Value}
	}
	return out
}

// StoreRecords converts records of the packages that do no I/O to the store's.
func StoreRecords(in []executor.Record) []platform.Record {
	out := make([]platform.Record, len(in))
	for i, r := range in {
		out[i] = platform.Record{Key: r.Key, Value: r.Value}
	}
	return out
}

// round decides, makes the decisions durable, and carries them out.
func (r *Runner) round(ctx context.Context) error {
	now := planlease.Boottime()
	r.lastRoundAt = now
	facts := r.opts.Facts()
	for _, w := range facts.Waves {
		r.state.ObserveWave(w.Number, w.Instances, w.Within, w.MaxAtOnce, time.Now().UnixMilli())
	}
	r.refreshInstances(ctx, facts.Spare)
	actions := r.state.Decide(now, time.Now().UnixMilli())
	if facts.Accounts != nil {
		r.shares.Decide(now, facts.Accounts, facts.Pools)
	}
	if err := r.save(ctx); err != nil {
		return err
	}
	r.state.Saved(planlease.Boottime())
	r.shares.MarkSaved(planlease.Boottime())
	for _, e := range actions.Events {
		r.opts.Logger.Info(e.What, "epoch", r.tenure.Epoch, "instance", e.Instance, "reason", e.Reason, "wave", e.Wave, "pool", e.Pool)
	}
	r.logBalances(now)
	if r.state.NeedsList() {
		// An order waits for the list; requested in the next round it would come a round later.
		r.refreshInstances(ctx, facts.Spare)
	}
	r.callOwners(ctx, facts.Pools, actions)
	for _, o := range actions.Orders {
		r.sendOrder(ctx, o)
	}
	for _, a := range actions.Announce {
		r.publishWaveStatus(ctx, a)
	}
	return nil
}

// balanceLogInterval is the time between log lines on pool balances.
const balanceLogInterval = time.Second

func (r *Runner) logBalances(now time.Duration) {
	if now-r.balancesLoggedAt < balanceLogInterval {
		return
	}
	r.balancesLoggedAt = now
	for _, b := range r.state.Balances(now) {
		r.opts.Logger.Info("pool balance", "epoch", r.tenure.Epoch, "pool", b.Pool, "endpoints", b.Endpoints,
			"have_cores", round1(b.HaveCores), "need_cores", round1(b.NeedCores), "offered_cores", round1(b.OfferedCores),
			"running_cores", round1(b.RunningCores), "lasting_cores", round1(b.LongRunningCores), "ready_core_s", round1(b.ReadyCoreS))
	}
}

func round1(x float64) float64 { return math.Round(10*x) / 10 }

// save makes changed records durable, or renews the proof of the epoch when it is due.
func (r *Runner) save(ctx context.Context) error {
	now, wallMs := planlease.Boottime(), time.Now().UnixMilli()
	changed := r.state.TakeRecords(now, wallMs)
	shares, err := r.shares.TakeRecords()
	if err != nil {
		return err
	}
	for _, record := range shares {
		changed = append(changed, executor.Record(record))
	}
	if len(changed) == 0 && r.tenure.ProofAge() < proofInterval {
		return nil
	}
	if len(changed) == 0 && r.state.Idle() && r.tenure.ProofAge() < maxListAgeIdle {
		return nil
	}
	if len(changed) == 0 {
		changed = append(changed, r.state.ClockRecord(now, wallMs))
	}
	return r.tenure.Append(ctx, StoreRecords(changed))
}

// listPace decides when the instance list is read again. The list comes in pages, so that reading it
// takes more calls and processor time the more instances there are.
type listPace struct {
	// readAt is when the last list that arrived was requested.
	readAt time.Duration
	// restUntil is the time before which the list is not read again.
	restUntil time.Duration
}

// maxListedPerSecond is how many instances are read per second at most, also while orders wait for the
// list.
const maxListedPerSecond = 10000

// due reports whether to read the list now, so that it is never older than maxAge.
func (p *listPace) due(now, maxAge time.Duration) bool {
	return now >= p.restUntil && (p.readAt == 0 || now-p.readAt >= maxAge)
}

// observe records that a list of this many instances, requested at asked, has arrived.
func (p *listPace) observe(asked time.Duration, instances int) {
	p.readAt = asked
	p.restUntil = asked + time.Duration(instances)*time.Second/maxListedPerSecond
}

// refreshInstances requests the instance list in the background if it is due.
func (r *Runner) refreshInstances(ctx context.Context, spare string) {
	age := maxListAgeIdle
	if !r.state.Idle() {
		age = maxListAgeBusy
	}
	if r.state.NeedsList() {
		age = 0
	}
	asked := planlease.Boottime()
	if r.listInFlight || !r.listPace.due(asked, age) {
		return
	}
	r.listInFlight = true
	go func() {
		list, err := r.opts.Cloud.Instances(ctx)
		if err != nil {
			r.opts.Logger.Warn("instance list not read", "error", err.Error())
		}
		r.enqueue(ctx, func(time.Duration) {
			r.listInFlight = false
			if err == nil {
				r.listPace.observe(asked, len(list))
				r.state.ObserveInstances(asked, instancesOf(list), spare)
			}
		})
	}()
}

func instancesOf(list []platform.Instance) []Instance {
	out := make([]Instance, len(list))
	for n, p := range list {
		out[n] = Instance{Name: p.Name, Pool: p.Pool, Zone: p.Zone, Kind: p.Kind, Rack: p.Rack, Endpoint: p.Endpoint, CPUMilli: p.Capacity.CPUMilli,
			Up: p.State == platform.InstanceUp, Busy: p.State == platform.InstanceMoving || p.State == platform.InstanceMaintenance}
	}
	return out
}

func (r *Runner) enqueue(ctx context.Context, msg func(now time.Duration)) {
	select {
	case r.inbox <- msg:
	case <-ctx.Done():
	}
}

// callOwners sends each pool's owner the endpoints to vacate and applies its summary.
func (r *Runner) callOwners(ctx context.Context, pools []string, actions Actions) {
	byPool := map[string][]VacateItem{}
	for _, c := range actions.VacateItems {
		byPool[c.Pool] = append(byPool[c.Pool], c)
	}
	incoming := r.state.IncomingCapacity(planlease.Boottime(), pools)
	for _, pool := range pools {
		if r.vacateInFlight[pool] {
			continue
		}
		r.vacateInFlight[pool] = true
		items := byPool[pool]
		asked := planlease.Boottime()
		r.state.Asked(asked, items)
		call := VacateCall{Items: items, Due: actions.Due[pool], Loads: r.state.LoadsWanted(pool), IncomingCapacity: incoming[pool], Shares: r.shares.Ask(pool)}
		go func() {
			answer := r.opts.Pools.VacateEndpoints(ctx, pool, call)
			r.enqueue(ctx, func(now time.Duration) {
				r.vacateInFlight[pool] = false
				if !answer.Owned {
					return
				}
				r.state.ObservePool(asked, now, pool, answer.Summary)
				r.shares.Observe(now, asked-answer.ProofAge, pool, answer.Accounts)
				for _, item := range items {
					if item.Ended {
						r.state.ConfirmEnd(item.Instance, item.Endpoint)
						continue
					}
					if vacancy, known := answer.Left[item.Endpoint]; known {
						r.state.ObserveVacancy(asked, asked-answer.ProofAge, item.Instance, item.Endpoint, vacancy)
					}
				}
			})
		}()
	}
}

// sendOrder sends an order in the background, unless this holder can't prove that its epoch is the
// newest.
func (r *Runner) sendOrder(ctx context.Context, o Order) {
	op := o.Operation
	now := planlease.Boottime()
	if r.tenure.ProofAge() > maxProofAge {
		r.state.ObserveOrderResult(now, op.Instance, OrderBusy)
		return
	}
	order := platform.InstanceOrder{Instance: op.Instance, Holder: r.opts.Holder, Fence: r.tenure.Epoch}
	go func() {
		var err error
		if op.Kind == KindMove {
			err = r.opts.Cloud.Move(ctx, order, op.To)
		} else {
			err = r.opts.Cloud.Maintain(ctx, order, op.Wave)
		}
		result := orderResult(err)
		r.opts.Logger.Info("instance ordered", "epoch", r.tenure.Epoch, "instance", op.Instance, "operation", op.Kind.String(),
			"wave", op.Wave, "to", op.To, "result", int(result), "error", errorText(err))
		r.enqueue(ctx, func(now time.Duration) { r.state.ObserveOrderResult(now, op.Instance, result) })
	}()
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Reasons of the platform's rejections.
const (
	reasonBusy  = "busy"
	reasonFence = "fence"
)

func orderResult(err error) OrderResult {
	var notDone *platform.NotDoneError
	switch {
	case err == nil:
		return OrderAccepted
	case !errors.As(err, &notDone):
		return OrderUnanswered
	case notDone.Status == http.StatusBadRequest:
		return OrderRefused
	case notDone.Status == http.StatusConflict && notDone.Reason == reasonFence:
		return OrderFenced
	case notDone.Status == http.StatusConflict && notDone.Reason != reasonBusy:
		return OrderRefused
	}
	return OrderBusy
}

// publishWaveStatus publishes a wave's state to the operator. Until it is stored the wave counts
// as not announced.
func (r *Runner) publishWaveStatus(ctx context.Context, a Announcement) {
	record, err := platform.WaveStatus(a.Wave, a.Completed)
	if err != nil {
		r.opts.Logger.Error("wave status not encoded", "wave", a.Wave, "error", err.Error())
		return
	}
	go func() {
		err := r.opts.Store.Put(ctx, platform.TopicStatus, platform.Writer{}, []platform.Record{record})
		if err != nil {
			r.opts.Logger.Warn("wave status not stored", "wave", a.Wave, "error", err.Error())
			r.enqueue(ctx, func(time.Duration) { r.state.AnnouncementFailed(a.Wave) })
		}
	}()
}
