package pools_test

import (
	"fmt"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/pools"
)

var poolNames = []string{"a", "b", "c", "d"}

// drawFleet draws instances in any pool and phase.
func drawFleet(t *rapid.T) []*pools.Instance {
	all := fleet("w", "", rapid.IntRange(4, 40).Draw(t, "n"), 3)
	for _, inst := range all {
		inst.Pool = rapid.SampledFrom([]string{"", "a", "b", "c", "gone"}).Draw(t, "pool")
		inst.Phase = rapid.SampledFrom([]pools.Phase{
			pools.PhaseServing, pools.PhaseServing, pools.PhaseServing, pools.PhaseServing,
			pools.PhaseMoving, pools.PhaseDraining, pools.PhaseDown,
		}).Draw(t, "phase")
		if inst.Phase == pools.PhaseMoving {
			inst.Target = rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "target")
		}
		inst.Accelerators = rapid.IntRange(0, 1).Draw(t, "accelerators")
	}
	return all
}

func drawManifest(t *rapid.T) *manifest.Manifest {
	m := &manifest.Manifest{}
	for _, name := range poolNames[:3] {
		p := poolOfCount(name, rapid.IntRange(1, 10).Draw(t, "count"))
		switch rapid.IntRange(0, 4).Draw(t, "kind") {
		case 0:
			p.Instances.Select = &manifest.Selector{Zones: []string{"z0"}}
		case 1:
			p.Instances.Select = &manifest.Selector{Accelerators: 1}
		}
		m.Pools = append(m.Pools, p)
		minAvailable := rapid.IntRange(0, p.Instances.Count).Draw(t, "least")
		m.Services = append(m.Services, service(name, minAvailable))
	}
	ids := []string{}
	for i := range rapid.IntRange(0, 3).Draw(t, "listed") {
		ids = append(ids, fmt.Sprintf("w%03d", i*2))
	}
	if len(ids) > 0 {
		m.Pools = append(m.Pools, manifest.Pool{Name: "d", Instances: manifest.Selection{IDs: ids}})
	}
	return m
}

// beginMoves begins the moves of a decision one by one and checks at each the
// rules that the fold will check.
func beginMoves(t *rapid.T, m *manifest.Manifest, all []*pools.Instance, d pools.Decision) {
	budget := pools.Budget(m)
	byID := map[string]*pools.Instance{}
	for _, inst := range all {
		byID[inst.ID] = inst
	}
	for _, move := range d.Moves {
		inst := byID[move.Instance]
		if inst.Phase != pools.PhaseServing || inst.Pool != move.From || move.From == move.To {
			t.Fatalf("move of an instance that is not serving in the source pool: %+v", move)
		}
		inst.Phase, inst.Target = pools.PhaseMoving, move.To
		if move.From != "" && pools.Serving(all)[move.From] < budget[move.From] {
			t.Fatalf("source pool below its budget after %+v", move)
		}
	}
}

// finishOperations ends all moves and drains.
func finishOperations(all []*pools.Instance) {
	for _, inst := range all {
		if inst.Phase == pools.PhaseMoving {
			inst.Pool, inst.Target = inst.Target, ""
		}
		if inst.Phase != pools.PhaseDown {
			inst.Phase = pools.PhaseServing
		}
	}
}

var _ = Describe("Decisions for random fleets and manifests", func() {
	It("keep every budget at every step and end with no moves", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			m, all := drawManifest(t), drawFleet(t)
			in := pools.Input{Manifest: m, Instances: all, Limits: pools.Limits{MaxMovesInFlight: 4}}
			for round := 0; ; round++ {
				d := pools.Decide(in)
				beginMoves(t, m, all, d)
				finishOperations(all)
				if len(d.Moves) == 0 && round > 0 {
					if len(d.Waits) > 0 && !onlyBlockedByBudget(m, all, d) {
						t.Fatalf("moves wait although nothing blocks them: %+v", d.Waits)
					}
					return
				}
				if round > 40 {
					t.Fatalf("moves continue after 40 rounds: %+v", d.Moves)
				}
			}
		})
	})

	It("don't depend on the order of the instances", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			m, all := drawManifest(t), drawFleet(t)
			want := pools.Decide(pools.Input{Manifest: m, Instances: all})
			shuffled := append([]*pools.Instance{}, all...)
			rand.New(rand.NewPCG(1, 2)).Shuffle(len(all), func(i, j int) {
				shuffled[i], shuffled[j] = shuffled[j], shuffled[i]
			})
			got := pools.Decide(pools.Input{Manifest: m, Instances: shuffled})
			if fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("%v\n%v", got, want)
			}
		})
	})

	It("need no more moves than the lower bound if there are no selectors", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			m, all := drawManifest(t), drawFleet(t)
			for i := range m.Pools {
				m.Pools[i].Instances.Select = nil
			}
			for _, inst := range all {
				inst.Phase, inst.Target = pools.PhaseServing, ""
			}
			in := pools.Input{Manifest: m, Instances: all, Limits: pools.Limits{MaxMovesInFlight: 1000}}
			d := pools.Decide(in)
			if planned := len(d.Moves) + len(d.Waits); planned > pools.LowerBound(in) {
				t.Fatalf("%d moves planned, but the lower bound is %d", planned, pools.LowerBound(in))
			}
		})
	})
})

// onlyBlockedByBudget reports whether every move waits for the budget of a pool
// that can't be filled. Such moves can't begin without breaking the budget.
func onlyBlockedByBudget(m *manifest.Manifest, all []*pools.Instance, d pools.Decision) bool {
	budget, serving := pools.Budget(m), pools.Serving(all)
	for _, w := range d.Waits {
		if w.Reason != pools.WaitBudget || serving[w.Move.From] > budget[w.Move.From] {
			return false
		}
	}
	return true
}
