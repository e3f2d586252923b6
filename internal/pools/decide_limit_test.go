package pools_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/pools"
)

// In a new fleet all 48 instances are spares. Bounded to 16 moves in flight,
// the first roll-out took three rounds of drain and reboot, although filling
// all pools at once takes nothing from any service.
func TestSparesFillPoolsInOneRound(t *testing.T) {
	g := NewWithT(t)
	in := pools.Input{Manifest: &manifest.Manifest{Pools: []manifest.Pool{
		{Name: "a", Instances: manifest.Selection{Count: 48}},
	}}}
	for i := range 48 {
		in.Instances = append(in.Instances, &pools.Instance{
			ID: fmt.Sprintf("w-%02d", i), Phase: pools.PhaseServing, Rack: fmt.Sprint(i / 4), Zone: fmt.Sprint(i % 4),
		})
	}
	g.Expect(pools.Decide(in).Moves).To(HaveLen(48))
	in.Limits.MaxMovesInFlight = 2
	g.Expect(pools.Decide(in).Moves).To(HaveLen(32))
}
