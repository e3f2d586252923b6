package inforce_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/standin"
	"cyclamenwheel/test/harness"
)

var _ = Describe("A log", func() {
	// Every call to the log takes long, and one entry hears it slower still.
	// Manifests come into force one after the other all the same.
	It("that is slow delays a manifest and loses none", func() {
		c, l := start(harness.Options{}, 1)
		faults(c, standin.PlatformFault{DelayMillis: 300})
		c.Entry(2).SlowLog(3 * time.Second)
		for count := 4; count <= 6; count++ {
			pub := c.Publish(sized(count))
			AddReportEntry("in force, milliseconds", pub.InForceMillis)
			expectEverywhere(c, pub.Generation)
		}
		Expect(c.Standin.ClearFaults(bg)).To(Succeed())
		c.Entry(2).HealLog()
		c.Settle()
		finish(c, l)
	})

	// The record of a manifest is on its way when the log goes down. The log
	// has taken it and nobody can read it: neither the operator nor any process
	// knows. Requests go on being answered under the manifest before. When the
	// log is back, the manifest is in force, once.
	It("that goes down in the middle of a publication brings it into force once", func() {
		c, l := start(harness.Options{}, 2)
		before := accepted(verdicts(c))
		Expect(c.Standin.SetFault(bg, standin.ClassAppend, standin.PlatformFault{DelayMillis: 700})).To(Succeed())
		done := make(chan uint64, 1)
		go func() {
			defer GinkgoRecover()
			done <- c.Publish(sized(5)).Generation
		}()
		Consistently(done, 200*time.Millisecond).ShouldNot(Receive())
		faults(c, standin.PlatformFault{Down: true})
		Consistently(func(g Gomega) {
			for _, e := range c.Entries() {
				g.Expect(e.Ready()).To(BeTrue(), e.ID)
			}
		}, 3*time.Second, 10*harness.Poll).Should(Succeed())
		Expect(c.Standin.ClearFaults(bg)).To(Succeed())
		var generation uint64
		Eventually(done, harness.Patience).Should(Receive(&generation))
		expectEverywhere(c, generation)
		Expect(accepted(verdicts(c))).To(Equal(before + 1))
		c.Settle()
		finish(c, l)
	})

	// The log takes the manifest and its answer is lost, several times over.
	// The operator's tool sends the same record again; the fold takes the first
	// and knows the others for repetitions.
	It("whose answers are lost does not have a manifest published twice", func() {
		c, l := start(harness.Options{}, 3)
		before := len(verdicts(c))
		Expect(c.Standin.SetFault(bg, standin.ClassAppend, standin.PlatformFault{
			LoseProbability: 0.8, RepeatProbability: 0.5, Seed: 5})).To(Succeed())
		first := c.Publish(sized(4))
		second := c.Publish(sized(5))
		Expect(c.Standin.ClearFaults(bg)).To(Succeed())
		Expect(second.Generation).To(Equal(first.Generation + 1))
		all := verdicts(c)[before:]
		Expect(len(all)).To(BeNumerically(">", 2), "no record was repeated")
		Expect(accepted(all)).To(Equal(2))
		for _, v := range all {
			Expect(v.Accepted || v.Reason == "duplicate").To(BeTrue(), "%+v", v)
		}
		expectEverywhere(c, second.Generation)
		c.Settle()
		finish(c, l)
	})

	// An entry starts while the log is down. It takes the state from a peer and
	// reports the generation in force; it is ready only once the log has made
	// it a member.
	It("that is down lets a restarted entry learn from its peers", func() {
		c, l := start(harness.Options{}, 4)
		generation := c.Publish(sized(4)).Generation
		c.Settle()
		faults(c, standin.PlatformFault{Down: true})
		c.Entry(1).Restart()
		Eventually(c.Entry(1).Generation, harness.Patience, harness.Poll).Should(Equal(generation))
		Expect(c.Entry(1).Ready()).To(BeFalse())
		Expect(c.Standin.ClearFaults(bg)).To(Succeed())
		c.Entry(1).AwaitReady()
		expectEverywhere(c, generation)
		finish(c, l)
	})
})

var _ = Describe("An entry that is cut off from the log but not from its peers", func() {
	// Records reach it by way of its peers, so that manifests are in force on
	// it as on the others, and it goes on taking requests.
	It("has every manifest in force", func() {
		c, l := start(harness.Options{}, 5)
		c.Entry(0).CutLog()
		c.Entry(1).HangLog()
		for count := 4; count <= 6; count++ {
			expectEverywhere(c, c.Publish(sized(count)).Generation)
		}
		Expect(c.Entry(0).Ready()).To(BeTrue())
		c.Entry(0).HealLog()
		c.Entry(1).HealLog()
		c.Settle()
		finish(c, l)
	})
})
