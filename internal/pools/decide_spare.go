package pools

import (
	"slices"

	"cyclamenwheel/internal/manifest"
)

// SpareNeed is the number of spares that a fleet needs and has.
type SpareNeed struct {
	// Needed is the number of spares needed outside the worst failure domain.
	Needed int `json:"needed"`
	// Held is the number of spares outside that domain now.
	Held int `json:"held"`
	// Worst names that domain: an instance, a rack or a zone.
	Worst string `json:"worst"`
	// Wave is the part of Needed due to maintenance in progress.
	Wave int `json:"wave"`
}

// Missing returns how many spares the fleet lacks.
func (s SpareNeed) Missing() int { return max(0, s.Needed-s.Held) }

// Spare computes the number of spares needed for all pools together.
//
// Load: the loss of one failure domain of the kind that the manifest names,
// while a maintenance wave is running. With too few spares a pool stays below
// its budget because no instance is left to move in. Only one domain is assumed
// to fail at a time, so the need is the largest sum over all pools for a single
// domain, not the sum of each pool's worst case. A pool's instances above its
// budget are counted first, and spares inside the lost domain don't count.
func Spare(in Input) SpareNeed {
	t := newSpareTally(in)
	worst, first := SpareNeed{}, true
	for _, d := range t.domains {
		n := t.needAfterLoss(d, in.Manifest.Buffer.WaveParallel)
		if first || n.Needed-n.Held > worst.Needed-worst.Held ||
			n.Needed-n.Held == worst.Needed-worst.Held && n.Needed > worst.Needed {
			worst, first = n, false
		}
	}
	return worst
}

// spareTally counts live instances by pool and failure domain.
type spareTally struct {
	budget  map[string]int
	pools   []string
	live    map[string]int
	domains []string
	// inDomain counts by domain and pool; the spares' pool is "".
	inDomain map[string]map[string]int
}

func newSpareTally(in Input) *spareTally {
	t := &spareTally{
		budget:   Budget(in.Manifest),
		live:     map[string]int{},
		inDomain: map[string]map[string]int{},
	}
	for _, p := range in.Manifest.Pools {
		t.pools = append(t.pools, p.Name)
	}
	for _, inst := range in.Instances {
		if inst.Phase == PhaseDown {
			continue
		}
		pool, domain := homeOf(inst), domainOf(in.Manifest.Buffer.Survive, inst)
		t.live[pool]++
		if t.inDomain[domain] == nil {
			t.inDomain[domain] = map[string]int{}
			t.domains = append(t.domains, domain)
		}
		t.inDomain[domain][pool]++
	}
	slices.Sort(t.domains)
	return t
}

func domainOf(kind manifest.FailureDomain, inst *Instance) string {
	switch kind {
	case manifest.DomainZone:
		return inst.Zone
	case manifest.DomainRack:
		return inst.Zone + "/" + inst.Rack
	}
	return inst.ID
}

// needAfterLoss computes the spares needed after the loss of one domain while a
// wave has drained as many instances as it may. A drain needs an instance above
// the pool's budget. If the pool has one, a spare is needed only if the loss
// takes that instance as well; if it has none, a spare must have moved in
// before the drain.
func (t *spareTally) needAfterLoss(domain string, maxDraining int) SpareNeed {
	n := SpareNeed{Worst: domain, Held: t.live[""] - t.inDomain[domain][""]}
	drainSpares := 0
	for _, pool := range t.pools {
		lost := t.inDomain[domain][pool]
		aboveBudget := max(0, t.live[pool]-t.budget[pool])
		n.Needed += max(0, t.budget[pool]-t.live[pool]+lost)
		if aboveBudget == 0 {
			drainSpares++
		}
		drainSpares += min(aboveBudget, lost)
	}
	n.Wave = min(maxDraining, drainSpares)
	n.Needed += n.Wave
	return n
}
