package idempotency

import (
	"encoding/binary"
	"runtime"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/fold"
)

var _ = Describe("The state of keys in the fold", func() {
	var s *State
	var meta fold.Meta
	boots := map[string]string{"a": "1", "b": "1"}
	members := func(id string) (string, bool) { boot, ok := boots[id]; return boot, ok }
	claim := func(key byte, attempt string, held bool) ClaimRecord {
		return ClaimRecord{Key: KeyHash{key}, Fingerprint: [16]byte{key}, Attempt: HashAttempt(attempt), Held: held}
	}
	apply := func(owner, boot string, claims ...ClaimRecord) (fold.Verdict, []ClaimResult) {
		meta.Offset++
		meta.TimeMillis++
		return s.ApplyClaims(meta, ClaimBatch{Owner: owner, OwnerBoot: boot, Claims: claims}, members)
	}
	won := func(owner, boot string, c ClaimRecord) bool {
		_, results := apply(owner, boot, c)
		return len(results) == 1 && results[0].Won
	}
	finish := func(c ClaimRecord, o Outcome) FinishResult {
		meta.Offset++
		_, results := s.ApplyFinishes(meta, FinishBatch{Finishes: []FinishRecord{{Key: c.Key, Attempt: c.Attempt, Outcome: o}}})
		return results[0]
	}
	BeforeEach(func() {
		s, meta = NewState(), fold.Meta{TimeMillis: 1_800_000_000_000}
	})

	It("grants a key to the first claim in log order and to later claims of the same attempt", func() {
		_, results := apply("a", "1", claim(1, "x", false), claim(1, "y", false))
		Expect(results[0].Won).To(BeTrue())
		Expect(results[1]).To(And(HaveField("Won", false), HaveField("Holder.Owner", "a"), HaveField("Holder.Offset", uint64(1))))
		Expect(won("b", "1", claim(1, "x", false))).To(BeTrue())
	})

	// An entry that was replaced while it was paused appends its claims late.
	It("rejects claims of non-members and of earlier incarnations", func() {
		for _, author := range [][2]string{{"gone", "1"}, {"a", "0"}} {
			v, results := apply(author[0], author[1], claim(1, "x", false))
			Expect(v.Reason).To(Equal(ReasonNotMember))
			Expect(results).To(BeNil())
		}
		Expect(s.Len()).To(BeZero())
		v, _ := apply("a", "1", make([]ClaimRecord, MaxBatch+1)...)
		Expect(v.Reason).To(Equal(fold.ReasonMalformed))
	})

	// The same entry appends a claim that it had granted through a witness. That
	// request may have run, so the fold records it, but nothing else of the batch.
	It("applies held claims from non-members too", func() {
		v, results := apply("gone", "1", claim(1, "x", true), claim(2, "x", false))
		Expect(v.Accepted).To(BeTrue())
		Expect(results[0].Won).To(BeTrue())
		Expect(results[1].Rejected).To(BeTrue())
		Expect(won("a", "1", claim(1, "y", false))).To(BeFalse())
		Expect(won("a", "1", claim(2, "y", false))).To(BeTrue())
	})

	It("releases a key for other attempts, but not for a late copy of its claim", func() {
		x, y := claim(1, "x", false), claim(1, "y", false)
		Expect(won("a", "1", x)).To(BeTrue())
		Expect(finish(y, OutcomeNotRun)).To(Equal(FinishResult{}))
		Expect(finish(x, OutcomeNotRun)).To(Equal(FinishResult{Applied: true, Released: true}))
		_, known := s.Lookup(x.Key)
		Expect(known).To(BeFalse())
		Expect(won("b", "1", claim(1, "x", true))).To(BeFalse())
		Expect(won("a", "1", y)).To(BeTrue())
		Expect(finish(x, OutcomeNotRun)).To(Equal(FinishResult{}), "stale")
		Expect(finish(y, OutcomeAnswered).Applied).To(BeTrue())
		Expect(won("a", "1", claim(1, "z", false))).To(BeFalse())
	})

	It("never releases a key that two attempts may have run for", func() {
		x := claim(1, "x", false)
		Expect(won("a", "1", x)).To(BeTrue())
		Expect(won("b", "1", claim(1, "y", true))).To(BeFalse())
		Expect(finish(x, OutcomeNotRun).Released).To(BeFalse())
		Expect(finish(claim(1, "y", true), OutcomeNotRun).Released).To(BeFalse())
		Expect(won("a", "1", claim(1, "z", false))).To(BeFalse())
	})

	It("expires keys by log time, whatever the progress of the bounded removal", func() {
		const keys = 5 * maxExpiredPerRecord
		for i := range keys / MaxBatch {
			var claims []ClaimRecord
			for j := range MaxBatch {
				c := claim(0, "x", false)
				binary.BigEndian.PutUint32(c.Key[4:], uint32(i*MaxBatch+j))
				claims = append(claims, c)
			}
			apply("a", "1", claims...)
		}
		last := claim(0, "y", false)
		binary.BigEndian.PutUint32(last.Key[4:], keys-1)
		meta.TimeMillis += Retention.Milliseconds() - 2
		Expect(won("a", "1", last)).To(BeFalse())
		meta.TimeMillis += 2
		Expect(won("a", "1", last)).To(BeTrue())
		Expect(s.Len()).To(BeNumerically(">", keys-4*maxExpiredPerRecord), "removed in steps")
		for range 5 {
			apply("a", "1")
		}
		Expect(s.Len()).To(Equal(1))
	})

	It("is restored unchanged from snapshot parts and from CBOR", func() {
		for k := range byte(50) {
			Expect(won("a", "1", claim(k, "x", false))).To(BeTrue())
		}
		finish(claim(3, "x", false), OutcomeNotRun)
		finish(claim(4, "x", false), OutcomeAnswered)
		s.MarkUncertain(meta, []string{"a"}, []Member{{ID: "a"}}, 5)
		restored, err := RestoreState(s.Parts(7))
		Expect(err).NotTo(HaveOccurred())
		data, err := cbor.Marshal(s)
		Expect(err).NotTo(HaveOccurred())
		var decoded State
		Expect(cbor.Unmarshal(data, &decoded)).To(Succeed())
		for _, other := range []*State{restored, &decoded} {
			Expect(other.Parts(9)).To(Equal(s.Parts(9)))
			Expect(other.Uncertain(KeyHash{99})).To(BeTrue())
		}
		_, err = RestoreState([]Part{{Rows: make([]byte, rowBytes)}})
		Expect(err).To(BeAssignableToTypeOf(&SnapshotError{}))
	})

	It("marks only keys whose owner and witness are both lost, until the end of retention", func() {
		all := []Member{{"a", "1", "z1"}, {"b", "1", "z2"}, {"c", "1", "z3"}, {"d", "1", "z4"}}
		s.MarkUncertain(meta, []string{"a", "b"}, all, 0)
		marked := 0
		for i := range 1000 {
			var key KeyHash
			binary.BigEndian.PutUint32(key[:], uint32(i))
			o, _ := ownerOf(key, all)
			w, _ := witnessOf(key, all, o)
			lost := o.ID+w.ID == "ab" || o.ID+w.ID == "ba"
			Expect(s.Uncertain(key)).To(Equal(lost))
			if lost {
				marked++
			}
		}
		Expect(marked).To(BeNumerically("~", 1000/6, 60))
		meta.TimeMillis += Retention.Milliseconds()
		apply("a", "1")
		Expect(s.UncertainRanges()).To(BeEmpty())
	})

	It("uses less than 256 bytes of memory per key", func() {
		const keys = 400_000
		before := heapBytes()
		for i := 0; i < keys; i += MaxBatch {
			claims := make([]ClaimRecord, MaxBatch)
			for j := range claims {
				binary.BigEndian.PutUint32(claims[j].Key[:], uint32(i+j))
			}
			apply("a", "1", claims...)
		}
		perKey := float64(heapBytes()-before) / float64(s.Len())
		GinkgoWriter.Printf("memory: %.0f bytes a key, %d bytes a key in a snapshot\n", perKey, rowBytes)
		Expect(perKey).To(BeNumerically("<", 256))
	})
})

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

var _ = Describe("Answers cached for replay", func() {
	It("stay within the byte limit and expire after Retention", func() {
		at := time.Unix(0, 0)
		a := newAnswerCache(10_000)
		for k := range byte(100) {
			a.put(KeyHash{k}, finishedRequest{answer: &Answer{Body: make([]byte, 1000)}, finishedAt: at})
			Expect(a.bytes).To(BeNumerically("<=", 10_000))
		}
		_, old := a.get(at, KeyHash{0})
		_, recent := a.get(at, KeyHash{99})
		_, late := a.get(at.Add(Retention), KeyHash{99})
		Expect([]bool{old, recent, late}).To(Equal([]bool{false, true, false}))
		a.put(KeyHash{1}, finishedRequest{answer: &Answer{Body: make([]byte, MaxAnswerBytes+1)}, finishedAt: at})
		kept, _ := a.get(at, KeyHash{1})
		Expect(kept.answer).To(BeNil())
	})
})
