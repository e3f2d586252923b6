package load

import (
	"fmt"
	"io"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cyclamenwheel/internal/admission"
)

// reasons are all reasons of refusals, in the order of the table's rows.
var reasons = []admission.Reason{admission.ReasonFull, admission.ReasonDisplaced, admission.ReasonTooLate}

func newRefusals() map[admission.Reason]*hdrhistogram.Histogram {
	out := map[admission.Reason]*hdrhistogram.Histogram{}
	for _, reason := range reasons {
		out[reason] = newHistogram()
	}
	return out
}

// RefusalTimes splits the time until a refusal by its reason: one that is
// decided at arrival takes none, the others have waited first.
func RefusalTimes(w io.Writer) error {
	t := newTable("Time until a refusal, by reason",
		"scenario", "reason", "refused", "p50", "p99", "most")
	for _, c := range refusing() {
		r := Run(c.scenario)
		for _, reason := range reasons {
			h := r.RefusalsBy[reason]
			if h.TotalCount() > 0 {
				t.row(c.name, reason, h.TotalCount(), millis(h.ValueAtQuantile(50)), millis(h.ValueAtQuantile(99)), millis(h.Max()))
			}
		}
	}
	return t.write(w)
}

type named struct {
	name     string
	scenario Scenario
}

// refusing are the scenarios in which the product refuses requests.
func refusing() []named {
	var out []named
	for _, factor := range []float64{1.1, 1.2, 2, 5} {
		out = append(out,
			named{fmt.Sprintf("plain, %g x", factor), scenario(true, plain(), callers(20, factor*capacity)...)},
			named{fmt.Sprintf("mixed, %g x", factor), scenario(true, mixed(), callers(20, factor*capacity)...)})
	}
	return append(out,
		named{"greedy caller", greedy(true)},
		named{"bursts", scenario(true, plain(), burst(20)...)})
}
