package maintenance

import (
	"slices"
	"strings"

	"cyclamenwheel/internal/pools"
)

// Decider decides drains. Waves is the one in use; FixedBatches exists to be
// measured beside it.
type Decider interface {
	Decide(in Input) Decision
}

// Waves is Decide.
type Waves struct{}

// Decide implements Decider.
func (Waves) Decide(in Input) Decision { return Decide(in) }

// FixedBatches is the baseline: it drains a fixed number over all pools in the
// order of ids, whatever domain they are in, and begins the next batch when all
// of the last are back. It holds the budget, as the fold would refuse it
// otherwise, but neither starts small nor halts.
type FixedBatches struct {
	Size int
}

// Decide implements Decider.
func (f FixedBatches) Decide(in Input) Decision {
	w := newWave(in)
	if w.draining > 0 {
		return w.decision()
	}
	var pending []*pools.Instance
	for _, p := range w.pools {
		pending = append(pending, p.pending...)
	}
	slices.SortFunc(pending, func(a, b *pools.Instance) int { return strings.Compare(a.ID, b.ID) })
	for _, inst := range pending {
		p := w.byName[inst.Pool]
		if w.draining < f.Size && p.serving > p.budget && !p.spec.Maintenance.Paused {
			w.begin(p, inst)
		}
	}
	w.needSpares()
	return w.decision()
}
