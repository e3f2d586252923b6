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

// Default limits, used where a field of Options is zero.
const (
	// DefaultMaxBody bounds a request body. Bodies are read completely before a
	// slot is taken, so that a slow sender holds no endpoint and a retry can
	// send the same bytes.
	DefaultMaxBody = 4 << 20
	// DefaultBuffer is the largest response that is read completely before its
	// first byte is sent to the caller. If such a response breaks off, the
	// request can still be retried or the failure reported as a problem. It
	// covers every response that is kept for replay.
	DefaultBuffer = 256 << 10
)

// Options configure a Handler.
type Options struct {
	// Routes returns the current table, or nil while there is none.
	Routes func() *RouteTable
	// Current reports whether the table is based on a recently read list of
	// instances. While it is not, endpoints are verified before they get work.
	// Nil means always current.
	Current func() bool
	// Claims handles requests with an idempotency key. If nil, they are
	// refused.
	Claims idempotency.Claims
	// Zone is this entry's availability zone.
	Zone string
	// Now is the clock; time.Now if nil.
	Now func() time.Time
	// Dial opens connections to endpoints; TCP if nil.
	Dial DialFunc
	// Metrics receives counters and histograms; may be nil.
	Metrics *metrics.Set
	Log     *slog.Logger
	// Seed makes the random choices reproducible.
	Seed uint64

	MaxBody int64
	Buffer  int64

	// NewPicker, NewQueue and NewRetry replace the default policies, for
	// comparison with a baseline.
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
