package leaving_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/platform"
	"cyclamenwheel/internal/standin"
	"cyclamenwheel/test/harness"
)

// loseLog takes the log away from everybody; the instance list still answers.
func loseLog(c *harness.Cluster) {
	GinkgoHelper()
	for _, class := range []standin.Class{standin.ClassAppend, standin.ClassRead} {
		Expect(c.Standin.SetFault(GinkgoT().Context(), class, standin.PlatformFault{Down: true})).To(Succeed())
	}
}

// expectGoneForGood has a leaving instance drop off the list, as those do that
// have gone, and expects that the entry does not take that for its return.
func expectGoneForGood(c *harness.Cluster, entry *harness.Process, gone string) {
	GinkgoHelper()
	Expect(c.Standin.Remove(GinkgoT().Context(), gone)).To(Succeed())
	next := harness.WorkerIDs(leavers + 1)[0]
	Expect(c.Standin.SetState(GinkgoT().Context(), next, platform.StateLeaving)).To(Succeed())
	var routes []string
	Eventually(func(g Gomega) {
		view, err := entry.EntryView()
		g.Expect(err).NotTo(HaveOccurred())
		routes = nil
		for _, e := range view.Pools[pool] {
			routes = append(routes, e.Instance)
		}
		g.Expect(routes).NotTo(ContainElement(next))
	}, harness.Timeout, harness.PollInterval).Should(Succeed())
	Expect(routes).NotTo(ContainElement(gone))
	Expect(routes).NotTo(BeEmpty())
}

var _ = Describe("An endpoint that the platform lists as leaving", func() {
	// The platform takes instances away by itself, one by one, under load. Each
	// entry sees that in its own copy of the list and leaves the instance out
	// of its routes, before the planner has recorded anything. An endpoint that
	// still got work would be cut off in the middle of it when it stops.
	It("gets no new work", func() {
		c := formed()
		l := sendTo(c)
		ids := leave(c, leavers)
		l.Stop()
		expectNoneLate("all reachable", lastWork(c, ids))
	})

	// The log is down: no record can tell the entries of the loss. The list
	// alone must be enough.
	It("gets no new work while the log is down", func() {
		c := formed()
		l := sendTo(c)
		loseLog(c)
		ids := leave(c, leavers)
		l.Stop()
		expectNoneLate("log down", lastWork(c, ids))
	})

	// One entry reaches neither the log nor the list, only its peers. They tell
	// it in their heartbeats which workers are not live, and pass on the
	// planner's records. All callers send to this entry.
	It("gets no new work from an entry that reaches only its peers", func() {
		c := formed()
		cut := c.Entry(0)
		l := sendTo(c, cut)
		cut.CutLog()
		ids := leave(c, leavers)
		l.Stop()
		expectNoneLate("entry reaches only peers", lastWork(c, ids))
	})

	// As above, and the log is down for all the others too: there are no
	// records to pass on, so that what peers have read in the list is all that
	// the entry can learn of. Its connection to the platform hangs rather than
	// breaks, as where packets are dropped.
	It("gets no new work from an entry that reaches only its peers while the log is down", func() {
		c := formed()
		cut := c.Entry(0)
		l := sendTo(c, cut)
		cut.HangLog()
		loseLog(c)
		ids := leave(c, leavers)
		l.Stop()
		expectNoneLate("entry reaches only peers, log down", lastWork(c, ids))
		expectGoneForGood(c, cut, ids[0])
	})

	// One entry reaches nobody: no log, no list, no peers. It is not ready, but
	// callers that keep their connections still send to it, and it answers. It
	// cannot know which endpoints leave, so it must ask each of them, over the
	// connection that it is about to use, before it gives it work.
	It("gets no new work from an entry that reaches nobody", func() {
		c := formed()
		cut := c.Entry(0)
		l := sendTo(c, cut)
		cut.CutPeers()
		cut.HangLog()
		ids := leave(c, leavers)
		l.Stop()
		expectNoneLate("entry reaches nobody", lastWork(c, ids))
	})

	// One entry is paused while endpoints leave, and wakes when the time
	// allowed has passed. Requests wait in its sockets, and its routes are of
	// the time before the pause: it would give the endpoints work until it has
	// read the list again.
	It("gets no new work from an entry that was paused meanwhile", func() {
		c := formed()
		paused := c.Entry(0)
		l := sendTo(c, paused)
		for i := 1; i <= leavers; i++ {
			awaitWork(c, harness.WorkerIDs(i)[0])
		}
		paused.Freeze()
		ids := leaveAtOnce(c, leavers)
		over := time.Now().Add(listLag + allowed)
		Eventually(func() bool { return time.Now().After(over) }, harness.Timeout, harness.PollInterval).Should(BeTrue())
		paused.Wake()
		awaitLater(c, over)
		l.Stop()
		expectNoneLate("entry paused", lastWork(c, ids))
	})
})
