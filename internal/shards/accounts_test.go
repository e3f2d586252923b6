package shards

import (
	"strconv"
	"testing"

	. "github.com/onsi/gomega"
)

// A deployment with thousands of accounts makes as many series in each process.
func TestAccountLabelsAreBounded(t *testing.T) {
	g := NewWithT(t)
	var l accountLabels
	for n := range mostAccountLabels {
		name := strconv.Itoa(n)
		g.Expect(l.of(name)).To(Equal(name))
	}
	g.Expect(l.of("one more")).To(Equal(otherAccounts))
	g.Expect(l.of("7")).To(Equal("7"))
}
