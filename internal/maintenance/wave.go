package maintenance

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/pools"
)

// poolWork is one pool's part of the round.
type poolWork struct {
	spec     *manifest.Pool
	budget   int
	serving  int
	members  int
	draining int
	pending  []*pools.Instance
	halt     HaltReason
	cause    string
	// rack is the one that the first drains of the wave are inside of.
	rack string
}

// wave is the working state of one round.
type wave struct {
	in     Input
	state  WaveState
	byID   map[string]*pools.Instance
	pools  []*poolWork
	byName map[string]*poolWork
	// zones counts drains under way by zone, those that failed left out.
	zones    map[string]int
	racks    map[string]int
	draining int
	out      Decision
}

func newWave(in Input) *wave {
	w := &wave{
		in:     in,
		state:  in.State.clone(),
		byID:   make(map[string]*pools.Instance, len(in.Instances)),
		byName: map[string]*poolWork{},
		zones:  map[string]int{},
		racks:  map[string]int{},
	}
	budget := pools.Budget(in.Manifest)
	for i := range in.Manifest.Pools {
		spec := &in.Manifest.Pools[i]
		p := &poolWork{spec: spec, budget: budget[spec.Name], serving: -in.Reserved[spec.Name]}
		w.pools = append(w.pools, p)
		w.byName[spec.Name] = p
	}
	for _, inst := range in.Instances {
		w.byID[inst.ID] = inst
		w.tally(inst)
	}
	return w
}

func (w *wave) tally(inst *pools.Instance) {
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

// observe compares the drains that the planner remembers with the fold: which
// came back, which didn't, and which it doesn't know because another planner
// began them.
func (w *wave) observe() {
	for _, p := range w.pools {
		name, revision := p.spec.Name, p.spec.Maintenance.Revision
		if pw := w.state.Pools[name]; pw.Revision != revision || pw.Window == 0 {
			w.state.Pools[name] = PoolWave{Revision: revision, Window: firstWindow}
		}
	}
	for _, id := range sortedKeys(w.state.Draining) {
		w.observeDrained(id, w.state.Draining[id])
	}
	for id, f := range w.state.Failed {
		inst := w.byID[id]
		stuck := inst != nil && inst.Phase == pools.PhaseDraining
		// A stuck instance is kept in mind even under a higher revision: taken
		// for a fresh drain, it would halt that revision's wave as well.
		if w.recovered(id, f) && !stuck {
			delete(w.state.Failed, id)
		}
	}
	for _, inst := range w.in.Instances {
		if inst.Phase == pools.PhaseDraining {
			w.observeDraining(inst)
		}
	}
}

// observeDrained settles a drain that was under way in the round before.
func (w *wave) observeDrained(id string, d Drained) {
	inst := w.byID[id]
	switch {
	case inst == nil || inst.Phase == pools.PhaseDown:
		w.fail(id, d, HaltLost)
	case inst.Phase == pools.PhaseDraining:
		if w.in.NowMillis-d.SeenMillis > w.in.returnLimit().Milliseconds() {
			w.fail(id, d, HaltNotBack)
		}
	case inst.Phase == pools.PhaseServing && inst.Revision < d.Revision:
		w.fail(id, d, HaltBadReturn)
	default:
		w.succeed(id, d)
	}
}

func (w *wave) fail(id string, d Drained, reason HaltReason) {
	delete(w.state.Draining, id)
	w.state.Failed[id] = Failure{Pool: d.Pool, Revision: d.Revision, Reason: reason}
}

// succeed widens the window by one for each return, which doubles the number
// drained from one round trip to the next.
func (w *wave) succeed(id string, d Drained) {
	delete(w.state.Draining, id)
	pw := w.state.Pools[d.Pool]
	if pw.Revision == d.Revision {
		pw.Returned++
		pw.Window = min(pw.Window+1, w.in.parallel())
		w.state.Pools[d.Pool] = pw
	}
}

// recovered tells whether a failure no longer stands: the instance serves with
// the revision, or the operator has published a higher one or taken the pool
// away.
func (w *wave) recovered(id string, f Failure) bool {
	p := w.byName[f.Pool]
	if p == nil || p.spec.Maintenance.Revision > f.Revision {
		return true
	}
	inst := w.byID[id]
	return inst != nil && inst.Phase == pools.PhaseServing && inst.Revision >= f.Revision
}

func (w *wave) observeDraining(inst *pools.Instance) {
	if _, failed := w.state.Failed[inst.ID]; failed {
		return
	}
	if _, known := w.state.Draining[inst.ID]; !known {
		revision := 0
		if p := w.byName[inst.Pool]; p != nil {
			revision = p.spec.Maintenance.Revision
		}
		w.state.Draining[inst.ID] = Drained{Pool: inst.Pool, Revision: revision, SeenMillis: w.in.NowMillis}
	}
	w.zones[inst.Zone]++
	w.racks[rackOf(inst)]++
	if p := w.byName[inst.Pool]; p != nil {
		p.rack = rackOf(inst)
	}
}

func rackOf(inst *pools.Instance) string { return inst.Zone + "/" + inst.Rack }

// halts marks the pools whose wave must not go on.
func (w *wave) halts() {
	failed := map[string]bool{}
	for _, id := range sortedKeys(w.state.Failed) {
		f := w.state.Failed[id]
		if w.recovered(id, f) {
			continue
		}
		failed[f.Pool] = true
		if p := w.byName[f.Pool]; p != nil && p.halt == "" {
			p.halt, p.cause = f.Reason, id
		}
	}
	for _, p := range w.pools {
		switch {
		case p.spec.Maintenance.Paused:
			p.halt, p.cause = HaltPaused, ""
		case p.halt == "" && len(failed) >= haltAllAfter:
			p.halt = HaltOtherPools
		case p.halt == "" && len(p.spec.Instances.IDs) > 0 && len(p.spec.Instances.IDs) <= p.budget:
			p.halt = HaltNoHeadroom
		}
	}
}

// drain begins drains zone by zone, rack by rack, where every limit allows it.
func (w *wave) drain() {
	for _, inst := range w.candidates() {
		p := w.byName[inst.Pool]
		if p.halt != "" {
			continue
		}
		if reason, ok := w.mayDrain(p, inst); !ok {
			w.out.note(p, reason)
			continue
		}
		w.begin(p, inst)
	}
	for _, p := range w.pools {
		if p.halt != "" && len(p.pending)+p.draining > 0 {
			w.out.Halts = append(w.out.Halts, Halt{Pool: p.spec.Name, Reason: p.halt, Instance: p.cause})
		}
	}
}

// candidates are in the order in which they are to be drained: the zone and
// the racks where drains are under way first, so that one domain is finished
// before the next is touched.
func (w *wave) candidates() []*pools.Instance {
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

func (w *wave) mayDrain(p *poolWork, inst *pools.Instance) (HaltReason, bool) {
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
	case window <= rackWindow && p.rack != "" && p.rack != rackOf(inst):
		return HaltOtherDomain, false
	}
	return "", true
}

func (w *wave) begin(p *poolWork, inst *pools.Instance) {
	revision := p.spec.Maintenance.Revision
	p.serving--
	p.draining++
	p.rack = rackOf(inst)
	w.draining++
	w.zones[inst.Zone]++
	w.racks[p.rack]++
	w.out.Drains = append(w.out.Drains, Drain{
		Instance: inst.ID, Pool: inst.Pool, Revision: revision,
		Detail: fmt.Sprintf("revision %d to %d, %d of %d in window, %d serving, budget %d",
			inst.Revision, revision, p.draining, w.state.Pools[inst.Pool].Window, p.serving, p.budget),
	})
}

// note keeps the first reason for which a pool begins no further drain.
func (d *Decision) note(p *poolWork, reason HaltReason) {
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

// needSpares asks for spares where a pool's count is its budget, so that a
// drain can never begin. The need stands until the pool's wave is finished, so
// that the spare isn't released and taken in again for each instance.
//
// Limits: waves hold no more spares than they may drain instances, as more
// would be taken from what the loss of a domain needs and wait idle. Pools
// whose turn hasn't come get theirs from those that have finished. Beyond the
// one without which nothing moves, spares are lent as far as the planner
// allows: they buy a faster wave. They come after the need of every pool, or a
// growing window would take back the spare that another pool just got.
func (w *wave) needSpares() {
	left, lent := w.in.parallel(), w.in.Limits.WaveSpares
	counts := make([]int, len(w.pools))
	for i, p := range w.pools {
		if w.mayHoldSpares(p) {
			counts[i] = min(max(0, 1-p.slack()), left)
			left -= counts[i]
		}
	}
	for i, p := range w.pools {
		if w.mayHoldSpares(p) {
			useful := min(len(p.pending)+p.draining, w.state.Pools[p.spec.Name].Window) - p.slack() - counts[i]
			more := min(max(0, useful), lent, left)
			counts[i] += more
			left, lent = left-more, lent-more
		}
		if counts[i] > 0 {
			w.out.NeedSpare = append(w.out.NeedSpare, NeedSpare{Pool: p.spec.Name, Count: counts[i]})
		}
	}
}

// mayHoldSpares: a pool that lists its instances by id can't hold others.
func (w *wave) mayHoldSpares(p *poolWork) bool {
	return len(p.pending)+p.draining > 0 && p.halt == "" && len(p.spec.Instances.IDs) == 0
}

// slack is how many instances the pool has above its budget when it is full.
func (p *poolWork) slack() int { return p.spec.Instances.Count - p.budget }

func (w *wave) decision() Decision {
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
