package admission

import "time"

const (
	// estimateWeight is the weight of a new sample in the moving average: about the last
	// twenty samples count, enough to smooth mixed work and few enough to follow a pool
	// that slows down.
	estimateWeight = 0.05
	// maxKinds bounds the memory for service times. Kinds come from the manifest, so only
	// a fault can reach the bound.
	maxKinds = 4096
)

// estimates are moving averages of service times, per kind and overall.
type estimates struct {
	byKind  map[string]timeStats
	overall time.Duration
}

// timeStats holds a mean service time and the mean absolute deviation from it.
type timeStats struct {
	samples         int
	mean, deviation time.Duration
}

// minSamples is how many samples a kind needs before its estimate is used. The first
// requests to finish are the shortest: in the first second of a process their mean is far
// too low, and healthy endpoints looked slow as soon as longer requests finished.
const minSamples = 20

// upperDeviations is how many mean deviations above the mean the upper estimate lies: nine
// in ten exponentially distributed service times stay below it.
const upperDeviations = 2

func newEstimates() estimates { return estimates{byKind: map[string]timeStats{}} }

func (e *estimates) observe(kind string, service time.Duration) {
	if e.overall == 0 {
		e.overall = service
	}
	e.overall = smooth(e.overall, service, estimateWeight)
	s, known := e.byKind[kind]
	if !known && len(e.byKind) >= maxKinds {
		return
	}
	s.samples++
	// Use a plain mean at first: otherwise a single sample would dominate for long.
	weight := max(1/float64(s.samples), estimateWeight)
	s.deviation = smooth(s.deviation, (service - s.mean).Abs(), weight)
	s.mean = smooth(s.mean, service, weight)
	e.byKind[kind] = s
}

func (e *estimates) meanOf(kind string) time.Duration {
	if s := e.byKind[kind]; s.samples >= minSamples {
		return s.mean
	}
	return 0
}

// upper returns a service time that most requests of a kind do not exceed.
func (e *estimates) upper(kind string) time.Duration {
	s := e.byKind[kind]
	if s.samples < minSamples {
		return 0
	}
	return s.mean + upperDeviations*s.deviation
}

func smooth(old, sample time.Duration, weight float64) time.Duration {
	return old + time.Duration(weight*float64(sample-old))
}
