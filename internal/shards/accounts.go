package shards

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenwheel/internal/executor"
)

// maxAccountLabels bounds the distinct values of the metric label "account": a deployment
// may have ten thousand accounts. Accounts beyond the bound share otherAccountsLabel.
const (
	maxAccountLabels   = 200
	otherAccountsLabel = "other"
)

// accountLabels holds the accounts that have a label value of their own.
type accountLabels struct {
	mu       sync.Mutex
	assigned map[string]bool
}

// labelFor returns the label value of an account.
func (l *accountLabels) labelFor(account string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.assigned[account] && len(l.assigned) >= maxAccountLabels {
		return otherAccountsLabel
	}
	if l.assigned == nil {
		l.assigned = map[string]bool{}
	}
	l.assigned[account] = true
	return account
}

// processLabels is shared by all pools of this process.
var processLabels accountLabels

// countAccountEvent counts an event that concerns a client account.
func countAccountEvent(e executor.Event) {
	if e.Account == "" {
		return
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("cyclamen_account_events_total{event=%q,account=%q,reason=%q}", e.Kind, processLabels.labelFor(e.Account), e.Reason)).Inc()
}
