// Package platform_test checks that cyclamen-node processes lose and repeat no work while nodes,
// endpoints and the store fail. It runs them against the simulated platform of package wire,
// submits jobs through package trial, and expects every accepted job to complete without a
// violation. go test runs it.
package platform_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/ctl"
	"cyclamenwheel/internal/standin/trial"
	"cyclamenwheel/internal/standin/wire"
)

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Platform")
}

const (
	host = "jobs.example"
	// conditionTimeout bounds waits for conditions, far above the time they usually take.
	conditionTimeout = 40 * time.Second
)

var program string

var _ = BeforeSuite(func() {
	var err error
	program, err = trial.BuildNode(GinkgoT().TempDir())
	Expect(err).NotTo(HaveOccurred())
})

// start runs a platform with two pools of four instances and three spares, and nodes, and waits
// until both pools are served.
func start(nodes int, seed uint64) (*trial.Cluster, *trial.Caller) {
	platform, err := wire.New(map[string]int{"tabs": 4, "rooms": 4, wire.SparePool: 3}, seed)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(platform.Close)
	Expect(platform.Publish(1, host, "tabs", "rooms")).To(Succeed())
	c := startNodes(platform, nodes)
	caller := &trial.Caller{Cluster: c, Host: host}
	awaitPools(caller)
	return c, caller
}

// startNodes runs nodes against a platform and waits until they are ready.
func startNodes(platform *wire.Platform, nodes int) *trial.Cluster {
	c, err := trial.Start(program, GinkgoT().TempDir(), platform, nodes)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	DeferCleanup(func() {
		if CurrentSpecReport().Failed() {
			for _, n := range c.Nodes() {
				GinkgoWriter.Println(n.Log())
			}
		}
	})
	for _, n := range c.Nodes() {
		Eventually(n.Ready, conditionTimeout).Should(BeTrue())
	}
	return c
}

// awaitPools waits until both pools are served.
func awaitPools(caller *trial.Caller) {
	Eventually(func() int { s, _ := caller.Do(http.MethodGet, "/tabs/", ""); return s }, conditionTimeout).Should(Equal(http.StatusOK))
	Eventually(func() int { s, _ := caller.Do(http.MethodGet, "/rooms/", ""); return s }, conditionTimeout).Should(Equal(http.StatusOK))
}

func submitMany(caller *trial.Caller, from, count int) []trial.Submission {
	var jobs []trial.Submission
	for i := range count {
		pool := []string{"tabs", "rooms"}[i%2]
		jobs = append(jobs, caller.Submit(pool, from+i, 1+i%4, 100))
	}
	return jobs
}

func expectAllCompleted(c *trial.Cluster, caller *trial.Caller, jobs []trial.Submission) {
	GinkgoHelper()
	Expect(caller.AwaitAll(jobs, conditionTimeout)).To(BeEmpty())
	Expect(c.Platform.Violations()).To(BeEmpty())
}

var _ = Describe("the nodes on the platform", func() {
	It("run jobs and report their states", func() {
		c, caller := start(3, 1)
		jobs := submitMany(caller, 1, 20)
		for _, j := range jobs {
			Expect(j.Accepted).To(BeTrue(), j.Path)
		}
		expectAllCompleted(c, caller, jobs)
		repeated := caller.Submit("tabs", 1, 1, 100)
		Expect(repeated.Accepted).To(BeTrue())
		Expect(caller.State("/tabs/00000000000000ff")).To(Equal("gone"))
		status, _ := caller.Do(http.MethodGet, "/elsewhere/0000000000000001", "")
		Expect(status).To(Equal(http.StatusNotFound))
		status, answer := caller.Do(http.MethodPost, "/tabs/0000000000000aaa", `{"spec":"1","steps":[]}`)
		Expect(status).To(Equal(http.StatusBadRequest))
		Expect(answer).To(ContainSubstring("malformed-job"))
	})

	// Guards against lost jobs and repeated tasks while each node in turn is killed without
	// notice and restarted as callers submit jobs.
	It("lose nothing while they are killed in turn", func() {
		c, caller := start(3, 2)
		var jobs []trial.Submission
		for i, n := range c.Nodes() {
			jobs = append(jobs, submitMany(caller, 100*(i+1), 8)...)
			Expect(n.Signal(syscall.SIGKILL)).To(Succeed())
			n.Wait()
			jobs = append(jobs, submitMany(caller, 100*(i+1)+50, 8)...)
			Expect(c.Run(n)).To(Succeed())
		}
		expectAllCompleted(c, caller, jobs)
	})

	// Guards against losing jobs if all nodes are killed at once right after accepting them.
	It("recover accepted jobs when all are killed together", func() {
		c, caller := start(3, 3)
		jobs := submitMany(caller, 1, 12)
		for _, n := range c.Nodes() {
			Expect(n.Signal(syscall.SIGKILL)).To(Succeed())
		}
		for _, n := range c.Nodes() {
			n.Wait()
			Expect(c.Run(n)).To(Succeed())
		}
		expectAllCompleted(c, caller, jobs)
	})

	// Guards against an owner that is suspended for longer than its membership lasts, while
	// another takes over, and resumes as if it still owned its pools. Its appends are refused,
	// and its orders carry an older fencing token.
	It("survive a suspended owner that resumes", func() {
		c, caller := start(3, 4)
		jobs := submitMany(caller, 1, 8)
		frozen := c.Nodes()[0]
		Expect(frozen.Signal(syscall.SIGSTOP)).To(Succeed())
		jobs = append(jobs, submitMany(caller, 100, 8)...)
		Expect(frozen.Signal(syscall.SIGCONT)).To(Succeed())
		jobs = append(jobs, submitMany(caller, 200, 8)...)
		expectAllCompleted(c, caller, jobs)
	})

	// Guards against lost or repeated tasks if some answers of the store and of endpoints are
	// lost after the call was carried out, while endpoints are killed.
	It("neither lose nor repeat tasks when answers are lost", func() {
		c, caller := start(3, 5)
		c.Platform.SetFaults(wire.Faults{LostAnswers: 0.2, LostOrders: 0.1})
		var jobs []trial.Submission
		for i := range 4 {
			jobs = append(jobs, submitMany(caller, 100*(i+1), 8)...)
			Expect(c.Platform.KillEndpoint("tabs")).To(Succeed())
		}
		c.Platform.SetFaults(wire.Faults{})
		expectAllCompleted(c, caller, jobs)
	})

	// The store refuses every call for a while. Submissions must be refused, and jobs accepted
	// before must complete afterwards.
	It("refuse submissions while the store is down", func() {
		c, caller := start(3, 6)
		jobs := submitMany(caller, 1, 8)
		c.Platform.SetStoreDown(true)
		Eventually(func() int {
			status, _ := caller.Do(http.MethodPost, fmt.Sprintf("/tabs/%016x", time.Now().UnixNano()), `{"spec":"1","steps":[{"count":1,"cpu":1}]}`)
			return status
		}, conditionTimeout).Should(Equal(http.StatusServiceUnavailable))
		c.Platform.SetStoreDown(false)
		expectAllCompleted(c, caller, jobs)
	})

	// Every instance of a pool is due for maintenance while jobs arrive. No instance may be
	// taken while tasks run on it, and all jobs must complete.
	It("complete a maintenance wave under load", func() {
		c, caller := start(3, 7)
		due := c.Platform.Instances("tabs")
		Expect(c.Platform.PublishWave(1, 2, 20*time.Second, due...)).To(Succeed())
		jobs := submitMany(caller, 1, 30)
		Eventually(func() int { return c.Platform.Maintained(1) }, conditionTimeout).Should(Equal(len(due)))
		expectAllCompleted(c, caller, jobs)
	})

	// Guards against malformed entries of other writers in the topics of endpoints and
	// operators: truncated, without fields, with unknown states, and replacing an endpoint's own
	// entry, written at the start and again before an owner is killed. None may add an endpoint
	// or replace the configuration.
	It("ignore malformed entries of other writers", func() {
		c, caller := start(3, 9)
		putForeign := func(topic, key, value string) {
			c.Platform.PutForeign(topic, append([]byte{byte(len(key))}, key+value...))
		}
		writeInvalidEntries := func() {
			c.Platform.PutForeign("keyed.servers", []byte{200, 'x'})
			c.Platform.PutForeign("keyed.op", []byte{})
			putForeign("keyed.servers", "i-foreign", `{"service":"tabs","addr":"127.0.0.1:1","state":"ready","capacity":{"cpu":99000}}`)
			putForeign("keyed.servers", "i-odd", `{"service":7,"state":"resting"}`)
			putForeign("keyed.servers", "i-none", "\xff\x00")
			putForeign("keyed.op", "config", `{"version":99}`)
			putForeign("keyed.op", "wave/9", `{"wave":9,"machines":"all"}`)
			putForeign("keyed.servers", c.Platform.Endpoints("tabs")[0], `{"service":"tabs"`)
		}
		writeInvalidEntries()
		jobs := submitMany(caller, 1, 12)
		writeInvalidEntries()
		owner := c.Nodes()[0]
		Expect(owner.Signal(syscall.SIGKILL)).To(Succeed())
		owner.Wait()
		jobs = append(jobs, submitMany(caller, 100, 12)...)
		Expect(c.Run(owner)).To(Succeed())
		for _, j := range jobs {
			Expect(j.Accepted).To(BeTrue(), j.Path)
		}
		expectAllCompleted(c, caller, jobs)
		status, _ := caller.Do(http.MethodGet, "/rooms/", "")
		Expect(status).To(Equal(http.StatusOK), "the last valid configuration stays in force")
	})

	// Each task of a job needs more CPU than any endpoint has. Operators must be able to ask any
	// node who owns the pool of the job, what the job waits for, and whether a job was never
	// accepted.
	It("explain to operators what a job waits for", func() {
		c, caller := start(3, 10)
		status, _ := caller.Do(http.MethodPost, "/tabs/0000000000000abc", `{"spec":"100","steps":[{"count":2,"cpu":900000,"memMb":64,"estMs":100}]}`)
		Expect(status).To(Equal(http.StatusOK))
		var nodes []string
		for _, n := range c.Nodes() {
			nodes = append(nodes, n.Operator)
		}
		ask := func(args ...string) (int, string) {
			var out bytes.Buffer
			code := ctl.Main(context.Background(), append(args, "--nodes", strings.Join(nodes, ",")), ctl.Streams{Out: &out, Err: &out})
			GinkgoWriter.Println(strings.Join(args, " ") + "\n" + out.String())
			return code, out.String()
		}
		Eventually(func() string { _, text := ask("explain", "job", "0000000000000abc"); return text }, conditionTimeout).Should(And(
			ContainSubstring("queued in pool tabs"), ContainSubstring("endpoints 4 full"), ContainSubstring("to unblock")))
		code, text := ask("explain", "pool", "tabs")
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(text).To(ContainSubstring("4 endpoints"))
		code, text = ask("status")
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(text).To(And(ContainSubstring("instances"), ContainSubstring("here, epoch")))
		code, text = ask("explain", "job", "0000000000000fff")
		Expect(code).To(Equal(ctl.ExitFailure))
		Expect(text).To(ContainSubstring("never accepted"))
	})

	// A planned shutdown answers requests in flight, hands the pools over and exits with 0.
	It("shut down gracefully", func() {
		c, caller := start(3, 8)
		jobs := submitMany(caller, 1, 8)
		stopping := c.Nodes()[0]
		Expect(stopping.Signal(syscall.SIGTERM)).To(Succeed())
		jobs = append(jobs, submitMany(caller, 100, 8)...)
		Expect(stopping.Wait()).To(Equal(0))
		Expect(c.Run(stopping)).To(Succeed())
		expectAllCompleted(c, caller, jobs)
	})
})
