package pools

import (
	"cyclamenwheel/internal/manifest"
)

// DefaultMaxMovesInFlight bounds concurrent voluntary moves. Each of them needs
// an acknowledgement by every entry and a reboot by the platform. With 16, a
// change of 50 instances takes a few rounds, and a bad manifest can't move a
// whole fleet before an operator notices.
const DefaultMaxMovesInFlight = 16

// spareMovesFactor times the bound on moves in flight is the bound on moves out
// of the spares. Spares serve nobody, so this bound only protects the platform
// from rebooting a whole new fleet at once.
const spareMovesFactor = 16

// MoveReason is why an instance changes pool. The values are stable: they are
// recorded with the move and shown by explain.
type MoveReason string

// Reasons of moves. moveOrder has the order in which they begin.
const (
	// MoveReplaceLost replaces an instance that is down.
	MoveReplaceLost MoveReason = "replace_lost"
	// MoveBelowBudget moves an instance from a pool above its budget to one
	// below its budget, when the fleet has no free instance left.
	MoveBelowBudget MoveReason = "below_budget"
	// MoveListedElsewhere moves an instance to the pool that lists its id.
	MoveListedElsewhere MoveReason = "listed_elsewhere"
	// MovePoolShort moves an instance to a pool that has fewer than it wants.
	MovePoolShort MoveReason = "pool_short"
	// MoveMakeRoom replaces an instance that this pool gives to another one
	// which can use no free instance itself.
	MoveMakeRoom MoveReason = "make_room"
	// MovePoolOver moves an instance from a pool that has too many, or whose
	// selector does not allow it, directly to a pool that is short.
	MovePoolOver MoveReason = "pool_over"
	// MoveReleaseToSpare moves an instance that no pool needs to the spares.
	MoveReleaseToSpare MoveReason = "release_to_spare"
)

// Move is one instance's change of pool.
type Move struct {
	Instance string     `json:"instance"`
	From     string     `json:"from"`
	To       string     `json:"to"`
	Reason   MoveReason `json:"reason"`
	Detail   string     `json:"detail"`
	// Revision is the maintenance revision of the target pool. The move reboots
	// the instance anyway, so installing the revision then saves a drain.
	Revision int `json:"revision"`
}

// WaitReason is why a planned move has not begun yet.
type WaitReason string

// Reasons to wait.
const (
	// WaitBudget: the source pool has no serving instance above its budget now.
	WaitBudget WaitReason = "budget"
	// WaitInFlight: the bound on moves in flight is reached.
	WaitInFlight WaitReason = "moves_in_flight"
	// WaitPhase: the instance is moving or draining and must finish that first.
	WaitPhase WaitReason = "instance_busy"
)

// Wait is a planned move that does not begin in this round.
type Wait struct {
	Move   Move       `json:"move"`
	Reason WaitReason `json:"reason"`
}

// ShortfallReason is why a pool stays short of instances.
type ShortfallReason string

// Reasons of a shortfall.
const (
	// ShortNoInstance: the fleet has no instance left for the pool.
	ShortNoInstance ShortfallReason = "no_instance_left"
	// ShortSelector: the fleet has free instances, but the pool's selector
	// allows none of them.
	ShortSelector ShortfallReason = "selector_allows_none"
	// ShortListedDown: instances listed by id are down. No other instance may
	// replace a listed one.
	ShortListedDown ShortfallReason = "listed_instance_down"
	// ShortListedUnknown: the fleet does not have instances listed by id.
	ShortListedUnknown ShortfallReason = "listed_instance_unknown"
)

// Shortfall is a number of missing instances that no move can supply.
type Shortfall struct {
	Pool    string          `json:"pool"`
	Missing int             `json:"missing"`
	Reason  ShortfallReason `json:"reason"`
}

// Limits bound one planning round.
type Limits struct {
	// MaxMovesInFlight bounds moves in flight; 0 selects the default. Repairs
	// are exempt.
	MaxMovesInFlight int
}

// Input is the input of a planning round.
type Input struct {
	Manifest  *manifest.Manifest
	Instances []*Instance
	// Extra is how many instances above its count each pool may hold for the
	// time being, as requested by a maintenance wave.
	Extra  map[string]int
	Limits Limits
}

// Decision is the outcome of one planning round.
type Decision struct {
	// Moves to begin now, in this order.
	Moves []Move `json:"moves"`
	// Waits are planned moves that can't begin yet.
	Waits []Wait `json:"waits"`
	// Shortfalls are missing instances that no move can supply.
	Shortfalls []Shortfall `json:"shortfalls"`
}

// Planner decides moves and the number of spares needed. Production uses
// SharedSpares; PerPoolSpares is a baseline for measurements.
type Planner interface {
	Decide(in Input) Decision
	Spare(in Input) SpareNeed
}

// SharedSpares keeps one set of spares for all pools and moves as few instances as it
// can.
type SharedSpares struct{}

// Decide implements Planner.
func (SharedSpares) Decide(in Input) Decision { return Decide(in) }

// Spare implements Planner.
func (SharedSpares) Spare(in Input) SpareNeed { return Spare(in) }

// Decide plans the moves that bring the fleet to the state in the manifest.
//
// Load: a manifest that shifts a few instances among pools while others are
// lost or under maintenance; at the extreme, a whole fleet that has no pool
// yet.
//
// Every move takes an instance out of service for a drain and a reboot. An
// instance that its pool needs therefore stays there, and the surplus of one
// pool goes directly to another that is short instead of through the spares. A
// source pool never drops below its highest availability budget, counting the
// moves that this round begins, and voluntary moves in flight are bounded.
// Neither limit delays a repair from the spares, because a spare serves nobody
// and the pool is already short.
//
// The same input gives the same output, and once the moves are applied a
// further call plans none.
func Decide(in Input) Decision {
	p := newPlan(in)
	p.planListed()
	p.fillShortPools()
	p.planReleases()
	return p.decision()
}

// Budget returns the highest availability budget among each pool's services.
func Budget(m *manifest.Manifest) map[string]int {
	budget := make(map[string]int, len(m.Pools))
	for _, s := range m.Services {
		budget[s.Pool] = max(budget[s.Pool], s.MinAvailable)
	}
	return budget
}

// Serving counts the serving instances of each pool.
func Serving(instances []*Instance) map[string]int {
	serving := map[string]int{}
	for _, i := range instances {
		if i.Phase == PhaseServing {
			serving[i.Pool]++
		}
	}
	return serving
}

// Leaving counts the moves out of each pool that the decision begins.
func (d Decision) Leaving() map[string]int {
	leaving := map[string]int{}
	for _, m := range d.Moves {
		leaving[m.From]++
	}
	return leaving
}
