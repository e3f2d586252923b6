package fleetops

import (
	"math"
	"time"

	"cyclamenwheel/internal/executor"
)

// demand is a pool's measured load over time.
type demand struct {
	observedAt   time.Duration
	offeredTotal float64
	// rate is the smoothed work offered, in milli-cores; it rises fast and falls slowly. slowRate
	// follows the offered work at the same slow speed both ways.
	rate, slowRate float64
	// surplusSince is when the pool began to have more than it needs, 0 if it does not.
	surplusSince time.Duration
}

func (s *State) observeDemand(now time.Duration, pool string, sum executor.Summary) {
	d := s.demand[pool]
	if d == nil {
		d = &demand{}
		s.demand[pool] = d
	}
	if d.observedAt == 0 {
		d.observedAt, d.offeredTotal = now, sum.OfferedCoreMs
		return
	}
	if sum.OfferedCoreMs < d.offeredTotal {
		// A new owner counts from zero while callers continue as before. Taken for the end of a
		// burst, the reset would cost the pool its instances.
		d.observedAt, d.offeredTotal = now, sum.OfferedCoreMs
		return
	}
	elapsed := now - d.observedAt
	if elapsed <= 0 {
		return
	}
	rate := (sum.OfferedCoreMs - d.offeredTotal) * 1000 / float64(elapsed.Milliseconds()+1)
	window := fallWindow
	if rate > d.rate {
		window = riseWindow
	}
	weight := 1 - math.Exp(-float64(elapsed)/float64(window))
	d.rate += weight * (rate - d.rate)
	d.slowRate += (1 - math.Exp(-float64(elapsed)/float64(fallWindow))) * (rate - d.slowRate)
	d.observedAt, d.offeredTotal = now, sum.OfferedCoreMs
}

// forecast is the work offered by the time an instance that is moved now has arrived. A burst
// takes a second or two to rise; the difference between the fast and the slow mean shows how
// steeply.
func (d *demand) forecast() float64 {
	return min(d.rate+trendFactor*max(0, d.rate-d.slowRate), maxRiseFactor*d.rate)
}

// demandRecords returns the demand for a successor. Load: the holder crashes during a burst.
// Without the records its successor sees no demand for a second, and neither moves instances ahead
// of demand nor leaves the bursting pool those that it has.
func (s *State) demandRecords() map[string]demandRecord {
	out := make(map[string]demandRecord, len(s.demand))
	for pool, d := range s.demand {
		out[pool] = demandRecord{Rate: d.rate, SlowRate: d.slowRate}
	}
	return out
}

// maxDecayAge limits the assumed age of a predecessor's demand records: the wall clock may have
// jumped in between.
const maxDecayAge = 10 * time.Second

// restoreDemand restores a predecessor's demand records of the given age. Demand decays over that
// time as it does without callers. Load: all processes lose power during a burst and restart two
// seconds later. Restored without decay, the demand of a burst that had ended held thirty idle
// instances for another two seconds, while callers of the next queue waited for four endpoints.
func (s *State) restoreDemand(records map[string]demandRecord, age time.Duration) {
	decay := math.Exp(-float64(min(max(0, age), maxDecayAge)) / float64(fallWindow))
	for pool, r := range records {
		if r.Rate >= 0 && r.SlowRate >= 0 {
			s.demand[pool] = &demand{rate: decay * r.Rate, slowRate: decay * r.SlowRate}
		}
	}
}
