package pools

import (
	"cmp"
	"fmt"
	"slices"
)

// moveOrder is the order in which moves are begun: what restores a service
// first, what only tidies up last.
var moveOrder = map[MoveReason]int{
	MoveReplaceLost:     0,
	MoveBelowBudget:     1,
	MoveListedElsewhere: 2,
	MoveMakeRoom:        3,
	MovePoolShort:       4,
	MovePoolOver:        5,
	MoveReleaseToSpare:  6,
}

// decision turns the plan into moves that may begin now and moves that wait.
func (p *plan) decision() Decision {
	d := Decision{Shortfalls: p.shortfalls}
	limit := cmp.Or(p.in.Limits.MaxMovesInFlight, DefaultMaxMovesInFlight)
	taken, filling := p.underWay()
	for _, i := range p.planned() {
		m := p.move(i)
		full := taken >= limit
		if p.home[i] == noPool {
			full = filling >= fillFactor*limit
		}
		if reason, wait := p.mustWait(i, m, full); wait {
			d.Waits = append(d.Waits, Wait{Move: m, Reason: reason})
			continue
		}
		if from := p.home[i]; from != noPool {
			p.pools[from].serving--
			taken++
		} else {
			filling++
		}
		d.Moves = append(d.Moves, m)
	}
	return d
}

// underWay counts the moves in progress: those that take an instance out of a
// pool, and those that fill one from the spares.
func (p *plan) underWay() (taken, filling int) {
	for _, inst := range p.instances {
		switch {
		case inst.Phase != PhaseMoving:
		case inst.Pool == "":
			filling++
		default:
			taken++
		}
	}
	return taken, filling
}

func (p *plan) planned() []int {
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

// mustWait tells whether a move has to wait. A move out of a pool waits while
// the pool has no more instances serving than its strictest budget: begun
// then, it would refuse callers that the operator promised to serve. A repair
// is exempt from the bound on moves in flight: a zone that is lost needs
// dozens at once, and each one that waits leaves a pool short.
func (p *plan) mustWait(i int, m Move, full bool) (WaitReason, bool) {
	if p.instances[i].Phase != PhaseServing {
		return WaitPhase, true
	}
	if from := p.home[i]; from != noPool {
		if v := &p.pools[from]; v.serving <= v.budget {
			return WaitBudget, true
		}
	}
	repair := m.Reason == MoveReplaceLost || m.Reason == MoveBelowBudget
	return WaitInFlight, full && !repair
}

func (p *plan) move(i int) Move {
	inst := p.instances[i]
	m := Move{Instance: inst.ID, From: p.nameOf(p.home[i]), To: p.nameOf(p.dest[i]), Reason: p.reasons[i]}
	if to := p.dest[i]; to != noPool {
		v := &p.pools[to]
		m.Revision = v.spec.Maintenance.Revision
		m.Detail = fmt.Sprintf("%s wants %d, had %d, lost %d", v.name, v.want, v.had, v.lost)
		return m
	}
	v := &p.pools[p.home[i]]
	m.Detail = fmt.Sprintf("%s wants %d, had %d", v.name, v.want, v.had)
	return m
}

func (p *plan) nameOf(pool int) string {
	if pool == noPool {
		return ""
	}
	return p.pools[pool].name
}
