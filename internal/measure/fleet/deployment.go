package fleet

import (
	"fmt"
	"math/rand/v2"

	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/pools"
)

const (
	instancesPerRack = 4
	slotsPerInstance = 8
	// seed is the random seed of every measurement.
	seed = 20_261_202
)

// deployment describes the hardware of one user of the system.
type deployment struct {
	name     string
	workers  int
	zones    int
	cores    float64
	memoryMB int
}

var (
	portLouis   = deployment{name: "Port Louis", workers: 52, zones: 4, cores: 16, memoryMB: 64 << 10}
	kelaniya    = deployment{name: "Kelaniya", workers: 52, zones: 3, cores: 64, memoryMB: 128 << 10}
	deployments = []deployment{portLouis, kelaniya}
)

// instances returns all workers as spares, with racks assigned to zones in turn.
func (d deployment) instances() []*pools.Instance {
	all := make([]*pools.Instance, d.workers)
	for i := range all {
		rack := i / instancesPerRack
		all[i] = &pools.Instance{
			ID: fmt.Sprintf("w%05d", i), BootID: "1", Phase: pools.PhaseServing,
			Zone: fmt.Sprintf("z%d", rack%d.zones), Rack: fmt.Sprintf("r%04d", rack),
			Cores: d.cores, MemoryMB: d.memoryMB, Slots: slotsPerInstance, Connections: 64,
		}
	}
	return all
}

// newManifest returns a manifest of pools of the given sizes. budgetOf returns the budget of a
// pool by its size.
func newManifest(counts []int, budgetOf func(int) int) *manifest.Manifest {
	m := &manifest.Manifest{Version: manifest.Version, Buffer: manifest.Buffer{Survive: manifest.DomainRack}}
	for i, n := range counts {
		name := fmt.Sprintf("p%02d", i)
		m.Pools = append(m.Pools, manifest.Pool{Name: name, Instances: manifest.Selection{Count: n}})
		m.Services = append(m.Services, manifest.Service{Name: "s-" + name, Pool: name, MinAvailable: budgetOf(n)})
	}
	return m
}

func allButOne(n int) int { return n - 1 }
func wholePool(n int) int { return n }
func fourFifths(n int) int {
	return (n*4 + 4) / 5
}

// drawPoolSizes draws five pools of 8 to 12 workers each, such that at least the given number
// of spares is left over.
func drawPoolSizes(rng *rand.Rand, workers, spares int) []int {
	for {
		counts, sum := make([]int, 5), 0
		for i := range counts {
			counts[i] = 8 + rng.IntN(5)
			sum += counts[i]
		}
		if sum+spares <= workers {
			return counts
		}
	}
}
