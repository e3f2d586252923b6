package executor

import (
	"slices"
	"time"
)

// Limit of starts in flight. Load: a demand peak asks for more starts per second than the
// owner's processor or link carries. Sent all at once, each start queues behind the others
// until its answer arrives after the timeout and it is sent again; polls and the journal
// store's answers wait in the same queue, leases expire, and throughput falls as load rises. So
// the owner keeps only as many starts in flight as are answered without a rise in latency.
// Starts beyond the limit stay undecided: they occupy no capacity, and a slot that becomes free goes
// to the job that is best by then.
//
// Polls and stops are not limited: running tasks must continue, and ends free capacity.
const (
	// initialStartLimit applies before any answer was measured.
	initialStartLimit = 64
	// minStartLimit lets an owner continue whose link is full of other traffic. A few starts
	// at a time leave bandwidth for its peers, whose datagrams a full link drops.
	minStartLimit = 2
	// maxStartLimit is far above what one process carries.
	maxStartLimit = 2048
	// A window ends after fullWindowAnswers answers, enough for a median, or after
	// windowDuration, so that a slow owner is detected in time.
	windowDuration    = 150 * time.Millisecond
	fullWindowAnswers = 24
	// minWindowAnswers is how many answers it takes to evaluate a window at all.
	minWindowAnswers = 6
	// A median is slow above slowAnswerFactor times the recent best median, but never below
	// minSlowAnswer.
	slowAnswerFactor = 4
	minSlowAnswer    = 25 * time.Millisecond
	// limitCutFactor applies after a slow window. limitGrowth and minLimitGrowth apply after a
	// window in which the limit was reached and answers were fast.
	limitCutFactor = 0.7
	limitGrowth    = 0.1
	minLimitGrowth = 4
	// slotHoldFactor times the slow threshold is how long an unanswered start holds its slot.
	// Load: a rack fails during a demand peak. The starts sent there would hold all slots
	// until their timeout, and the rest of the pool would start nothing meanwhile.
	slotHoldFactor = 4
	// noAnswerPeriod is how long no start may have been answered before timeouts count as slow
	// answers: timeouts indicate an overloaded owner only if no endpoint answers it.
	noAnswerPeriod = 300 * time.Millisecond
	// bestMedianGrowth lets the best median rise again, so that a lasting change of the
	// network's delay is not taken for overload for ever.
	bestMedianGrowth = 1.01
)

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
	limit := c.startLimiter.limit
	if len(c.startQueue) == 0 && c.startLimiter.free() > 0 {
		limit *= unlimitedFactor
	}
	limit = max(limit, c.startLimiter.answerRate*(decideAhead+c.storeDelay).Seconds())
	return int(limit) - len(c.startQueue) - c.startsNotDurable - len(c.decidedStarts)
}

// startLimitLogInterval is the least time between log lines about the limit.
const startLimitLogInterval = time.Second

// logStartLimit logs that the limit was lowered, with the limit as the event's run and the median
// answer time as its age.
func (c *Core) logStartLimit(now time.Duration) {
	if !c.startLimiter.slow || now-c.startLimitLoggedAt < startLimitLogInterval {
		return
	}
	c.startLimitLoggedAt = now
	c.event(Event{Kind: EventStartsLimited, Run: int(c.startLimiter.limit), Reason: "answers are slow", AgeMs: c.startLimiter.median.Milliseconds()})
}

// slot is held by a start in flight.
type slot struct {
	sent     time.Duration
	released bool
}

// startLimiter limits the starts in flight. Using the median answer time distinguishes an overloaded
// owner from slow endpoints, as a minority of them does not shift it. Unresponsive endpoints
// count only if no endpoint answers.
type startLimiter struct {
	limit    float64
	inFlight int
	// slots are those of the starts sent last, oldest first.
	slots []*slot
	// lastAnswer is when a start was last answered.
	lastAnswer time.Duration
	// limitReached reports whether the limit was reached in this window.
	limitReached bool
	// median is that of the last window; slow reports that it lowered the limit.
	median time.Duration
	slow   bool
	// durations are the answer times of this window; windowStart is when the first of these
	// starts was sent.
	durations   []time.Duration
	windowStart time.Duration
	// bestMedian is the lowest recent median.
	bestMedian time.Duration
	// answerRate is how many starts per second were answered while the limit was reached.
	answerRate float64
}

func newStartLimiter() startLimiter { return startLimiter{limit: initialStartLimit} }

// slowAnswerThreshold returns the answer time above which a median is slow.
func (l *startLimiter) slowAnswerThreshold() time.Duration {
	return max(minSlowAnswer, slowAnswerFactor*l.bestMedian)
}

// free returns how many more starts may be sent.
func (l *startLimiter) free() int { return int(l.limit) - l.inFlight }

// acquireSlot takes a slot for a start that has been sent.
func (l *startLimiter) acquireSlot(now time.Duration) *slot {
	s := &slot{sent: now}
	l.slots = append(l.slots, s)
	l.inFlight++
	l.limitReached = l.limitReached || l.free() <= 0
	return s
}

// release frees a start's slot.
func (l *startLimiter) release(s *slot) {
	if s.released {
		return
	}
	s.released = true
	l.inFlight--
}

// releaseOverdueSlots frees the slots of starts that have been unanswered for too long.
func (l *startLimiter) releaseOverdueSlots(now time.Duration) {
	for len(l.slots) > 0 && (l.slots[0].released || now-l.slots[0].sent > slotHoldFactor*l.slowAnswerThreshold()) {
		l.release(l.slots[0])
		l.slots = l.slots[1:]
	}
}

// recordTimeout records that a start has timed out.
func (l *startLimiter) recordTimeout(now time.Duration, s *slot) {
	l.release(s)
	if now-l.lastAnswer > noAnswerPeriod {
		l.recordDuration(now, now-s.sent)
	}
}

// recordAnswer records that a start was answered.
func (l *startLimiter) recordAnswer(now time.Duration, s *slot) {
	l.release(s)
	l.lastAnswer = now
	l.recordDuration(now, now-s.sent)
}

func (l *startLimiter) recordDuration(now, took time.Duration) {
	if len(l.durations) == 0 {
		l.windowStart = now - took // idle time before the first start must not lower the rate
	}
	l.durations = append(l.durations, took)
	due := len(l.durations) >= fullWindowAnswers || now-l.windowStart >= windowDuration && len(l.durations) >= minWindowAnswers
	if due {
		l.closeWindow(now)
	}
}

func (l *startLimiter) closeWindow(now time.Duration) {
	slices.Sort(l.durations)
	l.median = l.durations[len(l.durations)/2]
	l.slow = l.median > l.slowAnswerThreshold()
	if l.limitReached || l.slow {
		l.updateAnswerRate(float64(len(l.durations)) / max(time.Millisecond, now-l.windowStart).Seconds())
	}
	switch {
	case l.slow:
		l.limit = max(minStartLimit, l.limit*limitCutFactor)
	case l.limitReached:
		l.limit = min(maxStartLimit, l.limit+max(minLimitGrowth, l.limit*limitGrowth))
	}
	l.bestMedian = time.Duration(float64(l.bestMedian) * bestMedianGrowth)
	if answered := now-l.lastAnswer <= noAnswerPeriod; answered && (l.bestMedian == 0 || l.median < l.bestMedian) {
		l.bestMedian = l.median
	}
	l.durations, l.limitReached = l.durations[:0], l.free() <= 0
}

// updateAnswerRate updates the moving average of the rate.
func (l *startLimiter) updateAnswerRate(rate float64) {
	const share = 0.2
	if l.answerRate == 0 {
		l.answerRate = rate
		return
	}
	l.answerRate += share * (rate - l.answerRate)
}

// startQueueDelay returns how long it takes to send as many starts as wait, or 0 if the limit is not
// reached.
func (l *startLimiter) startQueueDelay(waiting int) time.Duration {
	if l.answerRate == 0 || l.free() > 0 {
		return 0
	}
	return time.Duration(float64(waiting) / l.answerRate * float64(time.Second))
}
