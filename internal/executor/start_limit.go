package executor

import (
	"time"

	"cyclamenwheel/internal/inflight"
)

// Limit of starts in flight. Load: a demand peak asks for more starts per second than the
// owner's processor or link carries. Sent all at once, polls and the journal store's answers wait
// in the same queue, leases expire, and throughput falls as load rises. Starts beyond the limit
// stay undecided: they occupy no capacity, and a slot that becomes free goes to the job that is best
// by then.
//
// Polls and stops are not limited: running tasks must continue, and ends free capacity.
var startLimitSettings = inflight.Settings{InitialLimit: 64, MinSlowAnswer: 25 * time.Millisecond}

const (
	// decideAhead is how long starts may be decided before they are sent, in addition to the
	// journal's delay.
	decideAhead = 100 * time.Millisecond
	// unlimitedFactor times the limit is how many starts may be decided at once while the limit is
	// not reached.
	unlimitedFactor = 4
	// storeDelaySmoothing is the inverse of a new value's weight in storeDelay.
	storeDelaySmoothing = 8
)

// placementBudget returns how many starts this round may decide. A start decided long before it is
// sent occupies capacity that others could use, for a job that may no longer be the best.
func (c *Core) placementBudget() int {
	limit := c.startLimiter.Limit()
	if len(c.startQueue) == 0 && c.startLimiter.Free() > 0 {
		limit *= unlimitedFactor
	}
	limit = max(limit, c.startLimiter.AnswerRate()*(decideAhead+c.storeDelay).Seconds())
	return int(limit) - len(c.startQueue) - c.startsNotDurable - len(c.decidedStarts)
}

// startLimitLogInterval is the least time between log lines about the limit.
const startLimitLogInterval = time.Second

// logStartLimit logs that the limit was lowered, with the limit as the event's run and the median
// answer time as its age.
func (c *Core) logStartLimit(now time.Duration) {
	if !c.startLimiter.Slow() || now-c.startLimitLoggedAt < startLimitLogInterval {
		return
	}
	c.startLimitLoggedAt = now
	c.event(Event{Kind: EventStartsLimited, Run: int(c.startLimiter.Limit()), Reason: "answers are slow", AgeMs: c.startLimiter.Median().Milliseconds()})
}
