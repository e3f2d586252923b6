package budget_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/fold"
	"cyclamenwheel/test/harness"
)

var _ = Describe("Two planners at once", func() {
	// The holder of the planner lease decides two drains and writes them; the
	// record is held up on its way to the log, and the holder is frozen. A
	// successor takes the lease over and drives the wave. In the middle of it
	// the old record arrives and the old holder wakes, still believing that it
	// holds the lease. Were either obeyed, a pool would lose two at a time.
	It("keep the budget when the holder is frozen past its lease and wakes in the middle of a wave", func() {
		c := harness.New(harness.Options{Controls: 3, Reboot: slowReboot})
		c.Form(fleetOf(0))
		l := callers(c, 11)

		old := c.Planner()
		before := begun(c, old)
		old.HoldCalls(2500 * time.Millisecond)
		c.Publish(fleetOf(1))
		awaitDecided(old)
		old.Freeze()

		Eventually(func() int { return withRevision(c, 1) }, harness.Timeout, harness.PollInterval).
			Should(BeNumerically(">=", 1), "nobody took the wave over")
		Expect(c.Planner()).NotTo(BeIdenticalTo(old))
		awaitWave(c, "charges")
		old.Wake()
		expectLateDrain(c, old, before, fold.ReasonStaleEpoch)
		old.HealLog()

		c.AwaitRevision("tabs", 1)
		c.AwaitRevision("charges", 1)
		Expect(l.Stop().Broken.Count).To(BeZero())
		c.Check()
	})

	// Each holder is frozen as soon as it has an operation under way, and the
	// one before it is woken at that moment: at every takeover two processes
	// believe for a while that they are the planner.
	It("keep the budget through one takeover after the other", func() {
		c := harness.New(harness.Options{Controls: 3, Reboot: slowReboot})
		c.Form(fleetOf(0))
		l := callers(c, 12)

		c.Publish(fleetOf(1))
		awaitWave(c, "tabs")
		var frozen *harness.Process
		for range 3 {
			holder := c.Planner()
			holder.Freeze()
			if frozen != nil {
				frozen.Wake()
			}
			frozen = holder
		}
		frozen.Wake()

		c.AwaitRevision("tabs", 1)
		c.AwaitRevision("charges", 1)
		Expect(l.Stop().Broken.Count).To(BeZero())
		c.Check()
	})
})
