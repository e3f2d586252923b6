package fleetops

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cyclamenwheel/internal/executor"
)

// balance is a pool's capacity against its need, in milli-cores.
type balance struct {
	pool string
	// have includes instances on their way to the pool.
	have, need float64
	// longRunningNeed is the part of need that long-running tasks require.
	longRunningNeed float64
	// futureNeed is what the pool needs by the time an instance that it gives away could be back.
	futureNeed float64
	// reserve is the capacity that the pool keeps although it needs less.
	reserve float64
}

func (b balance) shortfall() float64 { return b.need - b.have }

// surplus is the capacity beyond what the pool needs or keeps in reserve.
func (b balance) surplus() float64 { return b.have - max(b.need, b.reserve) }

// availableFor is the capacity that the pool can give to another one without becoming as short as
// that one.
func (b balance) availableFor(to balance, unit float64) float64 {
	if b.shortfall()+unit > to.shortfall()-minShortfall*unit {
		return -b.shortfall()
	}
	return b.have - b.futureNeed
}

// lacksLongRunning reports whether the pool has too little capacity for its long-running tasks.
func (b balance) lacksLongRunning(unit float64) bool {
	return b.longRunningNeed-b.have > minShortfall*unit
}

// meanInstanceCPU is the mean size of an instance, in milli-cores.
func (s *State) meanInstanceCPU() float64 {
	if len(s.instances) == 0 {
		return 0
	}
	return float64(s.instancesCPU) / float64(len(s.instances))
}

func (s *State) balances(now time.Duration, unit float64) []balance {
	var out []balance
	incoming, leaving := s.incomingCPU(now), s.leavingCPU()
	for pool, v := range s.pools {
		b := balance{pool: pool, have: max(0, float64(v.Summary.CapacityMilli)+incoming[pool]-leaving[pool])}
		s.computeNeeds(&b, v.Summary, unit)
		out = append(out, b)
	}
	slices.SortFunc(out, func(x, y balance) int { return cmp.Compare(x.pool, y.pool) })
	return out
}

// leavingCPU is, for each pool, the capacity of instances whose operations began after the owner was
// asked for its last summary, so that it counts them still, in milli-cores. Counted as the pool's, each
// round until the next summary would switch off as many again.
func (s *State) leavingCPU() map[string]float64 {
	sums := map[string]float64{}
	for _, op := range s.ops {
		view := s.pools[op.From]
		if op.Phase == PhaseVacating && view != nil && !view.endpointLoads[op.Endpoint].Unusable && (op.firstAskedAt == 0 || op.firstAskedAt > view.AskedAt) {
			sums[op.From] += float64(s.instances[op.Instance].CPUMilli)
		}
	}
	return sums
}

// computeNeeds fills in what a pool needs now and what it will need later.
func (s *State) computeNeeds(b *balance, sum executor.Summary, unit float64) {
	rate := 0.0
	if d := s.demand[b.pool]; d != nil {
		rate = d.forecast()
	}
	running := float64(sum.RunningCPUMilli - sum.LongRunningCPUMilli)
	drain := sum.ReadyCoreMs * 1000 / float64(backlogDrainTime.Milliseconds())
	longRunningNeed := float64(sum.LongRunningCPUMilli)
	// Long-running tasks that must run apart need endpoints of their own, of whatever size, and one
	// more to move to when one of these is vacated.
	if sum.MinEndpoints > 0 {
		longRunningNeed = max(longRunningNeed, float64(sum.MinEndpoints+1)*unit)
	}
	if sum.Starved > 0 {
		longRunningNeed = max(longRunningNeed, float64(sum.CapacityMilli)+float64(min(sum.Starved, maxStarvedSteps))*unit)
	}
	needFor := func(work float64) float64 {
		return max(longRunningNeed, float64(sum.LongRunningCPUMilli)+max(minInstances*unit, headroom*(work+drain)))
	}
	b.longRunningNeed = longRunningNeed
	b.reserve = max(longRunningNeed, float64(sum.LongRunningCPUMilli)+s.reserveInstances()*unit)
	b.need = needFor(max(rate, running))
	b.futureNeed = needFor(max(rate, runningRetained*running))
}

// reserveInstances is how many instances a pool keeps, if it has them, beyond the capacity of its
// long-running tasks. Bursts grow with the fleet: two instances hold the first jobs of a burst in a
// pool of ten, and next to nothing of one in a pool of a thousand.
func (s *State) reserveInstances() float64 {
	return math.Floor(reserveShare * float64(len(s.instances)) / float64(max(1, len(s.pools))))
}

// Balances returns each pool's capacity and need, for the log.
func (s *State) Balances(now time.Duration) []Balance {
	var out []Balance
	for _, b := range s.balances(now, s.meanInstanceCPU()) {
		v := s.pools[b.pool]
		line := Balance{Pool: b.pool, HaveCores: b.have / 1000, NeedCores: b.need / 1000,
			ReadyCoreS: v.Summary.ReadyCoreMs / 1000, RunningCores: float64(v.Summary.RunningCPUMilli) / 1000,
			LongRunningCores: float64(v.Summary.LongRunningCPUMilli) / 1000, Endpoints: v.Summary.Endpoints}
		if d := s.demand[b.pool]; d != nil {
			line.OfferedCores = d.rate / 1000
		}
		out = append(out, line)
	}
	return out
}

// Balance is a pool's capacity against its need.
type Balance struct {
	Pool                                       string
	HaveCores, NeedCores, OfferedCores         float64
	ReadyCoreS, RunningCores, LongRunningCores float64
	Endpoints                                  int
}
