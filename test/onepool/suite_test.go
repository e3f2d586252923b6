// Package onepool tests that an instance belongs to exactly one pool at any
// time. Its specs move two instances between pools under load while entries,
// planners or the platform fail, and check in the records of the endpoints
// that every request reached an instance of its own pool. It runs as a Ginkgo
// suite under go test.
package onepool_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/membership"
	"cyclamenwheel/internal/pools"
	"cyclamenwheel/internal/standin"
	"cyclamenwheel/internal/standin/load"
	"cyclamenwheel/test/harness"
)

func TestOnePool(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Promise: one pool")
}

var _ = AfterSuite(harness.RemoveBinaries)

var bg = context.Background()

// quietPeriod is how long a test checks that nothing happens: several times
// the duration of a move.
const quietPeriod = 2 * time.Second

// The two instances that swap pools in every test.
const (
	tabsToCharges = "w001"
	chargesToTabs = "w005"
)

// manifestBefore and manifestAfter differ in the pools of these two
// instances. The pools list their instances by ID, so that exactly these two
// move.
func manifestBefore() *manifest.Manifest { return twoPools([]int{1, 2, 3, 4}, []int{5, 6, 7, 8}) }
func manifestAfter() *manifest.Manifest  { return twoPools([]int{5, 2, 3, 4}, []int{1, 6, 7, 8}) }

func twoPools(tabs, charges []int) *manifest.Manifest {
	return harness.Manifest(2,
		harness.ServicePool{Name: "tabs", IDs: harness.WorkerIDs(tabs...), MinAvailable: 3},
		harness.ServicePool{Name: "charges", IDs: harness.WorkerIDs(charges...), MinAvailable: 3})
}

func startLoad(c *harness.Cluster, seed uint64, entries ...*harness.Process) *harness.Load {
	return c.Load(load.Options{Services: []string{"tabs", "charges"}, Seed: seed}, entries...)
}

// publish does not wait for the entries, as some cannot report.
func publish(c *harness.Cluster, m *manifest.Manifest) {
	GinkgoHelper()
	_, res := c.TryPublish(m)
	Expect(res.Code).To(BeZero(), res.Err)
}

// instanceState returns an instance as the platform records it.
func instanceState(c *harness.Cluster, id string) standin.ActualInstance {
	GinkgoHelper()
	rows, err := c.Standin.Instances(bg)
	Expect(err).NotTo(HaveOccurred())
	for _, r := range rows {
		if r.ID == id {
			return r
		}
	}
	Fail("no instance " + id)
	return standin.ActualInstance{}
}

// awaitMoveBegun waits until the log contains the beginning of the move.
func awaitMoveBegun(c *harness.Cluster) {
	GinkgoHelper()
	Eventually(func() pools.Phase { return c.Fold().Pools.Instances[tabsToCharges].Phase },
		harness.Timeout, harness.PollInterval).Should(Equal(pools.PhaseMoving))
}

// awaitMoveWaitsFor waits until the planner reports that the move waits for
// the entry, with one of the causes.
func awaitMoveWaitsFor(c *harness.Cluster, entry *harness.Process, causes ...string) {
	GinkgoHelper()
	var wanted []any
	for _, cause := range causes {
		wanted = append(wanted, membership.Waiting{Member: entry.ID, Cause: cause})
	}
	Eventually(func(g Gomega) {
		view, err := c.Planner().PlannerView()
		g.Expect(err).NotTo(HaveOccurred())
		var waiting []membership.Waiting
		for _, p := range view.Progress {
			if p.Instance == tabsToCharges {
				waiting = p.Waiting
			}
		}
		g.Expect(waiting).To(ContainElement(BeElementOf(wanted...)))
	}, harness.Timeout, harness.PollInterval).Should(Succeed())
}

// bootsAfterForm is the number of boots of an instance once the fleet is
// formed: its first boot, and one for the move from the spares into its pool.
const bootsAfterForm = 2

// expectNotMoved expects that the planner does not request the move from the
// platform.
func expectNotMoved(c *harness.Cluster) {
	GinkgoHelper()
	Consistently(func(g Gomega) {
		r := instanceState(c, tabsToCharges)
		g.Expect(r.OperationInProgress).To(BeEmpty())
		g.Expect(r.Boots).To(Equal(bootsAfterForm))
		g.Expect(r.Pool).To(Equal("tabs"))
	}, quietPeriod, harness.PollInterval).Should(Succeed())
}

// expectMoved waits until the moves are complete and expects one reboot of
// each instance per operation.
func expectMoved(c *harness.Cluster) {
	GinkgoHelper()
	c.AwaitSettled()
	Expect(instanceState(c, tabsToCharges).Pool).To(Equal("charges"))
	Expect(instanceState(c, chargesToTabs).Pool).To(Equal("tabs"))
	expectOneBootPerOperation(c)
}

func expectOneBootPerOperation(c *harness.Cluster) {
	GinkgoHelper()
	operations := map[string]map[string]bool{}
	c.FoldWith(func(st *fleetlog.State, _ fleetlog.Applied) {
		for id, in := range st.Pools.Instances {
			if operations[id] == nil {
				operations[id] = map[string]bool{}
			}
			if in.Operation != "" {
				operations[id][in.Operation] = true
			}
		}
	})
	for id, ops := range operations {
		Expect(instanceState(c, id).Boots).To(Equal(1+len(ops)), "boots of %s after %d operations", id, len(ops))
	}
}
