package graceful_test

import (
	"fmt"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/standin"
	"cyclamenwheel/internal/standin/load"
	"cyclamenwheel/test/harness"
)

var _ = Describe("A rolling replacement of the system's own instances", func() {
	// Callers see answers only, although every entry and every control process
	// is stopped and another one comes in its place. An entry that is told to
	// stop says so first; the balancer leaves it; what it has in flight, slow
	// requests too, is answered; only then does it give up its share of slots
	// and its membership. Were any step out of order, a request would meet a
	// closed port, a cut connection or an endpoint without a slot.
	It("fails no request", func() {
		c := formed(allInstances)
		callers := c.Steady(c.Balance(), poolTabs, poolCharges)
		for i := range c.Entries() {
			entry, control := c.Entry(i), c.Control(i)
			answered := slowCharge(c, entry, fmt.Sprintf("slow-%d", i))
			Expect(entry.Stop()).To(BeZero(), entry.ID)
			Expect(control.Stop()).To(BeZero(), control.ID)
			var got reply
			Eventually(answered, harness.Timeout).Should(Receive(&got))
			Expect(got.err).NotTo(HaveOccurred(), "the slow request was cut")
			Expect(got.status).To(Equal(http.StatusOK), got.body)
			next := entry.StartReplacement()
			control.StartReplacement().AwaitReady()
			next.AwaitReady()
		}
		c.Planner()
		callers.StopFaultless()
		c.Check()
	})
})

var _ = Describe("A planned drain of endpoints", func() {
	// Every instance of every pool is drained, rebooted and brought back under
	// load. An instance first gets no new work; the platform is asked to drain
	// it only once every entry has acknowledged that and has nothing in flight
	// to it. The platform itself waits for much less than a slow request takes:
	// were it asked earlier, callers would see cut connections and charges with
	// an unknown outcome. Whether a caller may be refused for lack of slots
	// meanwhile is the question of the suite in drain/.
	It("cuts nothing in flight", func() {
		c := formed(fewInstances)
		Expect(c.Standin.ApplySettings(GinkgoT().Context(), standin.Settings{DrainLimitMillis: new(int64(impatient))})).To(Succeed())
		callers := c.Steady(c.Balance(), poolTabs, poolCharges)
		c.Publish(fleetManifest(1))
		c.AwaitRevision(poolTabs, 1)
		c.AwaitRevision(poolCharges, 1)
		for _, sum := range callers.Stop() {
			Expect(sum.Outcomes[load.Answered]+sum.Outcomes[load.RefusedNo]).To(Equal(sum.Sent), "%+v", sum)
			Expect(sum.Resent).To(BeZero(), "connections closed under a request")
		}
		seen, err := c.Standin.Violations(GinkgoT().Context())
		Expect(err).NotTo(HaveOccurred())
		Expect(seen.CutByOperation).To(BeZero())
		Expect(seen.CutByForce).To(BeZero())
		c.Check()
	})
})
