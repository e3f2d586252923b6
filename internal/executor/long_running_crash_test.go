package executor_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/jobs"
)

// serviceJob is a job whose tasks run until it is cancelled, on separate endpoints, with a disruption
// budget of one task.
func serviceJob(n, count int) jobs.Job {
	serve := smallStep(count)
	serve.LongRunning, serve.MayMiss, serve.MaxPerEndpoint = true, 1, 1
	return jobOf(n, serve)
}

// isServing reports whether a task is at work.
func (w *world) isServing(task string) bool {
	return w.budgets.Watches(task) && !slices.Contains(w.budgets.NotAtWork(), task)
}

// Guards against a long-running step whose tasks are all stopped because one of them, which crashes
// its endpoints, is given up.
func TestGivingUpATaskOfALongRunningStepKeepsTheOthersRunning(t *testing.T) {
	for _, newIDs := range []bool{false, true} {
		g := NewWithT(t)
		w := newWorld(1, 8)
		w.crashesEndpoint, w.newIDs, w.limits.KeepEnded = isCrashingTask, newIDs, time.Hour
		o := w.takeOver()
		w.run(500 * time.Millisecond)
		j := serviceJob(crashingJob, 4)
		w.submit(o, j)
		w.run(40 * time.Second)
		g.Expect(w.violations).To(BeEmpty())
		for index := 1; index < 4; index++ {
			g.Expect(w.isServing(jobs.TaskName{Job: j.ID, Index: index}.String())).To(BeTrue(), fmt.Sprint("task ", index))
		}
		g.Expect(w.state(o, j)).To(Equal("running"))
		g.Expect(o.core.Dump(w.now).Jobs).To(ContainElement(And(HaveField("ID", j.ID),
			HaveField("Waiting", ContainElement(ContainSubstring("given up"))))), "what an operator sees")
	}
}

// Guards against a long-running job that goes on as running although each of its tasks has been given
// up.
func TestALongRunningJobFailsOnceAllItsTasksAreGivenUp(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1, 8)
	w.crashesEndpoint = func(n jobs.TaskName) bool { return n.Job == jobOf(crashingJob).ID }
	o := w.takeOver()
	w.run(500 * time.Millisecond)
	j := serviceJob(crashingJob, 2)
	w.submit(o, j)
	w.run(40 * time.Second)
	g.Expect(w.violations).To(BeEmpty())
	g.Expect(w.state(o, j)).To(Equal("failed"))
}

// Guards against a new owner that starts a task again which its predecessor has given up.
func TestAGivenUpTaskStaysSoUnderTheNextOwner(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1, 8)
	w.crashesEndpoint = isCrashingTask
	o := w.takeOver()
	w.run(500 * time.Millisecond)
	j := serviceJob(crashingJob, 3)
	w.submit(o, j)
	w.run(30 * time.Second)
	starts := len(w.runs[jobs.TaskName{Job: j.ID}.String()].starts)
	for range 3 {
		o.stopped = true
		o = w.takeOver()
		w.run(10 * time.Second)
	}
	g.Expect(w.violations).To(BeEmpty())
	g.Expect(w.runs[jobs.TaskName{Job: j.ID}.String()].starts).To(HaveLen(starts))
	g.Expect(w.state(o, j)).To(Equal("running"))
}

// Guards against healthy long-running tasks that are given up because the tasks of other jobs keep
// crashing their endpoints.
func TestLongRunningTasksAreNotGivenUpBesideCrashingOnes(t *testing.T) {
	for seed := uint64(1); seed <= 30; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			w := newWorld(seed, 9)
			w.limits.KeepEnded, w.downFor, w.newIDs = time.Hour, 3300*time.Millisecond, seed%2 == 0
			w.crashesEndpoint = func(n jobs.TaskName) bool { return jobNumber(n.Job)%7 == 0 && n.Index == 0 }
			for _, h := range w.endpoints {
				h.runLength = 500 * time.Millisecond
			}
			o := w.takeOver()
			w.run(500 * time.Millisecond)
			services := []jobs.Job{serviceJob(1, 4), serviceJob(2, 3)}
			for _, j := range services {
				w.submit(o, j)
			}
			w.run(time.Second)
			for n := 10; n < 110; n++ {
				w.submit(o, jobOf(n, smallStep(5)))
				w.run(200 * time.Millisecond)
			}
			w.run(time.Minute)
			g.Expect(w.violations).To(BeEmpty())
			for _, j := range services {
				g.Expect(w.state(o, j)).To(Equal("running"), j.ID)
				for index := range j.Steps[0].Count {
					g.Expect(w.isServing(jobs.TaskName{Job: j.ID, Index: index}.String())).To(BeTrue(), fmt.Sprint(j.ID, " task ", index))
				}
			}
		})
	}
}

// Guards against a long-running task that is restarted without end because it crashes its endpoints
// some time after it has started.
func TestALongRunningTaskThatCrashesItsEndpointsLateIsGivenUp(t *testing.T) {
	for _, after := range []time.Duration{300 * time.Millisecond, time.Second, 1800 * time.Millisecond} {
		for _, newIDs := range []bool{false, true} {
			for _, downFor := range []time.Duration{2 * time.Second, 6 * time.Second} {
				t.Run(fmt.Sprint(after, " after its start, new ids ", newIDs, ", down for ", downFor), func(t *testing.T) {
					t.Parallel()
					g := NewWithT(t)
					w := newWorld(1, 9)
					w.crashesEndpoint, w.crashAfter, w.newIDs, w.downFor, w.limits.KeepEnded = isCrashingTask, after, newIDs, downFor, time.Hour
					o := w.takeOver()
					w.run(500 * time.Millisecond)
					w.submit(o, serviceJob(2, 3))
					w.submit(o, serviceJob(crashingJob, 3))
					for n := 10; n < 400; n++ {
						w.submit(o, jobOf(n, smallStep(3)))
						w.run(200 * time.Millisecond)
					}
					g.Expect(w.violations).To(BeEmpty())
					starts := len(w.runs[jobs.TaskName{Job: jobOf(crashingJob).ID}.String()].starts)
					w.run(30 * time.Second)
					g.Expect(w.runs[jobs.TaskName{Job: jobOf(crashingJob).ID}.String()].starts).To(HaveLen(starts))
				})
			}
		}
	}
}

// Guards against a long-running task that never starts again because it requires an isolated run and
// its pool is full of short tasks that have just begun.
func TestALongRunningTaskThatRequiresIsolationStartsInABusyPool(t *testing.T) {
	for endpoints := 1; endpoints <= 3; endpoints++ {
		t.Run(fmt.Sprint(endpoints, " endpoints"), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			w := newWorld(1, endpoints)
			w.limits.KeepEnded, w.downFor = time.Hour, step
			o := w.takeOver()
			w.run(500 * time.Millisecond)
			j := serviceJob(1, 1)
			task := jobs.TaskName{Job: j.ID}.String()
			w.submit(o, j)
			n := 100
			runBusy := func(until func() bool, limit time.Duration) {
				for end := w.now + limit; w.now < end && !until(); n++ {
					w.submit(o, jobOf(n, smallStep(4)))
					w.run(100 * time.Millisecond)
				}
			}
			for range 3 {
				runBusy(func() bool { return w.isServing(task) }, longestPause)
				g.Expect(w.isServing(task)).To(BeTrue(), "before the next crash")
				for _, h := range w.endpoints {
					if h.running[task] != nil {
						w.crash(h)
					}
				}
				w.run(step)
			}
			runBusy(func() bool { return w.isServing(task) }, longestPause)
			g.Expect(w.traceOf(task)).To(ContainSubstring("3 endpoints have crashed under it"))
			g.Expect(w.isServing(task)).To(BeTrue())
			g.Expect(w.violations).To(BeEmpty())
		})
	}
}

// longestPause is how long a long-running task may be without a run while its pool has capacity.
const longestPause = 9 * time.Second
