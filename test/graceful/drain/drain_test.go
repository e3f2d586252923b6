// Package drain_test proves that a planned drain of endpoints refuses nobody
// while the availability budget leaves slots enough.
package drain_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/test/harness"
)

func TestDrain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Drain")
}

var _ = AfterSuite(harness.RemoveBinaries)

func pools(revision int) *manifest.Manifest {
	return harness.Manifest(2,
		harness.ServicePool{Name: "tabs", Count: 6, MinAvailable: 4, Revision: revision},
		harness.ServicePool{Name: "charges", Count: 6, MinAvailable: 4, Revision: revision})
}

var _ = Describe("A planned drain of endpoints", func() {
	// Two instances of each pool are away at a time, and the four that are left
	// have slots for four times the load. Each comes back from its reboot
	// with cold caches and is given work step by step. Were an entry to count
	// it for a tenth of its slots, the whole pool would shrink to that within a
	// wave, and callers would queue and be refused while the endpoints idle.
	It("refuses no caller", func() {
		c := harness.New(harness.Options{Entries: 3, Controls: 2})
		c.Form(pools(0))
		callers := c.Steady(c.Balance(), "tabs", "charges")
		c.Publish(pools(1))
		c.AwaitRevision("tabs", 1)
		c.AwaitRevision("charges", 1)
		callers.StopFaultless()
		c.Check()
	})
})
