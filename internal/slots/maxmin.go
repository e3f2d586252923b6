package slots

import (
	"cmp"
	"slices"
)

// claimant is an entry in the division of one pool.
type claimant struct {
	name        string
	staticShare int
	demand      int
	fairShare   int // allocation by max-min fairness
}

// assignFairShares divides the total by max-min fairness: no entry gets more
// than its demand, and an entry gets less than another only if its demand is
// lower.
func assignFairShares(list []claimant) {
	total := 0
	order := make([]*claimant, len(list))
	for i := range list {
		total += list[i].staticShare
		order[i] = &list[i]
	}
	slices.SortFunc(order, func(a, b *claimant) int {
		return cmp.Or(cmp.Compare(a.demand, b.demand), cmp.Compare(a.name, b.name))
	})
	for i, c := range order {
		c.fairShare = min(c.demand, total/(len(order)-i))
		total -= c.fairShare
	}
}

// planLoans assigns the surplus of entries above their fair share to those
// below it, and returns what lender gives to each borrower. Entries with the
// same view of the demands compute the same plan, so their loans add up without
// coordination. If demands are out of date, the loans deviate slightly and are
// corrected with the next heartbeat. list must be sorted by name.
func planLoans(list []claimant, lender string) map[string]int {
	out := map[string]int{}
	need := make([]int, len(list))
	for i, c := range list {
		need[i] = max(0, c.fairShare-c.staticShare)
	}
	for _, l := range list {
		spare := max(0, l.staticShare-l.fairShare)
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
