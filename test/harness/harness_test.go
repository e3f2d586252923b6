package harness_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/standin/load"
	"cyclamenwheel/test/harness"
)

func TestHarness(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Harness")
}

var _ = AfterSuite(harness.RemoveBinaries)

var _ = Describe("A cluster", func() {
	It("forms, serves, restarts a process and stops without breaking a guarantee", func() {
		c := harness.New(harness.Options{PeerProxies: true})
		c.Form(harness.Manifest(2,
			harness.ServicePool{Name: "tabs", Count: 4, MinAvailable: 3},
			harness.ServicePool{Name: "charges", Count: 4, MinAvailable: 3}))
		l := c.Load(load.Options{Services: []string{"tabs", "charges"}, Seed: 1})
		c.Publish(harness.Manifest(2,
			harness.ServicePool{Name: "tabs", Count: 5, MinAvailable: 3, Revision: 1},
			harness.ServicePool{Name: "charges", Count: 4, MinAvailable: 3}))
		c.AwaitRevision("tabs", 1)
		c.Entry(0).CutLog()
		c.Entry(0).HealLog()
		sum := l.Stop()
		Expect(sum.Broken.Count).To(BeZero())
		Expect(c.Entry(1).Stop()).To(BeZero())
		c.Entry(1).Restart()
		c.Entry(1).AwaitReady()
		for _, p := range c.All() {
			Expect(p.Stop()).To(BeZero(), p.ID)
		}
		c.Check()
	})
})
