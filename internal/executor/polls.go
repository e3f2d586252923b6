package executor

import (
	"time"

	"cyclamenwheel/internal/jobs"
)

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

// endpoint returns the endpoint with this id, and adds it if it is unknown.
func (c *Core) endpoint(id string) *endpoint {
	e := c.endpoints[id]
	if e == nil {
		e = &endpoint{id: id, term: c.terms[id].next, restarted: c.terms[id].incarnationEnded, tasks: map[*task]bool{}}
		c.endpoints[id] = e
	}
	return e
}

// ObserveEndpoints applies the pool's complete list of endpoints from service discovery.
func (c *Core) ObserveEndpoints(now time.Duration, list []EndpointInfo) {
	for _, e := range c.endpoints {
		e.listed = false
	}
	shown := make(map[string]bool, len(list))
	endedShown := map[Incarnation]bool{}
	for _, info := range list {
		shown[info.ID] = true
		incarnation := Incarnation{info.ID, info.StartedMs}
		if _, ended := c.endedIncarnations[incarnation]; ended {
			endedShown[incarnation] = true
			continue
		}
		e := c.endpoint(info.ID)
		if info.StartedMs != 0 && info.StartedMs < e.startedMs {
			continue // entry of an earlier incarnation
		}
		c.observeIncarnation(now, e, info.StartedMs)
		e.listed, e.draining = true, info.Draining
		e.addr, e.zone, e.kind, e.rack = info.Addr, info.Zone, info.Kind, info.Rack
		e.capacity, e.capacityReportedAt = info.Capacity, info.Clock
		if e.draining {
			c.vacate(now, e)
		}
	}
	c.forgetPastIncarnations(now, shown, endedShown)
	for id, e := range c.endpoints {
		if !shown[id] && len(e.tasks) == 0 && !(e.vacating && now < e.vacateUntil) && !e.hasRecentAbandonedRuns(now) &&
			now >= max(e.earlierRunsUntil, c.earlierClockLeaseExpiry(e)) {
			c.forgetEndpoint(e, false)
		}
	}
}

// IncarnationEnded records that an operation has ended an incarnation with everything on it. If the
// endpoint's present incarnation is unknown, its tasks may run on a later one: its first listing
// shows that.
func (c *Core) IncarnationEnded(in Incarnation) {
	c.endedIncarnations[in] = 0
	e := c.endpoints[in.ID]
	if e == nil || e.incarnation() != in {
		return
	}
	crashes := append(c.presumedCrashes(e), e.possibleCrashes()...)
	c.endIncarnation(e)
	c.recordCrashes(crashes)
}

func (c *Core) endIncarnation(e *endpoint) {
	c.endedIncarnations[e.incarnation()] = 0
	c.event(Event{Kind: EventIncarnationEnded, Endpoint: e.id, StartedMs: e.startedMs, Run: len(e.tasks)})
	c.requeueAll(e, "incarnation ended")
	c.forgetEndpoint(e, true)
}

// incarnationCrashed records that an incarnation has ended for an unknown reason.
func (c *Core) incarnationCrashed(e *endpoint) {
	crashes := attributeCrash(e, append(e.orderedRuns(), c.unreportedRuns(e)...))
	c.endIncarnation(e)
	c.recordCrashes(crashes)
}

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

// Listed is an endpoint's answer to a poll.
type Listed struct {
	Clock time.Duration
	// StartedMs is when the incarnation that answered started, in ms since 1970; 0 if not reported.
	StartedMs int64
	Running   []ListedRun
	Ended     []ListedEnd
}

// ListedRun is a run that an endpoint lists as running.
type ListedRun struct {
	Task       string
	Run        int
	Checkpoint string
	Percent    int
}

// HowEnded is the outcome of a run.
type HowEnded uint8

// Outcomes of runs.
const (
	EndedDone HowEnded = iota
	EndedFailed
	EndedStopped
	// EndedLeaseExpired: the run's lease expired before it was renewed.
	EndedLeaseExpired
	// EndedGangBroken: another member of the run's gang ended.
	EndedGangBroken
	// EndedGangIncomplete: not all members of the run's gang started in time.
	EndedGangIncomplete
)

var howEndedNames = [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone"}

func (h HowEnded) String() string { return howEndedNames[h] }

// ListedEnd is the end of a run that an endpoint lists.
type ListedEnd struct {
	Number     int64
	Task       string
	Run        int
	How        HowEnded
	Checkpoint string
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

func (c *Core) applyListing(now, sent time.Duration, e *endpoint, in Listed) {
	e.recordClock(now, in.Clock)
	if !e.hasReported {
		c.expectEarlierLeases(now, e, in.Clock)
		e.firstReportClock = in.Clock
	}
	c.forgetEarlierClockLease(e)
	e.nextPoll = now + e.pollInterval()
	if !e.hasReported || e.failedPolls > 0 {
		e.nextPoll = now // this poll renewed nothing
	}
	e.hasReported, e.lastPollAnswer, e.failedPolls = true, now, 0
	c.clearUnreported(e)
	running := make(map[*task]bool, len(in.Running))
	unknownRuns := 0
	for _, r := range in.Running {
		t := c.placedTask(e, r.Task, r.Run)
		if t == nil {
			unknownRuns++
			c.stopUnknownRun(now, e, r)
			continue
		}
		running[t] = true
		c.applyRunning(now, in.Clock, t, r)
	}
	e.unknownRuns = unknownRuns
	c.voidWithheldEnds(e, in.Ended)
	for _, end := range in.Ended {
		c.applyEnd(now, e, end)
	}
	if upTo := e.lastAcknowledgeable(); upTo > e.acknowledgedEnd {
		c.acks[e.incarnation()] = upTo
	}
	if len(in.Ended) < fullListing {
		c.resolveUnlisted(now, sent, e, running)
	}
}

// fullListing is how many ends one answer lists at most. With as many, more may follow, so a run
// that is missing from the listing proves nothing.
const fullListing = 500

// placedTask returns the task that is placed on e under this run.
func (c *Core) placedTask(e *endpoint, name string, run int) *task {
	t := c.taskByName(name)
	if t == nil || t.endpoint != e || t.run != run {
		return nil
	}
	return t
}

// taskByName returns the task of this name, nil if its job is not open.
func (c *Core) taskByName(name string) *task {
	n, ok := jobs.ParseTaskName(name)
	if !ok {
		return nil
	}
	j := c.jobs[n.Job]
	if j == nil {
		return nil
	}
	return j.task(n.Occurrence, n.Step, n.Index)
}

// stopUnknownRun stops a run that this owner does not have. Every start is recorded before it is
// ordered, so the run was abandoned while its endpoint was still up; it must not go on beside the
// run that replaces it.
func (c *Core) stopUnknownRun(now time.Duration, e *endpoint, r ListedRun) {
	c.event(Event{Kind: EventUnknownRun, Task: r.Task, Run: r.Run, Endpoint: e.id})
	c.stops = append(c.stops, Order{Kind: OrderStop, Endpoint: e.id, Addr: e.addr, Fence: c.fence(e), Task: r.Task, Run: r.Run, sent: now})
}

func (c *Core) applyRunning(now, clock time.Duration, t *task, r ListedRun) {
	c.recordConfirmation(now, t)
	t.onCurrentIncarnation = true
	t.possibleCrash = nil
	if t.confirmedFor() >= t.isolationPeriod() {
		t.endIsolation()
	}
	if t.confirmedFor() >= stableRunAfter {
		c.clearEvidence(t)
	}
	c.updateSpeed(clock, t, r.Percent)
	if r.Percent != t.percent {
		t.percent, t.progressAt = r.Percent, now
	}
	if r.Checkpoint != "" {
		t.checkpoint = r.Checkpoint
	}
}

// recordConfirmation records that an endpoint has a task's run.
func (c *Core) recordConfirmation(now time.Duration, t *task) {
	if t.confirmedAt == 0 {
		t.confirmedAt = now
	}
	t.step.job.runConfirmed = true
}

// resolveUnlisted handles runs that the endpoint lists neither as running nor as ended. Only a poll
// that was sent after the start was answered, or after it went unanswered for long enough, is
// conclusive.
func (c *Core) resolveUnlisted(now, sent time.Duration, e *endpoint, running map[*task]bool) {
	for t := range e.tasks {
		if running[t] || t.confirmedAt >= sent && t.confirmedAt > 0 {
			continue
		}
		if t.confirmedAt > 0 {
			// An end is listed until it is acknowledged, and acknowledged only once it is
			// recorded: the endpoint has lost this run.
			c.requeueUnlisted(t, "no longer listed")
			continue
		}
		c.resolveUnconfirmed(now, sent, t)
	}
}

// requeueUnlisted requeues a task whose run its endpoint does not have. If an incarnation has ended
// since the start, the run ended with it and counts as crash evidence.
func (c *Core) requeueUnlisted(t *task, reason string) {
	c.event(Event{Kind: EventLost, Job: t.step.job.rec.Job.ID, Task: t.name(), Run: t.run, Endpoint: t.endpoint.id, Reason: reason})
	possible := t.possibleCrash
	c.requeue(t)
	if possible != nil {
		c.recordCrash(*possible)
	}
}

// resolveUnconfirmed repeats a start that the endpoint does not list. The order may have been lost,
// or may still be carried out: under the same run number it can only result in one run. A task that
// is being stopped gets a stop instead, after which that number can't start any more.
func (c *Core) resolveUnconfirmed(now, sent time.Duration, t *task) {
	if t.restored {
		c.requeueUnlisted(t, "never began")
		return
	}
	// Before the first order has been sent there is nothing to repeat, and the intent may not
	// be durable yet.
	if t.stopping || t.resending || t.orderedAt == 0 || sent < t.orderedAt {
		return
	}
	if !t.orderAnswered && now-t.orderedAt < resendAfter {
		return
	}
	t.resending = true
	c.startQueue = append(c.startQueue, c.startOrder(t))
}
