package shards

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/inflight"
	"cyclamenwheel/internal/peer"
)

// ownerLink simulates a node that sends submissions to one owner.
type ownerLink struct {
	limits   ownerLimits
	now      time.Duration
	inFlight map[int]func()
	sent     int
	accepted int
}

// play submits 1,000 times a second. Each submission gets the result after the given time; a time of
// 0 stands for no answer within the attempt's time. Unanswered submissions are left in flight at the
// end.
func (l *ownerLink) play(lasts, answer time.Duration, result Result) {
	if l.inFlight == nil {
		l.inFlight = map[int]func(){}
	}
	dueAt := map[time.Duration][]int{}
	for end := l.now + lasts; l.now < end; l.now += time.Millisecond {
		for _, id := range dueAt[l.now] {
			l.inFlight[id]()
		}
		finish := l.limits.acquire(l.now, "n-2")
		if finish == nil {
			continue
		}
		l.sent++
		id, took, err := l.sent, answer, error(nil)
		if answer == 0 {
			took = attemptTimeout
			err = &peer.OutcomeUnknownError{Cause: context.DeadlineExceeded}
		}
		l.inFlight[id] = func() {
			delete(l.inFlight, id)
			finish(l.now, result, err)
			if err == nil {
				l.accepted++
			}
		}
		dueAt[l.now+took] = append(dueAt[l.now+took], id)
	}
	for _, ids := range dueAt {
		for _, id := range ids {
			if end := l.inFlight[id]; end != nil && answer != 0 {
				end()
			}
		}
	}
}

var done = Result{Outcome: OutcomeDone}

// Guards against a node that holds thousands of calls to an owner that it cannot reach, and against
// one that does not find out that the owner answers again.
func TestFewSubmissionsAreInFlightToAnOwnerThatDoesNotAnswer(t *testing.T) {
	g := NewWithT(t)
	l := &ownerLink{}
	l.play(5*time.Second, 0, Result{})
	g.Expect(len(l.inFlight)).To(And(BeNumerically(">", 0), BeNumerically("<=", 2)), "it keeps probing")
	for _, end := range l.inFlight {
		end()
	}
	l.play(2*time.Second, 30*time.Millisecond, done)
	before := l.accepted
	l.play(time.Second, 30*time.Millisecond, done)
	g.Expect(l.accepted-before).To(BeNumerically(">=", 900), "the usual rate is back 2 s after the answers")
}

// Guards against a limit that falls while the store is slow though its owner is not busy.
func TestASlowStoreDoesNotLowerTheLimit(t *testing.T) {
	g := NewWithT(t)
	l := &ownerLink{}
	l.play(time.Second, 30*time.Millisecond, done)
	l.play(5*time.Second, 400*time.Millisecond, done)
	g.Expect(l.limits.byNode["n-2"].limiter.Limit()).To(BeNumerically(">=", 64))
}

// Guards against a limit that grows because an owner refuses quickly what its queue cannot take.
func TestAnswersOfABusyOwnerLowerTheLimit(t *testing.T) {
	g := NewWithT(t)
	l := &ownerLink{}
	l.play(3*time.Second, 100*time.Millisecond, resultOwnerBusy)
	g.Expect(l.limits.byNode["n-2"].limiter.Limit()).To(BeNumerically("==", inflight.MinLimit))
}

// Guards against a limit that falls because callers disconnect, have little time left or find no
// link, and against slots that such calls keep.
func TestCallsThatSayNothingOfTheOwnerFreeTheirSlots(t *testing.T) {
	g := NewWithT(t)
	var limits ownerLimits
	for i := range 300 {
		now := time.Duration(i) * 10 * time.Millisecond
		for took, err := range map[time.Duration]error{
			600 * time.Millisecond: &peer.OutcomeUnknownError{Cause: context.Canceled},
			20 * time.Millisecond:  &peer.OutcomeUnknownError{Cause: context.DeadlineExceeded},
			time.Millisecond:       &peer.UnreachableError{Cause: errors.New("next dial not due")},
		} {
			finish := limits.acquire(now, "n-2")
			g.Expect(finish).NotTo(BeNil())
			finish(now+took, Result{}, err)
		}
	}
	limiter := limits.byNode["n-2"].limiter
	g.Expect(limiter.InFlight()).To(BeZero())
	g.Expect(limiter.Limit()).To(BeNumerically("==", 64))
}

// Guards against limits that are kept for ever for nodes that have gone, and against one owner's
// limit that is used for another.
func TestLimitsAreHeldByOwnerWhileInUse(t *testing.T) {
	g := NewWithT(t)
	var limits ownerLimits
	for limits.acquire(time.Hour, "slow") != nil {
		continue
	}
	g.Expect(limits.acquire(time.Hour, "other")).NotTo(BeNil())
	for i := range 100 {
		limits.acquire(time.Hour, fmt.Sprint("gone", i))
	}
	limits.acquire(time.Hour+ownerLimitIdle, "other")
	g.Expect(limits.byNode).To(HaveLen(1))
}

// Guards against a lowered limit that operators cannot see.
func TestLimitsAreReported(t *testing.T) {
	g := NewWithT(t)
	l := &ownerLink{}
	l.play(3*time.Second, 100*time.Millisecond, resultOwnerBusy)
	l.limits.acquire(l.now, "n-1")
	dump := l.limits.dump(l.now + time.Second)
	g.Expect(dump).To(HaveLen(2))
	g.Expect(dump[0]).To(Equal(OwnerLimitDump{Node: "n-1", Limit: 64, InFlight: 1, UnusedMs: 1000}))
	g.Expect(dump[1].Limit).To(Equal(inflight.MinLimit))
	g.Expect(dump[1].MedianMs).To(BeNumerically(">", storeStalledAfter.Milliseconds()))
}
