package maintenance_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"cyclamenwheel/internal/maintenance"
	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/pools"
)

// chaos is a fleet of several pools in which drains end, fail or hang, and
// instances are lost, as rapid draws it.
func chaos(t *rapid.T) *bench {
	b := &bench{}
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

// shake ends some drains, loses some instances and brings some back.
func (b *bench) shake(t *rapid.T) {
	revisions := map[string]int{}
	for _, p := range b.in.Manifest.Pools {
		revisions[p.Name] = p.Maintenance.Revision
	}
	for _, inst := range b.in.Instances {
		fate := rapid.IntRange(0, 9).Draw(t, "fate")
		switch {
		case fate == 0:
			inst.Phase = pools.PhaseDown
		case fate < 6 && inst.Phase == pools.PhaseDraining:
			inst.Phase, inst.Revision = pools.PhaseServing, revisions[inst.Pool]
		case fate < 3 && inst.Phase == pools.PhaseDown:
			inst.Phase, inst.Revision = pools.PhaseServing, revisions[inst.Pool]
		}
	}
}

// check holds every drain against the rules, as the fold counts.
func (b *bench) check(t *rapid.T, d maintenance.Decision) {
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
	// An instance that hangs is as good as lost and holds no zone.
	if zones := b.zonesDraining(d.State); len(d.Drains) > 0 && len(zones) > 1 {
		t.Fatalf("drains in %v", zones)
	}
}

func (b *bench) zonesDraining(state maintenance.WaveState) map[string]bool {
	zones := map[string]bool{}
	for _, inst := range b.in.Instances {
		if _, failed := state.Failed[inst.ID]; inst.Phase == pools.PhaseDraining && !failed {
			zones[inst.Zone] = true
		}
	}
	return zones
}

var _ = Describe("Any wave", func() {
	// Instances are lost, drains hang and the planner that remembers the wave is
	// replaced, all while waves run in several pools. What callers must never
	// see is a pool below its budget by the system's own doing.
	It("keeps the budgets, the bound and the one zone", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			b := chaos(t)
			for range 30 {
				if rapid.IntRange(0, 9).Draw(t, "newPlanner") == 0 {
					b.in.State = maintenance.WaveState{}
				}
				d := b.round()
				b.check(t, d)
				b.shake(t)
				b.now += rapid.Int64Range(0, 200_000).Draw(t, "pause")
			}
		})
	})

	It("ends, where every instance comes back and there is headroom", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			b := chaos(t)
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
						t.Fatalf("%s left behind", inst.ID)
					}
				}
			}
		})
	})
})
