package load

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cyclamenwheel/internal/admission"
	"cyclamenwheel/internal/dispatch/pick"
	"cyclamenwheel/internal/dispatch/retry"
)

// Work is a kind of request.
type Work struct {
	Kind    string
	Mean    time.Duration // exponentially distributed service time
	Part    float64       // of all requests
	MayRun  bool          // idempotent
	Timeout time.Duration
}

// Source is a caller that sends at a mean rate, independently of answers.
type Source struct {
	Name string
	// Rate returns requests a second at a time since the start.
	Rate func(at time.Duration) float64
}

// steady is a constant rate.
func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// Backend is an endpoint of the model.
type Backend struct {
	pick.Endpoint
	Slow float64 // factor on service times
	// Down tells whether it refuses connections, Mute whether it swallows
	// requests without any answer.
	Down, Mute func(at time.Duration) bool
	// distrusted: an earlier request was swallowed; connections are made anew
	// and fail before anything is sent.
	distrusted bool
}

// swallow is an attempt at a mute endpoint.
func (b *Backend) swallow(left time.Duration) (took time.Duration, result pick.Result, notRun bool) {
	if b.distrusted {
		return min(connectAfter, left/3), pick.ResultFailed, true
	}
	return left, pick.ResultTimeout, false
}

// Scenario is one run.
type Scenario struct {
	Seed     uint64
	Length   time.Duration
	Warmup   time.Duration // not counted
	Work     []Work
	Sources  []Source
	Backends []Backend
	Picker   pick.Picker
	Queue    admission.Queue
	Retry    retry.Policy
}

// Result is what callers saw after the warm-up.
type Result struct {
	// Span is the time counted.
	Span                                   time.Duration
	Offered, Useful, Late, Refused, Failed int
	// Work is the service time of useful answers: with mixed work, the number
	// of answers alone depends on which kinds happened to come.
	Work time.Duration
	// ByCaller counts useful answers.
	ByCaller map[string]int
	// OfferedBy counts requests.
	OfferedBy map[string]int
	// Latency of useful answers; LatencyOn the same by instance. Refusals is
	// the time until a refusal. All in microseconds.
	Latency, Refusals *hdrhistogram.Histogram
	LatencyOn         map[string]*hdrhistogram.Histogram
	// RefusalsBy is the time until a refusal by its reason, in microseconds.
	RefusalsBy map[admission.Reason]*hdrhistogram.Histogram
	// WorstAttempts is the most attempts over requests in any second.
	WorstAttempts float64
	// GoodBySlice is the part of requests answered in time, by time of
	// arrival.
	GoodBySlice []float64
}

// Model times.
const (
	refusedAfter   = 500 * time.Microsecond  // a refused connection
	connectAfter   = 1500 * time.Millisecond // a connection attempt given up
	tick           = 10 * time.Millisecond   // the gate's look at its queue
	slice          = 250 * time.Millisecond  // of GoodBySlice
	maxMicros      = int64(time.Hour / time.Microsecond)
	histogramDigit = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxMicros, histogramDigit)
}

// job is a request of the model.
type job struct {
	request  admission.Request
	work     Work
	attempts int
	avoid    string
	service  time.Duration // of the last attempt
}

// event is something that happens at a time.
type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// worst returns the most attempts over first attempts in any second, moved by
// tick. Seconds with few requests say nothing.
func worst(attempts, first []time.Duration) float64 {
	const few = 50
	if len(attempts) == 0 {
		return 0
	}
	out := 0.0
	for from := time.Duration(0); from <= attempts[len(attempts)-1]; from += tick {
		a, f := within(attempts, from), within(first, from)
		if f >= few {
			out = max(out, float64(a)/float64(f))
		}
	}
	return out
}

// backends builds n endpoints of the given slots, dealt over zones.
func backends(n, slots, zones int) []Backend {
	var out []Backend
	for i := range n {
		out = append(out, Backend{Slow: 1, Endpoint: pick.Endpoint{
			Instance: fmt.Sprintf("w%02d", i), BootID: "1", Zone: fmt.Sprint(i % zones), Slots: slots,
		}})
	}
	return out
}
