// Package onepool proves that an instance belongs to exactly one pool at any
// moment. The verdict is the endpoints': whatever reached an instance must
// have been for the pool that it served then.
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

// stillFor is how long nothing must happen where nothing may: several times
// what a move takes.
const stillFor = 2 * time.Second

// The two instances that change places in every test.
const (
	mover   = "w001"
	partner = "w005"
)

// before and after are the manifests between which the two change places. The
// pools list their instances, so that exactly these move.
func before() *manifest.Manifest { return pair([]int{1, 2, 3, 4}, []int{5, 6, 7, 8}) }
func after() *manifest.Manifest  { return pair([]int{5, 2, 3, 4}, []int{1, 6, 7, 8}) }

func pair(tabs, charges []int) *manifest.Manifest {
	return harness.Manifest(2,
		harness.ServicePool{Name: "tabs", IDs: harness.WorkerIDs(tabs...), MinAvailable: 3},
		harness.ServicePool{Name: "charges", IDs: harness.WorkerIDs(charges...), MinAvailable: 3})
}

func callers(c *harness.Cluster, seed uint64, entries ...*harness.Process) *harness.Load {
	return c.Load(load.Options{Services: []string{"tabs", "charges"}, Seed: seed}, entries...)
}

// publish publishes without waiting for entries: some cannot report.
func publish(c *harness.Cluster, m *manifest.Manifest) {
	GinkgoHelper()
	_, res := c.TryPublish(m)
	Expect(res.Code).To(BeZero(), res.Err)
}

// truth is a worker as the platform has it.
func truth(c *harness.Cluster, id string) standin.ActualInstance {
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

// awaitBegun waits until the log has the move's beginning.
func awaitBegun(c *harness.Cluster) {
	GinkgoHelper()
	Eventually(func() pools.Phase { return c.Fold().Pools.Instances[mover].Phase },
		harness.Patience, harness.Poll).Should(Equal(pools.PhaseMoving))
}

// awaitWaiting waits until the planner names the entry and the cause that the
// move waits for.
func awaitWaiting(c *harness.Cluster, entry *harness.Process, causes ...string) {
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
			if p.Instance == mover {
				waiting = p.Waiting
			}
		}
		g.Expect(waiting).To(ContainElement(BeElementOf(wanted...)))
	}, harness.Patience, harness.Poll).Should(Succeed())
}

// formedBoots is how often an instance has booted once the fleet is formed: to
// be there at all, and out of the spares into its pool.
const formedBoots = 2

// expectUntouched expects that the platform is not asked to move the instance.
func expectUntouched(c *harness.Cluster) {
	GinkgoHelper()
	Consistently(func(g Gomega) {
		r := truth(c, mover)
		g.Expect(r.OperationInProgress).To(BeEmpty())
		g.Expect(r.Boots).To(Equal(formedBoots))
		g.Expect(r.Pool).To(Equal("tabs"))
	}, stillFor, harness.Poll).Should(Succeed())
}

// expectMoved waits for the end of the moves and expects that each instance
// has been rebooted once for each of its operations.
func expectMoved(c *harness.Cluster) {
	GinkgoHelper()
	c.Settle()
	Expect(truth(c, mover).Pool).To(Equal("charges"))
	Expect(truth(c, partner).Pool).To(Equal("tabs"))
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
		Expect(truth(c, id).Boots).To(Equal(1+len(ops)), "boots of %s after %d operations", id, len(ops))
	}
}
