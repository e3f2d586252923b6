package harness_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/standin"
	"cyclamenwheel/test/harness"
)

// second in the timeline's unit.
const second = 1_000_000

func point(at int64, live, voluntary, forced int) standin.AvailabilityPoint {
	return standin.AvailabilityPoint{TimeMicros: at, Pool: "tabs",
		PoolCount: standin.PoolCount{Live: live, VoluntaryDown: voluntary, ForcedDown: forced}}
}

func judge(points ...standin.AvailabilityPoint) []harness.Finding {
	return harness.Judge(
		harness.Observed{Availability: standin.Availability{Points: points}},
		harness.Rules{MinAvailable: map[string]int{"tabs": 3}})
}

var _ = Describe("The checks", func() {
	It("take a wave within the budget", func() {
		Expect(judge(point(0, 4, 0, 0), point(1, 3, 1, 0), point(2, 4, 0, 0), point(3, 3, 1, 0))).To(BeEmpty())
	})
	It("find a drain that takes the last instance to spare twice", func() {
		Expect(judge(point(0, 4, 0, 0), point(1, 3, 1, 0), point(2, 2, 2, 0))).NotTo(BeEmpty())
	})
	It("do not blame the system for a loss in the middle of a drain", func() {
		Expect(judge(point(0, 4, 0, 0), point(1, 3, 1, 0), point(2, 2, 1, 1))).To(BeEmpty())
	})
	It("allow a drain that crosses a loss nobody can know of yet", func() {
		Expect(judge(point(0, 4, 0, 0), point(1, 3, 0, 1), point(2, 2, 1, 1))).To(BeEmpty())
	})
	It("find a drain long after a loss that left no room", func() {
		Expect(judge(point(0, 4, 0, 0), point(1, 3, 0, 1), point(10*second, 2, 1, 1))).NotTo(BeEmpty())
	})
	It("find a request at an instance of another pool, and a key that ran twice", func() {
		found := harness.Judge(
			harness.Observed{History: standin.History{Runs: []standin.Run{
				{Seq: 1, Service: "tabs", Pool: "tabs", IdempotencyKey: "k"},
				{Seq: 2, Service: "tabs", Pool: "charges"},
				{Seq: 3, Service: "tabs", Pool: "tabs", IdempotencyKey: "k"},
			}}},
			harness.Rules{PoolsOf: map[string][]string{"tabs": {"tabs"}}})
		Expect(found).To(HaveLen(2))
	})
	It("find requests cut by an operation and slots taken twice", func() {
		found := harness.Judge(harness.Observed{Violations: standin.Violations{
			SlotViolations: map[string]int{"w001": 1}, CutByOperation: 1}}, harness.Rules{})
		Expect(found).To(HaveLen(2))
	})
})
