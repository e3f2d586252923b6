package executor_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/jobs"
	"cyclamenwheel/internal/routing"
)

var _ = Describe("a gang", func() {
	gang := func(count int) jobs.Step {
		s := smallStep(count)
		s.Gang = true
		return s
	}

	It("starts with all of its tasks, under one run number", func() {
		w := newWorld(1, 2)
		o := w.takeOver()
		w.run(200 * time.Millisecond)
		j := jobOf(1, gang(6))
		w.submit(o, j)
		w.run(100 * time.Millisecond)
		running := 0
		for _, h := range w.endpoints {
			for _, r := range h.running {
				Expect(r.number).To(Equal(1))
				running++
			}
		}
		Expect(running).To(Equal(6))
		w.run(time.Second)
		Expect(w.state(o, j)).To(Equal("completed"))
	})

	It("occupies no capacity until all of its tasks fit", func() {
		w := newWorld(1, 2)
		o := w.takeOver()
		w.run(200 * time.Millisecond)
		w.submit(o, jobOf(1, gang(9)))
		j := jobOf(2, smallStep(2))
		w.submit(o, j)
		w.run(2 * time.Second)
		Expect(w.runs).NotTo(HaveKey(jobOf(1).ID + ".0.0.0"))
		Expect(w.state(o, j)).To(Equal("completed"))
	})

	// Guards against members that wait for ever for those lost with a crashed endpoint: all
	// are stopped and restarted together under a new run number.
	It("restarts as a whole when a member is lost", func() {
		w := newWorld(1, 3)
		o := w.takeOver()
		w.run(200 * time.Millisecond)
		for _, h := range w.endpoints {
			h.runLength = 800 * time.Millisecond
		}
		j := jobOf(1, gang(6))
		w.submit(o, j)
		w.run(200 * time.Millisecond)
		for _, h := range w.endpoints {
			if len(h.running) > 0 {
				w.kill(h)
				break
			}
		}
		numbers := map[int]int{}
		for range 60 {
			w.run(50 * time.Millisecond)
			for _, h := range w.endpoints {
				for _, r := range h.running {
					numbers[r.number]++
				}
			}
		}
		Expect(numbers).To(HaveKey(2))
		Expect(w.state(o, j)).To(Equal("completed"))
		Expect(w.violations).To(BeEmpty())
	})
})

var _ = Describe("a recurring job", func() {
	It("runs each occurrence when it is due, also after a change of owner", func() {
		w := newWorld(1, 2)
		o := w.takeOver()
		w.run(200 * time.Millisecond)
		j := jobOf(1, smallStep(2))
		j.Occurrences, j.StartAtMs, j.IntervalMs = 3, w.wall()+1000, 1000
		Expect(w.submit(o, j)).To(Equal(executor.VerdictAccepted))
		w.run(900 * time.Millisecond)
		Expect(w.runs).To(BeEmpty())
		w.run(700 * time.Millisecond)
		Expect(w.runs).To(HaveLen(2))
		Expect(w.runs).To(HaveKey(j.ID + ".0.0.1"))
		o.stopped = true
		o = w.takeOver()
		w.run(700 * time.Millisecond)
		Expect(w.runs).To(HaveLen(4))
		Expect(w.state(o, j)).To(Equal("running"))
		w.run(1500 * time.Millisecond)
		Expect(w.runs).To(HaveKey(j.ID + ".2.0.0"))
		Expect(w.state(o, j)).To(Equal("completed"))
		Expect(w.violations).To(BeEmpty())
	})

	// Guards against a new owner that runs an occurrence again. The second one ends before the
	// first, whose tasks take long, and then the owner is replaced.
	It("does not repeat an occurrence that ended before an earlier one", func() {
		w := newWorld(1, 2)
		o := w.takeOver()
		w.run(200 * time.Millisecond)
		for _, h := range w.endpoints {
			h.runLength = 3 * time.Second
		}
		j := jobOf(1, smallStep(1))
		j.Occurrences, j.StartAtMs, j.IntervalMs = 2, w.wall()+100, 500
		w.submit(o, j)
		w.run(400 * time.Millisecond)
		for _, h := range w.endpoints {
			h.runLength = 300 * time.Millisecond
		}
		w.run(1200 * time.Millisecond)
		Expect(w.runs[j.ID+".1.0.0"].done()).To(BeTrue())
		Expect(w.runs[j.ID+".0.0.0"].running).To(Equal(1))
		o.stopped = true
		o = w.takeOver()
		w.run(4 * time.Second)
		Expect(w.violations).To(BeEmpty())
		Expect(w.state(o, j)).To(Equal("completed"))
	})
})

var _ = Describe("a step that names a predecessor twice", func() {
	// Guards against a job that never continues: its owner is replaced between the two steps,
	// and the next owner waits for two predecessors where there is one.
	It("starts when the predecessor has ended, also after a change of owner", func() {
		w := newWorld(1, 2)
		o := w.takeOver()
		w.run(100 * time.Millisecond)
		j := jobOf(1, smallStep(2), smallStep(2, 0, 0))
		w.submit(o, j)
		w.run(100 * time.Millisecond)
		o.stopped = true
		o = w.takeOver()
		w.run(2 * time.Second)
		Expect(w.state(o, j)).To(Equal("completed"))
		Expect(w.violations).To(BeEmpty())
	})
})

var _ = Describe("a queue with advice", func() {
	It("starts tasks only with a ticket, and asks for a new one when it expires", func() {
		w := newWorld(1, 3)
		o := w.takeOver()
		w.run(200 * time.Millisecond)
		under := terms()
		under.Advice = &routing.Advice{DecideMs: 10, PeriodMs: 1, ValidMs: 600}
		j := jobOf(1, smallStep(9))
		o.core.Submit(w.now, j, executor.Accepting{Queue: "q", Terms: under}, 1)
		asked := 0
		for range 60 {
			w.run(50 * time.Millisecond)
			call, due := o.core.DueAdvice(w.now)
			if !due {
				continue
			}
			asked++
			Expect(call.Step).To(Equal(j.ID + ".0.0"))
			o.core.ApplyAdvice(w.now, call, map[string]string{"i-01": "ticket"}, 600*time.Millisecond, true)
		}
		Expect(asked).To(BeNumerically(">=", 2))
		Expect(w.state(o, j)).To(Equal("completed"))
		Expect(w.endpoints["i-00"].highest).To(BeEmpty())
		Expect(w.endpoints["i-02"].highest).To(BeEmpty())
	})
})
