package harness_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/standin"
	"cyclamenwheel/test/harness"
)

// second is one second in the microseconds of the timeline.
const second = 1_000_000

func point(at int64, live, voluntary, forced int) standin.AvailabilityPoint {
	return standin.AvailabilityPoint{TimeMicros: at, Pool: "tabs",
		PoolCount: standin.PoolCount{Live: live, VoluntaryDown: voluntary, ForcedDown: forced}}
}

// findInTimeline checks a timeline of pool "tabs", whose budget is three
// instances.
func findInTimeline(points ...standin.AvailabilityPoint) []harness.Finding {
	return harness.FindViolations(
		harness.Observed{Availability: standin.Availability{Points: points}},
		harness.Rules{MinAvailable: map[string]int{"tabs": 3}})
}

var _ = Describe("The checks", func() {
	It("accept a maintenance wave within the budget", func() {
		Expect(findInTimeline(point(0, 4, 0, 0), point(1, 3, 1, 0), point(2, 4, 0, 0), point(3, 3, 1, 0))).To(BeEmpty())
	})
	It("find a second drain that takes the pool below its budget", func() {
		Expect(findInTimeline(point(0, 4, 0, 0), point(1, 3, 1, 0), point(2, 2, 2, 0))).NotTo(BeEmpty())
	})
	It("accept a forced loss during a drain", func() {
		Expect(findInTimeline(point(0, 4, 0, 0), point(1, 3, 1, 0), point(2, 2, 1, 1))).To(BeEmpty())
	})
	It("accept a drain right after a loss that cannot have been reported yet", func() {
		Expect(findInTimeline(point(0, 4, 0, 0), point(1, 3, 0, 1), point(2, 2, 1, 1))).To(BeEmpty())
	})
	It("find a drain long after a loss that used up the budget", func() {
		Expect(findInTimeline(point(0, 4, 0, 0), point(1, 3, 0, 1), point(10*second, 2, 1, 1))).NotTo(BeEmpty())
	})
	It("find a request on an instance of another pool, and an idempotency key that ran twice", func() {
		found := harness.FindViolations(
			harness.Observed{History: standin.History{Runs: []standin.Run{
				{Seq: 1, Service: "tabs", Pool: "tabs", IdempotencyKey: "k"},
				{Seq: 2, Service: "tabs", Pool: "charges"},
				{Seq: 3, Service: "tabs", Pool: "tabs", IdempotencyKey: "k"},
			}}},
			harness.Rules{PoolsOf: map[string][]string{"tabs": {"tabs"}}})
		Expect(found).To(HaveLen(2))
	})
	It("find requests interrupted by an operation and an exceeded slot limit", func() {
		found := harness.FindViolations(harness.Observed{Violations: standin.Violations{
			SlotViolations: map[string]int{"w001": 1}, CutByOperation: 1}}, harness.Rules{})
		Expect(found).To(HaveLen(2))
	})
})
