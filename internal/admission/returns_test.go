package admission

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("retries of refused jobs", func() {
	const now = time.Minute
	class, other := ReturnKey{Account: "a"}, ReturnKey{Account: "b"}

	// Guards against capacity that newcomers take from callers that were told when to retry, and
	// against a reservation that outlives its job.
	It("reserves capacity until the job is retried, accepted or 2 s late", func() {
		r := NewReturns(1)
		Expect(r.Refuse(now, "j", class, 5, 0)).To(Equal(time.Second))
		Expect(r.Due(now, now+500*time.Millisecond, class)).To(BeZero())
		Expect(r.Due(now, now+time.Second, class)).To(Equal(5.0))
		Expect(r.Due(now, now+time.Second, other)).To(BeZero())
		Expect(r.Due(now+3*time.Second, now+4*time.Second, class)).To(Equal(5.0))
		Expect(r.Due(now+3*time.Second+reservationSlot, now+4*time.Second, class)).To(BeZero())
		r.Refuse(now+time.Second, "j", class, 5, 0)
		Expect(r.Due(now+time.Second, now+5*time.Second, class)).To(Equal(5.0))
		r.Forget("j")
		Expect(r.Due(now+time.Second, now+5*time.Second, class)).To(BeZero())
	})

	DescribeTable("a retry is on time", func(after time.Duration, onTime bool) {
		r := NewReturns(1)
		r.Refuse(now, "j", class, 1, 0)
		found, known := r.Lookup(now+after, "j")
		Expect(known).To(BeTrue())
		Expect(found).To(Equal(Return{FirstOffered: now, Refusals: 1, OnTime: onTime}))
	},
		Entry("not at once", time.Duration(0), false),
		Entry("from 250 ms before", 750*time.Millisecond, true),
		Entry("to 2 s after", 3*time.Second, true),
		Entry("not later", 3*time.Second+time.Millisecond, false),
	)

	// Guards against a job whose age starts anew with each refusal.
	It("counts refusals from the first offer, and forgets after 15 s", func() {
		r := NewReturns(1)
		r.Refuse(now, "j", class, 1, 0)
		r.Refuse(now+time.Second, "j", class, 1, 0)
		found, _ := r.Lookup(now+2*time.Second, "j")
		Expect(found).To(Equal(Return{FirstOffered: now, Refusals: 2, OnTime: true}))
		_, known := r.Lookup(now+returnTTL, "j")
		Expect(known).To(BeFalse())
		r.Refuse(now+returnTTL, "k", class, 1, 0)
		Expect(r.jobs.Len()).To(Equal(1))
	})

	DescribeTable("delays follow the drain", func(drain time.Duration, allowed ...time.Duration) {
		r := NewReturns(1)
		seen := map[time.Duration]bool{}
		for i := range 100 {
			seen[r.Refuse(now, fmt.Sprint(i), class, 1, drain)] = true
		}
		Expect(seen).To(HaveLen(len(allowed)))
		for _, d := range allowed {
			Expect(seen).To(HaveKey(d))
		}
	},
		Entry("none", time.Duration(0), time.Second),
		Entry("negative", -time.Second, time.Second),
		Entry("a second", time.Second, time.Second),
		Entry("between two seconds", 1500*time.Millisecond, time.Second, 2*time.Second),
		Entry("two seconds", 2*time.Second, 2*time.Second),
		Entry("a minute", time.Minute, 3*time.Second),
	)

	// Guards against retries that compete: 80 jobs refused at once, of which 30 are done in a second.
	It("schedules no more retries in a second than are done in it, while that is possible", func() {
		r := NewReturns(1)
		r.SetRate(now, class, 30)
		counts := map[time.Duration]int{}
		for i := range 60 {
			counts[r.Refuse(now, fmt.Sprint(i), class, 1, 0)]++
		}
		Expect(counts).To(Equal(map[time.Duration]int{time.Second: 30, 2 * time.Second: 30}))
		// Another account has its own rate.
		Expect(r.Refuse(now, "b", other, 1, 0)).To(Equal(time.Second))
		for i := range 20 {
			counts[r.Refuse(now, fmt.Sprint("more", i), class, 1, 0)]++
		}
		Expect(counts).To(Equal(map[time.Duration]int{time.Second: 40, 2 * time.Second: 40}))
	})

	// Guards against bursts where the delays given earlier and later meet in one second.
	DescribeTable("counts retries in the same second", func(scheduled int, drain time.Duration, inOne, inTwo int) {
		r := NewReturns(1)
		r.SetRate(now, class, 10)
		for i := range scheduled {
			Expect(r.Refuse(now, fmt.Sprint(i), class, 1, drain)).To(Equal(max(drain, time.Second)))
		}
		counts := [4]int{}
		for i := range 10 {
			counts[r.Refuse(now+500*time.Millisecond, fmt.Sprint("later", i), class, 1, 0)/time.Second]++
		}
		Expect(counts).To(Equal([4]int{0, inOne, inTwo, 0}))
	},
		Entry("scheduled before", 9, time.Duration(0), 1, 9),
		Entry("scheduled after", 5, 2*time.Second, 5, 5),
	)

	// Guards against capacity kept for callers whose deadline ends before they retry.
	It("reserves nothing beyond the caller's deadline", func() {
		r := NewReturns(1)
		Expect(r.Refuse(now, "j", class, 1, 3*time.Second)).To(Equal(3 * time.Second))
		for i := range 3 {
			r.Refuse(now+time.Duration(i)*time.Second, "k", class, 1, 0)
		}
		Expect(r.Due(now+2*time.Second, now+time.Hour, class)).To(BeZero())
	})

	It("keeps 20,000 jobs and classes, and drops the reservations of the oldest", func() {
		r := NewReturns(1)
		for i := range maxReturns + 10 {
			r.SetRate(now, ReturnKey{Priority: i}, 1)
			r.Refuse(now, fmt.Sprint(i), class, 1, 0)
		}
		Expect(r.jobs.Len()).To(Equal(maxReturns))
		Expect(r.classes.Len()).To(Equal(maxReturns))
		Expect(r.Due(now, now+time.Second, class)).To(Equal(float64(maxReturns)))
		_, known := r.Lookup(now, "9")
		Expect(known).To(BeFalse())
	})

	// Guards against retries that find no capacity because newcomers and other retries take it, after a
	// burst of 3 times the capacity for a second; newcomers ask for 0.7 of it afterwards.
	It("lets refused callers find capacity within their deadline", func() {
		Expect(afterBurst(true)).To(BeNumerically(">=", 0.99))
		Expect(afterBurst(false)).To(BeNumerically("<=", 0.5))
	})
})

// afterBurst returns the share of the callers refused in a burst that are accepted within 3 s of their
// first offer, with Returns or with a retry each second. Accepted jobs wait for up to 750 ms.
func afterBurst(reserve bool) float64 {
	const perSlot, queueSlots = 20.0, 3
	class, r := ReturnKey{Account: "a"}, NewReturns(1)
	type caller struct {
		id    string
		first time.Duration
	}
	retries := map[int64][]caller{}
	refused, served, backlog := map[string]bool{}, 0, 0.0
	for slot := range int64(30) {
		now := time.Duration(slot) * reservationSlot
		rate := 0.7
		if slot < slotsPerSecond {
			rate = 3.0
		}
		arrivals := make([]caller, 0, 100)
		for i := range int(rate * perSlot) {
			arrivals = append(arrivals, caller{fmt.Sprint(slot, "-", i), now})
		}
		arrivals = append(arrivals, retries[slot]...) // newcomers come first
		backlog = max(0, backlog-perSlot)
		for _, c := range arrivals {
			known, _ := r.Lookup(now, c.id)
			left := queueSlots*perSlot - backlog
			if reserve && !known.OnTime {
				left -= r.Due(now, now+(queueSlots-1)*reservationSlot, class)
			}
			if left >= 1 {
				backlog++
				r.Forget(c.id)
				if refused[c.id] && now < c.first+callerPatience {
					served++
				}
				continue
			}
			if reserve {
				r.SetRate(now, class, perSlot*float64(slotsPerSecond))
			}
			refused[c.id] = true
			at := slotNumber(now + r.Refuse(now, c.id, class, 1, 0))
			retries[at] = append(retries[at], c)
		}
	}
	return float64(served) / float64(len(refused))
}
