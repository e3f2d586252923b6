package shards

import (
	"strconv"
	"testing"

	. "github.com/onsi/gomega"
)

// Without a bound, a deployment with thousands of accounts creates as many time series in
// each process.
func TestLabelValuesAreBounded(t *testing.T) {
	g := NewWithT(t)
	var l boundedLabels
	for n := range maxLabelValues {
		name := strconv.Itoa(n)
		g.Expect(l.labelFor(name)).To(Equal(name))
	}
	g.Expect(l.labelFor("one more")).To(Equal(otherLabelValue))
	g.Expect(l.labelFor("7")).To(Equal("7"))
}
