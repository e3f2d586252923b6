package executor_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/jobs"
)

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
