package pools

import (
	"cmp"
	"slices"
)

// shareShortage lets a pool that is below its budget take from one that is
// above its own, where no free instance is left.
//
// Load: a domain is lost that the spares can't make up for. Harm prevented: one
// service refuses callers although another has instances beyond what its
// callers were promised. Limit: a pool gives no more than what it has above its
// budget, so that the shortage isn't passed on.
func (p *plan) shareShortage() {
	order := p.needOrder()
	if !slices.ContainsFunc(order, func(i int) bool { return p.pools[i].good < p.pools[i].budget }) {
		return
	}
	members := p.keptByPool()
	for _, pool := range order {
		for v := &p.pools[pool]; v.need > 0 && v.good < v.budget; {
			giver, at := p.richest(pool, members)
			if giver == noPool {
				break
			}
			instance := members[giver][at]
			members[giver] = slices.Delete(members[giver], at, at+1)
			p.drop(instance)
			p.pools[giver].good--
			p.pools[giver].need++
			p.assign(instance, pool, MoveBelowBudget)
			p.gain(pool)
		}
	}
}

// keptByPool lists the instances that each pool keeps and that could move.
func (p *plan) keptByPool() [][]int {
	members := make([][]int, len(p.pools))
	for i, d := range p.dest {
		if d != noPool && !p.held[i] && !p.misplaced[i] {
			members[d] = append(members[d], i)
		}
	}
	return members
}

// richest finds the pool that is furthest above its budget among those that
// have an instance that the pool in need may hold.
func (p *plan) richest(pool int, members [][]int) (giver, at int) {
	giver, most := noPool, 0
	for d := range p.pools {
		above := p.pools[d].good - p.pools[d].budget
		if d == pool || above <= most {
			continue
		}
		i := slices.IndexFunc(members[d], func(i int) bool { return p.allows(pool, i) })
		if i >= 0 {
			giver, at, most = d, i, above
		}
	}
	return giver, at
}

// shortfallReason is called once nothing more can be filled.
func (p *plan) shortfallReason() ShortfallReason {
	reason := ShortNoInstance
	p.each(func(g *group) bool {
		if len(g.members) > 0 && (g.home == noPool || g.misplaced || p.pools[g.home].over > 0) {
			reason = ShortSelector
			return false
		}
		return true
	})
	return reason
}

// planReleases takes to the spares what no pool is short of: first instances
// that their pool may not keep, then the surplus from the most crowded racks
// and zones of the pool.
func (p *plan) planReleases() {
	surplus := make([][]*group, len(p.pools))
	p.each(func(g *group) bool {
		for g.misplaced && len(g.members) > 0 {
			p.release(g)
		}
		if g.home != noPool && p.pools[g.home].over > 0 {
			surplus[g.home] = append(surplus[g.home], g)
		}
		return true
	})
	for pool := range p.pools {
		for v := &p.pools[pool]; v.over > 0; v.over-- {
			g := p.mostCrowded(pool, surplus[pool])
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
	p.assign(i, noPool, MoveReleaseToSpare)
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
