package pools

import "cmp"

// shareShortage lets a pool that is below its budget take from one that is
// above its own, where no free instance is left.
//
// Load: a domain is lost that the spares can't make up for. Harm prevented: one
// service refuses callers although another has instances beyond what its
// callers were promised. Limit: a pool gives no more than what it has above its
// budget, so that the shortage isn't passed on.
func (p *plan) shareShortage() {
	for _, pool := range p.needOrder() {
		for v := &p.pools[pool]; v.need > 0 && v.good < v.budget; {
			giver, instance := p.richest(pool)
			if instance < 0 {
				break
			}
			p.drop(instance)
			p.pools[giver].good--
			p.pools[giver].need++
			p.assign(instance, pool, MoveBelowBudget)
			p.gain(pool)
		}
	}
}

// richest finds the pool that is furthest above its budget, and an instance of
// it that the pool in need may hold.
func (p *plan) richest(pool int) (giver, instance int) {
	giver, instance = noPool, -1
	for i := range p.instances {
		d := p.dest[i]
		if d == noPool || d == pool || p.held[i] || p.misplaced[i] || !p.allows(pool, i) {
			continue
		}
		above := p.pools[d].good - p.pools[d].budget
		if above > 0 && (giver == noPool || above > p.pools[giver].good-p.pools[giver].budget) {
			giver, instance = d, i
		}
	}
	return giver, instance
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
