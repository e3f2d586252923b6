package admission

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestAdmission(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admission")
}

var start = time.Unix(1000, 0)

// newQueue returns a queue for a pool of two slots and requests of 100 ms.
func newQueue() *Fair {
	q := NewFair(1)
	q.SetSlots(2)
	for range minSamples {
		q.Observe("k", 100*time.Millisecond)
	}
	q.serviceTimes.byKind["k"] = timeStats{samples: minSamples, mean: 100 * time.Millisecond}
	return q
}

func request(id uint64, caller string, at time.Time, timeout time.Duration) Request {
	return Request{ID: id, Caller: caller, Kind: "k", Arrived: at, Deadline: at.Add(timeout)}
}

// overload has requests refused for longer than overloadAfter and returns the time
// reached.
func overload(q *Fair) time.Time {
	now := start
	for range 12 {
		q.noteRefusal(now)
		now = now.Add(100 * time.Millisecond)
	}
	return now
}

// drainIDs takes all requests out and returns their IDs in order.
func drainIDs(q *Fair, now time.Time) []uint64 {
	var out []uint64
	for {
		r, ok, _ := q.Next(now)
		if !ok {
			return out
		}
		out = append(out, r.ID)
	}
}

var _ = Describe("the fair queue", func() {
	It("serves one caller in order of arrival", func() {
		q := newQueue()
		for id := range uint64(5) {
			Expect(q.Offer(start, request(id, "a", start, time.Minute))).To(BeEmpty())
		}
		Expect(drainIDs(q, start)).To(Equal([]uint64{0, 1, 2, 3, 4}))
	})

	It("alternates between callers", func() {
		q := newQueue()
		for id := range uint64(4) {
			q.Offer(start, request(id, "a", start, time.Minute))
		}
		q.Offer(start, request(10, "b", start, time.Minute))
		q.Offer(start, request(11, "b", start, time.Minute))
		Expect(drainIDs(q, start)).To(Equal([]uint64{0, 10, 1, 11, 2, 3}))
	})

	It("serves urgent requests first without starving the others", func() {
		q := newQueue()
		q.Offer(start, request(100, "a", start, time.Minute))
		for id := range uint64(6) {
			r := request(id, "a", start, time.Minute)
			r.Urgent = true
			q.Offer(start, r)
		}
		Expect(drainIDs(q, start)).To(Equal([]uint64{0, 1, 2, 3, 100, 4, 5}))
	})

	It("refuses on arrival a request that cannot finish in time", func() {
		q := newQueue()
		for id := range uint64(6) {
			Expect(q.Offer(start, request(id, "a", start, time.Second))).To(BeEmpty())
		}
		out := q.Offer(start, request(7, "a", start, 400*time.Millisecond))
		Expect(out).To(HaveLen(1))
		Expect(out[0].ID).To(Equal(uint64(7)))
		Expect(out[0].Reason).To(Equal(ReasonTooLate))
	})

	It("refuses a request that has expired in the queue", func() {
		q := newQueue()
		q.Offer(start, request(1, "a", start, time.Second))
		_, ok, refused := q.Next(start.Add(950 * time.Millisecond))
		Expect(ok).To(BeFalse())
		Expect(refused).To(HaveLen(1))
	})

	// Service times were ten seconds for a while, far beyond the deadline. Without a cap
	// on the estimate every request would be refused, none would run, and the estimate
	// would never recover.
	It("does not refuse every request when the estimate exceeds the deadline", func() {
		q := newQueue()
		q.serviceTimes.byKind["k"] = timeStats{samples: minSamples, mean: 10 * time.Second}
		Expect(q.Offer(start, request(1, "a", start, time.Second))).To(BeEmpty())
		_, ok, _ := q.Next(start)
		Expect(ok).To(BeTrue())
	})

	// After more than a second of refusals, a request that finds the queue full is refused
	// on arrival, and the waiting ones keep their place.
	It("refuses on arrival under sustained overload", func() {
		q := newQueue()
		now := overload(q)
		for id := range uint64(minOverloadBound) {
			Expect(q.Offer(now, request(id, "a", now, time.Second))).To(BeEmpty())
		}
		out := q.Offer(now, request(10, "a", now, time.Second))
		Expect(out).To(HaveLen(1))
		Expect(out[0].ID).To(Equal(uint64(10)))
		Expect(out[0].Reason).To(Equal(ReasonFull))
		Expect(drainIDs(q, now)).To(Equal([]uint64{0, 1, 2, 3}))
	})

	It("bounds the queue under sustained overload to what is served within milliseconds", func() {
		q := newQueue()
		q.SetSlots(100)
		now := overload(q)
		for id := range uint64(500) {
			q.Offer(now, request(id, fmt.Sprint(id%7), now, time.Second))
		}
		Expect(q.Len()).To(Equal(10)) // 100 slots, 100 ms each: 10 in 10 ms
	})

	It("displaces the newest request of the caller with the most waiting requests", func() {
		q := newQueue()
		now := overload(q)
		q.Offer(now, request(1, "a", now, time.Second))
		q.Offer(now, request(2, "a", now, time.Second))
		q.Offer(now, request(3, "c", now, time.Second))
		q.Offer(now, request(4, "d", now, time.Second))
		out := q.Offer(now, request(5, "b", now, time.Second))
		Expect(out).To(HaveLen(1))
		Expect(out[0].ID).To(Equal(uint64(2)))
		Expect(out[0].Reason).To(Equal(ReasonDisplaced))
		q.Remove(1)
		Expect(drainIDs(q, now)).To(Equal([]uint64{3, 4, 5}))
	})

	// A request that has waited is displaced only where another caller would starve
	// otherwise: its own caller holds far more of the queue.
	DescribeTable("displacing requests that have waited", func(waiting int, refused uint64, reason Reason) {
		q := newQueue()
		now := overload(q)
		for id := range minOverloadBound {
			caller := "c"
			if id < waiting {
				caller = "a"
			}
			q.Offer(now, request(uint64(id), caller, now, time.Second))
		}
		now = now.Add(2 * overloadDrainTime)
		out := q.Offer(now, request(10, "b", now, time.Second))
		Expect(out).To(HaveLen(1))
		Expect(out[0].ID).To(Equal(refused))
		Expect(out[0].Reason).To(Equal(reason))
	},
		Entry("a request of a caller with a similar share is not displaced", 2, uint64(10), ReasonFull),
		Entry("a request of a caller with a far larger share is displaced", greedyFactor, uint64(greedyFactor-1), ReasonDisplaced),
	)

	// A long queue has built up by the time the overload counts as sustained. Dropping the
	// excess at once would refuse hundreds of requests after most of a second of waiting,
	// which could have been refused on arrival.
	It("keeps the waiting requests when an overload becomes sustained", func() {
		q := newQueue()
		for id := range uint64(40) {
			Expect(q.Offer(start, request(id, "a", start, time.Minute))).To(BeEmpty())
		}
		now := overload(q)
		out := q.Offer(now, request(100, "a", now, time.Minute))
		Expect(out).To(HaveLen(1))
		Expect(out[0].ID).To(Equal(uint64(100)))
		Expect(q.Len()).To(Equal(40))
	})

	It("displaces a normal request for an urgent one", func() {
		q := newQueue()
		now := overload(q)
		for id := range uint64(minOverloadBound) {
			q.Offer(now, request(id, fmt.Sprint(id), now, time.Second))
		}
		r := request(10, "u", now, time.Second)
		r.Urgent = true
		out := q.Offer(now, r)
		Expect(out).To(HaveLen(1))
		Expect(out[0].Reason).To(Equal(ReasonDisplaced))
		Expect(drainIDs(q, now)).To(ContainElement(uint64(10)))
	})

	// No slot becomes free, so Next is never called. Two requests wait; the first can no
	// longer finish in time and must be refused now.
	It("expires requests that cannot meet their deadline while no slot is free", func() {
		q := newQueue()
		q.Offer(start, request(1, "a", start, time.Second))
		q.Offer(start, request(2, "a", start, 2*time.Second))
		Expect(q.Expire(start.Add(850 * time.Millisecond))).To(BeEmpty())
		out := q.Expire(start.Add(950 * time.Millisecond))
		Expect(out).To(HaveLen(1))
		Expect(out[0].ID).To(Equal(uint64(1)))
		Expect(out[0].Reason).To(Equal(ReasonTooLate))
		Expect(drainIDs(q, start.Add(950*time.Millisecond))).To(Equal([]uint64{2}))
	})

	It("bounds the queue length in a burst", func() {
		q := newQueue()
		for id := range uint64(1000) {
			q.Offer(start, request(id, fmt.Sprint(id%7), start, time.Hour))
		}
		Expect(q.Len()).To(BeNumerically("<=", 2*maxPerSlot))
	})

	It("jitters the retry advice and raises it with the length of the queue", func() {
		q := newQueue()
		first := q.RetryAfter(start)
		Expect(q.RetryAfter(start)).NotTo(Equal(first))
		for id := range uint64(100) {
			q.Offer(start, request(id, "a", start, time.Hour))
		}
		Expect(q.RetryAfter(start)).To(BeNumerically(">", 2*time.Second))
	})
})
