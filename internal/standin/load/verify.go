package load

import (
	"context"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cyclamenwheel/internal/standin"
)

// settlePoll is the time between looks at the history.
const settlePoll = 50 * time.Millisecond

// maxExamples bounds the ids listed per fault.
const maxExamples = 10

// Latency histogram's range and precision.
const (
	minLatencyMicros = 1
	maxLatencyMicros = int64(time.Hour / time.Microsecond)
	latencyDigits    = 3
)

// Latency is in milliseconds, over answered requests.
type Latency struct {
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// Finding is one kind of broken promise: how often, and some of the requests.
type Finding struct {
	Count    int      `json:"count"`
	Examples []string `json:"examples,omitempty"`
}

func (f *Finding) add(id string) {
	f.Count++
	if len(f.Examples) < maxExamples {
		f.Examples = append(f.Examples, id)
	}
}

// Summary is the result of a run.
type Summary struct {
	Sent          int            `json:"sent"`
	Seconds       float64        `json:"seconds"`
	RatePerSecond float64        `json:"rate_per_second"`
	Outcomes      map[Kind]int   `json:"outcomes"`
	Details       map[string]int `json:"details,omitempty"`
	Latency       Latency        `json:"latency"`
	// Resent requests were sent more than once by the callers' HTTP library:
	// a connection closed under them, though they were answered in the end.
	Resent int `json:"resent"`
	// Verified tells that the history was compared.
	Verified bool `json:"verified"`
	// HistoryRuns is how many runs of this load the endpoints saw.
	HistoryRuns int `json:"history_runs"`
	// HistoryDropped runs were not kept: the check is then incomplete.
	HistoryDropped int `json:"history_dropped"`
	// Broken requests got no whole answer. This alone breaks no promise.
	Broken Finding `json:"broken"`
	// Lost requests were answered but did not run to their end.
	Lost Finding `json:"lost"`
	// Doubled keys ran more than once.
	Doubled Finding `json:"doubled"`
	// FalseNo requests were refused as not run and did run.
	FalseNo Finding `json:"false_no"`
	// WrongAnswers were of another request.
	WrongAnswers Finding `json:"wrong_answers"`
}

// OK reports whether every promise was kept, as far as it was checked. A run
// in which nothing was answered has checked nothing and does not pass.
func (s Summary) OK() bool {
	return s.Outcomes[Answered] > 0 && s.Lost.Count+s.Doubled.Count+s.FalseNo.Count+s.WrongAnswers.Count+s.HistoryDropped == 0
}

func summarize(outcomes []Outcome, took time.Duration) Summary {
	sum := Summary{Sent: len(outcomes), Seconds: took.Seconds(), Outcomes: map[Kind]int{}, Details: map[string]int{}}
	if took > 0 {
		sum.RatePerSecond = float64(len(outcomes)) / took.Seconds()
	}
	hist := hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
	for _, o := range outcomes {
		sum.Outcomes[o.Kind]++
		if o.Resent {
			sum.Resent++
		}
		switch o.Kind {
		case Answered:
			// A latency beyond the range cannot be: the timeout is shorter.
			_ = hist.RecordValue(o.Latency.Microseconds())
		case Wrong:
			sum.WrongAnswers.add(o.RequestID + ": " + o.Detail)
		case Broken:
			// The text names ports: as a detail it would be new each time.
			sum.Broken.add(o.RequestID + ": " + o.Detail)
		default:
			sum.Details[string(o.Kind)+": "+o.Detail]++
		}
	}
	const microsPerMilli = 1000
	sum.Latency = Latency{P50: float64(hist.ValueAtQuantile(50)) / microsPerMilli,
		P99: float64(hist.ValueAtQuantile(99)) / microsPerMilli, Max: float64(hist.Max()) / microsPerMilli}
	return sum
}

// verify compares the outcomes with what the endpoints ran.
func (d *driver) verify(ctx context.Context, from int, sum *Summary) error {
	control := standin.NewControlClient(d.opts.ControlURL)
	defer control.Close()
	hist, err := d.settledHistory(context.WithoutCancel(ctx), control, from)
	if err != nil {
		return err
	}
	sum.Verified = true
	sum.HistoryDropped = hist.Dropped
	compare(d.outcomes, hist.Runs, sum)
	return nil
}

// settledHistory waits until no run of this load is under way, at most for one
// request's timeout. A run is noted as ended only after its answer has been
// written, so that without waiting the last answers would count as lost.
func (d *driver) settledHistory(ctx context.Context, control *standin.ControlClient, from int) (standin.History, error) {
	deadline := time.Now().Add(d.opts.Timeout)
	for {
		hist, err := control.History(ctx, from)
		if err != nil || !d.underWay(hist.Runs) || time.Now().After(deadline) {
			return hist, err
		}
		time.Sleep(settlePoll)
	}
}

func (d *driver) underWay(runs []standin.Run) bool {
	for _, r := range runs {
		if r.EndMicros == 0 && strings.HasPrefix(r.RequestID, d.runID) {
			return true
		}
	}
	return false
}

// ran counts the runs of one request or key.
type ran struct{ begun, completed int }

func (r *ran) add(run standin.Run) {
	r.begun++
	if run.Completed {
		r.completed++
	}
}

func compare(outcomes []Outcome, runs []standin.Run, sum *Summary) {
	byID, byKey := map[string]*ran{}, map[string]*ran{}
	for _, o := range outcomes {
		byID[o.RequestID] = &ran{}
		if o.Key != "" {
			byKey[o.Key] = &ran{}
		}
	}
	for _, run := range runs {
		id, key := byID[run.RequestID], byKey[run.IdempotencyKey]
		if id != nil {
			id.add(run)
		}
		if key != nil {
			key.add(run)
		}
		if id != nil || key != nil {
			sum.HistoryRuns++
		}
	}
	for key, r := range byKey {
		if r.begun > 1 {
			sum.Doubled.add(key)
		}
	}
	for _, o := range outcomes {
		check(o, byID[o.RequestID], byKey[o.Key], sum)
	}
}

func check(o Outcome, id, key *ran, sum *Summary) {
	switch o.Kind {
	case Answered:
		of := id
		if key != nil {
			of = key
		}
		if of.completed == 0 {
			sum.Lost.add(o.RequestID)
		}
	case RefusedNo:
		if id.begun > 0 && !o.Resent {
			sum.FalseNo.add(o.RequestID)
		}
	}
}
