package dispatch

import (
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenwheel/internal/admission"
	"cyclamenwheel/internal/dispatch/pick"
	"cyclamenwheel/internal/dispatch/retry"
	"cyclamenwheel/internal/idempotency"
)

// Limits that apply where Options leaves them at zero.
const (
	// DefaultMaxBody bounds a request's body. Bodies are read whole before a
	// slot is taken, so that a slow sender holds no endpoint and a retry has
	// the same bytes to send.
	DefaultMaxBody = 4 << 20
	// DefaultMaxBodies bounds all bodies held together. Entries are small; a
	// burst of large uploads is refused rather than ending in a lack of
	// memory that loses every request in flight.
	DefaultMaxBodies = 256 << 20
	// DefaultBuffer is the largest answer that is read whole before its first
	// byte goes to the caller. A short answer that breaks can then still be
	// retried or told as a problem. It covers what is kept for replay.
	DefaultBuffer = 256 << 10
)

// Options configure a Handler.
type Options struct {
	// Routes returns the table in force; nil while there is none.
	Routes func() *RouteTable
	// Current reports whether the table rests on a list of instances that was
	// read lately. While it does not, endpoints are asked before they get work.
	// Nil stands for always.
	Current func() bool
	// Claims decides about requests with a key. Without it they are refused.
	Claims idempotency.Claims
	// Zone is the entry's own availability zone.
	Zone string
	// Now is the clock; time.Now if nil.
	Now func() time.Time
	// Dial opens connections to endpoints; TCP if nil.
	Dial DialFunc
	// Metrics receives counters and histograms; may be nil.
	Metrics *metrics.Set
	Log     *slog.Logger
	// Seed makes the random choices repeatable.
	Seed uint64

	MaxBody   int64
	MaxBodies int64
	Buffer    int64

	// NewPicker, NewQueue and NewRetry replace the decisions, for
	// measurements against a baseline.
	NewPicker func(seed uint64) pick.Picker
	NewQueue  func(seed uint64) admission.Queue
	NewRetry  func(seed uint64) retry.Policy
}

func (o Options) withDefaults() Options {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Current == nil {
		o.Current = func() bool { return true }
	}
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	o.MaxBody = orDefault(o.MaxBody, DefaultMaxBody)
	o.MaxBodies = orDefault(o.MaxBodies, DefaultMaxBodies)
	o.Buffer = orDefault(o.Buffer, DefaultBuffer)
	return o.withDecisions()
}

func (o Options) withDecisions() Options {
	if o.NewPicker == nil {
		zone := o.Zone
		o.NewPicker = func(seed uint64) pick.Picker { return pick.NewLeastLoaded(zone, seed) }
	}
	if o.NewQueue == nil {
		o.NewQueue = func(seed uint64) admission.Queue { return admission.NewFair(seed) }
	}
	if o.NewRetry == nil {
		o.NewRetry = func(seed uint64) retry.Policy { return retry.NewBudget(seed) }
	}
	return o
}

func orDefault(v, def int64) int64 {
	if v == 0 {
		return def
	}
	return v
}
