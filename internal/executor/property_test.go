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

// seeds of the random days; each that ever failed stays among them.
const seeds = 300

// extraSeedsEnv, set in the environment, adds as many seeds after these.
const extraSeedsEnv = "CYCLAMEN_MORE_SEEDS"

// additionalSeeds is what the environment asks for, 0 where it does not.
func additionalSeeds() int {
	more, err := strconv.Atoi(os.Getenv(extraSeedsEnv))
	if err != nil {
		return 0
	}
	return more
}

// A day of random trouble: orders and answers are lost, some orders come late,
// owners are killed, cut off from the journal while they go on, or merely slow,
// two and three of them at once; endpoints fall silent and come back, crash for
// good, drain, fail all they start or stand still. Callers see each job end;
// endpoints see no task twice, none after its end, and never too many at once.
var _ = Describe("random days", func() {
	for seed := uint64(1); seed <= uint64(seeds+additionalSeeds()); seed++ {
		It(fmt.Sprintf("keep the promises under seed %d", seed), func() { randomDay(NewWithT(GinkgoT()), seed, variant{}) })
		It(fmt.Sprintf("keep them where owners give up in order, under seed %d", seed), func() { randomDay(NewWithT(GinkgoT()), seed, variant{inOrder: true}) })
		It(fmt.Sprintf("keep them beside a slow journal, under seed %d", seed), func() {
			randomDay(NewWithT(GinkgoT()), seed, variant{inOrder: seed%2 == 0, slowJournal: true})
		})
	}
})

// variant is how the owners of a random day live.
type variant struct {
	// inOrder: owners that end hand their pool over.
	inOrder bool
	// slowJournal: batches go side by side and are answered late.
	slowJournal bool
	// restarts: endpoints restart under their ids beside all other trouble.
	restarts bool
	// unseen: service discovery shows the former incarnations for up to unseenMost, and
	// leases by their clocks are still to come by the new ones.
	unseen bool
	// crashing: every seventh job has a task that crashes its endpoints.
	crashing bool
	// resizing: the room of endpoints changes, and the store is away at times.
	resizing bool
	// limited: the jobs are of an account that may have little running.
	limited bool
}

const maxStaleEntry = 1500 * time.Millisecond

// randomDay plays a day.
func randomDay(g Gomega, seed uint64, v variant) {
	rng := rand.New(rand.NewPCG(seed, 99))
	w := newWorld(seed, 4)
	w.inOrder, w.slowJournal = v.inOrder, v.slowJournal
	if v.crashing {
		w.crasher = func(n jobs.TaskName) bool { return jobNumber(n.Job)%7 == 0 && n.Index == 0 }
		w.downFor = time.Duration(200+rng.IntN(6000)) * time.Millisecond
		w.newIDs = rng.IntN(2) == 0
		w.crashAfter = time.Duration(1+rng.IntN(5)) * step
	}
	w.loseOrders, w.loseAnswers, w.lateOrders = 0.05*rng.Float64(), 0.05*rng.Float64(), 0.7
	for _, h := range w.hosts {
		h.skew = 0.98 + 0.02*rng.Float64()
	}
	if v.resizing {
		w.beat = beat
	}
	if v.limited {
		w.account, w.limitMilli = "alpha", 1000*(2+rng.IntN(5))
	}
	o := w.takeOver()
	var handedIn []jobs.Job
	for round := range 40 {
		if v.resizing {
			w.resizeRandomly(rng)
		}
		if rng.IntN(2) == 0 {
			j := jobOf(round+1, small(1+rng.IntN(5)), small(1+rng.IntN(3), 0))
			w.submit(o, j)
			handedIn = append(handedIn, j)
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
	if v.crashing || v.limited {
		w.runUntilEnded(o, handedIn, time.Minute)
	}
	g.Expect(w.broken).To(BeEmpty())
	for _, j := range handedIn {
		g.Expect(w.state(o, j)).To(Or(Equal("completed"), Equal("failed"), Equal("unknown")), j.ID)
	}
}

// resizeRandomly changes the room of an endpoint, and whether the store is away.
func (w *world) resizeRandomly(rng *rand.Rand) {
	w.resize(w.hosts[fmt.Sprintf("i-%02d", rng.IntN(4))], 1000*(1+rng.IntN(4)))
	if rng.IntN(8) == 0 {
		w.storeAway = !w.storeAway
	}
}

// runUntilEnded lets time pass until all jobs have ended, or the limit is over: a task that
// crashes its endpoints may wait for word of several of them, and an account runs little at a
// time.
func (w *world) runUntilEnded(o *owner, handedIn []jobs.Job, limit time.Duration) {
	for end := w.now + limit; w.now < end; w.run(time.Second) {
		if !slices.ContainsFunc(handedIn, func(j jobs.Job) bool { return w.state(o, j) == "running" || w.state(o, j) == "queued" }) {
			return
		}
	}
}

// restartOne lets an endpoint restart under its id.
func (w *world) restartOne(rng *rand.Rand, v variant) {
	h := w.hosts[fmt.Sprintf("i-%02d", rng.IntN(4))]
	if v.unseen {
		w.restartUnseen(h, time.Duration(rng.Int64N(int64(maxStaleEntry))))
		return
	}
	w.restart(h)
}

// injectFault lets one thing go wrong, and returns the owner that callers reach.
func (w *world) injectFault(rng *rand.Rand, o *owner, round int) *owner {
	host := w.hosts[fmt.Sprintf("i-%02d", rng.IntN(4))]
	switch rng.IntN(14) {
	case 0:
		if w.inOrder {
			w.handOver(o)
		}
		o.stopped = true
		return w.takeOver()
	case 1:
		return w.takeOver() // the other goes on until it notices
	case 2:
		o.cut = true
		return w.takeOver()
	case 3, 4:
		host.silent = true
	case 5, 6:
		host.silent = false
	case 7:
		w.kill(host)
		w.addHost(fmt.Sprintf("n-%02d", round))
	case 8:
		host.failsAll = !host.failsAll
	case 9:
		host.hangs = !host.hangs
	case 10:
		host.draining = true
	case 11:
		host.unwell = !host.unwell
	case 12:
		host.hiddenFrom = o.epoch + 1
		o.cut = true
		return w.takeOver()
	}
	return o
}

func (w *world) clearFaults() {
	w.storeAway = false
	w.loseOrders, w.loseAnswers = 0, 0
	for _, h := range w.hosts {
		h.silent, h.failsAll, h.hangs = false, false, false
		h.draining, h.unwell, h.hiddenFrom = false, false, 0
	}
	for _, o := range w.owners {
		o.stopped = true
	}
	w.addHost("last")
}
