package pools

import (
	"slices"

	"cyclamenwheel/internal/manifest"
)

// SpareNeed is how many spares a fleet must hold.
type SpareNeed struct {
	// Needed is how many spares must be outside the worst failure domain.
	Needed int `json:"needed"`
	// Held is how many spares are outside of it now.
	Held int `json:"held"`
	// Worst names that domain: an instance, a rack or a zone.
	Worst string `json:"worst"`
	// Wave is the part of Needed that maintenance in progress adds.
	Wave int `json:"wave"`
}

// Missing is how many spares the fleet lacks.
func (s SpareNeed) Missing() int { return max(0, s.Needed-s.Held) }

// Spare sizes the spare that all pools share.
//
// Load: the loss of one failure domain of the kind that the manifest names,
// while a maintenance wave is running. Harm prevented: a pool that stays below
// its budget because nothing is left to move in. The limit: pools don't lose
// their worst domain at the same time, only one domain goes, so the need is the
// largest sum over pools for a single domain instead of the sum of each pool's
// worst; a pool's instances above its budget are counted first. Spares inside
// the domain that is lost don't count.
func Spare(in Input) SpareNeed {
	t := newSpareTally(in)
	worst, first := SpareNeed{}, true
	for _, d := range t.domains {
		n := t.need(d, in.Manifest.Buffer.WaveParallel)
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

// need is what the loss of one domain asks for while a wave has drained as many
// instances as it may. A drain needs an instance above the pool's budget. Where
// the pool has one, it is missed only if the loss takes it as well; where it
// has none, a spare must have moved in first.
func (t *spareTally) need(domain string, drained int) SpareNeed {
	n := SpareNeed{Worst: domain, Held: t.live[""] - t.inDomain[domain][""]}
	missed := 0
	for _, pool := range t.pools {
		lost := t.inDomain[domain][pool]
		above := max(0, t.live[pool]-t.budget[pool])
		n.Needed += max(0, t.budget[pool]-t.live[pool]+lost)
		if above == 0 {
			missed++
		}
		missed += min(above, lost)
	}
	n.Wave = min(drained, missed)
	n.Needed += n.Wave
	return n
}
