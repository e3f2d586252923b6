package standin

import (
	"sort"
	"time"

	"cyclamenwheel/internal/platform"
)

// cause tells why an instance is not live.
type cause string

const (
	causeNone      cause = ""
	causeOperation cause = "operation"
	causeForced    cause = "forced"
)

// PoolCount is how a pool stands at one moment.
type PoolCount struct {
	Live int `json:"live"`
	// VoluntaryDown instances are draining or rebooting for an operation,
	// ForcedDown ones were lost without one.
	VoluntaryDown int `json:"voluntary_down"`
	ForcedDown    int `json:"forced_down"`
}

// AvailabilityPoint is one change of a pool's count.
type AvailabilityPoint struct {
	TimeMicros int64  `json:"time_us"`
	Pool       string `json:"pool"`
	PoolCount
}

// PoolAvailability sums up a pool since the last reset.
type PoolAvailability struct {
	MinLive          int `json:"min_live"`
	MaxVoluntaryDown int `json:"max_voluntary_down"`
	MaxForcedDown    int `json:"max_forced_down"`
	// MinUnforced is the least of live plus forced down: what would have been
	// live without forced losses. It is what the system's own acts left.
	MinUnforced int       `json:"min_unforced"`
	Now         PoolCount `json:"now"`
}

// Availability is the timeline of every pool's live workers.
type Availability struct {
	Points []AvailabilityPoint         `json:"points"`
	Pools  map[string]PoolAvailability `json:"pools"`
}

// availability records the timeline; the fleet's lock guards it.
type availability struct {
	points []AvailabilityPoint
	pools  map[string]PoolAvailability
}

func (a *availability) observe(workers []*member) {
	counts := map[string]PoolCount{}
	for pool := range a.pools {
		counts[pool] = PoolCount{}
	}
	for _, w := range workers {
		if w.row.Kind != platform.KindWorker {
			continue
		}
		c := counts[w.row.Pool]
		switch {
		case w.row.State == platform.StateLive:
			c.Live++
		case w.down == causeOperation:
			c.VoluntaryDown++
		default:
			c.ForcedDown++
		}
		counts[w.row.Pool] = c
	}
	a.record(counts)
}

func (a *availability) record(counts map[string]PoolCount) {
	names := make([]string, 0, len(counts))
	for pool := range counts {
		names = append(names, pool)
	}
	sort.Strings(names)
	now := time.Now().UnixMicro()
	for _, pool := range names {
		c := counts[pool]
		sum, known := a.pools[pool]
		if known && sum.Now == c {
			continue
		}
		a.points = append(a.points, AvailabilityPoint{TimeMicros: now, Pool: pool, PoolCount: c})
		if !known {
			sum = PoolAvailability{MinLive: c.Live, MinUnforced: c.Live + c.ForcedDown}
		}
		sum.Now = c
		sum.MinLive = min(sum.MinLive, c.Live)
		sum.MinUnforced = min(sum.MinUnforced, c.Live+c.ForcedDown)
		sum.MaxVoluntaryDown = max(sum.MaxVoluntaryDown, c.VoluntaryDown)
		sum.MaxForcedDown = max(sum.MaxForcedDown, c.ForcedDown)
		a.pools[pool] = sum
	}
}

func (a *availability) snapshot() Availability {
	out := Availability{Points: append([]AvailabilityPoint{}, a.points...), Pools: map[string]PoolAvailability{}}
	for pool, sum := range a.pools {
		out.Pools[pool] = sum
	}
	return out
}
