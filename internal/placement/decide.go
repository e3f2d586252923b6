package placement

import (
	"cmp"

	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/pools"
)

const (
	// DefaultUrgentReserve is the part of each pool's cores and memory that is
	// kept free of normal tasks, for urgent ones to start at once.
	DefaultUrgentReserve = 0.05
	// quarantineJobs is how many distinct jobs must fail on a worker that has
	// run none well. One job may be broken, and two at a time by chance.
	quarantineJobs = 3
	// unprovenTasks is how many tasks a worker gets before one has run well on
	// it. A bad worker is empty and would else be filled to the brim at once.
	unprovenTasks = 8
	// quarantineMillis is how long failures count against a worker. Then it is
	// tried again, which costs at most quarantineJobs tasks.
	quarantineMillis = 15 * 60 * 1000
	// maxQuarantined is the part of a pool that may be in quarantine: when
	// more workers look bad, it is the jobs that are.
	maxQuarantined = 0.25
	// setAsideWorkers is how many distinct healthy workers a job must fail on.
	setAsideWorkers = 3
	// setAsideAnyWorkers is how many of any kind are enough.
	setAsideAnyWorkers = 6
	// suspectJobs is how many distinct jobs failed on a worker, with none run
	// well, before its failures no longer count against a job.
	suspectJobs = 2
	// backoffBaseMillis and backoffMaxMillis bound the wait before a job that
	// failed is tried again; it doubles with every failure.
	backoffBaseMillis = 2_000
	backoffMaxMillis  = 300_000
	// provenMillis is how long a task must run for its worker to count as
	// able.
	provenMillis = 30_000
)

// Reason tells why a placement decision was taken. Values are stable.
type Reason string

// Reasons of placement decisions.
const (
	// ReasonWanted: the manifest wants the task and it fits.
	ReasonWanted Reason = "wanted"
	// ReasonUrgent: an urgent task, placed before all others.
	ReasonUrgent Reason = "urgent"
	// ReasonUrgentReserve: an urgent task on room kept for such.
	ReasonUrgentReserve Reason = "urgent_reserve"
	// ReasonCancelled: the manifest no longer wants the task.
	ReasonCancelled Reason = "cancelled"
	// ReasonWorkerLeaving: the task's worker drains, moves or left the pool.
	ReasonWorkerLeaving Reason = "worker_leaving"
	// ReasonWorkerLost: the task's worker is down.
	ReasonWorkerLost Reason = "worker_lost"
	// ReasonDisplaced: an urgent task needs the room.
	ReasonDisplaced Reason = "displaced_by_urgent"
	// ReasonDuplicate: two tasks of one index are known.
	ReasonDuplicate Reason = "duplicate_index"
	// ReasonFitsNoWorker: no worker of the pool is large enough.
	ReasonFitsNoWorker Reason = "fits_no_worker"
	// ReasonQuotaNever: one task alone is above its team's quota.
	ReasonQuotaNever Reason = "above_team_quota"
	// ReasonFailsEverywhere: the job failed on several healthy workers.
	ReasonFailsEverywhere Reason = "fails_everywhere"
	// ReasonWorkerFailsAll: distinct jobs failed on the worker, none ran well.
	ReasonWorkerFailsAll Reason = "worker_fails_all"
	// ReasonNoRoom: no worker has room now.
	ReasonNoRoom Reason = "no_room"
	// ReasonNoWorkers: the pool has no worker that serves.
	ReasonNoWorkers Reason = "no_workers"
	// ReasonTeamQuota: the team's quota is used up.
	ReasonTeamQuota Reason = "team_quota"
	// ReasonBackoff: the job failed a short while ago.
	ReasonBackoff Reason = "backoff"
	// ReasonDisplacing: room is being made by stopping normal tasks.
	ReasonDisplacing Reason = "displacing"
	// ReasonEnding: the task's predecessor has not ended yet.
	ReasonEnding Reason = "predecessor_ending"
	// ReasonRoundFull: as many tasks as allowed were placed in this round.
	ReasonRoundFull Reason = "round_full"
)

// Limits bound one round.
type Limits struct {
	// UrgentReserve is the part of each pool kept for urgent tasks; 0 takes
	// the default, a negative one keeps nothing.
	UrgentReserve float64
	// MaxPlaces bounds the tasks placed in one round; 0 for no bound.
	MaxPlaces int
}

// Input is what placement is decided from.
type Input struct {
	Manifest  *manifest.Manifest
	Instances []*pools.Instance
	// Tasks are those that have not ended.
	Tasks []Task
	// Sizer estimates sizes; nil takes declared ones.
	Sizer     Sizer
	History   *History
	NowMillis int64
	Limits    Limits
}

// Place starts one task.
type Place struct {
	Pool     string `json:"pool"`
	Job      string `json:"job"`
	Index    int    `json:"index"`
	Instance string `json:"instance"`
	Size     Size   `json:"size"`
	Reason   Reason `json:"reason"`
}

// Stop ends one task.
type Stop struct {
	Task   string `json:"task"`
	Job    string `json:"job"`
	Reason Reason `json:"reason"`
}

// SetAside is a job that is not tried any more until it is published changed.
type SetAside struct {
	Pool   string `json:"pool"`
	Job    string `json:"job"`
	Reason Reason `json:"reason"`
}

// Quarantine is a worker that gets no tasks for a while.
type Quarantine struct {
	Instance string `json:"instance"`
	Reason   Reason `json:"reason"`
}

// Waiting counts the tasks of a job that can't be placed now.
type Waiting struct {
	Pool   string `json:"pool"`
	Job    string `json:"job"`
	Tasks  int    `json:"tasks"`
	Reason Reason `json:"reason"`
}

// Output is the outcome of one round.
type Output struct {
	Places     []Place      `json:"places"`
	Stops      []Stop       `json:"stops"`
	SetAside   []SetAside   `json:"set_aside"`
	Quarantine []Quarantine `json:"quarantine"`
	Waiting    []Waiting    `json:"waiting"`
}

// Placer decides placement. Estimating is the one in use; FirstFit exists to be
// measured beside it.
type Placer interface {
	Decide(in Input) Output
}

// Estimating places by estimated sizes, urgent work first.
type Estimating struct{}

// Decide implements Placer.
func (Estimating) Decide(in Input) Output { return Decide(in) }

// Decide places the tasks that the manifest wants and stops those it doesn't.
//
// Load: tens of thousands of tasks on thousands of workers, of which a few can
// never run anywhere; cancellations of whole jobs; workers that fail all they
// are given; urgent work that arrives when the pool is full. Harm prevented:
// urgent work that waits behind normal work, a bad worker that eats a queue by
// failing fast and thus always being free, a job that fails for ever at the
// cost of others, and a task that runs twice. The limits: a part of each pool
// is kept free of normal tasks, and where that is not enough urgent tasks
// displace the fewest normal ones that make room; a team holds no more than its
// quota; a task whose predecessor may still run is not started again.
//
// A round costs time in proportion to tasks and workers: workers are indexed by
// free capacity, so that a place is found without a look at each of them.
func Decide(in Input) Output {
	r := newRound(in)
	r.judge()
	r.takeStock()
	for _, c := range r.queue() {
		r.place(c)
	}
	return r.output()
}

func (in Input) reserve() float64 {
	return max(0, cmp.Or(in.Limits.UrgentReserve, DefaultUrgentReserve))
}

func (in Input) sizer() Sizer {
	if in.Sizer == nil {
		return Declared{}
	}
	return in.Sizer
}
