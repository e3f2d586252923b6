package executor

import (
	"cmp"
	"slices"
	"time"
)

// Capacity that is about to arrive. Load: a queue's demand peak exceeds its pool's capacity;
// instances are requested at once and are usable two seconds later. A job submitted meanwhile
// can still be on time on them, but one that is refused comes back a second later, when it no
// longer can. Counting the announced capacity lets the pool accept the jobs of a peak's first
// seconds.

// IncomingCapacity is CPU capacity that will be added to a pool.
type IncomingCapacity struct {
	CPUMilli int `cbor:"1,keyasint"`
	// InMs is how long after this message the capacity arrives.
	InMs int64 `cbor:"2,keyasint"`
}

// capacityArrival is announced capacity and the time at which it arrives.
type capacityArrival struct {
	cpuMilli float64
	at       time.Duration
}

// SetIncomingCapacity replaces the list of capacity that is about to be added to this pool.
func (c *Core) SetIncomingCapacity(now time.Duration, announced []IncomingCapacity) {
	c.incoming = c.incoming[:0]
	for _, a := range announced {
		c.incoming = append(c.incoming, capacityArrival{float64(a.CPUMilli), now + time.Duration(a.InMs)*time.Millisecond})
	}
	slices.SortFunc(c.incoming, func(a, b capacityArrival) int { return cmp.Compare(a.at, b.at) })
	c.incomingValidUntil = now + vacateFor
}

// drainMs returns how long a backlog, in milli-core-ms, takes to drain with the present capacity
// and what arrives meanwhile.
func (c *Core) drainMs(now time.Duration, backlog, cpuMilli float64) float64 {
	elapsed := 0.0
	if now > c.incomingValidUntil {
		return backlog / cpuMilli
	}
	for _, a := range c.incoming {
		until := float64((a.at - now).Milliseconds())
		drained := (until - elapsed) * cpuMilli
		if drained >= backlog {
			break
		}
		if until > elapsed {
			backlog -= drained
			elapsed = until
		}
		cpuMilli += a.cpuMilli * c.utilization.share()
	}
	return elapsed + backlog/cpuMilli
}

// capacityWithin returns how much work, in milli-core-ms, can be done within ms with the present
// capacity and what arrives meanwhile.
func (c *Core) capacityWithin(now time.Duration, ms, cpuMilli float64) float64 {
	sum := ms * cpuMilli
	if now > c.incomingValidUntil {
		return sum
	}
	for _, a := range c.incoming {
		sum += max(0, ms-float64((a.at-now).Milliseconds())) * a.cpuMilli * c.utilization.share()
	}
	return sum
}
