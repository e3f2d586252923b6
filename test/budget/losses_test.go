package budget_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/fold"
	"cyclamenwheel/internal/maintenance"
	"cyclamenwheel/internal/platform"
	"cyclamenwheel/test/harness"
)

var _ = Describe("Instances lost during a wave", func() {
	// The fleet has no spare. While an instance of each pool is being drained,
	// the platform loses one that serves, so that both pools are under their
	// budgets, and at them once the drained ones are back. For as long as the
	// lost ones are missing nothing more may be taken out; when they return the
	// wave goes on.
	It("hold the wave up rather than cost a service more", func() {
		c := harness.New(harness.Options{Reboot: slowReboot})
		c.Form(fullFleet(0))
		l := callers(c, 21)

		c.Publish(fullFleet(1))
		awaitWave(c, "tabs")
		lost := []string{lastServing(c, "tabs"), lastServing(c, "charges")}
		for _, id := range lost {
			Expect(c.Standin.SetState(bg, id, platform.StateGone)).To(Succeed())
		}
		Eventually(func() string { return running(c, "tabs") + running(c, "charges") },
			harness.Timeout, harness.PollInterval).Should(BeEmpty())
		Consistently(func() string { return running(c, "tabs") + running(c, "charges") },
			stillFor, harness.PollInterval).Should(BeEmpty())
		c.Check()

		for _, id := range lost {
			Expect(c.Standin.SetState(bg, id, platform.StateLive)).To(Succeed())
		}
		c.AwaitRevision("tabs", 1)
		c.AwaitRevision("charges", 1)
		l.Stop()
		c.Check()
	})

	// A drained instance is lost and never comes back. Its pool's wave may be
	// bad and halts; a spare fills the place, and the other pool's wave ends.
	It("halt the wave of a pool whose drained instance does not return", func() {
		c := harness.New(harness.Options{Reboot: slowReboot})
		c.Form(fleetOf(0))
		l := callers(c, 23)

		c.Publish(fleetOf(1))
		Expect(c.Standin.SetState(bg, awaitWave(c, "tabs"), platform.StateGone)).To(Succeed())
		c.AwaitRevision("charges", 1)
		view, err := c.Planner().PlannerView()
		Expect(err).NotTo(HaveOccurred())
		Expect(view.Waves.Halts).To(ContainElement(And(
			HaveField("Pool", "tabs"), HaveField("Reason", maintenance.HaltLost))))
		l.Stop()
		c.Check()
	})

	// The planner decides one drain in each pool and writes them; the record
	// is slow on its way. Meanwhile each pool loses an instance, and the record
	// of that overtakes. The drains were decided when there was one instance to
	// spare and are read when there is none: the fold must refuse them there.
	It("end a drain that was decided before the loss and is read after it", func() {
		c := harness.New(harness.Options{Reboot: slowReboot, Settings: longLease})
		c.Form(fleetOf(0))
		l := callers(c, 22)

		before := begun(c, c.Planner())
		holder := decideUnderSlowAppends(c, fleetOf(1))
		Expect(c.Standin.SetState(bg, serving(c, "tabs"), platform.StateGone)).To(Succeed())
		Expect(c.Standin.SetState(bg, serving(c, "charges"), platform.StateGone)).To(Succeed())
		expectLateDrain(c, holder, before, fold.ReasonOverBudget)

		c.AwaitRevision("tabs", 1)
		c.AwaitRevision("charges", 1)
		l.Stop()
		c.Check()
	})
})
