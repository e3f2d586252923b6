package fleet

import (
	"cyclamenwheel/internal/maintenance"
	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/pools"
)

const (
	// actRounds is how many rounds a move or drain takes.
	actRounds = 2
	// roundMillis is the time that one round stands for.
	roundMillis = 1000
	// maxRounds ends a series that does not settle.
	maxRounds = 2000
)

// world carries decisions out: an instance that moves or drains is away for
// some rounds and then back.
type world struct {
	instances []*pools.Instance
	byID      map[string]*pools.Instance
	m         *manifest.Manifest
	planner   pools.Planner
	waves     maintenance.Decider
	limits    pools.Limits
	spares    int
	state     maintenance.WaveState
	backAt    map[string]int
	round     int
	moves     int
	// broken counts acts that left a pool below its budget.
	broken int
	// extras is the most spares that waves held at a time.
	extras int
}

func newWorld(d deployment, m *manifest.Manifest) *world {
	w := &world{
		instances: d.instances(), byID: map[string]*pools.Instance{}, m: m,
		planner: pools.SharedSpares{}, waves: maintenance.Waves{}, backAt: map[string]int{},
	}
	for _, inst := range w.instances {
		w.byID[inst.ID] = inst
	}
	return w
}

func (w *world) poolsInput() pools.Input {
	return pools.Input{Manifest: w.m, Instances: w.instances, Limits: w.limits}
}

func (w *world) waveInput() maintenance.Input {
	return maintenance.Input{
		Manifest: w.m, Instances: w.instances, State: w.state,
		NowMillis: int64(w.round) * roundMillis, Limits: maintenance.Limits{WaveSpares: w.spares},
	}
}

// step runs one round, and tells whether anything is still under way.
func (w *world) step() bool {
	w.round++
	w.bringBack()
	in, waves := w.poolsInput(), w.waveInput()
	in.Extra = maintenance.SparesNeeded(waves)
	moves := w.planner.Decide(in)
	w.beginMoves(moves)
	waves.Reserved = nil // the moves show in the instances already
	drains := w.waves.Decide(waves)
	w.state = drains.State
	w.beginDrains(drains)
	held := 0
	for _, n := range drains.NeedSpare {
		held += n.Count
	}
	w.extras = max(w.extras, held)
	return len(w.backAt) > 0 || len(moves.Moves)+len(drains.Drains) > 0
}

func (w *world) bringBack() {
	revisions := map[string]int{}
	for _, p := range w.m.Pools {
		revisions[p.Name] = p.Maintenance.Revision
	}
	for id, round := range w.backAt {
		if round > w.round {
			continue
		}
		delete(w.backAt, id)
		inst := w.byID[id]
		if inst.Phase == pools.PhaseDown {
			continue
		}
		if inst.Phase == pools.PhaseMoving {
			inst.Pool, inst.Target = inst.Target, ""
		}
		inst.Phase = pools.PhaseServing
		inst.Revision = max(inst.Revision, revisions[inst.Pool])
	}
}

func (w *world) beginMoves(d pools.Decision) {
	w.moves += len(d.Moves)
	for _, m := range d.Moves {
		inst := w.byID[m.Instance]
		inst.Phase, inst.Target = pools.PhaseMoving, m.To
		w.backAt[m.Instance] = w.round + actRounds
		w.check(m.From)
	}
}

func (w *world) beginDrains(d maintenance.Decision) {
	for _, drain := range d.Drains {
		w.byID[drain.Instance].Phase = pools.PhaseDraining
		w.backAt[drain.Instance] = w.round + actRounds
		w.check(drain.Pool)
	}
}

// check is made after each act that takes an instance out of a pool.
func (w *world) check(pool string) {
	if pool != "" && pools.Serving(w.instances)[pool] < pools.Budget(w.m)[pool] {
		w.broken++
	}
}

// settle runs rounds until nothing happens any more, and returns how many.
func (w *world) settle() int {
	from := w.round
	for w.step() && w.round-from < maxRounds {
	}
	return w.round - from
}

// lose takes down every instance that match names.
func (w *world) lose(match func(*pools.Instance) bool) {
	for _, inst := range w.instances {
		if match(inst) {
			inst.Phase, inst.Target = pools.PhaseDown, ""
		}
	}
}

// short counts the instances that pools miss to their budgets.
func (w *world) short() int {
	serving, short := pools.Serving(w.instances), 0
	for pool, budget := range pools.Budget(w.m) {
		short += max(0, budget-serving[pool])
	}
	return short
}
