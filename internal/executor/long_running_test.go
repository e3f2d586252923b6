package executor_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/jobs"
)

var _ = Describe("a long-running task in a full pool", func() {
	// A long-running task stays unavailable for as long as its pool's demand peak lasts. Its endpoint
	// has crashed; the others are full of short tasks that end one by one. Each gap is too small
	// for the long-running task and is filled by the next short one.
	It("gets an endpoint's capacity within a few runs of the short tasks", func() {
		w := newWorld(1, 3)
		n := 0
		for _, h := range w.endpoints {
			n++
			h.runLength = time.Duration(700+50*n) * time.Millisecond
		}
		o := w.takeOver()
		w.run(100 * time.Millisecond)
		longRunning := jobOf(1, jobs.Step{Count: 1, CPUMilli: 3000, MemoryMB: 10, LongRunning: true})
		stream := func(from, jobs int) {
			for k := range jobs {
				w.submit(o, jobOf(from+k, smallStep(1)))
				w.run(70 * time.Millisecond)
			}
		}
		stream(100, 20)
		Expect(w.submit(o, longRunning)).To(Equal(executor.VerdictAccepted))
		began := w.now
		for round := range 40 {
			stream(200+10*round, 2)
			if w.runs[longRunning.ID+".0.0.0"] != nil {
				break
			}
		}
		Expect(w.runs).To(HaveKey(longRunning.ID+".0.0.0"), fmt.Sprint("after ", w.now-began))
		Expect(w.now - began).To(BeNumerically("<", 2500*time.Millisecond))
		Expect(w.violations).To(BeEmpty())
	})
})

var _ = Describe("a long-running task during a maintenance wave", func() {
	// A long-running task is interrupted twice: its endpoint leaves, the task is started on the next
	// endpoint of the wave, and has to move again from there.
	It("moves to an endpoint outside the wave", func() {
		w := newWorld(1, 4)
		for _, h := range w.endpoints {
			h.runLength, h.percent = time.Hour, 100
		}
		o := w.takeOver()
		w.run(100 * time.Millisecond)
		longRunning := smallStep(2)
		longRunning.LongRunning, longRunning.MaxPerEndpoint = true, 1
		w.submit(o, jobOf(1, longRunning))
		w.run(300 * time.Millisecond)
		Expect(w.endpoints["i-00"].running).To(HaveLen(1))
		Expect(w.endpoints["i-01"].running).To(HaveLen(1))
		for range 10 {
			o.core.SetVacatingSoon(w.now, []string{"i-01", "i-02"})
			o.core.Vacate(w.now, "i-00", false)
			w.run(100 * time.Millisecond)
		}
		Expect(w.endpoints["i-00"].running).To(BeEmpty())
		Expect(w.endpoints["i-02"].running).To(BeEmpty())
		Expect(w.endpoints["i-03"].running).To(HaveLen(1))
	})
})
