package executor_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/jobs"
)

// withEarlierClockLease returns a world in which the first of two endpoints has restarted, and has
// granted the longest lease it can to a renewal that was sent by the former incarnation's clock. The
// owner has not received the answer yet. Tasks take longer than that lease.
func withEarlierClockLease(g Gomega) (w *world, o *owner, h *simEndpoint) {
	w, o, h = withAcknowledgedEnds(g, 2)
	w.run(16 * time.Second)
	w.lengthOf = func(jobs.TaskName) time.Duration { return 15 * time.Second }
	w.restartWithStaleEntry(h, 5*time.Second)
	for end := w.now + 5*time.Second; h.lease == 0 && w.now < end; { // the next renewal of an idle endpoint
		w.run(step)
	}
	h.entry = nil
	g.Expect(h.lease - h.clock(w.now)).To(BeNumerically(">", longestLease-time.Second))
	return w, o, h
}

// cutOff makes an endpoint unresponsive for longer than any lease lasts.
func (w *world) cutOff(h *simEndpoint) {
	h.unresponsive = true
	w.run(longestLease + 2*time.Second)
	h.unresponsive = false
	w.run(longestLease)
}

// Guards against tasks that run twice at once: an owner that knows of a lease by an earlier clock is
// replaced, and its successor takes the lease for one of the usual length.
func TestASuccessorKnowsOfLeasesByAnEarlierClock(t *testing.T) {
	for _, c := range []struct {
		name string
		// handsOver: the owner hands over. unheard: the endpoint is cut off before it reports to the
		// successor.
		handsOver, unheard bool
	}{{name: "killed"}, {name: "killed, cut off at once", unheard: true}, {name: "hands over", handsOver: true}} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			w, o, h := withEarlierClockLease(g)
			w.run(300 * time.Millisecond)
			j := jobOf(3, smallStep(1))
			w.startOn(g, o, h, j)
			if c.handsOver {
				w.handOver(o)
			}
			o.stopped = true
			h.unresponsive = c.unheard
			o = w.takeOver()
			w.run(300 * time.Millisecond)
			w.cutOff(h)
			g.Expect(w.violations).To(BeEmpty())
			w.run(20 * time.Second)
			g.Expect(w.state(o, j)).To(Equal("completed"))
		})
	}
}

// Guards against tasks that run twice at once: a renewal by an earlier clock has reached an endpoint
// that has restarted, and its owner ends before it knows. The successor finds no record of that.
func TestASuccessorExpectsLeasesByAnEarlierClockOnAYoungIncarnation(t *testing.T) {
	g := NewWithT(t)
	w, o, h := withEarlierClockLease(g)
	o.stopped = true
	o = w.takeOver()
	w.run(time.Second)
	j := jobOf(3, smallStep(1))
	w.startOn(g, o, h, j)
	w.cutOff(h)
	g.Expect(w.violations).To(BeEmpty())
	w.run(20 * time.Second)
	g.Expect(w.state(o, j)).To(Equal("completed"))
}

// Guards against a wait for the longest lease, after a change of owner, for endpoints that have not
// restarted or whose lease by an earlier clock is over.
func TestASuccessorWaitsForOneLeaseOfAnEstablishedIncarnation(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		g := NewWithT(t)
		w, o, h := withAcknowledgedEnds(g, 2)
		if restarted {
			w, o, h = withEarlierClockLease(g)
			w.run(25 * time.Second)
		}
		w.lengthOf = func(jobs.TaskName) time.Duration { return 2 * time.Second }
		j := jobOf(3, smallStep(1))
		w.startOn(g, o, h, j)
		o.stopped = true
		o = w.takeOver()
		w.run(300 * time.Millisecond)
		w.kill(h)
		h.terminated, h.unresponsive = false, true
		w.run(w.limits.Lease + 2500*time.Millisecond)
		g.Expect(w.violations).To(BeEmpty())
		g.Expect(w.state(o, j)).To(Equal("completed"))
	}
}

// Guards against leases that a restarted endpoint grants to renewals by its former clock: those that
// repeat an unanswered one are the first to reach it.
func TestARenewalAfterAnUnansweredOneGrantsNothing(t *testing.T) {
	g := NewWithT(t)
	w, o, h := withAcknowledgedEnds(g, 2)
	w.lengthOf = func(jobs.TaskName) time.Duration { return 15 * time.Second }
	w.startOn(g, o, h, jobOf(3, smallStep(1)))
	former := h.describe()
	w.downFor = 500 * time.Millisecond
	h.entry, h.entryUntil = &former, w.now+1300*time.Millisecond
	w.crash(h)
	for end := w.now + 2*time.Second; w.now < end; {
		w.run(step)
		g.Expect(h.lease - h.clock(w.now)).To(BeNumerically("<=", w.limits.Lease))
	}
	g.Expect(h.fence).NotTo(BeZero(), "renewals reach the endpoint again")
}

// Guards against tasks that run twice at once: the answers to a new owner's renewals are lost, and it
// goes by its predecessor's leases alone.
func TestLeasesCountBeforeTheFirstAnsweredRenewal(t *testing.T) {
	g := NewWithT(t)
	w, o, h := withAcknowledgedEnds(g, 2)
	w.lengthOf = func(jobs.TaskName) time.Duration { return 15 * time.Second }
	w.answersNameIncarnation = true
	stopped, goesOn := jobOf(3, smallStep(1)), jobOf(4, smallStep(1))
	w.startOn(g, o, h, stopped)
	w.startOn(g, o, h, goesOn)
	h.losesPollAnswers = true
	w.run(2 * time.Second)
	o.core.Cancel(w.now, stopped.ID, 9)
	w.flush(o)
	w.handOver(o)
	w.takeOver()
	w.run(10 * time.Second)
	h.losesPollAnswers = false
	w.run(10 * time.Second)
	g.Expect(w.violations).To(BeEmpty())
}

// Guards against a lease by an earlier clock with a start: its record becomes durable after the endpoint
// has stopped answering, and the next incarnation is the first to receive it.
func TestAStartIsNotSentToASilentEndpoint(t *testing.T) {
	g := NewWithT(t)
	w, o, h := withAcknowledgedEnds(g, 2)
	w.lengthOf = func(jobs.TaskName) time.Duration { return 15 * time.Second }
	w.startOn(g, o, h, jobOf(3, smallStep(1))) // keeps the endpoint polled
	w.slowJournal = true
	j := jobOf(4, smallStep(1))
	w.endpoints["i-01"].draining = true
	w.submit(o, j)
	w.run(step)
	w.endpoints["i-01"].draining = false
	w.restartWithStaleEntry(h, time.Second)
	h.unresponsive = true
	w.run(15 * step)
	h.unresponsive = false
	for end := w.now + 2*time.Second; w.now < end; {
		w.run(step)
		g.Expect(h.lease - h.clock(w.now)).To(BeNumerically("<=", w.limits.Lease))
	}
	w.run(20 * time.Second)
	g.Expect(w.state(o, j)).To(Equal("completed"))
	g.Expect(w.violations).To(BeEmpty())
}
