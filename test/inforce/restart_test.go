package inforce_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/test/harness"
)

// frequentSnapshots lets trimToSnapshot find a new snapshot soon.
var frequentSnapshots = map[string]map[string]string{"timing": {"snapshot_every": "500ms"}}

// rareSnapshots leaves time between two snapshots, so that a test can act
// between them.
var rareSnapshots = map[string]map[string]string{"timing": {"snapshot_every": "3s"}}

// trimToSnapshot waits for a snapshot that covers everything now in the log,
// and drops all records up to its mark, so that a process that starts finds
// nothing older.
func trimToSnapshot(c *harness.Cluster) {
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
	}, harness.Timeout, harness.PollInterval).Should(BeTrue(), "no snapshot was written")
	Expect(c.Standin.Trim(bg, mark+1)).To(Succeed())
}

var _ = Describe("A log whose records are trimmed", func() {
	// Every process is restarted, one after the other, and finds only a snapshot
	// and the records after it, not the beginning of the log.
	It("keeps the manifest in force while all processes are restarted one by one", func() {
		c, l := startCluster(harness.Options{Settings: frequentSnapshots}, 11)
		generation := c.Publish(manifestOfSize(4)).Generation
		c.AwaitSettled()
		for _, p := range c.All() {
			trimToSnapshot(c)
			p.Restart()
			p.AwaitMember()
			expectGeneration(c, generation)
		}
		generation = c.Publish(manifestOfSize(5)).Generation
		expectGeneration(c, generation)
		c.AwaitSettled()
		finishAndCheck(c, l)
	})

	// All processes are killed together, so that only the log has the state.
	It("keeps the manifest in force when all processes are killed together", func() {
		c, l := startCluster(harness.Options{Settings: frequentSnapshots}, 12)
		generation := c.Publish(manifestOfSize(4)).Generation
		c.AwaitSettled()
		trimToSnapshot(c)
		for _, p := range c.All() {
			p.Kill()
		}
		for _, p := range c.All() {
			p.Start()
		}
		expectGeneration(c, generation)
		for _, e := range c.Entries() {
			e.AwaitReady()
		}
		expectGeneration(c, c.Publish(manifestOfSize(5)).Generation)
		c.AwaitSettled()
		finishAndCheck(c, l)
	})

	// An entry is paused for longer than the log keeps records, and disconnected
	// from its peers. It resumes with an old state, and both the next record that
	// it needs and the newest snapshot have been trimmed. It must keep its state,
	// report that it is not ready, and continue from the next snapshot.
	It("lets an entry that was paused meanwhile catch up", func() {
		c, l := startCluster(harness.Options{PeerProxies: true, Settings: rareSnapshots}, 13)
		frozen := c.Entry(2)
		frozen.Freeze()
		frozen.CutLog() // or the response to the read in flight would deliver the new records
		_, res := c.TryPublish(manifestOfSize(4))
		Expect(res.Code).To(BeZero(), res.Err)
		trimToSnapshot(c)
		Expect(c.Standin.Trim(bg, c.Fold().Offset+1)).To(Succeed())
		frozen.CutPeers()
		frozen.HealLog()
		frozen.Wake()
		Eventually(func(g Gomega) {
			st, err := frozen.Status()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(st.Readiness.Ready).To(BeFalse())
		}, harness.Timeout, harness.PollInterval).Should(Succeed())
		frozen.AwaitReady()
		Expect(frozen.Generation()).To(BeEquivalentTo(2))
		frozen.HealPeers()
		expectGeneration(c, c.Publish(manifestOfSize(5)).Generation)
		c.AwaitSettled()
		finishAndCheck(c, l)
	})
})

var _ = Describe("Replacing the instances of the system", func() {
	// Each control process is lost with its instance and started on another one,
	// until no process is left that was running when the manifest was accepted.
	It("one control process after the other keeps the manifest in force", func() {
		c, l := startCluster(harness.Options{}, 21)
		for i, p := range c.Controls() {
			generation := c.Publish(manifestOfSize(4 + i)).Generation
			p.LoseInstance()
			p.Replace()
			p.AwaitMember()
			expectGeneration(c, generation)
		}
		c.AwaitSettled()
		finishAndCheck(c, l)
	})

	// The same for the entries: every second one is lost with its instance, the
	// others stop gracefully.
	It("one entry after the other keeps the manifest in force", func() {
		c, l := startCluster(harness.Options{}, 22)
		for i, p := range c.Entries() {
			generation := c.Publish(manifestOfSize(4 + i)).Generation
			if i%2 == 0 {
				Expect(p.Stop()).To(BeZero())
			} else {
				p.LoseInstance()
			}
			p.Replace()
			p.AwaitReady()
			expectGeneration(c, generation)
		}
		c.AwaitSettled()
		finishAndCheck(c, l)
	})
})
