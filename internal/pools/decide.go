package pools

import (
	"cyclamenwheel/internal/manifest"
)

// DefaultMaxMovesInFlight bounds voluntary moves under way at a time. Each one
// costs an acknowledgement of every entry and a reboot on the platform; sixteen
// keep a change of 50 instances to a few rounds, without a badly chosen
// manifest taking a fleet apart faster than an operator can read about it.
const DefaultMaxMovesInFlight = 16

// fillFactor times the bound is how many instances may be on their way from
// the spares into pools: they serve nobody meanwhile, so what remains to be
// protected is the platform, from rebooting a whole new fleet at once.
const fillFactor = 16

// MoveReason tells why an instance changes pool. Values are stable: they are
// recorded with the move and shown by explain.
type MoveReason string

// Reasons of moves, in the order in which they are begun.
const (
	// MoveReplaceLost fills the place of an instance that is down.
	MoveReplaceLost MoveReason = "replace_lost"
	// MoveBelowBudget takes an instance from a pool that is above its budget to
	// one that is below its own, where the fleet has none left.
	MoveBelowBudget MoveReason = "below_budget"
	// MoveListedElsewhere brings an instance to the pool that lists its id.
	MoveListedElsewhere MoveReason = "listed_elsewhere"
	// MovePoolShort fills a pool that has fewer instances than it should.
	MovePoolShort MoveReason = "pool_short"
	// MoveMakeRoom fills the place of an instance that another pool needs and
	// that only this pool could give.
	MoveMakeRoom MoveReason = "make_room"
	// MovePoolOver takes an instance out of a pool that has too many or whose
	// selector does not allow it, directly into a pool that is short.
	MovePoolOver MoveReason = "pool_over"
	// MoveReleaseToSpare takes an instance that no pool is short of to the
	// spares.
	MoveReleaseToSpare MoveReason = "release_to_spare"
)

// Move is one change of pool.
type Move struct {
	Instance string     `json:"instance"`
	From     string     `json:"from"`
	To       string     `json:"to"`
	Reason   MoveReason `json:"reason"`
	Detail   string     `json:"detail"`
	// Revision is the maintenance revision of the pool moved to. The move
	// reboots the instance anyway, and installing it then saves a drain.
	Revision int `json:"revision"`
}

// WaitReason tells why a planned move is not begun yet.
type WaitReason string

// Reasons to wait.
const (
	// WaitBudget: the pool moved from has no instance to spare now.
	WaitBudget WaitReason = "budget"
	// WaitInFlight: as many moves as allowed are under way.
	WaitInFlight WaitReason = "moves_in_flight"
	// WaitPhase: the instance is moving or draining and must finish first.
	WaitPhase WaitReason = "instance_busy"
)

// Wait is a move that is wanted but not begun in this round.
type Wait struct {
	Move   Move       `json:"move"`
	Reason WaitReason `json:"reason"`
}

// ShortfallReason tells why a pool's need can't be met.
type ShortfallReason string

// Reasons of a shortfall.
const (
	// ShortNoInstance: the fleet has no instance left for the pool.
	ShortNoInstance ShortfallReason = "no_instance_left"
	// ShortSelector: instances are left, but the selector allows none of them.
	ShortSelector ShortfallReason = "selector_allows_none"
	// ShortListedDown: instances that are listed by id are down. No other
	// instance may stand in for a listed one.
	ShortListedDown ShortfallReason = "listed_instance_down"
	// ShortListedUnknown: ids are listed that the fleet does not have.
	ShortListedUnknown ShortfallReason = "listed_instance_unknown"
)

// Shortfall is a need that no move can meet.
type Shortfall struct {
	Pool    string          `json:"pool"`
	Missing int             `json:"missing"`
	Reason  ShortfallReason `json:"reason"`
}

// Limits bound one planning round.
type Limits struct {
	// MaxMovesInFlight bounds moves under way; 0 takes the default. Repairs
	// are exempt.
	MaxMovesInFlight int
}

// Input is what moves are decided from.
type Input struct {
	Manifest  *manifest.Manifest
	Instances []*Instance
	// Extra is how many instances above its count a pool holds for now, as
	// asked for by a maintenance wave.
	Extra  map[string]int
	Limits Limits
}

// Decision is the outcome of one planning round.
type Decision struct {
	// Moves to begin now, in this order.
	Moves []Move `json:"moves"`
	// Waits are moves that are wanted and can't begin yet.
	Waits []Wait `json:"waits"`
	// Shortfalls are needs that no move can meet.
	Shortfalls []Shortfall `json:"shortfalls"`
}

// Planner decides moves and the size of the spare. Shared is the one in use;
// the others exist to be measured beside it.
type Planner interface {
	Decide(in Input) Decision
	Spare(in Input) SpareNeed
}

// Shared keeps one spare for all pools and changes as little as it can.
type Shared struct{}

// Decide implements Planner.
func (Shared) Decide(in Input) Decision { return Decide(in) }

// Spare implements Planner.
func (Shared) Spare(in Input) SpareNeed { return Spare(in) }

// Decide plans the moves that bring the fleet to the manifest.
//
// Load: a manifest that shifts a few instances among pools while others are
// lost or under maintenance; at the most a whole fleet that has no pool yet.
// Harm prevented: every move takes an instance out of service for a drain and
// a reboot, so an instance that is right where it is stays there, and the
// surplus of one pool goes straight to another that is short instead of by way
// of the spares. The limits: a source pool never gets below its strictest
// availability budget, counting what this round has begun; and voluntary moves
// in flight are bounded. Neither delays a repair out of the spares, because a
// spare serves nobody and the pool is already short.
//
// The same input gives the same output, and once the moves are applied there
// is nothing left to decide.
func Decide(in Input) Decision {
	p := newPlan(in)
	p.planListed()
	p.planNeeds()
	p.planReleases()
	return p.decision()
}

// Budget is the strictest availability budget of each pool's services.
func Budget(m *manifest.Manifest) map[string]int {
	budget := make(map[string]int, len(m.Pools))
	for _, s := range m.Services {
		budget[s.Pool] = max(budget[s.Pool], s.MinAvailable)
	}
	return budget
}

// Serving counts the instances of each pool that serve now.
func Serving(instances []*Instance) map[string]int {
	serving := map[string]int{}
	for _, i := range instances {
		if i.Phase == PhaseServing {
			serving[i.Pool]++
		}
	}
	return serving
}

// Leaving counts the moves out of each pool that a decision begins.
func (d Decision) Leaving() map[string]int {
	leaving := map[string]int{}
	for _, m := range d.Moves {
		leaving[m.From]++
	}
	return leaving
}
