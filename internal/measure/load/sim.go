// Package load measures the decisions under load: admission, picking, retries
// and the division of slots, each beside its baseline. Most measurements are
// discrete-event loops around the pure decisions with fixed seeds; one drives
// the real handler over loopback connections.
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

// sim is one run in progress.
type sim struct {
	Scenario
	rnd      *rand.Rand
	start    time.Time
	now      time.Time
	events   events
	seq      int
	waiting  map[uint64]*job
	nextID   uint64
	backends map[string]*Backend
	result   Result
	onRefuse func(*job)
	first    []time.Duration // times of first attempts
	attempts []time.Duration // times of all attempts
	good     []int
	all      []int
}

// Run carries a scenario out.
func Run(sc Scenario) Result {
	s := newSim(sc)
	for s.step() {
	}
	return s.finish()
}

func newSim(sc Scenario) *sim {
	s := &sim{
		Scenario: sc,
		rnd:      rand.New(rand.NewPCG(sc.Seed, sc.Seed)),
		start:    time.Unix(1_800_000_000, 0),
		waiting:  map[uint64]*job{},
		backends: map[string]*Backend{},
		good:     make([]int, sc.Length/slice+1),
		all:      make([]int, sc.Length/slice+1),
		result: Result{
			Span:     sc.Length - sc.Warmup,
			ByCaller: map[string]int{}, OfferedBy: map[string]int{},
			Latency: newHistogram(), Refusals: newHistogram(),
			LatencyOn:  map[string]*hdrhistogram.Histogram{},
			RefusalsBy: newRefusals(),
		},
	}
	s.now = s.start
	s.setUp()
	return s
}

// step runs the next event. It returns false once there is none.
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
		s.result.LatencyOn[b.Instance] = newHistogram()
		list = append(list, b.Endpoint)
	}
	s.Picker.Set(s.now, list)
	for _, src := range s.Sources {
		s.arriveNext(src)
	}
	s.after(tick, s.look)
}

func (s *sim) at() time.Duration { return s.now.Sub(s.start) }

func (s *sim) after(d time.Duration, run func()) { s.when(s.now.Add(d), run) }

func (s *sim) when(at time.Time, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: at, seq: s.seq, run: run})
}

// look is the gate's timer: slots come free by the passing of time too.
func (s *sim) look() {
	s.refuse(s.Queue.Expire(s.now))
	s.pump()
	if s.at() < s.Length {
		s.after(tick, s.look)
	}
}

// arriveNext draws the next arrival of a source.
func (s *sim) arriveNext(src Source) {
	rate := src.Rate(s.at())
	if rate <= 0 {
		rate = 1
	}
	wait := time.Duration(s.rnd.ExpFloat64() / rate * float64(time.Second))
	if s.at()+wait >= s.Length {
		return
	}
	s.after(wait, func() {
		if src.Rate(s.at()) > 0 {
			s.arrive(src.Name)
		}
		s.arriveNext(src)
	})
}

func (s *sim) arrive(caller string) {
	w := s.draw()
	s.nextID++
	j := &job{work: w, request: admission.Request{
		ID: s.nextID, Caller: caller, Kind: w.Kind, Arrived: s.now, Deadline: s.now.Add(w.Timeout),
	}}
	if s.counted(j) {
		s.result.Offered++
		s.result.OfferedBy[caller]++
	}
	s.all[s.at()/slice]++
	s.enter(j)
}

func (s *sim) draw() Work {
	x := s.rnd.Float64()
	for _, w := range s.Work {
		if x -= w.Part; x < 0 {
			return w
		}
	}
	return s.Work[len(s.Work)-1]
}

func (s *sim) counted(j *job) bool { return j.request.Arrived.Sub(s.start) >= s.Warmup }

// enter mirrors the gate: a free slot at once if nobody waits, else the queue.
func (s *sim) enter(j *job) {
	if s.Queue.Len() == 0 {
		if id, ok := s.Picker.Pick(s.now, j.avoid); ok {
			s.send(j, id)
			return
		}
	}
	s.Queue.SetSlots(s.Picker.Slots(s.now))
	s.waiting[j.request.ID] = j
	s.refuse(s.Queue.Offer(s.now, j.request))
}

func (s *sim) refuse(list []admission.Refusal) {
	for _, r := range list {
		j := s.waiting[r.ID]
		delete(s.waiting, r.ID)
		if s.onRefuse != nil {
			s.onRefuse(j)
		}
		if s.counted(j) {
			s.result.Refused++
			took := s.now.Sub(j.request.Arrived)
			record(s.result.Refusals, took)
			record(s.result.RefusalsBy[r.Reason], took)
		}
	}
}

func (s *sim) pump() {
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
		j := s.waiting[r.ID]
		delete(s.waiting, r.ID)
		s.send(j, id)
	}
}

// send makes one attempt.
func (s *sim) send(j *job, id string) {
	b := s.backends[id]
	j.attempts++
	s.attempts = append(s.attempts, s.at())
	if j.attempts == 1 {
		s.first = append(s.first, s.at())
	}
	began, expected := s.now, s.Queue.Estimate(j.work.Kind)
	left := max(j.request.Deadline.Sub(s.now), 0)
	took := time.Duration(s.rnd.ExpFloat64() * float64(j.work.Mean) * b.Slow)
	j.service = took
	result, notRun := pick.ResultOK, false
	switch {
	case b.Down != nil && b.Down(s.at()):
		took, result, notRun = refusedAfter, pick.ResultFailed, true
	case b.Mute != nil && b.Mute(s.at()):
		took, result, notRun = b.swallow(left)
	case took > left && left > 0:
		took, result = left, pick.ResultTimeout
	}
	s.after(took, func() {
		if held := s.now.Sub(began); result == pick.ResultOK || held > expected {
			s.Queue.Observe(j.work.Kind, held)
		}
		if result == pick.ResultOK {
			s.Retry.Success(s.now)
		}
		b.distrusted = result == pick.ResultTimeout || b.distrusted && result != pick.ResultOK
		s.Picker.Done(s.now, id, pick.Sample{Result: result, Latency: s.now.Sub(began), Expected: s.Queue.Estimate(j.work.Kind)})
		s.end(j, id, result, notRun)
		s.pump()
	})
}

// end tells the caller, or tries again.
func (s *sim) end(j *job, id string, result pick.Result, notRun bool) {
	if result != pick.ResultOK {
		wait, ok := s.Retry.Next(s.now, retry.Failure{
			NotRun: notRun, Idempotent: j.work.MayRun, Attempts: j.attempts,
			Deadline: j.request.Deadline, Estimate: s.Queue.Estimate(j.work.Kind),
		})
		if ok {
			j.avoid = id
			s.after(wait, func() { s.enter(j) })
			return
		}
	}
	s.tell(j, id, result)
}

func (s *sim) tell(j *job, id string, result pick.Result) {
	inTime := !s.now.After(j.request.Deadline)
	if result == pick.ResultOK && inTime {
		s.good[j.request.Arrived.Sub(s.start)/slice]++
	}
	if !s.counted(j) {
		return
	}
	took := s.now.Sub(j.request.Arrived)
	switch {
	case result != pick.ResultOK:
		s.result.Failed++
	case !inTime:
		s.result.Late++
	default:
		s.result.Useful++
		s.result.Work += j.service
		s.result.ByCaller[j.request.Caller]++
		record(s.result.Latency, took)
		record(s.result.LatencyOn[id], took)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The range covers an hour; no scenario lasts that long.
	_ = h.RecordValue(max(d.Microseconds(), 1))
}

func (s *sim) finish() Result {
	s.result.WorstAttempts = worst(s.attempts, s.first)
	for i, n := range s.all {
		part := 1.0
		if n > 0 {
			part = float64(s.good[i]) / float64(n)
		}
		s.result.GoodBySlice = append(s.result.GoodBySlice, part)
	}
	return s.result
}
