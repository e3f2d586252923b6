package executor

import (
	"time"

	"cyclamenwheel/internal/jobs"
	"cyclamenwheel/internal/quota"
)

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
	// restarted is set if the incarnation is not the first that this owner has seen under the id.
	restarted bool
	// earlierClockLeaseUntil is the latest end, on the endpoint's clock, of leases that it may have
	// granted to a time of an earlier incarnation's clock; 0 if there are none.
	earlierClockLeaseUntil time.Duration
	// appliedEnd is the number of the newest end that was applied, and acknowledgedEnd that of the
	// newest end whose effect is durable, which polls acknowledge.
	appliedEnd      int64
	acknowledgedEnd int64
	// abandonedRuns are the runs that were abandoned because their lease expired and whose ends are not
	// known, or withheld.
	abandonedRuns map[runID]bool
	// unreportedRuns are those abandoned runs, by task, after which the endpoint has not reported,
	// with how long it had reported them before.
	unreportedRuns map[string]unreportedRun
	// abandonedAt is when a run was last abandoned, or such runs were restored from the journal.
	abandonedAt time.Duration
	// withheldEnds must not be acknowledged; the lowest number comes first.
	withheldEnds []withheldEnd
	// leaseExpiredEnd is the number of the newest listed end of a run whose lease expired, 0 for none.
	leaseExpiredEnd int64

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

// runID identifies a run of a task.
type runID struct {
	task string
	run  int
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
