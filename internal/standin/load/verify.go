package load

import (
	"context"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cyclamenwheel/internal/standin"
)

const historyPollInterval = 50 * time.Millisecond

// maxExamples limits the request ids listed per finding.
const maxExamples = 10

// Latency histogram's range and precision.
const (
	minLatencyMicros = 1
	maxLatencyMicros = int64(time.Hour / time.Microsecond)
	latencyDigits    = 3
)

// Latency is in milliseconds and covers answered requests.
type Latency struct {
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// Finding counts one kind of failed check, with some of the requests.
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
	// Resent requests were sent more than once by the callers' HTTP library because a connection
	// closed before the answer, even if they were answered in the end.
	Resent int `json:"resent"`
	// Verified reports that the outcomes were compared with the history.
	Verified bool `json:"verified"`
	// HistoryRuns is the number of runs of this load in the history.
	HistoryRuns int `json:"history_runs"`
	// HistoryDropped is the number of runs missing from the history: the check is then
	// incomplete.
	HistoryDropped int `json:"history_dropped"`
	// Broken requests got no complete answer. This alone is not a failed check.
	Broken Finding `json:"broken"`
	// Lost requests were answered but have no completed run.
	Lost Finding `json:"lost"`
	// Doubled are the idempotency keys that ran more than once.
	Doubled Finding `json:"doubled"`
	// FalseNo requests were refused as not run but did run.
	FalseNo Finding `json:"false_no"`
	// WrongAnswers belonged to another request.
	WrongAnswers Finding `json:"wrong_answers"`
}

// OK reports whether all checks passed. A run without any answer has checked nothing and does
// not pass.
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
			// Latencies are within the range: the timeout is shorter.
			_ = hist.RecordValue(o.Latency.Microseconds())
		case Wrong:
			sum.WrongAnswers.add(o.RequestID + ": " + o.Detail)
		case Broken:
			// The text contains ports, so each would be a separate entry in Details.
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

// verify compares the outcomes with the runs on the endpoints.
func (d *driver) verify(ctx context.Context, from int, sum *Summary) error {
	control := standin.NewControlClient(d.opts.ControlURL)
	defer control.Close()
	hist, err := d.awaitHistory(context.WithoutCancel(ctx), control, from)
	if err != nil {
		return err
	}
	sum.Verified = true
	sum.HistoryDropped = hist.Dropped
	compareRuns(d.outcomes, hist.Runs, sum)
	return nil
}

// awaitHistory polls the history until no run of this load is in flight, at most for one
// request's timeout. A run is recorded as ended only after its answer has been written, so that
// without the wait the last answers would count as lost.
func (d *driver) awaitHistory(ctx context.Context, control *standin.ControlClient, from int) (standin.History, error) {
	deadline := time.Now().Add(d.opts.Timeout)
	for {
		hist, err := control.History(ctx, from)
		if err != nil || !d.hasRunsInFlight(hist.Runs) || time.Now().After(deadline) {
			return hist, err
		}
		time.Sleep(historyPollInterval)
	}
}

func (d *driver) hasRunsInFlight(runs []standin.Run) bool {
	for _, r := range runs {
		if r.EndMicros == 0 && strings.HasPrefix(r.RequestID, d.runID) {
			return true
		}
	}
	return false
}

// runCount counts the runs of one request or key.
type runCount struct{ started, completed int }

func (r *runCount) add(run standin.Run) {
	r.started++
	if run.Completed {
		r.completed++
	}
}

func compareRuns(outcomes []Outcome, runs []standin.Run, sum *Summary) {
	byID, byKey := map[string]*runCount{}, map[string]*runCount{}
	for _, o := range outcomes {
		byID[o.RequestID] = &runCount{}
		if o.Key != "" {
			byKey[o.Key] = &runCount{}
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
		if r.started > 1 {
			sum.Doubled.add(key)
		}
	}
	for _, o := range outcomes {
		checkOutcome(o, byID[o.RequestID], byKey[o.Key], sum)
	}
}

func checkOutcome(o Outcome, id, key *runCount, sum *Summary) {
	switch o.Kind {
	case Answered:
		runs := id
		if key != nil {
			runs = key
		}
		if runs.completed == 0 {
			sum.Lost.add(o.RequestID)
		}
	case RefusedNo:
		if id.started > 0 && !o.Resent {
			sum.FalseNo.add(o.RequestID)
		}
	}
}
