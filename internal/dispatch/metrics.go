package dispatch

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Outcomes of calls besides the types of problems.
const (
	outcomeAnswered = "answered"
	outcomeReplayed = "replayed"
	outcomeCut      = "answer_cut"
)

// requestMetrics counts calls by service and outcome. Looking a metric up by
// its formatted name costs more than counting, hence the cache; labels come
// from the route table and from constants, which bounds it.
type requestMetrics struct {
	set     *metrics.Set
	entries sync.Map // metricKey to *callMetric
}

type metricKey struct{ service, outcome string }

type callMetric struct {
	total   *metrics.Counter
	seconds *metrics.Histogram
}

func (m *requestMetrics) count(c *call, took time.Duration) {
	e := m.entry(metricKey{c.service, c.outcome})
	e.total.Inc()
	e.seconds.Update(took.Seconds())
}

func (m *requestMetrics) entry(k metricKey) *callMetric {
	if e, ok := m.entries.Load(k); ok {
		return e.(*callMetric)
	}
	outcome := strings.TrimPrefix(k.outcome, "urn:cyclamenwheel:problem:")
	labels := fmt.Sprintf(`{service=%q,outcome=%q}`, k.service, outcome)
	e, _ := m.entries.LoadOrStore(k, &callMetric{
		total:   m.set.GetOrCreateCounter("cyclamen_requests_total" + labels),
		seconds: m.set.GetOrCreateHistogram("cyclamen_request_seconds" + labels),
	})
	return e.(*callMetric)
}

func (m *requestMetrics) retries(service string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`cyclamen_retries_total{service=%q}`, service)).Inc()
}
