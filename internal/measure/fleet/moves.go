package fleet

import (
	"math/rand/v2"

	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/pools"
)

// eventsPerSeries is the number of random events for each table row.
const eventsPerSeries = 200

// measureMoves compares the number of moves with the lower bound for any planner.
func measureMoves(r report) {
	r.line("## Moves")
	r.line("")
	r.line("%d events for each line: a manifest with other pool sizes, an instance or a rack that is lost, and", eventsPerSeries)
	r.line("one that comes back. The bound is the least number of moves that any planner could do with.")
	r.line("")
	r.line("| deployment | selectors | planner | moves | bound | moves / bound | budgets broken |")
	r.line("|---|---|---|---|---|---|---|")
	for _, d := range deployments {
		for _, selectors := range []bool{false, true} {
			writeMovesRow(r, d, selectors, "shared", pools.SharedSpares{})
			writeMovesRow(r, d, selectors, "from scratch", pools.PerPoolSpares{})
		}
	}
	r.line("")
}

func writeMovesRow(r report, d deployment, selectors bool, name string, planner pools.Planner) {
	rng := rand.New(rand.NewPCG(seed, 2))
	w := newWorld(d, newManifest(drawPoolSizes(rng, d.workers, 5), allButOne))
	w.runUntilIdle()
	w.planner = planner
	w.runUntilIdle()
	w.moves, w.budgetViolations = 0, 0
	bound := 0
	for range eventsPerSeries {
		w.applyRandomEvent(rng, d, selectors)
		bound += pools.LowerBound(w.poolsInput())
		w.runUntilIdle()
	}
	r.line("| %s | %t | %s | %d | %d | %.2f | %d |", d.name, selectors, name,
		w.moves, bound, float64(w.moves)/float64(bound), w.budgetViolations)
}

// applyRandomEvent changes the manifest, takes instances down, or brings all of them back.
func (w *world) applyRandomEvent(rng *rand.Rand, d deployment, selectors bool) {
	lost := w.instances[rng.IntN(len(w.instances))]
	switch rng.IntN(6) {
	case 0, 1, 2:
		w.m = newManifest(drawPoolSizes(rng, d.workers, 5), allButOne)
		if selectors {
			w.m.Pools[0].Instances.Select = &manifest.Selector{Zones: []string{"z0", "z1"}}
			w.m.Pools[1].Instances.Select = &manifest.Selector{Zones: []string{"z1", "z2"}}
		}
	case 3:
		w.takeDown(func(inst *pools.Instance) bool { return inst == lost })
	case 4:
		w.takeDown(func(inst *pools.Instance) bool { return inst.Rack == lost.Rack })
	case 5:
		for _, inst := range w.instances {
			if inst.Phase == pools.PhaseDown {
				inst.Phase = pools.PhaseServing
			}
		}
	}
}
