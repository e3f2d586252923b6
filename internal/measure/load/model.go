package load

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cyclamenwheel/internal/admission"
	"cyclamenwheel/internal/dispatch/pick"
	"cyclamenwheel/internal/dispatch/retry"
)

// Work describes one kind of request.
type Work struct {
	Kind       string
	Mean       time.Duration // mean of the exponentially distributed service time
	Part       float64       // fraction of all requests
	Idempotent bool
	Timeout    time.Duration
}

// Source is an open-loop caller: it sends at a given mean rate without waiting for answers.
type Source struct {
	Name string
	// Rate returns the requests per second at a time since the start of the run.
	Rate func(at time.Duration) float64
}

// steady returns a constant rate function.
func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// Backend is a simulated endpoint.
type Backend struct {
	pick.Endpoint
	SlowdownFactor float64 // factor applied to service times
	// Down reports whether the endpoint refuses connections, Silent whether it
	// accepts requests without ever answering.
	Down, Silent func(at time.Duration) bool
	// mustReconnect is set after a timeout, until a request succeeds. While it is
	// set, an attempt opens a new connection, which fails before the request is sent.
	mustReconnect bool
}

// attemptWhileSilent returns the outcome of an attempt at a silent endpoint.
func (b *Backend) attemptWhileSilent(left time.Duration) (took time.Duration, result pick.Result, notRun bool) {
	if b.mustReconnect {
		return min(connectTimeout, left/3), pick.ResultFailed, true
	}
	return left, pick.ResultTimeout, false
}

// Scenario configures one simulation run.
type Scenario struct {
	Seed     uint64
	Length   time.Duration
	Warmup   time.Duration // requests that arrive in this time are not measured
	Work     []Work
	Sources  []Source
	Backends []Backend
	Picker   pick.Picker
	Queue    admission.Queue
	Retry    retry.Policy
}

// Result holds what callers observed after the warm-up.
type Result struct {
	// Span is the measured time.
	Span                                   time.Duration
	Offered, Useful, Late, Refused, Failed int
	// Work is the total service time of useful answers. With mixed work the number of
	// answers alone would depend on which kinds of request were drawn.
	Work time.Duration
	// ByCaller counts useful answers by caller.
	ByCaller map[string]int
	// OfferedBy counts requests by caller.
	OfferedBy map[string]int
	// Latency is the latency of useful answers, LatencyByInstance the same by
	// instance. Refusals is the time until a refusal. All are in microseconds.
	Latency, Refusals *hdrhistogram.Histogram
	LatencyByInstance map[string]*hdrhistogram.Histogram
	// RefusalsBy is the time until a refusal in microseconds, by reason.
	RefusalsBy map[admission.Reason]*hdrhistogram.Histogram
	// WorstAttempts is the highest ratio of attempts to first attempts in any second.
	WorstAttempts float64
	// InTimeBySlice is the fraction of requests answered in time, by time slice of
	// their arrival.
	InTimeBySlice []float64
}

// Times used by the simulation.
const (
	connectionRefusedAfter = 500 * time.Microsecond  // time until a connection is refused
	connectTimeout         = 1500 * time.Millisecond // timeout of a connection attempt
	queuePollInterval      = 10 * time.Millisecond   // interval of the gate's queue timer
	sliceLength            = 250 * time.Millisecond  // width of a slice of InTimeBySlice
	maxMicros              = int64(time.Hour / time.Microsecond)
	histogramDigits        = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxMicros, histogramDigits)
}

// simRequest is a simulated request.
type simRequest struct {
	request       admission.Request
	work          Work
	attempts      int
	avoidInstance string
	serviceTime   time.Duration // of the last attempt
}

// event is a callback scheduled for a point in simulated time. Events at the same time
// run in the order of seq.
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

// worstAttemptRatio returns the highest ratio of attempts to first attempts in any
// one-second window, with the window moved by queuePollInterval. Windows with fewer than
// minRequests first attempts are skipped because their ratio is not meaningful.
func worstAttemptRatio(attempts, first []time.Duration) float64 {
	const minRequests = 50
	if len(attempts) == 0 {
		return 0
	}
	out := 0.0
	for from := time.Duration(0); from <= attempts[len(attempts)-1]; from += queuePollInterval {
		attemptCount, requestCount := countInSecond(attempts, from), countInSecond(first, from)
		if requestCount >= minRequests {
			out = max(out, float64(attemptCount)/float64(requestCount))
		}
	}
	return out
}

// backends returns n endpoints with the given number of slots, assigned to zones in turn.
func backends(n, slots, zones int) []Backend {
	var out []Backend
	for i := range n {
		out = append(out, Backend{SlowdownFactor: 1, Endpoint: pick.Endpoint{
			Instance: fmt.Sprintf("w%02d", i), BootID: "1", Zone: fmt.Sprint(i % zones), Slots: slots,
		}})
	}
	return out
}
