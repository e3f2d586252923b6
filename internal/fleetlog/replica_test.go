package fleetlog_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cyclamenwheel/internal/fleetlog"
)

// newLogWithSnapshot returns a log that contains a snapshot, with records before
// its mark, between mark and part, and after the part.
func newLogWithSnapshot() *memoryLog {
	t := newMemoryLog()
	author := fleetlog.NewReplica()
	e := t.claimLease("p1")
	t.publish(0, map[string][2]int{"a": {3, 2}})
	t.addInstances(e, "a", 4)
	t.write("p1", 0, fleetlog.KindMark, fleetlog.Mark{AppliedOffset: 3})
	author.Ingest(t.records)
	encoded, at := author.MarkedState()
	Expect(at).To(Equal(uint64(4)))
	t.write("p1", e, fleetlog.KindBegin, begin("a-0", "a", "a"))
	for _, p := range fleetlog.Split(encoded, at) {
		t.write("p1", 0, fleetlog.KindPart, p)
	}
	t.write("p1", e, fleetlog.KindCommit, commit("a-0"))
	return t
}

func encodedState(s *fleetlog.State) string {
	data, err := s.Encode()
	Expect(err).NotTo(HaveOccurred())
	return string(data)
}

var _ = Describe("a replica", func() {
	// The log has been trimmed up to the snapshot. A process that starts now
	// must reach the same state as one that read every record.
	It("reaches the same state when it starts from a snapshot", func() {
		t := newLogWithSnapshot()
		late := fleetlog.NewReplica()
		late.Ingest(t.records[4:])
		Expect(late.Bootstrapping()).To(BeFalse())
		Expect(encodedState(late.State())).To(Equal(encodedState(t.state)))
	})

	// The records between a snapshot's mark and its parts have been trimmed. The
	// later records can't be applied to the snapshot, so it must not be used.
	It("does not start from a snapshot if records after the mark are missing", func() {
		t := newLogWithSnapshot()
		late := fleetlog.NewReplica()
		late.Ingest(t.records[5:])
		Expect(late.Bootstrapping()).To(BeTrue())
	})

	It("counts a snapshot that differs from its own state", func() {
		t := newLogWithSnapshot()
		r := fleetlog.NewReplica()
		r.Ingest(t.records[:4])
		t2 := newMemoryLog()
		t2.records = t.records[:5]
		bad := fleetlog.Split([]byte("not this state"), 4)[0]
		t2.write("p1", 0, fleetlog.KindPart, bad)
		r.Ingest(t2.records)
		Expect(r.Diverged).To(Equal(1))
	})

	// Records reach a process from the log and from peers, repeated, late and
	// with gaps. The final state must not depend on the order of delivery.
	It("reaches the same state for any order of delivery", func() {
		t := newLogWithSnapshot()
		want := encodedState(t.state)
		rapid.Check(GinkgoT(), func(rt *rapid.T) {
			r := fleetlog.NewReplica()
			for range 20 {
				from := rapid.IntRange(0, len(t.records)-1).Draw(rt, "from")
				to := rapid.IntRange(from+1, len(t.records)).Draw(rt, "to")
				before := r.State().Offset
				r.Ingest(t.records[from:to])
				if r.State().Offset < before {
					rt.Fatalf("state reverted from offset %d to %d", before, r.State().Offset)
				}
			}
			r.Ingest(t.records)
			if got := encodedState(r.State()); got != want {
				rt.Fatalf("state differs after delivery in several ranges")
			}
		})
	})

	// Later records arrive first, then the log from its beginning. The replica
	// must not skip the beginning as already seen.
	It("starts from the first record when later records arrive before it", func() {
		t := newLogWithSnapshot()
		r := fleetlog.NewReplica()
		r.Ingest(t.records[5:])
		r.Ingest(t.records)
		Expect(r.Bootstrapping()).To(BeFalse())
		Expect(encodedState(r.State())).To(Equal(encodedState(t.state)))
	})

	// A process was paused for longer than records are kept, and the state of
	// the peer it asks is older than its own. The manifest generation in force
	// must not be reverted.
	It("refuses to install an older state", func() {
		t := newLogWithSnapshot()
		r := fleetlog.NewReplica()
		r.Ingest(t.records)
		old := newMemoryLog()
		old.claimLease("p1")
		Expect(r.Install(old.state)).To(BeFalse())
		Expect(r.State().Manifest.Generation).To(Equal(uint64(1)))
	})

	It("continues from a later snapshot after the log was trimmed past its state", func() {
		t := newLogWithSnapshot()
		r := fleetlog.NewReplica()
		r.Ingest(t.records[:2])
		r.Rebootstrap()
		Expect(r.State().Manifest.Generation).To(Equal(uint64(1)))
		r.Ingest(t.records[4:])
		Expect(r.Bootstrapping()).To(BeFalse())
		Expect(encodedState(r.State())).To(Equal(encodedState(t.state)))
	})
})
