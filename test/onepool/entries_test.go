package onepool_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/membership"
	"cyclamenwheel/internal/standin/load"
	"cyclamenwheel/test/harness"
)

var _ = Describe("An entry that is frozen before it has acknowledged a move", func() {
	// The entry still sends to the instance as far as it knows, and callers'
	// requests pile up in front of it. The move begins in the log and waits,
	// and the planner says for whom. When the entry wakes it first meets the
	// requests that have waited; the instance must still be in its old pool
	// then, or get none of them.
	It("holds the move up, and sends nothing to the instance after it", func() {
		c := harness.New(harness.Options{})
		c.Form(before())
		l := callers(c, 11)
		frozen := c.Entry(2)
		frozen.Freeze()
		publish(c, after())
		awaitBegun(c)
		awaitWaiting(c, frozen, membership.CauseNotAcked)
		expectUntouched(c)
		frozen.Wake()
		expectMoved(c)
		l.Stop()
		c.Check()
	})

	// The frozen entry never wakes: its process is started anew under the same
	// id. The new one has folded the beginning of the move before it is ready,
	// and the old one cannot send any more.
	It("no longer holds it up once it has been started anew", func() {
		c := harness.New(harness.Options{})
		c.Form(before())
		l := callers(c, 12)
		frozen := c.Entry(1)
		frozen.Freeze()
		publish(c, after())
		awaitBegun(c)
		awaitWaiting(c, frozen, membership.CauseNotAcked)
		expectUntouched(c)
		frozen.Restart()
		expectMoved(c)
		frozen.AwaitReady()
		l.Stop()
		c.Check()
	})

	// The frozen entry stays listed. After fence_after the planner asks the
	// platform to stop its instance, and only once that is listed as gone does
	// the move go on: no time limit passes over an entry that could wake.
	It("is stopped by the platform when it holds the move up for too long", func() {
		c := harness.New(harness.Options{FenceAfter: time.Second})
		c.Form(before())
		l := callers(c, 13)
		frozen := c.Entry(2)
		frozen.Freeze()
		publish(c, after())
		expectMoved(c)
		Eventually(frozen.Exited(), harness.Patience).Should(BeClosed())
		Expect(truth(c, frozen.Instance).Fenced).To(BeTrue())
		frozen.Replace()
		frozen.AwaitReady()
		l.Stop()
		c.Check()
	})
})

var _ = Describe("An entry that is cut off", func() {
	// The entry cannot read the log. Its peers hand it the records, so that
	// the manifest comes into force on it and the move need not wait.
	It("from the log alone holds no move up", func() {
		c := harness.New(harness.Options{PeerProxies: true})
		c.Form(before())
		l := callers(c, 21)
		c.Entry(1).CutLog()
		c.Publish(after())
		expectMoved(c)
		c.Entry(1).HealLog()
		Expect(l.Stop().Broken.Count).To(BeZero())
		c.Check()
	})

	// The entry hears neither the log nor its peers and goes on answering what
	// reaches it, by the routes that it has. The move waits for it. It says
	// that it is cut off, so that the balancer leaves it.
	It("from log and peers holds the move up and goes on answering", func() {
		c := harness.New(harness.Options{PeerProxies: true})
		c.Form(before())
		cut := c.Entry(1)
		others := callers(c, 22, c.Entry(0), c.Entry(2))
		own := c.Load(load.Options{Services: []string{"tabs", "charges"}, Rate: 50, Seed: 23}, cut)
		cut.CutLog()
		cut.CutPeers()
		publish(c, after())
		awaitBegun(c)
		awaitWaiting(c, cut, membership.CauseNotAcked, membership.CauseNotHeard)
		expectUntouched(c)
		Eventually(func(g Gomega) {
			st, err := cut.Status()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(st.Readiness.Reasons).To(ContainElement(ContainSubstring("cut off")))
		}, harness.Patience, harness.Poll).Should(Succeed())
		Expect(own.Stop().Broken.Count).To(BeZero())

		cut.HealPeers()
		cut.HealLog()
		expectMoved(c)
		cut.AwaitReady()
		Expect(others.Stop().Broken.Count).To(BeZero())
		c.Check()
	})
})
