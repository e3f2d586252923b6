// Package restarts_test lets endpoints restart under their ids beneath real nodes.
package restarts_test

import (
	"net/http"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/standin/trial"
	"cyclamenwheel/internal/standin/wire"
)

const (
	host = "jobs.example"
	pool = "tabs"
	// soon bounds waits for conditions; it is far above what they take.
	soon = 40 * time.Second
	// rounds is how often an endpoint restarts, roundGap apart.
	rounds   = 30
	roundGap = 150 * time.Millisecond
	// taskMs is how long a task works.
	taskMs = 60
)

// start runs two nodes on a platform with one pool of three, and waits for them to serve.
func start(t *testing.T) (*trial.Cluster, *trial.Caller) {
	g := NewWithT(t)
	program := filepath.Join(t.TempDir(), "cyclamen-node")
	out, err := exec.Command("go", "build", "-o", program, "cyclamenwheel/cmd/cyclamen-node").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(out))
	platform, err := wire.New(map[string]int{pool: 3, wire.SparePool: 1}, 1)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(platform.Close)
	g.Expect(platform.Publish(1, host, pool)).To(Succeed())
	c, err := trial.Start(program, t.TempDir(), platform, 2)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(c.Close)
	caller := &trial.Caller{Cluster: c, Host: host}
	g.Eventually(func() int { s, _ := caller.Do(http.MethodGet, "/"+pool+"/", ""); return s }, soon).Should(Equal(http.StatusOK))
	return c, caller
}

// Guards against tasks that run again after their end, at once or not at all, where
// endpoints crash and come back under their ids while callers hand jobs in.
func TestNothingIsDoubledWhereEndpointsRestartUnderTheirIDs(t *testing.T) {
	g := NewWithT(t)
	c, caller := start(t)
	var jobs []trial.Submitted
	for n := range rounds {
		for k := range 3 {
			jobs = append(jobs, caller.Submit(pool, 1+10*n+k, 1+k, taskMs))
		}
		time.Sleep(roundGap)
		g.Expect(c.Platform.RestartEndpoint(pool)).To(Succeed())
	}
	g.Expect(caller.AwaitAll(jobs, soon)).To(BeEmpty())
	g.Expect(c.Platform.Broken()).To(BeEmpty())
}

// Guards against a pool that loses its endpoints one by one, as each comes back from its
// maintenance under the id that it had.
func TestEndpointsThatKeepTheirIDsThroughMaintenanceAreUsedAgain(t *testing.T) {
	g := NewWithT(t)
	c, caller := start(t)
	c.Platform.KeepIDs()
	jobs := []trial.Submitted{caller.Submit(pool, 1, 3, taskMs)}
	instances := c.Platform.Instances(pool)
	g.Expect(c.Platform.AskWave(1, 1, 20*time.Second, instances...)).To(Succeed())
	g.Eventually(func() int { return c.Platform.Maintained(1) }, soon).Should(Equal(len(instances)))
	for n := range 6 {
		jobs = append(jobs, caller.Submit(pool, 100+n, 3, taskMs))
	}
	g.Expect(caller.AwaitAll(jobs, soon)).To(BeEmpty())
	g.Expect(c.Platform.Broken()).To(BeEmpty())
}
