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

// newQueue returns a queue for a pool of two slots in which requests take a
// tenth of a second.
func newQueue() *Fair {
	q := NewFair(1)
	q.SetSlots(2)
	for range enoughSamples {
		q.Observe("k", 100*time.Millisecond)
	}
	q.times.kinds["k"] = spread{samples: enoughSamples, mean: 100 * time.Millisecond}
	return q
}

func request(id uint64, caller string, at time.Time, timeout time.Duration) Request {
	return Request{ID: id, Caller: caller, Kind: "k", Arrived: at, Deadline: at.Add(timeout)}
}

// order takes everything out.
func order(q *Fair, now time.Time) []uint64 {
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
		Expect(order(q, start)).To(Equal([]uint64{0, 1, 2, 3, 4}))
	})

	It("takes turns between callers", func() {
		q := newQueue()
		for id := range uint64(4) {
			q.Offer(start, request(id, "a", start, time.Minute))
		}
		q.Offer(start, request(10, "b", start, time.Minute))
		q.Offer(start, request(11, "b", start, time.Minute))
		Expect(order(q, start)).To(Equal([]uint64{0, 10, 1, 11, 2, 3}))
	})

	It("lets urgent requests pass without starving the others", func() {
		q := newQueue()
		q.Offer(start, request(100, "a", start, time.Minute))
		for id := range uint64(6) {
			r := request(id, "a", start, time.Minute)
			r.Urgent = true
			q.Offer(start, r)
		}
		Expect(order(q, start)).To(Equal([]uint64{0, 1, 2, 3, 100, 4, 5}))
	})

	It("refuses at once what cannot finish in time", func() {
		q := newQueue()
		for id := range uint64(6) {
			Expect(q.Offer(start, request(id, "a", start, time.Second))).To(BeEmpty())
		}
		out := q.Offer(start, request(7, "a", start, 400*time.Millisecond))
		Expect(out).To(HaveLen(1))
		Expect(out[0].ID).To(Equal(uint64(7)))
		Expect(out[0].Reason).To(Equal(ReasonTooLate))
	})

	It("gives up what has run out of time in the queue", func() {
		q := newQueue()
		q.Offer(start, request(1, "a", start, time.Second))
		_, ok, refused := q.Next(start.Add(950 * time.Millisecond))
		Expect(ok).To(BeFalse())
		Expect(refused).To(HaveLen(1))
	})

	// Service times were ten seconds for a while, far past the deadline. If
	// the estimate were believed, every request would be refused, none would
	// run, and the estimate would never recover.
	It("does not refuse everything for an estimate past the deadline", func() {
		q := newQueue()
		q.times.kinds["k"] = spread{samples: enoughSamples, mean: 10 * time.Second}
		Expect(q.Offer(start, request(1, "a", start, time.Second))).To(BeEmpty())
		_, ok, _ := q.Next(start)
		Expect(ok).To(BeTrue())
	})

	// Refusals have gone on for more than a second: the newest goes first, and
	// the queue holds one request for each slot. The oldest of the caller with
	// most of them goes, and hears of it at once.
	It("turns to newest first under sustained overload", func() {
		q := newQueue()
		for i := range 12 {
			at := start.Add(time.Duration(i) * 100 * time.Millisecond)
			q.press(at)
		}
		now := start.Add(1200 * time.Millisecond)
		q.Offer(now, request(1, "a", now, time.Second))
		q.Offer(now, request(2, "a", now, time.Second))
		out := q.Offer(now, request(3, "b", now, time.Second))
		Expect(out).To(HaveLen(1))
		Expect(out[0].ID).To(Equal(uint64(1)))
		Expect(out[0].Reason).To(Equal(ReasonDisplaced))
		Expect(q.Len()).To(Equal(2))
		q.Remove(2)
		Expect(order(q, now)).To(Equal([]uint64{3}))
	})

	It("bounds its length in a burst too", func() {
		q := newQueue()
		for id := range uint64(1000) {
			q.Offer(start, request(id, fmt.Sprint(id%7), start, time.Hour))
		}
		Expect(q.Len()).To(BeNumerically("<=", 2*maxPerSlot))
	})

	It("spreads callers that were refused, and more so the longer the queue", func() {
		q := newQueue()
		first := q.RetryAfter(start)
		Expect(q.RetryAfter(start)).NotTo(Equal(first))
		for id := range uint64(100) {
			q.Offer(start, request(id, "a", start, time.Hour))
		}
		Expect(q.RetryAfter(start)).To(BeNumerically(">", 2*time.Second))
	})
})
