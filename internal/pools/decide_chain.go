package pools

import "slices"

// chainLink records how the search for a chain reached a pool: that pool can
// give the instance to the recipient, which was reached before.
type chainLink struct {
	recipient int
	instance  int
}

// fillByChain fills a pool that no free instance may join by way of other
// pools: a pool gives it an instance that both selectors allow and receives
// another one in return. The shortest chain is used, as each link is one more
// move.
//
// Load: overlapping selectors, such as one pool restricted to a zone and
// another that accepts any instance. Without chains the restricted pool stays
// short although the fleet has spares. Once no chain is found from a pool, none
// can arise in this round, neither for it nor for the pools that the search
// reached, so each pool is searched without success at most once.
func (p *plan) fillByChain(pool, remaining int) {
	for p.pools[pool].missing > remaining && !p.pools[pool].chainExhausted {
		p.fillOneByChain(pool)
	}
}

func (p *plan) fillOneByChain(pool int) {
	reached := map[int]chainLink{pool: {recipient: noPool}}
	queue := []int{pool}
	for len(queue) > 0 {
		q := queue[0]
		queue = queue[1:]
		if g := p.bestGroup(q, false); g != nil {
			p.applyChain(pool, q, g, reached)
			return
		}
		for donor, instance := range p.donors(q) {
			if _, seen := reached[donor]; !seen && instance >= 0 {
				reached[donor] = chainLink{recipient: q, instance: instance}
				queue = append(queue, donor)
			}
		}
	}
	for q := range reached {
		p.pools[q].chainExhausted = true
	}
}

// donors returns, for each pool, an instance that it could give to the
// recipient, or -1. An instance that this round already moves to the pool is
// preferred, because redirecting it costs no further move.
func (p *plan) donors(recipient int) []int {
	found := make([]int, len(p.pools))
	for i := range found {
		found[i] = -1
	}
	for i, inst := range p.instances {
		d := p.dest[i]
		if d == noPool || d == recipient || inst.Phase != PhaseServing || !p.allows(recipient, i) {
			continue
		}
		if p.listingPool[i] != noPool || p.misplaced[i] && d == p.home[i] {
			continue
		}
		planned := d != p.home[i]
		if found[d] < 0 || planned && p.dest[found[d]] == p.home[found[d]] {
			found[d] = i
		}
	}
	return found
}

// applyChain moves the free instance to the last pool of the chain and passes
// one instance on at every link.
func (p *plan) applyChain(pool, last int, g *group, reached map[int]chainLink) {
	reason := MoveMakeRoom
	if last == pool {
		reason = p.fillReason(g, false)
	}
	p.moveFromGroup(g, last, reason)
	if last == pool {
		return
	}
	// The last pool gives one instance and gets one, as does every pool
	// between.
	p.pools[last].missing++
	p.pools[last].eligible--
	for donor := last; donor != pool; donor = reached[donor].recipient {
		link := reached[donor]
		p.removeFromGroup(link.instance)
		p.planMove(link.instance, link.recipient, MovePoolShort)
	}
	p.countArrival(pool)
}

// removeFromGroup removes an instance from its group, if the group still has
// it.
func (p *plan) removeFromGroup(instance int) {
	for _, zones := range p.groups {
		for _, g := range zones[p.zoneOf[instance]] {
			if at := slices.Index(g.members, instance); at >= 0 {
				g.members = slices.Delete(g.members, at, at+1)
				return
			}
		}
	}
}
