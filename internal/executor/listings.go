package executor

import (
	"time"

	"cyclamenwheel/internal/jobs"
)

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
