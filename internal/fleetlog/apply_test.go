package fleetlog_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/fold"
	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/planlease"
	"cyclamenwheel/internal/pools"
)

var _ = Describe("the fold", func() {
	var t *trace
	BeforeEach(func() { t = newTrace() })

	// Two operators publish on the same generation. Both appends succeed, in
	// some order; the second one in the log is told who won and changes
	// nothing, because its author decided on what is no longer in force.
	It("lets one of two racing manifests win", func() {
		Expect(t.publish(0, map[string][2]int{"a": {3, 1}}).Accepted).To(BeTrue())
		v := t.publish(0, map[string][2]int{"a": {9, 1}})
		Expect(v.Reason).To(Equal(manifest.ReasonConflict))
		Expect(v.Detail).To(ContainSubstring("operator"))
		Expect(t.state.Manifest.Generation).To(Equal(uint64(1)))
		Expect(t.state.Manifest.Current().Pools[0].Instances.Count).To(Equal(3))
	})

	// The answer of an append is lost and the writer repeats it. The caller
	// sees one publication: the second copy carries the same id.
	It("folds a repeated append once", func() {
		rec, err := fleetlog.NewRecord(fleetlog.KindPublish, "operator", 0,
			manifest.Publish{Raw: manifestOf(map[string][2]int{"a": {1, 1}})})
		Expect(err).NotTo(HaveOccurred())
		Expect(t.append(rec).Accepted).To(BeTrue())
		Expect(t.append(rec).Reason).To(Equal(fold.ReasonDuplicate))
		Expect(t.state.Manifest.Generation).To(Equal(uint64(1)))
	})

	// A planner is frozen past its lease. Its successor claims the next epoch;
	// when the first one wakes it still appends the drain it had planned, and
	// two drains would cost the pool one instance more than its budget. The
	// record of the old epoch is refused by every reader.
	It("refuses records of a planner that was frozen past its lease", func() {
		old := t.claim("p1")
		t.publish(0, map[string][2]int{"a": {3, 2}})
		t.fleet(old, "a", 3)
		fresh := t.claim("p2")
		Expect(t.write("p2", fresh, fleetlog.KindBegin, begin("a-0", "a", "a")).Accepted).To(BeTrue())
		v := t.write("p1", old, fleetlog.KindBegin, begin("a-1", "a", "a"))
		Expect(v.Reason).To(Equal(fold.ReasonStaleEpoch))
		Expect(t.state.Pools.Available("a")).To(Equal(2))
	})

	It("gives the lease to the first of two claims of the same epoch", func() {
		t.claim("p1")
		v := t.write("p2", 0, fleetlog.KindLeaseClaim, planlease.Claim{Follows: 0, Holder: "p2", BootID: "b1"})
		Expect(v.Reason).To(Equal(planlease.ReasonLostRace))
		Expect(t.state.Lease.Holder).To(Equal("p1"))
	})

	// Instances are lost during a wave. The loss takes what the wave still
	// had to spend, so the next drain is refused until one is back.
	It("counts losses against the budget of later drains", func() {
		e := t.claim("p1")
		t.publish(0, map[string][2]int{"a": {4, 2}})
		t.fleet(e, "a", 4)
		Expect(t.write("p1", e, fleetlog.KindDown, pools.Down{Instances: []string{"a-3"}, Why: "test"}).Accepted).To(BeTrue())
		Expect(t.write("p1", e, fleetlog.KindBegin, begin("a-0", "a", "a")).Accepted).To(BeTrue())
		v := t.write("p1", e, fleetlog.KindBegin, begin("a-1", "a", "a"))
		Expect(v.Reason).To(Equal(fold.ReasonOverBudget))
		Expect(t.write("p1", e, fleetlog.KindCommit, commit("a-0")).Accepted).To(BeTrue())
		Expect(t.write("p1", e, fleetlog.KindBegin, begin("a-1", "a", "a")).Accepted).To(BeTrue())
	})

	It("keeps an instance in its old pool until the move commits", func() {
		e := t.claim("p1")
		t.publish(0, map[string][2]int{"a": {2, 1}, "b": {1, 1}})
		t.fleet(e, "a", 3)
		Expect(t.write("p1", e, fleetlog.KindBegin, begin("a-0", "a", "b")).Accepted).To(BeTrue())
		in := t.state.Pools.Instances["a-0"]
		Expect(in.Pool).To(Equal("a"))
		Expect(in.Phase).To(Equal(pools.PhaseMoving))
		Expect(t.write("p1", e, fleetlog.KindBegin, begin("a-0", "a", "a")).Reason).To(Equal(fold.ReasonWrongPhase))
		Expect(t.write("p1", e, fleetlog.KindCommit, commit("a-0")).Accepted).To(BeTrue())
		Expect(in.Pool).To(Equal("b"))
		Expect(in.Revision).To(Equal(1))
	})

	// An instance dies in the middle of a move. Whether the platform moved it
	// is known only when it is back: by the operation it names.
	DescribeTable("settles a move that a loss interrupted",
		func(operation, pool string, phase pools.Phase) {
			e := t.claim("p1")
			t.publish(0, map[string][2]int{"a": {2, 1}, "b": {1, 1}})
			t.fleet(e, "a", 3)
			t.write("p1", e, fleetlog.KindBegin, begin("a-0", "a", "b"))
			t.write("p1", e, fleetlog.KindDown, pools.Down{Instances: []string{"a-0"}})
			t.write("p1", e, fleetlog.KindSeen, pools.Seen{Facts: []pools.Fact{{ID: "a-0", BootID: "b9", Operation: operation}}})
			in := t.state.Pools.Instances["a-0"]
			Expect(in.Pool).To(Equal(pool))
			Expect(in.Phase).To(Equal(phase))
		},
		Entry("done by the platform", "op-a-0", "b", pools.PhaseServing),
		Entry("not done yet", "", "a", pools.PhaseMoving),
	)

	// A new planner's instance list lags behind the one that its predecessor
	// read. Folding the older facts would bring a boot id back that has ended,
	// and requests would be held from a healthy instance.
	It("refuses facts from an older instance list", func() {
		e := t.claim("p1")
		t.write("p1", e, fleetlog.KindSeen, pools.Seen{List: 7, Facts: []pools.Fact{{ID: "x", BootID: "b2"}}})
		v := t.write("p1", e, fleetlog.KindSeen, pools.Seen{List: 6, Facts: []pools.Fact{{ID: "x", BootID: "b1"}}})
		Expect(v.Reason).To(Equal(pools.ReasonOldFacts))
		Expect(t.state.Pools.Instances["x"].BootID).To(Equal("b2"))
	})
})
