package executor_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/executor"
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

	// Another run there outlasts the lease and is ended by the endpoint, which makes all earlier ends void:
	// to withhold them would only take the endpoint out of use.
	It("is acknowledged once its endpoint has ended a later run because its lease expired", func() {
		w := newWorld(1, 2)
		o := w.takeOver()
		w.run(100 * time.Millisecond)
		w.lengthOf = func(n jobs.TaskName) time.Duration { return time.Duration(jobNumber(n.Job)) * time.Second }
		short, long := jobOf(1, smallStep(1)), jobOf(8, smallStep(1))
		w.submit(o, short)
		w.submit(o, long)
		w.run(50 * time.Millisecond)
		late := w.endpoints["i-00"]
		Expect(late.running).To(HaveLen(2))
		late.unresponsive = true
		w.run(w.limits.Lease + time.Second)
		late.unresponsive = false
		w.run(25 * time.Second)
		Expect(late.ended).To(BeEmpty())
		Expect(w.state(o, short)).To(Equal("completed"))
		Expect(w.state(o, long)).To(Equal("completed"))
		Expect(w.violations).To(BeEmpty())
	})

	// What is not acknowledged is listed with every answer: an endpoint with room elsewhere in its pool
	// that kept accepting tasks would list all of them.
	It("keeps its endpoint from new tasks while others have capacity, and limits how often it is polled", func() {
		w, o, _, late := reportedLate(2)
		w.run(time.Second)
		polls := late.polls
		for n := range 8 {
			w.submit(o, jobOf(10+n, smallStep(1)))
			if n%4 == 3 {
				w.run(time.Second) // the other endpoint holds four
			}
		}
		Expect(late.ended).To(HaveLen(1))
		Expect(late.running).To(BeEmpty())
		w.run(3 * time.Second)
		Expect(late.polls - polls).To(BeNumerically("<=", 5*1000/400+1))
		Expect(w.violations).To(BeEmpty())
	})

	// The endpoints have run what was cut off, and their ends stay withheld. Kept out of use, they would
	// leave the pool without capacity for jobs that it accepts.
	It("does not keep its endpoint from tasks that find no other, as long as it can list their ends", func() {
		w, o, _, late := reportedLate(2)
		w.run(time.Second)
		w.endpoints["i-01"].draining = true
		w.lengthOf = func(jobs.TaskName) time.Duration { return step }
		first := jobOf(10, smallStep(8))
		w.submit(o, first)
		w.run(3 * time.Second)
		Expect(w.state(o, first)).To(Equal("completed"))
		var submitted []jobs.Job
		for n := range 70 {
			j := jobOf(20+n, smallStep(8))
			if w.submit(o, j) == executor.VerdictAccepted {
				submitted = append(submitted, j)
			}
			w.run(1500 * time.Millisecond)
		}
		Expect(len(late.ended)).To(And(BeNumerically(">", maxListedEnds/2), BeNumerically("<", maxListedEnds)))
		Expect(o.core.Summary(w.now).CapacityMilli).To(BeZero(), "a full list is no capacity")
		Expect(o.core.EndpointLoads(1, nil)).To(ContainElement(And(HaveField("Endpoint", "i-00"), HaveField("Unusable", true))))
		w.endpoints["i-01"].draining = false
		w.run(time.Minute)
		for _, j := range submitted {
			Expect(w.state(o, j)).To(Or(Equal("completed"), Equal("unknown")), j.ID)
		}
		Expect(w.violations).To(BeEmpty())
	})

	// A later run of the same task has ended on the endpoint too. A record of the newer one alone would let
	// the next owner acknowledge the first.
	It("stays withheld where its task has run there again, also after a change of owner", func() {
		w, o, j, a := reportedLate(2)
		b := w.endpoints["i-01"]
		Expect(w.state(o, j)).To(Equal("completed"))
		w.run(25 * time.Second)
		j = jobOf(2, smallStep(1))
		w.lengthOf = func(jobs.TaskName) time.Duration { return 500 * time.Millisecond }
		w.submit(o, j)
		task := j.ID + ".0.0.0"
		awaitRun := func(h *simEndpoint, number int) {
			for end := w.now + 20*time.Second; w.now < end && (h.running[task] == nil || h.running[task].number != number); {
				w.run(step)
			}
			Expect(h.running).To(HaveKey(task))
			w.run(3 * step)
			h.unresponsive = true
		}
		awaitRun(b, 1)
		awaitRun(a, 2)
		b.unresponsive = false
		awaitRun(b, 3)
		a.unresponsive = false
		w.run(10 * time.Second)
		Expect(w.state(o, j)).To(Equal("completed"))
		o.stopped = true
		w.takeOver()
		b.unresponsive = false
		w.run(25 * time.Second)
		Expect(b.highest).To(HaveKeyWithValue(task, 3))
		Expect(w.violations).To(BeEmpty())
	})
})
