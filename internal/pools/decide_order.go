package pools

import (
	"cmp"
	"fmt"
	"slices"
)

// moveOrder is the order in which moves begin: those that restore a service
// first, those that only release surplus last.
var moveOrder = map[MoveReason]int{
	MoveReplaceLost:     0,
	MoveBelowBudget:     1,
	MoveListedElsewhere: 2,
	MoveMakeRoom:        3,
	MovePoolShort:       4,
	MovePoolOver:        5,
	MoveReleaseToSpare:  6,
}

// decision splits the planned moves into those that begin now and those that
// wait.
func (p *plan) decision() Decision {
	d := Decision{Shortfalls: p.shortfalls}
	limit := cmp.Or(p.in.Limits.MaxMovesInFlight, DefaultMaxMovesInFlight)
	departing, filling := p.movesInFlight()
	for _, i := range p.plannedMoves() {
		m := p.move(i)
		limitReached := departing >= limit
		if p.home[i] == noPool {
			limitReached = filling >= spareMovesFactor*limit
		}
		if reason, waits := p.waitReason(i, m, limitReached); waits {
			d.Waits = append(d.Waits, Wait{Move: m, Reason: reason})
			continue
		}
		if from := p.home[i]; from != noPool {
			p.pools[from].serving--
			departing++
		} else {
			filling++
		}
		d.Moves = append(d.Moves, m)
	}
	return d
}

// movesInFlight counts the moves in progress: those out of a pool (departing)
// and those out of the spares (filling).
func (p *plan) movesInFlight() (departing, filling int) {
	for _, inst := range p.instances {
		switch {
		case inst.Phase != PhaseMoving:
		case inst.Pool == "":
			filling++
		default:
			departing++
		}
	}
	return departing, filling
}

func (p *plan) plannedMoves() []int {
	var order []int
	for i := range p.instances {
		if p.dest[i] != p.home[i] {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(moveOrder[p.reasons[a]], moveOrder[p.reasons[b]])
	})
	return order
}

// waitReason returns why a move has to wait, and whether it has to. A move out
// of a pool waits while the pool has no more serving instances than its highest
// budget: if it began then, callers would be refused in breach of the budget. A
// repair is exempt from the bound on moves in flight: the loss of a zone needs
// dozens of repairs at once, and each one that waits leaves a pool short.
func (p *plan) waitReason(i int, m Move, limitReached bool) (WaitReason, bool) {
	if p.instances[i].Phase != PhaseServing {
		return WaitPhase, true
	}
	if from := p.home[i]; from != noPool {
		if v := &p.pools[from]; v.serving <= v.budget {
			return WaitBudget, true
		}
	}
	repair := m.Reason == MoveReplaceLost || m.Reason == MoveBelowBudget
	return WaitInFlight, limitReached && !repair
}

func (p *plan) move(i int) Move {
	inst := p.instances[i]
	m := Move{Instance: inst.ID, From: p.nameOf(p.home[i]), To: p.nameOf(p.dest[i]), Reason: p.reasons[i]}
	if to := p.dest[i]; to != noPool {
		v := &p.pools[to]
		m.Revision = v.spec.Maintenance.Revision
		m.Detail = fmt.Sprintf("%s wants %d, had %d, lost %d", v.name, v.wanted, v.eligibleBefore, v.lost)
		return m
	}
	v := &p.pools[p.home[i]]
	m.Detail = fmt.Sprintf("%s wants %d, had %d", v.name, v.wanted, v.eligibleBefore)
	return m
}

func (p *plan) nameOf(pool int) string {
	if pool == noPool {
		return ""
	}
	return p.pools[pool].name
}
