package harness

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"cyclamenwheel/internal/standin/load"
)

// The steady load mixes many short requests with some that take a second, so
// that some are in flight whenever a process or instance is stopped. It fills a
// quarter of the slots of two pools with four live instances each.
const (
	steadyShortRate = 200 // requests a second
	steadySlowRate  = 16
	steadyShortWork = 10 // milliseconds
	steadySlowWork  = 1000
	// steadyPlainPostShare is the share of requests that are not idempotent.
	steadyPlainPostShare = 0.5
)

// Steady is the load of callers behind a balancer.
type Steady struct{ short, slow *Load }

// Steady starts callers that send to the entries that the balancer reports as
// ready.
func (c *Cluster) Steady(b *Balancer, services ...string) *Steady {
	opts := load.Options{Services: services, Targets: b.Ready, PlainPostShare: steadyPlainPostShare}
	short, slow := opts, opts
	short.Rate, short.WorkMillis, short.Seed = steadyShortRate, steadyShortWork, 1
	slow.Rate, slow.WorkMillis, slow.Seed = steadySlowRate, steadySlowWork, 2
	return &Steady{short: c.Load(short), slow: c.Load(slow)}
}

// Stop ends the load and returns the summaries of the short and of the slow
// requests.
func (s *Steady) Stop() []load.Summary {
	ginkgo.GinkgoHelper()
	sums := []load.Summary{s.short.Stop(), s.slow.Stop()}
	for _, sum := range sums {
		ginkgo.GinkgoWriter.Printf("%d requests: %v, p50 %.1f ms, p99 %.1f ms, max %.1f ms\n",
			sum.Sent, sum.Outcomes, sum.Latency.P50, sum.Latency.P99, sum.Latency.Max)
	}
	return sums
}

// StopFaultless is Stop with the further expectation that every request was
// answered at the first attempt: none failed or was refused, and no caller's
// HTTP client had to resend one.
func (s *Steady) StopFaultless() {
	ginkgo.GinkgoHelper()
	for _, sum := range s.Stop() {
		gomega.Expect(sum.Outcomes).To(gomega.Equal(map[load.Kind]int{load.Answered: sum.Sent}), "%+v", sum)
		gomega.Expect(sum.Resent).To(gomega.BeZero(), "connections closed while a request was in flight")
	}
}
