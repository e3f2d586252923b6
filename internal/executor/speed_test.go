package executor_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/jobs"
)

// inTime submits a job of four tasks every 150 ms and returns the share that is shown as
// completed within limit.
func (w *world) inTime(o *owner, from, count int, limit time.Duration) float64 {
	var submitted []jobs.Job
	at := map[string]time.Duration{}
	took := map[string]time.Duration{}
	recordCompleted := func() {
		for _, j := range submitted {
			if took[j.ID] == 0 && w.state(o, j) == "completed" {
				took[j.ID] = w.now - at[j.ID]
			}
		}
	}
	for n := range count {
		j := jobOf(from+n, smallStep(4))
		w.submit(o, j)
		at[j.ID] = w.now
		submitted = append(submitted, j)
		for range 15 {
			w.run(step)
			recordCompleted()
		}
	}
	for range 300 {
		w.run(step)
		recordCompleted()
	}
	good := 0
	for _, j := range submitted {
		if took[j.ID] > 0 && took[j.ID] <= limit {
			good++
		}
	}
	return float64(good) / float64(count)
}

// withLargeEndpoints gives each endpoint capacity for sixteen tasks.
func withLargeEndpoints(w *world) *world {
	for _, h := range w.endpoints {
		h.capacity.CPUMilli = 16000
	}
	return w
}

var _ = Describe("a slow endpoint", func() {
	// Guards against most jobs being late because of one endpoint of five that is healthy and
	// completes all tasks, but ten times as slowly: each job has four tasks, and most have one
	// there.
	It("gets so few tasks that nine of ten jobs are on time", func() {
		w := withLargeEndpoints(newWorld(1, 5))
		o := w.takeOver()
		w.run(100 * time.Millisecond)
		w.inTime(o, 1, 10, time.Second) // measures the queue's run lengths
		w.endpoints["i-00"].runLength = 3 * time.Second
		Expect(w.inTime(o, 100, 60, time.Second)).To(BeNumerically(">=", 0.9))
		Expect(w.violations).To(BeEmpty())
	})

	// Guards against avoiding an endpoint for good after it has recovered: callers would be
	// refused although it has free capacity.
	It("is used again once it works as fast as the others", func() {
		w := newWorld(1, 5)
		o := w.takeOver()
		w.run(100 * time.Millisecond)
		w.inTime(o, 1, 10, time.Second)
		slow := w.endpoints["i-00"]
		slow.runLength = 3 * time.Second
		w.inTime(o, 100, 30, time.Second)
		slow.runLength = 300 * time.Millisecond
		w.inTime(o, 200, 10, time.Second)
		before := len(slow.highest)
		w.inTime(o, 300, 40, time.Second)
		Expect(len(slow.highest) - before).To(BeNumerically(">", 12))
	})

	// Guards against avoiding healthy endpoints when all tasks of a queue are longer than
	// before and progress is slow everywhere.
	It("is not an endpoint that is as slow as all others", func() {
		w := newWorld(1, 5)
		o := w.takeOver()
		w.run(100 * time.Millisecond)
		w.inTime(o, 1, 10, time.Second)
		for _, h := range w.endpoints {
			h.runLength = 2 * time.Second
		}
		for n := range 5 {
			w.submit(o, jobOf(400+n, smallStep(4)))
		}
		w.run(1500 * time.Millisecond)
		running := 0
		for _, h := range w.endpoints {
			running += len(h.running)
			for _, r := range h.running {
				Expect(r.number).To(Equal(1))
			}
		}
		Expect(running).To(Equal(20))
	})
})

var _ = Describe("a new owner's predictions", func() {
	// Guards against wrong admission by a new owner's predictions: it observes only the last
	// part of the runs that its predecessor started, and counted as whole runs these make its
	// predictions far too short.
	It("don't use runs that began before the takeover", func() {
		w := newWorld(1, 3)
		o := w.takeOver()
		w.run(100 * time.Millisecond)
		for n := range 3 {
			w.submit(o, jobOf(1+n, smallStep(4)))
		}
		w.run(250 * time.Millisecond) // of 300
		o.stopped = true
		next := w.takeOver()
		w.run(400 * time.Millisecond)
		Expect(next.core.MeanRunLength("q")).To(BeZero())
		w.submit(next, jobOf(10, smallStep(10)))
		w.run(time.Second)
		Expect(next.core.MeanRunLength("q")).To(BeNumerically(">", 280*time.Millisecond))
	})
})
