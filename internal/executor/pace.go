package executor

import (
	"slices"
	"time"
)

// Limit of starts in flight. Load: a demand peak asks for more starts per second than the
// owner's processor or link carries. Sent all at once, each start queues behind the others
// until its answer arrives after the timeout and it is sent again; lease renewals and the
// store's answers wait in the same queue, leases expire, and throughput falls as load rises. So
// the owner keeps only as many starts in flight as are answered without a rise in latency.
// Starts beyond the limit stay undecided: their slots go to the best job at a later moment, and
// they occupy no capacity meanwhile.
//
// Renewals and stops are not limited: running tasks must continue, and ends free capacity.
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
	// decideAhead is how long before they are sent starts are decided, in addition to the
	// journal's delay.
	decideAhead = 100 * time.Millisecond
	// unlimitedFactor times the limit may be decided at once while the limit is not reached.
	unlimitedFactor = 4
	// storeDelaySmoothing is the inverse of a new value's weight in storeDelay.
	storeDelaySmoothing = 8
)

// placementBudget returns how many starts this round may decide. A start decided long before it is
// sent occupies capacity that others could use, for a job that may no longer be the best.
func (c *Core) placementBudget() int {
	limit := c.pace.limit
	if len(c.startQueue) == 0 && c.pace.free() > 0 {
		limit *= unlimitedFactor
	}
	limit = max(limit, c.pace.answerRate*(decideAhead+c.storeDelay).Seconds())
	return int(limit) - len(c.startQueue) - c.startsNotDurable - len(c.decidedStarts)
}

// pacedLogInterval is the least time between log lines about the limit.
const pacedLogInterval = time.Second

// explainPace logs that the limit was lowered, with the limit as the event's run and the median
// answer time as its age.
func (c *Core) explainPace(now time.Duration) {
	if !c.pace.slow || now-c.pacedAt < pacedLogInterval {
		return
	}
	c.pacedAt = now
	c.event(Event{Kind: EventPaced, Run: int(c.pace.limit), Reason: "answers are slow", AgeMs: c.pace.median.Milliseconds()})
}

// slot is held by a start in flight.
type slot struct {
	sent     time.Duration
	released bool
}

// pace limits the starts in flight. Using the median answer time distinguishes an overloaded
// owner from slow endpoints, as a minority of them does not shift it. Unresponsive endpoints
// count only if no endpoint answers.
type pace struct {
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

func newPace() pace { return pace{limit: initialStartLimit} }

// slowAnswerThreshold returns the answer time above which a median is slow.
func (p *pace) slowAnswerThreshold() time.Duration {
	return max(minSlowAnswer, slowAnswerFactor*p.bestMedian)
}

// free returns how many more starts may be sent.
func (p *pace) free() int { return int(p.limit) - p.inFlight }

// sent takes a slot for a start that has been sent.
func (p *pace) sent(now time.Duration) *slot {
	s := &slot{sent: now}
	p.slots = append(p.slots, s)
	p.inFlight++
	p.limitReached = p.limitReached || p.free() <= 0
	return s
}

// release frees a start's slot.
func (p *pace) release(s *slot) {
	if s.released {
		return
	}
	s.released = true
	p.inFlight--
}

// pass frees the slots of starts that have been unanswered for too long.
func (p *pace) pass(now time.Duration) {
	for len(p.slots) > 0 && (p.slots[0].released || now-p.slots[0].sent > slotHoldFactor*p.slowAnswerThreshold()) {
		p.release(p.slots[0])
		p.slots = p.slots[1:]
	}
}

// unanswered records that a start has timed out.
func (p *pace) unanswered(now time.Duration, s *slot) {
	p.release(s)
	if now-p.lastAnswer > noAnswerPeriod {
		p.recordDuration(now, now-s.sent)
	}
}

// answered records that a start was answered.
func (p *pace) answered(now time.Duration, s *slot) {
	p.release(s)
	p.lastAnswer = now
	p.recordDuration(now, now-s.sent)
}

func (p *pace) recordDuration(now, took time.Duration) {
	if len(p.durations) == 0 {
		p.windowStart = now - took // idle time before the first start must not lower the rate
	}
	p.durations = append(p.durations, took)
	due := len(p.durations) >= fullWindowAnswers || now-p.windowStart >= windowDuration && len(p.durations) >= minWindowAnswers
	if due {
		p.closeWindow(now)
	}
}

func (p *pace) closeWindow(now time.Duration) {
	slices.Sort(p.durations)
	p.median = p.durations[len(p.durations)/2]
	p.slow = p.median > p.slowAnswerThreshold()
	if p.limitReached || p.slow {
		p.updateAnswerRate(float64(len(p.durations)) / max(time.Millisecond, now-p.windowStart).Seconds())
	}
	switch {
	case p.slow:
		p.limit = max(minStartLimit, p.limit*limitCutFactor)
	case p.limitReached:
		p.limit = min(maxStartLimit, p.limit+max(minLimitGrowth, p.limit*limitGrowth))
	}
	p.bestMedian = time.Duration(float64(p.bestMedian) * bestMedianGrowth)
	if answered := now-p.lastAnswer <= noAnswerPeriod; answered && (p.bestMedian == 0 || p.median < p.bestMedian) {
		p.bestMedian = p.median
	}
	p.durations, p.limitReached = p.durations[:0], p.free() <= 0
}

// updateAnswerRate updates the moving average of the rate.
func (p *pace) updateAnswerRate(rate float64) {
	const share = 0.2
	if p.answerRate == 0 {
		p.answerRate = rate
		return
	}
	p.answerRate += share * (rate - p.answerRate)
}

// startsWait returns how long it takes to send as many starts as wait, or 0 if the limit is not
// reached.
func (p *pace) startsWait(waiting int) time.Duration {
	if p.answerRate == 0 || p.free() > 0 {
		return 0
	}
	return time.Duration(float64(waiting) / p.answerRate * float64(time.Second))
}
