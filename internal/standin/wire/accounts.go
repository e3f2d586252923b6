package wire

import (
	"fmt"
	"strings"
	"time"
)

// Account is a client account of the published configuration.
type Account struct {
	Name string
	Keys []string
	// CPUMilli bounds what it may have running; 0 is no limit.
	CPUMilli int
}

const (
	// applies is how long after its publication a limit that was replaced still counts.
	applies = 3 * time.Second
	// excess is how far above its limit an account may be, and a task more.
	excess = 0.1
)

// limit is what an account might have running until a time.
type limit struct {
	cpuMilli int
	until    time.Time
}

// SetAccounts is what the next configuration publishes as accounts: its queues ask for keys
// from then on.
func (p *Platform) SetAccounts(accounts ...Account) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, a := range p.accounts {
		p.limits[a.Name] = append(p.limits[a.Name], limit{a.CPUMilli, now.Add(applies)})
	}
	p.accounts = accounts
}

// HasAccounts reports whether callers need keys.
func (p *Platform) HasAccounts() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.accounts) > 0
}

// Owns notes that a job is handed in with an account's key.
func (p *Platform) Owns(account, job string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.owners[job] = account
}

// tenants are the accounts as the configuration has them; nil for none.
func (p *Platform) tenants() []map[string]any {
	var out []map[string]any
	for _, a := range p.accounts {
		out = append(out, map[string]any{"name": a.Name, "apiKeys": a.Keys, "priority": 1, "weight": 10,
			"maxCount": map[string]int{"cpu": a.CPUMilli, "memMb": 0, "gpu": 0}})
	}
	return out
}

// checkAccount notes a start that brings its account above its limit. Of the limits that
// may be in force the highest counts.
func (p *Platform) checkAccount(task string) {
	job, _, _ := strings.Cut(task, ".")
	account, known := p.owners[job]
	if !known {
		return
	}
	running := 0
	for _, e := range p.endpoints {
		for name := range e.running {
			if other, _, _ := strings.Cut(name, "."); p.owners[other] == account {
				running += taskCPU
			}
		}
	}
	most, now := 0, time.Now()
	for _, a := range p.accounts {
		if a.Name == account {
			most = a.CPUMilli
		}
	}
	for _, l := range p.limits[account] {
		switch {
		case now.After(l.until):
		case l.cpuMilli == 0 || most == 0:
			most = 0
		default:
			most = max(most, l.cpuMilli)
		}
	}
	if most > 0 && float64(running) > (1+excess)*float64(most)+taskCPU {
		p.broken = append(p.broken, fmt.Sprintf("account %s has %d of %d running", account, running, most))
	}
}
