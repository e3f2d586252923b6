package executor

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// longWaitThreshold is how long a ready task may wait before the log explains why;
	// explainInterval is the least time between these explanations.
	longWaitThreshold = 2 * time.Second
	explainInterval   = 2 * time.Second
	// maxExplainedTasks bounds the tasks that one round explains.
	maxExplainedTasks = 3
)

// explainWaiting logs what a few long-waiting tasks wait for.
func (c *Core) explainWaiting(now time.Duration) {
	if now-c.explainedAt < explainInterval {
		return
	}
	c.explainedAt = now
	shown := 0
	for _, j := range c.open {
		if j.rec.State.Ended() || now-j.firstSeen < longWaitThreshold {
			continue
		}
		for _, t := range j.firstWaitingTasks() {
			if t.givenUp {
				continue
			}
			if shown == maxExplainedTasks {
				return
			}
			shown++
			c.event(Event{Kind: EventWaits, Job: j.rec.Job.ID, Task: t.name(), Run: t.run,
				Reason: c.describeObstacles(now, t, c.countObstacles(now, t)), AgeMs: (now - j.firstSeen).Milliseconds()})
		}
	}
}

// firstWaitingTasks returns one waiting task of each step that is ready to start; one that has been
// given up only if the step has no other.
func (j *job) firstWaitingTasks() []*task {
	var out []*task
	for s := range j.readySteps() {
		first := slices.IndexFunc(s.tasks, func(t *task) bool { return t.phase == taskWaiting && !t.givenUp })
		if first < 0 {
			first = slices.IndexFunc(s.tasks, func(t *task) bool { return t.phase == taskWaiting })
		}
		if first >= 0 {
			out = append(out, s.tasks[first])
		}
	}
	return out
}

// countObstacles counts the pool's endpoints by what prevents a task from starting on them.
func (c *Core) countObstacles(now time.Duration, t *task) map[string]int {
	counts := map[string]int{}
	for _, e := range c.endpoints {
		counts[c.obstacle(now, t, e)]++
	}
	return counts
}

// describeObstacles returns a readable summary of what a task waits for.
func (c *Core) describeObstacles(now time.Duration, t *task, counts map[string]int) string {
	var parts []string
	if !c.fitsAccountLimit(t.step, 1) {
		parts = append(parts, obstacleAccount)
	}
	for _, name := range obstacles {
		if counts[name] > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", counts[name], name))
		}
	}
	if now < t.notBefore {
		parts = append(parts, "in backoff")
	}
	return strings.Join(parts, ", ")
}

// Obstacles, in the order in which they are listed.
const (
	// obstacleAccount does not concern an endpoint: the task waits for others of its client
	// account.
	obstacleAccount = "its account's limit"
	obstacleNone    = "open"
	obstacleFull    = "full"
	// obstacleRequirement: neither the endpoint's kind nor its rack is the required one.
	obstacleRequirement  = "unlike"
	obstacleSpread       = "at the step's limit of tasks per endpoint"
	obstacleSharing      = "with tasks that it must not share an endpoint with"
	obstacleTicket       = "without a ticket"
	obstacleUnlisted     = "not listed"
	obstacleDraining     = "draining"
	obstacleVacating     = "vacating"
	obstacleNotReported  = "not yet reported to this owner"
	obstacleUnresponsive = "silent"
	obstacleUnknownRuns  = "with runs unknown to this owner"
	obstacleQuarantined  = "quarantined"
	obstacleReserved     = "reserved for another task"
	obstacleSlow         = "slow"
	// obstacleEndsFull: the endpoint lists ends that must not be acknowledged, and could not list
	// another one.
	obstacleEndsFull       = "with as many unacknowledged ends as it can list"
	obstacleOutdatedEntry  = "with an outdated service discovery entry"
	obstacleIsolated       = "where a suspect task of another job has just started"
	obstacleOutdatedReport = "not heard of late"
	obstacleNewRuns        = "where others have just begun"
)

var obstacles = []string{obstacleAccount, obstacleNone, obstacleFull, obstacleRequirement, obstacleSpread, obstacleSharing, obstacleTicket, obstacleUnlisted,
	obstacleDraining, obstacleVacating, obstacleNotReported, obstacleUnresponsive, obstacleUnknownRuns, obstacleQuarantined, obstacleReserved, obstacleSlow, obstacleEndsFull,
	obstacleOutdatedEntry, obstacleIsolated, obstacleOutdatedReport, obstacleNewRuns}

// unblockedBy maps an obstacle to the event that removes it, where there is one.
var unblockedBy = map[string]string{
	obstacleAccount:        "the end of a task of the same account, or a higher limit",
	obstacleFull:           "a task that ends on a full endpoint, or an instance that comes to the pool",
	obstacleSpread:         "another endpoint, as the step limits its tasks per endpoint",
	obstacleSharing:        "an endpoint without tasks of the kind (serving or filling) that it can't share with",
	obstacleTicket:         "a ticket from the advice service",
	obstacleUnlisted:       "a readable entry in service discovery",
	obstacleVacating:       "the end of the operation on the endpoint's instance",
	obstacleNotReported:    "the endpoint's first report to this owner",
	obstacleUnresponsive:   "the endpoint's next report, or the expiry of its lease",
	obstacleUnknownRuns:    "the end of the runs unknown to this owner",
	obstacleQuarantined:    "the end of the quarantine",
	obstacleReserved:       "the start of the task that the endpoint is reserved for, or the end of the reservation",
	obstacleEndsFull:       "a move or the maintenance of the endpoint's instance",
	obstacleOutdatedEntry:  "the endpoint's next entry in service discovery",
	obstacleIsolated:       "the endpoint's next reports, or its crash",
	obstacleOutdatedReport: "the endpoint's next report",
	obstacleNewRuns:        "an endpoint reserved for the suspect task alone, so that a crash is attributed to it",
	obstacleSlow:           "progress of the one task that probes the slow endpoint",
}

// obstacle returns what prevents a task from starting on an endpoint.
func (c *Core) obstacle(now time.Duration, t *task, e *endpoint) string {
	if common := c.endpointObstacle(now, e); common != obstacleNone {
		return common
	}
	if e.reservedFor != nil && e.reservedFor != t {
		return obstacleReserved
	}
	if e.isolatedFor != nil && e.isolatedFor != t.step.job {
		return obstacleIsolated
	}
	if t.needsRecentReport() && now-e.clockAt > maxReportAge {
		return obstacleOutdatedReport
	}
	if t.needsIsolatedRun(now) && e.hasNewRuns(t.step.job) {
		return obstacleNewRuns
	}
	if e.speed.slow && e.hasProbeTask() && !t.step.spec.LongRunning {
		return obstacleSlow
	}
	if !e.free().Holds(needs(t.step.spec)) {
		return obstacleFull
	}
	return c.taskObstacle(now, t, e)
}

// endpointObstacle returns what prevents every task from starting on an endpoint.
func (c *Core) endpointObstacle(now time.Duration, e *endpoint) string {
	switch {
	case !e.listed:
		return obstacleUnlisted
	case e.draining:
		return obstacleDraining
	case e.vacating:
		return obstacleVacating
	case !e.hasReported:
		return obstacleNotReported
	case e.failedPolls > 0:
		return obstacleUnresponsive
	case e.unknownRuns > 0:
		return obstacleUnknownRuns
	case now < e.quarantinedUntil:
		return obstacleQuarantined
	case e.endsFull():
		return obstacleEndsFull
	case !c.hasCurrentCapacity(now, e):
		return obstacleOutdatedEntry
	}
	return obstacleNone
}

// taskObstacle returns what prevents a task from starting on an endpoint regardless of the endpoint's
// free capacity.
func (c *Core) taskObstacle(now time.Duration, t *task, e *endpoint) string {
	s := t.step.spec
	switch {
	case s.Requires != "" && s.Requires != e.kind && s.Requires != e.rack:
		return obstacleRequirement
	case s.MaxPerEndpoint > 0 && t.step.perEndpoint[e] >= s.MaxPerEndpoint:
		return obstacleSpread
	case mixesFillerAndServing(s, e):
		return obstacleSharing
	case !t.step.hasRequiredTicket(now, e):
		return obstacleTicket
	}
	return obstacleNone
}

// formatRelativeSpeed formats a speed, relative to the usual one, for the log.
func formatRelativeSpeed(share float64) string {
	return strconv.Itoa(int(100*share)) + "% of the usual speed"
}
