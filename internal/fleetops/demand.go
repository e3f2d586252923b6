package fleetops

import (
	"math"
	"time"

	"cyclamenwheel/internal/executor"
)

// demand is what is known of a pool's load over time.
type demand struct {
	observedAt   time.Duration
	offeredTotal float64
	// rate is the work offered, in milli-cores: fast to rise, slowRate to fall.
	// slowRate follows it evenly.
	rate, slowRate float64
	// surplusSince is since when the pool has had more than it needs.
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
		// A new owner counts from zero. Callers go on as before: taken for a
		// turn that has ended, its pool would be stripped of its instances.
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

// forecast is the work offered by the time that an instance called now has
// arrived. A turn of demand takes a second or two to rise; the lead of the fast
// mean over the slow one says how fast.
func (d *demand) forecast() float64 {
	return min(d.rate+trendFactor*max(0, d.rate-d.slowRate), maxRiseFactor*d.rate)
}

// demandRecords is what a successor is told of the demand. Load: the holder dies in a
// turn; without it its successor sees no demand for a second, and neither calls
// instances ahead nor leaves a pool in its turn those that it has.
func (s *State) demandRecords() map[string]demandRecord {
	out := make(map[string]demandRecord, len(s.demand))
	for pool, d := range s.demand {
		out[pool] = demandRecord{Rate: d.rate, SlowRate: d.slowRate}
	}
	return out
}

// maxDecayAge bounds how old a predecessor's word on the demand is taken to be: the
// time of day may have jumped meanwhile.
const maxDecayAge = 10 * time.Second

// restoreDemand takes in a predecessor's word of the given age. Demand fades meanwhile
// as it does without callers. Load: all processes lose power in a turn of demand and
// are back two seconds later. As fresh, the demand of a turn that is over held thirty
// idle instances for another two seconds, while the next queue's callers waited before
// four endpoints.
func (s *State) restoreDemand(records map[string]demandRecord, age time.Duration) {
	decay := math.Exp(-float64(min(max(0, age), maxDecayAge)) / float64(fallWindow))
	for pool, r := range records {
		if r.Rate >= 0 && r.SlowRate >= 0 {
			s.demand[pool] = &demand{rate: decay * r.Rate, slowRate: decay * r.SlowRate}
		}
	}
}
