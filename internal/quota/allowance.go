package quota

import (
	"cmp"
	"slices"

	"cyclamenwheel/internal/accounts"
)

// Allowance is what one pool's owner may start for each account.
type Allowance struct {
	directory *accounts.Directory
	uses      map[string]*use
}

// use is an account's part of one pool.
type use struct {
	amount Amount
	grant  Grant
	// limit is the account's by the newest configuration that has it, once known.
	limit accounts.Limit
	known bool
}

// NewAllowance returns an allowance that lets no account start anything until it knows
// its share.
func NewAllowance() *Allowance { return &Allowance{uses: map[string]*use{}} }

func (a *Allowance) use(account string) *use {
	u := a.uses[account]
	if u == nil {
		u = &use{}
		u.learn(a.directory, account)
		a.uses[account] = u
	}
	return u
}

// learn takes in the account's limit. An account that is no longer published keeps its
// last one: its jobs go on.
func (u *use) learn(d *accounts.Directory, account string) {
	if published, ok := d.Account(account); ok {
		u.limit, u.known = published.Limit, true
	}
}

// SetDirectory takes in a new configuration's accounts.
func (a *Allowance) SetDirectory(d *accounts.Directory) {
	a.directory = d
	for account, u := range a.uses {
		u.learn(d, account)
	}
}

// Grant takes in shares. One that is older than what is known changes nothing.
func (a *Allowance) Grant(grants []Grant) {
	for _, g := range grants {
		if u := a.use(g.Account); g.Rev > u.grant.Rev {
			u.grant = g
		}
	}
}

// Take counts an amount that may run from now on, and Give one that surely does no more.
func (a *Allowance) Take(account string, amount Amount) {
	if account != "" {
		u := a.use(account)
		u.amount = u.amount.Plus(amount)
	}
}

// Give is the inverse of Take.
func (a *Allowance) Give(account string, amount Amount) {
	if account != "" {
		u := a.use(account)
		u.amount = u.amount.Minus(amount)
	}
}

// paused reports whether starts wait until all shares are checked for a lower limit.
func (u *use) paused() bool {
	return u.grant.Rev > 0 && u.known && !u.limit.AtLeast(u.grant.Ceiling)
}

// Fits reports whether an account may start tasks that take amount in all. One task may
// exceed the limit where nothing else of its account runs: with less than that, it
// would never run after the limit was lowered.
func (a *Allowance) Fits(account string, amount Amount, tasks int) bool {
	if account == "" {
		return true
	}
	u := a.use(account)
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

// CPU is how much of an account's processor limit the pool has, in milli-cores. It is not
// bounded where the account has none.
func (a *Allowance) CPU(account string) (milli int, bounded bool) {
	u := a.uses[account]
	if account == "" || u == nil || u.grant.Rev == 0 || u.grant.Limit.CPUMilli == 0 {
		return 0, false
	}
	return int(int64(u.grant.Limit.CPUMilli) * int64(u.grant.Share) / int64(Whole)), true
}

// CanEverFit reports whether an amount is within the account's whole limit.
func (a *Allowance) CanEverFit(account string, amount Amount) bool {
	if account == "" {
		return true
	}
	u := a.use(account)
	return !u.known || amount.within(u.limit, Whole)
}

// Reports returns what the holder of the shares is told: of the accounts it asks about
// and of all that have or want something here. wants is what could start at once.
func (a *Allowance) Reports(asked []Grant, wants map[string]Waiting) []Report {
	about := map[string]bool{}
	for _, g := range asked {
		about[g.Account] = true
	}
	for account := range wants {
		about[account] = true
	}
	for account, u := range a.uses {
		if u.amount != (Amount{}) {
			about[account] = true
		}
	}
	var out []Report
	for account := range about {
		u := a.use(account)
		out = append(out, Report{Account: account, Rev: u.grant.Rev, Used: u.amount,
			Want: u.amount.Plus(wants[account].Sum), Least: u.amount.Plus(wants[account].Least)})
	}
	slices.SortFunc(out, func(x, y Report) int { return cmp.Compare(x.Account, y.Account) })
	return out
}

// State is an account's part of a pool, for people.
type State struct {
	Account string         `json:"account"`
	Used    Amount         `json:"used"`
	Limit   accounts.Limit `json:"limit"`
	// SharePercent is this pool's part of the limit.
	SharePercent float64 `json:"share_percent"`
	Rev          int64   `json:"rev"`
	Paused       bool    `json:"paused,omitempty"`
}

// States returns the accounts that have used the pool, in order.
func (a *Allowance) States() []State {
	var out []State
	for account, u := range a.uses {
		out = append(out, State{Account: account, Used: u.amount, Limit: u.grant.Limit, Rev: u.grant.Rev, Paused: u.paused(),
			SharePercent: float64(u.grant.Share) * 100 / float64(Whole)})
	}
	slices.SortFunc(out, func(x, y State) int { return cmp.Compare(x.Account, y.Account) })
	return out
}
