package restarts_test

import (
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/standin/trial"
)

// Guards against a task that crashes its endpoints being restarted without end, and against
// healthy jobs next to it being lost or failed, while a node is killed and restarted.
func TestNodesFailJobsThatCrashTheirEndpoints(t *testing.T) {
	g := NewWithT(t)
	c, caller := start(t)
	var jobs []trial.Submission
	for n := range 12 {
		if n%4 == 0 {
			jobs = append(jobs, caller.SubmitCrashing(pool, 1000+n))
		}
		jobs = append(jobs, caller.Submit(pool, 1+n, 3, taskMs))
		time.Sleep(restartInterval)
		if n == 6 {
			node := c.Nodes()[0]
			g.Expect(node.Signal(syscall.SIGKILL)).To(Succeed())
			node.Wait()
			g.Expect(c.Run(node)).To(Succeed())
		}
	}
	g.Expect(caller.AwaitAll(jobs, conditionTimeout)).To(BeEmpty())
	g.Expect(c.Platform.Violations()).To(BeEmpty())
}

// Guards against nodes that start more tasks on an endpoint than its reduced capacity allows.
func TestNodesRespectReducedCapacity(t *testing.T) {
	g := NewWithT(t)
	c, caller := start(t)
	var jobs []trial.Submission
	for n := range 40 {
		c.Platform.ResizeEndpoint(pool, 1000*(1+n%5))
		jobs = append(jobs, caller.Submit(pool, 1+n, 6, 4*taskMs))
	}
	g.Expect(caller.AwaitAll(jobs, conditionTimeout)).To(BeEmpty())
	g.Expect(c.Platform.Violations()).To(BeEmpty())
}
