package shards

import (
	"bytes"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/jobs"
	"cyclamenwheel/internal/routing"
)

// refuseAndLog submits jobs to an owner until one is refused, and returns the log lines.
func refuseAndLog(t *testing.T, pool string, overloadControl bool) string {
	g := NewWithT(t)
	var out bytes.Buffer
	r := &Runner{pool: pool, epoch: 7, log: slog.New(slog.NewTextHandler(&out, nil)), limits: executor.Limits{Lease: 3 * time.Second, OverloadControl: overloadControl}}
	r.core = executor.New(pool, r.epoch, r.limits, time.Second)
	r.core.ObserveEndpoints(time.Second, []executor.EndpointInfo{{ID: "i-1", Addr: "i-1", Capacity: executor.Resources{CPUMilli: 1000, MemoryMB: 4000}}})
	for _, p := range r.core.DuePolls(time.Second) {
		r.core.PollDone(time.Second, p, executor.PollAnswered, executor.Listed{Clock: time.Second})
	}
	accepting := executor.Accepting{Queue: "q-a", Account: "a", Terms: routing.Terms{Attempts: 3, SlowdownFactor: 1.6, Slack: 600 * time.Millisecond, Priority: 2}}
	for n := range 100 {
		job := jobs.Job{ID: fmt.Sprintf("%016x", n+1), Steps: []jobs.Step{{Count: 1, CPUMilli: 1000, MemoryMB: 10, EstimateMs: 300}}}
		if verdict, _ := r.core.Submit(2*time.Second, job, accepting, 1); verdict == executor.VerdictRefused {
			r.logEvents()
			return out.String()
		}
	}
	g.Expect(out.String()).To(BeEmpty(), "no job was refused")
	return ""
}

func exposed() string {
	var out bytes.Buffer
	metrics.WritePrometheus(&out, false)
	return out.String()
}

// Guards against a refusal that operators can't trace to the figures it was based on.
func TestARefusalIsLoggedAndCountedWithItsInputs(t *testing.T) {
	g := NewWithT(t)
	log := refuseAndLog(t, "pool-refusing", true)
	g.Expect(log).To(MatchRegexp(`msg="job refused" epoch=7 job=\w+ .*reason=backlog age_ms=0 account=a queue=q-a wait_ms=\d+ slack_ms=\d+\n`))
	g.Expect(log).To(MatchRegexp(`msg="job accepted" [^\n]* age_ms=0\n`), "zero values are left out")
	g.Expect(exposed()).To(ContainSubstring(`cyclamen_admission_total{pool="pool-refusing",priority="2",outcome="refused"} 1`))
}

// Guards against new log fields and metrics where a deployment has not enabled overload control.
func TestWithoutOverloadControlLogAndMetricsStayAsTheyWere(t *testing.T) {
	g := NewWithT(t)
	g.Expect(refuseAndLog(t, "pool-without", false)).To(MatchRegexp(`msg="job refused" epoch=7 [^\n]* age_ms=0 account=a\n`))
	g.Expect(exposed()).NotTo(ContainSubstring("pool-without"))
}

// Guards against an error metric that counts jobs without a prediction, or the inverse ratio.
func TestPredictionErrorIsActualOverPredicted(t *testing.T) {
	g := NewWithT(t)
	observePrediction(executor.Event{Kind: executor.EventEnded, Queue: "q-ratio", PredictedMs: 200, ActualMs: 500})
	observePrediction(executor.Event{Kind: executor.EventEnded, Queue: "q-ratio", ActualMs: 500})
	g.Expect(exposed()).To(And(ContainSubstring(`cyclamen_prediction_error_ratio_sum{queue="q-ratio"} 2.5`),
		ContainSubstring(`cyclamen_prediction_error_ratio_count{queue="q-ratio"} 1`)))
}
