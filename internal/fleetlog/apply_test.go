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

var _ = Describe("Applying records to the state", func() {
	var t *memoryLog
	BeforeEach(func() { t = newMemoryLog() })

	// Two operators publish based on the same generation and both appends
	// succeed. The second record must be rejected with the name of the other
	// operator, because it is based on a manifest that is no longer in force.
	It("accepts one of two concurrent manifests", func() {
		Expect(t.publish(0, map[string][2]int{"a": {3, 1}}).Accepted).To(BeTrue())
		v := t.publish(0, map[string][2]int{"a": {9, 1}})
		Expect(v.Reason).To(Equal(manifest.ReasonConflict))
		Expect(v.Detail).To(ContainSubstring("operator"))
		Expect(t.state.Manifest.Generation).To(Equal(uint64(1)))
		Expect(t.state.Manifest.Current().Pools[0].Instances.Count).To(Equal(3))
	})

	// The response to an append is lost and the writer retries with the same
	// record id. The manifest must be published once.
	It("applies a repeated append once", func() {
		rec, err := fleetlog.NewRecord(fleetlog.KindPublish, "operator", 0,
			manifest.Publish{Raw: manifestOf(map[string][2]int{"a": {1, 1}})})
		Expect(err).NotTo(HaveOccurred())
		Expect(t.append(rec).Accepted).To(BeTrue())
		Expect(t.append(rec).Reason).To(Equal(fold.ReasonDuplicate))
		Expect(t.state.Manifest.Generation).To(Equal(uint64(1)))
	})

	// A planner is paused until its lease expires and a successor claims the
	// next epoch. After it resumes, the first planner appends the drain that it
	// had planned; with the successor's drain that would exceed the budget. The
	// record of the old epoch must be rejected.
	It("rejects records of a planner that was paused until its lease expired", func() {
		old := t.claimLease("p1")
		t.publish(0, map[string][2]int{"a": {3, 2}})
		t.addInstances(old, "a", 3)
		fresh := t.claimLease("p2")
		Expect(t.write("p2", fresh, fleetlog.KindBegin, begin("a-0", "a", "a")).Accepted).To(BeTrue())
		v := t.write("p1", old, fleetlog.KindBegin, begin("a-1", "a", "a"))
		Expect(v.Reason).To(Equal(fold.ReasonStaleEpoch))
		Expect(t.state.Pools.Available("a")).To(Equal(2))
	})

	It("grants the lease to the first of two claims of the same epoch", func() {
		t.claimLease("p1")
		v := t.write("p2", 0, fleetlog.KindLeaseClaim, planlease.Claim{Follows: 0, Holder: "p2", BootID: "b1"})
		Expect(v.Reason).To(Equal(planlease.ReasonLostRace))
		Expect(t.state.Lease.Holder).To(Equal("p1"))
	})

	// An instance is lost during a wave, which uses up the pool's headroom. The
	// next drain must be rejected until an instance has returned.
	It("counts lost instances against the budget of later drains", func() {
		e := t.claimLease("p1")
		t.publish(0, map[string][2]int{"a": {4, 2}})
		t.addInstances(e, "a", 4)
		Expect(t.write("p1", e, fleetlog.KindDown, pools.Down{Instances: []string{"a-3"}, Why: "test"}).Accepted).To(BeTrue())
		Expect(t.write("p1", e, fleetlog.KindBegin, begin("a-0", "a", "a")).Accepted).To(BeTrue())
		v := t.write("p1", e, fleetlog.KindBegin, begin("a-1", "a", "a"))
		Expect(v.Reason).To(Equal(fold.ReasonOverBudget))
		Expect(t.write("p1", e, fleetlog.KindCommit, commit("a-0")).Accepted).To(BeTrue())
		Expect(t.write("p1", e, fleetlog.KindBegin, begin("a-1", "a", "a")).Accepted).To(BeTrue())
	})

	It("keeps an instance in its old pool until the move commits", func() {
		e := t.claimLease("p1")
		t.publish(0, map[string][2]int{"a": {2, 1}, "b": {1, 1}})
		t.addInstances(e, "a", 3)
		Expect(t.write("p1", e, fleetlog.KindBegin, begin("a-0", "a", "b")).Accepted).To(BeTrue())
		in := t.state.Pools.Instances["a-0"]
		Expect(in.Pool).To(Equal("a"))
		Expect(in.Phase).To(Equal(pools.PhaseMoving))
		Expect(t.write("p1", e, fleetlog.KindBegin, begin("a-0", "a", "a")).Reason).To(Equal(fold.ReasonWrongPhase))
		Expect(t.write("p1", e, fleetlog.KindCommit, commit("a-0")).Accepted).To(BeTrue())
		Expect(in.Pool).To(Equal("b"))
		Expect(in.Revision).To(Equal(1))
	})

	// An instance goes down during a move. Whether the platform has moved it is
	// known only after it returns, from the operation in its facts.
	DescribeTable("resolves a move that was interrupted by a loss",
		func(operation, pool string, phase pools.Phase) {
			e := t.claimLease("p1")
			t.publish(0, map[string][2]int{"a": {2, 1}, "b": {1, 1}})
			t.addInstances(e, "a", 3)
			t.write("p1", e, fleetlog.KindBegin, begin("a-0", "a", "b"))
			t.write("p1", e, fleetlog.KindDown, pools.Down{Instances: []string{"a-0"}})
			t.write("p1", e, fleetlog.KindSeen, pools.Seen{Facts: []pools.Fact{{ID: "a-0", BootID: "b9", Operation: operation}}})
			in := t.state.Pools.Instances["a-0"]
			Expect(in.Pool).To(Equal(pool))
			Expect(in.Phase).To(Equal(phase))
		},
		Entry("completed by the platform", "op-a-0", "b", pools.PhaseServing),
		Entry("not completed yet", "", "a", pools.PhaseMoving),
	)

	// The instance list that a new planner reads is older than the one its
	// predecessor read. Applying the older facts would restore the boot id of an
	// ended boot, and a healthy instance would get no requests.
	It("rejects facts from an older instance list", func() {
		e := t.claimLease("p1")
		t.write("p1", e, fleetlog.KindSeen, pools.Seen{List: 7, Facts: []pools.Fact{{ID: "x", BootID: "b2"}}})
		v := t.write("p1", e, fleetlog.KindSeen, pools.Seen{List: 6, Facts: []pools.Fact{{ID: "x", BootID: "b1"}}})
		Expect(v.Reason).To(Equal(pools.ReasonOldFacts))
		Expect(t.state.Pools.Instances["x"].BootID).To(Equal("b2"))
	})
})
