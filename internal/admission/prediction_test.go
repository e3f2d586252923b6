package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("corrected predictions", func() {
	// Guards against a factor that follows the mean: half of the jobs would end late.
	DescribeTable("the factor follows the 0.8 quantile", func(scale, expected float64) {
		rnd, p := rand.New(rand.NewPCG(1, 1)), NewPredictions()
		late, sum := 0, 0.0
		for i := range 4000 {
			predicted := time.Duration(1+rnd.IntN(3000)) * time.Millisecond
			actual := time.Duration(scale * math.Exp(0.3*rnd.NormFloat64()) * float64(predicted))
			if i >= 2000 {
				sum += float64(p.Correct("q", time.Second)) / float64(time.Second)
				if actual > p.Correct("q", predicted) {
					late++
				}
			}
			p.Observe("q", predicted, actual)
		}
		Expect(sum / 2000).To(BeNumerically("~", expected, 0.05*expected))
		if expected > minFactor && expected < maxFactor {
			Expect(late).To(BeNumerically("~", 400, 60))
			Expect(p.Dump()[0].LateShare).To(BeNumerically("~", 0.2, 0.15))
		}
	},
		Entry("where predictions are right on average", 1.0, math.Exp(0.3*0.8416)),
		Entry("where jobs take twice as long", 2.0, 2*math.Exp(0.3*0.8416)),
		Entry("at most 4", 20.0, 4.0),
		Entry("at least 0.5", 0.1, 0.5),
	)

	// Guards against one slow class that gets the jobs of all others refused.
	It("keeps classes apart and corrects nothing without samples", func() {
		p := NewPredictions()
		for range 100 {
			p.Observe("slow", time.Second, 3*time.Second)
		}
		Expect(p.Correct("slow", time.Second)).To(BeNumerically(">", 2*time.Second))
		Expect(p.Correct("fast", time.Second)).To(Equal(time.Second))
	})

	// A prediction of 0 has no ratio; a factor that is not a number would refuse every job.
	It("stays finite with predictions of 0 and clocks that went back", func() {
		p := NewPredictions()
		for range 1000 {
			p.Observe("q", 0, time.Second)
			p.Observe("q", time.Second, -time.Second)
		}
		Expect(p.Correct("q", time.Second)).To(And(BeNumerically(">=", 500*time.Millisecond), BeNumerically("<=", 4*time.Second)))
	})

	It("tracks 64 classes; the others share one", func() {
		p := NewPredictions()
		for i := range 1000 {
			p.Observe(fmt.Sprintf("q%03d", i), time.Second, 2*time.Second)
		}
		dump := p.Dump()
		Expect(dump).To(HaveLen(maxPredictionClasses + 1))
		Expect(dump[0].Class).To(Equal(otherClass))
		Expect(dump[0].Samples).To(Equal(1000 - maxPredictionClasses))
		Expect(dump[1]).To(Equal(PredictionDump{Class: "q000", Samples: 1, PredictedMs: 1000, ActualMs: 2000,
			Factor: math.Exp(factorStep * factorQuantile), LateShare: 1}))
		Expect(p.Correct("q999", time.Second)).To(BeNumerically(">", 1500*time.Millisecond))
	})
})
