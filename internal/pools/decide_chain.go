package pools

import "slices"

// link is how a pool was reached in the search for a chain: from gives an
// instance to the pool that was reached before.
type link struct {
	taker    int
	instance int
}

// fillByChain fills a pool that no free instance may join, by way of others: a
// pool gives it an instance that both selectors allow, and takes another for
// itself. The shortest chain is taken, as each link is one more move.
//
// Load: selectors that overlap, such as one pool bound to a zone and another
// that takes any instance. Harm prevented: the bound pool stays short although
// the fleet has spares. Limit: once no chain is found from a pool, none can
// arise in this round, neither for it nor for the pools that the search
// reached, so each pool is searched in vain at the most once.
func (p *plan) fillByChain(pool, until int) {
	for p.pools[pool].need > until && !p.pools[pool].chainless {
		p.chain(pool)
	}
}

func (p *plan) chain(pool int) {
	reached := map[int]link{pool: {taker: noPool}}
	queue := []int{pool}
	for len(queue) > 0 {
		q := queue[0]
		queue = queue[1:]
		if g := p.bestGroup(q, false); g != nil {
			p.applyChain(pool, q, g, reached)
			return
		}
		for giver, instance := range p.givers(q) {
			if _, seen := reached[giver]; !seen && instance >= 0 {
				reached[giver] = link{taker: q, instance: instance}
				queue = append(queue, giver)
			}
		}
	}
	for q := range reached {
		p.pools[q].chainless = true
	}
}

// givers finds for each pool an instance that it could give to taker: one that
// this round planned for it, which costs nothing, before one that it has.
func (p *plan) givers(taker int) []int {
	found := make([]int, len(p.pools))
	for i := range found {
		found[i] = -1
	}
	for i, inst := range p.instances {
		d := p.dest[i]
		if d == noPool || d == taker || inst.Phase != PhaseServing || !p.allows(taker, i) {
			continue
		}
		if p.listedAt[i] != noPool || p.misplaced[i] && d == p.home[i] {
			continue
		}
		planned := d != p.home[i]
		if found[d] < 0 || planned && p.dest[found[d]] == p.home[found[d]] {
			found[d] = i
		}
	}
	return found
}

// applyChain gives the free instance to the last pool of the chain and hands
// one instance on at every link.
func (p *plan) applyChain(pool, last int, g *group, reached map[int]link) {
	reason := MoveMakeRoom
	if last == pool {
		reason = p.fillReason(g, false)
	}
	p.take(g, last, reason)
	if last == pool {
		return
	}
	// The last pool gave one and got one, as did every one between.
	p.pools[last].need++
	p.pools[last].good--
	for at := last; at != pool; at = reached[at].taker {
		l := reached[at]
		p.drop(l.instance)
		p.assign(l.instance, l.taker, MovePoolShort)
	}
	p.gain(pool)
}

// drop takes an instance out of its group, where it may still be offered.
func (p *plan) drop(instance int) {
	for _, zones := range p.groups {
		for _, g := range zones[p.zoneOf[instance]] {
			if at := slices.Index(g.members, instance); at >= 0 {
				g.members = slices.Delete(g.members, at, at+1)
				return
			}
		}
	}
}
