package executor_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/jobs"
	"cyclamenwheel/internal/routing"
)

// restartWithStaleEntry restarts an endpoint while service discovery still lists the previous
// incarnation. Leases by the previous clock have not expired by the new one.
func (w *world) restartWithStaleEntry(h *simEndpoint, shownFor time.Duration) {
	former := h.describe()
	h.entry, h.entryUntil = &former, w.now+shownFor
	w.restart(h)
	h.bootClock = 0
}

// withAcknowledgedEnds returns a world in which an endpoint has ended several tasks, all of them
// acknowledged.
func withAcknowledgedEnds(g Gomega, endpoints int) (w *world, o *owner, h *simEndpoint) {
	w = newWorld(1, endpoints)
	o = w.takeOver()
	w.run(100 * time.Millisecond)
	h = w.endpoints["i-00"]
	warm := jobOf(1, smallStep(8))
	w.submit(o, warm)
	w.run(2 * time.Second)
	g.Expect(w.state(o, warm)).To(Equal("completed"))
	g.Expect(h.number).To(BeNumerically(">", 2))
	return w, o, h
}

// startOn submits a job and runs it on one endpoint of two.
func (w *world) startOn(g Gomega, o *owner, h *simEndpoint, j jobs.Job) {
	other := w.endpoints["i-01"]
	other.draining = true
	w.submit(o, j)
	w.run(200 * time.Millisecond)
	g.Expect(h.running).To(HaveKey(j.ID + ".0.0.0"))
	other.draining = false
}

// Guards against tasks that run again after they have ended on a restarted endpoint. An endpoint that
// restarts under its id numbers the ends of its runs from 1 again. An owner that keeps the number of
// the last end by id skips the new ends as applied, acknowledges them unread, finds the runs neither
// running nor ended, and starts their tasks again; failed ends then don't count either.
func TestEndsOfARestartedEndpointAreApplied(t *testing.T) {
	g := NewWithT(t)
	w, o, h := withAcknowledgedEnds(g, 1)
	w.restart(h)
	j := jobOf(2, smallStep(4))
	w.submit(o, j)
	w.run(2 * time.Second)
	g.Expect(w.violations).To(BeEmpty())
	g.Expect(w.state(o, j)).To(Equal("completed"))
}

// Guards against more runs than a queue allows when runs fail on a restarted endpoint.
func TestFailuresOnARestartedEndpointCount(t *testing.T) {
	g := NewWithT(t)
	w, o, h := withAcknowledgedEnds(g, 1)
	w.restart(h)
	h.failsAll = true
	j := jobOf(2, smallStep(2))
	w.submit(o, j)
	w.run(20 * time.Second)
	g.Expect(w.violations).To(BeEmpty())
	g.Expect(w.state(o, j)).To(Equal("failed"))
}

// Guards against a poll that reaches the next incarnation before anything is known of it, and
// acknowledges by the previous incarnation's numbers ends that nobody has read.
func TestAPollForAnEarlierIncarnationAcknowledgesNothing(t *testing.T) {
	for seed := range uint64(20) {
		g := NewWithT(t)
		w, o, h := withAcknowledgedEnds(g, 1)
		w.seed = seed
		w.lengthOf = func(jobs.TaskName) time.Duration { return step }
		const submitted = 60
		for n := range submitted {
			if n%20 == 10 {
				w.restartWithStaleEntry(h, 200*time.Millisecond)
			}
			w.submit(o, jobOf(10+n, smallStep(1)))
			w.run(2 * step)
		}
		w.run(10 * time.Second)
		g.Expect(w.violations).To(BeEmpty())
		for n := range submitted {
			g.Expect(w.state(o, jobOf(10+n))).To(Equal("completed"))
		}
	}
}

// Guards against a task that runs twice at once: an order for an earlier incarnation reaches the
// next one after its task has been started elsewhere.
func TestAnOrderForAnEarlierIncarnationHasNoEffect(t *testing.T) {
	g := NewWithT(t)
	w, o, _ := withAcknowledgedEnds(g, 2)
	w.lateOrders, w.loseOrders = 1, 1
	j := jobOf(2, smallStep(1))
	w.submit(o, j)
	w.run(20 * time.Millisecond)
	w.loseOrders = 0
	g.Expect(w.late).NotTo(BeEmpty())
	h := w.endpoints[w.late[0].order.Endpoint]
	w.restart(h)
	h.bootClock = 0 // the order's lease, by the former clock, is still to come by this one
	w.lengthOf = func(jobs.TaskName) time.Duration { return time.Second }
	w.run(500 * time.Millisecond)
	for i := range w.late {
		w.late[i].at, w.late[i].startedMs = w.now, h.startedMs
	}
	w.run(3 * time.Second)
	g.Expect(w.violations).To(BeEmpty())
	g.Expect(w.state(o, j)).To(Equal("completed"))
}

// Guards against an endpoint that is never used again because an earlier incarnation under its id
// is known to have ended.
func TestAnEndpointThatRestartsUnderItsIDIsUsed(t *testing.T) {
	g := NewWithT(t)
	w, o, h := withAcknowledgedEnds(g, 1)
	j := jobOf(2, smallStep(2))
	w.submit(o, j)
	w.run(50 * time.Millisecond)
	w.kill(h)
	w.run(2 * time.Second)
	g.Expect(w.state(o, j)).NotTo(Equal("completed"))
	w.restart(h)
	w.run(2 * time.Second)
	g.Expect(w.violations).To(BeEmpty())
	g.Expect(w.state(o, j)).To(Equal("completed"))
}

// Guards against an endpoint that is filled beyond its capacity: its next incarnation is smaller, and
// service discovery still lists the previous one.
func TestARestartedEndpointIsNotFilledByItsFormerCapacity(t *testing.T) {
	g := NewWithT(t)
	w, o, h := withAcknowledgedEnds(g, 1)
	h.runLength = 5 * time.Second
	w.submit(o, jobOf(3, smallStep(1)))
	w.run(200 * time.Millisecond)
	w.restartWithStaleEntry(h, 1500*time.Millisecond)
	h.capacity.CPUMilli, h.runLength = 1000, 300*time.Millisecond
	w.run(300 * time.Millisecond)
	j := jobOf(2, smallStep(4))
	w.submit(o, j)
	w.run(5 * time.Second)
	g.Expect(w.violations).To(BeEmpty())
	g.Expect(w.state(o, j)).To(Equal("completed"))
}

// Guards against tasks that run twice at once: a new owner is told that an earlier incarnation has
// ended while the tasks run on the next one under the same id.
func TestTheEndOfAnEarlierIncarnationKeepsRunsOfTheNext(t *testing.T) {
	g := NewWithT(t)
	w, o, h := withAcknowledgedEnds(g, 2)
	former := executor.Incarnation{ID: h.id, StartedMs: h.startedMs}
	w.restart(h)
	w.endpoints["i-01"].draining = true
	h.runLength = 3 * time.Second
	j := jobOf(2, smallStep(2))
	w.submit(o, j)
	w.run(300 * time.Millisecond)
	g.Expect(h.running).To(HaveLen(2))
	w.endpoints["i-01"].draining = false
	o.stopped = true
	o = w.takeOver()
	o.core.IncarnationEnded(former)
	w.run(5 * time.Second)
	g.Expect(w.violations).To(BeEmpty())
	g.Expect(w.state(o, j)).To(Equal("completed"))
}

// startReachesNextIncarnation restarts an endpoint whose old entry stays in service discovery, and
// lets the start of a long task that was sent to its earlier incarnation reach the next one; the
// owner stops before that is reported to it.
func (w *world) startReachesNextIncarnation(g Gomega, o *owner, h *simEndpoint) jobs.Job {
	w.endpoints["i-01"].draining = true
	w.lengthOf = func(jobs.TaskName) time.Duration { return 9 * time.Second }
	w.restartWithStaleEntry(h, 2*step)
	j := jobOf(2, smallStep(1))
	w.submit(o, j)
	w.run(step)
	g.Expect(h.running).To(HaveLen(1))
	o.stopped = true
	return j
}

// Guards against a task that runs twice at once: its start, with a lease by an earlier incarnation's
// clock, has reached the next one, and its owner stops before that is reported to it. The next owner
// assumes that the lease is as short as its own.
func TestANewOwnerRestoresWhichIncarnationAStartWasFor(t *testing.T) {
	g := NewWithT(t)
	w, o, h := withAcknowledgedEnds(g, 2)
	j := w.startReachesNextIncarnation(g, o, h)
	w.endpoints["i-01"].draining = false
	o = w.takeOver()
	w.run(300 * time.Millisecond)
	h.unresponsive = true
	w.run(12 * time.Second)
	h.unresponsive = false
	w.run(12 * time.Second)
	g.Expect(w.violations).To(BeEmpty())
	g.Expect(w.state(o, j)).To(Equal("completed"))
}

// Guards against a task that runs twice at once, as above, where the record of another job names the
// next incarnation and hides that the task's own start was for the previous one.
func TestARecordOfTheNextIncarnationDoesNotHideAnEarlierStart(t *testing.T) {
	g := NewWithT(t)
	w, o, h := withAcknowledgedEnds(g, 2)
	w.endpoints["i-01"].draining = true
	h.bootClock = time.Hour
	w.submit(o, jobOf(4, smallStep(1)))
	w.run(time.Second) // its clock is reported
	j := w.startReachesNextIncarnation(g, o, h)
	o = w.takeOver()
	w.run(300 * time.Millisecond)
	w.submit(o, jobOf(3, smallStep(1)))
	w.run(100 * time.Millisecond)
	g.Expect(h.running).To(HaveLen(2))
	o.stopped = true
	w.endpoints["i-01"].draining = false
	h.unresponsive = true
	o = w.takeOver()
	w.run(12 * time.Second)
	h.unresponsive = false
	w.run(12 * time.Second)
	g.Expect(w.violations).To(BeEmpty())
	g.Expect(w.state(o, j)).To(Equal("completed"))
}

// Guards against an endpoint whose new incarnation always counts as an earlier one, because the time
// of day went back before the restart.
func TestANewIncarnationMayHaveAnEarlierStartTime(t *testing.T) {
	g := NewWithT(t)
	w, o, h := withAcknowledgedEnds(g, 1)
	h.runLength = 2 * time.Second
	w.submit(o, jobOf(3, smallStep(1)))
	w.run(100 * time.Millisecond)
	former := h.startedMs
	w.restart(h)
	h.startedMs = former - 5000
	h.runLength = 300 * time.Millisecond
	w.run(time.Second)
	j := jobOf(2, smallStep(2))
	w.submit(o, j)
	w.run(5 * time.Second)
	g.Expect(w.violations).To(BeEmpty())
	g.Expect(w.state(o, j)).To(Equal("completed"))
}

// Guards against a step that never starts on an endpoint because advice rejected an earlier
// incarnation under its id.
func TestAdviceOnAnEarlierIncarnationIsDropped(t *testing.T) {
	g := NewWithT(t)
	w, o, h := withAcknowledgedEnds(g, 1)
	under := terms()
	under.Advice = &routing.Advice{DecideMs: 10, PeriodMs: 1, ValidMs: 60_000}
	j := jobOf(2, smallStep(2))
	o.core.Submit(w.now, j, executor.Accepting{Queue: "q", Terms: under}, 1)
	unfit := h.startedMs
	for range 80 {
		w.run(50 * time.Millisecond)
		if call, due := o.core.DueAdvice(w.now); due {
			tickets := map[string]string{}
			if h.startedMs != unfit {
				tickets[h.id] = "ticket"
			}
			o.core.ApplyAdvice(w.now, call, tickets, time.Minute, true)
		}
		if w.now > 5*time.Second && h.startedMs == unfit {
			w.restart(h)
		}
	}
	g.Expect(w.violations).To(BeEmpty())
	g.Expect(w.state(o, j)).To(Equal("completed"))
}

// Guards against more runs than a queue allows when one has failed on an endpoint that did not report
// until its lease had expired: that end is acknowledged as well.
func TestAFailureThatIsReportedLateCounts(t *testing.T) {
	for _, again := range []bool{false, true} {
		g := NewWithT(t)
		w := newWorld(1, 2)
		for _, h := range w.endpoints {
			h.failsAll = true
		}
		o := w.takeOver()
		w.run(100 * time.Millisecond)
		j := jobOf(1, smallStep(1))
		w.submit(o, j)
		w.run(50 * time.Millisecond)
		late, other := w.endpoints["i-00"], w.endpoints["i-01"]
		g.Expect(late.running).To(HaveLen(1))
		late.unresponsive = true
		if again {
			// Two more runs fail before it reports, and a third is in flight.
			w.run(w.limits.Lease)
			for end := w.now + 2*time.Second; w.runs[j.ID+".0.0.0"].failed < 3 && w.now < end; {
				w.run(step)
			}
			g.Expect(w.runs[j.ID+".0.0.0"].failed).To(Equal(3))
			other.failsAll = false
			w.run(300 * time.Millisecond)
		} else {
			w.run(w.limits.Lease + 300*time.Millisecond)
		}
		late.unresponsive = false
		w.run(20 * time.Second)
		g.Expect(w.violations).To(BeEmpty())
		g.Expect(w.state(o, j)).To(Or(Equal("failed"), Equal("completed")))
	}
}

// Guards against an end that an owner has withheld, or whose run it has abandoned, and that its
// successor acknowledges: the job has ended, so nothing else shows that there was a later run.
func TestASuccessorRestoresAbandonedRuns(t *testing.T) {
	for _, reported := range []bool{false, true} {
		g := NewWithT(t)
		w := newWorld(1, 2)
		o := w.takeOver()
		w.run(100 * time.Millisecond)
		j := jobOf(1, smallStep(1))
		w.submit(o, j)
		w.run(50 * time.Millisecond)
		late := w.endpoints["i-00"]
		g.Expect(late.running).To(HaveLen(1))
		late.unresponsive = true
		w.run(w.limits.Lease + time.Second)
		g.Expect(w.state(o, j)).To(Equal("completed"))
		if reported {
			late.unresponsive = false
			w.run(500 * time.Millisecond)
			g.Expect(late.ended).To(HaveLen(1), "withheld by the first owner")
		}
		o.stopped = true
		w.takeOver()
		late.unresponsive = false
		w.run(25 * time.Second) // an idle endpoint is polled again by then
		g.Expect(w.violations).To(BeEmpty())
	}
}

// Guards against faults in any mix of restarts under one id with lost and late orders, unresponsive
// and failing endpoints, and owners that change, are cut off or slow.
func TestRandomDaysWithRestarts(t *testing.T) {
	for seed := uint64(1); seed <= uint64(seeds+additionalSeeds()); seed++ {
		v := variant{handOver: seed%2 == 0, slowJournal: seed%3 == 0, restarts: true}
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			randomScenario(NewWithT(t), seed, v)
		})
		late := v
		late.staleEntries = true
		t.Run(fmt.Sprint("unseen, seed ", seed), func(t *testing.T) {
			t.Parallel()
			randomScenario(NewWithT(t), seed, late)
		})
		long := late
		long.longTasks = true
		t.Run(fmt.Sprint("unseen, long tasks, seed ", seed), func(t *testing.T) {
			t.Parallel()
			randomScenario(NewWithT(t), seed, long)
		})
	}
}
