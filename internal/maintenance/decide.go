package maintenance

import (
	"cmp"
	"time"

	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/pools"
)

const (
	// DefaultWaveParallel bounds drains at a time where the manifest names no
	// bound: one rack of the usual size.
	DefaultWaveParallel = 4
	// DefaultReturnLimit is how long a drained instance may take to come back.
	// It covers the longest request deadline, the reboot and the lag of the
	// instance list several times over; a shorter one would halt waves that
	// are only slow.
	DefaultReturnLimit = 5 * time.Minute
	// firstWindow is how many instances of a pool are drained before one has
	// come back: a bad revision then costs one instance.
	firstWindow = 1
	// rackWindow is the window up to which all drains of a pool are inside one
	// rack. By then one instance has shown that the revision works, and what is
	// left to find out about is a rack, not a zone.
	rackWindow = 2
	// haltAllAfter is how many pools' waves must have failed before all waves
	// halt. Failures in two pools point at what the pools share.
	haltAllAfter = 2
)

// HaltReason tells why a pool's wave does not go on.
type HaltReason string

// Reasons of a halt.
const (
	// HaltPaused: the operator paused the wave.
	HaltPaused HaltReason = "paused"
	// HaltNotBack: a drained instance is not back within the limit.
	HaltNotBack HaltReason = "not_back_in_time"
	// HaltLost: a drained instance went down.
	HaltLost HaltReason = "lost_after_drain"
	// HaltBadReturn: a drained instance serves again without the revision.
	HaltBadReturn HaltReason = "back_without_revision"
	// HaltOtherPools: waves of several other pools failed.
	HaltOtherPools HaltReason = "other_waves_failed"
	// HaltBudget: every instance that serves is needed to keep the budget.
	HaltBudget HaltReason = "budget"
	// HaltNoHeadroom: the pool lists its instances by id and its budget is all
	// of them, so that none may ever be drained.
	HaltNoHeadroom HaltReason = "no_headroom"
	// HaltOtherDomain: another failure domain is being drained.
	HaltOtherDomain HaltReason = "other_domain_draining"
	// HaltParallel: as many drains as allowed are under way.
	HaltParallel HaltReason = "wave_parallel"
)

// Drain is an instance to drain and reboot into a revision.
type Drain struct {
	Instance string `json:"instance"`
	Pool     string `json:"pool"`
	Revision int    `json:"revision"`
	Detail   string `json:"detail"`
}

// NeedSpare asks for instances above a pool's count while its wave lasts.
type NeedSpare struct {
	Pool  string `json:"pool"`
	Count int    `json:"count"`
}

// Halt says why a pool whose wave isn't finished begins no drain.
type Halt struct {
	Pool   string     `json:"pool"`
	Reason HaltReason `json:"reason"`
	// Instance is the one that caused it, if any.
	Instance string `json:"instance,omitempty"`
}

// Limits bound the waves.
type Limits struct {
	// ReturnLimit is how long a drained instance may stay away; 0 takes the
	// default.
	ReturnLimit time.Duration
	// WaveSpares is how many spares the waves may hold in pools at a time
	// beyond the one that each pool without headroom needs.
	WaveSpares int
}

// Input is what drains are decided from.
type Input struct {
	Manifest  *manifest.Manifest
	Instances []*pools.Instance
	// Reserved counts the moves out of each pool that were decided in this
	// round and that the fold doesn't show yet.
	Reserved  map[string]int
	State     WaveState
	NowMillis int64
	Limits    Limits
}

// Decision is the outcome of one planning round.
type Decision struct {
	Drains    []Drain     `json:"drains"`
	NeedSpare []NeedSpare `json:"need_spare"`
	Halts     []Halt      `json:"halts"`
	// State is to be given to the next round.
	State WaveState `json:"state"`
}

// extra is NeedSpare as the input of the moves' decision.
func (d Decision) extra() map[string]int {
	extra := make(map[string]int, len(d.NeedSpare))
	for _, n := range d.NeedSpare {
		extra[n.Pool] = n.Count
	}
	return extra
}

// Decide chooses the instances to begin draining now.
//
// Load: a raised revision in one or all pools, while instances fail for other
// causes and moves are under way. Harm prevented: failures come correlated
// within a wave, so a bad revision must be found out by one instance of a pool
// and not by a batch; and drains must never take a service below its budget.
//
// Limits: a pool drains one instance until that has come back, and one more at
// a time for each that does, which doubles the number from round to round. All
// drains are inside one availability zone, and a pool's first are inside one
// rack, so that the loss of another domain meanwhile finds it whole. An
// instance that isn't back in time, or comes back bad, halts its pool's wave
// until it recovers or a higher revision is published; two such pools halt
// all. An instance is only drained while its pool has more serving than its
// strictest budget, which counts instances lost and moves begun meanwhile.
func Decide(in Input) Decision {
	w := newWave(in)
	w.observe()
	w.halts()
	w.drain()
	w.needSpares()
	return w.decision()
}

// Extra is how many instances above its count each pool needs for its wave. It
// doesn't depend on Reserved, so that a planner asks for it first, decides the
// moves with it, and then the drains with those moves reserved.
func Extra(in Input) map[string]int {
	w := newWave(in)
	w.observe()
	w.halts()
	w.needSpares()
	return w.out.extra()
}

func (in Input) parallel() int {
	return cmp.Or(in.Manifest.Buffer.WaveParallel, DefaultWaveParallel)
}

func (in Input) returnLimit() time.Duration {
	return cmp.Or(in.Limits.ReturnLimit, DefaultReturnLimit)
}
