// Package load sends callers' requests to entry nodes and compares the outcomes with the history
// of runs that the simulated endpoints recorded. From Options it reports requests that were
// answered but did not run, idempotency keys that ran more than once, and requests that were
// refused as not run but did run. The command cyclamen-standin and the test harness call it.
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

// Options describe the load. A run ends after Count requests or after Duration, whichever is set
// and comes first.
type Options struct {
	// Entries are base URLs; each request goes to a random one, as with a load balancer.
	Entries []string
	// Targets, if set, returns the entries to choose from at the time of a request, like a load
	// balancer that follows readiness checks. Entries is used while it returns none.
	Targets  func() []string
	Services []string
	// Rate is in requests per second; 0 sends as fast as Concurrency allows.
	Rate float64
	// Concurrency limits the requests in flight.
	Concurrency int
	Count       int
	Duration    time.Duration
	// PostShare is the share of requests that are POSTs with an idempotency key.
	PostShare float64
	// RepeatShare is the share of keyed POSTs that are sent a second time under the same key,
	// like a retry after a lost answer.
	RepeatShare float64
	// PlainPostShare is the share of the other requests that are POSTs without a key: neither
	// the caller nor its HTTP library retries those.
	PlainPostShare float64
	WorkMillis     int64
	Timeout        time.Duration
	// ControlURL is the stand-in's control API; if empty, outcomes are not checked against the
	// history.
	ControlURL string
	Seed       uint64
}

// OptionError reports an invalid option.
type OptionError struct {
	Option string
	Detail string
}

func (e *OptionError) Error() string { return fmt.Sprintf("load option %s: %s", e.Option, e.Detail) }

// setDefaults fills in defaults and validates the options.
func (o *Options) setDefaults() error {
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

// driver holds the state of one run.
type driver struct {
	opts   Options
	client *http.Client
	rng    *rand.Rand
	runID  string

	mu       sync.Mutex
	outcomes []Outcome
}

// Run sends the requests, checks the outcomes and summarises them. The error is a failure of the
// run itself; lost and doubled requests are in the summary.
func Run(ctx context.Context, opts Options) (Summary, error) {
	if err := opts.setDefaults(); err != nil {
		return Summary{}, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: opts.Concurrency, DisableCompression: true}
	defer transport.CloseIdleConnections()
	d := &driver{opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 0)), runID: uuid.NewString(),
		client: &http.Client{Transport: transport, Timeout: opts.Timeout,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
	from, err := d.nextRunNumber(ctx)
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

// drive sends requests until the run is over, then waits for those in flight, also if ctx ends,
// so that every outcome is known.
func (d *driver) drive(ctx context.Context) {
	if d.opts.Duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.opts.Duration)
		defer cancel()
	}
	limiter := rate.NewLimiter(rate.Inf, 1)
	if d.opts.Rate > 0 {
		limiter = rate.NewLimiter(rate.Limit(d.opts.Rate), 1)
	}
	slots := make(chan struct{}, d.opts.Concurrency)
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; d.opts.Count <= 0 || n < d.opts.Count; n++ {
		if limiter.Wait(ctx) != nil {
			return
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		plan := d.plan(n)
		wg.Go(func() {
			defer func() { <-slots }()
			d.perform(plan)
		})
	}
}

// request is one planned request; attempts is 2 if it is repeated.
type request struct {
	n        int
	entries  [2]string
	attempts int
	service  string
	post     bool // a POST with an idempotency key
	plain    bool // a POST without a key
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

// nextRunNumber is the history number of the first run that this load can cause.
func (d *driver) nextRunNumber(ctx context.Context) (int, error) {
	if d.opts.ControlURL == "" {
		return 1, nil
	}
	control := standin.NewControlClient(d.opts.ControlURL)
	defer control.Close()
	total, err := control.HistoryTotal(ctx)
	return total + 1, err
}
