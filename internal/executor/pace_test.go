package executor

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// line is what starts go through one after the other: an owner's processor or link.
// Each takes work of it, also where its answer comes after the timeout.
type line struct {
	work    time.Duration
	timeout time.Duration
	busy    time.Duration
	answers []answerDue
}

type answerDue struct {
	at, sent time.Duration
	heard    bool
}

func (l *line) send(now time.Duration) {
	l.busy = max(l.busy, now) + l.work
	at := l.busy + 2*time.Millisecond
	l.answers = append(l.answers, answerDue{at: min(at, now+l.timeout), sent: now, heard: at <= now+l.timeout})
}

// due hands out the answers and timeouts of this moment.
func (l *line) due(now time.Duration) (out []answerDue) {
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
	l := &line{work: 5 * time.Millisecond, timeout: 700 * time.Millisecond}
	p := newPace(0)
	waiting, heard := 0.0, 0
	for now := time.Duration(0); now < lasts; now += tick {
		for _, a := range l.due(now) {
			p.answered(now, now-a.sent)
			if a.heard {
				heard++
			} else {
				waiting++
			}
		}
		waiting += rate * tick.Seconds()
		for waiting >= 1 && (!paced || p.free() > 0) {
			waiting--
			p.sent()
			l.send(now)
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

// A pool starts nothing for seconds though its owner is idle: a third of its endpoints
// is mute, and starts that were sent there wait for their timeout. They say nothing of
// the owner.
func TestMuteEndpointsDoNotSlowTheOthers(t *testing.T) {
	g := NewWithT(t)
	p := newPace(0)
	now := time.Duration(0)
	for n := range 600 {
		now += 5 * time.Millisecond
		p.sent()
		took := 4 * time.Millisecond
		if n%3 == 0 {
			took = 700 * time.Millisecond
		}
		p.answered(now, took)
	}
	g.Expect(p.limit).To(BeNumerically(">=", paceFirst))
}

// A turn of demand takes longer than it must: the owner could carry ten times the starts
// that it began with, and goes on with as many as in the quiet before.
func TestTheLimitFollowsAnOwnerThatCarriesMore(t *testing.T) {
	g := NewWithT(t)
	p := newPace(0)
	now := time.Duration(0)
	for range 200 {
		now += 10 * time.Millisecond
		sent := 0
		for ; p.free() > 0; sent++ {
			p.sent()
		}
		for range sent {
			p.answered(now, 6*time.Millisecond)
		}
	}
	g.Expect(p.limit).To(BeNumerically(">", 5*paceFirst))
	g.Expect(p.startsWait(100)).To(BeZero(), "nothing waits while the limit is not in the way")
}
