package placement

import (
	"cmp"

	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/pools"
)

const (
	// DefaultUrgentReserve is the share of each pool's cores and memory that
	// normal tasks may not use, so that urgent tasks can start at once.
	DefaultUrgentReserve = 0.05
	// quarantineJobs is how many distinct jobs must fail on a worker, with no
	// success, before it is quarantined. One job may itself be broken, and two
	// may fail at the same time by chance.
	quarantineJobs = 3
	// unprovenTaskLimit is how many tasks a worker may get before one of them
	// has run well. A faulty worker is empty and would otherwise be filled
	// completely at once.
	unprovenTaskLimit = 8
	// quarantineMillis is how long failures count against a worker. It then
	// gets tasks again, at a cost of at most quarantineJobs failed tasks.
	quarantineMillis = 15 * 60 * 1000
	// maxQuarantinedShare is the largest share of a pool's workers that may be
	// quarantined. If more workers look faulty, the jobs are the cause.
	maxQuarantinedShare = 0.25
	// setAsideHealthyWorkers is on how many distinct healthy workers a job must
	// fail to be set aside.
	setAsideHealthyWorkers = 3
	// setAsideAnyWorkers is on how many distinct workers, healthy or suspect, a
	// job must fail to be set aside.
	setAsideAnyWorkers = 6
	// suspectFailedJobs is how many distinct jobs must fail on a worker, with
	// no success, for the worker to be suspect and no longer count as a healthy
	// one that a job failed on.
	suspectFailedJobs = 2
	// backoffBaseMillis and backoffMaxMillis bound the backoff of a failed job,
	// which doubles with every failure.
	backoffBaseMillis = 2_000
	backoffMaxMillis  = 300_000
	// provenRunMillis is how long a task must run for its worker and its job to
	// count as proven, that is, able to run tasks well.
	provenRunMillis = 30_000
)

// Reason is why a placement decision was made. The values are stable: they are
// recorded and shown to operators.
type Reason string

// Reasons of placement decisions.
const (
	// ReasonWanted: the manifest wants the task and it fits.
	ReasonWanted Reason = "wanted"
	// ReasonUrgent: the task is urgent and was placed before all normal tasks.
	ReasonUrgent Reason = "urgent"
	// ReasonUrgentReserve: the task is urgent and uses capacity reserved for
	// urgent tasks.
	ReasonUrgentReserve Reason = "urgent_reserve"
	// ReasonCancelled: the manifest no longer wants the task.
	ReasonCancelled Reason = "cancelled"
	// ReasonWorkerLeaving: the task's worker is draining, is moving or has left
	// the pool.
	ReasonWorkerLeaving Reason = "worker_leaving"
	// ReasonWorkerLost: the task's worker is down.
	ReasonWorkerLost Reason = "worker_lost"
	// ReasonDisplaced: the task is normal and an urgent task needs its
	// capacity.
	ReasonDisplaced Reason = "displaced_by_urgent"
	// ReasonDuplicate: an earlier task has the same index of the job.
	ReasonDuplicate Reason = "duplicate_index"
	// ReasonFitsNoWorker: no worker of the pool is large enough.
	ReasonFitsNoWorker Reason = "fits_no_worker"
	// ReasonAboveTeamQuota: a single task already exceeds its team's quota.
	ReasonAboveTeamQuota Reason = "above_team_quota"
	// ReasonFailsEverywhere: the job failed on several healthy workers.
	ReasonFailsEverywhere Reason = "fails_everywhere"
	// ReasonWorkerFailsAll: several distinct jobs failed on the worker and none
	// succeeded.
	ReasonWorkerFailsAll Reason = "worker_fails_all"
	// ReasonNoRoom: no worker has enough free capacity now.
	ReasonNoRoom Reason = "no_room"
	// ReasonNoWorkers: the pool has no serving worker.
	ReasonNoWorkers Reason = "no_workers"
	// ReasonTeamQuota: the team's quota is used up.
	ReasonTeamQuota Reason = "team_quota"
	// ReasonBackoff: the job failed and its backoff has not elapsed, or it is
	// limited to one running task until one runs well.
	ReasonBackoff Reason = "backoff"
	// ReasonDisplacing: the urgent task waits until stopped tasks have ended
	// and freed their capacity.
	ReasonDisplacing Reason = "displacing"
	// ReasonPredecessorEnding: the task's predecessor has not ended yet.
	ReasonPredecessorEnding Reason = "predecessor_ending"
	// ReasonRoundFull: this round has reached Limits.MaxPlaces.
	ReasonRoundFull Reason = "round_full"
)

// Limits bound one round.
type Limits struct {
	// UrgentReserve is the share of each pool kept free for urgent tasks; 0
	// selects DefaultUrgentReserve, a negative value disables the reserve.
	UrgentReserve float64
	// MaxPlaces bounds the tasks placed in one round; 0 means no bound.
	MaxPlaces int
}

// Input is the input of a placement round.
type Input struct {
	Manifest  *manifest.Manifest
	Instances []*pools.Instance
	// Tasks holds the tasks that have not ended.
	Tasks []Task
	// Sizer estimates task sizes; nil means Declared.
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

// SetAside is a job that gets no more tasks until it is published with a
// change.
type SetAside struct {
	Pool   string `json:"pool"`
	Job    string `json:"job"`
	Reason Reason `json:"reason"`
}

// Quarantine is a worker that gets no tasks until its failures expire.
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

// Placer decides placement. Production uses Estimating; FirstFit is a baseline
// for measurements.
type Placer interface {
	Decide(in Input) Output
}

// Estimating places tasks by their estimated sizes, urgent tasks first.
type Estimating struct{}

// Decide implements Placer.
func (Estimating) Decide(in Input) Output { return Decide(in) }

// Decide places the tasks that the manifest wants and stops those that it
// doesn't.
//
// Load: tens of thousands of tasks on thousands of workers, where a few tasks
// can run on no worker; cancellations of whole jobs; workers on which every
// task fails; urgent tasks that arrive when the pool is full.
//
// It prevents that urgent tasks wait behind normal ones, that a faulty worker
// consumes a queue because it fails fast and is always free, that a broken job
// is retried forever at the cost of others, and that a task runs twice. To that
// end a share of each pool is kept free of normal tasks, and where that is not
// enough urgent tasks displace the fewest normal ones that free enough
// capacity; a team never exceeds its quota; a task is not started again while
// its predecessor may still run.
//
// The time of a round is proportional to the number of tasks and workers:
// workers are indexed by free capacity, so a search doesn't visit each of them.
func Decide(in Input) Output {
	r := newRound(in)
	r.classifyFailures()
	r.bookTasks()
	for _, c := range r.queue() {
		r.place(c)
	}
	return r.output()
}

func (in Input) urgentReserve() float64 {
	return max(0, cmp.Or(in.Limits.UrgentReserve, DefaultUrgentReserve))
}

func (in Input) sizer() Sizer {
	if in.Sizer == nil {
		return Declared{}
	}
	return in.Sizer
}
