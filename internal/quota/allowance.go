package quota

import (
	"cmp"
	"slices"

	"cyclamenwheel/internal/accounts"
)

// Allowance decides what the owner of one pool may start for each account.
type Allowance struct {
	directory *accounts.Directory
	usage     map[string]*accountUsage
}

// accountUsage is an account's usage, grant and limit in one pool.
type accountUsage struct {
	amount Amount
	grant  Grant
	// limit is taken from the newest configuration that has the account; it is valid only
	// if limitKnown is set.
	limit      accounts.Limit
	limitKnown bool
}

// NewAllowance returns an Allowance that admits no starts of an account until it has
// received the account's grant.
func NewAllowance() *Allowance { return &Allowance{usage: map[string]*accountUsage{}} }

func (a *Allowance) usageOf(account string) *accountUsage {
	u := a.usage[account]
	if u == nil {
		u = &accountUsage{}
		u.updateLimit(a.directory, account)
		a.usage[account] = u
	}
	return u
}

// updateLimit copies the account's limit from the directory. An account that is no longer
// published keeps its last limit, because its jobs continue.
func (u *accountUsage) updateLimit(d *accounts.Directory, account string) {
	if published, ok := d.Account(account); ok {
		u.limit, u.limitKnown = published.Limit, true
	}
}

// SetDirectory replaces the published accounts with those of a new configuration.
func (a *Allowance) SetDirectory(d *accounts.Directory) {
	a.directory = d
	for account, u := range a.usage {
		u.updateLimit(d, account)
	}
}

// Grant applies recorded shares. A grant that is not newer than the applied one is ignored.
func (a *Allowance) Grant(grants []Grant) {
	for _, g := range grants {
		if u := a.usageOf(g.Account); g.Rev > u.grant.Rev {
			u.grant = g
		}
	}
}

// AddUsage adds an amount to the account's usage, before it may start to run.
func (a *Allowance) AddUsage(account string, amount Amount) {
	if account != "" {
		u := a.usageOf(account)
		u.amount = u.amount.Plus(amount)
	}
}

// RemoveUsage subtracts an amount from the account's usage, once it is certain that it no longer
// runs.
func (a *Allowance) RemoveUsage(account string, amount Amount) {
	if account != "" {
		u := a.usageOf(account)
		u.amount = u.amount.Minus(amount)
	}
}

// paused reports whether starts are blocked until all shares have been verified against a
// lowered limit.
func (u *accountUsage) paused() bool {
	return u.grant.Rev > 0 && u.limitKnown && !u.limit.AtLeast(u.grant.Ceiling)
}

// Fits reports whether an account may start a number of tasks that take amount in total. A
// single task may exceed the limit if nothing else of its account runs and the pool has the
// whole limit; otherwise it could never run after the limit was lowered.
func (a *Allowance) Fits(account string, amount Amount, tasks int) bool {
	if account == "" {
		return true
	}
	u := a.usageOf(account)
	switch {
	case u.grant.Rev == 0 || u.paused():
		return false
	case u.grant.Limit.Unlimited():
		return true
	case u.grant.Share == Whole && tasks == 1 && u.amount == (Amount{}):
		return true
	}
	return u.amount.Plus(amount).within(u.grant.Limit, u.grant.Share)
}

// CPU returns the pool's part of the account's CPU limit, in millicores. bounded is false if
// the account has no CPU limit or no grant in this pool.
func (a *Allowance) CPU(account string) (milli int, bounded bool) {
	u := a.usage[account]
	if account == "" || u == nil || u.grant.Rev == 0 || u.grant.Limit.CPUMilli == 0 {
		return 0, false
	}
	return int(int64(u.grant.Limit.CPUMilli) * int64(u.grant.Share) / int64(Whole)), true
}

// CanEverFit reports whether an amount is within the account's published limit. It is true
// while the limit is unknown.
func (a *Allowance) CanEverFit(account string, amount Amount) bool {
	if account == "" {
		return true
	}
	u := a.usageOf(account)
	return !u.limitKnown || amount.within(u.limit, Whole)
}

// Reports returns the reports for the holder of the shares, on the accounts that it asked
// about and on all that run or wait in this pool. wants is what is ready to start.
func (a *Allowance) Reports(asked []Grant, wants map[string]Waiting) []Report {
	reported := map[string]bool{}
	for _, g := range asked {
		reported[g.Account] = true
	}
	for account := range wants {
		reported[account] = true
	}
	for account, u := range a.usage {
		if u.amount != (Amount{}) {
			reported[account] = true
		}
	}
	var out []Report
	for account := range reported {
		u := a.usageOf(account)
		out = append(out, Report{Account: account, Rev: u.grant.Rev, Used: u.amount,
			Want: u.amount.Plus(wants[account].Sum), Least: u.amount.Plus(wants[account].Least)})
	}
	slices.SortFunc(out, func(x, y Report) int { return cmp.Compare(x.Account, y.Account) })
	return out
}

// State describes an account's usage and share in one pool, for dumps.
type State struct {
	Account string         `json:"account"`
	Used    Amount         `json:"used"`
	Limit   accounts.Limit `json:"limit"`
	// SharePercent is this pool's share of the limit.
	SharePercent float64 `json:"share_percent"`
	Rev          int64   `json:"rev"`
	Paused       bool    `json:"paused,omitempty"`
}

// States returns the state of every account that is tracked in this pool, sorted by name.
func (a *Allowance) States() []State {
	var out []State
	for account, u := range a.usage {
		out = append(out, State{Account: account, Used: u.amount, Limit: u.grant.Limit, Rev: u.grant.Rev, Paused: u.paused(),
			SharePercent: float64(u.grant.Share) * 100 / float64(Whole)})
	}
	slices.SortFunc(out, func(x, y State) int { return cmp.Compare(x.Account, y.Account) })
	return out
}
