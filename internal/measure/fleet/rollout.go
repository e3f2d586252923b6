package fleet

import (
	"cmp"
	"fmt"

	"cyclamenwheel/internal/maintenance"
	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/pools"
)

var (
	rolloutCounts = []int{8, 9, 9, 10, 11}
	// shiftedCounts take 8 instances from two pools and give them to two.
	shiftedCounts = []int{12, 12, 9, 6, 8}
)

// measureRollout compares how many rounds a manifest takes to be in force.
func measureRollout(r report) {
	r.line("## Roll-out time")
	r.line("")
	r.line("Rounds until a manifest is fully in force; a move or drain takes %d rounds. Pools of 8, 9, 9, 10", actRounds)
	r.line("and 11, each with a budget of all but one.")
	r.line("")
	r.line("| deployment | change | planner | rounds | moves | budgets broken |")
	r.line("|---|---|---|---|---|---|")
	for _, d := range both {
		shiftLine(r, d, "minimal, 16 in flight", 0)
		shiftLine(r, d, "one at a time", 1)
		waveLine(r, d, "waves, 8 parallel", maintenance.Waves{}, 8)
		waveLine(r, d, "waves, 4 parallel", maintenance.Waves{}, 4)
		waveLine(r, d, "fixed batches of 4", maintenance.FixedBatches{Size: 4}, 4)
		waveLine(r, d, "one at a time", maintenance.FixedBatches{Size: 1}, 4)
	}
	r.line("")
}

func shiftLine(r report, d deployment, name string, inFlight int) {
	w := newWorld(d, wanted(rolloutCounts, allButOne))
	w.settle()
	w.limits = pools.Limits{MaxMovesInFlight: inFlight}
	w.moves, w.broken = 0, 0
	w.m = wanted(shiftedCounts, allButOne)
	rounds := w.settle()
	r.line("| %s | 7 instances change pool | %s | %d | %d | %d |", d.name, name, rounds, w.moves, w.broken)
}

func waveLine(r report, d deployment, name string, waves maintenance.Decider, parallel int) {
	w := newWorld(d, wanted(rolloutCounts, allButOne))
	w.settle()
	w.waves, w.moves, w.broken = waves, 0, 0
	w.raise(parallel)
	rounds := w.settle()
	r.line("| %s | new revision of all pools | %s | %d | %d | %d |", d.name, name, rounds, w.moves, w.broken)
}

// raise publishes a maintenance revision for all pools.
func (w *world) raise(parallel int) {
	w.m.Buffer.WaveParallel = parallel
	for i := range w.m.Pools {
		w.m.Pools[i].Maintenance.Revision++
	}
}

// measureWaveCurve shows what a larger bound on drains buys and costs.
func measureWaveCurve(r report) {
	r.line("## WaveParallel: roll-out time against spare held")
	r.line("")
	r.line("A new revision of all pools. The spare needed covers the loss of a rack during the wave, beside what")
	r.line("the fleet has outside the worst rack. Lent: waves may also use spares that the loss of a rack doesn't")
	r.line("need, to go faster.")
	r.line("")
	r.line("| deployment | budget | WaveParallel | lent | rounds | spare needed | in the fleet | asked for by waves | moves | budgets broken |")
	r.line("|---|---|---|---|---|---|---|---|---|---|")
	for _, d := range both {
		for _, b := range budgetRules[:2] {
			for _, parallel := range []int{1, 2, 4, 8} {
				curveLine(r, d, b, parallel, false)
				curveLine(r, d, b, parallel, true)
			}
		}
	}
	r.line("")
}

func curveLine(r report, d deployment, b budgetRule, parallel int, lend bool) {
	w := newWorld(d, wanted(rolloutCounts, b.of))
	w.settle()
	w.m.Buffer.Survive = manifest.DomainRack
	alone := pools.Spare(w.poolsInput())
	w.moves, w.broken = 0, 0
	w.raise(parallel)
	need := pools.Spare(w.poolsInput())
	if lend {
		w.spares = max(0, alone.Held-alone.Needed)
	}
	rounds := w.settle()
	finished := fmt.Sprint(rounds)
	if w.behind() > 0 {
		finished = fmt.Sprintf("never: %d left", w.behind())
	}
	r.line("| %s | %s | %d | %d | %s | %d | %d | %d | %d | %d |", d.name, b.name, parallel, w.spares,
		finished, need.Needed, alone.Held, w.extras, w.moves, w.broken)
}

// behind counts instances that don't have their pool's revision.
func (w *world) behind() int {
	revision := map[string]int{}
	for _, p := range w.m.Pools {
		revision[p.Name] = p.Maintenance.Revision
	}
	n := 0
	for _, inst := range w.instances {
		n += max(0, cmp.Compare(revision[inst.Pool], inst.Revision))
	}
	return n
}
