// Package inflight limits the requests that one process has in flight to others, by the time that
// their answers take. The executor limits the starts that an owner sends to endpoints, and package
// shards the submissions that a node sends to an owner. Time is passed in; there is no I/O and no
// lock, so that callers serialize the calls on one Limiter.
//
// Load: a demand peak asks for more requests per second than the processor or the link at either
// end carries. Sent all at once, each request queues behind the others until its answer arrives
// after the timeout and it is sent again, and throughput falls as load rises. So only as many are
// kept in flight as are answered without a rise in latency.
package inflight

import (
	"slices"
	"time"
)

const (
	// MinLimit is the least limit. It lets a sender continue whose link is full of other traffic,
	// and keeps one probing that gets no answers. A few requests at a time leave bandwidth for its
	// peers, whose datagrams a full link drops.
	MinLimit = 2
	// maxLimit is far above what one process carries.
	maxLimit = 2048
	// A window ends after fullWindowAnswers answers, enough for a median, or after
	// windowDuration, so that a slow owner is detected in time.
	windowDuration    = 150 * time.Millisecond
	fullWindowAnswers = 24
	// minWindowAnswers is how many answers it takes to evaluate a window at all.
	minWindowAnswers = 6
	// A median is slow above slowAnswerFactor times the recent best median, within the bounds of
	// the settings.
	slowAnswerFactor = 4
	// limitCutFactor applies after a slow window. limitGrowth and minLimitGrowth apply after a
	// window in which the limit was reached and answers were fast.
	limitCutFactor = 0.7
	limitGrowth    = 0.1
	minLimitGrowth = 4
	// slotHoldFactor times the slow threshold is how long an unanswered request holds its
	// slot. Load: a rack fails during a demand peak. The starts sent there would hold all slots
	// until their timeout, and the rest of the pool would start nothing meanwhile.
	slotHoldFactor = 4
	// noAnswerPeriod is how long no request may have been answered before timeouts count as slow
	// answers where receivers differ: timeouts indicate an overloaded sender only if no receiver
	// answers it.
	noAnswerPeriod = 300 * time.Millisecond
	// bestMedianGrowth lets the best median rise again, so that a lasting change of the
	// network's delay is not taken for overload for ever.
	bestMedianGrowth = 1.01
)

// Settings are the values that differ between kinds of requests.
type Settings struct {
	// InitialLimit applies before any answer was measured, in requests.
	InitialLimit float64
	// MinSlowAnswer and MaxSlowAnswer bound the answer time above which answers count as slow; a
	// MaxSlowAnswer of 0 is no bound.
	MinSlowAnswer, MaxSlowAnswer time.Duration
	// SingleReceiver states that one receiver answers all requests, so that each timeout counts as
	// a slow answer. Without it timeouts count only while no receiver answers.
	SingleReceiver bool
}

// Slot is held by a request in flight.
type Slot struct {
	sent     time.Duration
	released bool
}

// Limiter limits the requests in flight. Using the median answer time distinguishes an overloaded
// process from slow receivers, as a minority of them does not shift it.
type Limiter struct {
	settings Settings
	limit    float64
	inFlight int
	// slots are those of the requests sent last, oldest first.
	slots []*Slot
	// lastAnswer is when a request was last answered.
	lastAnswer time.Duration
	// limitReached reports whether the limit was reached in this window.
	limitReached bool
	// median is that of the last window; slow reports that it lowered the limit.
	median time.Duration
	slow   bool
	// durations are the answer times of this window; windowStart is when the first of these
	// requests was sent.
	durations   []time.Duration
	windowStart time.Duration
	// bestMedian is the lowest recent median.
	bestMedian time.Duration
	// answerRate is how many requests per second were answered while the limit was reached.
	answerRate float64
}

// New returns a limiter without requests in flight.
func New(s Settings) *Limiter { return &Limiter{settings: s, limit: s.InitialLimit} }

// Limit returns how many requests may be in flight.
func (l *Limiter) Limit() float64 { return l.limit }

// InFlight returns how many requests hold a slot.
func (l *Limiter) InFlight() int { return l.inFlight }

// AnswerRate returns how many requests per second were answered while the limit was reached, or 0
// if it never was.
func (l *Limiter) AnswerRate() float64 { return l.answerRate }

// Median returns the median answer time of the last window.
func (l *Limiter) Median() time.Duration { return l.median }

// Slow reports whether the last window lowered the limit.
func (l *Limiter) Slow() bool { return l.slow }

// slowAnswerThreshold returns the answer time above which a median is slow.
func (l *Limiter) slowAnswerThreshold() time.Duration {
	threshold := max(l.settings.MinSlowAnswer, slowAnswerFactor*l.bestMedian)
	if l.settings.MaxSlowAnswer > 0 {
		threshold = min(threshold, l.settings.MaxSlowAnswer)
	}
	return threshold
}

// Free returns how many more requests may be sent.
func (l *Limiter) Free() int { return int(l.limit) - l.inFlight }

// Acquire takes a slot for a request that is sent now.
func (l *Limiter) Acquire(now time.Duration) *Slot {
	s := &Slot{sent: now}
	l.slots = append(l.slots, s)
	l.inFlight++
	l.limitReached = l.limitReached || l.Free() <= 0
	return s
}

// Release frees the slot of a request whose end says nothing about the time that answers take.
func (l *Limiter) Release(s *Slot) {
	if s.released {
		return
	}
	s.released = true
	l.inFlight--
}

// ReleaseOverdue frees the slots of requests that have been unanswered for too long.
func (l *Limiter) ReleaseOverdue(now time.Duration) {
	for len(l.slots) > 0 && (l.slots[0].released || now-l.slots[0].sent > slotHoldFactor*l.slowAnswerThreshold()) {
		l.Release(l.slots[0])
		l.slots = l.slots[1:]
	}
}

// TimedOut records that a request has timed out.
func (l *Limiter) TimedOut(now time.Duration, s *Slot) {
	l.Release(s)
	took := now - s.sent
	counts := now-l.lastAnswer > noAnswerPeriod
	if l.settings.SingleReceiver {
		// A timeout of less than the slow threshold is due to a sender with little time left.
		counts = took > l.slowAnswerThreshold()
	}
	if counts {
		l.recordDuration(now, s, took)
	}
}

// Answered records that a request was answered.
func (l *Limiter) Answered(now time.Duration, s *Slot) {
	l.Release(s)
	l.lastAnswer = now
	l.recordDuration(now, s, now-s.sent)
}

// Rejected records that the receiver answered that it is overloaded. It counts as a slow answer,
// however soon it came.
func (l *Limiter) Rejected(now time.Duration, s *Slot) {
	l.Release(s)
	l.recordDuration(now, s, max(now-s.sent, l.slowAnswerThreshold()+time.Millisecond))
}

func (l *Limiter) recordDuration(now time.Duration, s *Slot, took time.Duration) {
	if len(l.durations) == 0 {
		l.windowStart = s.sent // idle time before the first request must not lower the rate
	}
	l.durations = append(l.durations, took)
	due := len(l.durations) >= fullWindowAnswers || now-l.windowStart >= windowDuration && len(l.durations) >= minWindowAnswers
	if due {
		l.closeWindow(now)
	}
}

func (l *Limiter) closeWindow(now time.Duration) {
	slices.Sort(l.durations)
	l.median = l.durations[len(l.durations)/2]
	l.slow = l.median > l.slowAnswerThreshold()
	if l.limitReached || l.slow {
		l.updateAnswerRate(float64(len(l.durations)) / max(time.Millisecond, now-l.windowStart).Seconds())
	}
	switch {
	case l.slow:
		l.limit = max(MinLimit, l.limit*limitCutFactor)
	case l.limitReached:
		l.limit = min(maxLimit, l.limit+max(minLimitGrowth, l.limit*limitGrowth))
	}
	l.bestMedian = time.Duration(float64(l.bestMedian) * bestMedianGrowth)
	if answered := now-l.lastAnswer <= noAnswerPeriod; answered && (l.bestMedian == 0 || l.median < l.bestMedian) {
		l.bestMedian = l.median
	}
	l.durations, l.limitReached = l.durations[:0], l.Free() <= 0
}

// updateAnswerRate updates the moving average of the rate.
func (l *Limiter) updateAnswerRate(rate float64) {
	const share = 0.2
	if l.answerRate == 0 {
		l.answerRate = rate
		return
	}
	l.answerRate += share * (rate - l.answerRate)
}

// QueueDelay returns how long it takes to send as many requests as wait, or 0 if the limit is not
// reached.
func (l *Limiter) QueueDelay(waiting int) time.Duration {
	if l.answerRate == 0 || l.Free() > 0 {
		return 0
	}
	return time.Duration(float64(waiting) / l.answerRate * float64(time.Second))
}
