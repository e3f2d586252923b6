package executor_test

import (
	"fmt"
	"testing"
	"time"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/jobs"
)

// pool returns an owner of fully occupied endpoints and jobs that wait.
func pool(endpoints, waiting int) (*world, *owner) {
	w := newWorld(1, 0)
	for i := range endpoints {
		w.addEndpoint(fmt.Sprintf("i-%04d", i)).runLength = time.Hour
	}
	o := w.takeOver()
	w.run(300 * time.Millisecond)
	for i := range endpoints/2 + waiting {
		o.core.Submit(w.now, jobOf(i+1, smallStep(8), smallStep(8, 0)), executor.Accepting{Queue: "q", Terms: terms()}, 1)
	}
	w.run(200 * time.Millisecond)
	return w, o
}

// BenchmarkRound measures a round of decisions with a backlog and no free capacity.
func BenchmarkRound(b *testing.B) {
	for _, endpoints := range []int{10, 80, 340} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			w, o := pool(endpoints, 100)
			b.ResetTimer()
			for range b.N {
				o.core.Tick(w.now)
				o.core.Decide(w.now)
			}
		})
	}
}

// BenchmarkTask measures a task from its job's submission to its end.
func BenchmarkTask(b *testing.B) {
	w := newWorld(1, 0)
	for i := range 80 {
		w.addEndpoint(fmt.Sprintf("i-%04d", i)).runLength = step
	}
	o := w.takeOver()
	w.run(300 * time.Millisecond)
	b.ResetTimer()
	tasks := 0
	for n := 1; tasks < b.N; n++ {
		o.core.Submit(w.now, jobs.Job{ID: fmt.Sprintf("%016x", n), Steps: []jobs.Step{smallStep(16)}}, executor.Accepting{Queue: "q", Terms: terms()}, 1)
		tasks += 16
		w.run(2 * step)
	}
}

// BenchmarkRestore measures a takeover with running jobs.
func BenchmarkRestore(b *testing.B) {
	for _, running := range []int{100, 1000} {
		b.Run(fmt.Sprintf("jobs=%d", running), func(b *testing.B) {
			w, _ := pool(4*running, 0)
			bytes := 0
			for _, v := range w.journal.newest {
				bytes += len(v)
			}
			b.ResetTimer()
			for range b.N {
				w.owners = w.owners[:0]
				w.takeOver()
			}
			b.ReportMetric(float64(bytes)/float64(len(w.journal.newest)), "bytes/record")
		})
	}
}
