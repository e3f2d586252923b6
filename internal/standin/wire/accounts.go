package wire

import (
	"fmt"
	"strings"
	"time"
)

// Account is a client account in the published configuration.
type Account struct {
	Name string
	Keys []string
	// CPUMilli limits the CPU of its running tasks, in thousandths of a core; 0 means no limit.
	CPUMilli int
}

const (
	// replacedLimitGrace is how long a replaced limit still counts after the new one is
	// published.
	replacedLimitGrace = 3 * time.Second
	// limitTolerance is the share by which an account may exceed its limit, in addition to one
	// task.
	limitTolerance = 0.1
)

// pastLimit is a replaced limit of an account and the time until which it still counts.
type pastLimit struct {
	cpuMilli int
	until    time.Time
}

// SetAccounts sets the accounts that the next Publish writes. From then on the queues require
// API keys.
func (p *Platform) SetAccounts(accounts ...Account) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, a := range p.accounts {
		p.pastLimits[a.Name] = append(p.pastLimits[a.Name], pastLimit{a.CPUMilli, now.Add(replacedLimitGrace)})
	}
	p.accounts = accounts
}

// HasAccounts reports whether callers need API keys.
func (p *Platform) HasAccounts() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.accounts) > 0
}

// SetJobAccount records the account whose API key submits a job.
func (p *Platform) SetJobAccount(account, job string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.jobAccounts[job] = account
}

// tenantConfig returns the accounts in the form of the published configuration, or nil if there
// are none.
func (p *Platform) tenantConfig() []map[string]any {
	var out []map[string]any
	for _, a := range p.accounts {
		out = append(out, map[string]any{"name": a.Name, "apiKeys": a.Keys, "priority": 1, "weight": 10,
			"maxCount": map[string]int{"cpu": a.CPUMilli, "memMb": 0, "gpu": 0}})
	}
	return out
}

// checkAccountLimit records a violation if a start brings its account above its limit. If
// several limits may be in force, the highest counts.
func (p *Platform) checkAccountLimit(task string) {
	job, _, _ := strings.Cut(task, ".")
	account, hasAccount := p.jobAccounts[job]
	if !hasAccount {
		return
	}
	running := 0
	for _, e := range p.endpoints {
		for name := range e.running {
			if other, _, _ := strings.Cut(name, "."); p.jobAccounts[other] == account {
				running += taskCPU
			}
		}
	}
	allowed, now := 0, time.Now()
	for _, a := range p.accounts {
		if a.Name == account {
			allowed = a.CPUMilli
		}
	}
	for _, l := range p.pastLimits[account] {
		switch {
		case now.After(l.until):
		case l.cpuMilli == 0 || allowed == 0:
			allowed = 0
		default:
			allowed = max(allowed, l.cpuMilli)
		}
	}
	if allowed > 0 && float64(running) > (1+limitTolerance)*float64(allowed)+taskCPU {
		p.violations = append(p.violations, fmt.Sprintf("account %s has %d of %d running", account, running, allowed))
	}
}
