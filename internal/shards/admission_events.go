package shards

import (
	"fmt"
	"strconv"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenwheel/internal/executor"
)

// The labels of admission are names from the configuration, which may change any number of times
// during the life of a process.
var admissionPools, admissionPriorities, admissionQueues boundedLabels

// countAdmissions adds outcomes of admission control to the metrics of a pool.
func countAdmissions(pool string, outcomes map[executor.AdmissionOutcome]int) {
	for o, n := range outcomes {
		priority := admissionPriorities.labelFor(strconv.Itoa(o.Priority))
		metrics.GetOrCreateCounter(fmt.Sprintf("cyclamen_admission_total{pool=%q,priority=%q,outcome=%q}", admissionPools.labelFor(pool), priority, o.Outcome)).Add(n)
	}
}

// observePrediction adds the ratio of actual to predicted time to the metric of the job's queue, if
// the event is the end of a job with a prediction.
func observePrediction(e executor.Event) {
	if e.Kind != executor.EventEnded || e.PredictedMs <= 0 {
		return
	}
	metrics.GetOrCreateHistogram(fmt.Sprintf("cyclamen_prediction_error_ratio{queue=%q}", admissionQueues.labelFor(e.Queue))).Update(float64(e.ActualMs) / float64(e.PredictedMs))
}

// admissionAttrs returns the log attributes of an event that concern admission; zero values are left
// out.
func admissionAttrs(e executor.Event) (attrs []any) {
	if e.Queue != "" {
		attrs = append(attrs, "queue", e.Queue)
	}
	for _, a := range []struct {
		name string
		ms   int64
	}{{"wait_ms", e.WaitMs}, {"slack_ms", e.SlackMs}, {"predicted_ms", e.PredictedMs}, {"actual_ms", e.ActualMs}} {
		if a.ms != 0 {
			attrs = append(attrs, a.name, a.ms)
		}
	}
	return attrs
}
