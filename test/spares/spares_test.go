// Package spares proves that instances go back to the spares when no pool
// needs them, without cost to a service.
package spares_test

import (
	"context"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/standin/load"
	"cyclamenwheel/test/harness"
)

func TestSpares(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Spares")
}

var _ = AfterSuite(harness.RemoveBinaries)

func tabs(count, revision int) *manifest.Manifest {
	return harness.Manifest(2, harness.ServicePool{Name: "tabs", Count: count, MinAvailable: 4, Revision: revision})
}

func inPool(c *harness.Cluster, pool string) int {
	GinkgoHelper()
	rows, err := c.Standin.Instances(context.Background())
	Expect(err).NotTo(HaveOccurred())
	n := 0
	for _, r := range rows {
		if r.Pool == pool && r.Kind == "worker" {
			n++
		}
	}
	return n
}

var _ = Describe("Spares", func() {
	// A pool's budget is all of its instances, so that its wave can only go on
	// with a spare lent to it. At the end the pool gives one instance back: the
	// platform is asked to put it into no pool.
	It("lend an instance to a wave without headroom and take one back", func() {
		c := harness.New(harness.Options{})
		c.Form(tabs(4, 0))
		l := c.Load(load.Options{Services: []string{"tabs"}, Seed: 1})
		c.Publish(tabs(4, 1))
		c.SettledAt("tabs", 1)
		Eventually(func() int { return inPool(c, "tabs") }, harness.Patience, harness.Poll).Should(Equal(4))
		c.Settle()
		l.Stop()
		c.Check()
	})

	// A manifest makes a pool smaller.
	It("take what a smaller pool leaves over", func() {
		c := harness.New(harness.Options{})
		c.Form(tabs(6, 0))
		l := c.Load(load.Options{Services: []string{"tabs"}, Seed: 2})
		c.Publish(tabs(4, 0))
		Eventually(func() int { return inPool(c, "tabs") }, harness.Patience, harness.Poll).Should(Equal(4))
		c.Settle()
		l.Stop()
		c.Check()
	})
})
