package executor

import (
	"slices"
	"time"
)

// Pace of starts. Load: a turn of demand asks for more starts a second than the owner's
// processor or link carries. Sent all at once, each start waits behind the others until
// its answer comes too late to be heard; it is sent again, renewals and the store's
// answers wait in the same line, leases run out, and the owner carries less the more is
// asked of it. So only as many starts are under way as are answered about as fast as
// ever. What does not fit stays undecided: it goes to the best job of a later moment,
// and holds no room meanwhile.
//
// Renewals and stops are not paced: what runs must go on, and ends free room.
const (
	// paceFirst is allowed before anything is known of the answers.
	initialStartLimit = 64
	// paceLeast lets an owner go on whose link is full of other things: a few starts at a
	// time leave it room for its peers, whose datagrams a full link drops.
	minStartLimit = 2
	// paceMost is far above what one process carries.
	maxStartLimit = 2048
	// paceWindow and paceAnswers end a window: as many answers make a median, and a
	// slow owner is judged after a time.
	windowDuration    = 150 * time.Millisecond
	fullWindowAnswers = 24
	// paceEnough answers are needed to judge a window at all.
	minWindowAnswers = 6
	// slowFactor times the best median of late is slow, and below slowFloor nothing is.
	slowAnswerFactor = 4
	minSlowAnswer    = 25 * time.Millisecond
	// paceCut follows a slow window. paceRise and paceStep follow one in which the
	// limit was reached and answers were fast.
	limitCutFactor = 0.7
	limitGrowth    = 0.1
	minLimitGrowth = 4
	// slotFactor times what counts as slow is how long a start without an answer holds
	// its place among those under way. Load: a rack goes dark in a turn of demand. The
	// starts that were sent there would hold all places until their timeout, and the
	// rest of the pool would start nothing meanwhile.
	slotHoldFactor = 4
	// hushed is how long no start may have been answered for timeouts to count as slow
	// answers: they tell of the owner only where nobody answers it.
	noAnswerPeriod = 300 * time.Millisecond
	// bestFades lets the best median rise again, so that a lasting change of the
	// network's delay is not taken for overload for ever.
	bestMedianGrowth = 1.01
)

const (
	// decideAhead is how far ahead of their leaving starts are decided, beside what
	// the journal takes.
	decideAhead = 100 * time.Millisecond
	// freely times the limit is decided at once while it is not in the way.
	unlimitedFactor = 4
	// storeTookShare is the inverse of a new value's weight in storeTook.
	storeDelaySmoothing = 8
)

// mostPlaced is how many starts this round may decide. Each that is decided long
// before it leaves holds room that others could use, for a job that may no longer be
// the best.
func (c *Core) mostPlaced() int {
	most := c.pace.limit
	if len(c.leaving) == 0 && c.pace.free() > 0 {
		most *= unlimitedFactor
	}
	most = max(most, c.pace.answerRate*(decideAhead+c.storeTook).Seconds())
	return int(most) - len(c.leaving) - c.undurable - len(c.starts)
}

// pacedEvery spaces the log's lines on the limit.
const pacedLogInterval = time.Second

// explainPace says in the log that fewer starts may be under way, with the limit as run
// and the median of their times as age.
func (c *Core) explainPace(now time.Duration) {
	if !c.pace.slow || now-c.pacedAt < pacedLogInterval {
		return
	}
	c.pacedAt = now
	c.event(Event{Kind: EventPaced, Run: int(c.pace.limit), Reason: "answers are slow", AgeMs: c.pace.median.Milliseconds()})
}

// slot is a start's place among those under way.
type slot struct {
	sent     time.Duration
	released bool
}

// pace decides how many starts may be under way. The median of their times tells an
// owner that is overrun from endpoints that are slow: a minority of those does not move
// it. Endpoints that are mute count only where none is heard.
type pace struct {
	limit    float64
	inFlight int
	// slots are those of the starts sent last, the oldest first.
	slots []*slot
	// heard is when a start was last answered.
	lastAnswer time.Duration
	// reached: the limit was in the way in this window.
	limitReached bool
	// median is that of the last window; slow: it lowered the limit.
	median time.Duration
	slow   bool
	// took are the times of this window's starts, the first of which was sent at began.
	durations   []time.Duration
	windowStart time.Duration
	// best is the least median of late.
	bestMedian time.Duration
	// rate is how many starts a second were answered while the limit was in the way.
	answerRate float64
}

func newPace() pace { return pace{limit: initialStartLimit} }

// slowFrom is the least time that counts as slow.
func (p *pace) slowAnswerThreshold() time.Duration {
	return max(minSlowAnswer, slowAnswerFactor*p.bestMedian)
}

// free is how many more starts may leave.
func (p *pace) free() int { return int(p.limit) - p.inFlight }

// sent takes in that a start has left.
func (p *pace) sent(now time.Duration) *slot {
	s := &slot{sent: now}
	p.slots = append(p.slots, s)
	p.inFlight++
	p.limitReached = p.limitReached || p.free() <= 0
	return s
}

// release gives a start's place back.
func (p *pace) release(s *slot) {
	if s.released {
		return
	}
	s.released = true
	p.inFlight--
}

// pass gives back the places of starts that have waited for too long.
func (p *pace) pass(now time.Duration) {
	for len(p.slots) > 0 && (p.slots[0].released || now-p.slots[0].sent > slotHoldFactor*p.slowAnswerThreshold()) {
		p.release(p.slots[0])
		p.slots = p.slots[1:]
	}
}

// unanswered takes in that a start's timeout is over.
func (p *pace) unanswered(now time.Duration, s *slot) {
	p.release(s)
	if now-p.lastAnswer > noAnswerPeriod {
		p.recordDuration(now, now-s.sent)
	}
}

// answered takes in a start's answer.
func (p *pace) answered(now time.Duration, s *slot) {
	p.release(s)
	p.lastAnswer = now
	p.recordDuration(now, now-s.sent)
}

func (p *pace) recordDuration(now, took time.Duration) {
	if len(p.durations) == 0 {
		p.windowStart = now - took // what passed without starts says nothing of their rate
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

// noteRate keeps a moving average.
func (p *pace) updateAnswerRate(rate float64) {
	const share = 0.2
	if p.answerRate == 0 {
		p.answerRate = rate
		return
	}
	p.answerRate += share * (rate - p.answerRate)
}

// startsWait is how long it takes until as many starts as wait have left, and 0 where
// the limit is not in the way.
func (p *pace) startsWait(waiting int) time.Duration {
	if p.answerRate == 0 || p.free() > 0 {
		return 0
	}
	return time.Duration(float64(waiting) / p.answerRate * float64(time.Second))
}
