// Package load measures admission, endpoint selection, retries and the division of slots under
// load, and compares each with a baseline. It runs fixed scenarios: most are discrete-event
// simulations of the decision code with fixed seeds, and Loopback sends requests to the real
// handler over loopback connections. The command cyclamen-measure calls Suite, which writes the
// results as markdown tables.
package load

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cyclamenwheel/internal/admission"
	"cyclamenwheel/internal/dispatch/pick"
	"cyclamenwheel/internal/dispatch/retry"
)

// sim is the state of one simulation run.
type sim struct {
	Scenario
	rnd             *rand.Rand
	start           time.Time
	now             time.Time
	events          events
	seq             int
	waiting         map[uint64]*simRequest
	lastID          uint64
	backends        map[string]*Backend
	result          Result
	onRefuse        func(*simRequest)
	firstAttempts   []time.Duration // times of first attempts since the start
	attemptTimes    []time.Duration // times of all attempts since the start
	inTimeBySlice   []int
	arrivalsBySlice []int
}

// Run simulates a scenario.
func Run(sc Scenario) Result {
	s := newSim(sc)
	for s.step() {
	}
	return s.finish()
}

func newSim(sc Scenario) *sim {
	s := &sim{
		Scenario:        sc,
		rnd:             rand.New(rand.NewPCG(sc.Seed, sc.Seed)),
		start:           time.Unix(1_800_000_000, 0),
		waiting:         map[uint64]*simRequest{},
		backends:        map[string]*Backend{},
		inTimeBySlice:   make([]int, sc.Length/sliceLength+1),
		arrivalsBySlice: make([]int, sc.Length/sliceLength+1),
		result: Result{
			Span:     sc.Length - sc.Warmup,
			ByCaller: map[string]int{}, OfferedBy: map[string]int{},
			Latency: newHistogram(), Refusals: newHistogram(),
			LatencyByInstance: map[string]*hdrhistogram.Histogram{},
			RefusalsBy:        newRefusalHistograms(),
		},
	}
	s.now = s.start
	s.setUp()
	return s
}

// step runs the next event. It returns false if no event is left.
func (s *sim) step() bool {
	if len(s.events) == 0 {
		return false
	}
	e := heap.Pop(&s.events).(event)
	s.now = e.at
	e.run()
	return true
}

func (s *sim) setUp() {
	var list []pick.Endpoint
	for i := range s.Backends {
		b := &s.Backends[i]
		s.backends[b.Instance] = b
		s.result.LatencyByInstance[b.Instance] = newHistogram()
		list = append(list, b.Endpoint)
	}
	s.Picker.Set(s.now, list)
	for _, src := range s.Sources {
		s.scheduleArrival(src)
	}
	s.schedule(queuePollInterval, s.pollQueue)
}

func (s *sim) elapsed() time.Duration { return s.now.Sub(s.start) }

func (s *sim) schedule(d time.Duration, run func()) { s.scheduleAt(s.now.Add(d), run) }

func (s *sim) scheduleAt(at time.Time, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: at, seq: s.seq, run: run})
}

// pollQueue stands for the gate's timer. It is needed because the picker may also free slots
// with the passing of time, without any request ending.
func (s *sim) pollQueue() {
	s.refuse(s.Queue.Expire(s.now))
	s.dispatchQueued()
	if s.elapsed() < s.Length {
		s.schedule(queuePollInterval, s.pollQueue)
	}
}

// scheduleArrival draws the time of the next arrival from a source. While the source's rate
// is 0 it checks again about once per second.
func (s *sim) scheduleArrival(src Source) {
	rate := src.Rate(s.elapsed())
	if rate <= 0 {
		rate = 1
	}
	wait := time.Duration(s.rnd.ExpFloat64() / rate * float64(time.Second))
	if s.elapsed()+wait >= s.Length {
		return
	}
	s.schedule(wait, func() {
		if src.Rate(s.elapsed()) > 0 {
			s.arrive(src.Name)
		}
		s.scheduleArrival(src)
	})
}

func (s *sim) arrive(caller string) {
	w := s.drawWork()
	s.lastID++
	req := &simRequest{work: w, request: admission.Request{
		ID: s.lastID, Caller: caller, Kind: w.Kind, Arrived: s.now, Deadline: s.now.Add(w.Timeout),
	}}
	if s.isMeasured(req) {
		s.result.Offered++
		s.result.OfferedBy[caller]++
	}
	s.arrivalsBySlice[s.elapsed()/sliceLength]++
	s.admit(req)
}

func (s *sim) drawWork() Work {
	x := s.rnd.Float64()
	for _, w := range s.Work {
		if x -= w.Part; x < 0 {
			return w
		}
	}
	return s.Work[len(s.Work)-1]
}

func (s *sim) isMeasured(req *simRequest) bool { return req.request.Arrived.Sub(s.start) >= s.Warmup }

// admit mirrors the gate: a request takes a free slot at once if the queue is empty, and is
// queued otherwise.
func (s *sim) admit(req *simRequest) {
	if s.Queue.Len() == 0 {
		if id, ok := s.Picker.Pick(s.now, req.avoidInstance); ok {
			s.startAttempt(req, id)
			return
		}
	}
	s.Queue.SetSlots(s.Picker.Slots(s.now))
	s.waiting[req.request.ID] = req
	s.refuse(s.Queue.Offer(s.now, req.request))
}

func (s *sim) refuse(list []admission.Refusal) {
	for _, r := range list {
		req := s.waiting[r.ID]
		delete(s.waiting, r.ID)
		if s.onRefuse != nil {
			s.onRefuse(req)
		}
		if s.isMeasured(req) {
			s.result.Refused++
			took := s.now.Sub(req.request.Arrived)
			record(s.result.Refusals, took)
			record(s.result.RefusalsBy[r.Reason], took)
		}
	}
}

func (s *sim) dispatchQueued() {
	for s.Queue.Len() > 0 {
		id, ok := s.Picker.Pick(s.now, "")
		if !ok {
			return
		}
		r, ok, refused := s.Queue.Next(s.now)
		s.refuse(refused)
		if !ok {
			s.Picker.Done(s.now, id, pick.Sample{Result: pick.ResultNone})
			return
		}
		req := s.waiting[r.ID]
		delete(s.waiting, r.ID)
		s.startAttempt(req, id)
	}
}

// startAttempt sends a request to an endpoint and schedules the outcome.
func (s *sim) startAttempt(req *simRequest, id string) {
	b := s.backends[id]
	req.attempts++
	s.attemptTimes = append(s.attemptTimes, s.elapsed())
	if req.attempts == 1 {
		s.firstAttempts = append(s.firstAttempts, s.elapsed())
	}
	startedAt, expected := s.now, s.Queue.Estimate(req.work.Kind)
	left := max(req.request.Deadline.Sub(s.now), 0)
	took := time.Duration(s.rnd.ExpFloat64() * float64(req.work.Mean) * b.SlowdownFactor)
	req.serviceTime = took
	result, notRun := pick.ResultOK, false
	switch {
	case b.Down != nil && b.Down(s.elapsed()):
		took, result, notRun = connectionRefusedAfter, pick.ResultFailed, true
	case b.Silent != nil && b.Silent(s.elapsed()):
		took, result, notRun = b.attemptWhileSilent(left)
	case took > left && left > 0:
		took, result = left, pick.ResultTimeout
	}
	s.schedule(took, func() {
		if slotTime := s.now.Sub(startedAt); result == pick.ResultOK || slotTime > expected {
			s.Queue.Observe(req.work.Kind, slotTime)
		}
		if result == pick.ResultOK {
			s.Retry.Success(s.now)
		}
		b.mustReconnect = result == pick.ResultTimeout || b.mustReconnect && result != pick.ResultOK
		s.Picker.Done(s.now, id, pick.Sample{Result: result, Latency: s.now.Sub(startedAt), Expected: s.Queue.Estimate(req.work.Kind)})
		s.finishAttempt(req, id, result, notRun)
		s.dispatchQueued()
	})
}

// finishAttempt retries a failed attempt if the retry policy allows it, and otherwise records
// the answer.
func (s *sim) finishAttempt(req *simRequest, id string, result pick.Result, notRun bool) {
	if result != pick.ResultOK {
		wait, ok := s.Retry.Next(s.now, retry.Failure{
			NotRun: notRun, Idempotent: req.work.Idempotent, Attempts: req.attempts,
			Deadline: req.request.Deadline, Estimate: s.Queue.Estimate(req.work.Kind),
		})
		if ok {
			req.avoidInstance = id
			s.schedule(wait, func() { s.admit(req) })
			return
		}
	}
	s.recordAnswer(req, id, result)
}

func (s *sim) recordAnswer(req *simRequest, id string, result pick.Result) {
	inTime := !s.now.After(req.request.Deadline)
	if result == pick.ResultOK && inTime {
		s.inTimeBySlice[req.request.Arrived.Sub(s.start)/sliceLength]++
	}
	if !s.isMeasured(req) {
		return
	}
	took := s.now.Sub(req.request.Arrived)
	switch {
	case result != pick.ResultOK:
		s.result.Failed++
	case !inTime:
		s.result.Late++
	default:
		s.result.Useful++
		s.result.Work += req.serviceTime
		s.result.ByCaller[req.request.Caller]++
		record(s.result.Latency, took)
		record(s.result.LatencyByInstance[id], took)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue fails only for values above an hour, which no scenario reaches.
	_ = h.RecordValue(max(d.Microseconds(), 1))
}

func (s *sim) finish() Result {
	s.result.WorstAttempts = worstAttemptRatio(s.attemptTimes, s.firstAttempts)
	for i, n := range s.arrivalsBySlice {
		part := 1.0
		if n > 0 {
			part = float64(s.inTimeBySlice[i]) / float64(n)
		}
		s.result.InTimeBySlice = append(s.result.InTimeBySlice, part)
	}
	return s.result
}
