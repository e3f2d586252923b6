package fleetops

import (
	"cmp"
	"slices"
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

// incomingCPU is, for each pool, the capacity of the instances on their way there, in milli-cores.
func (s *State) incomingCPU(now time.Duration) map[string]float64 {
	sums := map[string]float64{}
	for _, op := range s.ops {
		if pool, onItsWay := s.incomingTo(now, op); onItsWay {
			sums[pool] += float64(s.instances[op.Instance].CPUMilli)
		}
	}
	return sums
}

// IncomingCapacity is, for each pool, the CPU capacity on its way there, and the capacity that could
// be requested at once: switched-off instances and the surplus of other pools.
func (s *State) IncomingCapacity(now time.Duration, pools []string) map[string][]executor.IncomingCapacity {
	unit := s.meanInstanceCPU()
	idle := s.idleSpareCPU()
	balances := s.balances(now, unit)
	onTheirWay := s.incomingByArrival(now)
	incoming := make(map[string][]executor.IncomingCapacity, len(pools))
	for _, pool := range pools {
		available := idle
		for _, b := range balances {
			if b.pool != pool && b.shortfall() < -unit {
				available -= b.shortfall()
			}
		}
		incoming[pool] = append(onTheirWay[pool], executor.IncomingCapacity{CPUMilli: int(available), InMs: (s.limits.MoveTime + joinTime).Milliseconds()})
	}
	return incoming
}

// arrivalStep is the resolution of arrival times that owners are told: the message to a pool's owner
// then has as many entries as a move has steps, however many instances are on their way.
const arrivalStep = 100 * time.Millisecond

// incomingByArrival is, for each pool, the capacity on its way there by the time left until its
// arrival, rounded up to a whole arrivalStep, the soonest first.
func (s *State) incomingByArrival(now time.Duration) map[string][]executor.IncomingCapacity {
	type arrival struct {
		pool  string
		steps int64
	}
	sums := map[arrival]int{}
	for _, op := range s.ops {
		pool, onItsWay := s.incomingTo(now, op)
		if !onItsWay {
			continue
		}
		left := s.limits.MoveTime + joinTime
		if op.Kind == KindMaintain {
			left = s.limits.MaintainTime + joinTime
		}
		if op.acceptedAt > 0 {
			left -= now - op.acceptedAt
		}
		steps := (max(0, left) + arrivalStep - 1) / arrivalStep
		sums[arrival{pool, int64(steps)}] += s.instances[op.Instance].CPUMilli
	}
	out := map[string][]executor.IncomingCapacity{}
	for a, cpu := range sums {
		out[a.pool] = append(out[a.pool], executor.IncomingCapacity{CPUMilli: cpu, InMs: a.steps * arrivalStep.Milliseconds()})
	}
	for _, list := range out {
		slices.SortFunc(list, func(x, y executor.IncomingCapacity) int { return cmp.Compare(x.InMs, y.InMs) })
	}
	return out
}

// incomingTo returns the pool to which an operation brings its instance: the instance moves there,
// or comes back from maintenance sooner than another could be requested. One that has had the time
// to arrive is part of the pool's own capacity, if it did arrive.
func (s *State) incomingTo(now time.Duration, op *Operation) (pool string, onItsWay bool) {
	if op.Phase == PhaseEnded {
		return "", false
	}
	if op.Kind == KindMaintain {
		return op.From, op.acceptedAt > 0 && now-op.acceptedAt < s.limits.MaintainTime+viewLag
	}
	arrived := op.acceptedAt > 0 && now-op.acceptedAt > s.limits.MoveTime+viewLag
	return op.To, !arrived
}
