package pools_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/pools"
)

// fleet returns n instances of one pool, four to a rack, with the racks
// distributed over the zones.
func fleet(prefix, pool string, n, zones int) []*pools.Instance {
	var all []*pools.Instance
	for i := range n {
		rack := i / 4
		all = append(all, &pools.Instance{
			ID: fmt.Sprintf("%s%03d", prefix, i), Pool: pool, Phase: pools.PhaseServing,
			Zone: fmt.Sprintf("z%d", rack%zones), Rack: fmt.Sprintf("%s-r%d", prefix, rack),
			Cores: 16, MemoryMB: 65536,
		})
	}
	return all
}

func poolOfCount(name string, count int) manifest.Pool {
	return manifest.Pool{Name: name, Instances: manifest.Selection{Count: count}}
}

func service(pool string, minAvailable int) manifest.Service {
	return manifest.Service{Name: "svc-" + pool, Pool: pool, MinAvailable: minAvailable}
}

// applyMoves completes all moves of a decision at once.
func applyMoves(all []*pools.Instance, d pools.Decision) {
	for _, m := range d.Moves {
		for _, inst := range all {
			if inst.ID == m.Instance {
				inst.Pool = m.To
			}
		}
	}
}

func count(all []*pools.Instance, pool string) int {
	n := 0
	for _, inst := range all {
		if inst.Pool == pool && inst.Phase == pools.PhaseServing {
			n++
		}
	}
	return n
}

var _ = Describe("Deciding moves", func() {
	It("fills pools from the spares, spread over zones and racks, and then plans nothing more", func() {
		m := &manifest.Manifest{Pools: []manifest.Pool{poolOfCount("a", 8), poolOfCount("b", 4)}}
		all := fleet("w", "", 16, 4)
		in := pools.Input{Manifest: m, Instances: all}
		d := pools.Decide(in)
		Expect(d.Moves).To(HaveLen(pools.LowerBound(in)))
		applyMoves(all, d)
		zones, racks := map[string]int{}, map[string]int{}
		for _, inst := range all {
			if inst.Pool == "a" {
				zones[inst.Zone]++
				racks[inst.Rack]++
			}
		}
		Expect(zones).To(Equal(map[string]int{"z0": 2, "z1": 2, "z2": 2, "z3": 2}))
		Expect(racks).To(HaveLen(4))
		Expect(pools.Decide(in)).To(Equal(pools.Decision{}))
	})

	It("moves surplus directly to the pool that is short", func() {
		m := &manifest.Manifest{Pools: []manifest.Pool{poolOfCount("a", 6), poolOfCount("b", 6)}}
		all := append(fleet("a", "a", 8, 4), fleet("b", "b", 4, 4)...)
		all = append(all, fleet("s", "", 4, 4)...)
		d := pools.Decide(pools.Input{Manifest: m, Instances: all})
		Expect(d.Moves).To(HaveLen(2))
		for _, move := range d.Moves {
			Expect(move.From).To(Equal("a"))
			Expect(move.To).To(Equal("b"))
		}
	})

	// An operator lists two instances of a pool at its budget for another pool.
	// Moving both at once would leave the first pool's service below its
	// budget. A replacement for each listed instance moves in first; then the
	// listed ones move.
	It("moves exactly the listed instances, within the budget of their pool", func() {
		m := &manifest.Manifest{
			Pools: []manifest.Pool{
				poolOfCount("a", 8),
				{Name: "b", Instances: manifest.Selection{IDs: []string{"a000", "a001"}}},
			},
			Services: []manifest.Service{service("a", 8)},
		}
		all := append(fleet("a", "a", 8, 4), fleet("s", "", 4, 4)...)
		in := pools.Input{Manifest: m, Instances: all}
		d := pools.Decide(in)
		Expect(d.Moves).To(HaveLen(2))
		Expect(d.Waits).To(HaveLen(2))
		Expect(d.Waits[0].Reason).To(Equal(pools.WaitBudget))
		applyMoves(all, d)
		d = pools.Decide(in)
		Expect([]string{d.Moves[0].Instance, d.Moves[1].Instance}).To(ConsistOf("a000", "a001"))
		applyMoves(all, d)
		Expect(pools.Decide(in).Moves).To(BeEmpty())
		Expect(count(all, "a")).To(Equal(8))
	})

	// Two instances of a pool at its budget are lost while the bound on moves
	// is one, so its callers see fewer endpoints until spares have moved in.
	// Both repairs begin in the same round, because neither the budget nor the
	// bound protects a spare.
	It("begins all repairs from the spares at once", func() {
		m := &manifest.Manifest{
			Pools:    []manifest.Pool{poolOfCount("a", 8)},
			Services: []manifest.Service{service("a", 8)},
		}
		all := append(fleet("a", "a", 8, 4), fleet("s", "", 4, 4)...)
		all[0].Phase, all[1].Phase = pools.PhaseDown, pools.PhaseDown
		d := pools.Decide(pools.Input{Manifest: m, Instances: all, Limits: pools.Limits{MaxMovesInFlight: 1}})
		Expect(d.Moves).To(HaveLen(2))
		Expect(d.Moves[0].Reason).To(Equal(pools.MoveReplaceLost))
		Expect(d.Moves[0].From).To(BeEmpty())
	})

	It("repairs from the spares even where another pool has surplus", func() {
		m := &manifest.Manifest{Pools: []manifest.Pool{poolOfCount("a", 4), poolOfCount("b", 3)}}
		all := append(fleet("a", "a", 4, 4), fleet("b", "b", 4, 4)...)
		all = append(all, fleet("s", "", 1, 4)...)
		all[0].Phase = pools.PhaseDown
		Expect(pools.Decide(pools.Input{Manifest: m, Instances: all}).Moves[0].Instance).To(Equal("s000"))
	})

	It("fills a pool by a chain if its selector allows no spare", func() {
		restricted := poolOfCount("b", 2)
		restricted.Instances.Select = &manifest.Selector{Zones: []string{"z0"}}
		m := &manifest.Manifest{Pools: []manifest.Pool{poolOfCount("a", 4), restricted}}
		all := fleet("a", "a", 4, 1)
		spares := fleet("s", "", 2, 1)
		for _, s := range spares {
			s.Zone = "z1"
		}
		all = append(all, spares...)
		in := pools.Input{Manifest: m, Instances: all}
		d := pools.Decide(in)
		Expect(d.Moves).To(HaveLen(4))
		Expect(d.Shortfalls).To(BeEmpty())
		applyMoves(all, d)
		Expect(pools.Decide(in)).To(Equal(pools.Decision{}))
	})

	// After losses the fleet is too small for every pool's count. Callers of b
	// would be refused while a still has more than its budget. Instances go to
	// the pool below its budget, from the spares and then from a.
	It("shares a shortage by budgets, not by counts", func() {
		m := &manifest.Manifest{
			Pools:    []manifest.Pool{poolOfCount("a", 8), poolOfCount("b", 8)},
			Services: []manifest.Service{service("a", 4), service("b", 7)},
		}
		all := append(fleet("a", "a", 7, 4), fleet("b", "b", 4, 4)...)
		all = append(all, fleet("s", "", 1, 4)...)
		in := pools.Input{Manifest: m, Instances: all}
		d := pools.Decide(in)
		Expect(d.Moves).To(HaveLen(3))
		applyMoves(all, d)
		Expect(count(all, "a")).To(Equal(5))
		Expect(count(all, "b")).To(Equal(7))
		Expect(pools.Decide(in).Moves).To(BeEmpty())
	})

	It("reports which pools it can't fill and why", func() {
		restricted := poolOfCount("b", 2)
		restricted.Instances.Select = &manifest.Selector{Accelerators: 1}
		m := &manifest.Manifest{Pools: []manifest.Pool{
			poolOfCount("a", 3), restricted, {Name: "c", Instances: manifest.Selection{IDs: []string{"nowhere"}}},
		}}
		d := pools.Decide(pools.Input{Manifest: m, Instances: fleet("s", "", 4, 4)})
		Expect(d.Shortfalls).To(ConsistOf(
			pools.Shortfall{Pool: "b", Missing: 2, Reason: pools.ShortSelector},
			pools.Shortfall{Pool: "c", Missing: 1, Reason: pools.ShortListedUnknown}))
	})
})

var _ = Describe("Computing the spares needed", func() {
	It("counts the worst single domain, not the worst one of each pool", func() {
		m := &manifest.Manifest{
			Pools:    []manifest.Pool{poolOfCount("a", 4), poolOfCount("b", 4)},
			Services: []manifest.Service{service("a", 3), service("b", 3)},
			Buffer:   manifest.Buffer{Survive: manifest.DomainRack},
		}
		all := append(fleet("a", "a", 4, 1), fleet("b", "b", 4, 1)...)
		all = append(all, fleet("s", "", 2, 1)...)
		need := pools.Spare(pools.Input{Manifest: m, Instances: all})
		Expect(need.Needed).To(Equal(3))
		Expect(need.Held).To(Equal(2))
		Expect(need.Missing()).To(Equal(1))
		m.Buffer.WaveParallel = 4
		need = pools.Spare(pools.Input{Manifest: m, Instances: all})
		Expect(need.Needed).To(Equal(4), "the drained instance above the budget needs a spare, as the rack's loss takes it")
		Expect(need.Wave).To(Equal(1))
	})
})
