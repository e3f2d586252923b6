// Package inforce proves that an accepted manifest is in force everywhere
// within seconds and never reverts. Every process is asked for its generation
// all the time.
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

// sized is one pool of that many instances; the count tells manifests apart.
func sized(count int) *manifest.Manifest {
	return harness.Manifest(2, harness.ServicePool{Name: "tabs", Count: count, MinAvailable: 2})
}

// start forms a fleet of three instances under watch and load.
func start(opts harness.Options, seed uint64) (*harness.Cluster, *harness.Load) {
	GinkgoHelper()
	c := harness.New(opts)
	c.Form(sized(3))
	c.Watch()
	return c, c.Load(load.Options{Services: []string{"tabs"}, Seed: seed})
}

// finish ends the load and expects that nothing was broken by the platform's
// eyes and that no generation ever fell.
func finish(c *harness.Cluster, l *harness.Load) {
	GinkgoHelper()
	l.Stop()
	Expect(c.Samples()).NotTo(BeZero())
	c.Check()
}

// expectEverywhere expects that every process comes to report a generation.
func expectEverywhere(c *harness.Cluster, generation uint64) {
	GinkgoHelper()
	for _, p := range c.All() {
		Eventually(p.Generation, harness.Patience, harness.Poll).Should(Equal(generation), p.ID)
	}
}

// faults sets the same fault for appends and reads: the log as a whole.
func faults(c *harness.Cluster, f standin.PlatformFault) {
	GinkgoHelper()
	Expect(c.Standin.SetFault(bg, standin.ClassAppend, f)).To(Succeed())
	Expect(c.Standin.SetFault(bg, standin.ClassRead, f)).To(Succeed())
}

// verdicts are those on all published manifests, in log order.
func verdicts(c *harness.Cluster) []fold.Verdict {
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

func accepted(list []fold.Verdict) int {
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
