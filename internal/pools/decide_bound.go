package pools

// LowerBound is the least number of moves with which any planner could bring
// the fleet to the manifest. Every instance that a pool is short of must come
// in by a move, and every one that it may not keep must go out by one; a move
// does both at the best.
func LowerBound(in Input) int {
	p := newPlan(in)
	arrivals, departures, spares := 0, 0, 0
	for i, inst := range p.instances {
		_, listed := p.listedIn[inst.ID]
		switch {
		case inst.Phase == PhaseDown:
		case p.misplaced[i]:
			departures++
		case p.home[i] == noPool && !listed:
			spares++
		}
	}
	for i := range p.pools {
		arrivals += p.pools[i].need
		departures += p.pools[i].over
	}
	// What no instance is left for can't be counted as moves.
	arrivals = min(arrivals, spares+departures)
	return max(arrivals+p.listedArrivals(), departures)
}

// listedArrivals counts the listed instances that are elsewhere.
func (p *plan) listedArrivals() int {
	n := 0
	for i, inst := range p.instances {
		if pool, ok := p.listedIn[inst.ID]; ok && inst.Phase != PhaseDown && p.home[i] != pool {
			n++
		}
	}
	return n
}
