package node

import (
	"testing"

	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/platform"
)

func rec(offset uint64, size int) platform.LogRecord {
	return platform.LogRecord{Offset: offset, Data: make([]byte, size)}
}

func TestRingKeepsTheNewestContiguousRecords(t *testing.T) {
	g := NewWithT(t)
	var r ring
	for o := uint64(1); o <= 10; o++ {
		r.add(rec(o, ringBytes/4))
	}
	r.add(rec(10, 1)) // a repetition
	g.Expect(r.from(1, fetchBytes)).To(BeNil(), "no longer kept")
	g.Expect(r.from(11, fetchBytes)).To(BeNil(), "not there yet")
	g.Expect(r.from(8, 3*ringBytes)).To(HaveLen(3))
	g.Expect(r.from(8, 1)).To(HaveLen(1), "one record goes whatever its size")
	r.add(rec(20, 1)) // after a state was taken from a peer
	g.Expect(r.from(10, fetchBytes)).To(BeNil())
	g.Expect(r.from(20, fetchBytes)).To(HaveLen(1))
}
