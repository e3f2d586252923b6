package onepool_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/membership"
	"cyclamenwheel/internal/standin/load"
	"cyclamenwheel/test/harness"
)

var _ = Describe("An entry that is paused before it has acknowledged a move", func() {
	// The paused entry still routes to the instance, and requests of callers
	// queue up at the entry. The move begins in the log and waits, and the planner
	// reports which entry it waits for. When the entry resumes, it first handles
	// the queued requests; the instance must still be in its old pool then, or get
	// none of them.
	It("delays the move, and sends nothing to the instance afterwards", func() {
		c := harness.New(harness.Options{})
		c.Form(manifestBefore())
		l := startLoad(c, 11)
		frozen := c.Entry(2)
		frozen.Freeze()
		publish(c, manifestAfter())
		awaitMoveBegun(c)
		awaitMoveWaitsFor(c, frozen, membership.CauseNotAcked)
		expectNotMoved(c)
		frozen.Wake()
		expectMoved(c)
		l.Stop()
		c.Check()
	})

	// The paused entry never resumes: its process is restarted under the same ID.
	// The new incarnation has folded the beginning of the move before it is ready,
	// and the old one can send nothing any more.
	It("no longer delays the move after a restart", func() {
		c := harness.New(harness.Options{})
		c.Form(manifestBefore())
		l := startLoad(c, 12)
		frozen := c.Entry(1)
		frozen.Freeze()
		publish(c, manifestAfter())
		awaitMoveBegun(c)
		awaitMoveWaitsFor(c, frozen, membership.CauseNotAcked)
		expectNotMoved(c)
		frozen.Restart()
		expectMoved(c)
		frozen.AwaitReady()
		l.Stop()
		c.Check()
	})

	// The paused entry stays listed. After fence_after the planner asks the
	// platform to stop its instance, and the move continues only once the instance
	// is listed as gone: no timeout alone may skip an entry that could resume.
	It("is fenced by the platform when it delays the move for too long", func() {
		c := harness.New(harness.Options{FenceAfter: time.Second})
		c.Form(manifestBefore())
		l := startLoad(c, 13)
		frozen := c.Entry(2)
		frozen.Freeze()
		publish(c, manifestAfter())
		expectMoved(c)
		Eventually(frozen.Exited(), harness.Timeout).Should(BeClosed())
		Expect(instanceState(c, frozen.Instance).Fenced).To(BeTrue())
		frozen.Replace()
		frozen.AwaitReady()
		l.Stop()
		c.Check()
	})
})

var _ = Describe("An entry that is disconnected", func() {
	// The entry cannot read the log. It receives the records from its peers, so
	// that the manifest comes into force on it and the move need not wait.
	It("from the log alone delays no move", func() {
		c := harness.New(harness.Options{PeerProxies: true})
		c.Form(manifestBefore())
		l := startLoad(c, 21)
		c.Entry(1).CutLog()
		c.Publish(manifestAfter())
		expectMoved(c)
		c.Entry(1).HealLog()
		Expect(l.Stop().Broken.Count).To(BeZero())
		c.Check()
	})

	// The entry reaches neither the log nor its peers and continues to answer
	// requests by its last known routes. The move waits for it. It reports in its
	// readiness that it is cut off, so that the balancer stops using it.
	It("from log and peers delays the move and continues to answer", func() {
		c := harness.New(harness.Options{PeerProxies: true})
		c.Form(manifestBefore())
		cut := c.Entry(1)
		others := startLoad(c, 22, c.Entry(0), c.Entry(2))
		own := c.Load(load.Options{Services: []string{"tabs", "charges"}, Rate: 50, Seed: 23}, cut)
		cut.CutLog()
		cut.CutPeers()
		publish(c, manifestAfter())
		awaitMoveBegun(c)
		awaitMoveWaitsFor(c, cut, membership.CauseNotAcked, membership.CauseNotHeard)
		expectNotMoved(c)
		Eventually(func(g Gomega) {
			st, err := cut.Status()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(st.Readiness.Reasons).To(ContainElement(ContainSubstring("cut off")))
		}, harness.Timeout, harness.PollInterval).Should(Succeed())
		Expect(own.Stop().Broken.Count).To(BeZero())

		cut.HealPeers()
		cut.HealLog()
		expectMoved(c)
		cut.AwaitReady()
		Expect(others.Stop().Broken.Count).To(BeZero())
		c.Check()
	})
})
