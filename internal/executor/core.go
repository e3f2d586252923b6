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
	"cyclamenwheel/internal/inflight"
	"cyclamenwheel/internal/jobs"
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

// JobState is the state of a job as shown to callers.
type JobState uint8

// States of jobs.
const (
	JobQueued JobState = iota
	JobRunning
	JobCompleted
	JobFailed
	JobCancelled
)

var jobStateNames = [...]string{"queued", "running", "completed", "failed", "cancelled"}

func (s JobState) String() string { return jobStateNames[s] }

// Ended reports whether the state is final.
func (s JobState) Ended() bool { return s >= JobCompleted }

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

	// offeredCoreMs is the total work of submitted jobs, accepted or not, in core-ms. refusedSince
	// is when each refused job was first offered, so that a resubmitted job is not counted again.
	offeredCoreMs float64
	refusedSince  map[string]time.Duration
	// refusedByAccount counts refused jobs by client account.
	refusedByAccount map[string]int
	// outstanding sums the work of the accepted jobs, for admission.
	outstanding outstandingWork
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

	// unsavedAbandoned are endpoints whose abandoned runs have changed since they were written;
	// savedAbandoned are those that have a record of them.
	unsavedAbandoned, savedAbandoned map[string]bool

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
	// adviceInFlight is set while a call for advice is in flight.
	adviceInFlight bool
}

// New returns the empty state of a pool whose epoch was claimed at now.
func New(pool string, epoch int64, limits Limits, now time.Duration) *Core {
	return &Core{
		pool: pool, epoch: epoch, limits: limits, claimedAt: now,
		jobs: map[string]*job{}, endpoints: map[string]*endpoint{}, terms: map[string]pastTerm{}, endedIncarnations: map[Incarnation]time.Duration{},
		unsavedAbandoned: map[string]bool{}, savedAbandoned: map[string]bool{}, unreportedLosses: map[string]unreportedLosses{},
		lengthModels: map[string]*lengthModel{}, allowance: quota.NewAllowance(), atShareSince: map[string]time.Duration{},
		refusedSince: map[string]time.Duration{}, refusedByAccount: map[string]int{}, dirty: map[*job]bool{}, acks: map[Incarnation]int64{},
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

// job is a submitted job and its progress.
type job struct {
	rec jobRecord
	// durable is the state whose record has been appended; callers are shown no other. accepted is
	// set once the job's first record has been appended.
	durable  JobState
	accepted bool
	// startDecided is set once a start of one of its tasks has been decided, runConfirmed once an
	// endpoint has confirmed a run.
	startDecided bool
	runConfirmed bool
	// firstSeen is when this owner first saw the job.
	firstSeen time.Duration
	// offeredAt is when the job was first submitted, and objective the time by which it should
	// end; both are on the same clock as firstSeen.
	offeredAt, objective time.Duration
	// firstOpen is the lowest occurrence that has not ended.
	firstOpen int
	// nextOccurrence is the lowest occurrence that has not been expanded into tasks.
	nextOccurrence int
	// current are the occurrences that have been expanded and not yet dropped, in their order.
	current []*occurrence
	// placedTasks counts tasks that may be running on some endpoint.
	placedTasks int
	// inOpen is set while the job is in Core.open.
	inOpen bool
	// beyondShare is set while the job's account exceeds its share of a full pool with it.
	beyondShare bool
	// admission is what was decided when this owner accepted the job.
	admission admissionDecision
}

// occurrence is one execution of all steps of a job; recurring jobs have several.
type occurrence struct {
	number          int
	steps           []*stepRun
	unfinishedSteps int
}

// stepRun is one step of an occurrence.
type stepRun struct {
	job   *job
	occ   *occurrence
	index int
	spec  *jobs.Step
	tasks []*task
	// unfinished counts the tasks that are not done.
	unfinished int
	// waitsFor counts the earlier steps that must end before this one may start.
	waitsFor int
	// waiting counts the tasks that are neither placed nor done.
	waiting int
	// failures counts the failures of a gang as a whole.
	failures int
	// gangDone is set when one member has completed, which counts for all members.
	gangDone bool
	// measuredRuns counts the tasks whose run time has been measured, and measuredRunMs is the sum
	// of those times.
	measuredRuns  int
	measuredRunMs float64
	// placedAt is when one of its tasks was last placed.
	placedAt time.Duration
	advice   advice
	// perEndpoint counts the tasks that are placed on each endpoint.
	perEndpoint map[*endpoint]int
}

type phase uint8

const (
	taskWaiting phase = iota
	// taskPlaced means that a start has been decided. Later stages, and the endpoint's answers, are
	// in the fields of task.
	taskPlaced
	taskDone
)

// task is one unit of work, which runs on one endpoint.
type task struct {
	step  *stepRun
	index int
	phase phase
	// run is the number of the newest run whose start has been decided, 0 before the first.
	run int
	// failures counts the failed runs; for a gang, stepRun.failures does.
	failures int
	// endpoint is where the task is placed, nil unless its phase is taskPlaced.
	endpoint *endpoint
	// checkpoint is the newest one that an endpoint has reported; the next run resumes from it.
	checkpoint string
	// ticket is sent with the start if the step requires one.
	ticket string

	// The fields up to listedAt concern the current run.

	// orderedAt is when this owner last sent the run's start order, 0 if it has not.
	orderedAt time.Duration
	// confirmedAt is when the endpoint first showed that the run had reached it, 0 if it has not: by
	// accepting the start or rejecting it as old, by listing the run as running, or by answering a
	// stop. A run that is missing from a listing sent later is over.
	confirmedAt time.Duration
	// orderAnswered is set once the start order that was last sent has been answered, other than by
	// a refusal, after which the run is stopped. An unconfirmed run whose order was answered was
	// rejected because its lease had expired.
	orderAnswered bool
	// resending is set while the start order is queued to be sent again.
	resending bool
	// onCurrentIncarnation is set once it is certain that the run has reached the endpoint's current
	// incarnation: a listing has shown it as running, or the answer that accepted the start can be
	// attributed to that incarnation by start time or clock. A confirmation alone may come from
	// another incarnation at the same address.
	onCurrentIncarnation bool
	// restored is set if the start was decided by an earlier owner, or sent to an earlier
	// incarnation. Its order carries an older fencing token, so that it can't begin once the
	// current incarnation has accepted a newer token.
	restored bool
	// targetStartedMs is the start time, in ms since 1970, of the incarnation that an earlier owner's
	// start was decided for; 0 if unknown.
	targetStartedMs int64
	// resumed is set if the run started from a checkpoint.
	resumed bool
	percent int
	// progressAt is when percent last changed, or the run was placed.
	progressAt time.Duration
	// listedAt is when the run was last listed, on the endpoint's clock.
	listedAt time.Duration

	// slowRestarts counts the task's runs that were stopped because their endpoint was slow.
	slowRestarts int
	// evidence counts the crashes that suggest that the task crashes its endpoints. possibleCrash
	// is the crash to add to it if the current run turns out to have ended with an incarnation;
	// nil if the endpoint has not restarted since the start.
	evidence      evidence
	possibleCrash *crash
	// givenUp is set once the evidence suffices; the task is not started again.
	givenUp bool
	// isIsolated is set while the run of a suspect task is new, which keeps runs of other jobs off
	// its endpoint. isolationWaitSince is when the task began to wait for an endpoint for an isolated
	// run, 0 if it does not wait.
	isIsolated         bool
	isolationWaitSince time.Duration
	// leaseExpired is set if one of the task's leases has expired; inCautiousTasks, if the task is
	// in Core.cautiousTasks.
	leaseExpired, inCautiousTasks bool
	// stopping is set once the run is to be stopped; stopSentAt is when the stop was last sent.
	stopping   bool
	stopSentAt time.Duration
	// avoidIncarnation is the incarnation on which a run last failed, stalled or was slow. notBefore
	// is the end of the backoff after a failure.
	avoidIncarnation Incarnation
	notBefore        time.Duration
}

func (t *task) name() string {
	return jobs.TaskName{Job: t.step.job.rec.Job.ID, Occurrence: t.step.occ.number, Step: t.step.index, Index: t.index}.String()
}

// endpoint is an endpoint of the pool in its current incarnation.
type endpoint struct {
	id, addr, zone, kind, rack string
	// startedMs is when the incarnation started, in ms since 1970; 0 if unknown.
	startedMs int64
	// term counts the incarnations that this owner has seen, and is the low part of the fencing token.
	// It is unrelated to the terms of a queue (routing.Terms).
	term int
	// capacity is as in the newest entry in service discovery.
	capacity Resources
	// capacityReportedAt is the endpoint's clock when it reported its capacity; 0 if unknown.
	capacityReportedAt time.Duration
	// used is what the placed tasks take of the capacity.
	used Resources
	// listed is set while service discovery lists the endpoint.
	listed bool
	// draining is set while its entry says that it is shutting down.
	draining bool
	// vacating is set while no tasks are to be placed on the endpoint, because it is draining or its
	// instance is to be moved or maintained. vacateUntil is when that expires unless it is requested
	// again.
	vacating    bool
	vacateUntil time.Duration
	// vacatingSoonUntil is the time until which the endpoint is expected to be vacated soon.
	vacatingSoonUntil time.Duration
	tasks             map[*task]bool
	// unknownRuns counts the listed runs that this owner has no record of.
	unknownRuns int

	// lastPollAnswer is when a poll under this epoch was last answered; hasReported is set once one
	// has been.
	lastPollAnswer time.Duration
	hasReported    bool
	pollInFlight   bool
	nextPoll       time.Duration
	// failedPolls counts the polls that went unanswered since the last answer.
	failedPolls int

	// firstReportClock is the endpoint's clock in its first answer to a poll under this epoch.
	firstReportClock time.Duration
	// clock is the newest reading of the endpoint's clock, and clockAt when it was received.
	clock   time.Duration
	clockAt time.Duration
	// grantedUntil is the latest lease end that this owner has requested.
	grantedUntil time.Duration
	// earlierRunsUntil is the latest time until which runs may go on whose orders were sent to an
	// earlier incarnation: the ends of their leases are times on a different clock.
	earlierRunsUntil time.Duration
	// appliedEnd is the number of the newest end that was applied, and acknowledgedEnd that of the
	// newest end whose effect is durable, which polls acknowledge.
	appliedEnd      int64
	acknowledgedEnd int64
	// abandonedRuns are the runs, by task, that were abandoned because their lease expired.
	abandonedRuns map[string]int
	// unreportedRuns are those abandoned runs, by task, after which the endpoint has not reported,
	// with how long it had reported them before.
	unreportedRuns map[string]unreportedRun
	// abandonedAt is when a run was last abandoned, or such runs were restored from the journal.
	abandonedAt time.Duration
	// withheldEnd is the number of the first end that must not be acknowledged, 0 for none.
	withheldEnd int64

	// isolatedFor is the job of the suspect task that has an isolated run here, nil for none.
	isolatedFor *job

	// consecutiveFailures counts failed and stalled runs since the last run that completed.
	consecutiveFailures int
	// quarantinedUntil is the time until which no tasks are placed here, because runs have failed or
	// starts were refused.
	quarantinedUntil time.Duration
	speed            speed

	// reservedFor is a task that the endpoint's free capacity is reserved for, until reservedUntil at
	// the latest.
	reservedFor   *task
	reservedUntil time.Duration
}

// Resources is an amount of an endpoint's resources.
type Resources = quota.Amount

// needs returns the resources that a task of the step takes from its endpoint. A filler task
// uses only the CPU time that other tasks leave idle, but its memory is allocated.
func needs(s *jobs.Step) Resources {
	r := accountUsage(s)
	if s.Fills {
		r.CPUMilli = 0
	}
	return r
}

// EndpointInfo is the entry of an endpoint in service discovery.
type EndpointInfo struct {
	// StartedMs is when this incarnation started, in ms since 1970; 0 if unknown.
	StartedMs                  int64
	ID, Addr, Zone, Kind, Rack string
	Capacity                   Resources
	Draining                   bool
	// Clock is the endpoint's monotonic clock when it wrote the entry; 0 if unknown.
	Clock time.Duration
}

// OrderKind is the kind of an order.
type OrderKind uint8

// Kinds of orders.
const (
	OrderStart OrderKind = iota
	OrderStop
)

// Order is an order to an endpoint. The caller adds the lease.
type Order struct {
	Kind     OrderKind
	Endpoint string
	Addr     string
	// Fence is the fencing token, which the endpoint compares with the highest it has seen.
	Fence      int64
	Task       string
	Run        int
	Spec       string
	Checkpoint string
	Ticket     string
	task       *task
	// sent is when a start order was sent.
	sent time.Duration
	// slot is what a start order that was sent occupies of the limit on starts in flight.
	slot *inflight.Slot
}

// Reply identifies a call of Submit or Cancel, by its token, that is to be answered.
type Reply struct{ Token uint64 }

// EventKind is the kind of an event and its message in the log.
type EventKind string

// Event is a decision or an observation of a Core, for the log.
type Event struct {
	Kind     EventKind
	Job      string
	Task     string
	Run      int
	Endpoint string
	Reason   string
	// AgeMs is the age of the information that the decision is based on.
	AgeMs int64
	// StartedMs is when the endpoint's incarnation started, if relevant.
	StartedMs int64
	// Account and Queue are the client account and the queue, if relevant.
	Account, Queue string
	// WaitMs and SlackMs are the predicted wait that a refusal is based on, and the wait that the
	// job's objective would have allowed.
	WaitMs, SlackMs int64
	// PredictedMs and ActualMs are the predicted and the actual time from acceptance to a job's end.
	PredictedMs, ActualMs int64
}

// Kinds of events.
const (
	EventAccepted         EventKind = "job accepted"
	EventRefused          EventKind = "job refused"
	EventEnded            EventKind = "job ended"
	EventPlaced           EventKind = "task placed"
	EventTaskEnd          EventKind = "task ended"
	EventLost             EventKind = "task lost"
	EventIncarnationEnded EventKind = "endpoint gone"
	EventStop             EventKind = "task stop ordered"
	EventQuarantined      EventKind = "endpoint quarantined"
	EventUnknownRun       EventKind = "unknown run stopped"
	EventFenced           EventKind = "fenced by a newer epoch"
	EventRestored         EventKind = "jobs restored"
	EventVacating         EventKind = "endpoint vacating"
	EventWaits            EventKind = "task waits"
	EventAdvised          EventKind = "step advised"
	EventReserved         EventKind = "endpoint kept for a task"
	EventSlow             EventKind = "endpoint slow"
	EventSpeedRecovered   EventKind = "endpoint no longer slow"
	EventWithheld         EventKind = "end not acknowledged"
	EventStartsLimited    EventKind = "starts paced"
	// EventCrashed: an incarnation ended while a task's run was on it, which had run for AgeMs.
	EventCrashed EventKind = "endpoint ended under task"
	// EventPoisonTask: a task is not retried any more because its endpoints crash.
	EventPoisonTask EventKind = "task given up"
	// EventRestarted: another incarnation answers under an endpoint's id.
	EventRestarted EventKind = "endpoint restarted"
)

func (c *Core) event(e Event) { c.events = append(c.events, e) }

// TakeEvents returns and clears the events since the last call.
func (c *Core) TakeEvents() []Event {
	out := c.events
	c.events = nil
	return out
}

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
