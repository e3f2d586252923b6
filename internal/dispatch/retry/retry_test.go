package retry

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "retry")
}

var start = time.Unix(1000, 0)

func failure() Failure {
	return Failure{NotRun: true, Attempts: 1, Deadline: start.Add(time.Hour)}
}

var _ = Describe("the retry budget", func() {
	// Half of all requests fail for ten seconds. Without a budget the remaining
	// endpoints would get their retries on top of their own load.
	It("keeps attempts within 1.1 times requests in any second", func() {
		b := NewBudget(1)
		var granted []time.Time
		const step = 2 * time.Millisecond // 500 requests a second
		for i := range 5000 {
			now := start.Add(time.Duration(i) * step)
			if i%2 == 0 {
				b.Success(now)
			} else if _, ok := b.Next(now, failure()); ok {
				granted = append(granted, now)
			}
		}
		Expect(granted).NotTo(BeEmpty())
		for i, from := range granted {
			n := 0
			for _, at := range granted[i:] {
				if at.Sub(from) < time.Second {
					n++
				}
			}
			Expect(n).To(BeNumerically("<=", 50))
		}
	})

	It("allows one retry per second with very little traffic", func() {
		b := NewBudget(1)
		_, first := b.Next(start, failure())
		_, second := b.Next(start.Add(500*time.Millisecond), failure())
		_, third := b.Next(start.Add(1100*time.Millisecond), failure())
		Expect([]bool{first, second, third}).To(Equal([]bool{true, false, true}))
	})

	DescribeTable("grants no retry", func(change func(*Failure)) {
		f := failure()
		change(&f)
		_, ok := NewBudget(1).Next(start, f)
		Expect(ok).To(BeFalse())
	},
		Entry("to a charge that may have run", func(f *Failure) { f.NotRun = false }),
		Entry("past the deadline", func(f *Failure) { f.Deadline, f.Estimate = start.Add(time.Millisecond), time.Second }),
		Entry("beyond MaxAttempts", func(f *Failure) { f.Attempts = MaxAttempts }),
	)

	It("draws the delay from the whole range", func() {
		b := NewBudget(1)
		low, high := time.Hour, time.Duration(0)
		for range 1000 {
			d := b.backoff(2)
			low, high = min(low, d), max(high, d)
		}
		Expect(low).To(BeNumerically("<", 4*time.Millisecond))
		Expect(high).To(BeNumerically(">", 36*time.Millisecond))
		Expect(high).To(BeNumerically("<", 40*time.Millisecond))
	})
})
