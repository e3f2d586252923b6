// Package inforce tests that an accepted manifest comes into force on every
// process within seconds and never reverts. Its specs publish manifests while
// the log, entries, control processes or other operators interfere, and poll
// every process for its generation throughout. It runs as a Ginkgo suite
// under go test.
package inforce_test

import (
	"context"
	"strconv"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/fold"
	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/standin"
	"cyclamenwheel/internal/standin/load"
	"cyclamenwheel/test/harness"
)

func TestInForce(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Promise: in force everywhere, never reverted")
}

var _ = AfterSuite(harness.RemoveBinaries)

var bg = context.Background()

// manifestOfSize returns a manifest with one pool of that many instances; the
// count distinguishes the manifests of a test.
func manifestOfSize(count int) *manifest.Manifest {
	return harness.Manifest(2, harness.ServicePool{Name: "tabs", Count: count, MinAvailable: 2})
}

// startCluster forms a fleet with a pool of three instances, and starts the
// generation watch and a load.
func startCluster(opts harness.Options, seed uint64) (*harness.Cluster, *harness.Load) {
	GinkgoHelper()
	c := harness.New(opts)
	c.Form(manifestOfSize(3))
	c.Watch()
	return c, c.Load(load.Options{Services: []string{"tabs"}, Seed: seed})
}

// finishAndCheck ends the load and expects that the platform recorded no
// violation and that no generation decreased.
func finishAndCheck(c *harness.Cluster, l *harness.Load) {
	GinkgoHelper()
	l.Stop()
	Expect(c.Samples()).NotTo(BeZero())
	c.Check()
}

// expectGeneration waits until every process reports the generation.
func expectGeneration(c *harness.Cluster, generation uint64) {
	GinkgoHelper()
	for _, p := range c.All() {
		Eventually(p.Generation, harness.Timeout, harness.PollInterval).Should(Equal(generation), p.ID)
	}
}

// setLogFault sets the same fault on appends and reads.
func setLogFault(c *harness.Cluster, f standin.PlatformFault) {
	GinkgoHelper()
	Expect(c.Standin.SetFault(bg, standin.ClassAppend, f)).To(Succeed())
	Expect(c.Standin.SetFault(bg, standin.ClassRead, f)).To(Succeed())
}

// publishVerdicts returns the verdicts on all published manifests, in log
// order.
func publishVerdicts(c *harness.Cluster) []fold.Verdict {
	GinkgoHelper()
	var out []fold.Verdict
	_, all := c.FoldWith(nil)
	for _, a := range all {
		if a.Record.Kind == fleetlog.KindPublish {
			out = append(out, a.Verdict)
		}
	}
	return out
}

func countAccepted(list []fold.Verdict) int {
	n := 0
	for _, v := range list {
		if v.Accepted {
			n++
		}
	}
	return n
}

func basedOn(generation uint64) []string {
	return []string{"--based-on", strconv.FormatUint(generation, 10)}
}
