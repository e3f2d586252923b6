package executor_test

import (
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/jobs"
	"cyclamenwheel/internal/routing"
)

// turns is a load that comes by turns of more than a pool holds. Each job has two
// steps of four tasks; lengths and estimates spread as callers' do.
type turns struct {
	w       *world
	o       *owner
	rng     *rand.Rand
	lengths map[string][2]time.Duration
	offers  []*offer
}

// offer is a job and what its caller sees.
type offer struct {
	job            jobs.Job
	at, due, again time.Duration
	accepted       bool
	ended          time.Duration
}

const (
	turnLasts  = 3 * time.Second
	turnEvery  = 6 * time.Second
	betweenUp  = 110 * time.Millisecond
	usualRun   = 600 // ms
	runSpread  = 0.48
	estimateBy = 0.5
	mostTries  = 4
)

var turnTerms = routing.Terms{Attempts: 3, SlowdownFactor: 1.6, Slack: 600 * time.Millisecond}

func (t *turns) offer(n int) {
	var estimates [2]int
	var lengths [2]time.Duration
	for i := range lengths {
		ms := usualRun * math.Exp(runSpread*t.rng.NormFloat64())
		lengths[i] = time.Duration(ms) * time.Millisecond
		estimates[i] = int(ms * math.Exp(estimateBy*t.rng.NormFloat64()))
	}
	j := jobOf(n, small(4), small(4, 0))
	j.Steps[0].EstimateMs, j.Steps[1].EstimateMs = estimates[0], estimates[1]
	t.lengths[j.ID] = lengths
	due := time.Duration(turnTerms.SlowdownFactor*float64(lengths[0]+lengths[1])) + turnTerms.Slack
	t.offers = append(t.offers, &offer{job: j, at: t.w.now, due: t.w.now + due, again: t.w.now})
}

// call hands in what is due to be, and notes what has completed.
func (t *turns) call() {
	for _, f := range t.offers {
		if !f.accepted && t.w.now >= f.again && f.again < f.at+mostTries*time.Second {
			verdict, refusal := t.o.core.Submit(t.w.now, f.job, executor.Accepting{Queue: "q", Terms: turnTerms}, 1)
			f.accepted = verdict != executor.VerdictRefused
			f.again = t.w.now + refusal.RetryAfter
		}
		if f.accepted && f.ended == 0 && t.w.state(t.o, f.job) == "completed" {
			f.ended = t.w.now
		}
	}
}

// inTime is the share of jobs that end within their objective.
func (t *turns) inTime() float64 {
	good := 0
	for _, f := range t.offers {
		if f.ended > 0 && f.ended <= f.due {
			good++
		}
	}
	return float64(good) / float64(len(t.offers))
}

// play runs some turns on a pool of eight endpoints.
func play(seed uint64) float64 {
	w := newWorld(seed, 8)
	t := &turns{w: w, rng: rand.New(rand.NewPCG(seed, 1)), lengths: map[string][2]time.Duration{}}
	w.lengthOf = func(n jobs.TaskName) time.Duration { return t.lengths[n.Job][n.Step] }
	t.o = w.takeOver()
	w.run(300 * time.Millisecond)
	begin := w.now
	for n := 1; w.now-begin < 8*turnEvery; {
		if (w.now-begin)%turnEvery < turnLasts && w.now-begin >= time.Duration(n)*betweenUp/2 && (w.now-begin)%betweenUp < step {
			t.offer(n)
			n++
		}
		t.call()
		w.run(step)
	}
	Expect(w.broken).To(BeEmpty())
	return t.inTime()
}

var _ = Describe("jobs of uneven length", func() {
	// A queue's turn asks for half as much again as its pool has. Jobs whose lengths
	// nobody knows are taken for the queue's mean: short ones wait behind others until
	// they are late, and long ones that could be in time are put last.
	It("are ordered by what is known of each", func() {
		sum := 0.0
		const seeds = 12
		for seed := range uint64(seeds) {
			sum += play(seed + 1)
		}
		GinkgoWriter.Printf("in time: %.3f\n", sum/seeds)
		Expect(sum / seeds).To(BeNumerically(">=", 0.70))
	})
})
