package executor

import (
	"time"

	"cyclamenwheel/internal/jobs"
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
	// memory is what is charged for the job, in bytes; specMemory and occurrenceMemory are its parts, and
	// expanded counts the occurrences that are expanded and have not ended.
	memory, specMemory, occurrenceMemory int64
	expanded                             int
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
	// failures counts the failed runs of a gang, and failedRuns are their numbers: the members share them,
	// and each may end as failed.
	failures   int
	failedRuns []int
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
	// stopForVacate is set if only a request to vacate the endpoint asks for the stop; stopOrdered, once
	// an order to stop the run may have been sent.
	stopForVacate, stopOrdered bool
	// avoidIncarnation is the incarnation on which a run last failed, stalled or was slow. notBefore
	// is the end of the backoff after a failure.
	avoidIncarnation Incarnation
	notBefore        time.Duration
}

func (t *task) name() string {
	return jobs.TaskName{Job: t.step.job.rec.Job.ID, Occurrence: t.step.occ.number, Step: t.step.index, Index: t.index}.String()
}
