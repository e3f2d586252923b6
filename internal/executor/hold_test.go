package executor_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/jobs"
)

var _ = Describe("a lasting task in a full pool", func() {
	// Users of a lasting task see it away for as long as its pool's turn of demand
	// lasts. Its endpoint has died; the others are full of short tasks that end one
	// by one. Each hole is smaller than the lasting task and goes to the next short
	// one, so that its room never comes together.
	It("gets an endpoint's room within a few runs of the short ones", func() {
		w := newWorld(1, 3)
		n := 0
		for _, h := range w.hosts {
			n++
			h.took = time.Duration(700+50*n) * time.Millisecond
		}
		o := w.takeOver()
		w.run(100 * time.Millisecond)
		lasts := jobOf(1, jobs.Step{Count: 1, CPUMilli: 3000, MemoryMB: 10, LongRunning: true})
		stream := func(from, jobs int) {
			for k := range jobs {
				w.submit(o, jobOf(from+k, small(1)))
				w.run(70 * time.Millisecond)
			}
		}
		stream(100, 20)
		Expect(w.submit(o, lasts)).To(Equal(executor.VerdictAccepted))
		began := w.now
		for round := range 40 {
			stream(200+10*round, 2)
			if w.runs[lasts.ID+".0.0.0"] != nil {
				break
			}
		}
		Expect(w.runs).To(HaveKey(lasts.ID+".0.0.0"), fmt.Sprint("after ", w.now-began))
		Expect(w.now - began).To(BeNumerically("<", 2500*time.Millisecond))
		Expect(w.broken).To(BeEmpty())
	})
})

var _ = Describe("a lasting task beside a maintenance wave", func() {
	// Users of a lasting task see it away twice: its endpoint leaves, the task is
	// started on the next one of the wave, and has to move again from there.
	It("goes to an endpoint that the wave does not take", func() {
		w := newWorld(1, 4)
		for _, h := range w.hosts {
			h.took, h.percent = time.Hour, 100
		}
		o := w.takeOver()
		w.run(100 * time.Millisecond)
		lasts := small(2)
		lasts.LongRunning, lasts.MaxPerEndpoint = true, 1
		w.submit(o, jobOf(1, lasts))
		w.run(300 * time.Millisecond)
		Expect(w.hosts["i-00"].running).To(HaveLen(1))
		Expect(w.hosts["i-01"].running).To(HaveLen(1))
		for range 10 {
			o.core.LeavesSoon(w.now, []string{"i-01", "i-02"})
			o.core.Vacate(w.now, "i-00", false)
			w.run(100 * time.Millisecond)
		}
		Expect(w.hosts["i-00"].running).To(BeEmpty())
		Expect(w.hosts["i-02"].running).To(BeEmpty())
		Expect(w.hosts["i-03"].running).To(HaveLen(1))
	})
})
