// Package maintenance decides which instances are drained and rebooted into the
// maintenance revision that the manifest sets for their pool. The input is the
// manifest, the instances in the fold, the moves decided in the same round and
// the wave state of the previous round. The planner calls it once per round.
package maintenance

import "maps"

// WaveState is the part of the waves' progress that is kept in the planner's
// memory; everything else is read from the fold. It may be lost: a new planner
// starts again with the smallest window.
type WaveState struct {
	Pools map[string]PoolWave `json:"pools"`
	// Draining holds the drains in progress, by instance.
	Draining map[string]DrainInProgress `json:"draining"`
	// Failed holds the drains that failed or timed out, by instance.
	Failed map[string]Failure `json:"failed"`
}

// PoolWave is the progress of one pool's wave.
type PoolWave struct {
	Revision int `json:"revision"`
	// Window is the maximum number of concurrent drains.
	Window int `json:"window"`
	// Returned counts the instances that returned with the revision.
	Returned int `json:"returned"`
}

// DrainInProgress is a drain in progress.
type DrainInProgress struct {
	Pool     string `json:"pool"`
	Revision int    `json:"revision"`
	// SeenMillis is when this planner first saw the instance draining.
	SeenMillis int64 `json:"seen_ms"`
}

// Failure is a failed drain.
type Failure struct {
	Pool     string     `json:"pool"`
	Revision int        `json:"revision"`
	Reason   HaltReason `json:"reason"`
}

// clone copies the state, so that Decide doesn't modify its input.
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
		c.Draining = map[string]DrainInProgress{}
	}
	if c.Failed == nil {
		c.Failed = map[string]Failure{}
	}
	return c
}
