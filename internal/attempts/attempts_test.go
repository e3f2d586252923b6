package attempts

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

type failure struct{ verdict Verdict }

func (f failure) Error() string { return "failed" }

func judge(err error) Verdict { return err.(failure).verdict }

func TestTheWaitFollowsTheAnswersSeen(t *testing.T) {
	g := NewWithT(t)
	p := NewPolicy()
	g.Expect(p.Wait(0, 1)).To(Equal(shortest))
	for range 4 * answersPerWindow {
		p.Answered(0, 5*time.Millisecond, true)
	}
	g.Expect(p.Wait(0, 1)).To(Equal(shortest))
	for range answersPerWindow {
		p.Answered(0, 150*time.Millisecond, true)
	}
	g.Expect(p.Wait(0, 1)).To(BeNumerically("~", 600*time.Millisecond, 20*time.Millisecond))
	g.Expect(p.Wait(0, 2)).To(Equal(p.Wait(0, 1)))
	g.Expect(p.Wait(0, 4)).To(Equal(longest))
	for range 4 * answersPerWindow {
		p.Answered(0, 5*time.Millisecond, true)
	}
	g.Expect(p.Wait(0, 1)).To(Equal(shortest))
}

// While the store answers others, a call whose answers are lost is repeated at the
// usual pace; where it answers nobody, it may be slow, and is waited for longer.
func TestTheWaitGrowsOnlyWhereNobodyIsAnswered(t *testing.T) {
	g := NewWithT(t)
	p := NewPolicy()
	p.Answered(time.Second, 5*time.Millisecond, true)
	g.Expect(p.Wait(time.Second+silence/2, 12)).To(Equal(growth * shortest))
	g.Expect(p.Wait(time.Second+2*silence, 12)).To(Equal(longest))
	g.Expect(p.Silent(3 * time.Second)).To(Equal(2 * time.Second))
	p.Answered(4*time.Second, 5*time.Millisecond, false)
	g.Expect(p.Silent(4*time.Second)).To(Equal(3*time.Second), "a store that turns calls away has done nothing")
}

// A caller's job is accepted a second late. The store has carried a write out and
// lost its answer; the wait for an answer that never comes was ten times as long
// as any answer takes. Repeated after the usual time, the call costs a fraction.
func TestALostAnswerIsRepeatedAfterTheUsualTime(t *testing.T) {
	g := NewWithT(t)
	p := NewPolicy()
	calls := 0
	_, tries, err := Repeat(context.Background(), p, judge, func(ctx context.Context) (int, error) {
		if calls++; calls < 3 {
			deadline, bounded := ctx.Deadline()
			g.Expect(bounded).To(BeTrue())
			g.Expect(time.Until(deadline)).To(BeNumerically("<=", time.Duration(calls)*shortest))
			<-ctx.Done()
			return 0, failure{Unanswered}
		}
		return 7, nil
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(tries).To(Equal(3))
}

func TestAFinalAnswerIsNotRepeated(t *testing.T) {
	g := NewWithT(t)
	_, tries, err := Repeat(context.Background(), NewPolicy(), judge, func(context.Context) (int, error) { return 0, failure{Final} })
	g.Expect(tries).To(Equal(1))
	g.Expect(err).To(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	_, tries, err = Repeat(ctx, NewPolicy(), judge, func(context.Context) (int, error) {
		cancel()
		return 0, failure{TurnedAway}
	})
	g.Expect(tries).To(Equal(1))
	g.Expect(err).To(HaveOccurred())
}
