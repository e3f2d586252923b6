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

// brief runs a scenario for 12 s of its time instead of 30.
func brief(sc Scenario) Result {
	sc.Length, sc.Warmup = 12*time.Second, 4*time.Second
	return Run(sc)
}

// refusalBound is within what time 99 of 100 refusals are to come.
const refusalBound = 20 * time.Millisecond

// The outcomes for callers that the decisions are made for. The bounds are the
// aim's, the seeds fixed.
var _ = Describe("under load", func() {
	// Every slot is taken and more requests come than can be served. With an
	// unbounded queue each answer would be late and none useful.
	DescribeTable("answers are useful for as much as the pool can do", func(factor float64, work []Work) {
		r := brief(scenario(true, work, callers(20, factor*capacity)...))
		Expect(usefulWork(r)).To(BeNumerically(">=", 0.95))
		Expect(r.Late).To(BeZero())
	},
		Entry("1 x, plain", 1.0, plain()), Entry("2 x, plain", 2.0, plain()), Entry("5 x, plain", 5.0, plain()),
		Entry("1 x, mixed", 1.0, mixed()), Entry("2 x, mixed", 2.0, mixed()), Entry("5 x, mixed", 5.0, mixed()),
	)

	// Demand stays beyond the capacity. Most callers could be told on arrival
	// that there is no room; each moment that they wait for it is lost to them.
	DescribeTable("refusals come at once", func(factor float64, work []Work) {
		r := brief(scenario(true, work, callers(20, factor*capacity)...))
		Expect(r.Refused).To(BeNumerically(">", 1000))
		Expect(r.Refusals.ValueAtQuantile(99)).To(BeNumerically("<=", refusalBound.Microseconds()))
		Expect(r.Refusals.ValueAtQuantile(50)).To(BeNumerically("<=", time.Millisecond.Microseconds()))
	},
		Entry("2 x, plain", 2.0, plain()), Entry("5 x, plain", 5.0, plain()),
		Entry("2 x, mixed", 2.0, mixed()), Entry("5 x, mixed", 5.0, mixed()),
	)

	It("shows that the unbounded baseline fails", func() {
		Expect(usefulPart(brief(scenario(false, plain(), callers(20, 2*capacity)...)))).To(BeNumerically("<", 0.05))
	})

	// One caller asks for five times what the pool can do. The others ask for
	// less than their fair share and must not notice.
	It("keeps a greedy caller from starving modest ones", func() {
		_, worst := modest(brief(greedy(true)))
		Expect(worst).To(BeNumerically(">=", 0.99))
	})

	DescribeTable("one slow endpoint does not slow the others", func(work []Work) {
		healthy := brief(slowOne(true, work, 1)).Latency.ValueAtQuantile(99)
		r := brief(slowOne(true, work, 10))
		Expect(float64(restP99(r))).To(BeNumerically("<=", 1.5*float64(healthy)))
		Expect(float64(r.Latency.ValueAtQuantile(99))).To(BeNumerically("<=", 1.5*float64(healthy)))
	}, Entry("plain", plain()), Entry("mixed", mixed()))

	It("does not multiply attempts when endpoints are lost", func() {
		for _, l := range losses {
			r := Run(l.scenario(true))
			Expect(r.WorstAttempts).To(BeNumerically("<=", 1.1), l.name)
			Expect(float64(r.Useful)/float64(r.Offered)).To(BeNumerically(">=", 0.99), l.name)
		}
	})

	It("serves most of a burst that fits the deadlines", func() {
		r := brief(scenario(true, plain(), burst(20)...))
		Expect(float64(r.Useful) / float64(r.Offered)).To(BeNumerically(">=", 0.9))
		// One in ten requests takes longer than the upper estimate, and only
		// those that are served last have no more time than that.
		Expect(r.Failed).To(BeNumerically("<=", r.Refused/10))
	})

	// Several bursts after one another: what one leaves behind, in the queue
	// and in the judgement of the load, must not cost the next its answers.
	It("serves most of repeated bursts", func() {
		r := Run(scenario(true, plain(), burst(20)...))
		Expect(float64(r.Useful) / float64(r.Offered)).To(BeNumerically(">=", 0.93))
	})
})
