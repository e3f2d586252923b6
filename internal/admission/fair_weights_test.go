package admission

import (
	"fmt"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("weights of the fair queue's callers", func() {
	// served returns how many of the first n requests taken out are of each caller, of 60 waiting for
	// each.
	served := func(q *Fair, n int, urgent bool, callers ...string) map[string]int {
		names := map[uint64]string{}
		q.SetSlots(100)
		for i := range uint64(60) {
			for j, caller := range callers {
				r := request(i*10+uint64(j), caller, start, time.Hour)
				r.Urgent = urgent
				names[r.ID] = caller
				Expect(q.Offer(start, r)).To(BeEmpty())
			}
		}
		counts := map[string]int{}
		for range n {
			r, _, _ := q.Next(start)
			counts[names[r.ID]]++
		}
		return counts
	}

	// Guards against a caller that pays for a larger share and gets an equal one.
	DescribeTable("slots are shared by weight in each lane", func(urgent bool) {
		q := newQueue()
		q.SetWeight("b", 3)
		q.SetWeight("c", 0.5)
		Expect(served(q, 45, urgent, "a", "b", "c")).To(Equal(map[string]int{"a": 10, "b": 30, "c": 5}))
	}, Entry("normal", false), Entry("urgent", true))

	// Guards against a configured weight that stops a caller's requests or those of all others.
	DescribeTable("a weight that is not positive and finite counts as 1", func(weight float64) {
		q := newQueue()
		q.SetWeight("b", 7)
		q.SetWeight("b", weight)
		Expect(served(q, 20, false, "a", "b")).To(Equal(map[string]int{"a": 10, "b": 10}))
		Expect(q.weights).To(BeEmpty())
	}, Entry("0", 0.0), Entry("negative", -1.0), Entry("NaN", math.NaN()), Entry("infinite", math.Inf(1)))

	// Guards against refusals of a caller within its share because another one's requests wait, and
	// against a prediction that uses the weight of the time when the first request came.
	It("predicts the wait by weight, also after a change", func() {
		q := newQueue()
		for id := range uint64(40) {
			q.Offer(start, request(id, "large", start, time.Minute))
		}
		for id := range uint64(4) {
			q.Offer(start, request(100+id, "b", start, time.Minute))
		}
		// While the four of b are served at equal weights, so are four of the other caller and, as the
		// estimate allows for one more caller, four of that one; each takes 50 ms.
		wait := func() time.Duration { return q.expectedWait(start, &q.lanes[normalLane], request(1, "b", start, 0)) }
		Expect(wait()).To(Equal(13 * 50 * time.Millisecond))
		q.SetWeight("b", 4)
		Expect(wait()).To(Equal(10 * 50 * time.Millisecond))
		q.SetWeight("large", 16)
		Expect(wait()).To(Equal(25 * 50 * time.Millisecond))
	})

	// Guards against a caller of a large weight that loses its waiting requests to others.
	DescribeTable("displaces requests of the caller with the most for its weight", func(weight float64, waited time.Duration, refused uint64) {
		q := newQueue()
		now := overload(q)
		q.SetWeight("a", weight)
		for id, caller := range []string{"a", "a", "a", "b"} {
			q.Offer(now, request(uint64(id), caller, now, time.Second))
		}
		now = now.Add(waited)
		out := q.Offer(now, request(10, "c", now, time.Second))
		Expect(out).To(HaveLen(1))
		Expect(out[0].ID).To(Equal(refused))
	},
		Entry("one of three that have just arrived, for a weight of 1", 1.0, time.Duration(0), uint64(2)),
		Entry("none of three that have just arrived, for a weight of 3", 3.0, time.Duration(0), uint64(10)),
		Entry("one of three that have waited, for a weight of 1", 1.0, 2*overloadDrainTime, uint64(2)),
		Entry("none of three that have waited, for a weight of 2", 2.0, 2*overloadDrainTime, uint64(10)),
	)

	// Guards against an overflow that gives a caller of a tiny weight precedence over all others.
	It("serves a caller of the least weight last", func() {
		q := newQueue()
		q.SetWeight("b", math.SmallestNonzeroFloat64)
		Expect(served(q, 50, false, "b", "a")).To(Equal(map[string]int{"a": 49, "b": 1}))
	})

	It("keeps nothing of callers that have gone, without a weight", func() {
		q := newQueue()
		for i := range uint64(1000) {
			q.Offer(start, request(i, fmt.Sprint(i), start, time.Minute))
			q.Next(start)
		}
		Expect(q.lanes[normalLane].flows).To(BeEmpty())
		Expect(q.lanes[normalLane].weights).To(BeZero())
		Expect(q.weights).To(BeEmpty())
	})
})
