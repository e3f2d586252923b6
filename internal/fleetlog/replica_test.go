package fleetlog_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cyclamenwheel/internal/fleetlog"
)

// written returns a log with some history, a snapshot and what follows it.
func written() *trace {
	t := newTrace()
	author := fleetlog.NewReplica()
	e := t.claim("p1")
	t.publish(0, map[string][2]int{"a": {3, 2}})
	t.fleet(e, "a", 4)
	t.write("p1", 0, fleetlog.KindMark, fleetlog.Mark{Wanted: 3})
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

func hashOf(s *fleetlog.State) string {
	data, err := s.Encode()
	Expect(err).NotTo(HaveOccurred())
	return string(data)
}

var _ = Describe("a replica", func() {
	// The log has been trimmed up to the snapshot. A process that starts now
	// must come to the same state as one that saw every record.
	It("starts from a snapshot to the same state", func() {
		t := written()
		late := fleetlog.NewReplica()
		late.Ingest(t.records[4:])
		Expect(late.Cold()).To(BeFalse())
		Expect(hashOf(late.State())).To(Equal(hashOf(t.state)))
	})

	// The records between a snapshot's mark and its parts are trimmed: the
	// snapshot can't be folded on, and a state with a hole must not be used.
	It("does not start where records after the mark are missing", func() {
		t := written()
		late := fleetlog.NewReplica()
		late.Ingest(t.records[5:])
		Expect(late.Cold()).To(BeTrue())
	})

	It("counts a snapshot that differs from its own state", func() {
		t := written()
		r := fleetlog.NewReplica()
		r.Ingest(t.records[:4])
		t2 := newTrace()
		t2.records = t.records[:5]
		bad := fleetlog.Split([]byte("not this state"), 4)[0]
		t2.write("p1", 0, fleetlog.KindPart, bad)
		r.Ingest(t2.records)
		Expect(r.Diverged).To(Equal(1))
	})

	// Records reach a process from the log and from peers: repeated, late and
	// with gaps. Whatever the order of delivery, it ends in the one state.
	It("comes to one state whatever the delivery", func() {
		t := written()
		want := hashOf(t.state)
		rapid.Check(GinkgoT(), func(rt *rapid.T) {
			r := fleetlog.NewReplica()
			for range 20 {
				from := rapid.IntRange(0, len(t.records)-1).Draw(rt, "from")
				to := rapid.IntRange(from+1, len(t.records)).Draw(rt, "to")
				before := r.State().Offset
				r.Ingest(t.records[from:to])
				if r.State().Offset < before {
					rt.Fatalf("state went back from %d to %d", before, r.State().Offset)
				}
			}
			r.Ingest(t.records)
			if got := hashOf(r.State()); got != want {
				rt.Fatalf("state differs after delivery in pieces")
			}
		})
	})

	// Found by the property above: a page of late records arrives first, then
	// the log from its beginning. The beginning must not be passed over.
	It("starts from the beginning where that turns up late", func() {
		t := written()
		r := fleetlog.NewReplica()
		r.Ingest(t.records[5:])
		r.Ingest(t.records)
		Expect(r.Cold()).To(BeFalse())
		Expect(hashOf(r.State())).To(Equal(hashOf(t.state)))
	})

	// A process was paused for longer than records are kept, and the peer it
	// asks is older than itself. A generation in force must not revert.
	It("never takes an older state", func() {
		t := written()
		r := fleetlog.NewReplica()
		r.Ingest(t.records)
		old := newTrace()
		old.claim("p1")
		Expect(r.Install(old.state)).To(BeFalse())
		Expect(r.State().Manifest.Generation).To(Equal(uint64(1)))
	})

	It("goes on from a later snapshot after the log was trimmed past it", func() {
		t := written()
		r := fleetlog.NewReplica()
		r.Ingest(t.records[:2])
		r.Restart()
		Expect(r.State().Manifest.Generation).To(Equal(uint64(1)))
		r.Ingest(t.records[4:])
		Expect(r.Cold()).To(BeFalse())
		Expect(hashOf(r.State())).To(Equal(hashOf(t.state)))
	})
})
