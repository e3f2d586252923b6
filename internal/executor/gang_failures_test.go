package executor_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/jobs"
)

func gangStep(count int) jobs.Step {
	s := smallStep(count)
	s.Gang = true
	return s
}

// awaitFailed advances the time until a run of a task has ended as failed.
func (w *world) awaitFailed(g Gomega, task string, failed int) {
	for end := w.now + 10*time.Second; w.history(task).failed < failed && w.now < end; {
		w.run(step)
	}
	g.Expect(w.history(task).failed).To(Equal(failed))
}

// Guards against a gang that is given up after its first run: on an endpoint that fails all that it
// starts, each member of the run ends as failed.
func TestARunOfAGangFailsOnce(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1, 2)
	o := w.takeOver()
	w.run(100 * time.Millisecond)
	w.endpoints["i-01"].draining, w.endpoints["i-00"].failsAll = true, true
	j := jobOf(1, gangStep(terms().Attempts))
	w.submit(o, j)
	w.awaitFailed(g, j.ID+".0.0.0", 1)
	w.endpoints["i-01"].draining = false
	w.run(5 * time.Second)
	g.Expect(w.state(o, j)).To(Equal("completed"))
	g.Expect(w.violations).To(BeEmpty())
}

// Guards against gangs that are started without end: each run fails.
func TestAGangIsGivenUpAfterAsManyFailedRunsAsAllowed(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1, 2)
	o := w.takeOver()
	w.run(100 * time.Millisecond)
	for _, h := range w.endpoints {
		h.failsAll = true
	}
	j := jobOf(1, gangStep(5))
	w.submit(o, j)
	w.run(20 * time.Second)
	g.Expect(w.state(o, j)).To(Equal("failed"))
	for _, h := range w.endpoints {
		for _, run := range h.highest {
			g.Expect(run).To(BeNumerically("<=", terms().Attempts))
		}
	}
	g.Expect(w.history(j.ID + ".0.0.0").failed).To(Equal(terms().Attempts))
	g.Expect(w.violations).To(BeEmpty())
}

// Guards against a run of a gang that counts again where some of its ends are heard by the next owner, or
// late.
func TestEndsOfAGangCountOnceAcrossOwnersAndLeases(t *testing.T) {
	for _, late := range []bool{false, true} {
		g := NewWithT(t)
		w := newWorld(1, 2)
		o := w.takeOver()
		w.run(100 * time.Millisecond)
		first, second := w.endpoints["i-00"], w.endpoints["i-01"]
		first.failsAll, second.failsAll = true, true
		j := jobOf(1, gangStep(5)) // four on one endpoint, one on the other
		w.submit(o, j)
		w.run(50 * time.Millisecond)
		g.Expect(first.running).NotTo(BeEmpty())
		g.Expect(second.running).NotTo(BeEmpty())
		second.unresponsive = true
		w.awaitFailed(g, j.ID+".0.0.0", 1)
		w.run(300 * time.Millisecond)
		if late {
			w.run(w.limits.Lease + time.Second)
		} else {
			o.stopped = true
			o = w.takeOver()
		}
		second.unresponsive = false
		w.awaitFailed(g, j.ID+".0.0.0", 2)
		first.failsAll, second.failsAll = false, false
		w.run(10 * time.Second)
		g.Expect(w.state(o, j)).To(Equal("completed"))
		g.Expect(w.violations).To(BeEmpty())
	}
}
