package load

import (
	"fmt"
	"io"
	"time"
)

// Start and end of the outage in the loss scenarios.
const (
	outageStart = 10 * time.Second
	outageEnd   = 20 * time.Second
)

func duringOutage(at time.Duration) bool { return at >= outageStart && at < outageEnd }

// outage makes some endpoints unavailable for ten seconds, at 0.6 times the capacity.
// Silent endpoints accept requests and never answer; the others refuse connections.
type outage struct {
	name    string
	affects func(b *Backend) bool
	silent  bool
}

var outages = []outage{
	{"one endpoint refuses connections", func(b *Backend) bool { return b.Instance == "w00" }, false},
	{"one endpoint goes silent", func(b *Backend) bool { return b.Instance == "w00" }, true},
	{"one zone of four refuses connections", func(b *Backend) bool { return b.Zone == "0" }, false},
	{"one zone of four goes silent", func(b *Backend) bool { return b.Zone == "0" }, true},
}

func (l outage) scenario(product bool) Scenario {
	sc := newScenario(product, plainWork(), callers(20, 0.6*capacity)...)
	for i := range sc.Backends {
		b := &sc.Backends[i]
		if !l.affects(b) {
			continue
		}
		if l.silent {
			b.Silent = duringOutage
		} else {
			b.Down = duringOutage
		}
	}
	return sc
}

// Loss measures attempts and useful answers while an endpoint or a zone is unavailable.
func Loss(w io.Writer) error {
	t := newTable("Endpoints lost from 10 s to 20 s, 0.6 x capacity (baseline: round robin, FIFO, up to two fixed retries)",
		"loss", "decisions", "attempts / requests, worst second", "useful / offered", "not answered", "recovery")
	for _, l := range outages {
		for _, product := range bothVariants {
			r := Run(l.scenario(product))
			t.row(l.name, variantName(product), fmt.Sprintf("%.3f", r.WorstAttempts),
				percent2(float64(r.Useful)/float64(r.Offered)), r.Offered-r.Useful, recoveryTime(r))
		}
	}
	return t.write(w)
}

// recoveryTime returns the time from the start of the outage after which every slice until
// its end has at least 99% of its requests answered in time.
func recoveryTime(r Result) string {
	last := time.Duration(-1)
	for i, part := range r.InTimeBySlice {
		at := time.Duration(i) * sliceLength
		if duringOutage(at) && part < 0.99 {
			last = at + sliceLength - outageStart
		}
	}
	switch {
	case last < 0:
		return "at once"
	case last >= outageEnd-outageStart:
		return "not before the return"
	}
	return fmt.Sprintf("%.2f s", last.Seconds())
}
