package budget_test

import (
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/test/harness"
)

var _ = Describe("A move and a wave", func() {
	// A wave is under way in a pool when a manifest comes into force that lists
	// the very instance being drained, and the one that the wave would take
	// next, in the other pool. Each is wanted by both. An instance does one
	// thing after the other, and its pool keeps its budget throughout.
	It("that want the same instance take it one after the other", func() {
		c := harness.New(harness.Options{Reboot: slowReboot})
		c.Form(fullFleet(0))
		l := callers(c, 41)

		for revision := 1; revision <= 2; revision++ {
			c.Publish(fullFleet(revision))
			drained := awaitWave(c, "tabs")
			wanted := []string{drained, serving(c, "tabs")}
			c.Publish(listing(c, revision, wanted))
			Eventually(func() []string { return members(c, "charges") }, harness.Timeout, harness.PollInterval).
				Should(ContainElements(wanted))
			c.AwaitRevision("tabs", revision)
			c.AwaitRevision("charges", revision)
		}
		Expect(l.Stop().Broken.Count).To(BeZero())
		c.Check()
	})
})

// fullFleet is fleetOf with all other instances in a third pool: there are no
// spares, and instances can only change places.
func fullFleet(revision int) *manifest.Manifest {
	return harness.Manifest(waveParallel,
		harness.ServicePool{Name: "tabs", Count: poolSize, MinAvailable: minBudget, Revision: revision},
		harness.ServicePool{Name: "charges", Count: poolSize, MinAvailable: minBudget, Revision: revision},
		harness.ServicePool{Name: "archive", Count: poolSize, MinAvailable: 1})
}

// members names the workers that the platform has in a pool.
func members(c *harness.Cluster, pool string) []string {
	var out []string
	for _, r := range rows(c) {
		if r.Pool == pool {
			out = append(out, r.ID)
		}
	}
	return out
}

// listing is fullFleet with the pool charges listed by id: the wanted instances,
// and as many more of those it has as the pool takes. What it loses goes to the
// other pool in exchange.
func listing(c *harness.Cluster, revision int, wanted []string) *manifest.Manifest {
	m := fullFleet(revision)
	ids := slices.Clone(wanted)
	for _, id := range members(c, "charges") {
		if len(ids) < poolSize && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	m.Pools[1].Instances = manifest.Selection{IDs: ids}
	return m
}
