package executor_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/accounts"
	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/jobs"
	"cyclamenwheel/internal/quota"
	"cyclamenwheel/internal/routing"
)

// overload replays submissions against a pool of 40 cores. Each job is four tasks of one core and one
// second, so that the pool ends 10 jobs a second at most, and 9 with the time between two tasks.
type overload struct {
	w         *world
	o         *owner
	directory *accounts.Directory
	submitted []overloadJob
}

type overloadJob struct {
	account  string
	job      jobs.Job
	at       time.Duration
	accepted bool
	// retryAfter is when a refused caller is to return.
	retryAfter time.Duration
	ended      time.Duration
}

const overloadRunLength = time.Second

func newOverload(weights map[string]float64) *overload {
	w := newWorld(1, 0)
	w.limits.OverloadControl = true
	for i := range 10 {
		w.addEndpoint(fmt.Sprintf("i-%02d", i)).runLength = overloadRunLength
	}
	s := &overload{w: w, o: w.takeOver(), directory: accounts.NewDirectory()}
	var grants []quota.Grant
	for name, weight := range weights {
		Expect(s.directory.Add(accounts.Account{Name: name, Weight: weight})).To(Succeed())
		grants = append(grants, quota.Grant{Account: name, Rev: 1, Share: quota.Whole})
	}
	s.o.core.SetAccounts(s.directory)
	s.o.core.ApplyShares(w.now, grants)
	w.run(300 * time.Millisecond)
	return s
}

func overloadTerms() routing.Terms {
	return routing.Terms{Attempts: 3, SlowdownFactor: 1.6, Slack: 600 * time.Millisecond}
}

// submit submits a job of an account and reports whether it was accepted.
func (s *overload) submit(account string) bool {
	j := jobOf(len(s.submitted)+1, jobs.Step{Count: 4, CPUMilli: 1000, MemoryMB: 10, EstimateMs: int(overloadRunLength.Milliseconds())})
	verdict, refusal := s.o.core.Submit(s.w.now, j, executor.Accepting{Queue: "q", Terms: overloadTerms(), Account: account}, 1)
	s.submitted = append(s.submitted, overloadJob{account: account, job: j, at: s.w.now, accepted: verdict == executor.VerdictAccepted, retryAfter: refusal.RetryAfter})
	return verdict == executor.VerdictAccepted
}

// run submits jobs at each account's rate, in jobs a second, for some time.
func (s *overload) run(duration time.Duration, rates map[string]float64) {
	due := map[string]float64{}
	for end := s.w.now + duration; s.w.now < end; {
		for i := range 20 {
			name := fmt.Sprintf("a%02d", i)
			due[name] += rates[name] * step.Seconds()
			for ; due[name] >= 1; due[name]-- {
				s.submit(name)
			}
		}
		s.advance()
	}
}

func (s *overload) advance() {
	s.w.run(step)
	for i := range s.submitted {
		j := &s.submitted[i]
		if j.accepted && j.ended == 0 && s.w.state(s.o, j.job) == "completed" {
			j.ended = s.w.now
		}
	}
}

// drain runs the pool until every accepted job has ended.
func (s *overload) drain() {
	for range 1000 {
		open := false
		for _, j := range s.submitted {
			open = open || j.accepted && j.ended == 0
		}
		if !open {
			return
		}
		s.advance()
	}
	Expect("accepted jobs").To(Equal("ended"))
}

// objective is the time that a job may take; ends are seen a step late, and a job's records add some
// 50 ms.
const objective = time.Duration(1.6*float64(overloadRunLength)) + 600*time.Millisecond

// count returns how many of an account's jobs were submitted, accepted and ended within a time.
func (s *overload) count(account string, within time.Duration) (submitted, accepted, ended int) {
	for _, j := range s.submitted {
		if j.account != account {
			continue
		}
		submitted++
		if j.accepted {
			accepted++
			if j.ended-j.at <= within {
				ended++
			}
		}
	}
	return submitted, accepted, ended
}

// goodput runs a multiple of the pool's capacity for 8 s and returns how many jobs ended in time and
// early enough to be of use, and how many were accepted.
func goodput(times float64) (inTime, useful, accepted int) {
	const capacity = 9.0 // jobs a second
	s := newOverload(equalRates(1))
	s.run(8*time.Second, equalRates(capacity/20*times))
	s.drain()
	for i := range 20 {
		name := fmt.Sprintf("a%02d", i)
		_, a, in := s.count(name, objective+2*step)
		_, _, u := s.count(name, 3*objective+2*step)
		inTime, useful, accepted = inTime+in, useful+u, accepted+a
	}
	Expect(s.w.violations).To(BeEmpty())
	return inTime, useful, accepted
}

// equalRates gives each of the 20 accounts the same value.
func equalRates(value float64) map[string]float64 {
	out := map[string]float64{}
	for i := range 20 {
		out[fmt.Sprintf("a%02d", i)] = value
	}
	return out
}

// Guards against a storm in which accepting everything makes every job late, and against accepted
// jobs whose results come too late to be of use.
func TestGoodputUnderOverload(t *testing.T) {
	for _, times := range []float64{2, 5, 13, 20} {
		t.Run(fmt.Sprint(times, " times the capacity"), func(t *testing.T) {
			RegisterTestingT(t)
			atCapacity, _, _ := goodput(1)
			inTime, useful, accepted := goodput(times)
			t.Logf("in time %d, at capacity %d; of use %d of %d accepted", inTime, atCapacity, useful, accepted)
			Expect(inTime).To(BeNumerically(">=", atCapacity*9/10))
			Expect(useful).To(BeNumerically(">=", accepted*95/100))
		})
	}
}

// Guards against one account's storm that costs the others their jobs.
func TestSharesBesideAStorm(t *testing.T) {
	RegisterTestingT(t)
	s := newOverload(equalRates(1))
	rates := equalRates(0.3)
	s.run(2*time.Second, rates)
	rates["a00"] = 10 * 0.6
	s.run(5*time.Second, rates)
	s.drain()
	submitted, lost := 0, 0
	for i := 1; i < 20; i++ {
		n, _, ended := s.count(fmt.Sprintf("a%02d", i), objective+2*step)
		submitted, lost = submitted+n, lost+n-ended
	}
	Expect(lost).To(BeNumerically("<", submitted/100+1), "of %d", submitted)
}

// Guards against a caller that returns when it was told and finds its place taken by newcomers.
func TestReturnsBeforeNewcomers(t *testing.T) {
	RegisterTestingT(t)
	s := newOverload(equalRates(1))
	for s.submit("a00") {
	}
	refused := s.submitted[len(s.submitted)-1]
	s.w.run(refused.retryAfter)
	for s.submit("a00") {
	}
	verdict, _ := s.o.core.Submit(s.w.now, refused.job, executor.Accepting{Queue: "q", Terms: overloadTerms(), Account: "a00"}, 1)
	Expect(verdict).To(Equal(executor.VerdictAccepted))
}
