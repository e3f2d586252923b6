package executor

import (
	"math"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// predictionError returns the typical error, in logarithms, of predictions for steps whose
// lengths vary by spread and whose estimates are off by off.
func predictionError(predict func(l *lengthModel, estimateMs int) float64, spread, off float64) float64 {
	rng := rand.New(rand.NewPCG(1, 1))
	var l lengthModel
	sum, n := 0.0, 0
	for k := range 2000 {
		ms := 1000 * math.Exp(spread*rng.NormFloat64())
		estimate := int(ms * math.Exp(off*rng.NormFloat64()))
		if k >= 50 {
			e := math.Log(predict(&l, estimate) / ms)
			sum, n = sum+e*e, n+1
		}
		l.add(ms, 6, estimate)
	}
	return math.Sqrt(sum / float64(n))
}

var _ = Describe("the expected length of a run", func() {
	byBoth := func(l *lengthModel, estimateMs int) float64 { return l.expectedMs(estimateMs) }
	byMean := func(l *lengthModel, _ int) float64 { return l.meanMs() }
	byEstimate := func(_ *lengthModel, estimateMs int) float64 { return float64(estimateMs) }

	// Guards against predictions by one source alone, when lengths and estimates both vary by
	// half: by the mean alone a short job seems on time until it is late; by the estimate
	// alone jobs are refused that could be on time.
	It("is more accurate than the mean or the estimate alone", func() {
		both := predictionError(byBoth, 0.48, 0.5)
		Expect(both).To(BeNumerically("<", 0.8*predictionError(byMean, 0.48, 0.5)))
		Expect(both).To(BeNumerically("<", 0.8*predictionError(byEstimate, 0.48, 0.5)))
	})

	It("ignores useless estimates and follows accurate ones", func() {
		Expect(predictionError(byBoth, 0.1, 1.5)).To(BeNumerically("<", 1.2*predictionError(byMean, 0.1, 1.5)))
		Expect(predictionError(byBoth, 0.8, 0.05)).To(BeNumerically("<", 0.5*predictionError(byMean, 0.8, 0.05)))
	})

	It("is the mean where callers give no estimate", func() {
		var l lengthModel
		for range 10 {
			l.add(400, 2, 0)
		}
		Expect(l.expectedMs(0)).To(BeNumerically("~", 400, 1))
		Expect(l.expectedMs(5000)).To(BeNumerically("~", 400, 1))
	})
})
