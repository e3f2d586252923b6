package platform_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/ctl"
	"cyclamenwheel/internal/operator"
	"cyclamenwheel/internal/standin/trial"
	"cyclamenwheel/internal/standin/wire"
)

const (
	alphaKey   = "alpha-key-that-nobody-else-may-see"
	betaKey    = "beta-key-that-nobody-else-may-see"
	alphaLimit = 3000
)

// startWithAccounts runs nodes whose queues require API keys.
func startWithAccounts(nodes int, seed uint64) (*trial.Cluster, *trial.Caller, *trial.Caller) {
	platform, err := wire.New(map[string]int{"tabs": 4, "rooms": 4, wire.SparePool: 3}, seed)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(platform.Close)
	platform.SetAccounts(wire.Account{Name: "alpha", Keys: []string{alphaKey}, CPUMilli: alphaLimit}, wire.Account{Name: "beta", Keys: []string{betaKey}})
	Expect(platform.Publish(1, host, "tabs", "rooms")).To(Succeed())
	c := startNodes(platform, nodes)
	alpha := &trial.Caller{Cluster: c, Host: host, Account: "alpha", Key: alphaKey}
	awaitPools(alpha)
	return c, alpha, &trial.Caller{Cluster: c, Host: host, Account: "beta", Key: betaKey}
}

var _ = Describe("client accounts", func() {
	// Guards against requests with a missing, unknown or removed key being accepted.
	It("are admitted by their keys until these are removed", func() {
		c, alpha, beta := startWithAccounts(3, 11)
		nobody := &trial.Caller{Cluster: c, Host: host}
		body := `{"spec":"50","steps":[{"count":1,"cpu":1000,"memMb":64,"estMs":50}]}`
		for _, key := range []string{"", "some-other-key"} {
			nobody.Key = key
			for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
				status, _ := nobody.Do(method, "/tabs/0000000000000001", body)
				Expect(status).To(Equal(http.StatusUnauthorized), method)
			}
		}
		j := alpha.Submit("tabs", 2, 2, 50)
		Expect(j.Accepted).To(BeTrue())
		Expect(beta.State(j.Path)).To(Equal("gone"), "the job belongs to another account")
		status, _ := beta.Do(http.MethodDelete, j.Path, "")
		Expect(status).To(Equal(http.StatusGone))
		c.Platform.SetAccounts(wire.Account{Name: "alpha", Keys: []string{"alpha-next"}, CPUMilli: alphaLimit}, wire.Account{Name: "beta", Keys: []string{betaKey}})
		Expect(c.Platform.Publish(2, host, "tabs", "rooms")).To(Succeed())
		for range c.Nodes() {
			Eventually(func() int { s, _ := alpha.Do(http.MethodGet, "/tabs/", ""); return s }, conditionTimeout).Should(Equal(http.StatusUnauthorized))
		}
		next := &trial.Caller{Cluster: c, Host: host, Account: "alpha", Key: "alpha-next"}
		Eventually(func() string { return next.State(j.Path) }, conditionTimeout).Should(Equal("completed"))
		Expect(c.Platform.Violations()).To(BeEmpty())
	})

	// Guards against an account exceeding its limit while its jobs are in several pools whose
	// owners change.
	It("stay within their limits across all pools while owners are killed", func() {
		c, alpha, beta := startWithAccounts(3, 12)
		var jobs []trial.Submission
		for i, n := range c.Nodes() {
			jobs = append(jobs, submitMany(alpha, 1+100*i, 10)...)
			jobs = append(jobs, submitMany(beta, 5000+100*i, 10)...)
			Expect(n.Signal(syscall.SIGKILL)).To(Succeed())
			n.Wait()
			Expect(c.Run(n)).To(Succeed())
		}
		expectAllCompleted(c, alpha, jobs)
	})

	// Guards against API keys being readable in logs, dumps, metrics or the store.
	It("have no API keys in logs, dumps, metrics or the store", func() {
		c, alpha, beta := startWithAccounts(3, 13)
		jobs := append(submitMany(alpha, 1, 6), submitMany(beta, 100, 6)...)
		status, _ := alpha.Do(http.MethodGet, "/tabs/", "")
		Expect(status).To(Equal(http.StatusOK))
		expectAllCompleted(c, alpha, jobs)
		var output strings.Builder
		var nodes []string
		for _, n := range c.Nodes() {
			output.WriteString(n.Log())
			nodes = append(nodes, n.Operator)
			for _, path := range []string{"/dump", operator.PathMetrics} {
				resp, err := http.Get("http://" + n.Operator + path)
				Expect(err).NotTo(HaveOccurred())
				text, err := io.ReadAll(resp.Body)
				Expect(err).NotTo(HaveOccurred())
				Expect(resp.Body.Close()).To(Succeed())
				output.Write(text)
			}
		}
		output.Write(c.Platform.NodeRecords())
		Expect(output.String()).To(ContainSubstring("alpha"))
		Expect(output.String()).NotTo(Or(ContainSubstring(alphaKey), ContainSubstring(betaKey)))
		var out bytes.Buffer
		code := ctl.Main(context.Background(), []string{"accounts", "alpha", "--nodes", strings.Join(nodes, ",")}, ctl.Streams{Out: &out, Err: &out})
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out.String()).To(And(ContainSubstring(fmt.Sprintf("%.1f", float64(alphaLimit)/1000)), ContainSubstring("tabs"), ContainSubstring("rooms")))
	})
})
