package pick

import (
	"slices"
	"time"
)

// Limits of outlier ejection.
const (
	// failuresToEject is how many attempts in a row must fail. Under overload
	// one in ten requests may time out for lack of time left; five in a row by
	// chance are one in a hundred thousand.
	failuresToEject = 5
	// slowRatio times the median slowness of the others marks an outlier. The
	// mean of samplesToJudge exponential service times exceeds three times
	// their expectation about once in a hundred million.
	slowRatio = 3.0
	// samplesToJudge is how many answers it takes to call an endpoint slow.
	samplesToJudge = 16
	// samplesOnProbation is the same after a return from ejection: the
	// suspicion stands already, and each probe costs a caller a slow answer.
	samplesOnProbation = 5
	// maxRatio bounds what one answer counts: a single very long request must
	// not make its endpoint an outlier.
	maxRatio = 10.0
	// slownessWeight is the weight of a sample once there are many. With more,
	// chance alone ejected healthy endpoints by the second under full load.
	slownessWeight = 0.05
	// ejectBase is the time of the first ejection; it doubles each time up to
	// ejectCap, so that a slow endpoint that stays slow costs ever fewer
	// probes, while one that stalled once is back after a second.
	ejectBase = time.Second
	ejectCap  = time.Minute
)

// maxEjected bounds ejection to half of the endpoints. Harm prevented: when
// everything is slow (the network, a shared database), ejecting what looks
// worst moves its load to the rest until nothing is left. Half, because a zone
// of three may hold more than a third of a pool.
func maxEjected(endpoints int) int { return endpoints / 2 }

// health is what is known of an endpoint's answers.
type health struct {
	failures int     // in a row
	slowness float64 // moving average of latency over expected latency
	samples  int     // answers since the last change of state
	ejected  bool
	until    time.Time
	ejects   int // without a full recovery in between
}

func (h *health) record(s Sample) {
	switch s.Result {
	case ResultFailed, ResultRefused:
		h.failures++
	case ResultTimeout:
		if s.blamesEndpoint() {
			h.failures++
		}
	case ResultOK:
		h.failures = 0
		h.samples++
		h.observe(s)
	}
}

func (h *health) observe(s Sample) {
	ratio := 1.0
	if s.Expected > 0 {
		ratio = min(float64(s.Latency)/float64(s.Expected), maxRatio)
	}
	// A plain mean at first: the first sample alone would weigh for long.
	h.slowness += max(1/float64(h.samples), slownessWeight) * (ratio - h.slowness)
}

// blamesEndpoint tells whether a timeout speaks against the endpoint. Under
// overload a request may be sent with little time left; that it was not
// answered in that time says nothing, and counting it would eject healthy
// endpoints just when all of them are needed.
func (s Sample) blamesEndpoint() bool {
	return float64(s.Latency) >= slowRatio*float64(s.Expected)
}

// judge ejects s if it is an outlier and the bound allows it.
func (p *LeastLoaded) judge(now time.Time, s *state) {
	h := &s.health
	if h.ejected {
		return
	}
	if h.failures < failuresToEject && !p.slow(s) {
		p.recover(now, s)
		return
	}
	if p.ejected() >= maxEjected(len(p.order)) {
		return
	}
	h.ejected = true
	h.until = now.Add(min(ejectBase<<min(h.ejects, 16), ejectCap))
	h.ejects++
}

// recover forgets earlier ejections once an endpoint has got through its slow
// start and answered enough.
func (p *LeastLoaded) recover(now time.Time, s *state) {
	if s.health.ejects > 0 && s.health.samples >= 4*samplesToJudge && s.ramp(now) >= 1 {
		s.health.ejects = 0
	}
}

func (p *LeastLoaded) slow(s *state) bool {
	need := samplesToJudge
	if s.health.ejects > 0 {
		need = samplesOnProbation
	}
	if s.health.samples < need {
		return false
	}
	var others []float64
	for _, o := range p.order {
		if o != s && o.health.samples > 0 {
			others = append(others, o.health.slowness)
		}
	}
	if len(others) == 0 {
		return false
	}
	slices.Sort(others)
	return s.health.slowness > slowRatio*others[len(others)/2]
}

func (p *LeastLoaded) ejected() int {
	n := 0
	for _, s := range p.order {
		if s.health.ejected {
			n++
		}
	}
	return n
}

// restore brings endpoints back whose time is over, in slow start and with
// their history cleared but for the count of ejections.
func (p *LeastLoaded) restore(now time.Time) {
	for _, s := range p.order {
		h := &s.health
		if h.ejected && !now.Before(h.until) {
			*h = health{ejects: h.ejects}
			s.slowFrom = now
		}
	}
}

// Ejected returns the instances that are left out at present.
func (p *LeastLoaded) Ejected() []string {
	var out []string
	for _, s := range p.order {
		if s.health.ejected {
			out = append(out, s.Instance)
		}
	}
	return out
}
