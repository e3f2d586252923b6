package fleetops

import (
	"time"

	"cyclamenwheel/internal/executor"
)

// idleSpareCPU is the room of the instances that are switched off and could be called.
func (s *State) idleSpareCPU() float64 {
	sum := 0.0
	for _, i := range s.instances {
		if i.Pool == s.spare && s.spare != "" && i.Up && s.activeOperation(i.Name) == nil {
			sum += float64(i.CPUMilli)
		}
	}
	return sum
}

// incomingCPU is the room of instances that are on their way to a pool.
func (s *State) incomingCPU(now time.Duration, pool string) float64 {
	sum := 0.0
	for _, op := range s.ops {
		if s.isIncoming(now, op, pool) {
			sum += float64(s.instances[op.Instance].CPUMilli)
		}
	}
	return sum
}

// Loans is, for each pool, the processor room that comes to it, and what could be
// called at once: what is switched off, and what others do not need.
func (s *State) Loans(now time.Duration, pools []string) map[string][]executor.Loan {
	unit := s.meanInstanceCPU()
	idle := s.idleSpareCPU()
	balances := s.balances(now, unit)
	loans := make(map[string][]executor.Loan, len(pools))
	for _, pool := range pools {
		available := idle
		for _, b := range balances {
			if b.pool != pool && b.shortfall() < -unit {
				available -= b.shortfall()
			}
		}
		loans[pool] = append(s.incomingInstances(now, pool), executor.Loan{CPUMilli: int(available), InMs: (s.limits.MoveTime + joinTime).Milliseconds()})
	}
	return loans
}

// incomingInstances are the instances that are on their way to a pool.
func (s *State) incomingInstances(now time.Duration, pool string) []executor.Loan {
	var out []executor.Loan
	for _, op := range s.ops {
		if !s.isIncoming(now, op, pool) {
			continue
		}
		left := s.limits.MoveTime + joinTime
		if op.Kind == KindMaintain {
			left = s.limits.MaintainTime + joinTime
		}
		if op.acceptedAt > 0 {
			left -= now - op.acceptedAt
		}
		out = append(out, executor.Loan{CPUMilli: s.instances[op.Instance].CPUMilli, InMs: max(0, left).Milliseconds()})
	}
	return out
}

// isIncoming reports whether an operation brings its instance to a pool: it moves
// there, or comes back from maintenance sooner than another could be called. One
// that has had the time to arrive counts among the pool's own, if it did.
func (s *State) isIncoming(now time.Duration, op *Operation, pool string) bool {
	if op.Phase == PhaseOver {
		return false
	}
	if op.Kind == KindMaintain {
		return op.From == pool && op.acceptedAt > 0 && now-op.acceptedAt < s.limits.MaintainTime+viewLag
	}
	arrived := op.acceptedAt > 0 && now-op.acceptedAt > s.limits.MoveTime+viewLag
	return op.To == pool && !arrived
}
