package budget_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/ctl"
	"cyclamenwheel/internal/fold"
	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/test/harness"
)

var _ = Describe("Two operators", func() {
	// While a wave runs, two operators publish from the same generation: one
	// wants every instance of the pools kept and the waves paused, the other a
	// further revision and an instance moved to the other pool. One of them wins at every round;
	// whatever is in progress then ends under the winner's budget.
	It("publish conflicting manifests while a wave runs, and no budget is broken", func() {
		c := harness.New(harness.Options{Reboot: slowReboot})
		c.Form(fullFleet(0))
		l := callers(c, 31)

		based := c.Publish(fullFleet(1)).Generation
		awaitWave(c, "tabs")
		for round := range 3 {
			further := listing(c, 2+round, []string{serving(c, "tabs")})
			based = race(c, based, paused(1+round), further)
		}
		c.Publish(fullFleet(9))
		c.AwaitRevision("tabs", 9)
		c.AwaitRevision("charges", 9)
		Expect(l.Stop().Broken.Count).To(BeZero())
		c.Check()
	})

	// The planner decides one drain in each pool and writes them; the record
	// is slow on its way. Meanwhile an operator raises the budgets to all of
	// the instances, and that overtakes. From its offset on nothing may be
	// taken out, whoever decided it before.
	It("raise a budget while a drain decided under the old one is on its way", func() {
		c := harness.New(harness.Options{Reboot: slowReboot, Settings: longLease})
		c.Form(fullFleet(0))
		l := callers(c, 32)

		before := begun(c, c.Planner())
		holder := decideUnderSlowAppends(c, fullFleet(1))
		c.Publish(paused(1))
		expectLateDrain(c, holder, before, fold.ReasonOverBudget)
		c.Publish(fullFleet(1))
		c.AwaitRevision("tabs", 1)
		c.AwaitRevision("charges", 1)
		Expect(l.Stop().Broken.Count).To(BeZero())
		c.Check()
	})
})

// paused wants every instance kept, and no further drain.
func paused(revision int) *manifest.Manifest {
	m := fullFleet(revision)
	for i := range m.Pools {
		m.Pools[i].Maintenance.Paused = true
		m.Services[i].MinAvailable = poolSize
	}
	return m
}

// race publishes both manifests at once, both based on the same generation,
// and returns the generation of the one that won.
func race(c *harness.Cluster, based uint64, a, b *manifest.Manifest) uint64 {
	GinkgoHelper()
	won := make(chan uint64, 2)
	for i, m := range []*manifest.Manifest{a, b} {
		go func() {
			defer GinkgoRecover()
			pub, res := c.TryPublish(m, basedOn(based)...)
			if res.Code != ctl.ExitOK {
				Expect(res.Code).To(Equal(ctl.ExitConflict), "operator %d: %s", i, res.Err)
			}
			won <- pub.Generation
		}()
	}
	first, second := <-won, <-won
	Expect(min(first, second)).To(BeZero(), "both won")
	Expect(max(first, second)).To(Equal(based+1), "none won")
	return based + 1
}
