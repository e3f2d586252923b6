package admission

import (
	"math"
	"slices"
	"sort"
)

// maxChangedAccounts is how many accounts may differ from the index before it is rebuilt. A query
// reads each of them, so that a rebuild is spread over as many changes.
const maxChangedAccounts = 256

// roundingError is the fraction of removed work that may remain of an account by rounding.
const roundingError = 1e-9

// Shares holds the outstanding work of the accounts of one pool at one priority and answers how it
// is divided by weighted max-min fairness. It is not safe for concurrent use.
//
// Load: a pool receives more than it can run, and some accounts send many times their usual. Work of
// an account beyond its share does not delay that of an account within its share, and what an account
// leaves of its share goes to the others at once. No history is kept, so that an account is not
// penalized for a burst that is over, and a new owner of the pool divides as its predecessor did.
//
// A query reads the accounts that changed since the index was built, at most maxChangedAccounts, those
// that their limits hold back, and some 15 others of 10,000. It allocates nothing unless it rebuilds
// the index. A nil Shares has no work.
type Shares struct {
	weightOf, limitOf func(account string) float64
	accounts          map[string]*accountWork
	total             float64
	index             shareIndex
	changed           []*accountWork
	// stale is set if the index is to be rebuilt for the next query.
	stale  bool
	levels []float64 // levels of the changed accounts, for Level
	visits int       // accounts read by queries; tests bound it
}

// accountWork is the outstanding work of one account.
type accountWork struct {
	name   string
	weight float64
	// limit is the work that the account may have done per unit of time; +Inf without a limit.
	limit         float64
	work, indexed float64 // now and in the index
	changed       bool    // listed in Shares.changed
}

// NewShares returns an empty Shares. weightOf returns the weight of an account; weights that are not
// positive and finite count as 1. limitOf returns the work that an account may have done per unit of
// time, +Inf without a limit; nil means that there are no limits. Both are read when an account's work
// is first added after a Reset.
func NewShares(weightOf, limitOf func(account string) float64) *Shares {
	return &Shares{weightOf: weightOf, limitOf: limitOf, accounts: map[string]*accountWork{}, stale: true}
}

// Reset removes all work.
func (s *Shares) Reset() {
	clear(s.accounts)
	s.total = 0
	s.markStale()
}

// Add adds work to an account, or removes it if work is negative. An account without work is dropped.
func (s *Shares) Add(account string, work float64) {
	a := s.accounts[account]
	if a == nil {
		a = &accountWork{name: account, weight: s.weight(account), limit: s.limit(account)}
		s.accounts[account] = a
	}
	before := a.work
	a.work += work
	if a.work <= -work*roundingError {
		a.work = 0
		delete(s.accounts, account)
	}
	s.total += a.work - before
	if len(s.accounts) == 0 {
		s.total = 0
	}
	s.noteChange(a)
}

// Total returns the work of all accounts.
func (s *Shares) Total() float64 {
	if s == nil {
		return 0
	}
	return s.total
}

// Of returns the work of one account.
func (s *Shares) Of(account string) float64 {
	if s == nil {
		return 0
	}
	if a := s.accounts[account]; a != nil {
		return a.work
	}
	return 0
}

// WorkAhead returns the outstanding work that is done before a further piece of work of the account
// ends. Of an account with a limit, no more counts than it may have done in span units of time; +Inf
// disregards the limits.
func (s *Shares) WorkAhead(account string, work, span float64) float64 {
	if s == nil {
		return 0
	}
	own, weight := 0.0, 0.0
	if a := s.accounts[account]; a != nil {
		own, weight = a.work, a.weight
	} else {
		weight = s.weight(account)
	}
	return s.within((own+work)/weight, span)
}

// TotalWithin returns the work of all accounts. Of an account with a limit, no more counts than it may
// have done in span units of time.
func (s *Shares) TotalWithin(span float64) float64 {
	if s == nil {
		return 0
	}
	return s.within(math.Inf(1), span)
}

// within returns the work of all accounts up to a level, and up to their limits for span.
func (s *Shares) within(level, span float64) float64 {
	s.refresh()
	span = max(0, span)
	sum := s.index.within(level, &s.visits)
	if !math.IsInf(span, 1) {
		sum -= s.index.heldBack(level, span, &s.visits)
	}
	return max(0, sum+s.changedWithin(level, span))
}

// changedWithin returns by how much the accounts that changed since the index was built change the
// result of within.
func (s *Shares) changedWithin(level, span float64) float64 {
	sum := 0.0
	for _, a := range s.changed {
		s.visits++
		sum += a.within(a.work, level, span) - a.within(a.indexed, level, span)
	}
	return sum
}

// Level returns the work per unit of weight up to which every account is served when the given
// capacity of work can be done; +Inf if all of it can. Limits are disregarded.
func (s *Shares) Level(capacity float64) float64 {
	capacity = max(0, capacity)
	if s.Total() <= capacity {
		return math.Inf(1)
	}
	s.refresh()
	b := bracket{capacity: capacity, high: math.Inf(1), all: s.total}
	sort.Search(len(s.index.levels), func(i int) bool {
		s.visits++
		level := s.index.levels[i]
		return !b.fits(level, s.index.upTo(i, level)+s.changedWithin(level, math.Inf(1)))
	})
	s.levels = s.levels[:0]
	for _, a := range s.changed {
		s.levels = append(s.levels, a.work/a.weight)
	}
	slices.Sort(s.levels)
	sort.Search(len(s.levels), func(i int) bool { return !b.fits(s.levels[i], s.within(s.levels[i], math.Inf(1))) })
	return b.level()
}

// bracket holds the closest levels known of which the work up to the lower one is within a capacity
// and the work up to the higher one is not.
type bracket struct {
	capacity, low, high float64
	served, all         float64 // work up to low and up to high
}

// fits reports whether the work up to a level is within the capacity, and moves the bracket.
func (b *bracket) fits(level, work float64) bool {
	fits := work <= b.capacity
	switch {
	case fits && level > b.low:
		b.low, b.served = level, work
	case !fits && level < b.high:
		b.high, b.all = level, work
	}
	return fits
}

// level returns the level at which the capacity is used up. The bracket must not contain another
// account's level: between two levels, the work is linear.
func (b *bracket) level() float64 {
	if b.all <= b.served || math.IsInf(b.high, 1) {
		return b.low
	}
	return b.low + (b.capacity-b.served)*(b.high-b.low)/(b.all-b.served)
}

func (s *Shares) weight(account string) float64 { return Weight(s.weightOf(account)) }

func (s *Shares) limit(account string) float64 {
	if s.limitOf == nil {
		return math.Inf(1)
	}
	return s.limitOf(account)
}

// noteChange lists an account as changed since the index was built.
func (s *Shares) noteChange(a *accountWork) {
	if s.stale || a.changed {
		return
	}
	if len(s.changed) >= maxChangedAccounts {
		s.markStale()
		return
	}
	a.changed = true
	s.changed = append(s.changed, a)
}

func (s *Shares) markStale() {
	s.stale = true
	clear(s.changed) // drops the pointers
	s.changed = s.changed[:0]
}

// refresh rebuilds the index if it is stale.
func (s *Shares) refresh() {
	if !s.stale {
		return
	}
	s.stale = false
	s.index.rebuild(s.accounts)
}

// within returns the part of some work of the account up to a level, and up to its limit for span.
func (a *accountWork) within(work, level, span float64) float64 {
	work = min(work, a.weight*level)
	if math.IsInf(a.limit, 1) || math.IsInf(span, 1) {
		return work
	}
	return min(work, a.limit*span)
}

// Weight returns a configured weight, or 1 for one that is not positive and finite.
func Weight(configured float64) float64 {
	if configured > 0 && !math.IsInf(configured, 1) {
		return configured
	}
	return 1
}
