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
	It("takes every instance, never more at once than allowed, and is then announced as completed", func() {
		f := newFleet(map[string]int{"a": 6, "b": 6})
		f.state.ObserveWave(1, f.names("a"), 10*time.Second, 2, wallStart)
		f.running["a"], f.running["b"] = 5*instanceCPU, 5*instanceCPU // no instance to spare
		most := 0
		for range 80 {
			f.round("a", "b")
			most = max(most, f.down())
		}
		Expect(f.maintained()).To(HaveLen(6))
		Expect(most).To(Equal(2))
		Expect(f.journal).To(HaveKey("w1"))
	})

	// The wave ends late though each instance could have been maintained in time:
	// those with lasting tasks can only be cleared one after the other, and were
	// begun with when almost half of the time was over.
	It("begins early with instances whose lasting tasks must move one by one", func() {
		f := newFleet(map[string]int{"a": 8, "b": 4})
		f.lasting = map[string]bool{}
		for _, i := range f.instances[:8] {
			f.lasting[i.Endpoint], f.tasks[i.Endpoint] = true, 1
		}
		f.running["a"], f.running["b"] = 8*instanceCPU, 4*instanceCPU // no instance to spare
		f.state.ObserveWave(1, f.names("a"), 25*time.Second, 8, wallStart)
		for f.now < 25*time.Second {
			f.round("a", "b")
		}
		Expect(f.maintained()).To(HaveLen(8))
	})

	// Callers of a pool that needs all of its instances are refused for five seconds.
	// The wave has waited for instances that nobody needs, found none, and then takes
	// as many at once as it may.
	It("takes instances that are needed evenly over its time", func() {
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

	// An instance has tasks that do not end. Its maintenance waits; the platform
	// would end them at once.
	It("leaves an instance alone while tasks are on it", func() {
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

var _ = Describe("lasting tasks that must be apart", func() {
	// Five small tasks may share no endpoint. Their pool has processor room for
	// them on one instance, and its other instances are switched off or lent: the
	// tasks wait for ever while the sums say that all is well.
	It("keep as many instances as they need", func() {
		f := newFleet(map[string]int{"a": 8, "b": 8, sparePool: 2})
		f.leastHosts = map[string]int{"a": 5}
		for range 60 {
			f.round("a", "b")
		}
		Expect(f.count("a")).To(BeNumerically(">=", 6))
		Expect(f.count("b")).To(BeNumerically("<", 5))
	})
})

var _ = Describe("a pool that changes its owner in a turn of demand", func() {
	// Callers ask for all that the pool has as its owner dies. Its successor counts
	// the work offered from zero, and while callers find it, little runs: taken for
	// the end of the turn, the pool loses its instances to others just then.
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

var _ = Describe("a lasting task that finds no endpoint", func() {
	// Users of a lasting task see it away for a whole turn of demand of another
	// pool: that one asks for more than the fleet has and is first in line for each
	// instance that comes free, and nobody has more than it needs.
	It("gets an instance though another pool asks for all of them", func() {
		f := newFleet(map[string]int{"a": 16, "b": 2})
		f.ready["a"], f.running["a"] = 100*instanceCPU, 16*instanceCPU
		f.leastHosts = map[string]int{"b": 1}
		f.starved = map[string]int{"b": 1}
		for range 20 {
			f.round("a", "b")
		}
		Expect(f.count("b")).To(BeNumerically(">=", 3))
		Expect(f.count("a")).To(BeNumerically(">=", 8))
	})
})

var _ = Describe("an incarnation that an operation has ended", func() {
	// Callers' tasks are placed on an endpoint that is no more and are late by a
	// whole lease: the operation went through between two readings of the list,
	// service discovery shows the endpoint for seconds after it, and its owner's
	// promise to leave it alone has run out.
	It("is made known to its pool's owner, and to the owner's successor", func() {
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

	// Guards against a pool that drops an endpoint which has come back from maintenance
	// under its id: its owner is told of an end without the incarnation that ended.
	It("is told by its start, where the next one has its id", func() {
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

var _ = Describe("an endpoint that dies while it is cleared", func() {
	// The owner calls the endpoint clear because it has died with its tasks. By
	// then another incarnation lives on the instance and runs new ones, which the
	// list that the duty last read does not show.
	It("leaves its successor on the instance alone until that is clear", func() {
		f := newFleet(map[string]int{"a": 4})
		f.state.ObserveWave(1, f.names("a")[:1], time.Second, 1, wallStart)
		f.listLag = time.Hour // the list stays as it was first read
		f.round("a")
		f.instances[0].Endpoint = "reborn"
		f.tasks["reborn"] = 1
		for range 20 {
			f.round("a")
		}
		Expect(f.maintained()).To(BeEmpty())
		f.listLag = 0
		for range 20 {
			f.round("a")
		}
		Expect(f.maintained()).To(BeEmpty())
		f.tasks["reborn"] = 0
		for range 10 {
			f.round("a")
		}
		Expect(f.maintained()).To(HaveLen(1))
	})
})

// Guards against tasks that run twice at once: an owner is told that the incarnation on which
// they run has ended. The operation ended the one before; the instance list was read while the
// instance was away, and the owner's word on the next one came before it was read again.
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
	f.listLag = time.Hour // the list shows the instance as away
	for range 60 {
		f.round("a")
	}
	g.Expect(f.down()).To(BeZero())
	g.Expect(f.started[endpoint]).To(BeNumerically(">", 7))
	g.Expect(f.reportedEnds).NotTo(HaveKey(executor.Incarnation{ID: endpoint, StartedMs: f.started[endpoint]}))
}

var _ = Describe("a late word on an endpoint that has died", func() {
	// The owner is asked about an endpoint, which dies; the list shows the next
	// incarnation, which runs tasks; then the answer about the first one comes.
	It("does not clear the incarnation that lives now", func() {
		f := newFleet(map[string]int{"a": 4})
		f.state.ObserveWave(1, f.names("a")[:1], time.Second, 1, wallStart)
		first := f.instances[0].Endpoint
		f.tasks[first] = 1
		f.round("a")
		f.instances[0].Endpoint = "reborn"
		f.tasks["reborn"] = 1
		for range 20 {
			f.round("a")
			f.state.Cleared(f.now+time.Millisecond, f.now, f.instances[0].Name, first, executor.Vacancy{})
		}
		Expect(f.maintained()).To(BeEmpty())
	})
})

var _ = Describe("a word from a displaced owner", func() {
	// A pool changes its owner just before an instance of it is to be moved. The
	// old owner does not know that it was displaced and calls the endpoint clear,
	// while the new one, which has not read the operation, runs tasks on it.
	It("clears nothing", func() {
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

var _ = Describe("a successor in the duty", func() {
	// Two holders that order one instance about within the time in which the
	// platform remembers the last: the instance would be taken twice. The
	// successor leaves alone what its predecessor may have ordered, and only that.
	It("leaves alone only instances that its predecessor ordered", func() {
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

	// The holder dies without a word in the middle of a turn of demand. Most instances
	// have moved in the last few seconds; left alone for as long as one that is under
	// way, they stand idle for five seconds while another queue's callers wait. The
	// successor may use each as soon as the platform has forgotten its last order, and
	// not before.
	It("uses instances whose orders are old enough by its predecessor's clock", func() {
		f := newFleet(map[string]int{"a": 6, "b": 6})
		f.running["a"], f.running["b"] = 6*instanceCPU, 6*instanceCPU // nothing moves
		f.state.ObserveWave(1, f.names("a")[:1], 10*time.Second, 1, wallStart)
		f.state.ObserveWave(2, f.names("b")[:6], 10*time.Second, 1, wallStart)
		for len(f.ordered) == 0 {
			f.round("a", "b")
		}
		first, at := f.ordered[0].Instance, f.now
		for f.now < at+2500*time.Millisecond { // others follow, each with its records
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

	It("need not wait for orders whose age its predecessor has told", func() {
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
	// The holder of the duty dies in a turn of demand. Its successor has seen nothing
	// offered, and gives the instances of the pool in its turn to the next that asks.
	It("is known to a successor", func() {
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

var _ = Describe("demand of before an outage", func() {
	// All processes lose power in a turn of demand and are back two seconds later. The
	// turn has gone on to another queue; its callers wait while the instances of the
	// pool whose turn is over stand idle, as if its callers still came.
	It("has faded by the time that passed", func() {
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

var _ = Describe("a turn that ends as another begins", func() {
	// Callers of one pool wait while another's instances run the last tasks of a turn
	// that is over: nothing new is offered there, and all of it will have ended before
	// an instance that is given away could be back.
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

	It("keeps them where nobody is short", func() {
		f := newFleet(map[string]int{"a": 16, "b": 4})
		f.running["a"] = 14 * instanceCPU
		for range 40 {
			f.round("a", "b")
		}
		Expect(f.count("a")).To(BeNumerically(">=", 15))
	})
})

// Load: each of four pools in its turn is offered five times its mean for eight
// seconds, more than it holds, and almost nothing in between.
var _ = Describe("moves while demand goes by turns", func() {
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
				room := float64(f.count(pool)) * float64(roundInterval.Milliseconds())
				run := min(room, queued[pool])
				served += run
				f.running[pool] = run / float64(roundInterval.Milliseconds()) * instanceCPU
				// What has waited for two seconds of this work is given up.
				queued[pool] = min(queued[pool]-run, 2000*rate)
				f.ready[pool] = queued[pool]
			}
			if move {
				f.round(pools...)
			}
		}
		return served, offered, len(f.ordered)
	}

	It("serve more than nine tenths, against two thirds where instances stay", func() {
		stay, offered, _ := runRotation(false)
		served, _, moves := runRotation(true)
		Expect(stay / offered).To(BeNumerically("<", 0.70))
		Expect(served / offered).To(BeNumerically(">", 0.90))
		GinkgoWriter.Printf("stay %.3f move %.3f moves %d\n", stay/offered, served/offered, moves)
		Expect(moves).To(BeNumerically("<", 260))
	})
})
