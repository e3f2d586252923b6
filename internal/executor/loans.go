package executor

import (
	"cmp"
	"slices"
	"time"
)

// Room that is on its way. Load: a queue's turn begins with more than its pool
// holds, instances are called at once and work two seconds later. A job that comes
// while they are on their way can still be in time on them, and one that is refused
// comes back a second later, when it can't. Counted in, the room takes the jobs of a
// turn's first seconds.

// Loan is processor room that will come to a pool.
type Loan struct {
	CPUMilli int `cbor:"1,keyasint"`
	// InMs is when, from the moment that this is said.
	InMs int64 `cbor:"2,keyasint"`
}

type loan struct {
	cpuMilli float64
	at       time.Duration
}

// Lent takes in the room that comes to this pool.
func (c *Core) Lent(now time.Duration, loans []Loan) {
	c.loans = c.loans[:0]
	for _, l := range loans {
		c.loans = append(c.loans, loan{float64(l.CPUMilli), now + time.Duration(l.InMs)*time.Millisecond})
	}
	slices.SortFunc(c.loans, func(a, b loan) int { return cmp.Compare(a.at, b.at) })
	c.loansUntil = now + vacateFor
}

// waitMs is how long a backlog, in milli-core-ms, takes to drain with the room that
// is here and what comes meanwhile.
func (c *Core) waitMs(now time.Duration, backlog, room float64) float64 {
	passed := 0.0
	if now > c.loansUntil {
		return backlog / room
	}
	for _, l := range c.loans {
		until := float64((l.at - now).Milliseconds())
		drained := (until - passed) * room
		if drained >= backlog {
			break
		}
		if until > passed {
			backlog -= drained
			passed = until
		}
		room += l.cpuMilli
	}
	return passed + backlog/room
}
