package executor

import "time"

// Timing of polls. A poll of an endpoint renews its leases and lists its runs. Load: an endpoint
// of 16 to 64 cores ends some ten tasks a second. A poll that waits for an end is answered at each
// of them; the gap lets ends accumulate, at a cost of half the gap to each step.
const (
	pollGap = 60 * time.Millisecond
	// maxPollWait is how long a poll waits for an end. It bounds how late a lease is renewed, and
	// so how short a lease may be.
	maxPollWait = 1000 * time.Millisecond
	// startingPollWait is the wait while a long-running task starts up: only a listing shows that
	// it is working, and until then no other task of its step is moved.
	startingPollWait = 200 * time.Millisecond
	// unconfirmedPollWait is the wait while the answer to a start is pending: it says more, and
	// sooner, than a listing that does not have the run yet. The endpoint is polled faster only if
	// there is no answer for startAnswerTimeout.
	unconfirmedPollWait = 300 * time.Millisecond
	startAnswerTimeout  = 200 * time.Millisecond
	// pollRetryDelay is the delay after a poll without an answer.
	pollRetryDelay = 120 * time.Millisecond
	// uncertainPollWait is how long a poll waits, or is delayed, while the result of a start or
	// stop is unknown.
	uncertainPollWait = 80 * time.Millisecond
	// maxClockAge is how old the reading of an idle endpoint's clock may be: each second of age takes
	// 20 ms off the next lease.
	maxClockAge = 20 * time.Second
	// stopRepeat is how long an endpoint has to list the end of a stopped run before the stop is
	// repeated.
	stopRepeat = 400 * time.Millisecond
	// resendAfter is how long a start may stay unlisted before it is sent again under the same run
	// number.
	resendAfter = 300 * time.Millisecond
)

// Poll is a request to an endpoint that renews its leases, acknowledges ends and asks for a listing.
type Poll struct {
	Endpoint     string
	Addr         string
	Fence        int64
	Acknowledged int64
	LeaseUntil   time.Duration
	Wait         time.Duration
	sent         time.Duration
}

// DuePolls returns the polls to send now; PollDone reports the result of each.
func (c *Core) DuePolls(now time.Duration) []Poll {
	var due []Poll
	for _, e := range c.endpoints {
		if e.pollInFlight || now < e.nextPoll || e.addr == "" || !c.needsPoll(now, e) {
			continue
		}
		e.pollInFlight = true
		due = append(due, Poll{Endpoint: e.id, Addr: e.addr, Fence: c.fence(e), Acknowledged: e.safeAcknowledgement(),
			LeaseUntil: c.renewedLease(e, now), Wait: c.pollWait(now, e), sent: now})
	}
	return due
}

func (c *Core) needsPoll(now time.Duration, e *endpoint) bool {
	if !e.hasReported || now-e.lastPollAnswer > maxClockAge {
		return true
	}
	if c.pollIdle && now-e.clockAt > idlePollInterval {
		return true
	}
	return len(e.tasks) > 0 || e.unknownRuns > 0 || e.lastAcknowledgeable() > e.acknowledgedEnd || e.failedPolls > 0
}

func (c *Core) pollWait(now time.Duration, e *endpoint) time.Duration {
	if !e.hasReported || e.failedPolls > 0 {
		return 0
	}
	wait := maxPollWait
	if e.isIsolating() {
		wait = isolationPollWait
	}
	for t := range e.tasks {
		wait = min(wait, t.pollWait(now))
	}
	return wait
}

// pollWait is how long a poll of the task's endpoint may wait for an end.
func (t *task) pollWait(now time.Duration) time.Duration {
	switch {
	case t.stopping, t.orderedAt > 0 && t.confirmedAt == 0 && now-t.orderedAt > startAnswerTimeout:
		return uncertainPollWait
	case t.step.spec.LongRunning && t.percent < fullyStarted:
		return startingPollWait
	case t.confirmedAt == 0:
		return unconfirmedPollWait
	}
	return maxPollWait
}

// PollResult is the result of a poll.
type PollResult uint8

// Results of polls.
const (
	PollAnswered PollResult = iota
	PollUnanswered
	// PollFenced: the endpoint has seen a newer epoch.
	PollFenced
	// PollOtherIncarnation: another incarnation answers at the address.
	PollOtherIncarnation
)

// PollDone applies the result of a poll.
func (c *Core) PollDone(now time.Duration, p Poll, result PollResult, in Listed) {
	e := c.endpoints[p.Endpoint]
	if e == nil || p.Fence != c.fence(e) {
		return // result for an earlier incarnation
	}
	e.pollInFlight = false
	switch result {
	case PollOtherIncarnation:
		c.incarnationCrashed(e)
	case PollFenced:
		c.fenced = true
		c.event(Event{Kind: EventFenced, Endpoint: e.id})
	case PollUnanswered:
		e.pollFailed(now)
	case PollAnswered:
		c.pollAnswered(now, p, e, in)
	}
}

func (e *endpoint) pollFailed(now time.Duration) {
	e.failedPolls++
	e.nextPoll = now + pollRetryDelay
}

// pollAnswered applies a listing. If it is from a new incarnation, it only shows that this one is
// running: orders for the previous incarnation may still reach it.
func (c *Core) pollAnswered(now time.Duration, p Poll, e *endpoint, in Listed) {
	c.observeIncarnation(now, e, in.StartedMs)
	if p.Fence == c.fence(e) {
		c.applyListing(now, p.sent, e, in)
	}
}
