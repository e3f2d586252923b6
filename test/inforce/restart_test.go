package inforce_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/test/harness"
)

// frequentSnapshots suits a log that the test trims.
var frequentSnapshots = map[string]map[string]string{"timing": {"snapshot_every": "500ms"}}

// rareSnapshots leave time between two of them.
var rareSnapshots = map[string]map[string]string{"timing": {"snapshot_every": "3s"}}

// trim waits for a snapshot that is newer than everything now in the log, and
// drops all records up to it: what a starting process finds begins there.
func trim(c *harness.Cluster) {
	GinkgoHelper()
	head := c.Fold().Offset
	var mark uint64
	Eventually(func() bool {
		mark = 0
		_, all := c.FoldWith(nil)
		for _, a := range all {
			if a.Record.Kind == fleetlog.KindMark && a.Verdict.Accepted && a.Offset > head {
				mark = a.Offset
			}
			if a.Record.Kind == fleetlog.KindPart && mark != 0 {
				return true
			}
		}
		return false
	}, harness.Patience, harness.Poll).Should(BeTrue(), "no snapshot was written")
	Expect(c.Standin.Trim(bg, mark+1)).To(Succeed())
}

var _ = Describe("A log whose records are trimmed", func() {
	// Every process is started anew, one after the other, and none finds the
	// log's beginning any more: only a snapshot and what follows it.
	It("keeps the manifest in force while all processes are restarted one by one", func() {
		c, l := start(harness.Options{Settings: frequentSnapshots}, 11)
		generation := c.Publish(sized(4)).Generation
		c.Settle()
		for _, p := range c.All() {
			trim(c)
			p.Restart()
			p.AwaitMember()
			expectEverywhere(c, generation)
		}
		generation = c.Publish(sized(5)).Generation
		expectEverywhere(c, generation)
		c.Settle()
		finish(c, l)
	})

	// All processes end at once. What the system knew is in the log alone.
	It("keeps the manifest in force when all processes are lost together", func() {
		c, l := start(harness.Options{Settings: frequentSnapshots}, 12)
		generation := c.Publish(sized(4)).Generation
		c.Settle()
		trim(c)
		for _, p := range c.All() {
			p.Kill()
		}
		for _, p := range c.All() {
			p.Start()
		}
		expectEverywhere(c, generation)
		for _, e := range c.Entries() {
			e.AwaitReady()
		}
		expectEverywhere(c, c.Publish(sized(5)).Generation)
		c.Settle()
		finish(c, l)
	})

	// An entry is frozen for longer than the log keeps records, and cut off
	// from its peers. It wakes with an old state and finds that what it needs
	// next is gone, and the newest snapshot with it. It keeps what it has, says
	// that it is not ready, and goes on from the next snapshot.
	It("lets an entry that was frozen meanwhile catch up", func() {
		c, l := start(harness.Options{PeerProxies: true, Settings: rareSnapshots}, 13)
		frozen := c.Entry(2)
		frozen.Freeze()
		frozen.CutLog() // the answer to the read under way would tell
		_, res := c.TryPublish(sized(4))
		Expect(res.Code).To(BeZero(), res.Err)
		trim(c)
		Expect(c.Standin.Trim(bg, c.Fold().Offset+1)).To(Succeed())
		frozen.CutPeers()
		frozen.HealLog()
		frozen.Wake()
		Eventually(func(g Gomega) {
			st, err := frozen.Status()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(st.Readiness.Ready).To(BeFalse())
		}, harness.Patience, harness.Poll).Should(Succeed())
		frozen.AwaitReady()
		Expect(frozen.Generation()).To(BeEquivalentTo(2))
		frozen.HealPeers()
		expectEverywhere(c, c.Publish(sized(5)).Generation)
		c.Settle()
		finish(c, l)
	})
})

var _ = Describe("Instances of the system that are replaced", func() {
	// Each control process is lost with its instance and another comes in its
	// place, until none is left of those that saw the manifest.
	It("one control process after the other keep the manifest in force", func() {
		c, l := start(harness.Options{}, 21)
		for i, p := range c.Controls() {
			generation := c.Publish(sized(4 + i)).Generation
			p.LoseHost()
			p.Replace()
			p.AwaitMember()
			expectEverywhere(c, generation)
		}
		c.Settle()
		finish(c, l)
	})

	// The same of the entries: half of them by a planned stop, half lost.
	It("one entry after the other keep the manifest in force", func() {
		c, l := start(harness.Options{}, 22)
		for i, p := range c.Entries() {
			generation := c.Publish(sized(4 + i)).Generation
			if i%2 == 0 {
				Expect(p.Stop()).To(BeZero())
			} else {
				p.LoseHost()
			}
			p.Replace()
			p.AwaitReady()
			expectEverywhere(c, generation)
		}
		c.Settle()
		finish(c, l)
	})
})
