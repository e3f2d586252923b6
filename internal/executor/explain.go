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
	waitsLong  = 2 * time.Second
	waitsEvery = 2 * time.Second
	// waitsShown bounds the tasks that one round explains.
	waitsShown = 3
)

// explainWaiting says of a few tasks that wait for long what they wait for.
func (c *Core) explainWaiting(now time.Duration) {
	if now-c.explained < waitsEvery {
		return
	}
	c.explained = now
	shown := 0
	for _, j := range c.open {
		if j.rec.State.Ended() || now-j.since < waitsLong {
			continue
		}
		for _, t := range j.waitingTasks() {
			if shown == waitsShown {
				return
			}
			shown++
			c.event(Event{Kind: EventWaits, Job: j.rec.Job.ID, Task: t.name(), Run: t.run,
				Reason: c.whyWaiting(now, t, c.obstaclesOf(now, t)), AgeMs: (now - j.since).Milliseconds()})
		}
	}
}

// waitingTasks returns one task of each step whose turn has come.
func (j *job) waitingTasks() []*task {
	var out []*task
	for s := range j.readySteps() {
		if first := slices.IndexFunc(s.tasks, func(t *task) bool { return t.phase == taskWaiting }); first >= 0 {
			out = append(out, s.tasks[first])
		}
	}
	return out
}

// obstaclesOf counts the pool's endpoints by what keeps a task from them.
func (c *Core) obstaclesOf(now time.Duration, t *task) map[string]int {
	counts := map[string]int{}
	for _, e := range c.endpoints {
		counts[c.obstacle(now, t, e)]++
	}
	return counts
}

// whyWaiting tells people what keeps a task waiting.
func (c *Core) whyWaiting(now time.Duration, t *task, counts map[string]int) string {
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
	obstacleAccount   = "its account's limit"
	obstacleNone      = "open"
	obstacleRoom      = "full"
	obstacleLabel     = "unlike"
	obstacleSpread    = "with too many of its step"
	obstacleSharing   = "with tasks it must not share with"
	obstacleTicket    = "without a ticket"
	obstacleUnlisted  = "not listed"
	obstacleDraining  = "draining"
	obstacleVacating  = "vacating"
	obstacleUnknown   = "not heard from yet"
	obstacleSilent    = "silent"
	obstacleStrangers = "with unknown runs"
	obstacleQuiet     = "quarantined"
	obstacleKept      = "kept for a lasting task"
	obstacleSlow      = "slow"
	obstacleWithheld  = "with an end that came too late"
	obstacleEntry     = "with an entry too old to go by"
	obstacleTrial     = "where a task that may crash it has just begun"
	obstacleStale     = "not heard of late"
	obstacleBegun     = "where others have just begun"
)

var obstacles = []string{obstacleAccount, obstacleNone, obstacleRoom, obstacleLabel, obstacleSpread, obstacleSharing, obstacleTicket, obstacleUnlisted,
	obstacleDraining, obstacleVacating, obstacleUnknown, obstacleSilent, obstacleStrangers, obstacleQuiet, obstacleKept, obstacleSlow, obstacleWithheld,
	obstacleEntry, obstacleTrial, obstacleStale, obstacleBegun}

// unblocks is what ends an obstacle, where something does.
var unblocks = map[string]string{
	obstacleAccount:   "the end of a task of the same account, or a higher limit",
	obstacleRoom:      "a task that ends on a full endpoint, or an instance that comes to the pool",
	obstacleSpread:    "one more endpoint, for a step whose tasks must be apart",
	obstacleSharing:   "an endpoint without tasks that serve or fill, whichever the other is",
	obstacleTicket:    "an answer of the advice service",
	obstacleUnlisted:  "an entry in service discovery that can be read",
	obstacleVacating:  "the end of the operation on the endpoint's instance",
	obstacleUnknown:   "the endpoint's first answer to this owner",
	obstacleSilent:    "the endpoint's answer, or the end of its lease",
	obstacleStrangers: "the end of runs that this owner does not know",
	obstacleQuiet:     "the end of the quarantine",
	obstacleKept:      "the lasting task that the endpoint is kept for",
	obstacleWithheld:  "a move or the maintenance of the endpoint's instance",
	obstacleEntry:     "the endpoint's next entry in service discovery",
	obstacleTrial:     "the endpoint's next answers, or its end",
	obstacleStale:     "the endpoint's answer",
	obstacleBegun:     "an endpoint kept for the task alone: others may be blamed for its crashes",
	obstacleSlow:      "progress of the one task that tries the slow endpoint",
}

// obstacle returns what keeps a task from an endpoint.
func (c *Core) obstacle(now time.Duration, t *task, e *endpoint) string {
	if closed := c.closedBy(now, e); closed != obstacleNone {
		return closed
	}
	if e.keptFor != nil && e.keptFor != t {
		return obstacleKept
	}
	if e.trial != nil && e.trial != t.step.job {
		return obstacleTrial
	}
	if t.cautious() && now-e.clockAt > heardOfLate {
		return obstacleStale
	}
	if t.alone(now) && e.hasJustBegun(t.step.job) {
		return obstacleBegun
	}
	if e.speed.slow && e.probed() && !t.step.spec.LongRunning {
		return obstacleSlow
	}
	if !e.free().Holds(needs(t.step.spec)) {
		return obstacleRoom
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
		return obstacleUnknown
	case e.failedLook > 0:
		return obstacleSilent
	case e.strangers > 0:
		return obstacleStrangers
	case now < e.quarantine:
		return obstacleQuiet
	case e.withheld > 0:
		return obstacleWithheld
	case !c.roomKnown(now, e):
		return obstacleEntry
	}
	return obstacleNone
}

// mismatch returns what keeps a task from an endpoint, however empty that is of
// tasks that end by themselves.
func (c *Core) mismatch(now time.Duration, t *task, e *endpoint) string {
	s := t.step.spec
	switch {
	case s.Requires != "" && s.Requires != e.kind && s.Requires != e.rack:
		return obstacleLabel
	case s.MaxPerEndpoint > 0 && t.step.perHost[e] >= s.MaxPerEndpoint:
		return obstacleSpread
	case sharesBadly(s, e):
		return obstacleSharing
	case !t.step.advised(now, e):
		return obstacleTicket
	}
	return obstacleNone
}

// percentOf writes a share for the log.
func percentOf(share float64) string {
	return strconv.Itoa(int(100*share)) + "% of the usual speed"
}
