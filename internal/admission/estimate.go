package admission

import "time"

const (
	// estimateWeight is the weight of a new sample: about the last twenty
	// count, enough to smooth mixed work and few enough to follow a pool that
	// slows down.
	estimateWeight = 0.05
	// maxKinds bounds the memory for service times; kinds come from the
	// manifest, so the bound is met only by a fault.
	maxKinds = 4096
)

// estimates are moving averages of service times, by kind and over all.
type estimates struct {
	kinds map[string]spread
	all   time.Duration
}

// spread is a mean and the mean distance from it.
type spread struct {
	samples         int
	mean, deviation time.Duration
}

// enoughSamples make a kind known. The first to finish are the shortest: in the
// first second of a process their mean is far too low, and made healthy
// endpoints look slow as soon as longer requests finished.
const enoughSamples = 20

// deviations above the mean make an upper estimate: of exponentially
// distributed service times, nine in ten stay below it.
const deviations = 2

func newEstimates() estimates { return estimates{kinds: map[string]spread{}} }

func (e *estimates) observe(kind string, service time.Duration) {
	if e.all == 0 {
		e.all = service
	}
	e.all = smooth(e.all, service, estimateWeight)
	s, known := e.kinds[kind]
	if !known && len(e.kinds) >= maxKinds {
		return
	}
	s.samples++
	// A plain mean at first: one sample alone would weigh for long.
	weight := max(1/float64(s.samples), estimateWeight)
	s.deviation = smooth(s.deviation, (service - s.mean).Abs(), weight)
	s.mean = smooth(s.mean, service, weight)
	e.kinds[kind] = s
}

func (e *estimates) of(kind string) time.Duration {
	if s := e.kinds[kind]; s.samples >= enoughSamples {
		return s.mean
	}
	return 0
}

// upper is what most requests of a kind take at the most.
func (e *estimates) upper(kind string) time.Duration {
	s := e.kinds[kind]
	if s.samples < enoughSamples {
		return 0
	}
	return s.mean + deviations*s.deviation
}

func smooth(old, sample time.Duration, weight float64) time.Duration {
	return old + time.Duration(weight*float64(sample-old))
}
