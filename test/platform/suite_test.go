// Package platform_test runs real nodes against the wire stand-in and breaks
// things around them.
package platform_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
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
	// soon bounds waits for conditions; it is far above what they take.
	soon = 40 * time.Second
)

var program string

var _ = BeforeSuite(func() {
	program = filepath.Join(GinkgoT().TempDir(), "cyclamen-node")
	out, err := exec.Command("go", "build", "-o", program, "cyclamenwheel/cmd/cyclamen-node").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
})

// start runs a platform with two pools of four and three spares, and nodes that
// are ready.
func start(nodes int, seed uint64) (*trial.Cluster, *trial.Caller) {
	platform, err := wire.New(map[string]int{"tabs": 4, "rooms": 4, wire.SparePool: 3}, seed)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(platform.Close)
	Expect(platform.Publish(1, host, "tabs", "rooms")).To(Succeed())
	c := startOn(platform, nodes)
	caller := &trial.Caller{Cluster: c, Host: host}
	awaitPools(caller)
	return c, caller
}

// startOn runs nodes on a platform, and waits until they are ready.
func startOn(platform *wire.Platform, nodes int) *trial.Cluster {
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
		Eventually(n.Ready, soon).Should(BeTrue())
	}
	return c
}

// awaitPools waits until both pools have owners.
func awaitPools(caller *trial.Caller) {
	Eventually(func() int { s, _ := caller.Do(http.MethodGet, "/tabs/", ""); return s }, soon).Should(Equal(http.StatusOK))
	Eventually(func() int { s, _ := caller.Do(http.MethodGet, "/rooms/", ""); return s }, soon).Should(Equal(http.StatusOK))
}

func submitMany(caller *trial.Caller, from, count int) []trial.Submitted {
	var jobs []trial.Submitted
	for i := range count {
		pool := []string{"tabs", "rooms"}[i%2]
		jobs = append(jobs, caller.Submit(pool, from+i, 1+i%4, 100))
	}
	return jobs
}

func expectWhole(c *trial.Cluster, caller *trial.Caller, jobs []trial.Submitted) {
	GinkgoHelper()
	Expect(caller.AwaitAll(jobs, soon)).To(BeEmpty())
	Expect(c.Platform.Broken()).To(BeEmpty())
}

var _ = Describe("the nodes on the platform", func() {
	It("run callers' jobs and answer for them", func() {
		c, caller := start(3, 1)
		jobs := submitMany(caller, 1, 20)
		for _, j := range jobs {
			Expect(j.Accepted).To(BeTrue(), j.Path)
		}
		expectWhole(c, caller, jobs)
		again := caller.Submit("tabs", 1, 1, 100)
		Expect(again.Accepted).To(BeTrue())
		Expect(caller.State("/tabs/00000000000000ff")).To(Equal("gone"))
		status, _ := caller.Do(http.MethodGet, "/elsewhere/0000000000000001", "")
		Expect(status).To(Equal(http.StatusNotFound))
		status, answer := caller.Do(http.MethodPost, "/tabs/0000000000000aaa", `{"spec":"1","steps":[]}`)
		Expect(status).To(Equal(http.StatusBadRequest))
		Expect(answer).To(ContainSubstring("malformed-job"))
	})

	// Callers hand jobs in while one node after the other is killed without
	// notice and started again. What was accepted is still known and completes;
	// no task runs twice.
	It("lose nothing while they are killed in turn", func() {
		c, caller := start(3, 2)
		var jobs []trial.Submitted
		for i, n := range c.Nodes() {
			jobs = append(jobs, submitMany(caller, 100*(i+1), 8)...)
			Expect(n.Signal(syscall.SIGKILL)).To(Succeed())
			n.Wait()
			jobs = append(jobs, submitMany(caller, 100*(i+1)+50, 8)...)
			Expect(c.Run(n)).To(Succeed())
		}
		expectWhole(c, caller, jobs)
	})

	// All nodes are killed at once, right after jobs were accepted.
	It("remember accepted jobs when all are killed together", func() {
		c, caller := start(3, 3)
		jobs := submitMany(caller, 1, 12)
		for _, n := range c.Nodes() {
			Expect(n.Signal(syscall.SIGKILL)).To(Succeed())
		}
		for _, n := range c.Nodes() {
			n.Wait()
			Expect(c.Run(n)).To(Succeed())
		}
		expectWhole(c, caller, jobs)
	})

	// An owner is frozen for longer than its membership lasts, while another
	// takes over, and wakes believing in its pools. Its appends are refused and
	// its orders carry an older fence.
	It("survive a frozen owner that wakes", func() {
		c, caller := start(3, 4)
		jobs := submitMany(caller, 1, 8)
		frozen := c.Nodes()[0]
		Expect(frozen.Signal(syscall.SIGSTOP)).To(Succeed())
		jobs = append(jobs, submitMany(caller, 100, 8)...)
		Expect(frozen.Signal(syscall.SIGCONT)).To(Succeed())
		jobs = append(jobs, submitMany(caller, 200, 8)...)
		expectWhole(c, caller, jobs)
	})

	// A share of the store's and the endpoints' answers is lost after the call
	// was carried out, and an endpoint dies now and then.
	It("neither lose nor double anything when answers are lost", func() {
		c, caller := start(3, 5)
		c.Platform.SetFaults(wire.Faults{LostAnswers: 0.2, LostOrders: 0.1})
		var jobs []trial.Submitted
		for i := range 4 {
			jobs = append(jobs, submitMany(caller, 100*(i+1), 8)...)
			Expect(c.Platform.KillEndpoint("tabs")).To(Succeed())
		}
		c.Platform.SetFaults(wire.Faults{})
		expectWhole(c, caller, jobs)
	})

	// The store turns every call away for a while. Callers are refused at once,
	// and what was accepted before goes on afterwards.
	It("refuse at once while the store is away", func() {
		c, caller := start(3, 6)
		jobs := submitMany(caller, 1, 8)
		c.Platform.SetStoreDown(true)
		Eventually(func() int {
			status, _ := caller.Do(http.MethodPost, fmt.Sprintf("/tabs/%016x", time.Now().UnixNano()), `{"spec":"1","steps":[{"count":1,"cpu":1}]}`)
			return status
		}, soon).Should(Equal(http.StatusServiceUnavailable))
		c.Platform.SetStoreDown(false)
		expectWhole(c, caller, jobs)
	})

	// Every instance of a pool is due for maintenance while jobs come in. None
	// is taken with tasks on it, and callers' jobs complete.
	It("bring a maintenance wave through under load", func() {
		c, caller := start(3, 7)
		due := c.Platform.Instances("tabs")
		Expect(c.Platform.AskWave(1, 2, 20*time.Second, due...)).To(Succeed())
		jobs := submitMany(caller, 1, 30)
		Eventually(func() int { return c.Platform.Maintained(1) }, soon).Should(Equal(len(due)))
		expectWhole(c, caller, jobs)
	})

	// Another writer puts entries among those of endpoints and operators: cut
	// short, without fields, with unknown states, and over an endpoint's own, at
	// the start, in mid-day and before an owner is killed. None of them names an
	// endpoint to use or a configuration to follow; the others hold.
	It("leave entries of other writers aside", func() {
		c, caller := start(3, 9)
		foreign := func(topic, key, value string) {
			c.Platform.PutForeign(topic, append([]byte{byte(len(key))}, key+value...))
		}
		disturb := func() {
			c.Platform.PutForeign("keyed.servers", []byte{200, 'x'})
			c.Platform.PutForeign("keyed.op", []byte{})
			foreign("keyed.servers", "i-foreign", `{"service":"tabs","addr":"127.0.0.1:1","state":"ready","capacity":{"cpu":99000}}`)
			foreign("keyed.servers", "i-odd", `{"service":7,"state":"resting"}`)
			foreign("keyed.servers", "i-none", "\xff\x00")
			foreign("keyed.op", "config", `{"version":99}`)
			foreign("keyed.op", "wave/9", `{"wave":9,"machines":"all"}`)
			foreign("keyed.servers", c.Platform.Endpoints("tabs")[0], `{"service":"tabs"`)
		}
		disturb()
		jobs := submitMany(caller, 1, 12)
		disturb()
		owner := c.Nodes()[0]
		Expect(owner.Signal(syscall.SIGKILL)).To(Succeed())
		owner.Wait()
		jobs = append(jobs, submitMany(caller, 100, 12)...)
		Expect(c.Run(owner)).To(Succeed())
		for _, j := range jobs {
			Expect(j.Accepted).To(BeTrue(), j.Path)
		}
		expectWhole(c, caller, jobs)
		status, _ := caller.Do(http.MethodGet, "/rooms/", "")
		Expect(status).To(Equal(http.StatusOK), "the last good configuration holds")
	})

	// A user asks why a job takes so long. Its tasks find no endpoint, as each takes
	// more than one has; any operator can tell from the nodes who owns the job's pool,
	// what the job waits for, and that a job that nobody has is not open.
	It("tell operators what a job waits for", func() {
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
		Eventually(func() string { _, text := ask("explain", "job", "0000000000000abc"); return text }, soon).Should(And(
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

	// A planned stop answers what is in flight, hands the pools over and ends
	// with 0.
	It("stop in order", func() {
		c, caller := start(3, 8)
		jobs := submitMany(caller, 1, 8)
		leaving := c.Nodes()[0]
		Expect(leaving.Signal(syscall.SIGTERM)).To(Succeed())
		jobs = append(jobs, submitMany(caller, 100, 8)...)
		Expect(leaving.Wait()).To(Equal(0))
		Expect(c.Run(leaving)).To(Succeed())
		expectWhole(c, caller, jobs)
	})
})
