package load

import (
	"fmt"
	"io"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cyclamenwheel/internal/admission"
)

// reasons lists all refusal reasons in the order of the table's rows.
var reasons = []admission.Reason{admission.ReasonFull, admission.ReasonDisplaced, admission.ReasonTooLate}

func newRefusalHistograms() map[admission.Reason]*hdrhistogram.Histogram {
	out := map[admission.Reason]*hdrhistogram.Histogram{}
	for _, reason := range reasons {
		out[reason] = newHistogram()
	}
	return out
}

// RefusalTimes reports the time until a refusal by reason. A refusal on arrival takes no
// time; the other requests have waited in the queue first.
func RefusalTimes(w io.Writer) error {
	t := newTable("Time until a refusal, by reason",
		"scenario", "reason", "refused", "p50", "p99", "most")
	for _, c := range refusalScenarios() {
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

type namedScenario struct {
	name     string
	scenario Scenario
}

// refusalScenarios returns the scenarios in which the product refuses requests.
func refusalScenarios() []namedScenario {
	var out []namedScenario
	for _, factor := range []float64{1.1, 1.2, 2, 5} {
		out = append(out,
			namedScenario{fmt.Sprintf("plain, %g x", factor), newScenario(true, plainWork(), callers(20, factor*capacity)...)},
			namedScenario{fmt.Sprintf("mixed, %g x", factor), newScenario(true, mixedWork(), callers(20, factor*capacity)...)})
	}
	return append(out,
		namedScenario{"greedy caller", greedyScenario(true)},
		namedScenario{"bursts", newScenario(true, plainWork(), burstSources(20)...)})
}
