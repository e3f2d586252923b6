// Package spares tests that instances return to the spares when no pool needs
// them, without cost to a service. Its specs publish manifests under load,
// for a wave that needs a spare and for a pool that shrinks, and check the
// size of the pool and the guarantees of the harness. It runs as a Ginkgo
// suite under go test.
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

func tabsManifest(count, revision int) *manifest.Manifest {
	return harness.Manifest(2, harness.ServicePool{Name: "tabs", Count: count, MinAvailable: 4, Revision: revision})
}

// workersInPool counts the workers that the platform lists in a pool.
func workersInPool(c *harness.Cluster, pool string) int {
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
	// The budget equals the size of the pool, so that the maintenance wave needs
	// a spare in the pool. After the wave the pool must release one instance: the
	// platform is asked to remove it from the pool.
	It("join a pool for a wave without headroom, and one instance is released afterwards", func() {
		c := harness.New(harness.Options{})
		c.Form(tabsManifest(4, 0))
		l := c.Load(load.Options{Services: []string{"tabs"}, Seed: 1})
		c.Publish(tabsManifest(4, 1))
		c.AwaitRevision("tabs", 1)
		Eventually(func() int { return workersInPool(c, "tabs") }, harness.Timeout, harness.PollInterval).Should(Equal(4))
		c.AwaitSettled()
		l.Stop()
		c.Check()
	})

	// A manifest reduces the size of a pool.
	It("receive the surplus instances of a pool that shrinks", func() {
		c := harness.New(harness.Options{})
		c.Form(tabsManifest(6, 0))
		l := c.Load(load.Options{Services: []string{"tabs"}, Seed: 2})
		c.Publish(tabsManifest(4, 0))
		Eventually(func() int { return workersInPool(c, "tabs") }, harness.Timeout, harness.PollInterval).Should(Equal(4))
		c.AwaitSettled()
		l.Stop()
		c.Check()
	})
})
