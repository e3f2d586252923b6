// Package budget proves that every service stays within its availability
// budget, through moves and maintenance waves. The verdict is the platform's:
// its own timeline of live instances, and the log.
package budget_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/fold"
	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/platform"
	"cyclamenwheel/internal/standin"
	"cyclamenwheel/internal/standin/load"
	"cyclamenwheel/test/harness"
)

func TestBudget(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Promise: availability budget")
}

var _ = AfterSuite(harness.RemoveBinaries)

var bg = context.Background()

// slowReboot keeps a wave going for long enough to be met in the middle.
// appendDelay is how long the planner's record is on its way. What is to
// overtake it (a loss seen by way of the list, and its record) takes some 300 ms,
// and on a busy machine took more than 2.5 s once. It stays under the platform
// client's limit for an append, 5 s.
const appendDelay = 4500 * time.Millisecond

const slowReboot = 300 * time.Millisecond

// stillFor is how long nothing must happen where nothing may: several times
// what the next drain of a wave takes to begin.
const stillFor = 4 * time.Second

// waveParallel allows more drains at a time than any budget here does.
const waveParallel = 4

// Sizes of the pools: each has one instance above its budget.
const (
	poolSize  = 4
	minBudget = 3
)

// fleetOf is two pools at a maintenance revision; the rest of the fleet is
// spare.
func fleetOf(revision int) *manifest.Manifest {
	return harness.Manifest(waveParallel,
		harness.ServicePool{Name: "tabs", Count: poolSize, MinAvailable: minBudget, Revision: revision},
		harness.ServicePool{Name: "charges", Count: poolSize, MinAvailable: minBudget, Revision: revision})
}

// longLease keeps the holder of the planner lease while appends are slow.
var longLease = map[string]map[string]string{"timing": {"lease_ttl": "20s"}}

// decideUnderSlowAppends publishes a manifest that starts a wave while every
// append takes long, and returns once the planner has decided its first drains
// and written them: the record is on its way, and what is appended from now on
// comes before it.
func decideUnderSlowAppends(c *harness.Cluster, m *manifest.Manifest) *harness.Process {
	GinkgoHelper()
	holder := c.Planner()
	Expect(c.Standin.SetFault(bg, standin.ClassAppend, standin.PlatformFault{DelayMillis: appendDelay.Milliseconds()})).To(Succeed())
	_, res := c.TryPublish(m)
	Expect(res.Code).To(BeZero(), res.Err)
	awaitDecided(holder)
	// The planner shows a decision before its record has reached the platform. With
	// the delay ended by then, the record would not be late at all.
	Eventually(func() (int, error) { return c.Standin.CountDelayed(bg, holder.ID) }, harness.Timeout, harness.PollInterval).
		Should(BeNumerically(">", 0), "the planner's record never came")
	Expect(c.Standin.ClearFaults(bg)).To(Succeed())
	return holder
}

// expectLateDrain waits until the planner's record has come, and expects that
// the fold refused it for the given reason. before is how many verdicts on its
// records there were already.
func expectLateDrain(c *harness.Cluster, planner *harness.Process, before int, reason fold.Reason) {
	GinkgoHelper()
	var late []fold.Verdict
	Eventually(func() int {
		late = c.Verdicts(planner.ID, fleetlog.KindBegin)
		return len(late)
	}, harness.Timeout, harness.PollInterval).Should(BeNumerically(">", before), "the record never came")
	c.Check()
	Expect(late[before].Reason).To(Equal(reason))
}

// begun counts the planner's records of moves and drains in the log.
func begun(c *harness.Cluster, planner *harness.Process) int {
	GinkgoHelper()
	return len(c.Verdicts(planner.ID, fleetlog.KindBegin))
}

func callers(c *harness.Cluster, seed uint64) *harness.Load {
	return c.Load(load.Options{Services: []string{"tabs", "charges"}, Seed: seed})
}

// rows are the workers as they are.
func rows(c *harness.Cluster) []standin.ActualInstance {
	all, err := c.Standin.Instances(bg)
	Expect(err).NotTo(HaveOccurred())
	var out []standin.ActualInstance
	for _, r := range all {
		if r.Kind == platform.KindWorker {
			out = append(out, r)
		}
	}
	return out
}

// withRevision counts the workers that have a maintenance revision.
func withRevision(c *harness.Cluster, revision int) int {
	n := 0
	for _, r := range rows(c) {
		if r.Revision >= revision {
			n++
		}
	}
	return n
}

// running names a worker of a pool that an operation is under way on, "" for
// none.
func running(c *harness.Cluster, pool string) string {
	for _, r := range rows(c) {
		if r.OperationInProgress != "" && r.Pool == pool {
			return r.ID
		}
	}
	return ""
}

// allServing names the workers of a pool that are live and left alone, in the
// order in which a wave takes those of one rack.
func allServing(c *harness.Cluster, pool string) []string {
	var out []string
	for _, r := range rows(c) {
		if r.OperationInProgress == "" && r.Pool == pool && r.State == platform.StateLive {
			out = append(out, r.ID)
		}
	}
	Expect(out).NotTo(BeEmpty())
	return out
}

// serving is one that a wave may take next, lastServing one that it takes late.
func serving(c *harness.Cluster, pool string) string { return allServing(c, pool)[0] }

func lastServing(c *harness.Cluster, pool string) string {
	all := allServing(c, pool)
	return all[len(all)-1]
}

// awaitWave waits until an operation is under way in a pool.
func awaitWave(c *harness.Cluster, pool string) string {
	GinkgoHelper()
	var id string
	Eventually(func() string { id = running(c, pool); return id }, harness.Timeout, harness.PollInterval).ShouldNot(BeEmpty())
	return id
}

// awaitDecided waits until a planner has decided drains.
func awaitDecided(p *harness.Process) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		view, err := p.PlannerView()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(view.Waves.Drains).NotTo(BeEmpty())
	}, harness.Timeout, harness.PollInterval).Should(Succeed())
}

func basedOn(generation uint64) []string {
	return []string{"--based-on", strconv.FormatUint(generation, 10)}
}
