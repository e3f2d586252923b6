package maintenance_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/maintenance"
	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/pools"
)

// bench is a fleet whose drains a spec ends as it likes.
type bench struct {
	in  maintenance.Input
	now int64
}

func newBench(n, zones, least, parallel int) *bench {
	b := &bench{}
	b.in.Manifest = &manifest.Manifest{
		Pools: []manifest.Pool{{
			Name: "a", Instances: manifest.Selection{Count: n},
			Maintenance: manifest.Maintenance{Revision: 1},
		}},
		Services: []manifest.Service{{Name: "s", Pool: "a", MinAvailable: least}},
		Buffer:   manifest.Buffer{WaveParallel: parallel},
	}
	for i := range n {
		rack := i / 4
		b.in.Instances = append(b.in.Instances, &pools.Instance{
			ID: fmt.Sprintf("a%03d", i), Pool: "a", Phase: pools.PhaseServing,
			Zone: fmt.Sprintf("z%d", rack%zones), Rack: fmt.Sprintf("r%d", rack),
		})
	}
	return b
}

// round decides, and begins the drains.
func (b *bench) round() maintenance.Decision {
	b.now += 1000
	b.in.NowMillis = b.now
	d := maintenance.Decide(b.in)
	b.in.State = d.State
	for _, drain := range d.Drains {
		b.get(drain.Instance).Phase = pools.PhaseDraining
	}
	return d
}

func (b *bench) get(id string) *pools.Instance {
	for _, inst := range b.in.Instances {
		if inst.ID == id {
			return inst
		}
	}
	return nil
}

// bring all draining instances back, with the revision.
func (b *bench) bringBack() {
	for _, inst := range b.in.Instances {
		if inst.Phase == pools.PhaseDraining {
			inst.Phase, inst.Revision = pools.PhaseServing, b.in.Manifest.Pools[0].Maintenance.Revision
		}
	}
}

// wave runs rounds until nothing is left to do, and returns the sizes.
func (b *bench) wave() []int {
	var sizes []int
	for range 100 {
		d := b.round()
		if len(d.Drains) > 0 {
			sizes = append(sizes, len(d.Drains))
		}
		if len(d.Drains) == 0 && len(d.Halts) == 0 {
			break
		}
		b.round()
		b.bringBack()
	}
	return sizes
}

var _ = Describe("Deciding drains", func() {
	It("starts with one and doubles while instances come back, zone by zone", func() {
		b := newBench(16, 2, 4, 8)
		Expect(b.wave()).To(Equal([]int{1, 2, 4, 1, 8}))
	})

	// A revision leaves the first instance that gets it unable to start. Callers
	// see one endpoint less and nothing else: the wave halts there, until the
	// operator publishes a higher revision.
	It("halts at the first instance that is lost, until the next revision", func() {
		b := newBench(16, 2, 4, 8)
		first := b.round().Drains[0].Instance
		b.round()
		b.get(first).Phase = pools.PhaseDown
		d := b.round()
		Expect(d.Drains).To(BeEmpty())
		Expect(d.Halts).To(ConsistOf(maintenance.Halt{Pool: "a", Reason: maintenance.HaltLost, Instance: first}))
		b.in.Manifest.Pools[0].Maintenance.Revision = 2
		Expect(b.round().Drains).To(HaveLen(1))
	})

	It("halts on one that is not back in time, and resumes when it is", func() {
		b := newBench(16, 2, 4, 8)
		b.round()
		b.round()
		b.now += maintenance.DefaultReturnLimit.Milliseconds() + 1
		Expect(b.round().Halts[0].Reason).To(Equal(maintenance.HaltNotBack))
		b.bringBack()
		Expect(b.round().Drains).To(HaveLen(1))
	})

	It("counts instances lost and moves begun against the budget", func() {
		b := newBench(8, 1, 6, 8)
		b.get("a007").Phase = pools.PhaseDown
		b.in.Reserved = map[string]int{"a": 1}
		Expect(b.round().Halts).To(ConsistOf(maintenance.Halt{Pool: "a", Reason: maintenance.HaltBudget}))
		b.in.Reserved = nil
		Expect(b.round().Drains).To(HaveLen(1))
	})

	It("stays inside one rack until a drain has come back, and for the two after", func() {
		b := newBench(16, 2, 4, 8)
		b.round()
		b.round()
		b.bringBack()
		d := b.round()
		Expect(d.Drains).To(HaveLen(2))
		Expect(b.get(d.Drains[0].Instance).Rack).To(Equal(b.get(d.Drains[1].Instance).Rack))
		b = newBench(16, 2, 4, 8)
		b.in.State.Pools = map[string]maintenance.PoolWave{"a": {Revision: 1, Window: 2}}
		for _, inst := range b.in.Instances[1:4] {
			inst.Revision = 1
		}
		Expect(b.round().Drains).To(HaveLen(1), "one is left in the first rack")
	})

	// The platform reports a drain as done, and the instance serves the old
	// revision. Going on would take the whole pool through a wave for nothing.
	It("halts on one that is back without the revision", func() {
		b := newBench(16, 2, 4, 8)
		first := b.round().Drains[0].Instance
		b.round()
		b.get(first).Phase = pools.PhaseServing
		Expect(b.round().Halts).To(ConsistOf(
			maintenance.Halt{Pool: "a", Reason: maintenance.HaltBadReturn, Instance: first}))
	})

	// Waves of two pools lose an instance each. Whatever the pools share, such as
	// an image or a power feed, is the likely cause; a third pool would be next.
	It("halts all pools once the waves of two have failed", func() {
		b := newBench(16, 2, 4, 8)
		b.in.State.Failed = map[string]maintenance.Failure{
			"x": {Pool: "b", Revision: 1, Reason: maintenance.HaltLost},
			"y": {Pool: "c", Revision: 1, Reason: maintenance.HaltLost},
		}
		for _, name := range []string{"b", "c"} {
			b.in.Manifest.Pools = append(b.in.Manifest.Pools, manifest.Pool{
				Name: name, Maintenance: manifest.Maintenance{Revision: 1},
			})
		}
		Expect(b.round().Halts).To(ConsistOf(maintenance.Halt{Pool: "a", Reason: maintenance.HaltOtherPools}))
	})

	It("asks for a spare where the budget is the count, for as long as the wave lasts", func() {
		b := newBench(4, 1, 4, 2)
		d := b.round()
		Expect(d.Drains).To(BeEmpty())
		Expect(maintenance.Extra(b.in)).To(Equal(map[string]int{"a": 1}))
	})
})
