package fleet

import (
	"cyclamenwheel/internal/maintenance"
	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/pools"
)

const (
	// actionRounds is the number of rounds that a move or drain takes.
	actionRounds = 2
	// roundMillis is the simulated time of one round.
	roundMillis = 1000
	// maxRounds limits a run that never becomes idle.
	maxRounds = 2000
)

// world simulates a fleet that carries out the planners' decisions: an instance that moves or
// drains does not serve for actionRounds rounds and then serves again.
type world struct {
	instances      []*pools.Instance
	byID           map[string]*pools.Instance
	m              *manifest.Manifest
	planner        pools.Planner
	waves          maintenance.Decider
	limits         pools.Limits
	lendableSpares int
	state          maintenance.WaveState
	readyRound     map[string]int
	round          int
	moves          int
	// budgetViolations counts moves and drains that left a pool below its budget.
	budgetViolations int
	// maxWaveSpares is the largest number of spares that waves requested in one round.
	maxWaveSpares int
}

func newWorld(d deployment, m *manifest.Manifest) *world {
	w := &world{
		instances: d.instances(), byID: map[string]*pools.Instance{}, m: m,
		planner: pools.SharedSpares{}, waves: maintenance.Waves{}, readyRound: map[string]int{},
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
		NowMillis: int64(w.round) * roundMillis, Limits: maintenance.Limits{WaveSpares: w.lendableSpares},
	}
}

// runRound runs one planning round and reports whether any move or drain was started or is in
// progress.
func (w *world) runRound() bool {
	w.round++
	w.completeActions()
	in, waves := w.poolsInput(), w.waveInput()
	in.Extra = maintenance.SparesNeeded(waves)
	moves := w.planner.Decide(in)
	w.startMoves(moves)
	waves.Reserved = nil // the instances already show the moves
	drains := w.waves.Decide(waves)
	w.state = drains.State
	w.startDrains(drains)
	waveSpares := 0
	for _, n := range drains.NeedSpare {
		waveSpares += n.Count
	}
	w.maxWaveSpares = max(w.maxWaveSpares, waveSpares)
	return len(w.readyRound) > 0 || len(moves.Moves)+len(drains.Drains) > 0
}

func (w *world) completeActions() {
	revisions := map[string]int{}
	for _, p := range w.m.Pools {
		revisions[p.Name] = p.Maintenance.Revision
	}
	for id, round := range w.readyRound {
		if round > w.round {
			continue
		}
		delete(w.readyRound, id)
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

func (w *world) startMoves(d pools.Decision) {
	w.moves += len(d.Moves)
	for _, m := range d.Moves {
		inst := w.byID[m.Instance]
		inst.Phase, inst.Target = pools.PhaseMoving, m.To
		w.readyRound[m.Instance] = w.round + actionRounds
		w.checkBudget(m.From)
	}
}

func (w *world) startDrains(d maintenance.Decision) {
	for _, drain := range d.Drains {
		w.byID[drain.Instance].Phase = pools.PhaseDraining
		w.readyRound[drain.Instance] = w.round + actionRounds
		w.checkBudget(drain.Pool)
	}
}

// checkBudget counts a violation if the pool serves below its budget. It is called after each
// action that takes an instance out of a pool.
func (w *world) checkBudget(pool string) {
	if pool != "" && pools.Serving(w.instances)[pool] < pools.Budget(w.m)[pool] {
		w.budgetViolations++
	}
}

// runUntilIdle runs rounds until no action is in progress, at most maxRounds, and returns their
// number.
func (w *world) runUntilIdle() int {
	from := w.round
	for w.runRound() && w.round-from < maxRounds {
	}
	return w.round - from
}

// takeDown marks every matching instance as down.
func (w *world) takeDown(match func(*pools.Instance) bool) {
	for _, inst := range w.instances {
		if match(inst) {
			inst.Phase, inst.Target = pools.PhaseDown, ""
		}
	}
}

// missingInstances counts the instances that pools lack to meet their budgets.
func (w *world) missingInstances() int {
	serving, short := pools.Serving(w.instances), 0
	for pool, budget := range pools.Budget(w.m) {
		short += max(0, budget-serving[pool])
	}
	return short
}
