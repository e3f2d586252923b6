package dispatch

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Outcomes of calls other than problem types.
const (
	outcomeAnswered  = "answered"
	outcomeReplayed  = "replayed"
	outcomeTruncated = "answer_cut"
)

// requestMetrics counts calls by service and outcome. The metrics are cached
// because looking one up by its formatted name costs more than counting. Labels
// come from the route table and from constants, which bounds the cache.
type requestMetrics struct {
	set   *metrics.Set
	cache sync.Map // metricKey to *callMetric
}

type metricKey struct{ service, outcome string }

type callMetric struct {
	total   *metrics.Counter
	seconds *metrics.Histogram
}

func (m *requestMetrics) observe(c *call, took time.Duration) {
	e := m.metricFor(metricKey{c.service, c.outcome})
	e.total.Inc()
	e.seconds.Update(took.Seconds())
}

func (m *requestMetrics) metricFor(k metricKey) *callMetric {
	if e, ok := m.cache.Load(k); ok {
		return e.(*callMetric)
	}
	outcome := strings.TrimPrefix(k.outcome, "urn:cyclamenwheel:problem:")
	labels := fmt.Sprintf(`{service=%q,outcome=%q}`, k.service, outcome)
	e, _ := m.cache.LoadOrStore(k, &callMetric{
		total:   m.set.GetOrCreateCounter("cyclamen_requests_total" + labels),
		seconds: m.set.GetOrCreateHistogram("cyclamen_request_seconds" + labels),
	})
	return e.(*callMetric)
}

func (m *requestMetrics) countRetry(service string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`cyclamen_retries_total{service=%q}`, service)).Inc()
}
