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
	paceFirst = 64
	// paceLeast lets an owner go on whose link is full of other things: a few starts at a
	// time leave it room for its peers, whose datagrams a full link drops.
	paceLeast = 2
	// paceMost is far above what one process carries.
	paceMost = 2048
	// paceWindow and paceAnswers end a window: as many answers make a median, and a
	// slow owner is judged after a time.
	paceWindow  = 150 * time.Millisecond
	paceAnswers = 24
	// paceEnough answers are needed to judge a window at all.
	paceEnough = 6
	// slowFactor times the best median of late is slow, and below slowFloor nothing is.
	slowFactor = 4
	slowFloor  = 25 * time.Millisecond
	// paceCut follows a slow window. paceRise and paceStep follow one in which the
	// limit was reached and answers were fast.
	paceCut  = 0.7
	paceRise = 0.1
	paceStep = 4
	// bestFades lets the best median rise again, so that a lasting change of the
	// network's delay is not taken for overload for ever.
	bestFades = 1.01
)

const (
	// decideAhead is how far ahead of their leaving starts are decided, beside what
	// the journal takes.
	decideAhead = 100 * time.Millisecond
	// freely times the limit is decided at once while it is not in the way.
	freely = 4
	// storeTookShare is the inverse of a new value's weight in storeTook.
	storeTookShare = 8
)

// mostPlaced is how many starts this round may decide. Each that is decided long
// before it leaves holds room that others could use, for a job that may no longer be
// the best.
func (c *Core) mostPlaced() int {
	most := c.pace.limit
	if len(c.leaving) == 0 && c.pace.free() > 0 {
		most *= freely
	}
	most = max(most, c.pace.rate*(decideAhead+c.storeTook).Seconds())
	return int(most) - len(c.leaving) - c.undurable - len(c.starts)
}

// pace decides how many starts may be under way. The median of their times tells an
// owner that is overrun from endpoints that are slow or mute: a minority of those does
// not move it.
type pace struct {
	limit    float64
	underWay int
	// reached: the limit was in the way in this window.
	reached bool
	took    []time.Duration
	began   time.Duration
	// best is the least median of late.
	best time.Duration
	// rate is how many starts a second were answered while the limit was in the way.
	rate float64
}

func newPace(now time.Duration) pace { return pace{limit: paceFirst, began: now} }

// free is how many more starts may leave.
func (p *pace) free() int { return int(p.limit) - p.underWay }

// sent takes in that a start has left.
func (p *pace) sent() {
	p.underWay++
	p.reached = p.reached || p.free() <= 0
}

// answered takes in how long a start took, to its answer or to the end of its timeout.
func (p *pace) answered(now, took time.Duration) {
	p.underWay--
	p.took = append(p.took, took)
	due := len(p.took) >= paceAnswers || now-p.began >= paceWindow && len(p.took) >= paceEnough
	if due {
		p.judge(now)
	}
}

func (p *pace) judge(now time.Duration) {
	slices.Sort(p.took)
	median := p.took[len(p.took)/2]
	slow := median > max(slowFloor, slowFactor*p.best)
	if p.reached || slow {
		p.noteRate(float64(len(p.took)) / max(time.Millisecond, now-p.began).Seconds())
	}
	switch {
	case slow:
		p.limit = max(paceLeast, p.limit*paceCut)
	case p.reached:
		p.limit = min(paceMost, p.limit+max(paceStep, p.limit*paceRise))
	}
	p.best = time.Duration(float64(p.best) * bestFades)
	if p.best == 0 || median < p.best {
		p.best = median
	}
	p.took, p.began, p.reached = p.took[:0], now, p.underWay >= int(p.limit)
}

// noteRate keeps a moving average.
func (p *pace) noteRate(rate float64) {
	const share = 0.2
	if p.rate == 0 {
		p.rate = rate
		return
	}
	p.rate += share * (rate - p.rate)
}

// startsWait is how long it takes until as many starts as wait have left, and 0 where
// the limit is not in the way.
func (p *pace) startsWait(waiting int) time.Duration {
	if p.rate == 0 || p.free() > 0 {
		return 0
	}
	return time.Duration(float64(waiting) / p.rate * float64(time.Second))
}
