package slots

import (
	"flag"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// TestMain fixes the seed so that the result does not depend on the run. Use
// -rapid.seed to try other seeds.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": "1000", "rapid.steps": "100", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func TestSlots(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "slots")
}

var seven = []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7"}

var _ = Describe("sharing of slots", func() {
	It("gives every slot to exactly one entry if nobody lends", func() {
		w := newCluster(10, 8, seven...)
		for _, n := range w.names {
			w.entries[n].SetDemand("p", 100)
		}
		w.runRounds(3)
		for _, i := range w.instances {
			sum := 0
			for _, n := range w.names {
				sum += w.limits[n][i.ID]
			}
			Expect(sum).To(Equal(8))
		}
	})

	// The load balancer sends half of all callers to one entry. With its static
	// share it would refuse them while other entries' slots are idle.
	It("lends slots that other entries do not need, and recalls them", func() {
		w := newCluster(10, 8, seven...)
		for _, n := range w.names {
			w.entries[n].SetDemand("p", 6)
		}
		w.entries["e1"].SetDemand("p", 60)
		w.runRounds(4)
		Expect(total(w.limits["e1"])).To(BeNumerically(">=", 36))
		for _, n := range w.names {
			w.entries[n].SetDemand("p", 60)
		}
		w.runRounds(5)
		for _, n := range w.names {
			Expect(total(w.limits[n])).To(BeNumerically(">=", 80/7), n)
		}
	})

	It("lends nothing to an unresponsive entry", func() {
		w := newCluster(10, 8, "a", "b")
		w.runRounds(2)
		w.entries["a"].PeerSilent("b")
		w.entries["a"].peers["b"].demand["p"] = 80
		Expect(total(w.entries["a"].Publish())).To(Equal(40))
	})

	// A slot is recalled before the borrower has received the offer, and a late
	// confirmation of an earlier loan reports that nothing is in use. If the
	// lender applied it to the new loan, it would use the slot again, and so
	// would the borrower once the offer arrives.
	It("ignores a confirmation of an earlier loan", func() {
		w := newCluster(1, 4, "a", "b")
		a, b := w.entries["a"], w.entries["b"]
		want := func(na, nb int) {
			a.SetDemand("p", na)
			b.SetDemand("p", nb)
		}
		want(50, 50)
		w.runRounds(2)
		want(0, 50)
		w.runRounds(2)
		Expect(b.Allowed("w0")).To(Equal(3))
		want(50, 50)
		w.runRounds(2)
		Expect(b.Allowed("w0")).To(Equal(2))
		earlier := b.Outgoing("a")
		want(0, 50)
		w.heartbeat("a")
		offer := a.Outgoing("b")
		want(50, 50)
		w.heartbeat("a")
		a.OnPeer("b", earlier)
		b.OnPeer("a", offer)
		Expect(a.Allowed("w0") + b.Allowed("w0")).To(Equal(4))
	})

	// A slot is recalled after the borrower has published its limits and before
	// it has counted its requests. It counts none, but traffic still uses the
	// old limit, so the borrower must not confirm yet.
	It("confirms a recall only after the lower limit is applied to traffic", func() {
		w := newCluster(1, 4, "a", "b")
		a, b := w.entries["a"], w.entries["b"]
		b.SetDemand("p", 50)
		w.runRounds(3)
		a.SetDemand("p", 50)
		w.limits["b"] = b.Publish()
		w.heartbeat("a")
		b.OnPeer("a", a.Outgoing("b"))
		w.observe("b")
		a.OnPeer("b", b.Outgoing("a"))
		Expect(w.limits["b"]["w0"]).To(Equal(3))
		Expect(a.Publish()["w0"]).To(Equal(1))
		w.runRounds(2)
		Expect(a.Publish()["w0"]).To(Equal(2))
	})

	// The borrower knows a new membership version and the lender does not. A
	// loan of the old version must not be used: once all have acknowledged the
	// new one, the lender uses the slot itself.
	It("uses no loan of a membership version that is being replaced", func() {
		w := newCluster(1, 4, "a", "b")
		w.entries["b"].SetDemand("p", 50)
		w.runRounds(1)
		w.heartbeat("a")
		offer := w.entries["a"].Outgoing("b")
		Expect(offer.Lends).NotTo(BeEmpty())
		w.newMembership("a", "b", "c")
		w.deliverMembership("b")
		w.entries["b"].OnPeer("a", offer)
		Expect(w.entries["b"].Allowed("w0")).To(BeNumerically("<=", 2))
	})

	// Requests start after the last count, and then the instance is removed.
	// The earlier count of zero must not be used.
	It("does not settle on a count from before an instance was removed", func() {
		w := newCluster(1, 8, "a")
		w.runRounds(1)
		w.start("a", "w0", 4)
		w.entries["a"].SetInstances(nil)
		w.newMembership("a", "b")
		w.deliverMembership("a")
		w.heartbeat("a")
		Expect(w.entries["a"].Settled()).To(BeFalse())
		w.inFlight["a"]["w0"] = 0
		w.heartbeat("a")
		Expect(w.entries["a"].Settled()).To(BeTrue())
	})

	It("does not settle while requests on a lost share are in flight", func() {
		w := newCluster(1, 8, "a")
		w.runRounds(1)
		w.start("a", "w0", 8)
		w.newMembership("a", "b")
		w.deliverMembership("a")
		w.heartbeat("a")
		Expect(w.entries["a"].Settled()).To(BeFalse())
		w.inFlight["a"]["w0"] = 4
		w.heartbeat("a")
		Expect(w.entries["a"].Settled()).To(BeTrue())
	})
})

func total(limits map[string]int) int {
	n := 0
	for _, l := range limits {
		n += l
	}
	return n
}
