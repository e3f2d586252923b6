package inflight

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// starts are the settings of an owner's starts.
var starts = Settings{InitialLimit: 64, MinSlowAnswer: 25 * time.Millisecond}

// serialLink simulates an owner's processor or link, which handles starts one after the other.
// Each costs work, even if its answer arrives after the timeout.
type serialLink struct {
	work    time.Duration
	timeout time.Duration
	busy    time.Duration
	answers []answerDue
}

type answerDue struct {
	at     time.Duration
	slot   *Slot
	inTime bool
}

func (l *serialLink) send(now time.Duration, s *Slot) {
	l.busy = max(l.busy, now) + l.work
	at := l.busy + 2*time.Millisecond
	l.answers = append(l.answers, answerDue{at: min(at, now+l.timeout), slot: s, inTime: at <= now+l.timeout})
}

// sendUnanswered sends a start that is never answered.
func (l *serialLink) sendUnanswered(now time.Duration, s *Slot) {
	l.answers = append(l.answers, answerDue{at: now + l.timeout, slot: s})
}

// deliverDue delivers the answers and timeouts due at now, and returns how many of each there
// were.
func (l *serialLink) deliverDue(now time.Duration, limiter *Limiter) (answered, timedOut int) {
	for _, a := range l.takeDue(now) {
		if a.inTime {
			limiter.Answered(now, a.slot)
			answered++
		} else {
			limiter.TimedOut(now, a.slot)
			timedOut++
		}
	}
	limiter.ReleaseOverdue(now)
	return answered, timedOut
}

// takeDue removes and returns the answers and timeouts due at now.
func (l *serialLink) takeDue(now time.Duration) (out []answerDue) {
	rest := l.answers[:0]
	for _, a := range l.answers {
		if a.at <= now {
			out = append(out, a)
		} else {
			rest = append(rest, a)
		}
	}
	l.answers = rest
	return out
}

// goodput simulates ten seconds of starts at a rate, over a link that carries 200 a second, and
// returns how many per second were answered in time. An unanswered start is sent again, as an
// owner does.
func goodput(rate float64, limited bool) float64 {
	const lasts, tick = 10 * time.Second, time.Millisecond
	l := &serialLink{work: 5 * time.Millisecond, timeout: 700 * time.Millisecond}
	limiter := New(starts)
	waiting, answeredInTime := 0.0, 0
	for now := time.Duration(0); now < lasts; now += tick {
		answered, timedOut := l.deliverDue(now, limiter)
		answeredInTime += answered
		waiting += float64(timedOut) + rate*tick.Seconds()
		for waiting >= 1 && (!limited || limiter.Free() > 0) {
			waiting--
			l.send(now, limiter.Acquire(now))
		}
	}
	return float64(answeredInTime) / lasts.Seconds()
}

// Guards against throughput that falls as load rises: an owner that sends each start as it is
// decided gets answers after the timeout once its link is saturated, the starts are sent again,
// and soon none is answered in time.
func TestGoodputStaysFlatUnderOverload(t *testing.T) {
	g := NewWithT(t)
	const carried = 200.0
	for _, load := range []float64{0.5, 0.9, 1, 1.5, 2, 3, 5} {
		limited, unlimited := goodput(load*carried, true), goodput(load*carried, false)
		t.Logf("load %.1f: %.0f a second with the limit, %.0f without", load, limited, unlimited)
		g.Expect(limited).To(BeNumerically(">=", 0.9*min(load, 1)*carried), fmt.Sprint("load ", load))
	}
	g.Expect(goodput(3*carried, false)).To(BeNumerically("<", 0.5*carried), "without a limit this load must overload the link")
}

// Guards against a pool that starts almost nothing for seconds although its owner is idle: a
// rack has failed, its unanswered starts hold all slots until their timeout, and then count as
// slow answers that cut the limit to its minimum.
func TestUnresponsiveEndpointsDoNotSlowTheOthers(t *testing.T) {
	g := NewWithT(t)
	const rate, unanswered, lasts = 1000.0, 240, 3 * time.Second
	l := &serialLink{work: 200 * time.Microsecond, timeout: 700 * time.Millisecond}
	limiter := New(starts)
	waiting, failed, answeredInTime := 0.0, 0, 0
	for now := time.Duration(0); now < lasts; now += time.Millisecond {
		answered, _ := l.deliverDue(now, limiter)
		answeredInTime += answered
		waiting += rate * time.Millisecond.Seconds()
		for waiting >= 1 && limiter.Free() > 0 {
			waiting--
			if now > time.Second && failed < unanswered {
				failed++
				l.sendUnanswered(now, limiter.Acquire(now))
				continue
			}
			l.send(now, limiter.Acquire(now))
		}
	}
	g.Expect(failed).To(Equal(unanswered))
	g.Expect(answeredInTime).To(BeNumerically(">=", 0.95*(rate*lasts.Seconds()-unanswered)))
}

// Guards against a limit that stays high while an owner's link is saturated: with no answer in
// time, no answer time shows that too many starts are in flight.
func TestTimeoutsLowerTheStartLimit(t *testing.T) {
	g := NewWithT(t)
	l := &serialLink{timeout: 700 * time.Millisecond}
	limiter := New(starts)
	for now := time.Duration(0); now < 5*time.Second; now += time.Millisecond {
		l.deliverDue(now, limiter)
		for limiter.Free() > 0 {
			l.sendUnanswered(now, limiter.Acquire(now))
		}
	}
	g.Expect(int(limiter.limit)).To(Equal(MinLimit))
	g.Expect(limiter.slow).To(BeTrue(), "the lowered limit must be visible to operators")
}

// Guards against refusing jobs at the beginning of a demand peak though they could start at
// once: an idle period must not count as a low start rate.
func TestIdleTimeDoesNotLowerTheStartRate(t *testing.T) {
	g := NewWithT(t)
	limiter := New(starts)
	l := &serialLink{work: 200 * time.Microsecond, timeout: 700 * time.Millisecond}
	turn := func(from time.Duration) {
		for now := from; now < from+100*time.Millisecond; now += time.Millisecond {
			l.deliverDue(now, limiter)
			for limiter.Free() > 0 {
				l.send(now, limiter.Acquire(now))
			}
		}
	}
	turn(0)
	turn(20 * time.Second)
	g.Expect(limiter.QueueDelay(100)).To(BeNumerically("<", time.Second))
}

// Guards against a limit that stays at its initial value though the owner carries ten times as
// many starts, which prolongs a demand peak.
func TestStartLimitGrowsWithFastAnswers(t *testing.T) {
	g := NewWithT(t)
	limiter := New(starts)
	now := time.Duration(0)
	for range 200 {
		now += 10 * time.Millisecond
		var out []*Slot
		for limiter.Free() > 0 {
			out = append(out, limiter.Acquire(now))
		}
		for _, s := range out {
			limiter.Answered(now+6*time.Millisecond, s)
		}
	}
	g.Expect(limiter.limit).To(BeNumerically(">", 5*starts.InitialLimit))
	g.Expect(limiter.QueueDelay(100)).To(BeZero(), "nothing waits while the limit is not in the way")
}

// Guards against a limit that stays high while a single receiver leaves most requests unanswered: it
// answers some, and its best answers were slow, so that timeouts do not exceed four times their
// median.
func TestTimeoutsOfASingleReceiverLowerTheLimit(t *testing.T) {
	g := NewWithT(t)
	limiter := New(Settings{InitialLimit: 64, MinSlowAnswer: 500 * time.Millisecond, MaxSlowAnswer: 600 * time.Millisecond, SingleReceiver: true})
	now := time.Duration(0)
	play := func(rounds int, end func(i int, s *Slot)) {
		for range rounds {
			var out []*Slot
			for limiter.Free() > 0 {
				out = append(out, limiter.Acquire(now))
			}
			now += 700 * time.Millisecond
			for i, s := range out {
				end(i, s)
			}
		}
	}
	play(2, func(_ int, s *Slot) { limiter.Answered(s.sent+400*time.Millisecond, s) })
	g.Expect(limiter.Limit()).To(BeNumerically(">=", 64))
	play(40, func(i int, s *Slot) {
		if i%3 == 0 {
			limiter.Answered(s.sent+400*time.Millisecond, s)
			return
		}
		limiter.TimedOut(now, s)
	})
	g.Expect(limiter.Limit()).To(BeNumerically("==", MinLimit))
}
