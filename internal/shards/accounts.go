package shards

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenwheel/internal/executor"
)

// mostAccountLabels bounds the values of the label account: a deployment may have ten
// thousand accounts. Those seen later share otherAccounts.
const (
	mostAccountLabels = 200
	otherAccounts     = "other"
)

// accountLabels are the accounts that have a value of their own.
type accountLabels struct {
	mu    sync.Mutex
	known map[string]bool
}

// of returns the label of an account.
func (l *accountLabels) of(account string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.known[account] && len(l.known) >= mostAccountLabels {
		return otherAccounts
	}
	if l.known == nil {
		l.known = map[string]bool{}
	}
	l.known[account] = true
	return account
}

// labels are those of this process.
var labels accountLabels

// countAccount counts what concerns a client account.
func countAccount(e executor.Event) {
	if e.Account == "" {
		return
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("cyclamen_account_events_total{event=%q,account=%q,reason=%q}", e.Kind, labels.of(e.Account), e.Reason)).Inc()
}
