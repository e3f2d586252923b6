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
	// shiftedCounts differs from rolloutCounts: two pools grow by 7 instances in total and
	// two shrink by 7.
	shiftedCounts = []int{12, 12, 9, 6, 8}
)

// measureRollout compares how many rounds pass until a manifest is fully in force.
func measureRollout(r report) {
	r.line("## Roll-out time")
	r.line("")
	r.line("Rounds until a manifest is fully in force; a move or drain takes %d rounds. Pools of 8, 9, 9, 10", actionRounds)
	r.line("and 11, each with a budget of all but one.")
	r.line("")
	r.line("| deployment | change | planner | rounds | moves | budgets broken |")
	r.line("|---|---|---|---|---|---|")
	for _, d := range deployments {
		writePoolChangeRow(r, d, "minimal, 16 in flight", 0)
		writePoolChangeRow(r, d, "one at a time", 1)
		writeWaveRow(r, d, "waves, 8 parallel", maintenance.Waves{}, 8)
		writeWaveRow(r, d, "waves, 4 parallel", maintenance.Waves{}, 4)
		writeWaveRow(r, d, "fixed batches of 4", maintenance.FixedBatches{Size: 4}, 4)
		writeWaveRow(r, d, "one at a time", maintenance.FixedBatches{Size: 1}, 4)
	}
	r.line("")
}

func writePoolChangeRow(r report, d deployment, name string, inFlight int) {
	w := newWorld(d, newManifest(rolloutCounts, allButOne))
	w.runUntilIdle()
	w.limits = pools.Limits{MaxMovesInFlight: inFlight}
	w.moves, w.budgetViolations = 0, 0
	w.m = newManifest(shiftedCounts, allButOne)
	rounds := w.runUntilIdle()
	r.line("| %s | 7 instances change pool | %s | %d | %d | %d |", d.name, name, rounds, w.moves, w.budgetViolations)
}

func writeWaveRow(r report, d deployment, name string, waves maintenance.Decider, parallel int) {
	w := newWorld(d, newManifest(rolloutCounts, allButOne))
	w.runUntilIdle()
	w.waves, w.moves, w.budgetViolations = waves, 0, 0
	w.raiseRevisions(parallel)
	rounds := w.runUntilIdle()
	r.line("| %s | new revision of all pools | %s | %d | %d | %d |", d.name, name, rounds, w.moves, w.budgetViolations)
}

// raiseRevisions raises the maintenance revision of all pools.
func (w *world) raiseRevisions(parallel int) {
	w.m.Buffer.WaveParallel = parallel
	for i := range w.m.Pools {
		w.m.Pools[i].Maintenance.Revision++
	}
}

// measureWaveCurve measures how the maximum of parallel drains affects the roll-out time and
// the spares needed.
func measureWaveCurve(r report) {
	r.line("## WaveParallel: roll-out time against spare held")
	r.line("")
	r.line("A new revision of all pools. The spare needed covers the loss of a rack during the wave, beside what")
	r.line("the fleet has outside the worst rack. Lent: waves may also use spares that the loss of a rack doesn't")
	r.line("need, to go faster.")
	r.line("")
	r.line("| deployment | budget | WaveParallel | lent | rounds | spare needed | in the fleet | asked for by waves | moves | budgets broken |")
	r.line("|---|---|---|---|---|---|---|---|---|---|")
	for _, d := range deployments {
		for _, b := range budgetPolicies[:2] {
			for _, parallel := range []int{1, 2, 4, 8} {
				writeWaveCurveRow(r, d, b, parallel, false)
				writeWaveCurveRow(r, d, b, parallel, true)
			}
		}
	}
	r.line("")
}

func writeWaveCurveRow(r report, d deployment, b budgetPolicy, parallel int, lendSpares bool) {
	w := newWorld(d, newManifest(rolloutCounts, b.budget))
	w.runUntilIdle()
	w.m.Buffer.Survive = manifest.DomainRack
	spareWithoutWave := pools.Spare(w.poolsInput())
	w.moves, w.budgetViolations = 0, 0
	w.raiseRevisions(parallel)
	spareInWave := pools.Spare(w.poolsInput())
	if lendSpares {
		w.lendableSpares = max(0, spareWithoutWave.Held-spareWithoutWave.Needed)
	}
	rounds := w.runUntilIdle()
	finished := fmt.Sprint(rounds)
	if w.countOutdated() > 0 {
		finished = fmt.Sprintf("never: %d left", w.countOutdated())
	}
	r.line("| %s | %s | %d | %d | %s | %d | %d | %d | %d | %d |", d.name, b.name, parallel, w.lendableSpares,
		finished, spareInWave.Needed, spareWithoutWave.Held, w.maxWaveSpares, w.moves, w.budgetViolations)
}

// countOutdated counts the instances below their pool's maintenance revision.
func (w *world) countOutdated() int {
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
