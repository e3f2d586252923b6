package fleetops

import (
	"time"

	"cyclamenwheel/internal/executor"
)

// idleSpareCPU is the capacity of the switched-off instances that could be moved to a pool, in
// milli-cores.
func (s *State) idleSpareCPU() float64 {
	sum := 0.0
	for _, i := range s.instances {
		if i.Pool == s.spare && s.spare != "" && i.Up && s.activeOperation(i.Name) == nil {
			sum += float64(i.CPUMilli)
		}
	}
	return sum
}

// incomingCPU is the capacity of the instances on their way to a pool, in milli-cores.
func (s *State) incomingCPU(now time.Duration, pool string) float64 {
	sum := 0.0
	for _, op := range s.ops {
		if s.isIncoming(now, op, pool) {
			sum += float64(s.instances[op.Instance].CPUMilli)
		}
	}
	return sum
}

// IncomingCapacity is, for each pool, the CPU capacity on its way there, and the capacity that could
// be requested at once: switched-off instances and the surplus of other pools.
func (s *State) IncomingCapacity(now time.Duration, pools []string) map[string][]executor.IncomingCapacity {
	unit := s.meanInstanceCPU()
	idle := s.idleSpareCPU()
	balances := s.balances(now, unit)
	incoming := make(map[string][]executor.IncomingCapacity, len(pools))
	for _, pool := range pools {
		available := idle
		for _, b := range balances {
			if b.pool != pool && b.shortfall() < -unit {
				available -= b.shortfall()
			}
		}
		incoming[pool] = append(s.incomingInstances(now, pool), executor.IncomingCapacity{CPUMilli: int(available), InMs: (s.limits.MoveTime + joinTime).Milliseconds()})
	}
	return incoming
}

// incomingInstances are the instances on their way to a pool.
func (s *State) incomingInstances(now time.Duration, pool string) []executor.IncomingCapacity {
	var out []executor.IncomingCapacity
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
		out = append(out, executor.IncomingCapacity{CPUMilli: s.instances[op.Instance].CPUMilli, InMs: max(0, left).Milliseconds()})
	}
	return out
}

// isIncoming reports whether an operation brings its instance to a pool: the instance moves there,
// or comes back from maintenance sooner than another could be requested. One that has had the time
// to arrive is part of the pool's own capacity, if it did arrive.
func (s *State) isIncoming(now time.Duration, op *Operation, pool string) bool {
	if op.Phase == PhaseEnded {
		return false
	}
	if op.Kind == KindMaintain {
		return op.From == pool && op.acceptedAt > 0 && now-op.acceptedAt < s.limits.MaintainTime+viewLag
	}
	arrived := op.acceptedAt > 0 && now-op.acceptedAt > s.limits.MoveTime+viewLag
	return op.To == pool && !arrived
}
