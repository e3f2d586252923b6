// Package executor decides which endpoint runs each task of one pool's jobs, and when tasks are
// started, stopped and retried. Its input is the current time, submitted jobs, service discovery
// and what endpoints answer; Core is a pure state machine and does no I/O. The owner of the pool
// (package shards) calls it: it appends the records that Ready returns and sends the orders and
// replies that become due.
//
// Terms:
//   - An owner is the process that has claimed the pool; each claim has a higher epoch.
//   - An endpoint runs tasks. Each start of its process under the same id is an incarnation.
//   - A run is one attempt of a task, with a number that rises with each attempt. An endpoint runs
//     it only as long as its lease, which polls renew, has not expired.
//   - An end is the outcome of a run. Endpoints number their ends and list them in each answer to a
//     poll until they are acknowledged, which they are once their effect is durable.
//
// Contract with the caller:
//   - The records of one Ready are appended in order, all or none, under the epoch that the Core
//     was built with, and after those of every earlier Ready.
//   - The replies of a Ready are sent only after that append, and Advance is called for each
//     Ready in order. Starts are sent as NextStart returns them, which bounds how many are in
//     flight. Stops (TakeStops) need no record and may be sent at once.
//   - Nothing is sent once Fenced reports true or the caller's proof that its epoch is the newest
//     is older than Limits.ProofAge.
//
// Times are readings of a monotonic clock that also counts time in suspension; wall-clock times
// are ms since 1970.
package executor

import (
	"time"

	"cyclamenwheel/internal/accounts"
	"cyclamenwheel/internal/admission"
	"cyclamenwheel/internal/inflight"
	"cyclamenwheel/internal/quota"
	"cyclamenwheel/internal/routing"
)

// Limits are the bounds from the deployment's settings.
type Limits struct {
	// Lease is the duration for which leases are renewed. All owners of a deployment must use
	// the same value, because a new owner waits until its predecessor's leases have expired.
	Lease time.Duration
	// ProofAge is how old an owner's newest proof may be for it to send polls and orders. A proof is
	// the journal store's answer to a request under the owner's epoch; it proves that no newer epoch
	// had been claimed when that request was sent, from which its age is counted. A new owner
	// can thus rely on its predecessor granting no lease later than ProofAge after the claim.
	ProofAge time.Duration
	// KeepEnded is how long the state of an ended job can be queried.
	KeepEnded time.Duration
	// StopTimeout is the longest time that an endpoint takes to stop a run.
	StopTimeout time.Duration
	// LongestLease is the longest lease that endpoints grant; they shorten longer ones to it.
	LongestLease time.Duration
	// OverloadControl makes a pool that receives more than it can run accept jobs that will be late
	// but of use, and divide its capacity among accounts by their weights.
	OverloadControl bool
	// Memory bounds the memory of jobs over all pools of the process; nil sets no bound.
	Memory *JobMemory
	// CapacityMaxAge is how long starts may rely on a reported capacity after it has shrunk;
	// endpoints report their capacity at intervals. 0 means no bound.
	CapacityMaxAge time.Duration
}

const (
	// clockDrift is the largest fraction by which an endpoint's clock may run slow.
	clockDrift = 0.02
	// expiryMargin covers rounding to ms and timers that fire late.
	expiryMargin = 100 * time.Millisecond
)

// Core is the state of one pool. It is not safe for concurrent use.
type Core struct {
	pool   string
	epoch  int64
	limits Limits

	// jobs and endpoints are all those known to this owner, by id.
	jobs      map[string]*job
	endpoints map[string]*endpoint
	// terms are the next values of endpoint.term for endpoints that were removed, by id.
	terms map[string]pastTerm
	// incarnationsSweptAt is when past incarnations were last searched for some to forget.
	incarnationsSweptAt time.Duration
	// endedIncarnations are incarnations that are confirmed to have ended, with the time at which
	// service discovery was first seen not to list them, 0 while it may.
	endedIncarnations map[Incarnation]time.Duration
	// open are the jobs with tasks that may still be started, sorted by priority and objective
	// unless unsorted is set.
	open     []*job
	unsorted bool
	// ended are ended jobs kept for KeepEnded, oldest first.
	ended []*job

	// allowance limits what client accounts may have running in this pool.
	allowance *quota.Allowance
	// sharesReportedAt is when the accounts' shares were last received.
	sharesReportedAt time.Duration
	// atShareSince maps each account that is at its share to the time since when it has been.
	atShareSince map[string]time.Duration

	// lengthModels predict the lengths of runs, by queue.
	lengthModels map[string]*lengthModel
	// lengthsSavedMs is the wall-clock time at which lengthModels were last written; lengthsChanged
	// is set when steps have ended since.
	lengthsSavedMs int64
	lengthsChanged bool

	// offeredCoreMs is the total work of submitted jobs, accepted or not, in core-ms. returns knows
	// the refused jobs, so that a resubmitted job is not counted again.
	offeredCoreMs float64
	returns       *admission.Returns
	// predictions corrects the predicted times to jobs' ends by the actual ones.
	predictions *admission.Predictions
	// refusedByAccount counts refused jobs by client account.
	refusedByAccount map[string]int
	// outstanding sums the work of the accepted jobs, for admission.
	outstanding outstandingWork
	// utilization is measured with overload control only.
	utilization utilization
	// admissionStats counts what admission control decides.
	admissionStats admissionStats
	// directory has the published client accounts.
	directory *accounts.Directory
	// incoming are announced additions to the pool's CPU capacity, soonest first; the announcement
	// is valid until incomingValidUntil.
	incoming           []capacityArrival
	incomingValidUntil time.Duration

	// cautiousTasks are open tasks with an expired lease or crash evidence, which are placed only on
	// endpoints that reported recently (isolation.go). pollIdle is set while idle endpoints are
	// polled too, because one of these tasks is to start now or may be soon.
	cautiousTasks []*task
	pollIdle      bool
	// unreportedLosses records, by task, the endpoints that have not reported since the task's lease
	// expired there.
	unreportedLosses map[string]unreportedLosses

	// unsavedEndpoints are endpoints whose endpointRecord has changed since it was written;
	// savedEndpoints are those that have one.
	unsavedEndpoints, savedEndpoints map[string]bool

	// dirty are the jobs whose records are to be written with the next Ready, and dirtyOrder has
	// them in the order of their changes. removedKeys are those of records to be deleted.
	dirty       map[*job]bool
	dirtyOrder  []*job
	removedKeys []string
	// A start passes three stages. decidedStarts are decided and not yet part of a Ready.
	// startsNotDurable counts those in a Ready that Advance has not been called for. startQueue has
	// the durable ones, and those to be sent again, which NextStart returns when they may be sent.
	decidedStarts    []Order
	startQueue       []Order
	startsNotDurable int
	startLimiter     *inflight.Limiter
	// startLimitLoggedAt is when the reduced limit on starts in flight was last logged.
	startLimitLoggedAt time.Duration
	// placementsLeft is how many more starts may be decided in this round.
	placementsLeft int
	// storeDelay is a moving average of the time that an append to the journal takes.
	storeDelay time.Duration
	// replies may be sent once the next Ready is durable, and the ends up to acks, by incarnation,
	// acknowledged. stops and events have no such condition.
	replies []Reply
	acks    map[Incarnation]int64
	stops   []Order
	events  []Event

	// claimedAt is when this owner claimed the pool.
	claimedAt time.Duration
	// predecessorLeasesMs is how many ms the predecessor's leases may last from the claim on, by
	// endpoint. It is set only if the predecessor handed the pool over.
	predecessorLeasesMs map[string]int64
	// explainedAt is when the reasons why tasks wait were last logged.
	explainedAt time.Duration
	// wallMs is the wall-clock time, in ms since 1970.
	wallMs int64
	// fenced is set once an endpoint has answered that it has seen a newer epoch.
	fenced bool
	// memory is what is charged to Limits.Memory, in bytes.
	memory int64
	// adviceInFlight is set while a call for advice is in flight.
	adviceInFlight bool
}

// New returns the empty state of a pool whose epoch was claimed at now.
func New(pool string, epoch int64, limits Limits, now time.Duration) *Core {
	return &Core{
		pool: pool, epoch: epoch, limits: limits, claimedAt: now,
		jobs: map[string]*job{}, endpoints: map[string]*endpoint{}, terms: map[string]pastTerm{}, endedIncarnations: map[Incarnation]time.Duration{},
		unsavedEndpoints: map[string]bool{}, savedEndpoints: map[string]bool{}, unreportedLosses: map[string]unreportedLosses{},
		lengthModels: map[string]*lengthModel{}, allowance: quota.NewAllowance(), atShareSince: map[string]time.Duration{},
		returns: admission.NewReturns(uint64(epoch)), predictions: admission.NewPredictions(), refusedByAccount: map[string]int{}, dirty: map[*job]bool{}, acks: map[Incarnation]int64{},
		startLimiter: inflight.New(startLimitSettings),
	}
}

// Epoch returns the epoch that the state was built under.
func (c *Core) Epoch() int64 { return c.epoch }

// Fenced reports whether an endpoint has answered that it has seen a newer epoch.
func (c *Core) Fenced() bool { return c.fenced }

// SetWallClock sets the wall-clock time, which start times and the age of ended jobs are compared
// with.
func (c *Core) SetWallClock(ms int64) { c.wallMs = ms }

// Accepting is what Submit needs besides the job: its queue, the queue's terms and the account.
type Accepting struct {
	Queue string
	Terms routing.Terms
	// Account is the client account that submits the job, "" for none.
	Account string
}

// Dirty reports whether there are records, starts or replies for the next Ready.
func (c *Core) Dirty() bool {
	return len(c.dirty) > 0 || len(c.decidedStarts) > 0 || len(c.replies) > 0
}

// Busy reports whether there are open jobs, unsent stops or records to be written.
func (c *Core) Busy() bool { return len(c.open) > 0 || len(c.dirty) > 0 || len(c.stops) > 0 }
