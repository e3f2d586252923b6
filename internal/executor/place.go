package executor

import (
	"iter"
	"slices"
	"time"

	"cyclamenwheel/internal/jobs"
)

// fullyStarted is the progress, in percent, that a long-running task reports once it has started up.
const fullyStarted = 100

// inService reports whether the endpoint is listed by service discovery, is neither draining nor being
// vacated, and its state under this epoch has been read.
func (e *endpoint) inService() bool {
	return e.listed && !e.draining && !e.vacating && e.hasReported
}

// usable reports whether tasks may be placed on the endpoint at all, now or after a short time: it counts
// as capacity.
func (e *endpoint) usable() bool { return e.inService() && !e.endsFull() }

// isOpen reports whether a task may be placed on the endpoint now. An endpoint that has not
// answered its last poll gets none: a start sent there would block its task until the
// lease has expired.
func (c *Core) isOpen(now time.Duration, e *endpoint) bool {
	return c.endpointObstacle(now, e) == obstacleNone
}

func (e *endpoint) free() Resources { return e.capacity.Minus(e.used) }

// occupy allocates a task's resources on an endpoint.
func (c *Core) occupy(t *task, e *endpoint) {
	t.phase = taskPlaced
	t.endpoint = e
	e.tasks[t] = true
	e.used = e.used.Plus(needs(t.step.spec))
	t.step.perEndpoint[e]++
	t.step.job.placedTasks++
	c.allowance.AddUsage(t.step.job.rec.Account, accountUsage(t.step.spec))
	t.beginIsolation()
}

// release takes a task off its endpoint and frees its resources. The caller sets the task's next
// phase.
func (c *Core) release(t *task) {
	e := t.endpoint
	t.endIsolation()
	delete(e.tasks, t)
	e.used = e.used.Minus(needs(t.step.spec))
	t.step.perEndpoint[e]--
	if t.step.perEndpoint[e] == 0 {
		delete(t.step.perEndpoint, e)
	}
	t.step.job.placedTasks--
	c.allowance.RemoveUsage(t.step.job.rec.Account, accountUsage(t.step.spec))
	t.endpoint = nil
	t.orderedAt, t.confirmedAt, t.stopSentAt = 0, 0, 0
	t.orderAnswered, t.resending, t.stopping, t.onCurrentIncarnation, t.restored, t.resumed = false, false, false, false, false, false
	t.percent, t.listedAt, t.ticket = 0, 0, ""
	t.possibleCrash = nil
}

// Decide places the tasks that can be placed. Jobs are taken in the order of sortOpen, but those
// that can no longer end within their objective come last. Load: a demand peak begins with two
// seconds of backlog. First come, first served would make every job of it late by that much.
// Deferring the jobs that are late in any case lets the others end on time, and a job that is on
// time is worth many late ones.
func (c *Core) Decide(now time.Duration) {
	c.abandonExpired(now)
	c.expandDueOccurrences()
	c.evictEnded()
	c.markBeyondShare(now)
	c.sortOpen()
	c.dropIdleAccounts()
	c.explainWaiting(now)
	c.updateCautious(now)
	endpoints := c.openEndpoints(now)
	if len(endpoints) == 0 {
		return
	}
	c.reserve(now, endpoints)
	c.placementsLeft = c.placementBudget()
	var late []*job
	for _, j := range c.open {
		if j.rec.State.Ended() || !j.waits() {
			continue
		}
		if !isLongRunning(&j.rec.Job) {
			if c.placementsLeft <= 0 {
				continue // nothing of it may be placed in this round
			}
			if c.cannotMeetObjective(now, j) {
				late = append(late, j)
				continue
			}
		}
		if !anyCPULeft(endpoints) {
			return
		}
		c.placeJob(now, j, endpoints)
	}
	if c.placementsLeft <= 0 {
		return
	}
	for _, j := range c.orderLate(now, late) {
		if !anyCPULeft(endpoints) {
			return
		}
		c.placeJob(now, j, endpoints)
	}
}

// readySteps yields the job's steps that have waiting tasks and wait for no earlier step.
func (j *job) readySteps() iter.Seq[*stepRun] {
	return func(yield func(*stepRun) bool) {
		for _, o := range j.current {
			for _, s := range o.steps {
				if s.waiting > 0 && s.waitsFor == 0 && !yield(s) {
					return
				}
			}
		}
	}
}

// waits reports whether the job has a ready step.
func (j *job) waits() bool {
	for range j.readySteps() {
		return true
	}
	return false
}

func (c *Core) openEndpoints(now time.Duration) []*endpoint {
	var open []*endpoint
	for _, e := range c.endpoints {
		if c.isOpen(now, e) {
			open = append(open, e)
		}
	}
	slices.SortFunc(open, func(a, b *endpoint) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	return open
}

// minUsefulCPUMilli is less than any useful task needs; a pool with less free CPU on every
// endpoint is full.
const minUsefulCPUMilli = 50

func anyCPULeft(endpoints []*endpoint) bool {
	for _, e := range endpoints {
		if e.free().CPUMilli >= minUsefulCPUMilli {
			return true
		}
	}
	return false
}

func (c *Core) placeJob(now time.Duration, j *job, endpoints []*endpoint) {
	for s := range j.readySteps() {
		if s.spec.Gang {
			c.placeGang(now, s, endpoints)
			continue
		}
		c.placeStep(now, s, endpoints)
	}
}

func (c *Core) placeStep(now time.Duration, s *stepRun, endpoints []*endpoint) {
	for _, t := range s.tasks {
		if !c.mayPlace(s) || !c.admitsStart(now, s, 1) {
			return
		}
		if !c.isDue(now, t) {
			continue
		}
		e := c.bestEndpoint(now, t, endpoints)
		if e == nil {
			return
		}
		c.placeTask(now, t, e, t.run+1)
	}
}

// mayPlace reports whether a task of the step may be placed in this round. Long-running tasks
// are few and are not limited.
func (c *Core) mayPlace(s *stepRun) bool { return c.placementsLeft > 0 || s.spec.LongRunning }

// placeGang places all tasks of a gang or none, because an incomplete gang would hold resources
// without making progress. All members get the same run number.
func (c *Core) placeGang(now time.Duration, s *stepRun, endpoints []*endpoint) {
	if !c.mayPlace(s) || !c.admitsStart(now, s, len(s.tasks)) {
		return
	}
	run := 0
	for _, t := range s.tasks {
		if !c.isDue(now, t) {
			return
		}
		run = max(run, t.run)
	}
	for _, candidates := range c.gangCandidates(s, endpoints) {
		if c.tryPlaceGang(now, s, candidates, run+1) {
			return
		}
	}
}

// gangCandidates returns the sets of endpoints to try for a gang, best first.
func (c *Core) gangCandidates(s *stepRun, endpoints []*endpoint) [][]*endpoint {
	if !s.spec.SameRack {
		return [][]*endpoint{endpoints}
	}
	byRack := map[string][]*endpoint{}
	var racks []string
	for _, e := range endpoints {
		if byRack[e.rack] == nil {
			racks = append(racks, e.rack)
		}
		byRack[e.rack] = append(byRack[e.rack], e)
	}
	slices.Sort(racks)
	var sets [][]*endpoint
	for _, r := range racks {
		sets = append(sets, byRack[r])
	}
	return append(sets, endpoints)
}

// tryPlaceGang places all tasks of a gang on the given endpoints and reports whether they fit.
// Tentative allocations are undone before any task is placed.
func (c *Core) tryPlaceGang(now time.Duration, s *stepRun, endpoints []*endpoint, run int) bool {
	var chosen []*endpoint
	undo := func() {
		for i, t := range s.tasks[:len(chosen)] {
			t.endpoint = chosen[i]
			c.release(t)
			t.phase = taskWaiting
		}
	}
	for _, t := range s.tasks {
		e := c.bestEndpoint(now, t, endpoints)
		if e == nil {
			undo()
			return false
		}
		c.occupy(t, e)
		chosen = append(chosen, e)
	}
	undo()
	for i, t := range s.tasks {
		c.placeTask(now, t, chosen[i], run)
	}
	return true
}

// placeTask decides a start. The order is sent once the decision is durable.
func (c *Core) placeTask(now time.Duration, t *task, e *endpoint, run int) {
	c.occupy(t, e)
	t.run = run
	t.ticket, _ = t.step.ticketFor(now, e)
	t.resumed = t.checkpoint != ""
	t.step.waiting--
	t.step.placedAt = now
	t.step.job.startDecided = true
	t.progressAt = now
	t.isolationWaitSince = 0
	delete(c.atShareSince, t.step.job.rec.Account)
	c.markDirty(t.step.job)
	c.decidedStarts = append(c.decidedStarts, c.startOrder(t))
	c.placementsLeft--
	c.event(Event{Kind: EventPlaced, Job: t.step.job.rec.Job.ID, Task: t.name(), Run: run, Endpoint: e.id})
}

func (c *Core) startOrder(t *task) Order {
	return Order{Kind: OrderStart, Endpoint: t.endpoint.id, Addr: t.endpoint.addr, Fence: c.fence(t.endpoint), Task: t.name(), Run: t.run,
		Spec: t.step.job.rec.Job.Spec, Checkpoint: t.checkpoint, Ticket: t.ticket, task: t}
}

func (e *endpoint) hasLongRunning() bool {
	for t := range e.tasks {
		if t.step.spec.LongRunning {
			return true
		}
	}
	return false
}

// bestEndpoint returns the endpoint with the highest score for a task, or nil if none fits.
func (c *Core) bestEndpoint(now time.Duration, t *task, endpoints []*endpoint) *endpoint {
	var best *endpoint
	bestScore := 0.0
	for _, e := range endpoints {
		if !c.fits(now, t, e) {
			continue
		}
		score := c.score(now, t, e)
		if best == nil || score > bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

func (c *Core) fits(now time.Duration, t *task, e *endpoint) bool {
	return c.obstacle(now, t, e) == obstacleNone
}

// mixesFillerAndServing reports whether a filler task and a serving task would share the endpoint.
// Load: filler tasks disturb the response times of serving tasks by amounts that change within
// seconds and can't be predicted. Keeping them apart avoids this, at the price of an endpoint that
// runs fillers only.
func mixesFillerAndServing(s *jobs.Step, e *endpoint) bool {
	if !s.Fills && !s.Serves() {
		return false
	}
	for t := range e.tasks {
		other := t.step.spec
		if s.Fills && other.Serves() || s.Serves() && other.Fills {
			return true
		}
	}
	return false
}

// Weights of score, as fractions of an endpoint's whole CPU capacity.
const (
	// remoteDataPenalty applies if the task's data is on another rack: the task then takes
	// remoteFactor times as long.
	remoteDataPenalty = 2.0
	// failedEndpointPenalty is a penalty for the incarnation on which the task last failed.
	failedEndpointPenalty = 3.0
	// packLongRunningBonus is a bonus that packs long-running tasks onto few endpoints, so that the
	// others can be moved and maintained without stopping any.
	packLongRunningBonus = 2.0
	// vacatedSoonPenalty keeps long-running tasks off endpoints that the maintenance wave in progress
	// has yet to vacate. There they would be stopped and moved a second time, and the disruption
	// budget for that is what makes waves late.
	vacatedSoonPenalty = 3.0
	// withheldEndsPenalty keeps tasks off endpoints whose ends are not acknowledged, as long as others
	// have capacity.
	withheldEndsPenalty = 4.0
	// failurePenalty, per consecutive failure, makes endpoints whose runs fail the last choice.
	failurePenalty = 0.5
)

// score ranks endpoints: near the data first, then those whose runs don't fail, then those with
// the least free CPU. Load: as the demand of one queue ends, its tasks end one by one. Spread
// over all endpoints they would keep each of them busy, and none would be free for the next
// queue. Packed, most endpoints are empty at once.
func (c *Core) score(now time.Duration, t *task, e *endpoint) float64 {
	s := t.step.spec
	free := float64(e.free().CPUMilli) / float64(max(1, e.capacity.CPUMilli))
	score := -free
	switch {
	case t.evidence.Suspect:
		score = t.isolationScore(e, free)
	case s.LongRunning && e.hasLongRunning():
		score += packLongRunningBonus
	}
	if s.LongRunning && now < e.vacatingSoonUntil {
		score -= vacatedSoonPenalty
	}
	if s.DataRack != "" && s.DataRack != e.rack {
		score -= remoteDataPenalty
	}
	if t.avoidIncarnation == e.incarnation() {
		score -= failedEndpointPenalty
	}
	if len(e.withheldEnds) > 0 {
		score -= withheldEndsPenalty
	}
	return score - failurePenalty*float64(e.consecutiveFailures)
}
