package pick

import (
	"math/rand/v2"
	"time"
)

// Limits of LeastLoaded.
const (
	// slowStartTime is how long an endpoint takes to full use after its
	// return. A fresh process has cold caches; the full share at once would
	// make it slow and have it ejected again.
	slowStartTime = 5 * time.Second
	// slowStartFloor is the part of its slots that it is given at first while
	// others have room.
	slowStartFloor = 0.1
	// stallFactor times the pool's mean latency without any answer, while
	// requests are in flight, marks an endpoint as stalled. Ten leaves room
	// for a class of long requests.
	stallFactor = 10
	// stallFloor keeps a pool of very fast answers from calling a pause of
	// the scheduler or of a garbage collection a stall.
	stallFloor = 100 * time.Millisecond
	// latencyWeight is the weight of a new sample in moving averages: about
	// the last ten count.
	latencyWeight = 0.2
)

// LeastLoaded compares two endpoints picked at random and takes the one with
// less load on its slots.
//
// Load: skewed and bursty demand from many entries, each of which sees only
// its own part. Harm prevented: the least loaded of all would send every entry
// to the same endpoint at once; round robin goes on feeding a slow one. Two
// choices avoid both, and need no more than local counts.
type LeastLoaded struct {
	zone    string
	rnd     *rand.Rand
	states  map[string]*state
	order   []*state // the endpoints in use, in the order of the last Set
	free    []*state // scratch of Pick
	total   int
	latency time.Duration // moving average over the pool
	started bool
}

// state is one endpoint's history.
type state struct {
	Endpoint
	present  bool
	flight   int
	progress time.Time // last answer, or start of the first request in flight
	slowFrom time.Time // start of the slow start; zero for none
	health   health
}

// NewLeastLoaded returns a picker for an entry in zone. seed makes its choices
// repeatable.
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
		if !s.present && s.flight == 0 {
			delete(p.states, id)
		}
	}
	// Endpoints of the very first table start at full: an entry that has just
	// started would otherwise refuse its callers for lack of slots.
	p.started = p.started || len(endpoints) > 0
}

func (p *LeastLoaded) add(now time.Time, e Endpoint) *state {
	s := p.states[e.Instance]
	if s == nil || s.BootID != e.BootID {
		fresh := &state{present: true}
		if s != nil {
			fresh.flight = s.flight
			fresh.progress = s.progress
		}
		if p.started {
			fresh.slowFrom = now
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
	p.restore(now)
	shun := p.shunStalled(now)
	// Slow start holds an endpoint back only while others have room. After a
	// maintenance wave most of a pool starts slowly at once: held to a tenth
	// of its slots, the pool would refuse callers whom it could serve, which
	// is worse for them than a cold endpoint.
	if p.collect(now, avoid, shun, (*state).eased) || p.collect(now, avoid, shun, (*state).usable) {
		return p.take(now, p.better(now)), true
	}
	s := p.states[avoid]
	if s != nil && s.present && s.flight < s.usable(now) && !p.stalled(now, s) {
		return p.take(now, s), true
	}
	return "", false
}

// collect lists the endpoints with room below limit; false if there are none.
func (p *LeastLoaded) collect(now time.Time, avoid string, shun bool, limit func(*state, time.Time) int) bool {
	p.free = p.free[:0]
	for _, s := range p.order {
		if s.flight >= limit(s, now) || s.Instance == avoid || shun && p.stalled(now, s) {
			continue
		}
		p.free = append(p.free, s)
	}
	return len(p.free) > 0
}

// better draws two of the free endpoints and returns the less loaded one.
func (p *LeastLoaded) better(now time.Time) *state {
	n := len(p.free)
	if n == 1 {
		return p.free[0]
	}
	i := p.rnd.IntN(n)
	j := p.rnd.IntN(n - 1)
	if j >= i {
		j++
	}
	a, b := p.free[i], p.free[j]
	la, lb := p.load(now, a), p.load(now, b)
	if la == lb {
		// The own zone decides only between equals: half a millisecond saved
		// is not worth one request more in an endpoint's queue.
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

// load compares endpoints: the part of its slots that a request would fill.
// Recent failures raise it, because an endpoint that fails at once is always
// idle and would otherwise draw every request (it may still be in use where
// the bound on ejections is reached).
func (p *LeastLoaded) load(now time.Time, s *state) float64 {
	share := float64(s.Slots) * s.ramp(now)
	return float64(s.flight+1) / share * float64(1+s.health.failures)
}

// stalled tells whether an endpoint has given no answer for long.
//
// Load: an endpoint or a zone vanishes without closing its connections.
// Harm prevented: requests go on filling its slots until the first ones reach
// their deadline, seconds later; with this it swallows only those of the first
// moments. Any end of a request there ends the state.
func (p *LeastLoaded) stalled(now time.Time, s *state) bool {
	if s.flight == 0 || p.latency == 0 {
		return false
	}
	return now.Sub(s.progress) > max(stallFactor*p.latency, stallFloor)
}

// shunStalled tells whether stalled endpoints are left out. They are under the
// same bound as ejections: where most endpoints stall, the cause is not theirs.
func (p *LeastLoaded) shunStalled(now time.Time) bool {
	n := p.ejected()
	for _, s := range p.order {
		if !s.health.ejected && p.stalled(now, s) {
			n++
		}
	}
	return n <= maxEjected(len(p.order))
}

func (p *LeastLoaded) take(now time.Time, s *state) string {
	if s.flight == 0 {
		s.progress = now
	}
	s.flight++
	p.total++
	return s.Instance
}

// Done implements Picker.
func (p *LeastLoaded) Done(now time.Time, instance string, sample Sample) {
	s := p.states[instance]
	if s == nil || s.flight == 0 {
		return
	}
	s.flight--
	p.total--
	s.progress = now
	if !s.present {
		if s.flight == 0 {
			delete(p.states, instance)
		}
		return
	}
	if sample.Result == ResultOK {
		p.latency = average(p.latency, sample.Latency)
	}
	s.health.record(sample)
	p.judge(now, s)
}

// InFlight implements Picker.
func (p *LeastLoaded) InFlight(instance string) int {
	if s := p.states[instance]; s != nil {
		return s.flight
	}
	return 0
}

// EachInFlight implements Picker.
func (p *LeastLoaded) EachInFlight(f func(string, int)) {
	if p.total == 0 {
		return
	}
	for id, s := range p.states {
		if s.flight > 0 {
			f(id, s.flight)
		}
	}
}

// Total implements Picker.
func (p *LeastLoaded) Total() int { return p.total }

// Slots implements Picker.
func (p *LeastLoaded) Slots(now time.Time) int {
	p.restore(now)
	n := 0
	for _, s := range p.order {
		n += s.usable(now)
	}
	return n
}

// usable is how many requests may be in flight to s.
func (s *state) usable(time.Time) int {
	if s.health.ejected {
		return 0
	}
	return max(0, s.Slots)
}

// eased is usable, less what slow start leaves to others.
func (s *state) eased(now time.Time) int {
	full := s.usable(now)
	if full == 0 {
		return 0
	}
	return max(1, int(float64(full)*s.ramp(now)))
}

// ramp is the part of its slots that an endpoint in slow start is given.
func (s *state) ramp(now time.Time) float64 {
	if s.slowFrom.IsZero() {
		return 1
	}
	part := float64(now.Sub(s.slowFrom)) / float64(slowStartTime)
	if part >= 1 {
		s.slowFrom = time.Time{}
		return 1
	}
	return max(part, slowStartFloor)
}

func average(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(latencyWeight*float64(sample-old))
}
