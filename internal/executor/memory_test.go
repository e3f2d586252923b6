package executor_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/jobs"
)

// memoryWorld returns a world whose owners share the given bytes for their jobs.
func memoryWorld(bytes int64) (*world, *executor.JobMemory) {
	w := newWorld(1, 4)
	w.limits.Memory = executor.NewJobMemory(bytes)
	w.lengthOf = func(jobs.TaskName) time.Duration { return 200 * time.Millisecond }
	return w, w.limits.Memory
}

// wide returns a job whose tasks take some 2 MB of their owner's memory.
func wide(number int) jobs.Job {
	s := smallStep(jobs.MaxTasks)
	s.CPUMilli, s.MemoryMB, s.EstimateMs = 1, 1, 1
	return jobOf(number, s)
}

// Guards against an owner that accepts more jobs than its memory holds, and against large ones that leave
// no room for small ones or deny a job that has been accepted.
func TestJobsBeyondTheMemoryAreRefused(t *testing.T) {
	g := NewWithT(t)
	w, memory := memoryWorld(8 << 20)
	o := w.takeOver()
	w.run(time.Second)
	accepted := 0
	for i := range 20 {
		if w.submit(o, wide(i+1)) == executor.VerdictAccepted {
			accepted++
		}
	}
	g.Expect(accepted).To(And(BeNumerically(">", 0), BeNumerically("<", 5)))
	g.Expect(memory.Used()).To(BeNumerically("<=", 8<<20))
	g.Expect(w.submit(o, wide(1))).NotTo(Equal(executor.VerdictRefused), "it is known")
	g.Expect(w.submit(o, jobOf(100, smallStep(1)))).To(Equal(executor.VerdictAccepted))
	_, refusal := o.core.Submit(w.now, wide(101), executor.Accepting{Queue: "q", Terms: terms()}, 1)
	g.Expect(refusal.Reason).To(Equal(executor.RefusedMemory))
	g.Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
}

// Guards against memory that is never released, so that an owner refuses for ever: after jobs have ended
// and been forgotten, and after the owner has ended; and against a new owner that does not count.
func TestTheMemoryOfJobsIsReleased(t *testing.T) {
	g := NewWithT(t)
	w, memory := memoryWorld(1 << 30)
	o := w.takeOver()
	w.run(time.Second)
	for i := range 10 {
		g.Expect(w.submit(o, jobOf(i+1, smallStep(3)))).To(Equal(executor.VerdictAccepted))
	}
	w.run(100 * time.Millisecond)
	open := memory.Used()
	g.Expect(open).To(BeNumerically(">", 10*1024))
	o.core.ReleaseMemory()
	g.Expect(memory.Used()).To(BeZero())
	o = w.takeOver()
	g.Expect(memory.Used()).To(Equal(open), "the next owner counts the same")
	w.run(20 * time.Second)
	g.Expect(w.state(o, jobOf(1, smallStep(3)))).To(Equal("completed"))
	g.Expect(memory.Used()).To(And(BeNumerically(">", 0), BeNumerically("<", open/2)), "of ended jobs only the state is kept")
	w.run(w.limits.KeepEnded)
	g.Expect(memory.Used()).To(BeZero())
}

// Guards against a schedule in the past, all of whose occurrences are due at once, that takes its owner's
// memory; and against one that does not go on behind it.
func TestDueOccurrencesStayWithinTheMemory(t *testing.T) {
	g := NewWithT(t)
	const occurrences = 400
	w, memory := memoryWorld(256 << 10)
	o := w.takeOver()
	w.run(time.Second)
	j := jobOf(1, smallStep(4))
	j.Occurrences, j.StartAtMs, j.IntervalMs = occurrences, 1, 1
	g.Expect(w.submit(o, j)).To(Equal(executor.VerdictAccepted))
	for range 300 {
		w.run(time.Second)
		g.Expect(memory.Used()).To(BeNumerically("<=", 256<<10))
		if w.state(o, j) == "completed" {
			break
		}
	}
	g.Expect(w.state(o, j)).To(Equal("completed"))
	g.Expect(w.violations).To(BeEmpty())
}

// Guards against a schedule whose occurrences never end and whose progress outgrows a record of the store,
// so that no change of the pool is stored any more.
func TestTheProgressOfAScheduleFitsARecord(t *testing.T) {
	g := NewWithT(t)
	const storeLimit = 256 << 10
	w, _ := memoryWorld(1 << 30)
	o := w.takeOver()
	w.run(time.Second)
	never := smallStep(1)
	never.Requires = "none"
	wide := smallStep(100)
	wide.CPUMilli, wide.MemoryMB = 1, 1
	j := jobOf(1, wide, never)
	j.Occurrences, j.StartAtMs, j.IntervalMs = 10000, 1, 1
	g.Expect(w.submit(o, j)).To(Equal(executor.VerdictAccepted))
	w.run(20 * time.Second)
	for key, value := range w.journal.newest {
		g.Expect(len(value)).To(BeNumerically("<=", storeLimit), key)
	}
	g.Expect(w.submit(o, jobOf(2, smallStep(1)))).To(Equal(executor.VerdictAccepted))
	w.run(2 * time.Second)
	g.Expect(w.state(o, jobOf(2, smallStep(1)))).To(Equal("completed"))
}
