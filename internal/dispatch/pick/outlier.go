package pick

import (
	"slices"
	"time"
)

// Limits of outlier ejection.
const (
	// failuresToEject is how many consecutive attempts must fail. Under
	// overload one in ten requests may time out for lack of remaining time;
	// five in a row happen by chance once in a hundred thousand.
	failuresToEject = 5
	// slowRatio times the median slowness of the other endpoints marks an
	// outlier. The mean of minSlowSamples exponential service times exceeds
	// three times their expectation about once in a hundred million.
	slowRatio = 3.0
	// minSlowSamples is how many responses are needed to classify an endpoint
	// as slow.
	minSlowSamples = 16
	// minSlowSamplesAfterEjection applies after a return from ejection: the
	// endpoint is already suspect, and each probe costs a caller a slow
	// response.
	minSlowSamplesAfterEjection = 5
	// maxRatio bounds the effect of one response: a single very long request
	// must not make its endpoint an outlier.
	maxRatio = 10.0
	// slownessWeight is the weight of a sample once there are many. A larger
	// weight ejected healthy endpoints by chance every second under full load.
	slownessWeight = 0.05
	// ejectBase is the duration of the first ejection. It doubles with each
	// ejection up to ejectCap, so that an endpoint that stays slow costs ever
	// fewer probes, while one that stalled once returns after a second.
	ejectBase = time.Second
	ejectCap  = time.Minute
)

// maxEjected bounds ejection to half of the endpoints. If everything is slow
// (the network, a shared database), ejecting the worst endpoints would move
// their load to the others until none is left. The bound is half because one of
// three zones may hold more than a third of a pool.
func maxEjected(endpoints int) int { return endpoints / 2 }

// health summarizes an endpoint's recent attempts.
type health struct {
	consecutiveFailures int
	slowness            float64 // moving average of latency / expected latency
	samples             int     // responses since the health was last reset
	ejected             bool
	ejectedUntil        time.Time
	ejections           int // since the last full recovery
}

func (h *health) record(s Sample) {
	switch s.Result {
	case ResultFailed, ResultRefused:
		h.consecutiveFailures++
	case ResultTimeout:
		if s.attributableToEndpoint() {
			h.consecutiveFailures++
		}
	case ResultOK:
		h.consecutiveFailures = 0
		h.samples++
		h.updateSlowness(s)
	}
}

func (h *health) updateSlowness(s Sample) {
	ratio := 1.0
	if s.Expected > 0 {
		ratio = min(float64(s.Latency)/float64(s.Expected), maxRatio)
	}
	// A plain mean at first; otherwise the first sample would dominate for
	// long.
	h.slowness += max(1/float64(h.samples), slownessWeight) * (ratio - h.slowness)
}

// attributableToEndpoint reports whether a timeout is evidence against the
// endpoint. Under overload a request may be sent with little time left, and its
// timeout says nothing; counting it would eject healthy endpoints when all of
// them are needed.
func (s Sample) attributableToEndpoint() bool {
	return float64(s.Latency) >= slowRatio*float64(s.Expected)
}

// ejectIfOutlier ejects s if it is an outlier and the bound allows it.
func (p *LeastLoaded) ejectIfOutlier(now time.Time, s *state) {
	h := &s.health
	if h.ejected {
		return
	}
	if h.consecutiveFailures < failuresToEject && !p.isSlow(s) {
		p.resetEjections(now, s)
		return
	}
	if p.ejectedCount() >= maxEjected(len(p.order)) {
		return
	}
	h.ejected = true
	h.ejectedUntil = now.Add(min(ejectBase<<min(h.ejections, 16), ejectCap))
	h.ejections++
}

// resetEjections resets the ejection count once an endpoint has completed its
// slow start and given enough responses.
func (p *LeastLoaded) resetEjections(now time.Time, s *state) {
	if s.health.ejections > 0 && s.health.samples >= 4*minSlowSamples && s.slowStartFraction(now) >= 1 {
		s.health.ejections = 0
	}
}

func (p *LeastLoaded) isSlow(s *state) bool {
	need := minSlowSamples
	if s.health.ejections > 0 {
		need = minSlowSamplesAfterEjection
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

func (p *LeastLoaded) ejectedCount() int {
	n := 0
	for _, s := range p.order {
		if s.health.ejected {
			n++
		}
	}
	return n
}

// restoreExpired returns endpoints whose ejection has expired to use, in slow
// start and with their history cleared except for the ejection count.
func (p *LeastLoaded) restoreExpired(now time.Time) {
	for _, s := range p.order {
		h := &s.health
		if h.ejected && !now.Before(h.ejectedUntil) {
			*h = health{ejections: h.ejections}
			s.slowStartAt = now
		}
	}
}

// Ejected returns the instances that are currently ejected.
func (p *LeastLoaded) Ejected() []string {
	var out []string
	for _, s := range p.order {
		if s.health.ejected {
			out = append(out, s.Instance)
		}
	}
	return out
}
