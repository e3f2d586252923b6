package executor_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/jobs"
)

func smallStep(count int, after ...int) jobs.Step {
	return jobs.Step{Count: count, CPUMilli: 1000, MemoryMB: 10, EstimateMs: 300, After: after}
}

var _ = Describe("a pool's jobs", func() {
	It("run their steps in order and are reported as completed", func() {
		w := newWorld(1, 3)
		o := w.takeOver()
		w.run(100 * time.Millisecond)
		j := jobOf(1, smallStep(6), smallStep(4, 0))
		Expect(w.submit(o, j)).To(Equal(executor.VerdictAccepted))
		w.run(300 * time.Millisecond)
		Expect(w.state(o, j)).To(Equal("running"))
		Expect(w.runs).NotTo(HaveKey(j.ID + ".0.1.0"))
		w.run(2 * time.Second)
		Expect(w.state(o, j)).To(Equal("completed"))
		Expect(w.violations).To(BeEmpty())
	})

	It("fail once a task has failed as often as its queue allows", func() {
		w := newWorld(1, 3)
		o := w.takeOver()
		steps := make([]jobs.Step, failingStep+1)
		for i := range steps {
			steps[i] = smallStep(1)
		}
		j := jobOf(1, steps...)
		w.submit(o, j)
		w.run(6 * time.Second)
		Expect(w.state(o, j)).To(Equal("failed"))
		Expect(w.runs[j.ID+".0.9.0"].failed).To(Equal(3))
		Expect(w.violations).To(BeEmpty())
	})

	It("are stopped when cancelled", func() {
		w := newWorld(1, 3)
		o := w.takeOver()
		long := smallStep(3)
		long.LongRunning = true
		j := jobOf(1, long)
		w.endpoints["i-00"].runLength, w.endpoints["i-01"].runLength, w.endpoints["i-02"].runLength = time.Hour, time.Hour, time.Hour
		w.submit(o, j)
		w.run(time.Second)
		Expect(w.state(o, j)).To(Equal("running"))
		known, _ := o.core.Cancel(w.now, j.ID, 2)
		Expect(known).To(BeTrue())
		w.run(time.Second)
		Expect(w.state(o, j)).To(Equal("cancelled"))
		for _, h := range w.endpoints {
			Expect(h.running).To(BeEmpty())
		}
	})
})

var _ = Describe("a new owner", func() {
	// Guards against losing an accepted job. The owner ends before it starts any task, so that
	// the journal holds the job but no progress, and its successor has only that record.
	It("begins a job that its predecessor had only accepted", func() {
		w := newWorld(1, 0)
		o := w.takeOver()
		j := jobOf(1, smallStep(2))
		w.submit(o, j)
		w.run(50 * time.Millisecond)
		o.stopped = true
		w.addEndpoint("i-00")
		next := w.takeOver()
		w.run(2 * time.Second)
		Expect(w.state(next, j)).To(Equal("completed"))
	})

	// Guards against starting tasks twice. The owner ends while a job runs; its successor asks
	// the endpoints what they run and continues from there.
	It("adopts runs that are in progress", func() {
		w := newWorld(1, 3)
		o := w.takeOver()
		w.run(100 * time.Millisecond)
		j := jobOf(1, smallStep(8))
		w.submit(o, j)
		w.run(100 * time.Millisecond)
		o.stopped = true
		next := w.takeOver()
		w.run(2 * time.Second)
		Expect(w.state(next, j)).To(Equal("completed"))
		Expect(w.violations).To(BeEmpty())
	})

	// Guards against a task that runs twice at once. The new owner of a full pool has polled its
	// endpoints and is then too busy to renew their leases for a moment. Its predecessor's
	// leases are still valid and must not count as expired.
	It("does not abandon runs under its predecessor's leases", func() {
		w := newWorld(1, 3)
		o := w.takeOver()
		w.run(100 * time.Millisecond)
		for _, h := range w.endpoints {
			h.runLength = 2 * time.Second
		}
		j := jobOf(1, smallStep(6))
		w.submit(o, j)
		w.run(300 * time.Millisecond)
		o.stopped = true
		next := w.takeOver()
		w.run(2 * step)
		next.busy = true
		w.run(400 * time.Millisecond)
		next.busy = false
		w.run(3 * time.Second)
		Expect(w.violations).To(BeEmpty())
		Expect(w.state(next, j)).To(Equal("completed"))
	})

	// Guards against a second run of a task. Its endpoint becomes unreachable just as the owner
	// ends, and runs the task for as long as the old owner could have renewed its lease.
	It("waits for the leases of endpoints that it can't reach", func() {
		w := newWorld(1, 2)
		o := w.takeOver()
		w.run(100 * time.Millisecond)
		for _, h := range w.endpoints {
			h.runLength, h.skew = time.Hour, 0.98
		}
		j := jobOf(1, smallStep(2))
		w.submit(o, j)
		w.run(200 * time.Millisecond)
		unresponsive := w.endpoints["i-00"]
		unresponsive.unresponsive = true
		o.stopped = true
		w.takeOver()
		w.run(12 * time.Second)
		Expect(unresponsive.running).To(BeEmpty())
		Expect(w.violations).To(BeEmpty())
	})

	// Guards against tasks that don't run throughout a rolling restart. Nodes restart one after
	// the other, each handing its pool over, while an endpoint is down. Each owner would wait
	// anew for leases that its predecessors may have renewed.
	It("does not restart its predecessor's wait for an unresponsive endpoint", func() {
		w := newWorld(1, 2)
		o := w.takeOver()
		w.run(100 * time.Millisecond)
		for _, h := range w.endpoints {
			h.runLength, h.skew = time.Hour, 0.98
		}
		long := smallStep(1)
		long.LongRunning = true
		w.submit(o, jobOf(1, long))
		w.run(200 * time.Millisecond)
		unresponsive := w.endpoints["i-00"]
		Expect(unresponsive.running).To(HaveLen(1))
		unresponsive.unresponsive = true
		for range 8 {
			w.run(1500 * time.Millisecond)
			w.handOver(o)
			o = w.takeOver()
		}
		Expect(w.endpoints["i-01"].running).To(HaveLen(1))
		Expect(w.violations).To(BeEmpty())
	})

	// Guards against two copies of a long-running task being unavailable at once where one may be.
	// The old owner ended after ordering a stop; the endpoint lists the run as running until the
	// stop is complete, and the new owner must not stop another.
	It("stops no long-running task while its predecessor's stop may be in flight", func() {
		w := newWorld(1, 4)
		o := w.takeOver()
		w.run(100 * time.Millisecond)
		serve := smallStep(3)
		serve.LongRunning, serve.MayMiss, serve.MaxPerEndpoint = true, 1, 1
		for _, h := range w.endpoints {
			h.runLength, h.percent = time.Hour, 100
		}
		w.submit(o, jobOf(1, serve))
		w.run(2 * time.Second)
		o.stopped = true
		next := w.takeOver()
		w.run(200 * time.Millisecond)
		for id, h := range w.endpoints {
			if len(h.running) > 0 {
				next.core.Vacate(w.now, id, false)
			}
		}
		w.run(50 * time.Millisecond)
		for _, h := range w.endpoints {
			for _, r := range h.running {
				Expect(r.outcome).NotTo(Equal(executor.EndedStopped))
			}
		}
	})
})

var _ = Describe("leases", func() {
	// Guards against a first run that outlasts the successor's wait, so that the task runs
	// twice. An endpoint with a slow clock is idle for a while and then gets a task as its owner
	// ends. The successor can't reach it and waits for one lease only, so the lease must not be
	// longer.
	It("do not exceed the limit where an endpoint's slow clock was read long ago", func() {
		w := newWorld(1, 1)
		h := w.endpoints["i-00"]
		h.skew = 0.98
		o := w.takeOver()
		w.run(15 * time.Second)
		w.submit(o, jobOf(1, smallStep(1)))
		w.run(30 * time.Millisecond)
		Expect(h.running).To(HaveLen(1))
		Expect(h.lease - h.clock(w.now)).To(BeNumerically("<=", w.limits.Lease))
	})
})

var _ = Describe("jobs that wait", func() {
	// Guards against reporting that no job waits while all endpoints are down: starts are
	// decided and sent, and none is answered.
	It("count as waiting until an endpoint confirms a run of one", func() {
		w := newWorld(1, 2)
		o := w.takeOver()
		w.run(200 * time.Millisecond)
		for _, h := range w.endpoints {
			h.unresponsive = true
		}
		j := jobOf(1, smallStep(2))
		w.submit(o, j)
		w.run(200 * time.Millisecond)
		Expect(o.core.Pending("q")).To(Equal(1))
		Expect(w.state(o, j)).To(Equal("queued"))
		o.stopped = true
		o = w.takeOver()
		w.run(200 * time.Millisecond)
		Expect(o.core.Pending("q")).To(Equal(1))
		for _, h := range w.endpoints {
			h.unresponsive = false
		}
		w.run(time.Second)
		Expect(o.core.Pending("q")).To(Equal(0))
	})
})

var _ = Describe("an endpoint whose instance was moved", func() {
	// Guards against waiting for leases on an endpoint whose instance the platform has ended.
	// Service discovery still lists it for seconds, and the request to vacate it has expired.
	It("is treated as gone as soon as the platform has ended it", func() {
		w := newWorld(1, 1)
		o := w.takeOver()
		w.run(100 * time.Millisecond)
		j := jobOf(1, smallStep(1))
		w.submit(o, j)
		w.run(50 * time.Millisecond)
		w.endpoints["i-00"].unresponsive = true
		for name := range w.endpoints["i-00"].running {
			w.history(name).running--
		}
		clear(w.endpoints["i-00"].running)
		w.addEndpoint("i-01")
		w.run(100 * time.Millisecond)
		o.core.IncarnationEnded(executor.Incarnation{ID: "i-00", StartedMs: w.endpoints["i-00"].startedMs})
		w.run(time.Second)
		Expect(w.state(o, j)).To(Equal("completed"))
		Expect(w.violations).To(BeEmpty())
	})
})
