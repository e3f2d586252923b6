// Package load drives callers' requests at entries and checks the outcomes
// against the history of what endpoints really ran: nothing that was answered
// may be missing, no idempotency key may have run twice, and what was refused
// as not run must not have run.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/time/rate"

	"cyclamenwheel/internal/standin"
)

// Defaults of Options.
const (
	DefaultConcurrency = 64
	DefaultTimeout     = 10 * time.Second
)

// Options say what to send. A run ends after Count requests or after Duration,
// whichever is set and comes first.
type Options struct {
	// Entries are base URLs; a request goes to one chosen at random, as a
	// balancer would.
	Entries []string
	// Targets, where set, returns the entries to choose from at the time of a
	// request, as a balancer does that follows their readiness. Entries is then
	// where requests go while it returns none.
	Targets  func() []string
	Services []string
	// Rate is in requests a second; 0 sends as fast as Concurrency allows.
	Rate float64
	// Concurrency bounds the requests under way.
	Concurrency int
	Count       int
	Duration    time.Duration
	// PostShare is the part of requests that are POSTs with a key.
	PostShare float64
	// RepeatShare is the part of POSTs that are sent a second time under the
	// same key, as a caller does that lost the answer.
	RepeatShare float64
	// PlainPostShare is the part of the other requests that are POSTs without
	// a key: a caller never repeats those, and neither does its HTTP library.
	PlainPostShare float64
	WorkMillis     int64
	Timeout        time.Duration
	// ControlURL is the stand-in's control API; empty checks nothing.
	ControlURL string
	Seed       uint64
}

// OptionError names the option that is wrong.
type OptionError struct {
	Option string
	Detail string
}

func (e *OptionError) Error() string { return fmt.Sprintf("load option %s: %s", e.Option, e.Detail) }

func (o *Options) complete() error {
	if o.Concurrency == 0 {
		o.Concurrency = DefaultConcurrency
	}
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	switch {
	case len(o.Entries) == 0:
		return &OptionError{Option: "entries", Detail: "none given"}
	case len(o.Services) == 0:
		return &OptionError{Option: "services", Detail: "none given"}
	case o.Count <= 0 && o.Duration <= 0:
		return &OptionError{Option: "count", Detail: "needs a count or a duration"}
	case o.Concurrency < 0 || o.Rate < 0:
		return &OptionError{Option: "rate", Detail: "negative"}
	}
	return nil
}

// driver is one run.
type driver struct {
	opts  Options
	hc    *http.Client
	rng   *rand.Rand
	runID string

	mu       sync.Mutex
	outcomes []Outcome
}

// Run sends the requests, checks the outcomes and sums them up. The error is
// of the run itself; what was lost or doubled stands in the summary.
func Run(ctx context.Context, opts Options) (Summary, error) {
	if err := opts.complete(); err != nil {
		return Summary{}, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: opts.Concurrency, DisableCompression: true}
	defer transport.CloseIdleConnections()
	d := &driver{opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 0)), runID: uuid.NewString(),
		hc: &http.Client{Transport: transport, Timeout: opts.Timeout,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
	from, err := d.historyEnd(ctx)
	if err != nil {
		return Summary{}, err
	}
	began := time.Now()
	d.drive(ctx)
	sum := summarize(d.outcomes, time.Since(began))
	if opts.ControlURL == "" {
		return sum, nil
	}
	return sum, d.verify(ctx, from, &sum)
}

// drive sends until the run is over and all requests have their outcome. Those
// under way when ctx ends are finished, so that their outcome is known.
func (d *driver) drive(ctx context.Context) {
	if d.opts.Duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.opts.Duration)
		defer cancel()
	}
	pace := rate.NewLimiter(rate.Inf, 1)
	if d.opts.Rate > 0 {
		pace = rate.NewLimiter(rate.Limit(d.opts.Rate), 1)
	}
	free := make(chan struct{}, d.opts.Concurrency)
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; d.opts.Count <= 0 || n < d.opts.Count; n++ {
		if pace.Wait(ctx) != nil {
			return
		}
		select {
		case free <- struct{}{}:
		case <-ctx.Done():
			return
		}
		plan := d.plan(n)
		wg.Go(func() {
			defer func() { <-free }()
			d.perform(plan)
		})
	}
}

// request is one planned request; attempts is 2 where it is repeated.
type request struct {
	n        int
	entries  [2]string
	attempts int
	service  string
	post     bool // with a key
	plain    bool // a POST without one
}

func (d *driver) plan(n int) request {
	r := request{n: n, attempts: 1, service: d.opts.Services[d.rng.IntN(len(d.opts.Services))]}
	for i := range r.entries {
		r.entries[i] = d.target()
	}
	r.post = d.rng.Float64() < d.opts.PostShare
	r.plain = !r.post && d.opts.PlainPostShare > 0 && d.rng.Float64() < d.opts.PlainPostShare
	if r.post && d.rng.Float64() < d.opts.RepeatShare {
		r.attempts = 2
	}
	return r
}

func (d *driver) target() string {
	from := d.opts.Entries
	if d.opts.Targets != nil {
		if ready := d.opts.Targets(); len(ready) > 0 {
			from = ready
		}
	}
	return from[d.rng.IntN(len(from))]
}

func (d *driver) perform(r request) {
	for i := range r.attempts {
		out := d.send(r, i)
		d.mu.Lock()
		d.outcomes = append(d.outcomes, out)
		d.mu.Unlock()
	}
}

// historyEnd is the number of the first run that this load can have caused.
func (d *driver) historyEnd(ctx context.Context) (int, error) {
	if d.opts.ControlURL == "" {
		return 1, nil
	}
	control := standin.NewControlClient(d.opts.ControlURL)
	defer control.Close()
	total, err := control.HistoryTotal(ctx)
	return total + 1, err
}
