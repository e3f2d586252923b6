package pools

import (
	"cmp"
	"slices"
)

// group is a set of instances that are alike to the plan: same place, same
// home, same accelerators. Choosing among groups instead of instances keeps a
// round linear in the racks for each place that is filled.
type group struct {
	zone, rack int
	home       int
	misplaced  bool
	members    []int
}

type groupKey struct {
	rack, home, accelerators int
	misplaced                bool
}

// planNeeds fills every pool that is short, those that lost instances first.
func (p *plan) planNeeds() {
	p.buildGroups()
	for _, pool := range p.needOrder() {
		p.fillDirect(pool)
	}
	for _, pool := range p.needOrder() {
		p.fillByChain(pool)
	}
	for i := range p.pools {
		if v := &p.pools[i]; v.need > 0 {
			p.addShortfall(v.name, v.need, p.shortfallReason())
		}
	}
}

func (p *plan) buildGroups() {
	byKey := map[groupKey]*group{}
	p.groups = make([][]*group, p.zones)
	for i := len(p.instances) - 1; i >= 0; i-- {
		if p.held[i] {
			continue
		}
		key := groupKey{p.rackOf[i], p.home[i], p.instances[i].Accelerators, p.misplaced[i]}
		g := byKey[key]
		if g == nil {
			g = &group{zone: p.zoneOf[i], rack: p.rackOf[i], home: p.home[i], misplaced: p.misplaced[i]}
			byKey[key] = g
			p.groups[g.zone] = append(p.groups[g.zone], g)
		}
		g.members = append(g.members, i)
	}
}

// needOrder puts pools that lost instances first, those furthest below their
// budget in front; then the ones with the fewest candidates, which would
// otherwise find them taken by pools that could have used others.
func (p *plan) needOrder() []int {
	var order []int
	candidates := make([]int, len(p.pools))
	for i := range p.pools {
		if p.pools[i].need > 0 {
			order = append(order, i)
			candidates[i] = p.countCandidates(i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		va, vb := &p.pools[a], &p.pools[b]
		return cmp.Or(
			-cmp.Compare(min(va.lost, 1), min(vb.lost, 1)),
			cmp.Compare(min(va.serving-va.budget, 0), min(vb.serving-vb.budget, 0)),
			cmp.Compare(candidates[a], candidates[b]))
	})
	return order
}

func (p *plan) countCandidates(pool int) int {
	n := 0
	for _, groups := range p.groups {
		for _, g := range groups {
			if p.offers(g, pool) {
				n += len(g.members)
			}
		}
	}
	return n
}

// offers tells whether a group can give an instance to a pool without another
// pool coming up short.
func (p *plan) offers(g *group, pool int) bool {
	if len(g.members) == 0 || g.home == pool {
		return false
	}
	if g.home != noPool && !g.misplaced && p.pools[g.home].over == 0 {
		return false
	}
	return p.allows(pool, g.members[0])
}

func (p *plan) fillDirect(pool int) {
	v := &p.pools[pool]
	for v.need > 0 {
		repair := v.lost > v.repaired
		g := p.bestGroup(pool, repair)
		if g == nil {
			return
		}
		p.take(g, pool, p.fillReason(g, repair))
		if repair {
			v.repaired++
		}
	}
}

func (p *plan) fillReason(g *group, repair bool) MoveReason {
	switch {
	case repair:
		return MoveReplaceLost
	case g.home != noPool:
		return MovePoolOver
	}
	return MovePoolShort
}

// take gives the group's next instance to a pool that is short.
func (p *plan) take(g *group, pool int, reason MoveReason) {
	i := g.members[len(g.members)-1]
	g.members = g.members[:len(g.members)-1]
	if g.home != noPool && !g.misplaced {
		p.pools[g.home].over--
	}
	p.assign(i, pool, reason)
	p.pools[pool].need--
}

// bestGroup chooses where the next instance of a pool comes from.
//
// A repair takes a spare if there is one: it is free at once, where another
// pool's surplus must be drained first. Any other need takes surplus first,
// which has to move anyway, so that one move serves both pools. Among equals
// the zone and then the rack with the fewest instances of the pool wins, so
// that the loss of a rack or zone takes as few of a pool as can be; then the
// place that is most crowded at the source.
func (p *plan) bestGroup(pool int, repair bool) *group {
	var best *group
	for _, zone := range p.zonesByCrowding(pool) {
		for _, g := range p.groups[zone] {
			if p.offers(g, pool) && (best == nil || p.compare(g, best, pool, repair) < 0) {
				best = g
			}
		}
	}
	return best
}

func (p *plan) zonesByCrowding(pool int) []int {
	zones := make([]int, p.zones)
	for i := range zones {
		zones[i] = i
	}
	counts := p.pools[pool].zones
	slices.SortStableFunc(zones, func(a, b int) int { return cmp.Compare(counts[a], counts[b]) })
	return zones
}

func (p *plan) compare(a, b *group, pool int, repair bool) int {
	v := &p.pools[pool]
	return cmp.Or(
		cmp.Compare(sourceRank(a, repair), sourceRank(b, repair)),
		cmp.Compare(v.zones[a.zone], v.zones[b.zone]),
		cmp.Compare(v.racks[a.rack], v.racks[b.rack]),
		-cmp.Compare(p.sourceRacks(a), p.sourceRacks(b)),
		cmp.Compare(a.rack, b.rack),
		cmp.Compare(a.home, b.home))
}

func sourceRank(g *group, repair bool) int {
	if (g.home == noPool) == repair {
		return 0
	}
	return 1
}

func (p *plan) sourceRacks(g *group) int {
	if g.home == noPool {
		return p.spareRacks[g.rack]
	}
	return p.pools[g.home].racks[g.rack]
}

// shortfallReason is called once nothing more can be filled.
func (p *plan) shortfallReason() ShortfallReason {
	for _, groups := range p.groups {
		for _, g := range groups {
			if len(g.members) > 0 && (g.home == noPool || g.misplaced || p.pools[g.home].over > 0) {
				return ShortSelector
			}
		}
	}
	return ShortNoInstance
}

// planReleases takes to the spares what no pool is short of: first instances
// that their pool may not keep, then the surplus from the most crowded racks
// and zones of the pool.
func (p *plan) planReleases() {
	for _, groups := range p.groups {
		for _, g := range groups {
			for g.misplaced && g.home != noPool && len(g.members) > 0 {
				i := g.members[len(g.members)-1]
				g.members = g.members[:len(g.members)-1]
				p.assign(i, noPool, MoveReleaseToSpare)
			}
		}
	}
	for pool := range p.pools {
		for p.pools[pool].over > 0 && p.releaseOne(pool) {
			p.pools[pool].over--
		}
	}
}

func (p *plan) releaseOne(pool int) bool {
	v := &p.pools[pool]
	var best *group
	for _, groups := range p.groups {
		for _, g := range groups {
			if g.home != pool || g.misplaced || len(g.members) == 0 {
				continue
			}
			if best == nil || cmp.Or(
				-cmp.Compare(v.racks[g.rack], v.racks[best.rack]),
				-cmp.Compare(v.zones[g.zone], v.zones[best.zone])) < 0 {
				best = g
			}
		}
	}
	if best == nil {
		return false
	}
	i := best.members[len(best.members)-1]
	best.members = best.members[:len(best.members)-1]
	p.assign(i, noPool, MoveReleaseToSpare)
	return true
}
