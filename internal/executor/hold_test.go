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
