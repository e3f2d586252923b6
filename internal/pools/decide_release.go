package pools

import (
	"cmp"
	"slices"
)

// shareShortage moves instances from pools above their budget to pools below
// theirs when no free instance is left.
//
// Load: the loss of a domain that the spares can't replace. Otherwise one
// service would refuse callers although another has instances beyond its
// budget. A pool gives only what it has above its budget, so that the shortage
// isn't passed on.
func (p *plan) shareShortage() {
	order := p.shortPoolOrder()
	if !slices.ContainsFunc(order, func(i int) bool { return p.pools[i].eligible < p.pools[i].budget }) {
		return
	}
	members := p.movableByPool()
	for _, pool := range order {
		for v := &p.pools[pool]; v.missing > 0 && v.eligible < v.budget; {
			donor, at := p.findDonor(pool, members)
			if donor == noPool {
				break
			}
			instance := members[donor][at]
			members[donor] = slices.Delete(members[donor], at, at+1)
			p.removeFromGroup(instance)
			p.pools[donor].eligible--
			p.pools[donor].missing++
			p.planMove(instance, pool, MoveBelowBudget)
			p.countArrival(pool)
		}
	}
}

// movableByPool lists, by pool, the instances that the pool keeps and that may
// be moved.
func (p *plan) movableByPool() [][]int {
	members := make([][]int, len(p.pools))
	for i, d := range p.dest {
		if d != noPool && !p.fixed[i] && !p.misplaced[i] {
			members[d] = append(members[d], i)
		}
	}
	return members
}

// findDonor returns the pool that is furthest above its budget among those with
// an instance that the given pool may hold, and the index of that instance in
// its members.
func (p *plan) findDonor(pool int, members [][]int) (donor, at int) {
	donor, largestExcess := noPool, 0
	for d := range p.pools {
		above := p.pools[d].eligible - p.pools[d].budget
		if d == pool || above <= largestExcess {
			continue
		}
		i := slices.IndexFunc(members[d], func(i int) bool { return p.allows(pool, i) })
		if i >= 0 {
			donor, at, largestExcess = d, i, above
		}
	}
	return donor, at
}

// shortfallReason returns why pools are still short. It is called once no pool
// can be filled any further.
func (p *plan) shortfallReason() ShortfallReason {
	reason := ShortNoInstance
	p.eachGroup(func(g *group) bool {
		if len(g.members) > 0 && (g.home == noPool || g.misplaced || p.pools[g.home].surplus > 0) {
			reason = ShortSelector
			return false
		}
		return true
	})
	return reason
}

// planReleases moves instances that no pool needs to the spares: first those
// that their pool may not keep, then surplus from the pool's most crowded racks
// and zones.
func (p *plan) planReleases() {
	surplusGroups := make([][]*group, len(p.pools))
	p.eachGroup(func(g *group) bool {
		for g.misplaced && len(g.members) > 0 {
			p.release(g)
		}
		if g.home != noPool && p.pools[g.home].surplus > 0 {
			surplusGroups[g.home] = append(surplusGroups[g.home], g)
		}
		return true
	})
	for pool := range p.pools {
		for v := &p.pools[pool]; v.surplus > 0; v.surplus-- {
			g := p.mostCrowded(pool, surplusGroups[pool])
			if g == nil {
				break
			}
			p.release(g)
		}
	}
}

func (p *plan) release(g *group) {
	i := g.members[len(g.members)-1]
	g.members = g.members[:len(g.members)-1]
	p.planMove(i, noPool, MoveReleaseToSpare)
}

func (p *plan) mostCrowded(pool int, groups []*group) *group {
	v := &p.pools[pool]
	var best *group
	for _, g := range groups {
		if len(g.members) == 0 {
			continue
		}
		if best == nil || cmp.Or(
			-cmp.Compare(v.racks[g.rack], v.racks[best.rack]),
			-cmp.Compare(v.zones[g.zone], v.zones[best.zone])) < 0 {
			best = g
		}
	}
	return best
}
