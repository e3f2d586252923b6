package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The simulated deployment: one owner, 44 nodes of which 8 receive four times what the others do, and
// 20 accounts whose usual loads differ by up to 20 times and are their weights.
const (
	simNodes    = 44
	simAccounts = 20
	simCapacity = 170 // jobs per second
	simStep     = 10 * time.Millisecond
	simMaxWait  = 0.5 // seconds; beyond, the owner refuses
)

// simulation is an owner behind gates. Answers arrive one step after the submission.
type simulation struct {
	now     time.Duration
	random  *rand.Rand
	gates   []*Gate
	meter   *Meter
	shares  *Shares
	waiting []float64 // jobs, by account
	answers []func()
	due     float64 // arrivals that are due

	arrived, accepted []int // by account
	offered, done     float64
}

func simWeight(a int) float64 { return float64(1 + a) }

func simClass(a int) MeterClass { return MeterClass{Account: strconv.Itoa(a)} }

func newSimulation() *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(7, 7)), meter: NewMeter(1), waiting: make([]float64, simAccounts)}
	s.shares = NewShares(func(account string) float64 {
		a, _ := strconv.Atoi(account)
		return simWeight(a)
	})
	for n := range simNodes {
		s.gates = append(s.gates, NewGate(uint64(n)))
	}
	s.resetCounts()
	return s
}

func (s *simulation) resetCounts() {
	s.arrived, s.accepted = make([]int, simAccounts), make([]int, simAccounts)
	s.offered, s.done = 0, 0
}

func (s *simulation) randomGate() *Gate {
	if n := s.random.IntN(8*4 + 36); n >= 32 {
		return s.gates[n-24]
	} else {
		return s.gates[n/4]
	}
}

// submit passes a submission through a gate to the owner. As at a node, a refusal at the gate is
// reported to the owner before it is given, and its answer may open the class.
func (s *simulation) submit(a int) {
	s.arrived[a]++
	gate, key := s.randomGate(), GateKey{Pool: "p", Account: simClass(a).Account}
	_, ok := gate.Admit(s.now, key)
	s.meter.ObserveRefusedAtNode(s.now, simClass(a), gate.TakeRefused(key))
	if ok || s.meter.Notice(s.now, simClass(a)).Admit >= 1 {
		s.decide(a)
	}
	notice := s.meter.Notice(s.now, simClass(a))
	s.answers = append(s.answers, func() { gate.Observe(s.now, key, notice) })
}

// decide is the owner's decision: a job is accepted if it waits at most simMaxWait in weighted shares.
func (s *simulation) decide(a int) {
	s.offered++
	unlimited := func(string) float64 { return math.Inf(1) }
	if s.shares.WorkAhead(simClass(a).Account, 1, unlimited) > simMaxWait*simCapacity {
		s.meter.ObserveRefused(s.now, simClass(a), time.Second, time.Second)
		return
	}
	s.meter.ObserveAccepted(s.now, simClass(a))
	s.accepted[a]++
	s.waiting[a]++
	s.shares.Add(simClass(a).Account, 1)
}

// runFor submits at the given rates, in jobs per second by account.
func (s *simulation) runFor(d time.Duration, rates []float64) {
	total := 0.0
	for _, rate := range rates {
		total += rate
	}
	for end := s.now + d; s.now < end; {
		s.now += simStep
		answers := s.answers
		s.answers = nil
		for _, deliver := range answers {
			deliver()
		}
		for s.due += total * simStep.Seconds(); s.due >= 1; s.due-- {
			s.submit(s.pickAccount(rates, total))
		}
		s.work(simCapacity * simStep.Seconds())
	}
}

func (s *simulation) pickAccount(rates []float64, total float64) int {
	at := s.random.Float64() * total
	for a, rate := range rates {
		if at -= rate; at < 0 {
			return a
		}
	}
	return len(rates) - 1
}

// work does an amount of the waiting work, divided among the accounts by weight.
func (s *simulation) work(capacity float64) {
	level := s.shares.Level(capacity)
	s.shares.Reset()
	for a, w := range s.waiting {
		part := min(w, level*simWeight(a))
		s.done += part
		s.waiting[a] -= part
		s.shares.Add(simClass(a).Account, s.waiting[a])
	}
}

// ratesAt returns rates in proportion to the weights that sum to a multiple of the capacity.
func ratesAt(multiple float64) []float64 {
	rates := make([]float64, simAccounts)
	for a := range rates {
		rates[a] = multiple * simCapacity * simWeight(a) / (simAccounts * (simAccounts + 1) / 2)
	}
	return rates
}

var _ = Describe("an owner behind the gates of 44 nodes", func() {
	It("does its usual work at any overload, and sees little of it", func() {
		offered, done := map[float64]float64{}, map[float64]float64{}
		for _, multiple := range []float64{1, 2, 5, 13, 20} {
			s := newSimulation()
			s.runFor(time.Second, ratesAt(multiple))
			s.resetCounts()
			s.runFor(10*time.Second, ratesAt(multiple))
			offered[multiple], done[multiple] = s.offered/10, s.done/10
		}
		fmt.Fprintln(GinkgoWriter, "offered per second by multiple of the capacity", offered, "done", done)
		for _, d := range done {
			Expect(d).To(BeNumerically(">=", 0.9*simCapacity))
		}
		Expect(offered[13]).To(BeNumerically("<=", 1.3*1.5*offered[1]))
	})

	// Guards against nodes that keep refusing after an overload is over.
	It("accepts everything 2 s after an overload", func() {
		s := newSimulation()
		s.runFor(10*time.Second, ratesAt(13))
		s.runFor(2*time.Second, ratesAt(0.8))
		s.resetCounts()
		s.runFor(2*time.Second, ratesAt(0.8))
		Expect(s.accepted).To(Equal(s.arrived))
	})

	DescribeTable("accounts within their share lose under 1% while one sends ten times its usual", func(storming int) {
		s := newSimulation()
		rates := ratesAt(0.8)
		s.runFor(2*time.Second, rates)
		s.resetCounts()
		rates[storming] *= 10
		s.runFor(20*time.Second, rates)
		for a := range simAccounts {
			if a != storming {
				Expect(float64(s.accepted[a])).To(BeNumerically(">", 0.99*float64(s.arrived[a])), simClass(a).Account)
			}
		}
		Expect(s.done).To(BeNumerically(">=", 0.9*min(simCapacity, 0.8*simCapacity+9*ratesAt(0.8)[storming])*20))
	}, Entry("a small one", 0), Entry("an average one", 10), Entry("the largest", 19))
})
