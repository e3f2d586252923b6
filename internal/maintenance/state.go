// Package maintenance decides when the instances of a pool are drained and
// rebooted into the maintenance revision that the manifest names.
package maintenance

import "maps"

// WaveState is what the planner remembers of the waves in progress. All else
// is read from the fold. It may be lost: a new planner starts small again.
type WaveState struct {
	Pools map[string]PoolWave `json:"pools"`
	// Draining holds the drains that have not been seen to end, by instance.
	Draining map[string]Drained `json:"draining"`
	// Failed holds the drains that ended badly or not in time, by instance.
	Failed map[string]Failure `json:"failed"`
}

// PoolWave is how far one pool's wave has got.
type PoolWave struct {
	Revision int `json:"revision"`
	// Window is how many instances may be drained at a time.
	Window int `json:"window"`
	// Returned counts the instances that came back well.
	Returned int `json:"returned"`
}

// Drained is a drain whose end has not been seen.
type Drained struct {
	Pool     string `json:"pool"`
	Revision int    `json:"revision"`
	// SeenMillis is when this planner first saw the instance draining.
	SeenMillis int64 `json:"seen_ms"`
}

// Failure is a drain that ended badly.
type Failure struct {
	Pool     string     `json:"pool"`
	Revision int        `json:"revision"`
	Reason   HaltReason `json:"reason"`
}

// clone copies a state so that Decide leaves its input alone.
func (s WaveState) clone() WaveState {
	c := WaveState{
		Pools:    maps.Clone(s.Pools),
		Draining: maps.Clone(s.Draining),
		Failed:   maps.Clone(s.Failed),
	}
	if c.Pools == nil {
		c.Pools = map[string]PoolWave{}
	}
	if c.Draining == nil {
		c.Draining = map[string]Drained{}
	}
	if c.Failed == nil {
		c.Failed = map[string]Failure{}
	}
	return c
}
