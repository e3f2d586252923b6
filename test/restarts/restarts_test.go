// Package restarts_test checks that cyclamen-node processes lose and repeat no work while
// endpoints restart under their ids, crash under a task or change their capacity. It runs two
// nodes against the simulated platform of package wire and submits jobs through package trial.
// go test runs it.
package restarts_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/standin/trial"
	"cyclamenwheel/internal/standin/wire"
)

const (
	host = "jobs.example"
	pool = "tabs"
	// conditionTimeout bounds waits for conditions, far above the time they usually take.
	conditionTimeout = 40 * time.Second
	// restartCount is the number of endpoint restarts, restartInterval apart.
	restartCount    = 30
	restartInterval = 150 * time.Millisecond
	// taskMs is the duration of a task.
	taskMs = 60
)

// start runs two nodes against a platform with one pool of three instances, and waits until the
// pool is served.
func start(t *testing.T) (*trial.Cluster, *trial.Caller) {
	g := NewWithT(t)
	program, err := trial.BuildNode(t.TempDir())
	g.Expect(err).NotTo(HaveOccurred())
	platform, err := wire.New(map[string]int{pool: 3, wire.SparePool: 1}, 1)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(platform.Close)
	g.Expect(platform.Publish(1, host, pool)).To(Succeed())
	c, err := trial.Start(program, t.TempDir(), platform, 2)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(c.Close)
	caller := &trial.Caller{Cluster: c, Host: host}
	g.Eventually(func() int { s, _ := caller.Do(http.MethodGet, "/"+pool+"/", ""); return s }, conditionTimeout).Should(Equal(http.StatusOK))
	return c, caller
}

// Guards against tasks that run twice, at once or after their end, or not at all, if endpoints
// crash and restart under their ids while callers submit jobs.
func TestNothingIsDoubledWhereEndpointsRestartUnderTheirIDs(t *testing.T) {
	g := NewWithT(t)
	c, caller := start(t)
	var jobs []trial.Submission
	for n := range restartCount {
		for k := range 3 {
			jobs = append(jobs, caller.Submit(pool, 1+10*n+k, 1+k, taskMs))
		}
		time.Sleep(restartInterval)
		g.Expect(c.Platform.RestartEndpoint(pool)).To(Succeed())
	}
	g.Expect(caller.AwaitAll(jobs, conditionTimeout)).To(BeEmpty())
	g.Expect(c.Platform.Violations()).To(BeEmpty())
}

// Guards against a pool that loses its endpoints one by one because each returns from
// maintenance under its previous id.
func TestEndpointsThatKeepTheirIDsThroughMaintenanceAreUsedAgain(t *testing.T) {
	g := NewWithT(t)
	c, caller := start(t)
	c.Platform.KeepIDs()
	jobs := []trial.Submission{caller.Submit(pool, 1, 3, taskMs)}
	instances := c.Platform.Instances(pool)
	g.Expect(c.Platform.PublishWave(1, 1, 20*time.Second, instances...)).To(Succeed())
	g.Eventually(func() int { return c.Platform.Maintained(1) }, conditionTimeout).Should(Equal(len(instances)))
	for n := range 6 {
		jobs = append(jobs, caller.Submit(pool, 100+n, 3, taskMs))
	}
	g.Expect(caller.AwaitAll(jobs, conditionTimeout)).To(BeEmpty())
	g.Expect(c.Platform.Violations()).To(BeEmpty())
}
