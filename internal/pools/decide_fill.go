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

// Sources of instances, as an index of plan.groups.
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

// each calls f for every group until it returns false.
func (p *plan) each(f func(*group) bool) {
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

// planNeeds fills every pool that is short, in three passes. Each pool first
// gets what its budget asks for and only then what its count does: where a
// fleet is too small for all counts, pools filled one by one to their count
// would leave the last ones without what callers were promised.
func (p *plan) planNeeds() {
	p.buildGroups()
	p.fill(func(v *poolView) int { return v.budget - v.good })
	p.fill(func(v *poolView) int { return v.need })
	p.shareShortage()
	for i := range p.pools {
		if v := &p.pools[i]; v.need > 0 {
			p.addShortfall(v.name, v.need, p.shortfallReason())
		}
	}
}

// fill fills pools as far as target asks for, by a free instance if there is
// one and else by a chain.
func (p *plan) fill(target func(*poolView) int) {
	for _, pool := range p.needOrder() {
		v := &p.pools[pool]
		p.fillDirect(pool, max(0, v.need-max(0, target(v))))
	}
	for _, pool := range p.needOrder() {
		v := &p.pools[pool]
		p.fillByChain(pool, max(0, v.need-max(0, target(v))))
	}
}

func (p *plan) buildGroups() {
	byKey := map[groupKey]*group{}
	for source := range p.groups {
		p.groups[source] = make([][]*group, p.zones)
	}
	for i := len(p.instances) - 1; i >= 0; i-- {
		if p.held[i] {
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
	p.each(func(g *group) bool {
		if p.offers(g, pool) {
			n += len(g.members)
		}
		return true
	})
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

func (p *plan) fillDirect(pool, until int) {
	v := &p.pools[pool]
	for v.need > until {
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
		p.pools[g.home].good--
	}
	p.assign(i, pool, reason)
	p.gain(pool)
}

// gain counts an instance that a pool gets.
func (p *plan) gain(pool int) {
	p.pools[pool].need--
	p.pools[pool].good++
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
		if p.offers(g, pool) && (best == nil || p.compare(g, best, pool) < 0) {
			best = g
		}
	}
	p.groups[source][zone] = kept
	return best
}

// zonesByCrowding orders zones by the instances that the pool has there; among
// equals the zone with the most spares comes first, so that these stay spread.
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

func (p *plan) compare(a, b *group, pool int) int {
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
