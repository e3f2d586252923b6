package standin

import (
	"sort"
	"time"

	"cyclamenwheel/internal/platform"
)

// downCause is the reason why an instance is not live.
type downCause string

const (
	causeNone      downCause = ""
	causeOperation downCause = "operation"
	causeForced    downCause = "forced"
)

// PoolCount is the number of instances of a pool by state at one moment.
type PoolCount struct {
	Live int `json:"live"`
	// VoluntaryDown counts instances that drain or reboot for an operation,
	// ForcedDown those lost without one.
	VoluntaryDown int `json:"voluntary_down"`
	ForcedDown    int `json:"forced_down"`
}

// AvailabilityPoint is one change of a pool's counts.
type AvailabilityPoint struct {
	TimeMicros int64  `json:"time_us"`
	Pool       string `json:"pool"`
	PoolCount
}

// PoolAvailability summarizes a pool since the last reset.
type PoolAvailability struct {
	MinLive          int `json:"min_live"`
	MaxVoluntaryDown int `json:"max_voluntary_down"`
	MaxForcedDown    int `json:"max_forced_down"`
	// MinUnforced is the minimum of live plus forced down: how many would have been
	// live without forced losses, so that only operations lower it.
	MinUnforced int       `json:"min_unforced"`
	Now         PoolCount `json:"now"`
}

// Availability is the timeline of the live workers of every pool.
type Availability struct {
	Points []AvailabilityPoint         `json:"points"`
	Pools  map[string]PoolAvailability `json:"pools"`
}

// availability records the timeline; it is guarded by the fleet's lock.
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
		case w.downCause == causeOperation:
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
