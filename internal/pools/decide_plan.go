package pools

import (
	"slices"
	"strings"

	"cyclamenwheel/internal/manifest"
)

// noPool stands for the spares in the index of pools.
const noPool = -1

// poolView is one pool of the plan. Pools that instances are still in although
// the manifest no longer names them come after those of the manifest.
type poolView struct {
	name   string
	spec   *manifest.Pool
	listed bool
	want   int
	budget int
	// good counts instances that are in the pool, or on their way to it, and
	// rightly so; had is the number before this round's plan.
	good int
	had  int
	// lost counts instances of the pool that are down.
	lost int
	// repaired counts lost instances whose place is planned to be filled.
	repaired int
	serving  int
	need     int
	over     int
	// chainless: the search for a chain has reached the pool in vain.
	chainless bool
	// zones and racks count the pool's instances by place, as planned.
	zones []int
	racks []int
}

// plan is the working state of one planning round. Instances, pools, zones and
// racks are numbered, because a round looks at every instance of the fleet
// many times.
type plan struct {
	in        Input
	instances []*Instance
	pools     []poolView
	poolIndex map[string]int
	listedIn  map[string]int
	// listedAt is the pool that lists an instance by id, or noPool.
	listedAt []int
	zoneOf   []int
	rackOf   []int
	zones    int
	racks    int
	// home is the pool an instance ends in if nothing is decided, dest the one
	// that is planned.
	home []int
	dest []int
	// held tells which instances may not be planned again: they are busy,
	// listed, or planned already.
	held []bool
	// misplaced marks instances that their home pool may not keep.
	misplaced  []bool
	spareZones []int
	spareRacks []int
	// groups holds the instances that may be planned, by source and zone.
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
		v.had = v.good
		if v.listed {
			continue // its instances are named; none is missing or too many
		}
		v.need = max(0, v.want-v.good)
		v.over = max(0, v.good-v.want)
	}
	return p
}

func (p *plan) indexPlaces() {
	zones, racks := map[string]int{}, map[[2]string]int{}
	p.zoneOf = make([]int, len(p.instances))
	p.rackOf = make([]int, len(p.instances))
	for i, inst := range p.instances {
		p.zoneOf[i] = numberOf(zones, inst.Zone)
		// Racks of two zones may carry the same name.
		p.rackOf[i] = numberOf(racks, [2]string{inst.Zone, inst.Rack})
	}
	p.zones, p.racks = len(zones), len(racks)
	p.spareZones = make([]int, p.zones)
	p.spareRacks = make([]int, p.racks)
}

func numberOf[K comparable](numbers map[K]int, key K) int {
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
	p.listedIn = map[string]int{}
	for i := range p.in.Manifest.Pools {
		spec := &p.in.Manifest.Pools[i]
		v := p.addPool(spec.Name)
		v.spec, v.budget = spec, budget[spec.Name]
		v.want = spec.Instances.Count + p.in.Extra[spec.Name]
		if len(spec.Instances.IDs) > 0 {
			v.listed, v.want = true, 0
		}
		for _, id := range spec.Instances.IDs {
			if _, taken := p.listedIn[id]; !taken {
				p.listedIn[id] = i
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

func (p *plan) addPool(name string) *poolView {
	p.poolIndex[name] = len(p.pools)
	p.pools = append(p.pools, poolView{
		name:  name,
		zones: make([]int, p.zones),
		racks: make([]int, p.racks),
	})
	return &p.pools[len(p.pools)-1]
}

// classify settles where each instance stands: right, misplaced, busy or lost.
func (p *plan) classify() {
	n := len(p.instances)
	p.home, p.dest = make([]int, n), make([]int, n)
	p.held, p.misplaced = make([]bool, n), make([]bool, n)
	p.listedAt = make([]int, n)
	for i, inst := range p.instances {
		p.listedAt[i] = noPool
		if pool, ok := p.listedIn[inst.ID]; ok {
			p.listedAt[i] = pool
		}
		p.home[i] = p.indexOf(homeOf(inst))
		p.dest[i] = p.home[i]
		p.held[i] = inst.Phase != PhaseServing
		if inst.Phase == PhaseServing && inst.Pool != "" {
			p.pools[p.indexOf(inst.Pool)].serving++
		}
		if inst.Phase == PhaseDown {
			p.countLost(inst)
			continue
		}
		p.count(i, p.home[i], 1)
		if p.home[i] == noPool {
			continue
		}
		v := &p.pools[p.home[i]]
		if p.allows(p.home[i], i) {
			v.good++
		} else {
			p.misplaced[i] = true
		}
	}
}

// homeOf is the pool an instance is in once what it is doing now has ended.
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

// count adds n to the places of a pool, or of the spares.
func (p *plan) count(instance, pool, n int) {
	zones, racks := p.spareZones, p.spareRacks
	if pool != noPool {
		zones, racks = p.pools[pool].zones, p.pools[pool].racks
	}
	zones[p.zoneOf[instance]] += n
	racks[p.rackOf[instance]] += n
}

// allows tells whether the manifest lets a pool hold an instance.
func (p *plan) allows(pool, instance int) bool {
	if at := p.listedAt[instance]; at != noPool {
		return at == pool
	}
	v := &p.pools[pool]
	if v.spec == nil || v.listed {
		return false
	}
	return Allows(v.spec.Instances.Select, p.instances[instance])
}

// Allows tells whether a selector allows an instance.
func Allows(s *manifest.Selector, inst *Instance) bool {
	if s == nil {
		return true
	}
	return inst.Accelerators >= s.Accelerators &&
		(len(s.Zones) == 0 || slices.Contains(s.Zones, inst.Zone)) &&
		(len(s.Racks) == 0 || slices.Contains(s.Racks, inst.Rack))
}

// assign plans an instance into a pool or, with noPool, into the spares.
func (p *plan) assign(instance, pool int, reason MoveReason) {
	p.count(instance, p.dest[instance], -1)
	p.dest[instance] = pool
	p.count(instance, pool, 1)
	p.held[instance] = true
	p.reasons[instance] = reason
}

// planListed brings each listed instance to the pool that lists it, whichever
// pool has it now.
func (p *plan) planListed() {
	present := map[string]bool{}
	for i, inst := range p.instances {
		pool := p.listedAt[i]
		if pool == noPool {
			continue
		}
		present[inst.ID] = true
		if inst.Phase == PhaseDown {
			p.addShortfall(p.pools[pool].name, 1, ShortListedDown)
			continue
		}
		if p.home[i] != pool {
			p.assign(i, pool, MoveListedElsewhere)
		}
		p.held[i] = true
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
