package load

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "load")
}

// runShort runs a scenario for 12 s of simulated time instead of 30 s.
func runShort(sc Scenario) Result {
	sc.Length, sc.Warmup = 12*time.Second, 4*time.Second
	return Run(sc)
}

// maxRefusalP99 bounds the 99th percentile of the time until a refusal.
const maxRefusalP99 = 20 * time.Millisecond

// These specs check the service level that callers get from the dispatch decisions.
// The bounds are the project's targets; the seeds are fixed.
var _ = Describe("under load", func() {
	// Load: all slots are busy and requests arrive faster than they can be served. With
	// an unbounded queue every answer would miss its deadline.
	DescribeTable("uses the full capacity for answers within the deadline", func(factor float64, work []Work) {
		r := runShort(newScenario(true, work, callers(20, factor*capacity)...))
		Expect(usefulWorkRatio(r)).To(BeNumerically(">=", 0.95))
		Expect(r.Late).To(BeZero())
	},
		Entry("1 x, plain", 1.0, plainWork()), Entry("2 x, plain", 2.0, plainWork()), Entry("5 x, plain", 5.0, plainWork()),
		Entry("1 x, mixed", 1.0, mixedWork()), Entry("2 x, mixed", 2.0, mixedWork()), Entry("5 x, mixed", 5.0, mixedWork()),
	)

	// Load: demand stays above the capacity. Most requests can be refused on arrival;
	// any time that they spend in the queue first is lost to the caller.
	DescribeTable("refuses quickly", func(factor float64, work []Work) {
		r := runShort(newScenario(true, work, callers(20, factor*capacity)...))
		Expect(r.Refused).To(BeNumerically(">", 1000))
		Expect(r.Refusals.ValueAtQuantile(99)).To(BeNumerically("<=", maxRefusalP99.Microseconds()))
		Expect(r.Refusals.ValueAtQuantile(50)).To(BeNumerically("<=", time.Millisecond.Microseconds()))
	},
		Entry("2 x, plain", 2.0, plainWork()), Entry("5 x, plain", 5.0, plainWork()),
		Entry("2 x, mixed", 2.0, mixedWork()), Entry("5 x, mixed", 5.0, mixedWork()),
	)

	It("shows that the unbounded baseline fails", func() {
		Expect(usefulRatio(runShort(newScenario(false, plainWork(), callers(20, 2*capacity)...)))).To(BeNumerically("<", 0.05))
	})

	// Load: one caller requests five times the capacity. The other callers stay below
	// their fair share and must not be affected.
	It("keeps a greedy caller from starving modest ones", func() {
		_, worst := modestRatios(runShort(greedyScenario(true)))
		Expect(worst).To(BeNumerically(">=", 0.99))
	})

	DescribeTable("one slow endpoint does not slow the others", func(work []Work) {
		healthy := runShort(slowEndpointScenario(true, work, 1)).Latency.ValueAtQuantile(99)
		r := runShort(slowEndpointScenario(true, work, 10))
		Expect(float64(otherEndpointsP99(r))).To(BeNumerically("<=", 1.5*float64(healthy)))
		Expect(float64(r.Latency.ValueAtQuantile(99))).To(BeNumerically("<=", 1.5*float64(healthy)))
	}, Entry("plain", plainWork()), Entry("mixed", mixedWork()))

	It("does not multiply attempts when endpoints are lost", func() {
		for _, l := range outages {
			r := Run(l.scenario(true))
			Expect(r.WorstAttempts).To(BeNumerically("<=", 1.1), l.name)
			Expect(float64(r.Useful)/float64(r.Offered)).To(BeNumerically(">=", 0.99), l.name)
		}
	})

	It("serves most of a burst that fits the deadlines", func() {
		r := runShort(newScenario(true, plainWork(), burstSources(20)...))
		Expect(float64(r.Useful) / float64(r.Offered)).To(BeNumerically(">=", 0.9))
		// About one in ten requests takes longer than the upper estimate. Only the requests
		// served last have no time left beyond that estimate.
		Expect(r.Failed).To(BeNumerically("<=", r.Refused/10))
	})

	// Load: several bursts in a row. Queue contents and load estimates left over from one
	// burst must not reduce the number of answers in the next.
	It("serves most of repeated bursts", func() {
		r := Run(newScenario(true, plainWork(), burstSources(20)...))
		Expect(float64(r.Useful) / float64(r.Offered)).To(BeNumerically(">=", 0.93))
	})
})
