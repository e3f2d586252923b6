package slots

import (
	"flag"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// TestMain fixes the seed, so that a verdict does not depend on the run. Other
// seeds are tried with -rapid.seed.
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

var _ = Describe("the division of slots", func() {
	It("gives every slot to exactly one entry where nobody lends", func() {
		w := newWorld(10, 8, seven...)
		for _, n := range w.names {
			w.entries[n].SetDemand("p", 100)
		}
		w.settle(3)
		for _, i := range w.instances {
			sum := 0
			for _, n := range w.names {
				sum += w.limits[n][i.ID]
			}
			Expect(sum).To(Equal(8))
		}
	})

	// The balancer sends half of all callers to one entry. With its static
	// share it would refuse them while slots of the others lie idle.
	It("lends what others do not need, and takes it back", func() {
		w := newWorld(10, 8, seven...)
		for _, n := range w.names {
			w.entries[n].SetDemand("p", 6)
		}
		w.entries["e1"].SetDemand("p", 60)
		w.settle(4)
		Expect(total(w.limits["e1"])).To(BeNumerically(">=", 36))
		for _, n := range w.names {
			w.entries[n].SetDemand("p", 60)
		}
		w.settle(5)
		for _, n := range w.names {
			Expect(total(w.limits[n])).To(BeNumerically(">=", 80/7), n)
		}
	})

	It("lends nothing to a silent entry", func() {
		w := newWorld(10, 8, "a", "b")
		w.settle(2)
		w.entries["a"].PeerSilent("b")
		w.entries["a"].peers["b"].demand["p"] = 80
		Expect(total(w.entries["a"].Publish())).To(Equal(40))
	})

	// A slot is called back before the borrower has heard that it was lent. A
	// late confirmation of an earlier loan says "nothing in use". If the lender
	// took it for the new loan, it would use the slot again, and the borrower
	// would too once the offer reaches it.
	It("is not misled by a confirmation of an earlier loan", func() {
		w := newWorld(1, 4, "a", "b")
		a, b := w.entries["a"], w.entries["b"]
		want := func(na, nb int) {
			a.SetDemand("p", na)
			b.SetDemand("p", nb)
		}
		want(50, 50)
		w.settle(2)
		want(0, 50)
		w.settle(2)
		Expect(b.Allowed("w0")).To(Equal(3))
		want(50, 50)
		w.settle(2)
		Expect(b.Allowed("w0")).To(Equal(2))
		earlier := b.Outgoing("a")
		want(0, 50)
		w.round("a")
		offer := a.Outgoing("b")
		want(50, 50)
		w.round("a")
		a.OnPeer("b", earlier)
		b.OnPeer("a", offer)
		Expect(a.Allowed("w0") + b.Allowed("w0")).To(Equal(4))
	})

	// A slot is called back after the borrower has published its limits and
	// before it has counted its requests. It counts none, but traffic still
	// goes by the old limit: it must not confirm yet.
	It("confirms a recall only after traffic goes by it", func() {
		w := newWorld(1, 4, "a", "b")
		a, b := w.entries["a"], w.entries["b"]
		b.SetDemand("p", 50)
		w.settle(3)
		a.SetDemand("p", 50)
		w.limits["b"] = b.Publish()
		w.round("a")
		b.OnPeer("a", a.Outgoing("b"))
		w.observe("b")
		a.OnPeer("b", b.Outgoing("a"))
		Expect(w.limits["b"]["w0"]).To(Equal(3))
		Expect(a.Publish()["w0"]).To(Equal(1))
		w.settle(2)
		Expect(a.Publish()["w0"]).To(Equal(2))
	})

	// The borrower knows of a new membership version, the lender does not yet.
	// A loan of the old version must not be used: once all have acknowledged,
	// the lender takes the slot to be its own again.
	It("uses no loan of a version that is being replaced", func() {
		w := newWorld(1, 4, "a", "b")
		w.entries["b"].SetDemand("p", 50)
		w.settle(1)
		w.round("a")
		offer := w.entries["a"].Outgoing("b")
		Expect(offer.Lends).NotTo(BeEmpty())
		w.change("a", "b", "c")
		w.learn("b")
		w.entries["b"].OnPeer("a", offer)
		Expect(w.entries["b"].Allowed("w0")).To(BeNumerically("<=", 2))
	})

	// Requests start after the last count, then the instance goes. The count
	// of none from before must not pass for the present one.
	It("does not settle on a count from before an instance went", func() {
		w := newWorld(1, 8, "a")
		w.settle(1)
		w.start("a", "w0", 4)
		w.entries["a"].SetInstances(nil)
		w.change("a", "b")
		w.learn("a")
		w.round("a")
		Expect(w.entries["a"].Settled()).To(BeFalse())
		w.flight["a"]["w0"] = 0
		w.round("a")
		Expect(w.entries["a"].Settled()).To(BeTrue())
	})

	It("does not settle while requests on a lost share are in flight", func() {
		w := newWorld(1, 8, "a")
		w.settle(1)
		w.start("a", "w0", 8)
		w.change("a", "b")
		w.learn("a")
		w.round("a")
		Expect(w.entries["a"].Settled()).To(BeFalse())
		w.flight["a"]["w0"] = 4
		w.round("a")
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
