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
	r.add(rec(10, 1)) // a duplicate
	g.Expect(r.from(1, maxFetchBytes)).To(BeNil(), "no longer kept")
	g.Expect(r.from(11, maxFetchBytes)).To(BeNil(), "not yet written")
	g.Expect(r.from(8, 3*ringBytes)).To(HaveLen(3))
	g.Expect(r.from(8, 1)).To(HaveLen(1), "at least one record is returned, whatever its size")
	r.add(rec(20, 1)) // after installing a peer's state
	g.Expect(r.from(10, maxFetchBytes)).To(BeNil())
	g.Expect(r.from(20, maxFetchBytes)).To(HaveLen(1))
}
