package maintenance

import (
	"slices"
	"strings"

	"cyclamenwheel/internal/pools"
)

// Decider decides drains. Production code uses Waves; FixedBatches is the
// baseline that measurements compare it with.
type Decider interface {
	Decide(in Input) Decision
}

// Waves implements Decider with Decide.
type Waves struct{}

// Decide implements Decider.
func (Waves) Decide(in Input) Decision { return Decide(in) }

// FixedBatches drains batches of a fixed size over all pools in order of
// instance id, regardless of failure domains, and begins the next batch when
// the previous one has returned. It respects the budget, because the fold would
// reject the drain otherwise, but has no growing window and never halts.
type FixedBatches struct {
	Size int
}

// Decide implements Decider.
func (f FixedBatches) Decide(in Input) Decision {
	w := newWaveRound(in)
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
			w.beginDrain(p, inst)
		}
	}
	w.requestSpares()
	return w.decision()
}
