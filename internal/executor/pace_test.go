package executor

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// line is what starts go through one after the other: an owner's processor or link.
// Each takes work of it, also where its answer comes after the timeout.
type serialLink struct {
	work    time.Duration
	timeout time.Duration
	busy    time.Duration
	answers []answerDue
}

type answerDue struct {
	at     time.Duration
	slot   *slot
	inTime bool
}

func (l *serialLink) send(now time.Duration, s *slot) {
	l.busy = max(l.busy, now) + l.work
	at := l.busy + 2*time.Millisecond
	l.answers = append(l.answers, answerDue{at: min(at, now+l.timeout), slot: s, inTime: at <= now+l.timeout})
}

// mute sends a start that nobody answers.
func (l *serialLink) sendUnanswered(now time.Duration, s *slot) {
	l.answers = append(l.answers, answerDue{at: now + l.timeout, slot: s})
}

// hear takes in the answers and timeouts of this moment, and returns how many were heard.
func (l *serialLink) deliverDue(now time.Duration, p *pace) (heard, timedOut int) {
	for _, a := range l.takeDue(now) {
		if a.inTime {
			p.answered(now, a.slot)
			heard++
		} else {
			p.unanswered(now, a.slot)
			timedOut++
		}
	}
	p.pass(now)
	return heard, timedOut
}

// due hands out the answers and timeouts of this moment.
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

// goodput plays ten seconds of starts at a rate through a line that carries 200 a second,
// and returns how many a second were answered in time. A start that was not heard of is
// sent again, as an owner does.
func goodput(rate float64, paced bool) float64 {
	const lasts, tick = 10 * time.Second, time.Millisecond
	l := &serialLink{work: 5 * time.Millisecond, timeout: 700 * time.Millisecond}
	p := newPace()
	waiting, heard := 0.0, 0
	for now := time.Duration(0); now < lasts; now += tick {
		answered, again := l.deliverDue(now, &p)
		heard += answered
		waiting += float64(again) + rate*tick.Seconds()
		for waiting >= 1 && (!paced || p.free() > 0) {
			waiting--
			l.send(now, p.sent(now))
		}
	}
	return float64(heard) / lasts.Seconds()
}

// Callers see fewer jobs done the more of them come. An owner sends each start as it is
// decided; beyond what its link carries, answers come after the timeout, the starts are
// sent again, and soon none is heard in time.
func TestGoodputStaysFlatAboveWhatAnOwnerCarries(t *testing.T) {
	g := NewWithT(t)
	const carried = 200.0
	for _, load := range []float64{0.5, 0.9, 1, 1.5, 2, 3, 5} {
		paced, unpaced := goodput(load*carried, true), goodput(load*carried, false)
		t.Logf("load %.1f: %.0f a second paced, %.0f unpaced", load, paced, unpaced)
		g.Expect(paced).To(BeNumerically(">=", 0.9*min(load, 1)*carried), fmt.Sprint("load ", load))
	}
	g.Expect(goodput(3*carried, false)).To(BeNumerically("<", 0.5*carried), "without pace the load is not one that overruns")
}

// A pool starts next to nothing for seconds though its owner is idle: a rack has gone
// dark, and the starts that were sent there hold all places under way until their
// timeout; then they count as slow answers, and the limit falls to its least.
func TestMuteEndpointsDoNotSlowTheOthers(t *testing.T) {
	g := NewWithT(t)
	const rate, mute, lasts = 1000.0, 240, 3 * time.Second
	l := &serialLink{work: 200 * time.Microsecond, timeout: 700 * time.Millisecond}
	p := newPace()
	waiting, dark, heard := 0.0, 0, 0
	for now := time.Duration(0); now < lasts; now += time.Millisecond {
		answered, _ := l.deliverDue(now, &p)
		heard += answered
		waiting += rate * time.Millisecond.Seconds()
		for waiting >= 1 && p.free() > 0 {
			waiting--
			if now > time.Second && dark < mute {
				dark++
				l.sendUnanswered(now, p.sent(now))
				continue
			}
			l.send(now, p.sent(now))
		}
	}
	g.Expect(dark).To(Equal(mute))
	g.Expect(heard).To(BeNumerically(">=", 0.95*(rate*lasts.Seconds()-mute)))
}

// Callers see no job begin for as long as an owner's link is full: nothing is answered in
// time any more, so that no answer tells that there is too much under way.
func TestAnOwnerThatHearsNothingSendsLess(t *testing.T) {
	g := NewWithT(t)
	l := &serialLink{timeout: 700 * time.Millisecond}
	p := newPace()
	for now := time.Duration(0); now < 5*time.Second; now += time.Millisecond {
		l.deliverDue(now, &p)
		for p.free() > 0 {
			l.sendUnanswered(now, p.sent(now))
		}
	}
	g.Expect(int(p.limit)).To(Equal(minStartLimit))
	g.Expect(p.slow).To(BeTrue(), "people are told")
}

// Callers are refused as a turn of demand begins, though their jobs could start at once:
// the pool has been quiet, and its owner takes the seconds without starts for a time in
// which it could send no more than a few.
func TestQuietSecondsSayNothingOfTheRate(t *testing.T) {
	g := NewWithT(t)
	p := newPace()
	l := &serialLink{work: 200 * time.Microsecond, timeout: 700 * time.Millisecond}
	turn := func(from time.Duration) {
		for now := from; now < from+100*time.Millisecond; now += time.Millisecond {
			l.deliverDue(now, &p)
			for p.free() > 0 {
				l.send(now, p.sent(now))
			}
		}
	}
	turn(0)
	turn(20 * time.Second)
	g.Expect(p.startsWait(100)).To(BeNumerically("<", time.Second))
}

// A turn of demand takes longer than it must: the owner could carry ten times the starts
// that it began with, and goes on with as many as in the quiet before.
func TestTheLimitFollowsAnOwnerThatCarriesMore(t *testing.T) {
	g := NewWithT(t)
	p := newPace()
	now := time.Duration(0)
	for range 200 {
		now += 10 * time.Millisecond
		var out []*slot
		for p.free() > 0 {
			out = append(out, p.sent(now))
		}
		for _, s := range out {
			p.answered(now+6*time.Millisecond, s)
		}
	}
	g.Expect(p.limit).To(BeNumerically(">", 5*initialStartLimit))
	g.Expect(p.startsWait(100)).To(BeZero(), "nothing waits while the limit is not in the way")
}

// An engineer is asked why a job began late, and has the log and the dump only: its tasks
// were decided in time and left late.
func TestThePaceIsTold(t *testing.T) {
	g := NewWithT(t)
	c := New("pool", 1, Limits{}, 0)
	now := time.Second
	for range 3 * fullWindowAnswers {
		s := c.pace.sent(now)
		now += 10 * time.Millisecond
		c.OrderDone(now, Order{Kind: OrderStart, slot: s}, OrderDone, Answer{})
	}
	g.Expect(c.TakeEvents()).To(BeEmpty(), "answers are fast")
	for range 3 * fullWindowAnswers {
		s := c.pace.sent(now)
		now += 100 * time.Millisecond
		c.OrderDone(now, Order{Kind: OrderStart, slot: s}, OrderDone, Answer{})
	}
	events := c.TakeEvents()
	g.Expect(events).NotTo(BeEmpty())
	g.Expect(events[0].Kind).To(Equal(EventPaced))
	starts := c.Dump(now).Starts
	g.Expect(starts.Limit).To(BeNumerically("<", initialStartLimit))
	g.Expect(starts.MedianMs).To(BeNumerically("==", 100))
}
