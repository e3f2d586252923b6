package keys_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/dispatch"
	"cyclamenwheel/internal/standin"
	"cyclamenwheel/test/harness"
)

// Sizes of a recorded history.
const (
	historyCallers = 8
	// In each round the callers share a few keys.
	keysPerRound = 2
	perRound     = 4 // requests of each caller
	// healthyRounds come before anything fails.
	healthyRounds = 4
	// faults is how many come, one after another.
	faults = 6
	// callerPatience is above the services' deadline: only a caller whose entry
	// is frozen or gone gives up.
	callerPatience = 8 * time.Second
	// checkLimit bounds the search for a linearization.
	checkLimit = 30 * time.Second
)

// recorder notes what callers did and got, in the order of one clock.
type recorder struct {
	cluster *harness.Cluster
	began   time.Time
	faulty  atomic.Bool

	mu  sync.Mutex
	ops []porcupine.Operation
	// notRun are the ids of requests refused as not run.
	notRun []string
}

func (r *recorder) send(caller int, e *harness.Process, key, id string) {
	ctx, cancel := context.WithTimeout(bg, callerPatience)
	defer cancel()
	call := time.Since(r.began).Nanoseconds()
	out := sendAs(ctx, e, charge{key: key, body: key, work: shortWork}, id)
	end := time.Since(r.began).Nanoseconds()
	if !out.answered() && (!out.refused() || out.problem.Ran == dispatch.RanUnknown) {
		end = math.MaxInt64 // it may run at any time from now on
	}
	op := operation{key: key, faulty: r.faulty.Load()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: caller, Input: op, Call: call, Output: out, Return: end})
	if out.refused() && out.problem.Ran == dispatch.RanNo {
		r.notRun = append(r.notRun, id)
	}
}

// round has all callers send a few requests under the keys of a round, each in
// an order of its own, and waits for them.
func (r *recorder) round(name string, seed uint64, round int) {
	var done sync.WaitGroup
	for caller := range historyCallers {
		rng := rand.New(rand.NewPCG(seed, uint64(round*historyCallers+caller)))
		done.Go(func() {
			for n := range perRound {
				entries := r.cluster.Entries()
				r.send(caller, entries[rng.IntN(len(entries))], keyIn(name, round*keysPerRound+rng.IntN(keysPerRound)),
					fmt.Sprintf("%s-%d-%d-%d", name, caller, round, n))
			}
		})
	}
	done.Wait()
}

// drive sends rounds until stop is closed and returns how many there were.
func (r *recorder) drive(name string, seed uint64, from int, stop <-chan struct{}) int {
	for round := from; ; round++ {
		select {
		case <-stop:
			return round
		default:
			r.round(name, seed, round)
		}
	}
}

func keyIn(name string, n int) string { return fmt.Sprintf("%s-%d", name, n) }

// fault is one thing that goes wrong, and how it ends.
type fault struct {
	name       string
	begin, end func(c *harness.Cluster, e *harness.Process)
}

var historyFaults = []fault{
	{"log appends down",
		func(c *harness.Cluster, _ *harness.Process) { appendsDown.begin(c) },
		func(c *harness.Cluster, _ *harness.Process) { appendsDown.end(c) }},
	{"answers of appends lost, some repeated",
		func(c *harness.Cluster, _ *harness.Process) {
			Expect(c.Standin.SetFault(bg, standin.ClassAppend,
				standin.PlatformFault{LoseProbability: 0.4, RepeatProbability: 0.4, Seed: 1})).To(Succeed())
		},
		func(c *harness.Cluster, _ *harness.Process) { appendsDown.end(c) }},
	{"entry frozen",
		func(_ *harness.Cluster, e *harness.Process) { e.Freeze() },
		func(_ *harness.Cluster, e *harness.Process) {
			if e.Alive() {
				e.Wake()
			}
		}},
	{"entry restarted",
		func(_ *harness.Cluster, e *harness.Process) { e.Kill() },
		func(_ *harness.Cluster, e *harness.Process) { e.Start() }},
	{"entry's host lost",
		func(_ *harness.Cluster, e *harness.Process) { e.LoseInstance() },
		func(_ *harness.Cluster, e *harness.Process) { e.Replace() }},
	{"entry cut off from the log",
		func(_ *harness.Cluster, e *harness.Process) { e.CutLog() },
		func(_ *harness.Cluster, e *harness.Process) { e.HealLog() }},
	{"endpoints close without an answer",
		func(c *harness.Cluster, _ *harness.Process) {
			setEndpoints(c, standin.EndpointFault{CloseAfterRun: true, Probability: 0.3, Seed: 1})
		},
		func(c *harness.Cluster, _ *harness.Process) { setEndpoints(c, standin.EndpointFault{}) }},
}

func setEndpoints(c *harness.Cluster, f standin.EndpointFault) {
	GinkgoHelper()
	for _, w := range workers(c) {
		Expect(c.Standin.SetEndpointFault(bg, w, f)).To(Succeed())
	}
}

// Bounds of how long a fault lasts, and of the pause between two.
const (
	faultMin = 200 * time.Millisecond
	faultMax = 1600 * time.Millisecond
	pauseMax = 400 * time.Millisecond
)

func between(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)))
}

// breakThings brings faults on random entries, one after another.
func breakThings(c *harness.Cluster, seed uint64) {
	GinkgoHelper()
	rng := rand.New(rand.NewPCG(seed, seed))
	for range faults {
		f, e := historyFaults[rng.IntN(len(historyFaults))], c.Entry(rng.IntN(entryCount))
		GinkgoWriter.Printf("fault: %s (%s)\n", f.name, e.ID)
		f.begin(c, e)
		time.Sleep(between(rng, faultMin, faultMax))
		f.end(c, e)
		e.AwaitMember()
		time.Sleep(between(rng, 0, pauseMax))
	}
}

var _ = Describe("The model of a key", func() {
	answered := func(run int) reply {
		return reply{status: http.StatusOK, answer: standin.EndpointAnswer{Run: run}}
	}
	refused := func(ran dispatch.Ran) reply {
		return reply{problem: dispatch.Problem{Type: dispatch.TypeKeyUnavailable, Ran: ran}}
	}
	// One caller after another was told this.
	check := func(faulty bool, replies ...reply) bool {
		var ops []porcupine.Operation
		for i, r := range replies {
			ops = append(ops, porcupine.Operation{
				Input: operation{key: "k", faulty: faulty}, Output: r, Call: int64(2 * i), Return: int64(2*i + 1)})
		}
		return porcupine.CheckOperations(keyModel, ops)
	}

	It("takes one run, and an unknown outcome after a fault", func() {
		Expect(check(false, refused(dispatch.RanNo), answered(1), answered(1), refused(dispatch.RanYes))).To(BeTrue())
		Expect(check(true, refused(dispatch.RanUnknown), refused(dispatch.RanYes), answered(1))).To(BeTrue())
	})
	It("refuses a second run, a run that no caller began, and an unknown outcome without a fault", func() {
		Expect(check(true, answered(1), answered(2))).To(BeFalse())
		Expect(check(true, refused(dispatch.RanNo), refused(dispatch.RanYes))).To(BeFalse())
		Expect(check(false, refused(dispatch.RanUnknown))).To(BeFalse())
	})
})

var _ = Describe("A recorded history of callers", func() {
	// Eight callers send to random entries, two keys at a time and several
	// requests under each, at first with nothing wrong and then while one thing after
	// another fails: the log, an entry, its host, endpoints. Whatever they were
	// told must be what a single process could have told them that runs each
	// key once, keeps the answer, and after a fault may not know. What was
	// refused as not run must not be in the endpoints' history.
	DescribeTable("is that of keys which run once",
		func(seed uint64) {
			c := formed(entryCount, nil)
			r := &recorder{cluster: c, began: time.Now()}
			name := fmt.Sprintf("history-%d", seed)
			for round := range healthyRounds {
				r.round(name, seed, round)
			}
			r.faulty.Store(true)
			stop, rounds := make(chan struct{}), make(chan int, 1)
			go func() { rounds <- r.drive(name, seed, healthyRounds, stop) }()
			breakThings(c, seed)
			close(stop)
			keys := keysPerRound * <-rounds
			// In the end every key is asked for once more by each entry.
			for _, e := range c.Entries() {
				awaitProven(e, entryCount)
			}
			r.askAll(name, keys)
			r.judge()
			c.Check()
		},
		Entry("seed 1", uint64(1)),
		Entry("seed 2", uint64(2)),
		Entry("seed 3", uint64(3)))
})

// askAll has each entry asked for every key.
func (r *recorder) askAll(name string, keys int) {
	var done sync.WaitGroup
	for i, e := range r.cluster.Entries() {
		done.Go(func() {
			for n := range keys {
				r.send(historyCallers+i, e, keyIn(name, n), fmt.Sprintf("%s-last-%d-%d", name, i, n))
			}
		})
	}
	done.Wait()
}

func (r *recorder) judge() {
	GinkgoHelper()
	r.mu.Lock()
	defer r.mu.Unlock()
	kinds := map[string]int{}
	for _, op := range r.ops {
		kinds[kindOf(op.Output.(reply))]++
	}
	GinkgoWriter.Printf("history: %d requests, %v\n", len(r.ops), kinds)
	result := porcupine.CheckOperationsTimeout(keyModel, r.ops, checkLimit)
	if result != porcupine.Ok {
		GinkgoWriter.Println(describe(r.ops))
	}
	Expect(result).To(Equal(porcupine.Ok))
	hist, err := r.cluster.Standin.History(bg, 1)
	Expect(err).NotTo(HaveOccurred())
	ran := map[string]standin.Run{}
	for _, run := range hist.Runs {
		Expect(ran).NotTo(HaveKey(run.IdempotencyKey), "ran twice")
		ran[run.IdempotencyKey] = run
		Expect(r.notRun).NotTo(ContainElement(run.RequestID), "refused as not run")
	}
	for _, op := range r.ops {
		if out := op.Output.(reply); out.answered() {
			Expect(ran[op.Input.(operation).key].Seq).To(Equal(out.answer.Run), out.String())
		}
	}
}

func kindOf(r reply) string {
	switch {
	case r.answered():
		return "answered"
	case r.refused():
		return "refused, ran " + string(r.problem.Ran)
	default:
		return "no reply"
	}
}

// describe lists the operations for the reader of a failure.
func describe(ops []porcupine.Operation) string {
	out := ""
	for _, op := range ops {
		out += fmt.Sprintf("%d: %d to %d: %+v -> %s\n", op.ClientId, op.Call, op.Return, op.Input, op.Output)
	}
	return out
}
