package admission

import (
	"math"
	"slices"
)

// Shares holds the outstanding work of the accounts of one pool at one priority and answers how it
// is divided by weighted max-min fairness.
//
// Load: a pool receives more than it can run, and some accounts send many times their usual. Work of
// an account beyond its share does not delay that of an account within its share, and what an account
// leaves of its share goes to the others at once. No history is kept, so that an account is not
// penalized for a burst that is over, and a new owner of the pool divides as its predecessor did.
type Shares struct {
	weightOf func(account string) float64
	accounts map[string]*accountWork
	total    float64
}

// accountWork is the outstanding work of one account.
type accountWork struct{ weight, work float64 }

// NewShares returns an empty Shares. weightOf returns the weight of an account; weights that are not
// positive and finite count as 1.
func NewShares(weightOf func(account string) float64) *Shares {
	return &Shares{weightOf: weightOf, accounts: map[string]*accountWork{}}
}

// Reset removes all work.
func (s *Shares) Reset() {
	clear(s.accounts)
	s.total = 0
}

// Add adds work to an account.
func (s *Shares) Add(account string, work float64) {
	a := s.accounts[account]
	if a == nil {
		a = &accountWork{weight: s.weight(account)}
		s.accounts[account] = a
	}
	a.work += work
	s.total += work
}

// Total returns the work of all accounts.
func (s *Shares) Total() float64 { return s.total }

// WorkAhead returns the outstanding work that is done before a further piece of work of the account
// ends. Of no account does more count than limit returns for it.
func (s *Shares) WorkAhead(account string, work float64, limit func(account string) float64) float64 {
	weight, own := s.weight(account), s.Of(account)
	level := (own + work) / weight
	ahead := min(own, limit(account))
	for name, a := range s.accounts {
		if name != account {
			ahead += min(a.work, a.weight*level, limit(name))
		}
	}
	return ahead
}

// Of returns the work of one account.
func (s *Shares) Of(account string) float64 {
	if a := s.accounts[account]; a != nil {
		return a.work
	}
	return 0
}

// TotalWithin returns the work of all accounts. Of no account does more count than limit returns for
// it.
func (s *Shares) TotalWithin(limit func(account string) float64) float64 {
	sum := 0.0
	for name, a := range s.accounts {
		sum += min(a.work, limit(name))
	}
	return sum
}

// Level returns the work per unit of weight up to which every account is served when the given
// capacity of work can be done; +Inf if all of it can.
func (s *Shares) Level(capacity float64) float64 {
	if s.total <= capacity {
		return math.Inf(1)
	}
	sorted := make([]*accountWork, 0, len(s.accounts))
	weights := 0.0
	for _, a := range s.accounts {
		sorted = append(sorted, a)
		weights += a.weight
	}
	slices.SortFunc(sorted, func(a, b *accountWork) int {
		if a.work/a.weight < b.work/b.weight {
			return -1
		}
		return 1
	})
	for _, a := range sorted {
		if a.work/a.weight*weights > capacity {
			break
		}
		capacity -= a.work
		weights -= a.weight
	}
	return max(0, capacity) / weights
}

func (s *Shares) weight(account string) float64 { return Weight(s.weightOf(account)) }

// Weight returns a configured weight, or 1 for one that is not positive and finite.
func Weight(configured float64) float64 {
	if configured > 0 && !math.IsInf(configured, 1) {
		return configured
	}
	return 1
}
