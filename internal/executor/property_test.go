package executor_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/jobs"
)

// seeds is the number of random scenarios. Seeds that ever failed are among them.
const seeds = 300

// extraSeedsEnv names the environment variable with the number of additional seeds.
const extraSeedsEnv = "CYCLAMEN_MORE_SEEDS"

// additionalSeeds returns the number of additional seeds, 0 if the variable is not set.
func additionalSeeds() int {
	more, err := strconv.Atoi(os.Getenv(extraSeedsEnv))
	if err != nil {
		return 0
	}
	return more
}

// Random faults: orders and answers are lost, and some orders arrive late. Owners are killed,
// cut off from the journal while they go on, or slow, with two or three active at once.
// Endpoints become unresponsive and recover, crash for good, drain, fail every run or stall.
// Every job must end, and no task may run twice at once, start after its end or exceed the
// capacity of its endpoint.
var _ = Describe("random faults", func() {
	for seed := uint64(1); seed <= uint64(seeds+additionalSeeds()); seed++ {
		It(fmt.Sprintf("violate no contract with seed %d", seed), func() { randomScenario(NewWithT(GinkgoT()), seed, variant{}) })
		It(fmt.Sprintf("violate no contract where owners hand over, with seed %d", seed), func() { randomScenario(NewWithT(GinkgoT()), seed, variant{handOver: true}) })
		It(fmt.Sprintf("violate no contract with a slow journal, with seed %d", seed), func() {
			randomScenario(NewWithT(GinkgoT()), seed, variant{handOver: seed%2 == 0, slowJournal: true})
		})
	}
})

// variant selects the faults and the owners' behaviour in a random scenario.
type variant struct {
	// handOver: owners that end hand their pool over.
	handOver bool
	// slowJournal: several batches are in flight at a time and are answered late.
	slowJournal bool
	// restarts: endpoints also restart under their ids.
	restarts bool
	// staleEntries: service discovery lists former incarnations for up to maxStaleEntry, and leases
	// that were computed with their clocks may end in the future of the new ones.
	staleEntries bool
	// crashing: every seventh job has a task that crashes its endpoints.
	crashing bool
	// resizing: the capacity of endpoints changes, and the store is unavailable at times.
	resizing bool
	// limited: the jobs belong to an account with a low limit.
	limited bool
	// longTasks: every third job has tasks that take longer than most leases last.
	longTasks bool
}

const maxStaleEntry = 1500 * time.Millisecond

// randomScenario runs a random scenario and checks that the contracts hold.
func randomScenario(g Gomega, seed uint64, v variant) {
	rng := rand.New(rand.NewPCG(seed, 99))
	w := newWorld(seed, 4)
	w.ownersHandOver, w.slowJournal = v.handOver, v.slowJournal
	if v.crashing {
		w.crashesEndpoint = func(n jobs.TaskName) bool { return jobNumber(n.Job)%7 == 0 && n.Index == 0 }
		w.downFor = time.Duration(200+rng.IntN(6000)) * time.Millisecond
		w.newIDs = rng.IntN(2) == 0
		w.crashAfter = time.Duration(1+rng.IntN(5)) * step
	}
	w.loseOrders, w.loseAnswers, w.lateOrders = 0.05*rng.Float64(), 0.05*rng.Float64(), 0.7
	for _, h := range w.endpoints {
		h.skew = 0.98 + 0.02*rng.Float64()
	}
	if v.resizing {
		w.heartbeatInterval = testHeartbeatInterval
	}
	if v.limited {
		w.account, w.limitMilli = "alpha", 1000*(2+rng.IntN(5))
	}
	if v.longTasks {
		w.lengthOf = func(n jobs.TaskName) time.Duration {
			if jobNumber(n.Job)%3 == 0 {
				return 8 * time.Second
			}
			return 300 * time.Millisecond
		}
	}
	o := w.takeOver()
	var submitted []jobs.Job
	for round := range 40 {
		if v.resizing {
			w.resizeRandomly(rng)
		}
		if rng.IntN(2) == 0 {
			j := jobOf(round+1, smallStep(1+rng.IntN(5)), smallStep(1+rng.IntN(3), 0))
			w.submit(o, j)
			submitted = append(submitted, j)
		}
		w.run(time.Duration(50+rng.IntN(400)) * time.Millisecond)
		o = w.injectFault(rng, o, round)
		if v.restarts && rng.IntN(3) == 0 {
			w.restartOne(rng, v)
		}
	}
	w.clearFaults()
	o = w.takeOver()
	w.run(25 * time.Second)
	if v.crashing || v.limited || v.longTasks {
		w.runUntilEnded(o, submitted, time.Minute)
	}
	g.Expect(w.violations).To(BeEmpty())
	for _, j := range submitted {
		g.Expect(w.state(o, j)).To(Or(Equal("completed"), Equal("failed"), Equal("unknown")), j.ID)
	}
}

// resizeRandomly changes the capacity of an endpoint, and sometimes whether the store is
// available.
func (w *world) resizeRandomly(rng *rand.Rand) {
	w.resize(w.endpoints[fmt.Sprintf("i-%02d", rng.IntN(4))], 1000*(1+rng.IntN(4)))
	if rng.IntN(8) == 0 {
		w.storeDown = !w.storeDown
	}
}

// runUntilEnded advances the time until all jobs have ended or the limit is reached: a task that
// crashes its endpoints may wait for reports of several of them, and an account with a limit
// runs little at a time.
func (w *world) runUntilEnded(o *owner, submitted []jobs.Job, limit time.Duration) {
	for end := w.now + limit; w.now < end; w.run(time.Second) {
		if !slices.ContainsFunc(submitted, func(j jobs.Job) bool { return w.state(o, j) == "running" || w.state(o, j) == "queued" }) {
			return
		}
	}
}

// restartOne restarts an endpoint under its id.
func (w *world) restartOne(rng *rand.Rand, v variant) {
	h := w.endpoints[fmt.Sprintf("i-%02d", rng.IntN(4))]
	if v.staleEntries {
		w.restartWithStaleEntry(h, time.Duration(rng.Int64N(int64(maxStaleEntry))))
		return
	}
	w.restart(h)
}

// injectFault causes one random fault, and returns the owner that callers reach.
func (w *world) injectFault(rng *rand.Rand, o *owner, round int) *owner {
	endpoint := w.endpoints[fmt.Sprintf("i-%02d", rng.IntN(4))]
	switch rng.IntN(14) {
	case 0:
		if w.ownersHandOver {
			w.handOver(o)
		}
		o.stopped = true
		return w.takeOver()
	case 1:
		return w.takeOver() // the earlier owner goes on until it notices that it was fenced
	case 2:
		o.partitioned = true
		return w.takeOver()
	case 3, 4:
		endpoint.unresponsive = true
	case 5, 6:
		endpoint.unresponsive = false
	case 7:
		w.kill(endpoint)
		w.addEndpoint(fmt.Sprintf("n-%02d", round))
	case 8:
		endpoint.failsAll = !endpoint.failsAll
	case 9:
		endpoint.stalls = !endpoint.stalls
	case 10:
		endpoint.draining = true
	case 11:
		endpoint.rejectsStarts = !endpoint.rejectsStarts
	case 12:
		endpoint.hiddenFrom = o.epoch + 1
		o.partitioned = true
		return w.takeOver()
	}
	return o
}

// clearFaults ends all faults and all owners.
func (w *world) clearFaults() {
	w.storeDown = false
	w.loseOrders, w.loseAnswers = 0, 0
	for _, h := range w.endpoints {
		h.unresponsive, h.failsAll, h.stalls = false, false, false
		h.draining, h.rejectsStarts, h.hiddenFrom = false, false, 0
	}
	for _, o := range w.owners {
		o.stopped = true
	}
	w.addEndpoint("last")
}
