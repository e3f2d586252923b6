package executor_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/jobs"
)

// reportedLate starts one task on the first of some endpoints, which is then unresponsive until its
// leases have expired. Its run ends meanwhile.
func reportedLate(endpoints int) (w *world, o *owner, j jobs.Job, late *simEndpoint) {
	w = newWorld(1, endpoints)
	o = w.takeOver()
	w.run(100 * time.Millisecond)
	j = jobOf(1, smallStep(1))
	w.submit(o, j)
	w.run(50 * time.Millisecond)
	late = w.endpoints["i-00"]
	Expect(late.running).To(HaveLen(1))
	late.unresponsive = true
	w.run(w.limits.Lease + time.Second)
	late.unresponsive = false
	return w, o, j, late
}

var _ = Describe("an end that is reported late", func() {
	// An endpoint stops responding, ends its run in time and reports again after its lease has
	// expired. The task has been started elsewhere meanwhile; acknowledging the first end as
	// well would do its work twice.
	It("is not acknowledged once its task has been started again", func() {
		w, o, j, late := reportedLate(2)
		w.run(25 * time.Second) // an idle endpoint is polled again by then
		Expect(w.state(o, j)).To(Equal("completed"))
		Expect(late.ended).To(HaveLen(1))
		Expect(w.violations).To(BeEmpty())
	})

	// No other endpoint has capacity, so the task is still waiting when its end is reported.
	It("counts as long as its task has not been started again", func() {
		w, o, j, late := reportedLate(1)
		w.run(time.Second)
		Expect(w.state(o, j)).To(Equal("completed"))
		Expect(late.highest).To(HaveKeyWithValue(j.ID+".0.0.0", 1), "the first run is the only one")
		Expect(w.violations).To(BeEmpty())
	})

	// What is not acknowledged is listed with every answer: an endpoint that kept accepting
	// tasks would list all of them.
	It("keeps its endpoint from new tasks and limits how often it is polled", func() {
		w, o, _, late := reportedLate(2)
		w.run(time.Second)
		for n := range 8 {
			w.submit(o, jobOf(10+n, smallStep(1)))
		}
		w.run(400 * time.Millisecond)
		Expect(late.ended).To(HaveLen(1))
		Expect(late.running).To(BeEmpty())
		w.run(5 * time.Second)
		Expect(w.violations).To(BeEmpty())
	})
})
