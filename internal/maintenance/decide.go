package maintenance

import (
	"cmp"
	"time"

	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/pools"
)

const (
	// DefaultWaveParallel is the maximum number of concurrent drains if the
	// manifest sets none: one rack of the usual size.
	DefaultWaveParallel = 4
	// DefaultReturnLimit is how long a drained instance may take to return to
	// service. It is several times the sum of the longest request deadline, the
	// reboot and the lag of the instance list; a shorter limit would halt waves
	// that are merely slow.
	DefaultReturnLimit = 5 * time.Minute
	// firstWindow is the initial number of concurrent drains in a pool. With 1,
	// a bad revision costs one instance.
	firstWindow = 1
	// rackWindow is the largest window at which all drains of a pool stay in one
	// rack. One instance has then shown that the revision works; the remaining
	// risk is limited to a rack instead of a zone.
	rackWindow = 2
	// haltAllAfter is the number of pools with failed waves at which all waves
	// halt. Failures in two pools suggest a cause that the pools share.
	haltAllAfter = 2
)

// HaltReason is the reason why a pool begins no further drains.
type HaltReason string

// Reasons of a halt.
const (
	// HaltPaused: the operator paused the wave.
	HaltPaused HaltReason = "paused"
	// HaltReturnTimeout: a drained instance did not return within the limit.
	HaltReturnTimeout HaltReason = "not_back_in_time"
	// HaltLost: a drained instance went down.
	HaltLost HaltReason = "lost_after_drain"
	// HaltRevisionMissing: a drained instance returned without the target revision.
	HaltRevisionMissing HaltReason = "back_without_revision"
	// HaltOtherPools: waves of several other pools failed.
	HaltOtherPools HaltReason = "other_waves_failed"
	// HaltBudget: the pool needs all serving instances to meet its budget.
	HaltBudget HaltReason = "budget"
	// HaltNoHeadroom: the pool lists its instances by id and its budget requires
	// all of them, so none can ever be drained.
	HaltNoHeadroom HaltReason = "no_headroom"
	// HaltOtherDomain: another failure domain is being drained.
	HaltOtherDomain HaltReason = "other_domain_draining"
	// HaltParallel: the maximum number of concurrent drains is reached.
	HaltParallel HaltReason = "wave_parallel"
)

// Drain orders an instance to be drained and rebooted into a revision.
type Drain struct {
	Instance string `json:"instance"`
	Pool     string `json:"pool"`
	Revision int    `json:"revision"`
	Detail   string `json:"detail"`
}

// NeedSpare requests instances above a pool's configured count for the duration
// of its wave.
type NeedSpare struct {
	Pool  string `json:"pool"`
	Count int    `json:"count"`
}

// Halt is the reason why a pool with an unfinished wave begins no drain.
type Halt struct {
	Pool   string     `json:"pool"`
	Reason HaltReason `json:"reason"`
	// Instance is the instance that caused the halt, if any.
	Instance string `json:"instance,omitempty"`
}

// Limits bound the waves.
type Limits struct {
	// ReturnLimit is how long a drained instance may take to return to service;
	// 0 means DefaultReturnLimit.
	ReturnLimit time.Duration
	// WaveSpares is how many spares all waves together may hold in addition to
	// the one that each pool without headroom needs.
	WaveSpares int
}

// Input is the input of one planning round.
type Input struct {
	Manifest  *manifest.Manifest
	Instances []*pools.Instance
	// Reserved counts, per pool, the moves out of it that this round has
	// decided and that the fold doesn't contain yet.
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
	// State is the input state of the next round.
	State WaveState `json:"state"`
}

// sparesByPool returns NeedSpare in the form of pools.Input.Extra.
func (d Decision) sparesByPool() map[string]int {
	spares := make(map[string]int, len(d.NeedSpare))
	for _, n := range d.NeedSpare {
		spares[n.Pool] = n.Count
	}
	return spares
}

// Decide selects the instances to begin draining now.
//
// Load: a higher revision in one or all pools, while instances fail for other
// reasons and moves are in progress. Failures within a wave are correlated, so
// a bad revision must be detected on one instance of a pool rather than on a
// batch, and drains must never take a service below its budget.
//
// Limits: a pool starts with one concurrent drain and is allowed one more for
// each instance that returns, which doubles the number with each batch. All
// drains are in one availability zone, and the first ones of a pool in one
// rack, so that drains reduce the capacity of a single failure domain even if
// another one is lost meanwhile. An instance that returns late or without the
// revision halts its pool's wave until it recovers or a higher revision is
// published; failures in two pools halt all waves. An instance is drained only
// while its pool has more serving instances than its strictest budget, after
// instances lost and moves begun meanwhile are subtracted.
func Decide(in Input) Decision {
	w := newWaveRound(in)
	w.updateState()
	w.markHalts()
	w.beginDrains()
	w.requestSpares()
	return w.decision()
}

// SparesNeeded returns how many instances above its configured count each pool needs
// for its wave. The result doesn't depend on Reserved: the planner calls SparesNeeded
// first, decides the moves with the result, and then calls Decide with those
// moves in Reserved.
func SparesNeeded(in Input) map[string]int {
	w := newWaveRound(in)
	w.updateState()
	w.markHalts()
	w.requestSpares()
	return w.out.sparesByPool()
}

func (in Input) parallel() int {
	return cmp.Or(in.Manifest.Buffer.WaveParallel, DefaultWaveParallel)
}

func (in Input) returnLimit() time.Duration {
	return cmp.Or(in.Limits.ReturnLimit, DefaultReturnLimit)
}
