package executor

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// waitsLong is how long a task may wait, though its turn has come, before
	// the log says why; waitsEvery spaces those lines.
	longWaitThreshold = 2 * time.Second
	explainInterval   = 2 * time.Second
	// waitsShown bounds the tasks that one round explains.
	maxExplainedTasks = 3
)

// explainWaiting says of a few tasks that wait for long what they wait for.
func (c *Core) explainWaiting(now time.Duration) {
	if now-c.explained < explainInterval {
		return
	}
	c.explained = now
	shown := 0
	for _, j := range c.open {
		if j.rec.State.Ended() || now-j.since < longWaitThreshold {
			continue
		}
		for _, t := range j.firstWaitingTasks() {
			if shown == maxExplainedTasks {
				return
			}
			shown++
			c.event(Event{Kind: EventWaits, Job: j.rec.Job.ID, Task: t.name(), Run: t.run,
				Reason: c.describeObstacles(now, t, c.countObstacles(now, t)), AgeMs: (now - j.since).Milliseconds()})
		}
	}
}

// waitingTasks returns one task of each step whose turn has come.
func (j *job) firstWaitingTasks() []*task {
	var out []*task
	for s := range j.readySteps() {
		if first := slices.IndexFunc(s.tasks, func(t *task) bool { return t.phase == taskWaiting }); first >= 0 {
			out = append(out, s.tasks[first])
		}
	}
	return out
}

// obstaclesOf counts the pool's endpoints by what keeps a task from them.
func (c *Core) countObstacles(now time.Duration, t *task) map[string]int {
	counts := map[string]int{}
	for _, e := range c.endpoints {
		counts[c.obstacle(now, t, e)]++
	}
	return counts
}

// whyWaiting tells people what keeps a task waiting.
func (c *Core) describeObstacles(now time.Duration, t *task, counts map[string]int) string {
	var parts []string
	if !c.allowed(t.step, 1) {
		parts = append(parts, obstacleAccount)
	}
	for _, name := range obstacles {
		if counts[name] > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", counts[name], name))
		}
	}
	if now < t.notBefore {
		parts = append(parts, "backs off")
	}
	return strings.Join(parts, ", ")
}

// Obstacles, in the order in which they are told.
const (
	// obstacleAccount is no endpoint's: the task waits for others of its client account.
	obstacleAccount        = "its account's limit"
	obstacleNone           = "open"
	obstacleFull           = "full"
	obstacleRequirement    = "unlike"
	obstacleSpread         = "with too many of its step"
	obstacleSharing        = "with tasks it must not share with"
	obstacleTicket         = "without a ticket"
	obstacleUnlisted       = "not listed"
	obstacleDraining       = "draining"
	obstacleVacating       = "vacating"
	obstacleNotReported    = "not heard from yet"
	obstacleUnresponsive   = "silent"
	obstacleUnknownRuns    = "with unknown runs"
	obstacleQuarantined    = "quarantined"
	obstacleReserved       = "kept for a lasting task"
	obstacleSlow           = "slow"
	obstacleLateEnd        = "with an end that came too late"
	obstacleOutdatedEntry  = "with an entry too old to go by"
	obstacleTrial          = "where a task that may crash it has just begun"
	obstacleOutdatedReport = "not heard of late"
	obstacleRecentStart    = "where others have just begun"
)

var obstacles = []string{obstacleAccount, obstacleNone, obstacleFull, obstacleRequirement, obstacleSpread, obstacleSharing, obstacleTicket, obstacleUnlisted,
	obstacleDraining, obstacleVacating, obstacleNotReported, obstacleUnresponsive, obstacleUnknownRuns, obstacleQuarantined, obstacleReserved, obstacleSlow, obstacleLateEnd,
	obstacleOutdatedEntry, obstacleTrial, obstacleOutdatedReport, obstacleRecentStart}

// unblocks is what ends an obstacle, where something does.
var unblockedBy = map[string]string{
	obstacleAccount:        "the end of a task of the same account, or a higher limit",
	obstacleFull:           "a task that ends on a full endpoint, or an instance that comes to the pool",
	obstacleSpread:         "one more endpoint, for a step whose tasks must be apart",
	obstacleSharing:        "an endpoint without tasks that serve or fill, whichever the other is",
	obstacleTicket:         "an answer of the advice service",
	obstacleUnlisted:       "an entry in service discovery that can be read",
	obstacleVacating:       "the end of the operation on the endpoint's instance",
	obstacleNotReported:    "the endpoint's first answer to this owner",
	obstacleUnresponsive:   "the endpoint's answer, or the end of its lease",
	obstacleUnknownRuns:    "the end of runs that this owner does not know",
	obstacleQuarantined:    "the end of the quarantine",
	obstacleReserved:       "the lasting task that the endpoint is kept for",
	obstacleLateEnd:        "a move or the maintenance of the endpoint's instance",
	obstacleOutdatedEntry:  "the endpoint's next entry in service discovery",
	obstacleTrial:          "the endpoint's next answers, or its end",
	obstacleOutdatedReport: "the endpoint's answer",
	obstacleRecentStart:    "an endpoint kept for the task alone: others may be blamed for its crashes",
	obstacleSlow:           "progress of the one task that tries the slow endpoint",
}

// obstacle returns what keeps a task from an endpoint.
func (c *Core) obstacle(now time.Duration, t *task, e *endpoint) string {
	if closed := c.closedBy(now, e); closed != obstacleNone {
		return closed
	}
	if e.keptFor != nil && e.keptFor != t {
		return obstacleReserved
	}
	if e.trial != nil && e.trial != t.step.job {
		return obstacleTrial
	}
	if t.cautious() && now-e.clockAt > heardOfLate {
		return obstacleOutdatedReport
	}
	if t.alone(now) && e.hasJustBegun(t.step.job) {
		return obstacleRecentStart
	}
	if e.speed.slow && e.hasProbeTask() && !t.step.spec.LongRunning {
		return obstacleSlow
	}
	if !e.free().Holds(needs(t.step.spec)) {
		return obstacleFull
	}
	return c.mismatch(now, t, e)
}

// closedBy returns what keeps every task from an endpoint.
func (c *Core) closedBy(now time.Duration, e *endpoint) string {
	switch {
	case !e.listed:
		return obstacleUnlisted
	case e.draining:
		return obstacleDraining
	case e.vacating:
		return obstacleVacating
	case !e.lookedEver:
		return obstacleNotReported
	case e.failedLook > 0:
		return obstacleUnresponsive
	case e.strangers > 0:
		return obstacleUnknownRuns
	case now < e.quarantine:
		return obstacleQuarantined
	case e.withheld > 0:
		return obstacleLateEnd
	case !c.roomKnown(now, e):
		return obstacleOutdatedEntry
	}
	return obstacleNone
}

// mismatch returns what keeps a task from an endpoint, however empty that is of
// tasks that end by themselves.
func (c *Core) mismatch(now time.Duration, t *task, e *endpoint) string {
	s := t.step.spec
	switch {
	case s.Requires != "" && s.Requires != e.kind && s.Requires != e.rack:
		return obstacleRequirement
	case s.MaxPerEndpoint > 0 && t.step.perHost[e] >= s.MaxPerEndpoint:
		return obstacleSpread
	case sharesBadly(s, e):
		return obstacleSharing
	case !t.step.hasRequiredTicket(now, e):
		return obstacleTicket
	}
	return obstacleNone
}

// percentOf writes a share for the log.
func formatRelativeSpeed(share float64) string {
	return strconv.Itoa(int(100*share)) + "% of the usual speed"
}
