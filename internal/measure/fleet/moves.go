package fleet

import (
	"math/rand/v2"

	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/pools"
)

// changes is how many events each series of moves has.
const changes = 200

// measureMoves compares moves with the least that any planner could do with.
func measureMoves(r report) {
	r.line("## Moves")
	r.line("")
	r.line("%d events for each line: a manifest with other pool sizes, an instance or a rack that is lost, and", changes)
	r.line("one that comes back. The bound is the least number of moves that any planner could do with.")
	r.line("")
	r.line("| deployment | selectors | planner | moves | bound | moves / bound | budgets broken |")
	r.line("|---|---|---|---|---|---|---|")
	for _, d := range both {
		for _, selectors := range []bool{false, true} {
			moveLine(r, d, selectors, "shared", pools.SharedSpares{})
			moveLine(r, d, selectors, "from scratch", pools.PerPoolSpares{})
		}
	}
	r.line("")
}

func moveLine(r report, d deployment, selectors bool, name string, planner pools.Planner) {
	rng := rand.New(rand.NewPCG(seed, 2))
	w := newWorld(d, wanted(drawCounts(rng, d.workers, 5), allButOne))
	w.settle()
	w.planner = planner
	w.settle()
	w.moves, w.broken = 0, 0
	bound := 0
	for range changes {
		w.event(rng, d, selectors)
		bound += pools.LowerBound(w.poolsInput())
		w.settle()
	}
	r.line("| %s | %t | %s | %d | %d | %.2f | %d |", d.name, selectors, name,
		w.moves, bound, float64(w.moves)/float64(bound), w.broken)
}

// event changes the manifest, takes instances down, or brings them all back.
func (w *world) event(rng *rand.Rand, d deployment, selectors bool) {
	lost := w.instances[rng.IntN(len(w.instances))]
	switch rng.IntN(6) {
	case 0, 1, 2:
		w.m = wanted(drawCounts(rng, d.workers, 5), allButOne)
		if selectors {
			w.m.Pools[0].Instances.Select = &manifest.Selector{Zones: []string{"z0", "z1"}}
			w.m.Pools[1].Instances.Select = &manifest.Selector{Zones: []string{"z1", "z2"}}
		}
	case 3:
		w.lose(func(inst *pools.Instance) bool { return inst == lost })
	case 4:
		w.lose(func(inst *pools.Instance) bool { return inst.Rack == lost.Rack })
	case 5:
		for _, inst := range w.instances {
			if inst.Phase == pools.PhaseDown {
				inst.Phase = pools.PhaseServing
			}
		}
	}
}
