package inforce_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/standin"
	"cyclamenwheel/test/harness"
)

var _ = Describe("A log", func() {
	// Every call to the log is slow, and one entry gets responses even later.
	// Manifests must still come into force one after the other.
	It("that is slow delays manifests and loses none", func() {
		c, l := startCluster(harness.Options{}, 1)
		setLogFault(c, standin.PlatformFault{DelayMillis: 300})
		c.Entry(2).SlowLog(3 * time.Second)
		for count := 4; count <= 6; count++ {
			pub := c.Publish(manifestOfSize(count))
			AddReportEntry("in force, milliseconds", pub.InForceMillis)
			expectGeneration(c, pub.Generation)
		}
		Expect(c.Standin.ClearFaults(bg)).To(Succeed())
		c.Entry(2).HealLog()
		c.AwaitSettled()
		finishAndCheck(c, l)
	})

	// The log goes down while a manifest is being appended: it contains the
	// record, but neither the operator nor any process can read it. Requests are
	// still answered under the previous manifest. Once the log is back, the
	// manifest must come into force exactly once.
	It("that goes down during a publication brings the manifest into force once", func() {
		c, l := startCluster(harness.Options{}, 2)
		before := countAccepted(publishVerdicts(c))
		Expect(c.Standin.SetFault(bg, standin.ClassAppend, standin.PlatformFault{DelayMillis: 700})).To(Succeed())
		done := make(chan uint64, 1)
		go func() {
			defer GinkgoRecover()
			done <- c.Publish(manifestOfSize(5)).Generation
		}()
		Consistently(done, 200*time.Millisecond).ShouldNot(Receive())
		setLogFault(c, standin.PlatformFault{Down: true})
		Consistently(func(g Gomega) {
			for _, e := range c.Entries() {
				g.Expect(e.Ready()).To(BeTrue(), e.ID)
			}
		}, 3*time.Second, 10*harness.PollInterval).Should(Succeed())
		Expect(c.Standin.ClearFaults(bg)).To(Succeed())
		var generation uint64
		Eventually(done, harness.Timeout).Should(Receive(&generation))
		expectGeneration(c, generation)
		Expect(countAccepted(publishVerdicts(c))).To(Equal(before + 1))
		c.AwaitSettled()
		finishAndCheck(c, l)
	})

	// The log appends the manifest and the response is lost, several times.
	// cyclamenctl appends the same record again; the fold must accept the first and
	// reject the others as duplicates.
	It("whose responses are lost does not publish a manifest twice", func() {
		c, l := startCluster(harness.Options{}, 3)
		before := len(publishVerdicts(c))
		Expect(c.Standin.SetFault(bg, standin.ClassAppend, standin.PlatformFault{
			LoseProbability: 0.8, RepeatProbability: 0.5, Seed: 5})).To(Succeed())
		first := c.Publish(manifestOfSize(4))
		second := c.Publish(manifestOfSize(5))
		Expect(c.Standin.ClearFaults(bg)).To(Succeed())
		Expect(second.Generation).To(Equal(first.Generation + 1))
		all := publishVerdicts(c)[before:]
		Expect(len(all)).To(BeNumerically(">", 2), "no record was repeated")
		Expect(countAccepted(all)).To(Equal(2))
		for _, v := range all {
			Expect(v.Accepted || v.Reason == "duplicate").To(BeTrue(), "%+v", v)
		}
		expectGeneration(c, second.Generation)
		c.AwaitSettled()
		finishAndCheck(c, l)
	})

	// An entry starts while the log is down. It gets the state from a peer and
	// reports the generation in force; it becomes ready only once its membership
	// is in the log.
	It("that is down lets a restarted entry get the state from its peers", func() {
		c, l := startCluster(harness.Options{}, 4)
		generation := c.Publish(manifestOfSize(4)).Generation
		c.AwaitSettled()
		setLogFault(c, standin.PlatformFault{Down: true})
		c.Entry(1).Restart()
		Eventually(c.Entry(1).Generation, harness.Timeout, harness.PollInterval).Should(Equal(generation))
		Expect(c.Entry(1).Ready()).To(BeFalse())
		Expect(c.Standin.ClearFaults(bg)).To(Succeed())
		c.Entry(1).AwaitReady()
		expectGeneration(c, generation)
		finishAndCheck(c, l)
	})
})

var _ = Describe("An entry that is disconnected from the log but not from its peers", func() {
	// It receives the records from its peers, so that manifests come into force
	// on it as on the others, and it continues to accept requests.
	It("has every manifest in force", func() {
		c, l := startCluster(harness.Options{}, 5)
		c.Entry(0).CutLog()
		c.Entry(1).HangLog()
		for count := 4; count <= 6; count++ {
			expectGeneration(c, c.Publish(manifestOfSize(count)).Generation)
		}
		Expect(c.Entry(0).Ready()).To(BeTrue())
		c.Entry(0).HealLog()
		c.Entry(1).HealLog()
		c.AwaitSettled()
		finishAndCheck(c, l)
	})
})
