package pick

import (
	"math/rand/v2"
	"time"
)

// Limits of LeastLoaded.
const (
	// slowStartTime is how long an endpoint's share of traffic ramps up after
	// its return. A fresh process has cold caches; a full share at once would
	// make it slow and have it ejected again.
	slowStartTime = 5 * time.Second
	// slowStartFloor is the initial fraction of its slots that the endpoint
	// gets while others have free slots.
	slowStartFloor = 0.1
	// stallFactor times the pool's mean latency without any response, while
	// requests are in flight, marks an endpoint as stalled. A factor of ten
	// allows for a class of long requests.
	stallFactor = 10
	// stallFloor prevents a scheduler or garbage collector pause in a pool with
	// very fast responses from being taken for a stall.
	stallFloor = 100 * time.Millisecond
	// latencyWeight is the weight of a new sample in the moving average, so
	// that roughly the last ten samples count.
	latencyWeight = 0.2
)

// LeastLoaded draws two endpoints at random and picks the one with the lower
// load relative to its slots.
//
// Load: skewed and bursty demand from many entries, each of which sees only its
// own part. Picking the least loaded of all endpoints would make every entry
// pick the same one at once, and round robin keeps feeding a slow one. Two
// random choices avoid both and need only local counts.
type LeastLoaded struct {
	zone        string
	rnd         *rand.Rand
	states      map[string]*state
	order       []*state // the endpoints in use, in the order of the last Set
	candidates  []*state // reused by Pick to avoid allocations
	total       int
	latency     time.Duration // moving average over the pool
	initialized bool
}

// state is what the picker tracks of one endpoint.
type state struct {
	Endpoint
	present      bool
	inFlight     int
	lastProgress time.Time // last end of a request, or start of the first in flight
	slowStartAt  time.Time // zero if not in slow start
	health       health
}

// NewLeastLoaded returns a picker for an entry in zone. seed makes its choices
// reproducible.
func NewLeastLoaded(zone string, seed uint64) *LeastLoaded {
	return &LeastLoaded{
		zone:   zone,
		rnd:    rand.New(rand.NewPCG(seed, seed)),
		states: map[string]*state{},
	}
}

// Set implements Picker.
func (p *LeastLoaded) Set(now time.Time, endpoints []Endpoint) {
	for _, s := range p.states {
		s.present = false
	}
	p.order = p.order[:0]
	for _, e := range endpoints {
		p.order = append(p.order, p.add(now, e))
	}
	for id, s := range p.states {
		if !s.present && s.inFlight == 0 {
			delete(p.states, id)
		}
	}
	// Endpoints of the first route table skip the slow start: a newly started
	// entry would otherwise refuse callers for lack of slots.
	p.initialized = p.initialized || len(endpoints) > 0
}

func (p *LeastLoaded) add(now time.Time, e Endpoint) *state {
	s := p.states[e.Instance]
	if s == nil || s.BootID != e.BootID {
		fresh := &state{present: true}
		if s != nil {
			fresh.inFlight = s.inFlight
			fresh.lastProgress = s.lastProgress
		}
		if p.initialized {
			fresh.slowStartAt = now
		}
		s = fresh
		p.states[e.Instance] = s
	}
	s.Endpoint = e
	s.present = true
	return s
}

// Pick implements Picker.
func (p *LeastLoaded) Pick(now time.Time, avoid string) (string, bool) {
	p.restoreExpired(now)
	excludeStalled := p.mayExcludeStalled(now)
	// Slow start limits an endpoint only while others have free slots. After a
	// maintenance wave most of a pool is in slow start at once; limited to a
	// tenth of its slots, the pool would refuse callers that it could serve,
	// which is worse for them than a cold endpoint.
	if p.collectCandidates(now, avoid, excludeStalled, (*state).slowStartLimit) || p.collectCandidates(now, avoid, excludeStalled, (*state).slotLimit) {
		return p.reserve(now, p.lessLoadedOfTwo(now)), true
	}
	s := p.states[avoid]
	if s != nil && s.present && s.inFlight < s.slotLimit(now) && !p.stalled(now, s) {
		return p.reserve(now, s), true
	}
	return "", false
}

// collectCandidates lists the endpoints below limit and reports whether there
// are any.
func (p *LeastLoaded) collectCandidates(now time.Time, avoid string, excludeStalled bool, limit func(*state, time.Time) int) bool {
	p.candidates = p.candidates[:0]
	for _, s := range p.order {
		if s.inFlight >= limit(s, now) || s.Instance == avoid || excludeStalled && p.stalled(now, s) {
			continue
		}
		p.candidates = append(p.candidates, s)
	}
	return len(p.candidates) > 0
}

// lessLoadedOfTwo draws two of the candidates and returns the less loaded one.
func (p *LeastLoaded) lessLoadedOfTwo(now time.Time) *state {
	n := len(p.candidates)
	if n == 1 {
		return p.candidates[0]
	}
	i := p.rnd.IntN(n)
	j := p.rnd.IntN(n - 1)
	if j >= i {
		j++
	}
	a, b := p.candidates[i], p.candidates[j]
	la, lb := p.load(now, a), p.load(now, b)
	if la == lb {
		// The entry's own zone only breaks ties: saving half a millisecond is
		// not worth one more request in an endpoint's queue.
		if b.Zone == p.zone && a.Zone != p.zone {
			return b
		}
		return a
	}
	if la < lb {
		return a
	}
	return b
}

// load returns the fraction of its slots that an endpoint would use with one
// more request. Recent failures raise it: an endpoint that fails immediately is
// always idle and would otherwise attract every request. Such an endpoint may
// still be in use because the number of ejections is bounded.
func (p *LeastLoaded) load(now time.Time, s *state) float64 {
	share := float64(s.Slots) * s.slowStartFraction(now)
	return float64(s.inFlight+1) / share * float64(1+s.health.consecutiveFailures)
}

// stalled reports whether an endpoint has not responded for long.
//
// Load: an endpoint or a zone disappears without closing its connections.
// Requests would fill its slots until the first ones reach their deadline,
// seconds later; excluding stalled endpoints limits the loss to the requests of
// the first moments. The end of any request there clears the state.
func (p *LeastLoaded) stalled(now time.Time, s *state) bool {
	if s.inFlight == 0 || p.latency == 0 {
		return false
	}
	return now.Sub(s.lastProgress) > max(stallFactor*p.latency, stallFloor)
}

// mayExcludeStalled reports whether stalled endpoints are excluded. They count
// towards the bound on ejections: if most endpoints stall, the cause lies
// elsewhere.
func (p *LeastLoaded) mayExcludeStalled(now time.Time) bool {
	n := p.ejectedCount()
	for _, s := range p.order {
		if !s.health.ejected && p.stalled(now, s) {
			n++
		}
	}
	return n <= maxEjected(len(p.order))
}

func (p *LeastLoaded) reserve(now time.Time, s *state) string {
	if s.inFlight == 0 {
		s.lastProgress = now
	}
	s.inFlight++
	p.total++
	return s.Instance
}

// Done implements Picker.
func (p *LeastLoaded) Done(now time.Time, instance string, sample Sample) {
	s := p.states[instance]
	if s == nil || s.inFlight == 0 {
		return
	}
	s.inFlight--
	p.total--
	s.lastProgress = now
	if !s.present {
		if s.inFlight == 0 {
			delete(p.states, instance)
		}
		return
	}
	if sample.Result == ResultOK {
		p.latency = movingAverage(p.latency, sample.Latency)
	}
	s.health.record(sample)
	p.ejectIfOutlier(now, s)
}

// InFlight implements Picker.
func (p *LeastLoaded) InFlight(instance string) int {
	if s := p.states[instance]; s != nil {
		return s.inFlight
	}
	return 0
}

// EachInFlight implements Picker.
func (p *LeastLoaded) EachInFlight(f func(string, int)) {
	if p.total == 0 {
		return
	}
	for id, s := range p.states {
		if s.inFlight > 0 {
			f(id, s.inFlight)
		}
	}
}

// Total implements Picker.
func (p *LeastLoaded) Total() int { return p.total }

// Slots implements Picker.
func (p *LeastLoaded) Slots(now time.Time) int {
	p.restoreExpired(now)
	n := 0
	for _, s := range p.order {
		n += s.slotLimit(now)
	}
	return n
}

// slotLimit returns how many requests may be in flight to s.
func (s *state) slotLimit(time.Time) int {
	if s.health.ejected {
		return 0
	}
	return max(0, s.Slots)
}

// slowStartLimit returns how many requests may be in flight to s while other
// endpoints have free slots: slotLimit, reduced during slow start.
func (s *state) slowStartLimit(now time.Time) int {
	full := s.slotLimit(now)
	if full == 0 {
		return 0
	}
	return max(1, int(float64(full)*s.slowStartFraction(now)))
}

// slowStartFraction returns the fraction of its slots that an endpoint gets
// during slow start, and 1 otherwise.
func (s *state) slowStartFraction(now time.Time) float64 {
	if s.slowStartAt.IsZero() {
		return 1
	}
	part := float64(now.Sub(s.slowStartAt)) / float64(slowStartTime)
	if part >= 1 {
		s.slowStartAt = time.Time{}
		return 1
	}
	return max(part, slowStartFloor)
}

func movingAverage(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(latencyWeight*float64(sample-old))
}
