package maintenance

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/pools"
)

// poolRound is the working state of one pool in one round.
type poolRound struct {
	spec         *manifest.Pool
	budget       int
	serving      int
	members      int
	draining     int
	pending      []*pools.Instance
	halt         HaltReason
	haltInstance string
	// drainingRack is the rack that drains stay in while the window is small.
	drainingRack string
}

// waveRound is the working state of one round.
type waveRound struct {
	in     Input
	state  WaveState
	byID   map[string]*pools.Instance
	pools  []*poolRound
	byName map[string]*poolRound
	// zones and racks count drains in progress, without failed ones.
	zones    map[string]int
	racks    map[string]int
	draining int
	out      Decision
}

func newWaveRound(in Input) *waveRound {
	w := &waveRound{
		in:     in,
		state:  in.State.clone(),
		byID:   make(map[string]*pools.Instance, len(in.Instances)),
		byName: map[string]*poolRound{},
		zones:  map[string]int{},
		racks:  map[string]int{},
	}
	budget := pools.Budget(in.Manifest)
	for i := range in.Manifest.Pools {
		spec := &in.Manifest.Pools[i]
		p := &poolRound{spec: spec, budget: budget[spec.Name], serving: -in.Reserved[spec.Name]}
		w.pools = append(w.pools, p)
		w.byName[spec.Name] = p
	}
	for _, inst := range in.Instances {
		w.byID[inst.ID] = inst
		w.countInstance(inst)
	}
	return w
}

func (w *waveRound) countInstance(inst *pools.Instance) {
	if inst.Phase == pools.PhaseDraining {
		w.draining++
	}
	p := w.byName[inst.Pool]
	if p == nil {
		return
	}
	p.members++
	switch inst.Phase {
	case pools.PhaseServing:
		p.serving++
		if inst.Revision < p.spec.Maintenance.Revision {
			p.pending = append(p.pending, inst)
		}
	case pools.PhaseDraining:
		p.draining++
	}
}

// updateState compares the recorded drains with the fold. It finds drains that
// succeeded or failed, and records drains that another planner began.
func (w *waveRound) updateState() {
	for _, p := range w.pools {
		name, revision := p.spec.Name, p.spec.Maintenance.Revision
		if pw := w.state.Pools[name]; pw.Revision != revision || pw.Window == 0 {
			w.state.Pools[name] = PoolWave{Revision: revision, Window: firstWindow}
		}
	}
	for _, id := range sortedKeys(w.state.Draining) {
		w.updateRecordedDrain(id, w.state.Draining[id])
	}
	for id, f := range w.state.Failed {
		inst := w.byID[id]
		stuck := inst != nil && inst.Phase == pools.PhaseDraining
		// The failure of a stuck instance is kept even after a higher revision:
		// recorded as a new drain, it would halt that revision's wave as well.
		if w.failureCleared(id, f) && !stuck {
			delete(w.state.Failed, id)
		}
	}
	for _, inst := range w.in.Instances {
		if inst.Phase == pools.PhaseDraining {
			w.recordDraining(inst)
		}
	}
}

// updateRecordedDrain checks whether a drain of the previous round has ended.
func (w *waveRound) updateRecordedDrain(id string, d DrainInProgress) {
	inst := w.byID[id]
	switch {
	case inst == nil || inst.Phase == pools.PhaseDown:
		w.recordFailure(id, d, HaltLost)
	case inst.Phase == pools.PhaseDraining:
		if w.in.NowMillis-d.SeenMillis > w.in.returnLimit().Milliseconds() {
			w.recordFailure(id, d, HaltReturnTimeout)
		}
	case inst.Phase == pools.PhaseServing && inst.Revision < d.Revision:
		w.recordFailure(id, d, HaltRevisionMissing)
	default:
		w.recordReturn(id, d)
	}
}

func (w *waveRound) recordFailure(id string, d DrainInProgress, reason HaltReason) {
	delete(w.state.Draining, id)
	w.state.Failed[id] = Failure{Pool: d.Pool, Revision: d.Revision, Reason: reason}
}

// recordReturn widens the window by one for each returned instance, which
// doubles the number of drains with each batch.
func (w *waveRound) recordReturn(id string, d DrainInProgress) {
	delete(w.state.Draining, id)
	pw := w.state.Pools[d.Pool]
	if pw.Revision == d.Revision {
		pw.Returned++
		pw.Window = min(pw.Window+1, w.in.parallel())
		w.state.Pools[d.Pool] = pw
	}
}

// failureCleared reports whether a failure no longer counts: the instance
// serves with the revision, or the operator has published a higher revision or
// removed the pool.
func (w *waveRound) failureCleared(id string, f Failure) bool {
	p := w.byName[f.Pool]
	if p == nil || p.spec.Maintenance.Revision > f.Revision {
		return true
	}
	inst := w.byID[id]
	return inst != nil && inst.Phase == pools.PhaseServing && inst.Revision >= f.Revision
}

func (w *waveRound) recordDraining(inst *pools.Instance) {
	if _, failed := w.state.Failed[inst.ID]; failed {
		return
	}
	if _, recorded := w.state.Draining[inst.ID]; !recorded {
		revision := 0
		if p := w.byName[inst.Pool]; p != nil {
			revision = p.spec.Maintenance.Revision
		}
		w.state.Draining[inst.ID] = DrainInProgress{Pool: inst.Pool, Revision: revision, SeenMillis: w.in.NowMillis}
	}
	w.zones[inst.Zone]++
	w.racks[rackOf(inst)]++
	if p := w.byName[inst.Pool]; p != nil {
		p.drainingRack = rackOf(inst)
	}
}

func rackOf(inst *pools.Instance) string { return inst.Zone + "/" + inst.Rack }

// markHalts marks the pools whose waves must not continue.
func (w *waveRound) markHalts() {
	failed := map[string]bool{}
	for _, id := range sortedKeys(w.state.Failed) {
		f := w.state.Failed[id]
		if w.failureCleared(id, f) {
			continue
		}
		failed[f.Pool] = true
		if p := w.byName[f.Pool]; p != nil && p.halt == "" {
			p.halt, p.haltInstance = f.Reason, id
		}
	}
	for _, p := range w.pools {
		switch {
		case p.spec.Maintenance.Paused:
			p.halt, p.haltInstance = HaltPaused, ""
		case p.halt == "" && len(failed) >= haltAllAfter:
			p.halt = HaltOtherPools
		case p.halt == "" && len(p.spec.Instances.IDs) > 0 && len(p.spec.Instances.IDs) <= p.budget:
			p.halt = HaltNoHeadroom
		}
	}
}

// beginDrains begins drains within the limits, one zone and rack after another.
func (w *waveRound) beginDrains() {
	for _, inst := range w.candidates() {
		p := w.byName[inst.Pool]
		if p.halt != "" {
			continue
		}
		if reason, ok := w.mayDrain(p, inst); !ok {
			w.out.addHalt(p, reason)
			continue
		}
		w.beginDrain(p, inst)
	}
	for _, p := range w.pools {
		if p.halt != "" && len(p.pending)+p.draining > 0 {
			w.out.Halts = append(w.out.Halts, Halt{Pool: p.spec.Name, Reason: p.halt, Instance: p.haltInstance})
		}
	}
}

// candidates returns the instances to drain in order: those in zones and racks
// with drains in progress come first, so that one failure domain is finished
// before the next begins.
func (w *waveRound) candidates() []*pools.Instance {
	var all []*pools.Instance
	for _, p := range w.pools {
		if p.halt == "" {
			all = append(all, p.pending...)
		}
	}
	slices.SortFunc(all, func(a, b *pools.Instance) int {
		return cmp.Or(
			-cmp.Compare(min(w.zones[a.Zone], 1), min(w.zones[b.Zone], 1)),
			strings.Compare(a.Zone, b.Zone),
			-cmp.Compare(min(w.racks[rackOf(a)], 1), min(w.racks[rackOf(b)], 1)),
			strings.Compare(a.Rack, b.Rack),
			strings.Compare(a.ID, b.ID))
	})
	return all
}

func (w *waveRound) mayDrain(p *poolRound, inst *pools.Instance) (HaltReason, bool) {
	window := w.state.Pools[p.spec.Name].Window
	switch {
	case w.draining >= w.in.parallel():
		return HaltParallel, false
	case p.serving <= p.budget:
		return HaltBudget, false
	case len(w.zones) > 0 && (len(w.zones) > 1 || w.zones[inst.Zone] == 0):
		return HaltOtherDomain, false
	case p.draining >= window:
		return "", false
	case window <= rackWindow && p.drainingRack != "" && p.drainingRack != rackOf(inst):
		return HaltOtherDomain, false
	}
	return "", true
}

func (w *waveRound) beginDrain(p *poolRound, inst *pools.Instance) {
	revision := p.spec.Maintenance.Revision
	p.serving--
	p.draining++
	p.drainingRack = rackOf(inst)
	w.draining++
	w.zones[inst.Zone]++
	w.racks[p.drainingRack]++
	w.out.Drains = append(w.out.Drains, Drain{
		Instance: inst.ID, Pool: inst.Pool, Revision: revision,
		Detail: fmt.Sprintf("revision %d to %d, %d of %d in window, %d serving, budget %d",
			inst.Revision, revision, p.draining, w.state.Pools[inst.Pool].Window, p.serving, p.budget),
	})
}

// addHalt records the reason why a pool begins no further drain, unless one is
// recorded already.
func (d *Decision) addHalt(p *poolRound, reason HaltReason) {
	if reason == "" {
		return
	}
	for _, h := range d.Halts {
		if h.Pool == p.spec.Name {
			return
		}
	}
	d.Halts = append(d.Halts, Halt{Pool: p.spec.Name, Reason: reason})
}

// requestSpares requests spares for pools whose budget equals their count, as
// no drain could begin there otherwise. The request stands until the pool's
// wave is finished, so that the spare isn't released and requested again for
// each instance.
//
// Limits: waves hold at most as many spares as concurrent drains are allowed,
// since more would be idle and missing after the loss of a failure domain.
// Pools later in the order get their spares when earlier pools have finished.
// Each pool first gets the one spare without which it can't drain. Further
// spares, up to Limits.WaveSpares, make waves faster; they are assigned only
// after every pool has its first one, as a growing window would otherwise take
// back the spare that another pool has just received.
func (w *waveRound) requestSpares() {
	sparesLeft, extraLeft := w.in.parallel(), w.in.Limits.WaveSpares
	counts := make([]int, len(w.pools))
	for i, p := range w.pools {
		if w.canHoldSpares(p) {
			counts[i] = min(max(0, 1-p.headroom()), sparesLeft)
			sparesLeft -= counts[i]
		}
	}
	for i, p := range w.pools {
		if w.canHoldSpares(p) {
			useful := min(len(p.pending)+p.draining, w.state.Pools[p.spec.Name].Window) - p.headroom() - counts[i]
			more := min(max(0, useful), extraLeft, sparesLeft)
			counts[i] += more
			sparesLeft, extraLeft = sparesLeft-more, extraLeft-more
		}
		if counts[i] > 0 {
			w.out.NeedSpare = append(w.out.NeedSpare, NeedSpare{Pool: p.spec.Name, Count: counts[i]})
		}
	}
}

// canHoldSpares reports whether the pool has an unfinished wave that may use
// spares. A pool that lists its instances by id can't hold others.
func (w *waveRound) canHoldSpares(p *poolRound) bool {
	return len(p.pending)+p.draining > 0 && p.halt == "" && len(p.spec.Instances.IDs) == 0
}

// headroom returns how many instances above its budget the full pool has.
func (p *poolRound) headroom() int { return p.spec.Instances.Count - p.budget }

func (w *waveRound) decision() Decision {
	w.out.State = w.state
	return w.out
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
