package attempts

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

type failure struct{ verdict Verdict }

func (f failure) Error() string { return "failed" }

func classify(err error) Verdict { return err.(failure).verdict }

func TestWaitFollowsAnswerTimes(t *testing.T) {
	g := NewWithT(t)
	p := NewPolicy()
	g.Expect(p.Wait(0, 1)).To(Equal(minWait))
	for range 4 * answersPerWindow {
		p.Answered(0, 5*time.Millisecond, true)
	}
	g.Expect(p.Wait(0, 1)).To(Equal(minWait))
	p.Answered(0, 150*time.Millisecond, true)
	g.Expect(p.Wait(0, 1)).To(Equal(225*time.Millisecond), "one slow answer raises the wait")
	for range answersPerWindow {
		p.Answered(0, 150*time.Millisecond, true)
	}
	g.Expect(p.Wait(0, 1)).To(BeNumerically("~", 600*time.Millisecond, 20*time.Millisecond))
	g.Expect(p.Wait(0, 2)).To(Equal(p.Wait(0, 1)))
	g.Expect(p.Wait(0, 4)).To(Equal(maxWait))
	for range 4 * answersPerWindow {
		p.Answered(0, 5*time.Millisecond, true)
	}
	g.Expect(p.Wait(0, 1)).To(Equal(minWait))
}

func TestStoreThatLosesAnswersIsNotSlow(t *testing.T) {
	g := NewWithT(t)
	p := NewPolicy()
	p.Answered(0, 300*time.Millisecond, true)
	g.Expect(p.Slow(50 * time.Millisecond)).To(BeFalse())
	for range latestCount {
		p.Answered(0, 300*time.Millisecond, true)
	}
	g.Expect(p.Slow(50 * time.Millisecond)).To(BeTrue())
	for range latestCount / 2 {
		p.Answered(0, 5*time.Millisecond, true)
	}
	g.Expect(p.Slow(50 * time.Millisecond)).To(BeFalse())
}

// While the store answers other calls, a call whose answers are lost is retried at the
// usual rate. If it answers none, it may be slow, and waits grow.
func TestWaitGrowsOnlyWhileNoCallIsAnswered(t *testing.T) {
	g := NewWithT(t)
	p := NewPolicy()
	p.Answered(time.Second, 5*time.Millisecond, true)
	g.Expect(p.Wait(time.Second+silentAfter/2, 12)).To(Equal(maxGrowth * minWait))
	g.Expect(p.Wait(time.Second+2*silentAfter, 12)).To(Equal(maxWait))
	g.Expect(p.SilentFor(3 * time.Second)).To(Equal(2 * time.Second))
	p.Answered(4*time.Second, 5*time.Millisecond, false)
	g.Expect(p.SilentFor(4*time.Second)).To(Equal(3*time.Second), "a refused call does not count as carried out")
}

// A job was accepted a second late: the store had carried out a write and lost its answer,
// and the wait for it was ten times the usual answer time.
func TestLostAnswerIsRetriedAfterTypicalTime(t *testing.T) {
	g := NewWithT(t)
	var calls atomic.Int64
	out, attempts, err := Repeat(context.Background(), NewPolicy(), classify, func(ctx context.Context) (int, error) {
		if calls.Add(1) < 3 {
			<-ctx.Done()
			return 0, failure{Unanswered}
		}
		return 7, nil
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out).To(Equal(7))
	g.Expect(attempts).To(Equal(3))
}

// While the store is slow, cancelling each attempt just before its answer arrives, and
// starting over, would delay all callers of a pool.
func TestSlowAnswerCountsAfterNextAttemptStarts(t *testing.T) {
	g := NewWithT(t)
	var calls atomic.Int64
	answered := make(chan struct{})
	out, _, err := Repeat(context.Background(), NewPolicy(), classify, func(ctx context.Context) (int, error) {
		switch calls.Add(1) {
		case 1:
			select {
			case <-answered:
				return 1, nil
			case <-ctx.Done():
				return 0, failure{Unanswered}
			}
		case 2:
			close(answered)
		}
		<-ctx.Done()
		return 0, failure{Unanswered}
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out).To(Equal(1))
}

func TestAttemptsStopWhenContextEnds(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	_, _, err := Repeat(ctx, NewPolicy(), classify, func(ctx context.Context) (int, error) {
		cancel()
		<-ctx.Done()
		return 0, failure{Unanswered}
	})
	g.Expect(err).To(HaveOccurred())
}

func TestFinalAnswerIsNotRetried(t *testing.T) {
	g := NewWithT(t)
	_, attempts, err := Repeat(context.Background(), NewPolicy(), classify, func(context.Context) (int, error) { return 0, failure{Final} })
	g.Expect(attempts).To(Equal(1))
	g.Expect(err).To(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	_, attempts, err = Repeat(ctx, NewPolicy(), classify, func(context.Context) (int, error) {
		cancel()
		return 0, failure{Refused}
	})
	g.Expect(attempts).To(Equal(1))
	g.Expect(err).To(HaveOccurred(), "the context has ended")
}
