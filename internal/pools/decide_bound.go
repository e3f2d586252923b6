package pools

// LowerBound returns the least number of moves with which any planner could
// bring the fleet to the manifest. A listed instance in another pool must move,
// and that move helps no other pool. Of the rest, every missing instance
// arrives by a move and every instance that a pool may not keep leaves by one;
// at best one move does both. If the fleet has too few instances for all
// budgets, pools above theirs must give to those below.
func LowerBound(in Input) int {
	p := newPlan(in)
	arrivals, departures, spares, listed := 0, 0, 0, 0
	for i, inst := range p.instances {
		switch {
		case inst.Phase == PhaseDown:
		case p.listingPool[i] != noPool:
			if p.home[i] != p.listingPool[i] {
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
		arrivals += v.missing
		departures += v.surplus
		if !v.listed {
			below += max(0, v.budget-v.eligible)
			above += max(0, min(v.eligible, v.wanted)-v.budget)
		}
	}
	// A missing instance that the fleet can't supply causes no move.
	supply := spares + departures
	shared := min(max(0, below-supply), above)
	return listed + max(min(arrivals, supply), departures) + shared
}
