package load

import (
	"fmt"
	"io"
	"time"
)

// Times of the loss scenarios.
const (
	lostAt = 10 * time.Second
	backAt = 20 * time.Second
)

func lost(at time.Duration) bool { return at >= lostAt && at < backAt }

// loss takes endpoints away for ten seconds, at 0.6 times the capacity.
type loss struct {
	name string
	hit  func(b *Backend) bool
	mute bool
}

var losses = []loss{
	{"one endpoint refuses connections", func(b *Backend) bool { return b.Instance == "w00" }, false},
	{"one endpoint goes silent", func(b *Backend) bool { return b.Instance == "w00" }, true},
	{"one zone of four refuses connections", func(b *Backend) bool { return b.Zone == "0" }, false},
	{"one zone of four goes silent", func(b *Backend) bool { return b.Zone == "0" }, true},
}

func (l loss) scenario(product bool) Scenario {
	sc := scenario(product, plain(), callers(20, 0.6*capacity)...)
	for i := range sc.Backends {
		b := &sc.Backends[i]
		if !l.hit(b) {
			continue
		}
		if l.mute {
			b.Mute = lost
		} else {
			b.Down = lost
		}
	}
	return sc
}

// Loss takes an endpoint or a zone away and gives it back.
func Loss(w io.Writer) error {
	t := newTable("Endpoints lost from 10 s to 20 s, 0.6 x capacity (baseline: round robin, FIFO, up to two fixed retries)",
		"loss", "decisions", "attempts / requests, worst second", "useful / offered", "not answered", "recovery")
	for _, l := range losses {
		for _, product := range both {
			r := Run(l.scenario(product))
			t.row(l.name, variant(product), fmt.Sprintf("%.3f", r.WorstAttempts),
				percent2(float64(r.Useful)/float64(r.Offered)), r.Offered-r.Useful, recovery(r))
		}
	}
	return t.write(w)
}

// recovery is how long after the loss every slice of time, until the endpoints
// come back, has at least 99% of its requests answered in time.
func recovery(r Result) string {
	last := time.Duration(-1)
	for i, part := range r.GoodBySlice {
		at := time.Duration(i) * slice
		if lost(at) && part < 0.99 {
			last = at + slice - lostAt
		}
	}
	switch {
	case last < 0:
		return "at once"
	case last >= backAt-lostAt:
		return "not before the return"
	}
	return fmt.Sprintf("%.2f s", last.Seconds())
}
