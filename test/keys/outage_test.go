package keys_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/dispatch"
	"cyclamenwheel/internal/idempotency"
	"cyclamenwheel/internal/platform"
	"cyclamenwheel/internal/standin"
	"cyclamenwheel/test/harness"
)

// outage is one way for the log to be away.
type outage struct {
	begin, end func(c *harness.Cluster)
}

var (
	appendsDown = outage{
		begin: func(c *harness.Cluster) {
			Expect(c.Standin.SetFault(bg, standin.ClassAppend, standin.PlatformFault{Down: true})).To(Succeed())
		},
		end: func(c *harness.Cluster) { Expect(c.Standin.ClearFaults(bg)).To(Succeed()) },
	}
	allCut = outage{
		begin: func(c *harness.Cluster) { each(c, (*harness.Process).CutLog) },
		end:   func(c *harness.Cluster) { each(c, (*harness.Process).HealLog) },
	}
	allHang = outage{
		begin: func(c *harness.Cluster) { each(c, (*harness.Process).HangLog) },
		end:   func(c *harness.Cluster) { each(c, (*harness.Process).HealLog) },
	}
)

func each(c *harness.Cluster, do func(*harness.Process)) {
	for _, p := range c.All() {
		do(p)
	}
}

// expectJournalled waits until the claims of all charges are in the log and no
// entry holds any more.
func expectJournalled(c *harness.Cluster, charges []charge) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		keys := c.Fold().Keys
		for _, ch := range charges {
			_, known := keys.Lookup(idempotency.HashKey(pool, ch.key))
			g.Expect(known).To(BeTrue(), ch.key)
		}
		for _, e := range c.Entries() {
			if !e.Alive() {
				continue
			}
			st, err := keysOf(e)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(st.Held+st.Witness).To(BeZero(), e.ID)
		}
	}, harness.Timeout, harness.PollInterval).Should(Succeed())
}

// runAll runs each charge once by any entry, in an outage.
func runAll(c *harness.Cluster, charges []charge) {
	GinkgoHelper()
	for n, ch := range charges {
		r := send(bg, c.Entry(n%len(c.Entries())), ch)
		Expect(r.answered()).To(BeTrue(), r.String())
	}
}

func chargesOf(keys []string) []charge {
	var out []charge
	for _, key := range keys {
		out = append(out, charge{key: key, body: "tab"})
	}
	return out
}

// slowWay is how long a record is on its way to the log from a process that is
// slow to reach it: just within the time that an append may take.
const slowWay = 1500 * time.Millisecond

var _ = Describe("An outage of the log", func() {
	// Charges come in while no record can be appended. Owner and witness, in
	// two zones, hold each claim before it runs, so that callers are served and
	// a key sent to all entries runs once. When the log is back both journal
	// what they hold: the claims are in the log, and repetitions get the answer.
	DescribeTable("does not stop keyed requests, nor lets one run twice",
		func(o outage) {
			c := formed(entryCount, nil)
			o.begin(c)
			var charges []charge
			for n := range 12 {
				charges = append(charges, charge{key: fmt.Sprintf("outage-%d", n), body: "tab", work: shortWork})
			}
			replies := allTogether(c.Entries(), charges)
			for i, ch := range charges {
				runs := runsOf(c, ch.key)
				Expect(runs).To(HaveLen(1), ch.key)
				for _, r := range replies[i] {
					expectAnswer(r, runs[0].Seq)
				}
			}
			o.end(c)
			expectJournalled(c, charges)
			for n, ch := range charges {
				expectAnswer(settled(c.Entry(n%entryCount), ch), runsOf(c, ch.key)[0].Seq)
			}
			c.Check()
		},
		Entry("that refuses appends", appendsDown),
		Entry("that cuts every process off", allCut),
		Entry("in which calls hang", allHang))

	// An owner is lost while the log is away, with claims that only it and its
	// witnesses know. Until the log is back nobody takes its place. Then the
	// witnesses journal those claims before they acknowledge the loss, so that
	// the successor finds them all.
	It("and the loss of an owner together run no key twice", func() {
		c := formed(entryCount, nil)
		owner := c.Entry(0)
		keys := keysWhere(c, "owner", 12, func(p place) bool { return p.owner == owner })
		charges := chargesOf(keys)
		appendsDown.begin(c)
		runAll(c, charges)
		owner.LoseInstance()
		for i, replies := range allTogether(others(c, owner), charges) {
			for _, r := range replies {
				expectRan(r, runsOf(c, charges[i].key)[0].Seq)
			}
		}
		appendsDown.end(c)
		for n, ch := range charges {
			rest := others(c, owner)
			expectRan(settled(rest[n%len(rest)], ch), runsOf(c, ch.key)[0].Seq)
			Expect(runsOf(c, ch.key)).To(HaveLen(1), ch.key)
		}
		expectJournalled(c, charges)
		c.Check()
	})

	// As above, but the log returns to everybody sooner than to the witness,
	// which hears of the owner's loss from its peers meanwhile. The successor is
	// there, and its claim would be the first in the log. It gets the keys only
	// once the witness has acknowledged the loss, and that waits for its claims
	// to be in the log.
	It("and the loss of an owner run no key twice where the witness is slow to journal", func() {
		c := formed(entryCount, nil)
		owner, witness := c.Entry(0), c.Entry(1)
		rest := others(c, owner, witness)
		charges := chargesOf(keysWhere(c, "slow", 8, func(p place) bool {
			return p.owner == owner && p.witness == witness
		}))
		charges = slices.DeleteFunc(charges, func(ch charge) bool {
			return placeOf(ch.key, others(c, owner)).owner == witness
		})
		Expect(charges).NotTo(BeEmpty())
		appendsDown.begin(c)
		runAll(c, charges)
		owner.LoseInstance()
		witness.HoldCalls(slowWay)
		appendsDown.end(c)
		for n, ch := range charges {
			expectRan(settled(rest[n%len(rest)], ch), runsOf(c, ch.key)[0].Seq)
			Expect(runsOf(c, ch.key)).To(HaveLen(1), ch.key)
		}
		witness.HealLog()
		expectJournalled(c, charges)
		c.Check()
	})

	// An owner and the witness of some of its keys are lost while the log is
	// away: nobody knows any more which of those keys were claimed. When the
	// log is back all keys between the two are refused as unknown, the new ones
	// among them too, rather than run a second time. Keys that another entry
	// held are known, and keys of others go on.
	It("and the loss of owner and witness together leave keys unknown", func() {
		c := formed(entryCount+1, nil)
		owner, witness := c.Entry(0), c.Entry(1)
		both := func(p place) bool { return p.owner == owner && p.witness == witness }
		keys := keysWhere(c, "both", 16, both)
		ran, fresh := chargesOf(keys[:8]), chargesOf(keys[8:])
		safe := chargesOf(keysWhere(c, "safe", 4, func(p place) bool {
			return p.owner == owner && p.witness != witness
		}))
		apart := chargesOf(keysWhere(c, "apart", 4, func(p place) bool {
			return p.owner != owner && p.owner != witness
		}))
		appendsDown.begin(c)
		runAll(c, ran)
		runAll(c, safe)
		for _, p := range []*harness.Process{owner, witness} {
			p.Kill()
		}
		for _, p := range []*harness.Process{owner, witness} {
			Expect(c.Standin.SetState(bg, p.Instance, platform.StateGone)).To(Succeed())
		}
		appendsDown.end(c)

		rest := others(c, owner, witness)
		for _, e := range rest {
			awaitProven(e, len(rest))
		}
		for n, ch := range append(ran, fresh...) {
			expectRefused(settled(rest[n%len(rest)], ch), dispatch.TypeKeyUnknown, dispatch.RanUnknown)
		}
		for n, ch := range safe {
			expectRan(settled(rest[n%len(rest)], ch), runsOf(c, ch.key)[0].Seq)
		}
		for n, ch := range apart {
			Expect(settled(rest[n%len(rest)], ch).answered()).To(BeTrue())
		}
		for _, ch := range ran {
			Expect(runsOf(c, ch.key)).To(HaveLen(1))
		}
		for _, ch := range fresh {
			Expect(runsOf(c, ch.key)).To(BeEmpty())
		}
		c.Check()
	})
})
