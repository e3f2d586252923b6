package shards

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenwheel/internal/executor"
)

// maxLabelValues bounds the distinct values of a metric label, such as "account": a deployment
// may have ten thousand accounts. Values beyond the bound share otherLabelValue.
const (
	maxLabelValues  = 200
	otherLabelValue = "other"
)

// boundedLabels holds the values of one metric label that are shown as they are.
type boundedLabels struct {
	mu       sync.Mutex
	assigned map[string]bool
}

// labelFor returns the label value to use for a value.
func (l *boundedLabels) labelFor(value string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.assigned[value] && len(l.assigned) >= maxLabelValues {
		return otherLabelValue
	}
	if l.assigned == nil {
		l.assigned = map[string]bool{}
	}
	l.assigned[value] = true
	return value
}

// accountLabels is shared by all pools of this process, as are the labels of admission.
var accountLabels boundedLabels

// countAccountEvent counts an event that concerns a client account.
func countAccountEvent(e executor.Event) {
	if e.Account == "" {
		return
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("cyclamen_account_events_total{event=%q,account=%q,reason=%q}", e.Kind, accountLabels.labelFor(e.Account), e.Reason)).Inc()
}
