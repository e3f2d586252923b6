package fleetops_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/fleetops"
)

var _ = Describe("a maintenance wave", func() {
	It("maintains every instance, never more at once than allowed, and then completes", func() {
		f := newFleet(map[string]int{"a": 6, "b": 6})
		f.state.ObserveWave(1, f.names("a"), 10*time.Second, 2, wallStart)
		f.running["a"], f.running["b"] = 5*instanceCPU, 5*instanceCPU // no pool has a surplus
		most := 0
		for range 80 {
			f.round("a", "b")
			most = max(most, f.down())
		}
		Expect(f.maintained()).To(HaveLen(6))
		Expect(most).To(Equal(2))
		Expect(f.journal).To(HaveKey("w1"))
	})

	// Guards against a wave that ends late: instances with long-running tasks can only be vacated one
	// after the other, so they must be begun ahead of the pace.
	It("begins early with instances whose long-running tasks must move one by one", func() {
		f := newFleet(map[string]int{"a": 8, "b": 4})
		f.longRunning = map[string]bool{}
		for _, i := range f.instances[:8] {
			f.longRunning[i.Endpoint], f.tasks[i.Endpoint] = true, 1
		}
		f.running["a"], f.running["b"] = 8*instanceCPU, 4*instanceCPU // no pool has a surplus
		f.state.ObserveWave(1, f.names("a"), 25*time.Second, 8, wallStart)
		for f.now < 25*time.Second {
			f.round("a", "b")
		}
		Expect(f.maintained()).To(HaveLen(8))
	})

	// Guards against a pool that needs all of its instances and rejects callers for five seconds:
	// the wave waited for instances that no pool needs, found none, and then took as many at once
	// as allowed.
	It("spreads the maintenance of needed instances evenly over its time", func() {
		f := newFleet(map[string]int{"a": 16, "b": 4})
		f.running["a"], f.running["b"] = 16*instanceCPU, 4*instanceCPU
		f.state.ObserveWave(1, f.names("a")[:12], 25*time.Second, 12, wallStart+f.now.Milliseconds())
		begun, most := f.now, 0
		for f.now < begun+24*time.Second {
			f.round("a", "b")
			most = max(most, f.down())
		}
		Expect(most).To(BeNumerically("<=", 3))
		Expect(f.maintained()).To(HaveLen(12))
	})

	// Guards against tasks ended by maintenance: the platform would end them at once, so the order
	// must wait until none is left.
	It("does not order an instance while tasks are on it", func() {
		f := newFleet(map[string]int{"a": 4})
		f.state.ObserveWave(1, f.names("a")[:1], time.Hour, 1, wallStart)
		f.tasks[f.instances[0].Endpoint] = 1
		for range 40 {
			f.round("a")
		}
		Expect(f.maintained()).To(BeEmpty())
		f.tasks[f.instances[0].Endpoint] = 0
		for range 40 {
			f.round("a")
		}
		Expect(f.maintained()).To(HaveLen(1))
	})
})

var _ = Describe("long-running tasks that must run apart", func() {
	// Guards against long-running tasks that wait forever. Five small tasks may share no endpoint; by
	// processor capacity one instance would do for them, so the pool's other instances were
	// switched off or given away.
	It("keep as many instances as they need", func() {
		f := newFleet(map[string]int{"a": 8, "b": 8, sparePool: 2})
		f.minEndpoints = map[string]int{"a": 5}
		for range 60 {
			f.round("a", "b")
		}
		Expect(f.count("a")).To(BeNumerically(">=", 6))
		Expect(f.count("b")).To(BeNumerically("<", 5))
	})
})

var _ = Describe("a pool that changes owner during a burst of demand", func() {
	// Guards against a pool that loses its instances in a burst. Its owner crashes, the successor
	// counts the offered work from zero, and little runs until callers find it: this must not be
	// taken for the end of the burst.
	It("keeps its instances", func() {
		f := newFleet(map[string]int{"a": 12, "b": 2, sparePool: 2})
		for range 20 {
			f.offered["a"] += 10 * instanceCPU * roundInterval.Seconds()
			f.running["a"] = 10 * instanceCPU
			f.round("a", "b")
		}
		Expect(f.count("a")).To(BeNumerically(">=", 12))
		f.offered["a"], f.running["a"], f.ready["b"] = 0, 3*instanceCPU, 20*instanceCPU
		for range 6 {
			f.round("a", "b")
			f.offered["a"] += 10 * instanceCPU * roundInterval.Seconds()
		}
		Expect(f.count("a")).To(BeNumerically(">=", 11))
	})
})

var _ = Describe("a long-running task that finds no endpoint", func() {
	// Guards against a long-running task that is down for a whole burst of another pool: that one asks
	// for more than the fleet has and would get each instance that becomes available, and no pool
	// has a surplus.
	It("gets an instance though another pool asks for all of them", func() {
		f := newFleet(map[string]int{"a": 16, "b": 2})
		f.ready["a"], f.running["a"] = 100*instanceCPU, 16*instanceCPU
		f.minEndpoints = map[string]int{"b": 1}
		f.starved = map[string]int{"b": 1}
		for range 20 {
			f.round("a", "b")
		}
		Expect(f.count("b")).To(BeNumerically(">=", 3))
		Expect(f.count("a")).To(BeNumerically(">=", 8))
	})
})

var _ = Describe("an incarnation that an operation has ended", func() {
	// Guards against tasks placed on an endpoint that has ended, which are late by a whole lease:
	// the operation took effect between two reads of the list, service discovery shows the
	// endpoint for seconds more, and the request to vacate it has expired.
	It("is reported to its pool's owner, and recorded for the owner's successor", func() {
		f := newFleet(map[string]int{"a": 4})
		name, endpoint := f.instances[0].Name, f.instances[0].Endpoint
		f.state.ObserveWave(1, []string{name}, 10*time.Second, 1, wallStart)
		for range 10 {
			if f.down() == 0 && len(f.maintained()) == 0 {
				f.round("a")
			}
		}
		Expect(f.maintained()).To(ConsistOf(name))
		f.listLag = time.Hour // the list is not read while the instance is away
		for range 12 {
			f.round("a")
		}
		Expect(f.down()).To(BeZero())
		Expect(f.reportedEnds).To(BeEmpty())
		f.listLag = 0
		f.round("a")
		Expect(f.reportedEnds).To(HaveKey(executor.Incarnation{ID: endpoint}))
		var records []executor.Record
		for key, value := range f.journal {
			records = append(records, executor.Record{Key: key, Value: value})
		}
		leaving, ended := fleetops.OperationsOf(records, "a")
		Expect(leaving).To(BeEmpty())
		Expect(ended).To(ConsistOf(executor.Incarnation{ID: endpoint}))
	})

	// Guards against a pool that drops an endpoint which has come back from maintenance under the
	// same id, because the reported end did not name the incarnation.
	It("is identified by its start time if the next one has the same id", func() {
		f := newFleet(map[string]int{"a": 4})
		f.keepIDs = true
		name, endpoint := f.instances[0].Name, f.instances[0].Endpoint
		former := executor.Incarnation{ID: endpoint, StartedMs: 7}
		f.started[endpoint] = former.StartedMs
		f.state.ObserveWave(1, []string{name}, 10*time.Second, 1, wallStart)
		for range 60 {
			f.round("a")
		}
		Expect(f.maintained()).To(ConsistOf(name))
		Expect(f.down()).To(BeZero())
		Expect(f.started[endpoint]).To(BeNumerically(">", former.StartedMs))
		Expect(f.reportedEnds).To(HaveKey(former))
		for in := range f.reportedEnds {
			Expect(in).To(Or(Equal(former), HaveField("ID", Not(Equal(endpoint)))))
		}
	})
})

var _ = Describe("an endpoint that crashes while it is being vacated", func() {
	// Guards against an order that ends running tasks. The owner reports the endpoint empty
	// because it has crashed with its tasks; by then a new incarnation runs tasks on the instance,
	// which the last list read does not show.
	It("does not order the instance until its next incarnation is empty", func() {
		f := newFleet(map[string]int{"a": 4})
		f.state.ObserveWave(1, f.names("a")[:1], time.Second, 1, wallStart)
		f.listLag = time.Hour // the list stays as first read
		f.round("a")
		f.instances[0].Endpoint = "restarted"
		f.tasks["restarted"] = 1
		for range 20 {
			f.round("a")
		}
		Expect(f.maintained()).To(BeEmpty())
		f.listLag = 0
		for range 20 {
			f.round("a")
		}
		Expect(f.maintained()).To(BeEmpty())
		f.tasks["restarted"] = 0
		for range 10 {
			f.round("a")
		}
		Expect(f.maintained()).To(HaveLen(1))
	})
})

// Guards against tasks that run twice at once because their running incarnation is reported as
// ended. The operation ended the incarnation before it; the list was read while the instance was
// away, and the owner's report on the new incarnation arrived before it was read again.
func TestOnlyTheEndedIncarnationIsReported(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(map[string]int{"a": 4})
	f.keepIDs = true
	name, endpoint := f.instances[0].Name, f.instances[0].Endpoint
	f.started[endpoint] = 7
	f.state.ObserveWave(1, []string{name}, 10*time.Second, 1, wallStart)
	for len(f.maintained()) == 0 {
		f.round("a")
	}
	f.round("a")
	f.listLag = time.Hour // the list still shows the instance as away
	for range 60 {
		f.round("a")
	}
	g.Expect(f.down()).To(BeZero())
	g.Expect(f.started[endpoint]).To(BeNumerically(">", 7))
	g.Expect(f.reportedEnds).NotTo(HaveKey(executor.Incarnation{ID: endpoint, StartedMs: f.started[endpoint]}))
}

var _ = Describe("a late report on an endpoint that has crashed", func() {
	// Guards against a late report. The owner is asked about an endpoint, which then crashes; the
	// list shows the next incarnation, which runs tasks, before the answer about the first one
	// arrives.
	It("does not count for the current incarnation", func() {
		f := newFleet(map[string]int{"a": 4})
		f.state.ObserveWave(1, f.names("a")[:1], time.Second, 1, wallStart)
		first := f.instances[0].Endpoint
		f.tasks[first] = 1
		f.round("a")
		f.instances[0].Endpoint = "restarted"
		f.tasks["restarted"] = 1
		for range 20 {
			f.round("a")
			f.state.ObserveVacancy(f.now+time.Millisecond, f.now, f.instances[0].Name, first, executor.Vacancy{})
		}
		Expect(f.maintained()).To(BeEmpty())
	})
})

var _ = Describe("a report from a displaced owner", func() {
	// Guards against a report from a displaced owner. A pool changes owner just before one of its
	// instances is to be moved: the old owner has not noticed and reports the endpoint empty,
	// while the new one has not read the operation and runs tasks on it.
	It("leads to no order", func() {
		f := newFleet(map[string]int{"a": 4})
		f.state.ObserveWave(1, f.names("a")[:1], time.Second, 1, wallStart)
		f.proofAge = time.Hour
		for range 40 {
			f.round("a")
		}
		Expect(f.maintained()).To(BeEmpty())
		f.proofAge = 0
		for range 10 {
			f.round("a")
		}
		Expect(f.maintained()).To(HaveLen(1))
	})
})

var _ = Describe("a successor as holder of the duty", func() {
	// Guards against an instance ordered by two holders within the time in which the platform
	// remembers the last one, which would take it twice. The successor must hold back its orders
	// for instances that its predecessor may have ordered, and only for those.
	It("holds back orders only for instances that its predecessor ordered", func() {
		f := newFleet(map[string]int{"a": 4, sparePool: 2})
		f.state.ObserveWave(1, f.names("a"), 4*time.Second, 1, wallStart)
		f.ordersUnanswered = true
		for len(f.ordered) == 0 {
			f.round("a")
		}
		ordered := f.ordered[0].Instance
		f.ordersUnanswered, f.ordered = false, nil
		f.takeOver()
		f.state.ObserveWave(1, f.names("a"), 4*time.Second, 2, wallStart)
		takenOverAt := f.now
		for f.now < takenOverAt+3*time.Second {
			f.round("a")
			for _, op := range f.ordered {
				Expect(op.Instance).NotTo(Equal(ordered))
			}
		}
		Expect(f.ordered).NotTo(BeEmpty())
		for range 60 {
			f.round("a")
		}
		Expect(slices.ContainsFunc(f.ordered, func(op fleetops.Operation) bool { return op.Instance == ordered })).To(BeTrue())
	})

	// Guards against instances that stand idle for five seconds after the holder crashes in a
	// burst, while another queue's callers wait: most have moved in the last few seconds and must
	// not wait as long as one still in progress. The successor may order each as soon as the
	// platform has forgotten its last order, not before.
	It("uses instances whose orders are old enough by its predecessor's clock", func() {
		f := newFleet(map[string]int{"a": 6, "b": 6})
		f.running["a"], f.running["b"] = 6*instanceCPU, 6*instanceCPU // no pool has a surplus, so nothing moves
		f.state.ObserveWave(1, f.names("a")[:1], 10*time.Second, 1, wallStart)
		f.state.ObserveWave(2, f.names("b")[:6], 10*time.Second, 1, wallStart)
		for len(f.ordered) == 0 {
			f.round("a", "b")
		}
		first, at := f.ordered[0].Instance, f.now
		for f.now < at+2500*time.Millisecond { // further orders follow, each with its records
			f.round("a", "b")
		}
		f.ordered = nil
		takenOverAt := f.now
		f.takeOver()
		f.state.ObserveWave(3, []string{first}, time.Second, 1, wallStart)
		for !slices.ContainsFunc(f.ordered, func(op fleetops.Operation) bool { return op.Instance == first && op.Wave == 3 }) {
			f.round("a", "b")
			Expect(f.now).To(BeNumerically("<", takenOverAt+3*time.Second), "an instance stands idle")
		}
		Expect(f.now).To(BeNumerically(">=", at+limits("a").HolderTTL))
	})

	It("does not wait for orders whose age its predecessor recorded at release", func() {
		f := newFleet(map[string]int{"a": 4})
		f.state.ObserveWave(1, f.names("a")[:1], time.Second, 1, wallStart)
		f.ordersUnanswered = true
		for len(f.ordered) == 0 {
			f.round("a")
		}
		f.now += 2800 * time.Millisecond
		last := f.state.Release(f.now)
		f.journal[last.Key] = last.Value
		f.ordersUnanswered, f.ordered = false, nil
		f.takeOver()
		f.state.ObserveWave(1, f.names("a")[:1], time.Second, 1, wallStart)
		for range 6 {
			f.round("a")
		}
		Expect(f.ordered).To(HaveLen(1))
	})
})

var _ = Describe("demand", func() {
	// Guards against a successor that has seen no work offered and gives the bursting pool's
	// instances to the next pool that asks. The holder crashes during the burst.
	It("is restored by a successor", func() {
		f := newFleet(map[string]int{"a": 12, "b": 2, sparePool: 2})
		burstRound := func() {
			f.offered["a"] += 12 * instanceCPU * roundInterval.Seconds()
			f.running["a"] = 2 * instanceCPU // between two large jobs
			f.round("a", "b")
		}
		f.state.ObserveWave(1, f.names("b")[:1], 10*time.Second, 1, wallStart)
		for range 20 {
			burstRound()
		}
		f.takeOver()
		f.ready["b"], f.ordered = 20*instanceCPU, nil
		for range 4 {
			burstRound()
		}
		for _, op := range f.ordered {
			Expect(op.From).NotTo(Equal("a"))
		}
	})
})

var _ = Describe("demand measured before an outage", func() {
	// Guards against instances kept for a burst that has ended. All processes lose power during a
	// burst and restart two seconds later; by then another queue bursts, and its callers must not
	// wait while the former pool's instances idle.
	It("has decayed by the time that passed", func() {
		f := newFleet(map[string]int{"a": 24, "b": 2})
		f.state.ObserveWave(1, f.names("b")[:1], 10*time.Second, 1, wallStart)
		for range 20 {
			f.offered["a"] += 20 * instanceCPU * roundInterval.Seconds()
			f.running["a"] = 20 * instanceCPU
			f.round("a", "b")
		}
		f.now += 2 * time.Second
		f.running["a"] = 0
		f.takeOver()
		f.ready["b"], f.ordered = 30*instanceCPU, nil
		for range 4 {
			f.round("a", "b")
		}
		to := 0
		for _, op := range f.ordered {
			if op.From == "a" && op.To == "b" {
				to++
			}
		}
		Expect(to).To(BeNumerically(">=", 8))
	})
})

var _ = Describe("a burst that ends as another begins", func() {
	// Guards against callers who wait while another pool's instances run the last tasks of a burst
	// that has ended: nothing new is offered there, and its tasks end before an instance given
	// away could be back.
	It("gives instances to the pool that is short", func() {
		f := newFleet(map[string]int{"a": 16, "b": 4})
		f.running["a"], f.ready["b"] = 14*instanceCPU, 18*instanceCPU
		for range 12 {
			f.round("a", "b")
		}
		to := 0
		for _, op := range f.ordered {
			if op.Kind == fleetops.KindMove && op.To == "b" {
				to++
			}
		}
		Expect(to).To(BeNumerically(">=", 4))
	})

	It("keeps its instances if no other pool is short", func() {
		f := newFleet(map[string]int{"a": 16, "b": 4})
		f.running["a"] = 14 * instanceCPU
		for range 40 {
			f.round("a", "b")
		}
		Expect(f.count("a")).To(BeNumerically(">=", 15))
	})
})

// Load: queues burst in rotation. Each of four pools is offered five times its mean for eight
// seconds, more than its capacity, and almost nothing in between.
var _ = Describe("moves while queues burst in rotation", func() {
	pools := []string{"a", "b", "c", "d"}
	runRotation := func(move bool) (served, offered float64, moves int) {
		f := newFleet(map[string]int{"a": 10, "b": 10, "c": 10, "d": 10, sparePool: 4})
		queued := map[string]float64{}
		for step := range 32 * 1000 / int(roundInterval.Milliseconds()) {
			for n, pool := range pools {
				rate := 0.5 // cores
				if step*int(roundInterval.Milliseconds())/8000 == n {
					rate = 22
				}
				work := rate * float64(roundInterval.Milliseconds())
				f.offered[pool] += work
				offered += work
				queued[pool] += work
				capacity := float64(f.count(pool)) * float64(roundInterval.Milliseconds())
				run := min(capacity, queued[pool])
				served += run
				f.running[pool] = run / float64(roundInterval.Milliseconds()) * instanceCPU
				// Work beyond two seconds' worth of the current rate is dropped.
				queued[pool] = min(queued[pool]-run, 2000*rate)
				f.ready[pool] = queued[pool]
			}
			if move {
				f.round(pools...)
			}
		}
		return served, offered, len(f.ordered)
	}

	It("serve more than nine tenths of the work, against less than seven tenths without moves", func() {
		servedWithoutMoves, offered, _ := runRotation(false)
		served, _, moves := runRotation(true)
		Expect(servedWithoutMoves / offered).To(BeNumerically("<", 0.70))
		Expect(served / offered).To(BeNumerically(">", 0.90))
		GinkgoWriter.Printf("stay %.3f move %.3f moves %d\n", servedWithoutMoves/offered, served/offered, moves)
		Expect(moves).To(BeNumerically("<", 260))
	})
})

// Guards against instances that stay in a pool for good although their endpoints can't get tasks, while the
// pool is given others.
func TestInstancesOfUnusableEndpointsAreSwitchedOff(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(map[string]int{"a": 4, "b": 4, sparePool: 4})
	f.running["a"], f.running["b"] = 4*instanceCPU, 4*instanceCPU // no pool has a surplus
	unusable := f.names("a")[1]
	for _, i := range f.instances {
		if i.Name == unusable {
			f.unusable = map[string]bool{i.Endpoint: true}
		}
	}
	for range 60 {
		f.round("a", "b")
	}
	var moved []string
	for _, op := range f.ordered {
		if op.To == sparePool {
			moved = append(moved, op.Instance)
		}
	}
	g.Expect(moved).To(HaveExactElements(unusable))
	g.Expect(f.count("a")).To(BeNumerically(">=", 4))
}
