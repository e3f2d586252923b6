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
	kinds map[string]time.Duration
	all   time.Duration
}

func newEstimates() estimates { return estimates{kinds: map[string]time.Duration{}} }

func (e *estimates) observe(kind string, service time.Duration) {
	e.all = smooth(e.all, service)
	old, known := e.kinds[kind]
	if known || len(e.kinds) < maxKinds {
		e.kinds[kind] = smooth(old, service)
	}
}

func (e *estimates) of(kind string) time.Duration { return e.kinds[kind] }

func smooth(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(estimateWeight*float64(sample-old))
}
