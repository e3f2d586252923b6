package executor_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/jobs"
)

// testHeartbeatInterval is the interval at which endpoints of these tests write their entries in
// service discovery.
const testHeartbeatInterval = 1500 * time.Millisecond

// capacityWorld returns a pool whose endpoints write their entries at intervals.
func capacityWorld(seed uint64) (w *world, o *owner) {
	w = newWorld(seed, 4)
	w.heartbeatInterval, w.limits.KeepEnded = testHeartbeatInterval, time.Hour
	for _, h := range w.endpoints {
		h.runLength = 700 * time.Millisecond
	}
	o = w.takeOver()
	w.run(300 * time.Millisecond)
	return w, o
}

// submitBacklog submits healthy jobs.
func (w *world) submitBacklog(o *owner, from, count int) (all []jobs.Job) {
	for n := range count {
		j := jobOf(from+n, smallStep(4), smallStep(2, 0))
		w.submit(o, j)
		all = append(all, j)
	}
	return all
}

// Guards against an endpoint that is filled beyond its reduced capacity, and against one that is not
// filled again when its capacity grows.
func TestAnEndpointWhoseCapacityShrinksIsNotOverfilled(t *testing.T) {
	g := NewWithT(t)
	w, o := capacityWorld(1)
	all := w.submitBacklog(o, 1, 30)
	for round := range 8 {
		for _, h := range w.endpoints {
			w.resize(h, []int{4000, 1000, 3000, 2000}[round%4])
		}
		w.run(3 * time.Second)
	}
	for _, h := range w.endpoints {
		w.resize(h, 4000)
	}
	w.run(10 * time.Second)
	filled := w.submitBacklog(o, 1000, 8)
	w.run(300 * time.Millisecond)
	running := 0
	for _, h := range w.endpoints {
		running += len(h.running)
	}
	g.Expect(running).To(Equal(16), "all of the capacity, once it has grown again")
	w.run(20 * time.Second)
	g.Expect(w.violations).To(BeEmpty())
	for _, j := range append(all, filled...) {
		g.Expect(w.state(o, j)).To(Equal("completed"), j.ID)
	}
}

// Guards against starts that were decided before the store was down and are sent once it is back:
// meanwhile endpoints could not report that their capacity had shrunk.
func TestStartsAfterAStoreOutageKeepToTheReducedCapacity(t *testing.T) {
	for _, slow := range []bool{false, true} {
		for _, outage := range []time.Duration{2 * time.Second, 6 * time.Second, 20 * time.Second} {
			for _, next := range []bool{false, true} {
				t.Run(fmt.Sprint("slow ", slow, " away ", outage, " next owner ", next), func(t *testing.T) {
					g := NewWithT(t)
					w, o := capacityWorld(2)
					w.slowJournal = slow
					w.run(5 * time.Second)
					all := w.submitBacklog(o, 1, 12)
					w.run(2 * step)
					w.storeDown = true
					w.run(500 * time.Millisecond)
					for _, h := range w.endpoints {
						w.resize(h, 1000)
					}
					w.run(outage)
					w.storeDown = false
					if next {
						o.stopped = true
						o = w.takeOver()
					}
					for _, h := range w.endpoints {
						// Entries come back one after the other, within two seconds.
						h.entryWrittenAt = w.now - testHeartbeatInterval + time.Duration(w.chance("back", h.id)*float64(2*time.Second))
					}
					w.run(30 * time.Second)
					g.Expect(w.violations).To(BeEmpty())
					for _, j := range all {
						if !next {
							g.Expect(w.state(o, j)).To(Equal("completed"), j.ID)
						}
					}
				})
			}
		}
	}
}

// Guards against starts that rely on an endpoint's capacity from before it shrank, where gangs,
// long-running tasks and tasks that fill endpoints share it, owners change and endpoints restart.
func TestRandomDaysWithChangingCapacity(t *testing.T) {
	for seed := uint64(1); seed <= uint64(seeds+additionalSeeds()); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			randomScenario(NewWithT(t), seed, variant{handOver: seed%2 == 0, slowJournal: seed%3 == 0, restarts: seed%5 == 0, crashing: seed%4 == 0, resizing: true})
		})
	}
}
