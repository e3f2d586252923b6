package fleetops

import (
	"time"

	"cyclamenwheel/internal/executor"
)

// demand is what is known of a pool's load over time.
type demand struct {
	at time.Duration
}

func (s *State) observeDemand(now time.Duration, pool string, _ executor.Summary) {
	s.demand[pool] = &demand{at: now}
}

func (s *State) decideMoves(_ time.Duration, _ *Actions) {}
