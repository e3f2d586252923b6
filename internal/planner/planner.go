// Package planner records what the platform lists, decides moves, maintenance
// and job placement, and drives each decision until it is completed. Its input
// is the folded state, the platform's newest instance list and the members'
// acknowledgements, so a successor continues where its predecessor stopped;
// every decision is first written as a record, and the platform is asked to act
// only once the record has been read back as accepted. Every control process
// creates a planner whose hooks package node calls, and only the one that holds
// the planner lease acts.
package planner

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/maintenance"
	"cyclamenwheel/internal/node"
	"cyclamenwheel/internal/peer"
	"cyclamenwheel/internal/planlease"
	"cyclamenwheel/internal/platform"
	"cyclamenwheel/internal/pools"
)

const (
	// submitTimeout bounds the append of one record. After it, the next round
	// compares with the folded state again and writes what is still missing.
	submitTimeout = 10 * time.Second
	// requestRetryInterval is how long a requested platform operation may be
	// missing from the list before it is requested again: the request or its
	// answer may have been lost.
	requestRetryInterval = 2 * time.Second
	// platformCallTimeout bounds one call to the platform.
	platformCallTimeout = 5 * time.Second
	// activeRoundInterval is the time between rounds without new input while
	// operations are in progress: requests are retried, and drains may exceed
	// their time limit. waitingRoundInterval applies while tasks wait for
	// capacity or a backoff. Otherwise only time could change a decision, and
	// idleRoundInterval is enough: a round with 4,000 instances takes some 20
	// ms, and one round per heartbeat took a third of a core.
	activeRoundInterval  = 500 * time.Millisecond
	waitingRoundInterval = 2 * time.Second
	idleRoundInterval    = 10 * time.Second
	// minRoundInterval prevents that a burst of records causes a burst of
	// rounds: one with 11,000 instances takes tens of milliseconds.
	minRoundInterval = 10 * time.Millisecond
	// maxRecordItems bounds the items of one record: at 200 bytes an item, a
	// record stays far below the log's limit.
	maxRecordItems = 1000
)

// Options configure a planner.
type Options struct {
	Node     *node.Node
	Platform platform.Platform
	Timing   planlease.Timing
	// FenceAfter is how long a listed member may go without a report while it
	// blocks progress before the platform is asked to stop its instance; 0
	// means never.
	FenceAfter time.Duration
	// WaveReturnLimit is how long a drained instance may take to return.
	WaveReturnLimit time.Duration
	Logger          *slog.Logger
}

// Planner implements node.Hooks.
type Planner struct {
	opts      Options
	node      *node.Node
	log       *slog.Logger
	contender *planlease.Contender

	submitting  map[fleetlog.Kind]bool   // kinds with a record being appended
	requestedAt map[string]time.Duration // time of the last request by operation id
	roundNeeded bool
	lastRoundAt time.Duration
	wave        maintenance.WaveState
	tasks       *taskRunner
	progress    []Progress
	moves       pools.Decision
	spare       pools.SpareNeed
	waves       maintenance.Decision
}

// New returns a planner to be run by opts.Node.
func New(opts Options) *Planner {
	self := opts.Node.Self()
	p := &Planner{
		opts: opts, node: opts.Node, log: opts.Logger,
		contender:   planlease.NewContender(self.ID, self.BootID, opts.Timing),
		submitting:  make(map[fleetlog.Kind]bool),
		requestedAt: make(map[string]time.Duration),
	}
	p.tasks = newTaskRunner(p)
	return p
}

// Applied implements node.Hooks. It runs the next step at once rather than on
// the next tick, because a move takes four records one after the other.
func (p *Planner) Applied(batch []fleetlog.Applied) {
	if !slices.ContainsFunc(batch, affectsDecisions) && len(batch) > 0 {
		return
	}
	p.roundNeeded = true
	p.Tick()
}

// affectsDecisions excludes records on which no decision depends: renewals of
// the lease, and the keys of callers' requests, which arrive many times a
// second.
func affectsDecisions(a fleetlog.Applied) bool {
	switch a.Record.Kind {
	case fleetlog.KindLeaseRenew, fleetlog.KindKeyClaim, fleetlog.KindKeyFinish,
		fleetlog.KindMark, fleetlog.KindPart:
		return false
	}
	return true
}

// ListChanged implements node.Hooks.
func (p *Planner) ListChanged() {
	p.roundNeeded = true
	p.Tick()
}

// Beat implements node.Hooks.
func (p *Planner) Beat(_ string, hb *node.Heartbeat) { hb.Ready = len(p.node.NotReady()) == 0 }

// Heard implements node.Hooks. An acknowledgement may complete a barrier.
func (p *Planner) Heard(peer.Identity, node.Heartbeat) {
	if len(p.progress) > 0 {
		p.roundNeeded = true
	}
}

// MayJoin implements node.Hooks.
func (p *Planner) MayJoin() bool { return true }

// AckLimit implements node.Hooks. A control process acknowledges every offset
// at once.
func (p *Planner) AckLimit() uint64 { return ^uint64(0) }

// Tick implements node.Hooks.
func (p *Planner) Tick() {
	now := p.node.Now()
	p.claimOrRenewLease(now)
	if p.contender.Holds(now) == 0 {
		p.progress = nil
		return
	}
	p.tasks.tick(now)
	since := now - p.lastRoundAt
	if since < minRoundInterval || !p.roundNeeded && since < p.roundInterval() {
		return
	}
	p.roundNeeded, p.lastRoundAt = false, now
	p.round(now)
}

// roundInterval returns the time between rounds without new input.
func (p *Planner) roundInterval() time.Duration {
	switch {
	case len(p.progress)+len(p.moves.Waits)+len(p.waves.Halts)+len(p.wave.Draining) > 0:
		return activeRoundInterval
	case len(p.tasks.lastOutput.Waiting) > 0:
		return waitingRoundInterval
	}
	return idleRoundInterval
}

// round compares the observed with the wanted state and takes the next step for
// each difference. Facts are written first: a plan made before a loss is folded
// would be checked with the loss counted, and rejected.
func (p *Planner) round(now time.Duration) {
	st, list := p.node.State(), p.node.List()
	if list.Version == 0 || list.Version < st.Pools.List {
		return
	}
	if p.submitFacts(Compare(st, list, p.sinceLastReport), list.Version) {
		return
	}
	steps := NextSteps(st, list, p.node.Acks())
	p.progress = steps.Progress
	p.submitCommits(steps.Commit, list.Version)
	for _, op := range steps.Reboot {
		p.requestReboot(op, now)
	}
	p.fenceUnresponsive(now)
	if st.Manifest.Current() == nil {
		return
	}
	p.plan(st)
	p.tasks.decide()
	p.tasks.reconcile(now)
}

// sinceLastReport returns the time since the member's last report at its
// present boot. Without a report it returns the time since this process
// started, because a planner that has just taken over has received none yet.
func (p *Planner) sinceLastReport(member string) time.Duration {
	if member == p.node.Self().ID {
		return 0
	}
	h := p.node.PeerReports()[member]
	if h == nil || h.Identity.BootID != p.node.State().Members.Members[member].BootID {
		return p.node.Uptime()
	}
	return p.node.Now() - h.At
}

// plan decides moves and drains and submits them as one record.
func (p *Planner) plan(st *fleetlog.State) {
	if p.submitting[fleetlog.KindBegin] {
		return
	}
	man := st.Manifest.Current()
	instances := sortedInstances(st.Pools.Instances)
	wave := maintenance.Input{
		Manifest: man, Instances: instances, State: p.wave, NowMillis: p.node.Now().Milliseconds(),
		Limits: maintenance.Limits{ReturnLimit: p.opts.WaveReturnLimit},
	}
	move := pools.Input{Manifest: man, Instances: instances, Extra: maintenance.SparesNeeded(wave)}
	p.moves, p.spare = pools.Decide(move), pools.Spare(move)
	wave.Reserved = movesOutByPool(p.moves.Moves)
	p.waves = maintenance.Decide(wave)
	p.wave = p.waves.State
	p.countDecisions(st)
	items := beginItems(p.moves.Moves, p.waves.Drains)
	if len(items) > 0 {
		p.submit(fleetlog.KindBegin, pools.Begin{Items: items[:min(len(items), maxRecordItems)]})
	}
}

// movesOutByPool counts the moves out of each pool, which the folded state does
// not show yet.
func movesOutByPool(moves []pools.Move) map[string]int {
	out := make(map[string]int)
	for _, m := range moves {
		out[m.From]++
	}
	return out
}

func beginItems(moves []pools.Move, drains []maintenance.Drain) []pools.BeginItem {
	items := make([]pools.BeginItem, 0, len(moves)+len(drains))
	for _, m := range moves {
		items = append(items, pools.BeginItem{
			Instance: m.Instance, From: m.From, To: m.To, Revision: m.Revision,
			Operation: fleetlog.NewID().String(), Why: string(m.Reason) + ": " + m.Detail,
		})
	}
	for _, d := range drains {
		items = append(items, pools.BeginItem{
			Instance: d.Instance, From: d.Pool, To: d.Pool, Revision: d.Revision,
			Operation: fleetlog.NewID().String(), Why: "maintenance: " + d.Detail,
		})
	}
	return items
}

func sortedInstances(instances map[string]*pools.Instance) []*pools.Instance {
	out := make([]*pools.Instance, 0, len(instances))
	for _, id := range slices.Sorted(maps.Keys(instances)) {
		out = append(out, instances[id])
	}
	return out
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
