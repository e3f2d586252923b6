package pools

// PerPool is the baseline that Shared is measured beside: it plans from scratch
// each time and holds spares for each pool on its own.
type PerPool struct{}

// Decide implements Planner. Pools are filled in the order of the manifest by
// instances in the order of their ids, wherever those are now. Budgets and the
// bound on moves in flight hold as they do for Shared.
func (PerPool) Decide(in Input) Decision {
	p := newPlan(in)
	p.planListed()
	for pool := range p.in.Manifest.Pools {
		p.fillFromScratch(pool)
	}
	for i := range p.instances {
		if !p.held[i] && p.home[i] != noPool {
			p.assign(i, noPool, MoveReleaseToSpare)
		}
	}
	return p.decision()
}

func (p *plan) fillFromScratch(pool int) {
	v := &p.pools[pool]
	if v.listed {
		return
	}
	missing := v.want
	for i, inst := range p.instances {
		if inst.Phase != PhaseServing && inst.Phase != PhaseDown && p.home[i] == pool {
			missing--
		}
	}
	for i := range p.instances {
		if missing <= 0 {
			return
		}
		if p.held[i] || !p.allows(pool, i) {
			continue
		}
		missing--
		p.held[i] = true
		if p.home[i] != pool {
			p.assign(i, pool, MovePoolShort)
		}
	}
	if missing > 0 {
		p.addShortfall(v.name, missing, ShortNoInstance)
	}
}

// Spare implements Planner. Each pool holds what it needs to survive its own
// worst domain, and one at the least.
func (PerPool) Spare(in Input) SpareNeed {
	t := newSpareTally(in)
	n := SpareNeed{Held: t.live[""], Worst: "each pool's own"}
	for _, pool := range t.pools {
		worst := 1
		for _, d := range t.domains {
			worst = max(worst, t.budget[pool]-t.live[pool]+t.inDomain[d][pool])
		}
		n.Needed += worst
	}
	return n
}
