package fleetops

import (
	"time"

	"cyclamenwheel/internal/executor"
)

// idleSpare is the room of the instances that are switched off and could be called.
func (s *State) idleSpare() float64 {
	sum := 0.0
	for _, i := range s.instances {
		if i.Pool == s.spare && s.spare != "" && i.Up && s.active(i.Name) == nil {
			sum += float64(i.CPUMilli)
		}
	}
	return sum
}

// incoming is the room of instances that are on their way to a pool.
func (s *State) incoming(now time.Duration, pool string) float64 {
	sum := 0.0
	for _, op := range s.ops {
		if s.isComing(now, op, pool) {
			sum += float64(s.instances[op.Instance].CPUMilli)
		}
	}
	return sum
}

// Loans is, for each pool, the processor room that comes to it, and what could be
// called at once: what is switched off, and what others do not need.
func (s *State) Loans(now time.Duration, pools []string) map[string][]executor.Loan {
	unit := s.typicalCPU()
	idle := s.idleSpare()
	balances := s.balances(now, unit)
	loans := make(map[string][]executor.Loan, len(pools))
	for _, to := range pools {
		callable := idle
		for _, b := range balances {
			if b.pool != to && b.gap() < -unit {
				callable -= b.gap()
			}
		}
		loans[to] = append(s.arrivals(now, to), executor.Loan{CPUMilli: int(callable), InMs: (s.limits.MoveTime + noticeTime).Milliseconds()})
	}
	return loans
}

// arrivals are the instances that are on their way to a pool.
func (s *State) arrivals(now time.Duration, pool string) []executor.Loan {
	var out []executor.Loan
	for _, op := range s.ops {
		if !s.isComing(now, op, pool) {
			continue
		}
		left := s.limits.MoveTime + noticeTime
		if op.Kind == KindMaintain {
			left = s.limits.MaintainTime + noticeTime
		}
		if op.accepted > 0 {
			left -= now - op.accepted
		}
		out = append(out, executor.Loan{CPUMilli: s.instances[op.Instance].CPUMilli, InMs: max(0, left).Milliseconds()})
	}
	return out
}

// isComing reports whether an operation brings its instance to a pool: it moves
// there, or comes back from maintenance sooner than another could be called. One
// that has had the time to arrive counts among the pool's own, if it did.
func (s *State) isComing(now time.Duration, op *Operation, pool string) bool {
	if op.Phase == PhaseOver {
		return false
	}
	if op.Kind == KindMaintain {
		return op.From == pool && op.accepted > 0 && now-op.accepted < s.limits.MaintainTime+viewEvery
	}
	arrived := op.accepted > 0 && now-op.accepted > s.limits.MoveTime+viewEvery
	return op.To == pool && !arrived
}
