package fleetops_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/fleetops"
)

// Guards against rounds whose work grows faster than the fleet: each move looking through all
// instances again delays a burst's first capacity by seconds on a fleet of thousands.
var _ = Describe("the work of a round", func() {
	DescribeTable("is bounded by the instances and the moves begun",
		func(instances int) {
			s, list := largeFleet(instances)
			observe(s, time.Second, list, float64(instances)*instanceCPU*10)
			moves := len(s.Decide(time.Second, wallStart).Events)
			Expect(moves).To(BeNumerically(">", 0))
			Expect(fleetops.Visits(s)).To(BeNumerically("<=", 2*(instances+moves)))
		},
		Entry("of 300", 300), Entry("of 1200", 1200))

	It("is none at rest", func() {
		s, list := largeFleet(1200)
		observe(s, time.Second, list, 0)
		s.Decide(time.Second, wallStart)
		Expect(fleetops.Visits(s)).To(BeZero())
	})
})
