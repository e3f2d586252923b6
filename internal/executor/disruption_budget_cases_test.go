package executor_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/jobs"
)

// servingWorld returns a pool on whose endpoints the tasks of a service are at work, one on each of the
// first ones.
func servingWorld(endpoints, tasks int) (w *world, o *owner, service jobs.Job) {
	w = newWorld(1, endpoints)
	w.waitingPolls = true
	o = w.takeOver()
	w.run(100 * time.Millisecond)
	service = serviceJob(1, tasks)
	w.submit(o, service)
	w.run(2 * time.Second)
	return w, o, service
}

// endpointsServing returns the endpoints on which tasks of services run.
func (w *world) endpointsServing() []*simEndpoint {
	var out []*simEndpoint
	for _, info := range w.discoveryList() {
		if h := w.endpoints[info.ID]; len(h.running) > 0 {
			out = append(out, h)
		}
	}
	return out
}

// Guards against a stop beyond the budget by a new owner that has read an endpoint while the
// predecessor's stop was in progress there, and can't reach it any more.
func TestANewOwnerCountsAStopThatItsPredecessorHasSent(t *testing.T) {
	for _, sinceStop := range []time.Duration{0, 50 * time.Millisecond, 90 * time.Millisecond} {
		g := NewWithT(t)
		w, o, _ := servingWorld(4, 3)
		serving := w.endpointsServing()
		g.Expect(serving).To(HaveLen(3))
		o.core.Vacate(w.now, serving[0].id, false)
		w.run(step)
		w.run(sinceStop)
		o.stopped = true
		next := w.takeOver()
		w.run(2 * step)
		serving[0].unresponsive = true
		for range 16 {
			w.run(100 * time.Millisecond)
			next.core.Vacate(w.now, serving[1].id, false)
		}
		g.Expect(w.violations).To(BeEmpty(), "%v after the stop", sinceStop)
	}
}

// Guards against a stop for a wave that is sent together with that of a task whose endpoint has just
// begun to drain: the second one may end first.
func TestATaskOnADrainingEndpointCountsAsUnavailable(t *testing.T) {
	g := NewWithT(t)
	w, o, _ := servingWorld(4, 3)
	serving := w.endpointsServing()
	serving[0].draining = true
	o.core.ObserveEndpoints(w.now, w.discoveryList())
	o.core.Vacate(w.now, serving[1].id, false)
	w.run(50 * time.Millisecond)
	for _, r := range serving[1].running {
		g.Expect(r.outcome).NotTo(Equal(executor.EndedStopped))
	}
	for _, r := range serving[0].running {
		g.Expect(r.outcome).To(Equal(executor.EndedStopped))
	}
}

// Guards against a stop for a wave that is repeated, because the first one was lost, after the endpoint
// of another task of the step has begun to drain.
func TestAStopIsHeldAgainstTheBudgetAgainBeforeItIsRepeated(t *testing.T) {
	g := NewWithT(t)
	w, o, _ := servingWorld(4, 3)
	serving := w.endpointsServing()
	serving[1].unresponsive = true
	o.core.Vacate(w.now, serving[1].id, false)
	w.run(step)
	serving[1].unresponsive = false
	serving[0].draining = true
	w.run(serviceStartup)
	for _, r := range serving[1].running {
		g.Expect(r.outcome).NotTo(Equal(executor.EndedStopped))
	}
	for range 20 {
		w.run(100 * time.Millisecond)
		o.core.Vacate(w.now, serving[1].id, false)
	}
	g.Expect(w.violations).To(BeEmpty())
	g.Expect(serving[1].running).To(BeEmpty(), "once the task of the draining endpoint is at work elsewhere")
}

// Guards against a stop for an operation on an instance that is sent after the operation was given up:
// the stop had been held back, as the budget was used up, until the request to vacate had expired.
func TestAPostponedStopExpiresWithItsRequestToVacate(t *testing.T) {
	g := NewWithT(t)
	w, o, _ := servingWorld(3, 3)
	serving := w.endpointsServing()
	g.Expect(serving).To(HaveLen(3))
	o.core.Vacate(w.now, serving[1].id, false)
	serving[0].draining = true
	w.run(5 * time.Second)
	g.Expect(serving[0].running).To(BeEmpty())
	g.Expect(serving[1].running).To(HaveLen(1))
	serving[0].draining = false
	w.run(6 * time.Second)
	g.Expect(serving[0].running).To(HaveLen(1), "the budget is free again")
	for _, r := range serving[1].running {
		g.Expect(r.began).To(BeNumerically("<", 2*time.Second), "its first run goes on")
		g.Expect(r.outcome).NotTo(Equal(executor.EndedStopped))
	}
	g.Expect(w.violations).To(BeEmpty())
}

// Guards against a job that goes on after it was cancelled, because the owner was suspended before it
// sent the stops, one of which had been decided first for a request to vacate that expires meanwhile.
func TestAStopThatIsAlsoDueForACancelOutlivesItsRequestToVacate(t *testing.T) {
	g := NewWithT(t)
	w, o, service := servingWorld(4, 3)
	id := w.endpointsServing()[1].id
	o.core.Vacate(w.now, id, false)
	o.core.Cancel(w.now, service.ID, 2)
	o.core.Tick(w.now + 5*time.Second)
	g.Expect(o.core.TakeStops()).To(ContainElement(HaveField("Endpoint", id)))
}

// Guards against a stop for a wave while another endpoint with a task of the step has crashed: until its
// leases expire, all that is known is that its polls go unanswered.
func TestATaskOnAnEndpointThatDoesNotAnswerCountsAsUnavailable(t *testing.T) {
	g := NewWithT(t)
	w, o, _ := servingWorld(4, 3)
	serving := w.endpointsServing()
	w.downFor = time.Minute
	w.crash(serving[0])
	w.run(2 * time.Second)
	g.Expect(w.endpointsServing()).To(HaveLen(2), "the crashed task's lease has not expired")
	for range 10 {
		o.core.Vacate(w.now, serving[1].id, false)
		w.run(50 * time.Millisecond)
		g.Expect(w.budgets.NotAtWork()).To(HaveLen(1), "at %v", w.now)
	}
}

// Guards against a stop for a wave of a task that has just come to work, while the endpoint of another
// one begins to drain: the newest listing shows the first one as starting, and stops of such tasks are
// sent at once.
func TestATaskThatIsNotListedAsAtWorkYetIsKeptBesideADrainingOne(t *testing.T) {
	g := NewWithT(t)
	w, o, _ := servingWorld(4, 3)
	serving := w.endpointsServing()
	g.Expect(serving).To(HaveLen(3))
	o.core.Vacate(w.now, serving[0].id, false)
	w.run(200 * time.Millisecond)
	g.Expect(w.budgets.NotAtWork()).To(HaveLen(1), "one task moves")
	for len(w.budgets.NotAtWork()) > 0 {
		w.run(step)
	}
	moved := w.endpoints["i-03"]
	g.Expect(moved.running).To(HaveLen(1))
	serving[2].draining = true
	o.core.ObserveEndpoints(w.now, w.discoveryList())
	o.core.Vacate(w.now, moved.id, false)
	w.run(2 * step)
	g.Expect(w.budgets.NotAtWork()).To(HaveLen(1), "only the draining endpoint's task is stopped")
}

// repeatedStart drives a Core until the start of a service's task is about to be repeated: its order
// has gone unanswered, and the endpoint has not listed the run. It returns the first order.
func repeatedStart(g Gomega, c *executor.Core, e executor.EndpointInfo) (now time.Duration, first executor.Order) {
	now = time.Second
	answer := func(listed executor.Listed) {
		now += 10 * time.Millisecond
		listed.Clock = now
		for _, p := range c.DuePolls(now) {
			c.PollDone(now, p, executor.PollAnswered, listed)
		}
	}
	c.ObserveEndpoints(now, []executor.EndpointInfo{e})
	answer(executor.Listed{})
	c.Submit(now, serviceJob(1, 1), executor.Accepting{Queue: "q", Terms: terms()}, 1)
	c.Decide(now)
	c.Advance(now, c.Ready(now))
	first, _, sent := c.NextStart(now)
	g.Expect(sent).To(BeTrue())
	c.OrderDone(now, first, executor.OrderUnanswered, executor.Answer{})
	now += time.Second
	answer(executor.Listed{})
	return now, first
}

// Guards against a stop of a run that is at work because the order that was to repeat its start is
// refused or can't be sent any more. The first order was carried out late.
func TestARunThatIsListedOutlivesTheRepetitionOfItsStart(t *testing.T) {
	e := executor.EndpointInfo{ID: "i-00", Addr: "i-00", Capacity: executor.Resources{CPUMilli: 4000, MemoryMB: 4000}}
	for _, refused := range []bool{true, false} {
		g := NewWithT(t)
		c := executor.New("pool", 1, testLimits(), time.Second)
		now, first := repeatedStart(g, c, e)
		if refused {
			repeated, _, sent := c.NextStart(now)
			g.Expect(sent).To(BeTrue())
			now += 100 * time.Millisecond
			list(c, now, first)
			c.OrderDone(now, repeated, executor.OrderUnhealthy, executor.Answer{})
		} else {
			now += 100 * time.Millisecond
			list(c, now, first)
			shrunk := e
			shrunk.Capacity.CPUMilli = 500
			c.ObserveEndpoints(now, []executor.EndpointInfo{shrunk})
			_, _, sent := c.NextStart(now)
			g.Expect(sent).To(BeFalse())
		}
		c.Tick(now)
		g.Expect(c.TakeStops()).To(BeEmpty(), "refused: %v", refused)
	}
}

// list answers the due polls with a run that is at work.
func list(c *executor.Core, now time.Duration, o executor.Order) {
	for _, p := range c.DuePolls(now) {
		c.PollDone(now, p, executor.PollAnswered, executor.Listed{Clock: now, Running: []executor.ListedRun{{Task: o.Task, Run: o.Run, Percent: 100}}})
	}
}
