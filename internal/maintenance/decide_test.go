package maintenance_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/maintenance"
	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/pools"
)

// testFleet is a fleet in which the spec controls the outcome of each drain.
type testFleet struct {
	in  maintenance.Input
	now int64
}

func newTestFleet(n, zones, minAvailable, parallel int) *testFleet {
	b := &testFleet{}
	b.in.Manifest = &manifest.Manifest{
		Pools: []manifest.Pool{{
			Name: "a", Instances: manifest.Selection{Count: n},
			Maintenance: manifest.Maintenance{Revision: 1},
		}},
		Services: []manifest.Service{{Name: "s", Pool: "a", MinAvailable: minAvailable}},
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

// round makes one decision and begins its drains.
func (b *testFleet) round() maintenance.Decision {
	b.now += 1000
	b.in.NowMillis = b.now
	d := maintenance.Decide(b.in)
	b.in.State = d.State
	for _, drain := range d.Drains {
		b.instance(drain.Instance).Phase = pools.PhaseDraining
	}
	return d
}

func (b *testFleet) instance(id string) *pools.Instance {
	for _, inst := range b.in.Instances {
		if inst.ID == id {
			return inst
		}
	}
	return nil
}

// completeDrains returns all draining instances to service with the revision.
func (b *testFleet) completeDrains() {
	for _, inst := range b.in.Instances {
		if inst.Phase == pools.PhaseDraining {
			inst.Phase, inst.Revision = pools.PhaseServing, b.in.Manifest.Pools[0].Maintenance.Revision
		}
	}
}

// runWave runs rounds until the wave is finished and returns the batch sizes.
func (b *testFleet) runWave() []int {
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
		b.completeDrains()
	}
	return sizes
}

var _ = Describe("Deciding drains", func() {
	It("starts with one drain and doubles the batch as instances return, zone by zone", func() {
		b := newTestFleet(16, 2, 4, 8)
		Expect(b.runWave()).To(Equal([]int{1, 2, 4, 1, 8}))
	})

	// The first instance with a new revision fails to start. The wave must halt,
	// so that one endpoint is lost, until the operator publishes a higher
	// revision.
	It("halts after the first lost instance until the next revision", func() {
		b := newTestFleet(16, 2, 4, 8)
		first := b.round().Drains[0].Instance
		b.round()
		b.instance(first).Phase = pools.PhaseDown
		d := b.round()
		Expect(d.Drains).To(BeEmpty())
		Expect(d.Halts).To(ConsistOf(maintenance.Halt{Pool: "a", Reason: maintenance.HaltLost, Instance: first}))
		b.in.Manifest.Pools[0].Maintenance.Revision = 2
		Expect(b.round().Drains).To(HaveLen(1))
	})

	It("halts when an instance does not return in time, and resumes when it does", func() {
		b := newTestFleet(16, 2, 4, 8)
		b.round()
		b.round()
		b.now += maintenance.DefaultReturnLimit.Milliseconds() + 1
		Expect(b.round().Halts[0].Reason).To(Equal(maintenance.HaltReturnTimeout))
		b.completeDrains()
		Expect(b.round().Drains).To(HaveLen(1))
	})

	It("counts lost instances and moves in progress against the budget", func() {
		b := newTestFleet(8, 1, 6, 8)
		b.instance("a007").Phase = pools.PhaseDown
		b.in.Reserved = map[string]int{"a": 1}
		Expect(b.round().Halts).To(ConsistOf(maintenance.Halt{Pool: "a", Reason: maintenance.HaltBudget}))
		b.in.Reserved = nil
		Expect(b.round().Drains).To(HaveLen(1))
	})

	It("stays in one rack for the first drain and the two after it", func() {
		b := newTestFleet(16, 2, 4, 8)
		b.round()
		b.round()
		b.completeDrains()
		d := b.round()
		Expect(d.Drains).To(HaveLen(2))
		Expect(b.instance(d.Drains[0].Instance).Rack).To(Equal(b.instance(d.Drains[1].Instance).Rack))
		b = newTestFleet(16, 2, 4, 8)
		b.in.State.Pools = map[string]maintenance.PoolWave{"a": {Revision: 1, Window: 2}}
		for _, inst := range b.in.Instances[1:4] {
			inst.Revision = 1
		}
		Expect(b.round().Drains).To(HaveLen(1), "one instance is left in the first rack")
	})

	// The platform reports a drain as done but the instance serves with the old
	// revision. Continuing would drain the whole pool to no effect.
	It("halts when an instance returns without the revision", func() {
		b := newTestFleet(16, 2, 4, 8)
		first := b.round().Drains[0].Instance
		b.round()
		b.instance(first).Phase = pools.PhaseServing
		Expect(b.round().Halts).To(ConsistOf(
			maintenance.Halt{Pool: "a", Reason: maintenance.HaltRevisionMissing, Instance: first}))
	})

	// The waves of two pools each lose an instance. The likely cause is something
	// that pools share, such as an image or a power feed, so a third pool would
	// be affected as well.
	It("halts the waves of all pools once those of two have failed", func() {
		b := newTestFleet(16, 2, 4, 8)
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

	It("requests a spare while the wave lasts if the budget equals the count", func() {
		b := newTestFleet(4, 1, 4, 2)
		d := b.round()
		Expect(d.Drains).To(BeEmpty())
		Expect(maintenance.SparesNeeded(b.in)).To(Equal(map[string]int{"a": 1}))
	})
})
