package overload_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/standin/trial"
	"cyclamenwheel/internal/standin/wire"
)

const (
	// The flood: far more work than the pool of two instances can run.
	floodInterval = 3 * time.Millisecond
	floodCount    = 1500
	taskMs        = 100
	// tasksPerJob makes the flood some six times what the pool can run: jobs are accepted as long as
	// their result is of use, which is far longer than their objective.
	tasksPerJob = 6
	// maxRefusalTime is the bound of 99 of 100 refusals. The aim is 50 ms on a machine of their
	// own; the tests share theirs with other processes.
	maxRefusalTime = 500 * time.Millisecond
	maxStateTime   = time.Second
)

// attempt is a submission that was sent once.
type attempt struct {
	path   string
	status int
	took   time.Duration
}

func (a attempt) refused() bool {
	return a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable
}

// flood submits jobs at a fixed rate, each once, and returns the attempts when all have ended.
func flood(caller *trial.Caller) []attempt {
	attempts := make([]attempt, floodCount)
	body := fmt.Sprintf(`{"spec":"%d","steps":[{"count":%d,"cpu":1000,"memMb":64,"estMs":%d}]}`, taskMs, tasksPerJob, taskMs)
	var wg sync.WaitGroup
	tick := time.NewTicker(floodInterval)
	defer tick.Stop()
	for i := range attempts {
		<-tick.C
		wg.Go(func() {
			path := fmt.Sprintf("/%s/%016x", pool, 0x10000+i)
			startedAt := time.Now()
			status, _ := caller.Do(http.MethodPost, path, body)
			attempts[i] = attempt{path: path, status: status, took: time.Since(startedAt)}
		})
	}
	wg.Wait()
	return attempts
}

// queryState asks for a job's state until ended is closed, and returns the time that each answer
// took. An answer without a state counts as maxStateTime.
func queryState(caller *trial.Caller, path string, ended <-chan struct{}) (took []time.Duration) {
	for {
		select {
		case <-ended:
			return took
		case <-time.After(100 * time.Millisecond):
		}
		startedAt := time.Now()
		if caller.State(path) == "" {
			took = append(took, maxStateTime)
			continue
		}
		took = append(took, time.Since(startedAt))
	}
}

var _ = Describe("a flood of submissions", func() {
	// Guards against callers that get no answer or wait for a refusal, refused jobs that run,
	// accepted jobs that are lost or run twice, and states that can't be asked, while a pool gets
	// several times the jobs that it can run.
	It("is answered while accepted jobs and other calls are served", func() {
		c, caller := start(21)
		first := caller.Submit(pool, 1, 1, taskMs)
		Expect(first.Accepted).To(BeTrue())
		ended, states := make(chan struct{}), make(chan []time.Duration, 1)
		go func() { states <- queryState(caller, first.Path, ended) }()
		attempts := flood(caller)
		close(ended)

		byStatus, refusals := map[int]int{}, []time.Duration{}
		for _, a := range attempts {
			byStatus[a.status]++
			if a.refused() {
				refusals = append(refusals, a.took)
			}
		}
		slices.Sort(refusals)
		Expect(byStatus[0]).To(BeZero(), "every submission gets an answer: %v", byStatus)
		Expect(byStatus[http.StatusOK]).To(BeNumerically(">", 0), "%v", byStatus)
		Expect(len(refusals)).To(BeNumerically(">", floodCount/4), "the flood must exceed the capacity: %v", byStatus)
		slowest := refusals[len(refusals)*99/100]
		stateTimes := <-states
		AddReportEntry("figures", fmt.Sprintf("answers by status %v; refusals: median %v, 99%% %v; states: %d, slowest %v", byStatus,
			refusals[len(refusals)/2], slowest, len(stateTimes), slices.Max(stateTimes)))
		Expect(slowest).To(BeNumerically("<=", maxRefusalTime))
		Expect(slices.Max(stateTimes)).To(BeNumerically("<", maxStateTime))
		expectAnswersToHold(c.Platform, caller, attempts)
	})
})

// expectAnswersToHold checks that accepted jobs complete, that refused ones are unknown to their
// pool, and that no task runs twice.
func expectAnswersToHold(platform *wire.Platform, caller *trial.Caller, attempts []attempt) {
	GinkgoHelper()
	for _, a := range attempts {
		switch {
		case a.status == http.StatusOK:
			Eventually(func() string { return caller.State(a.path) }, conditionTimeout).Should(Equal("completed"), a.path)
		case a.refused():
			Eventually(func() string { return caller.State(a.path) }, conditionTimeout).Should(Equal("gone"), a.path)
		}
	}
	Expect(platform.Violations()).To(BeEmpty())
}
