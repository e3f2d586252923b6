package pools

// PerPoolSpares is the baseline that SharedSpares is compared with: it plans
// from scratch in every round and holds separate spares for each pool.
type PerPoolSpares struct{}

// Decide implements Planner. Pools are filled in the order of the manifest with
// instances in the order of their ids, whichever pool those are in. Budgets and
// the bound on moves in flight apply as for SharedSpares.
func (PerPoolSpares) Decide(in Input) Decision {
	p := newPlan(in)
	p.planListed()
	for pool := range p.in.Manifest.Pools {
		p.fillByID(pool)
	}
	for i := range p.instances {
		if !p.fixed[i] && p.home[i] != noPool {
			p.planMove(i, noPool, MoveReleaseToSpare)
		}
	}
	return p.decision()
}

func (p *plan) fillByID(pool int) {
	v := &p.pools[pool]
	if v.listed {
		return
	}
	missing := v.wanted
	for i, inst := range p.instances {
		if inst.Phase != PhaseServing && inst.Phase != PhaseDown && p.home[i] == pool {
			missing--
		}
	}
	for i := range p.instances {
		if missing <= 0 {
			return
		}
		if p.fixed[i] || !p.allows(pool, i) {
			continue
		}
		missing--
		p.fixed[i] = true
		if p.home[i] != pool {
			p.planMove(i, pool, MovePoolShort)
		}
	}
	if missing > 0 {
		p.addShortfall(v.name, missing, ShortNoInstance)
	}
}

// Spare implements Planner. Each pool holds what it needs to survive the loss
// of its own worst domain, and at least one.
func (PerPoolSpares) Spare(in Input) SpareNeed {
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
