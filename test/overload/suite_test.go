// Package overload_test checks what callers see of cyclamen-node processes that receive more jobs
// than their pool can run. It runs two nodes with overload control against the simulated platform
// of package wire and submits jobs at a fixed rate, whatever the answers. go test runs it.
package overload_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/settings"
	"cyclamenwheel/internal/standin/trial"
	"cyclamenwheel/internal/standin/wire"
)

func TestOverload(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Overload")
}

const (
	host = "jobs.example"
	pool = "tabs"
	// slack is that of the queue: jobs beyond some seconds of the pool's work are refused.
	slack = 300 * time.Millisecond
	// conditionTimeout bounds waits for conditions, far above the time they usually take.
	conditionTimeout = 60 * time.Second
)

var program string

var _ = BeforeSuite(func() {
	var err error
	program, err = trial.BuildNode(GinkgoT().TempDir())
	Expect(err).NotTo(HaveOccurred())
})

// settleTime is how long no pool may have been claimed before the flood begins. The second node's
// share of the pools is handed over shortly after it has joined.
const settleTime = 3 * time.Second

// start runs two nodes and a pool of two instances, and waits until the pool is served by both and
// has its lasting owner.
func start(seed uint64) (*trial.Cluster, *trial.Caller) {
	GinkgoHelper()
	platform, err := wire.New(map[string]int{pool: 2}, seed)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(platform.Close)
	platform.SetSlack(slack)
	Expect(platform.Publish(1, host, pool)).To(Succeed())
	c, err := trial.StartWith(program, GinkgoT().TempDir(), platform, 2, trial.Options{OverloadControl: settings.OverloadOn})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	DeferCleanup(func() {
		if CurrentSpecReport().Failed() {
			for _, n := range c.Nodes() {
				GinkgoWriter.Println(n.Log())
			}
		}
	})
	caller := &trial.Caller{Cluster: c, Host: host}
	for _, n := range c.Nodes() {
		Eventually(n.Ready, conditionTimeout).Should(BeTrue())
		Eventually(func() int { s, _ := caller.Do(http.MethodGet, "/"+pool+"/", ""); return s }, conditionTimeout).Should(Equal(http.StatusOK))
	}
	awaitSettled(c)
	return c, caller
}

// awaitSettled waits until no pool has been claimed for settleTime.
func awaitSettled(c *trial.Cluster) {
	GinkgoHelper()
	claims, since := 0, time.Now()
	Eventually(func() time.Duration {
		now := 0
		for _, n := range c.Nodes() {
			now += strings.Count(n.Log(), `"msg":"pool claimed"`)
		}
		if now != claims {
			claims, since = now, time.Now()
		}
		return time.Since(since)
	}, conditionTimeout, 100*time.Millisecond).Should(BeNumerically(">", settleTime))
}
