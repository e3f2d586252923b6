package pools

import (
	"slices"
	"strings"

	"cyclamenwheel/internal/manifest"
)

// noPool is the index of the spares in place of a pool.
const noPool = -1

// poolPlan is the state of one pool in a plan. Pools that still have instances
// but are no longer in the manifest follow those of the manifest.
type poolPlan struct {
	name   string
	spec   *manifest.Pool
	listed bool
	wanted int
	budget int
	// eligible counts instances that are in the pool, or moving to it, and that
	// it may keep; eligibleBefore is the number before this round's plan.
	eligible       int
	eligibleBefore int
	// lost counts the pool's instances that are down.
	lost int
	// repaired counts the lost instances for which this plan has a replacement.
	repaired int
	serving  int
	missing  int
	surplus  int
	// chainExhausted: a search for a chain has reached the pool without
	// success.
	chainExhausted bool
	// zones and racks count the pool's instances by zone and rack, as planned.
	zones []int
	racks []int
}

// plan is the state of one planning round. Instances, pools, zones and racks
// are numbered because a round visits every instance of the fleet many times.
type plan struct {
	in             Input
	instances      []*Instance
	pools          []poolPlan
	poolIndex      map[string]int
	poolByListedID map[string]int
	// listingPool is, by instance, the pool that lists its id, or noPool.
	listingPool []int
	zoneOf      []int
	rackOf      []int
	zones       int
	racks       int
	// home is the pool an instance will be in without further moves, dest the
	// planned one.
	home []int
	dest []int
	// fixed marks instances that may not be moved by this plan any more: they
	// are busy, listed, or already planned.
	fixed []bool
	// misplaced marks instances that their home pool may not keep.
	misplaced  []bool
	spareZones []int
	spareRacks []int
	// groups holds the instances that may still be moved, by source and zone.
	groups     [sources][][]*group
	reasons    map[int]MoveReason
	shortfalls []Shortfall
}

func newPlan(in Input) *plan {
	p := &plan{in: in, reasons: map[int]MoveReason{}}
	p.instances = slices.Clone(in.Instances)
	slices.SortFunc(p.instances, func(a, b *Instance) int { return strings.Compare(a.ID, b.ID) })
	p.indexPlaces()
	p.indexPools()
	p.classify()
	for i := range p.pools {
		v := &p.pools[i]
		v.eligibleBefore = v.eligible
		if v.listed {
			continue // its instances are listed by id, so no number is missing or too many
		}
		v.missing = max(0, v.wanted-v.eligible)
		v.surplus = max(0, v.eligible-v.wanted)
	}
	return p
}

func (p *plan) indexPlaces() {
	zones, racks := map[string]int{}, map[[2]string]int{}
	p.zoneOf = make([]int, len(p.instances))
	p.rackOf = make([]int, len(p.instances))
	for i, inst := range p.instances {
		p.zoneOf[i] = assignNumber(zones, inst.Zone)
		// Racks of two zones may carry the same name.
		p.rackOf[i] = assignNumber(racks, [2]string{inst.Zone, inst.Rack})
	}
	p.zones, p.racks = len(zones), len(racks)
	p.spareZones = make([]int, p.zones)
	p.spareRacks = make([]int, p.racks)
}

func assignNumber[K comparable](numbers map[K]int, key K) int {
	n, ok := numbers[key]
	if !ok {
		n = len(numbers)
		numbers[key] = n
	}
	return n
}

func (p *plan) indexPools() {
	budget := Budget(p.in.Manifest)
	p.poolIndex = map[string]int{}
	p.poolByListedID = map[string]int{}
	for i := range p.in.Manifest.Pools {
		spec := &p.in.Manifest.Pools[i]
		v := p.addPool(spec.Name)
		v.spec, v.budget = spec, budget[spec.Name]
		v.wanted = spec.Instances.Count + p.in.Extra[spec.Name]
		if len(spec.Instances.IDs) > 0 {
			v.listed, v.wanted = true, 0
		}
		for _, id := range spec.Instances.IDs {
			if _, taken := p.poolByListedID[id]; !taken {
				p.poolByListedID[id] = i
			}
		}
	}
	for _, inst := range p.instances {
		for _, name := range []string{inst.Pool, inst.Target} {
			if _, known := p.poolIndex[name]; name != "" && !known {
				p.addPool(name)
			}
		}
	}
}

func (p *plan) addPool(name string) *poolPlan {
	p.poolIndex[name] = len(p.pools)
	p.pools = append(p.pools, poolPlan{
		name:  name,
		zones: make([]int, p.zones),
		racks: make([]int, p.racks),
	})
	return &p.pools[len(p.pools)-1]
}

// classify determines whether each instance is allowed in its pool, misplaced,
// busy or lost.
func (p *plan) classify() {
	n := len(p.instances)
	p.home, p.dest = make([]int, n), make([]int, n)
	p.fixed, p.misplaced = make([]bool, n), make([]bool, n)
	p.listingPool = make([]int, n)
	for i, inst := range p.instances {
		p.listingPool[i] = noPool
		if pool, ok := p.poolByListedID[inst.ID]; ok {
			p.listingPool[i] = pool
		}
		p.home[i] = p.indexOf(homeOf(inst))
		p.dest[i] = p.home[i]
		p.fixed[i] = inst.Phase != PhaseServing
		if inst.Phase == PhaseServing && inst.Pool != "" {
			p.pools[p.indexOf(inst.Pool)].serving++
		}
		if inst.Phase == PhaseDown {
			p.countLost(inst)
			continue
		}
		p.addToPlaces(i, p.home[i], 1)
		if p.home[i] == noPool {
			continue
		}
		v := &p.pools[p.home[i]]
		if p.allows(p.home[i], i) {
			v.eligible++
		} else {
			p.misplaced[i] = true
		}
	}
}

// homeOf returns the pool an instance will be in once its operation in progress
// has ended.
func homeOf(inst *Instance) string {
	if inst.Phase == PhaseMoving {
		return inst.Target
	}
	return inst.Pool
}

func (p *plan) countLost(inst *Instance) {
	if inst.Pool != "" {
		p.pools[p.indexOf(inst.Pool)].lost++
	}
}

func (p *plan) indexOf(pool string) int {
	if pool == "" {
		return noPool
	}
	return p.poolIndex[pool]
}

// addToPlaces adds n to the zone and rack counts of a pool, or of the spares,
// at the instance's place.
func (p *plan) addToPlaces(instance, pool, n int) {
	zones, racks := p.spareZones, p.spareRacks
	if pool != noPool {
		zones, racks = p.pools[pool].zones, p.pools[pool].racks
	}
	zones[p.zoneOf[instance]] += n
	racks[p.rackOf[instance]] += n
}

// allows reports whether the manifest allows an instance in a pool.
func (p *plan) allows(pool, instance int) bool {
	if at := p.listingPool[instance]; at != noPool {
		return at == pool
	}
	v := &p.pools[pool]
	if v.spec == nil || v.listed {
		return false
	}
	return Allows(v.spec.Instances.Select, p.instances[instance])
}

// Allows reports whether a selector allows an instance; a nil selector allows
// all.
func Allows(s *manifest.Selector, inst *Instance) bool {
	if s == nil {
		return true
	}
	return inst.Accelerators >= s.Accelerators &&
		(len(s.Zones) == 0 || slices.Contains(s.Zones, inst.Zone)) &&
		(len(s.Racks) == 0 || slices.Contains(s.Racks, inst.Rack))
}

// planMove plans the move of an instance to a pool or, with noPool, to the
// spares.
func (p *plan) planMove(instance, pool int, reason MoveReason) {
	p.addToPlaces(instance, p.dest[instance], -1)
	p.dest[instance] = pool
	p.addToPlaces(instance, pool, 1)
	p.fixed[instance] = true
	p.reasons[instance] = reason
}

// planListed moves each listed instance to the pool that lists it, whichever
// pool it is in.
func (p *plan) planListed() {
	present := map[string]bool{}
	for i, inst := range p.instances {
		pool := p.listingPool[i]
		if pool == noPool {
			continue
		}
		present[inst.ID] = true
		if inst.Phase == PhaseDown {
			p.addShortfall(p.pools[pool].name, 1, ShortListedDown)
			continue
		}
		if p.home[i] != pool {
			p.planMove(i, pool, MoveListedElsewhere)
		}
		p.fixed[i] = true
	}
	for _, pool := range p.in.Manifest.Pools {
		for _, id := range pool.Instances.IDs {
			if !present[id] {
				p.addShortfall(pool.Name, 1, ShortListedUnknown)
			}
		}
	}
}

func (p *plan) addShortfall(pool string, missing int, reason ShortfallReason) {
	for i := range p.shortfalls {
		if p.shortfalls[i].Pool == pool && p.shortfalls[i].Reason == reason {
			p.shortfalls[i].Missing += missing
			return
		}
	}
	p.shortfalls = append(p.shortfalls, Shortfall{Pool: pool, Missing: missing, Reason: reason})
}
