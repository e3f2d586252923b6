package pools

// LowerBound is the least number of moves with which any planner could bring
// the fleet to the manifest. A listed instance that is elsewhere must move, and
// its move helps no other pool. For the rest, every instance that a pool is
// short of comes in by a move and every one that it may not keep goes out by
// one; a move does both at the best. Where the fleet has too few for every
// budget, pools above theirs must give to those below.
func LowerBound(in Input) int {
	p := newPlan(in)
	arrivals, departures, spares, listed := 0, 0, 0, 0
	for i, inst := range p.instances {
		switch {
		case inst.Phase == PhaseDown:
		case p.listedAt[i] != noPool:
			if p.home[i] != p.listedAt[i] {
				listed++
			}
		case p.misplaced[i]:
			departures++
		case p.home[i] == noPool:
			spares++
		}
	}
	below, above := 0, 0
	for i := range p.pools {
		v := &p.pools[i]
		arrivals += v.need
		departures += v.over
		if !v.listed {
			below += max(0, v.budget-v.good)
			above += max(0, min(v.good, v.want)-v.budget)
		}
	}
	// A need that no instance is left for is no move.
	supply := spares + departures
	shared := min(max(0, below-supply), above)
	return listed + max(min(arrivals, supply), departures) + shared
}
