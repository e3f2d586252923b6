package slots

import (
	"cmp"
	"slices"
)

// claimant is an entry's part in the division of one pool.
type claimant struct {
	name   string
	owned  int // static share
	wanted int
	level  int // what max-min fairness gives it
}

// fill divides the total by max-min fairness: nobody gets more than wanted,
// and nobody gets less than another but for wanting less.
func fill(list []claimant) {
	total := 0
	order := make([]*claimant, len(list))
	for i := range list {
		total += list[i].owned
		order[i] = &list[i]
	}
	slices.SortFunc(order, func(a, b *claimant) int {
		return cmp.Or(cmp.Compare(a.wanted, b.wanted), cmp.Compare(a.name, b.name))
	})
	for i, c := range order {
		c.level = min(c.wanted, total/(len(order)-i))
		total -= c.level
	}
}

// loans matches those with more than their level to those with less, and
// returns what lender gives to each borrower. All entries that know the same
// demands come to the same result, hence their loans add up without talking
// about them; where demands are out of date the loans are a little off and
// correct themselves with the next heartbeat. list is in order of names.
func loans(list []claimant, lender string) map[string]int {
	out := map[string]int{}
	need := make([]int, len(list))
	for i, c := range list {
		need[i] = max(0, c.level-c.owned)
	}
	for _, l := range list {
		spare := max(0, l.owned-l.level)
		for i := range list {
			n := min(spare, need[i])
			spare -= n
			need[i] -= n
			if l.name == lender && n > 0 {
				out[list[i].name] = n
			}
		}
	}
	return out
}
