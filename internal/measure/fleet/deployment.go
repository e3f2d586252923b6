package fleet

import (
	"fmt"
	"math/rand/v2"

	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/pools"
)

const (
	perRack = 4
	slots   = 8
	// seed fixes every series that is drawn.
	seed = 20_261_202
)

// deployment is the hardware of one user.
type deployment struct {
	name     string
	workers  int
	zones    int
	cores    float64
	memoryMB int
}

var (
	portLouis = deployment{name: "Port Louis", workers: 52, zones: 4, cores: 16, memoryMB: 64 << 10}
	kelaniya  = deployment{name: "Kelaniya", workers: 52, zones: 3, cores: 64, memoryMB: 128 << 10}
	both      = []deployment{portLouis, kelaniya}
)

// instances makes the workers, all of them spares, with racks dealt over zones.
func (d deployment) instances() []*pools.Instance {
	all := make([]*pools.Instance, d.workers)
	for i := range all {
		rack := i / perRack
		all[i] = &pools.Instance{
			ID: fmt.Sprintf("w%05d", i), BootID: "1", Phase: pools.PhaseServing,
			Zone: fmt.Sprintf("z%d", rack%d.zones), Rack: fmt.Sprintf("r%04d", rack),
			Cores: d.cores, MemoryMB: d.memoryMB, Slots: slots, Connections: 64,
		}
	}
	return all
}

// wanted makes a manifest of pools of the given sizes. budgetOf gives each
// pool's budget by its size.
func wanted(counts []int, budgetOf func(int) int) *manifest.Manifest {
	m := &manifest.Manifest{Version: manifest.Version, Buffer: manifest.Buffer{Survive: manifest.DomainRack}}
	for i, n := range counts {
		name := fmt.Sprintf("p%02d", i)
		m.Pools = append(m.Pools, manifest.Pool{Name: name, Instances: manifest.Selection{Count: n}})
		m.Services = append(m.Services, manifest.Service{Name: "s-" + name, Pool: name, MinAvailable: budgetOf(n)})
	}
	return m
}

func allButOne(n int) int { return n - 1 }
func all(n int) int       { return n }
func fourFifths(n int) int {
	return (n*4 + 4) / 5
}

// drawCounts draws five pools of 8 to 12 that leave at least spares of the
// workers over.
func drawCounts(rng *rand.Rand, workers, spares int) []int {
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
