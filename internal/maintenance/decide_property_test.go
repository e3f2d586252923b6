package maintenance_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"cyclamenwheel/internal/maintenance"
	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/pools"
)

// randomFleet returns a fleet of three pools whose sizes, budgets and revisions
// are drawn by rapid.
func randomFleet(t *rapid.T) *testFleet {
	b := &testFleet{}
	b.in.Manifest = &manifest.Manifest{Buffer: manifest.Buffer{
		WaveParallel: rapid.IntRange(1, 8).Draw(t, "parallel"),
	}}
	for k, name := range []string{"a", "b", "c"} {
		n := rapid.IntRange(2, 12).Draw(t, "n")
		b.in.Manifest.Pools = append(b.in.Manifest.Pools, manifest.Pool{
			Name: name, Instances: manifest.Selection{Count: n},
			Maintenance: manifest.Maintenance{Revision: rapid.IntRange(0, 2).Draw(t, "revision")},
		})
		b.in.Manifest.Services = append(b.in.Manifest.Services, manifest.Service{
			Pool: name, MinAvailable: rapid.IntRange(0, n).Draw(t, "least"),
		})
		for i := range n {
			b.in.Instances = append(b.in.Instances, &pools.Instance{
				ID: fmt.Sprintf("%s%02d", name, i), Pool: name, Phase: pools.PhaseServing,
				Zone: fmt.Sprintf("z%d", i%3), Rack: fmt.Sprintf("r%d", (i+k)/3),
			})
		}
	}
	return b
}

// applyRandomOutcomes completes some drains, fails some instances and returns
// some failed ones to service.
func (b *testFleet) applyRandomOutcomes(t *rapid.T) {
	revisions := map[string]int{}
	for _, p := range b.in.Manifest.Pools {
		revisions[p.Name] = p.Maintenance.Revision
	}
	for _, inst := range b.in.Instances {
		outcome := rapid.IntRange(0, 9).Draw(t, "fate")
		switch {
		case outcome == 0:
			inst.Phase = pools.PhaseDown
		case outcome < 6 && inst.Phase == pools.PhaseDraining:
			inst.Phase, inst.Revision = pools.PhaseServing, revisions[inst.Pool]
		case outcome < 3 && inst.Phase == pools.PhaseDown:
			inst.Phase, inst.Revision = pools.PhaseServing, revisions[inst.Pool]
		}
	}
}

// checkLimits checks that the drains keep the budgets, the maximum number of
// concurrent drains and the restriction to one zone.
func (b *testFleet) checkLimits(t *rapid.T, d maintenance.Decision) {
	budget := pools.Budget(b.in.Manifest)
	serving := pools.Serving(b.in.Instances)
	draining := 0
	for _, inst := range b.in.Instances {
		if inst.Phase == pools.PhaseDraining {
			draining++
		}
	}
	for _, drain := range d.Drains {
		if serving[drain.Pool] < budget[drain.Pool] {
			t.Fatalf("pool %s below budget: %d of %d", drain.Pool, serving[drain.Pool], budget[drain.Pool])
		}
	}
	if len(d.Drains) > 0 && draining > b.in.Manifest.Buffer.WaveParallel {
		t.Fatalf("%d draining", draining)
	}
	// An instance that is stuck counts as lost and doesn't occupy its zone.
	if zones := b.drainingZones(d.State); len(d.Drains) > 0 && len(zones) > 1 {
		t.Fatalf("drains in %v", zones)
	}
}

func (b *testFleet) drainingZones(state maintenance.WaveState) map[string]bool {
	zones := map[string]bool{}
	for _, inst := range b.in.Instances {
		if _, failed := state.Failed[inst.ID]; inst.Phase == pools.PhaseDraining && !failed {
			zones[inst.Zone] = true
		}
	}
	return zones
}

var _ = Describe("Deciding drains in random fleets", func() {
	// Load: waves in several pools while instances are lost, drains get stuck
	// and a new planner starts without the wave state. Drains must never take a
	// pool below its budget.
	It("keeps to the budgets, the drain limit and one zone", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			b := randomFleet(t)
			for range 30 {
				if rapid.IntRange(0, 9).Draw(t, "newPlanner") == 0 {
					b.in.State = maintenance.WaveState{}
				}
				d := b.round()
				b.checkLimits(t, d)
				b.applyRandomOutcomes(t)
				b.now += rapid.Int64Range(0, 200_000).Draw(t, "pause")
			}
		})
	})

	It("finishes every wave if all instances return and there is headroom", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			b := randomFleet(t)
			for i := range b.in.Manifest.Services {
				s := &b.in.Manifest.Services[i]
				s.MinAvailable = min(s.MinAvailable, b.in.Manifest.Pools[i].Instances.Count-1)
			}
			for range 200 {
				if d := b.round(); len(d.Drains) == 0 && len(d.Halts) == 0 {
					break
				}
				b.round()
				for _, inst := range b.in.Instances {
					if inst.Phase == pools.PhaseDraining {
						inst.Phase, inst.Revision = pools.PhaseServing, 2
					}
				}
			}
			for i, p := range b.in.Manifest.Pools {
				for _, inst := range b.in.Instances {
					if inst.Pool == p.Name && inst.Revision < b.in.Manifest.Pools[i].Maintenance.Revision {
						t.Fatalf("%s was not brought to the revision", inst.ID)
					}
				}
			}
		})
	})
})
