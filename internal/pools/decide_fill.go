package pools

import (
	"cmp"
	"slices"
)

// group is a set of instances that are equivalent to the plan: same rack, same
// home pool, same accelerators. Choosing among groups instead of instances
// keeps the cost of each placement linear in the number of racks.
type group struct {
	zone, rack int
	home       int
	misplaced  bool
	members    []int
}

// Sources of instances, as indices of plan.groups.
const (
	fromSpares = iota
	fromPools
	sources
)

func (g *group) source() int {
	if g.home == noPool {
		return fromSpares
	}
	return fromPools
}

// eachGroup calls f for every group until f returns false.
func (p *plan) eachGroup(f func(*group) bool) {
	for _, zones := range p.groups {
		for _, groups := range zones {
			for _, g := range groups {
				if !f(g) {
					return
				}
			}
		}
	}
}

type groupKey struct {
	rack, home, accelerators int
	misplaced                bool
}

// fillShortPools fills the pools that are short in three passes: up to their
// budgets, up to their counts, and then by sharing what is still missing. In a
// fleet too small for all counts, filling one pool after the other to its count
// would leave the last ones below the budgets promised to callers.
func (p *plan) fillShortPools() {
	p.buildGroups()
	p.fill(func(v *poolPlan) int { return v.budget - v.eligible })
	p.fill(func(v *poolPlan) int { return v.missing })
	p.shareShortage()
	for i := range p.pools {
		if v := &p.pools[i]; v.missing > 0 {
			p.addShortfall(v.name, v.missing, p.shortfallReason())
		}
	}
}

// fill gives each short pool up to as many instances as toFill returns, first
// free instances and then by chains. The helpers fill a pool until only the
// given remaining number is missing.
func (p *plan) fill(toFill func(*poolPlan) int) {
	for _, pool := range p.shortPoolOrder() {
		v := &p.pools[pool]
		p.fillDirect(pool, max(0, v.missing-max(0, toFill(v))))
	}
	for _, pool := range p.shortPoolOrder() {
		v := &p.pools[pool]
		p.fillByChain(pool, max(0, v.missing-max(0, toFill(v))))
	}
}

func (p *plan) buildGroups() {
	byKey := map[groupKey]*group{}
	for source := range p.groups {
		p.groups[source] = make([][]*group, p.zones)
	}
	for i := len(p.instances) - 1; i >= 0; i-- {
		if p.fixed[i] {
			continue
		}
		key := groupKey{p.rackOf[i], p.home[i], p.instances[i].Accelerators, p.misplaced[i]}
		g := byKey[key]
		if g == nil {
			g = &group{zone: p.zoneOf[i], rack: p.rackOf[i], home: p.home[i], misplaced: p.misplaced[i]}
			byKey[key] = g
			p.groups[g.source()][g.zone] = append(p.groups[g.source()][g.zone], g)
		}
		g.members = append(g.members, i)
	}
}

// shortPoolOrder returns the pools that are short. Those that lost instances
// come first, the ones furthest below their budget in front; then those with
// the fewest candidates, which other pools with more candidates would otherwise
// use up.
func (p *plan) shortPoolOrder() []int {
	var order []int
	candidates := make([]int, len(p.pools))
	for i := range p.pools {
		if p.pools[i].missing > 0 {
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
	p.eachGroup(func(g *group) bool {
		if p.canSupply(g, pool) {
			n += len(g.members)
		}
		return true
	})
	return n
}

// canSupply reports whether a group can give an instance to a pool without
// making another pool short.
func (p *plan) canSupply(g *group, pool int) bool {
	if len(g.members) == 0 || g.home == pool {
		return false
	}
	if g.home != noPool && !g.misplaced && p.pools[g.home].surplus == 0 {
		return false
	}
	return p.allows(pool, g.members[0])
}

func (p *plan) fillDirect(pool, remaining int) {
	v := &p.pools[pool]
	for v.missing > remaining {
		repair := v.lost > v.repaired
		g := p.bestGroup(pool, repair)
		if g == nil {
			return
		}
		p.moveFromGroup(g, pool, p.fillReason(g, repair))
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

// moveFromGroup plans a move of the group's next instance to a pool that is
// short.
func (p *plan) moveFromGroup(g *group, pool int, reason MoveReason) {
	i := g.members[len(g.members)-1]
	g.members = g.members[:len(g.members)-1]
	if g.home != noPool && !g.misplaced {
		p.pools[g.home].surplus--
		p.pools[g.home].eligible--
	}
	p.planMove(i, pool, reason)
	p.countArrival(pool)
}

// countArrival counts an instance that is planned to join a pool.
func (p *plan) countArrival(pool int) {
	p.pools[pool].missing--
	p.pools[pool].eligible++
}

// bestGroup chooses the group that supplies the next instance of a pool.
//
// A repair prefers a spare, which is free at once, whereas another pool's
// surplus must be drained first. Any other shortage prefers surplus, which has
// to move anyway, so that one move serves both pools. Among equals the zone and
// then the rack with the fewest instances of the pool are preferred, so that
// the loss of a rack or zone hits as few of the pool's instances as possible;
// then the most crowded rack of the source.
func (p *plan) bestGroup(pool int, repair bool) *group {
	order := [sources]int{fromPools, fromSpares}
	if repair {
		order = [sources]int{fromSpares, fromPools}
	}
	zones := p.zonesByCrowding(pool)
	for _, source := range order {
		for _, zone := range zones {
			if g := p.bestInZone(pool, source, zone); g != nil {
				return g
			}
		}
	}
	return nil
}

func (p *plan) bestInZone(pool, source, zone int) *group {
	var best *group
	kept := p.groups[source][zone][:0]
	for _, g := range p.groups[source][zone] {
		if len(g.members) == 0 {
			continue
		}
		kept = append(kept, g)
		if p.canSupply(g, pool) && (best == nil || p.compareGroups(g, best, pool) < 0) {
			best = g
		}
	}
	p.groups[source][zone] = kept
	return best
}

// zonesByCrowding orders zones by the number of the pool's instances there.
// Among equals the zone with the most spares comes first, so that the spares
// stay spread.
func (p *plan) zonesByCrowding(pool int) []int {
	zones := make([]int, p.zones)
	for i := range zones {
		zones[i] = i
	}
	counts := p.pools[pool].zones
	slices.SortStableFunc(zones, func(a, b int) int {
		return cmp.Or(cmp.Compare(counts[a], counts[b]), -cmp.Compare(p.spareZones[a], p.spareZones[b]))
	})
	return zones
}

func (p *plan) compareGroups(a, b *group, pool int) int {
	racks := p.pools[pool].racks
	return cmp.Or(
		cmp.Compare(racks[a.rack], racks[b.rack]),
		-cmp.Compare(p.sourceRacks(a), p.sourceRacks(b)),
		cmp.Compare(a.rack, b.rack),
		cmp.Compare(a.home, b.home))
}

func (p *plan) sourceRacks(g *group) int {
	if g.home == noPool {
		return p.spareRacks[g.rack]
	}
	return p.pools[g.home].racks[g.rack]
}
