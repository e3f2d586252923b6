package pools_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/pools"
)

// A new fleet of 48 instances is all spares. Sixteen at a time, its first
// roll-out took three rounds of drain and reboot, although no service could
// have lost anything by filling every pool at once.
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
