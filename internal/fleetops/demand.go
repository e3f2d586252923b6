package fleetops

import (
	"math"
	"time"

	"cyclamenwheel/internal/executor"
)

// demand is what is known of a pool's load over time.
type demand struct {
	at      time.Duration
	offered float64
	// rate is the work offered, in milli-cores: fast to rise, slow to fall.
	// slow follows it evenly.
	rate, slow float64
	// tooMany is since when the pool has had more than it needs.
	tooMany time.Duration
}

func (s *State) observeDemand(now time.Duration, pool string, sum executor.Summary) {
	d := s.demand[pool]
	if d == nil {
		d = &demand{}
		s.demand[pool] = d
	}
	if d.at == 0 {
		d.at, d.offered = now, sum.OfferedCoreMs
		return
	}
	if sum.OfferedCoreMs < d.offered {
		// A new owner counts from zero. Callers go on as before: taken for a
		// turn that has ended, its pool would be stripped of its instances.
		d.at, d.offered = now, sum.OfferedCoreMs
		return
	}
	elapsed := now - d.at
	if elapsed <= 0 {
		return
	}
	rate := (sum.OfferedCoreMs - d.offered) * 1000 / float64(elapsed.Milliseconds()+1)
	window := fallWindow
	if rate > d.rate {
		window = riseWindow
	}
	weight := 1 - math.Exp(-float64(elapsed)/float64(window))
	d.rate += weight * (rate - d.rate)
	d.slow += (1 - math.Exp(-float64(elapsed)/float64(fallWindow))) * (rate - d.slow)
	d.at, d.offered = now, sum.OfferedCoreMs
}

// expected is the work offered by the time that an instance called now has
// arrived. A turn of demand takes a second or two to rise; the lead of the fast
// mean over the slow one says how fast.
func (d *demand) expected() float64 {
	return min(d.rate+riseLead*max(0, d.rate-d.slow), riseMost*d.rate)
}

// demandRecords is what a successor is told of the demand. Load: the holder dies in a
// turn; without it its successor sees no demand for a second, and neither calls
// instances ahead nor leaves a pool in its turn those that it has.
func (s *State) demandRecords() map[string]demandRecord {
	out := make(map[string]demandRecord, len(s.demand))
	for pool, d := range s.demand {
		out[pool] = demandRecord{Rate: d.rate, Slow: d.slow}
	}
	return out
}

// longestFade bounds how old a predecessor's word on the demand is taken to be: the
// time of day may have jumped meanwhile.
const longestFade = 10 * time.Second

// restoreDemand takes in a predecessor's word of the given age. Demand fades meanwhile
// as it does without callers. Load: all processes lose power in a turn of demand and
// are back two seconds later. As fresh, the demand of a turn that is over held thirty
// idle instances for another two seconds, while the next queue's callers waited before
// four endpoints.
func (s *State) restoreDemand(records map[string]demandRecord, age time.Duration) {
	fade := math.Exp(-float64(min(max(0, age), longestFade)) / float64(fallWindow))
	for pool, r := range records {
		if r.Rate >= 0 && r.Slow >= 0 {
			s.demand[pool] = &demand{rate: fade * r.Rate, slow: fade * r.Slow}
		}
	}
}
