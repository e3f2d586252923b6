package admission

import (
	"cmp"
	"math"
	"slices"
	"sort"
)

// shareIndex holds sums over the accounts by their level, which is their work per unit of weight.
type shareIndex struct {
	accounts []*accountWork // lowest level first
	levels   []float64
	// work and weight are the sums over the accounts before each position, and over all in the end.
	work, weight []float64
	limited      []*accountWork // accounts with a limit, those first that take longest within it
}

func (x *shareIndex) rebuild(accounts map[string]*accountWork) {
	clear(x.accounts)
	clear(x.limited)
	x.accounts, x.limited = x.accounts[:0], x.limited[:0]
	for _, a := range accounts {
		a.indexed, a.changed = a.work, false
		x.accounts = append(x.accounts, a)
		if !math.IsInf(a.limit, 1) {
			x.limited = append(x.limited, a)
		}
	}
	// Ties are ordered by name, so that sums round alike each time.
	slices.SortFunc(x.accounts, func(a, b *accountWork) int {
		return cmp.Or(cmp.Compare(a.work/a.weight, b.work/b.weight), cmp.Compare(a.name, b.name))
	})
	slices.SortFunc(x.limited, func(a, b *accountWork) int {
		return cmp.Or(cmp.Compare(b.work/b.limit, a.work/a.limit), cmp.Compare(a.name, b.name))
	})
	x.sum()
}

// sum computes the sums over the sorted accounts.
func (x *shareIndex) sum() {
	x.levels, x.work, x.weight = x.levels[:0], append(x.work[:0], 0), append(x.weight[:0], 0)
	work, weight := 0.0, 0.0
	for _, a := range x.accounts {
		work += a.work
		weight += a.weight
		x.levels = append(x.levels, a.work/a.weight)
		x.work, x.weight = append(x.work, work), append(x.weight, weight)
	}
}

// within returns the work of all accounts up to a level, without limits.
func (x *shareIndex) within(level float64, visits *int) float64 {
	i := sort.Search(len(x.levels), func(i int) bool {
		*visits++
		return x.levels[i] > level
	})
	return x.upTo(i, level)
}

// upTo returns the work of all accounts up to a level, of which the accounts before position i are
// below.
func (x *shareIndex) upTo(i int, level float64) float64 {
	n := len(x.levels)
	if i == n {
		return x.work[n] // level may be +Inf
	}
	return x.work[i] + level*(x.weight[n]-x.weight[i])
}

// heldBack returns how much of the work up to a level exceeds the accounts' limits for span.
func (x *shareIndex) heldBack(level, span float64, visits *int) float64 {
	sum := 0.0
	for _, a := range x.limited {
		*visits++
		if a.indexed <= a.limit*span {
			break
		}
		sum += a.within(a.indexed, level, math.Inf(1)) - a.within(a.indexed, level, span)
	}
	return sum
}
