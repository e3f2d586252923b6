// Package planner is the duty of the one process that holds the planner lease:
// it records what the platform lists, decides moves, maintenance and job
// placement, and drives each to its end.
//
// Every round starts from the fold and the newest instance list alone, so a
// successor goes on where its predecessor stopped. A decision is first a
// record; the platform is asked only once the record has been read back as
// accepted.
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
	// submitLimit bounds one record's way through the log. When it ends the
	// next round looks at the fold again and writes what is still missing.
	submitLimit = 10 * time.Second
	// askAgainAfter is how long a platform operation is left to show in the
	// list before it is asked for again: its answer, or the request, may have
	// been lost.
	askAgainAfter = 2 * time.Second
	// askLimit bounds one call to the platform.
	askLimit = 5 * time.Second
	// roundEvery is how often a round runs without a cause while operations are
	// under way: they are asked for again, and drains may take too long.
	// waitingEvery is for tasks that wait for room or a backoff. At rest only
	// time could change a decision, and restEvery is enough: a round of 4,000
	// instances takes some 20 ms, and one for each heartbeat took a third of a
	// core.
	roundEvery   = 500 * time.Millisecond
	waitingEvery = 2 * time.Second
	restEvery    = 10 * time.Second
	// roundSpacing keeps a burst of records from becoming a burst of rounds:
	// one of 11,000 instances takes tens of milliseconds.
	roundSpacing = 10 * time.Millisecond
	// batchMax bounds the items of one record: at 200 bytes an item, a record
	// stays far under the log's limit.
	batchMax = 1000
)

// Options configure a planner.
type Options struct {
	Node     *node.Node
	Platform platform.Platform
	Timing   planlease.Timing
	// FenceAfter is how long a member may hold a handover up, silent and
	// listed, before the platform is asked to stop its instance; 0 never.
	FenceAfter time.Duration
	// WaveReturnLimit is how long a drained instance may stay away.
	WaveReturnLimit time.Duration
	Logger          *slog.Logger
}

// Planner implements node.Hooks.
type Planner struct {
	opts      Options
	node      *node.Node
	log       *slog.Logger
	contender *planlease.Contender

	busy     map[fleetlog.Kind]bool   // records of this kind on their way
	asked    map[string]time.Duration // operation id to when it was last asked for
	dirty    bool
	lastRun  time.Duration
	wave     maintenance.WaveState
	tasks    *taskRunner
	progress []Progress
	moves    pools.Decision
	spare    pools.SpareNeed
	waves    maintenance.Decision
}

// New returns a planner to be run by opts.Node.
func New(opts Options) *Planner {
	self := opts.Node.Self()
	p := &Planner{
		opts: opts, node: opts.Node, log: opts.Logger,
		contender: planlease.NewContender(self.ID, self.BootID, opts.Timing),
		busy:      make(map[fleetlog.Kind]bool),
		asked:     make(map[string]time.Duration),
	}
	p.tasks = newTaskRunner(p)
	return p
}

// Applied implements node.Hooks. The next step follows at once rather than on
// the next tick: a move takes four records one after the other.
func (p *Planner) Applied(batch []fleetlog.Applied) {
	if !slices.ContainsFunc(batch, concernsPlanner) && len(batch) > 0 {
		return
	}
	p.dirty = true
	p.Tick()
}

// concernsPlanner leaves out what no decision depends on: the lease's own
// renewals, and the keys of callers' requests, which come many times a second.
func concernsPlanner(a fleetlog.Applied) bool {
	switch a.Record.Kind {
	case fleetlog.KindLeaseRenew, fleetlog.KindKeyClaim, fleetlog.KindKeyFinish,
		fleetlog.KindMark, fleetlog.KindPart:
		return false
	}
	return true
}

// ListChanged implements node.Hooks.
func (p *Planner) ListChanged() {
	p.dirty = true
	p.Tick()
}

// Beat implements node.Hooks.
func (p *Planner) Beat(_ string, hb *node.Heartbeat) { hb.Ready = len(p.node.NotReady()) == 0 }

// Heard implements node.Hooks: an acknowledgement may open a barrier.
func (p *Planner) Heard(peer.Identity, node.Heartbeat) {
	if len(p.progress) > 0 {
		p.dirty = true
	}
}

// MayJoin implements node.Hooks.
func (p *Planner) MayJoin() bool { return true }

// AckLimit implements node.Hooks: a control process holds nothing back.
func (p *Planner) AckLimit() uint64 { return ^uint64(0) }

// Tick implements node.Hooks.
func (p *Planner) Tick() {
	now := p.node.Now()
	p.contend(now)
	if p.contender.Holds(now) == 0 {
		p.progress = nil
		return
	}
	p.tasks.tick(now)
	since := now - p.lastRun
	if since < roundSpacing || !p.dirty && since < p.period() {
		return
	}
	p.dirty, p.lastRun = false, now
	p.round(now)
}

// period is how long rounds without a cause are apart.
func (p *Planner) period() time.Duration {
	switch {
	case len(p.progress)+len(p.moves.Waits)+len(p.waves.Halts)+len(p.wave.Draining) > 0:
		return roundEvery
	case len(p.tasks.last.Waiting) > 0:
		return waitingEvery
	}
	return restEvery
}

// round compares what is with what should be, and does the next step of each
// difference. Facts come first: plans made before a loss is folded would be
// judged by the fold with the loss counted, and refused.
func (p *Planner) round(now time.Duration) {
	st, list := p.node.State(), p.node.List()
	if list.Version == 0 || list.Version < st.Pools.List {
		return
	}
	if p.writeFacts(Compare(st, list, p.silence), list.Version) {
		return
	}
	steps := Operate(st, list, p.node.Acks())
	p.progress = steps.Progress
	p.commit(steps.Commit, list.Version)
	for _, op := range steps.Reboot {
		p.askReboot(op, now)
	}
	p.fenceSilent(now)
	if st.Manifest.Current() == nil {
		return
	}
	p.plan(st)
	p.tasks.decide()
	p.tasks.ask(now)
}

// silence is how long a member has not been heard at its present boot. One
// never heard is silent since this process started, not for ever: a planner
// that has just taken over knows nothing yet.
func (p *Planner) silence(member string) time.Duration {
	if member == p.node.Self().ID {
		return 0
	}
	h := p.node.PeerReports()[member]
	if h == nil || h.Identity.BootID != p.node.State().Members.Members[member].BootID {
		return p.node.Uptime()
	}
	return p.node.Now() - h.At
}

// plan decides moves and drains and writes them as one record.
func (p *Planner) plan(st *fleetlog.State) {
	if p.busy[fleetlog.KindBegin] {
		return
	}
	man := st.Manifest.Current()
	instances := sorted(st.Pools.Instances)
	wave := maintenance.Input{
		Manifest: man, Instances: instances, State: p.wave, NowMillis: p.node.Now().Milliseconds(),
		Limits: maintenance.Limits{ReturnLimit: p.opts.WaveReturnLimit},
	}
	move := pools.Input{Manifest: man, Instances: instances, Extra: maintenance.Extra(wave)}
	p.moves, p.spare = pools.Decide(move), pools.Spare(move)
	wave.Reserved = reserved(p.moves.Moves)
	p.waves = maintenance.Decide(wave)
	p.wave = p.waves.State
	p.countDecisions(st)
	items := beginItems(p.moves.Moves, p.waves.Drains)
	if len(items) > 0 {
		p.submit(fleetlog.KindBegin, pools.Begin{Items: items[:min(len(items), batchMax)]})
	}
}

// reserved counts the moves out of each pool, which the fold does not show yet.
func reserved(moves []pools.Move) map[string]int {
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

func sorted(instances map[string]*pools.Instance) []*pools.Instance {
	out := make([]*pools.Instance, 0, len(instances))
	for _, id := range slices.Sorted(maps.Keys(instances)) {
		out = append(out, instances[id])
	}
	return out
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
