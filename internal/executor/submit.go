package executor

import (
	"slices"
	"time"

	"cyclamenwheel/internal/jobs"
)

// Verdict is the answer to a submission.
type Verdict uint8

// Verdicts on submissions. VerdictAccepted is given for a new job; its reply follows once the
// job is durable. VerdictDuplicate is given for a job that has been accepted already.
const (
	VerdictAccepted Verdict = iota
	VerdictDuplicate
	VerdictRefused
)

// Refusal is the reason why a job was not accepted, and the time after which to retry.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
	// Wait is the predicted wait of the job, 0 if there is no prediction.
	Wait time.Duration
}

// maxReportedWaitMs bounds Refusal.Wait, which is unbounded where a pool has almost no capacity.
const maxReportedWaitMs = 3_600_000

// Reasons of refusals.
const (
	// RefusedBacklog means that the job could not end within its objective behind the accepted work.
	RefusedBacklog = "backlog"
	// RefusedIDTaken means that the id belongs to a job of another caller.
	RefusedIDTaken = "id-taken"
	// RefusedAccountBacklog means that the job could not end within its objective behind other jobs
	// of its account, which is at its limit.
	RefusedAccountBacklog = "account-backlog"
	// RefusedAccount means that a part of the job exceeds its account's limit by itself.
	RefusedAccount = "account-limit"
	// RefusedMemory means that the owner has no memory for the job beside those that it keeps.
	RefusedMemory = "memory"
)

// Caller identifies who submits a job or asks about one.
type Caller struct {
	// Queue is the queue that is addressed. Account is the client account, "" if the queue
	// requires no key.
	Queue   string `cbor:"1,keyasint,omitempty"`
	Account string `cbor:"2,keyasint,omitempty"`
}

// VisibleTo reports whether the caller may see a job. A job that was submitted without an account is
// visible to everybody. A caller without an account also sees the jobs of the queue that it
// addresses, which may have required a key earlier.
func (c *Core) VisibleTo(id string, caller Caller) bool {
	j := c.jobs[id]
	if j == nil {
		return true // the caller is told that there is no such job
	}
	return j.rec.Account == "" || j.rec.Account == caller.Account || caller.Account == "" && j.rec.Queue == caller.Queue
}

// Submit submits a job. After VerdictAccepted, the reply with the token follows once the job is
// durable; the other verdicts are final at once. Submitting a job again that is accepted but not
// yet durable gives VerdictAccepted and a reply of its own.
func (c *Core) Submit(now time.Duration, in jobs.Job, accepting Accepting, token uint64) (Verdict, Refusal) {
	if j := c.jobs[in.ID]; j != nil {
		if !c.VisibleTo(in.ID, Caller{Queue: accepting.Queue, Account: accepting.Account}) {
			return VerdictRefused, Refusal{Reason: RefusedIDTaken}
		}
		if j.accepted {
			return VerdictDuplicate, Refusal{}
		}
		c.markDirty(j)
		c.replies = append(c.replies, Reply{token})
		return VerdictAccepted, Refusal{}
	}
	j := &job{firstSeen: now, rec: jobRecord{Job: in, Queue: accepting.Queue, Terms: accepting.Terms, Account: accepting.Account, AcceptedMs: c.wallMs}}
	j.measureMemory()
	if !c.limits.Memory.admits(j.specMemory + j.occurrenceMemory) {
		return VerdictRefused, c.refuseForMemory(in.ID, accepting)
	}
	decision := c.decideAdmission(now, j)
	firstOffered := c.recordOffer(now, j, decision.refused())
	c.countAdmission(now, j, decision, firstOffered == now)
	if decision.refused() {
		c.event(Event{Kind: EventRefused, Job: in.ID, Reason: decision.refusal.Reason, Account: accepting.Account, Queue: accepting.Queue,
			WaitMs: int64(decision.waitMs), SlackMs: int64(decision.slackMs), AgeMs: (now - c.outstanding.at).Milliseconds()})
		if accepting.Account != "" {
			c.refusedByAccount[accepting.Account]++
		}
		decision.refusal.Wait = time.Duration(min(decision.waitMs, maxReportedWaitMs)) * time.Millisecond
		return VerdictRefused, decision.refusal
	}
	j.offeredAt = firstOffered
	j.rec.OfferedMs = c.wallMs - (now - firstOffered).Milliseconds()
	c.jobs[in.ID] = j
	c.open = append(c.open, j)
	j.inOpen = true
	c.chargeJob(j)
	c.markDirty(j)
	c.replies = append(c.replies, Reply{token})
	c.event(Event{Kind: EventAccepted, Job: in.ID, Reason: accepting.Queue})
	if in.Occurrences == 0 {
		c.expandNextOccurrence(j)
	}
	c.setObjective(j)
	c.recordAdmission(j, decision)
	return VerdictAccepted, Refusal{}
}

// memoryRetryAfter is the retry delay of a job that is refused for memory: open jobs end in seconds.
const memoryRetryAfter = 2 * time.Second

func (c *Core) refuseForMemory(id string, accepting Accepting) Refusal {
	c.event(Event{Kind: EventRefused, Job: id, Reason: RefusedMemory, Account: accepting.Account, Queue: accepting.Queue})
	if accepting.Account != "" {
		c.refusedByAccount[accepting.Account]++
	}
	return Refusal{Reason: RefusedMemory, RetryAfter: memoryRetryAfter}
}

// Knows reports whether a job is accepted, is being accepted, or has ended and is remembered.
func (c *Core) Knows(id string) bool { return c.jobs[id] != nil }

// Cancel ends a job. known is false if there is no such job. durable is true if the job's end
// was durable before; otherwise the reply with the token follows once the cancellation is
// durable.
func (c *Core) Cancel(now time.Duration, id string, token uint64) (known, durable bool) {
	j := c.jobs[id]
	if j == nil {
		return false, false
	}
	if j.durable.Ended() {
		return true, true
	}
	if !j.rec.State.Ended() {
		c.endJob(j, JobCancelled, "cancelled")
	}
	c.markDirty(j)
	c.replies = append(c.replies, Reply{token})
	return true, false
}

// State returns the durable state of a job, and whether the job has been accepted.
func (c *Core) State(id string) (JobState, bool) {
	j := c.jobs[id]
	if j == nil || !j.accepted {
		return JobQueued, false
	}
	if j.durable.Ended() {
		return j.durable, true
	}
	if j.runConfirmed {
		return JobRunning, true
	}
	return JobQueued, true
}

// Pending returns the number of accepted jobs of a queue of which no run has been confirmed. A
// job whose start was only decided or sent still counts: its endpoint may be down, and nothing
// would seem to wait while every job does.
func (c *Core) Pending(queue string) int {
	n := 0
	for _, j := range c.open {
		if j.rec.Queue == queue && j.accepted && !j.runConfirmed && !j.rec.State.Ended() {
			n++
		}
	}
	return n
}

// endJob gives a job its final state. Waiting tasks are dropped and running ones stopped.
func (c *Core) endJob(j *job, state JobState, reason string) {
	j.rec.State = state
	j.rec.EndedMs = c.wallMs
	if state == JobFailed {
		j.rec.Reason = reason
	}
	c.markDirty(j)
	ended := Event{Kind: EventEnded, Job: j.rec.Job.ID, Queue: j.rec.Queue, Account: j.rec.Account, Reason: state.String() + ": " + reason}
	if state == JobCompleted {
		c.recordPrediction(&ended, j)
	}
	c.event(ended)
	for _, o := range j.current {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if t.phase == taskPlaced {
					c.requestStop(t, "job "+state.String())
				}
			}
		}
	}
	c.retireIfStopped(j)
}

// retireIfStopped moves an ended job without running tasks from open to ended.
func (c *Core) retireIfStopped(j *job) {
	if !j.rec.State.Ended() || j.placedTasks > 0 || !j.inOpen {
		return
	}
	j.inOpen = false
	j.current, j.expanded = nil, 0
	j.rec.Job = jobs.Job{ID: j.rec.Job.ID} // as in its last record: only the state is asked for
	c.chargeJob(j)
	c.open = slices.DeleteFunc(c.open, func(o *job) bool { return o == j })
	c.ended = append(c.ended, j)
	c.markDirty(j)
}

// evictEnded removes jobs that ended more than KeepEnded ago.
func (c *Core) evictEnded() {
	for len(c.ended) > 0 {
		j := c.ended[0]
		if c.wallMs-j.rec.EndedMs < c.limits.KeepEnded.Milliseconds() {
			return
		}
		c.ended = c.ended[1:]
		delete(c.jobs, j.rec.Job.ID)
		c.dropJobMemory(j)
		c.removedKeys = append(c.removedKeys, keyJob+j.rec.Job.ID)
	}
}

// expandNextOccurrence expands the job's next occurrence into steps and tasks.
func (c *Core) expandNextOccurrence(j *job) {
	o := &occurrence{number: j.nextOccurrence, unfinishedSteps: len(j.rec.Job.Steps)}
	j.nextOccurrence++
	for i := range j.rec.Job.Steps {
		spec := &j.rec.Job.Steps[i]
		s := &stepRun{job: j, occ: o, index: i, spec: spec, unfinished: spec.Count, waiting: spec.Count,
			waitsFor: len(uniqueInts(spec.After)), perEndpoint: map[*endpoint]int{}}
		block := make([]task, spec.Count)
		s.tasks = make([]*task, spec.Count)
		for k := range block {
			block[k] = task{step: s, index: k}
			s.tasks[k] = &block[k]
		}
		o.steps = append(o.steps, s)
	}
	j.current = append(j.current, o)
	j.expanded++
	c.chargeJob(j)
}

func uniqueInts(in []int) []int {
	out := slices.Clone(in)
	slices.Sort(out)
	return slices.Compact(out)
}

// expandDueOccurrences expands the occurrences whose start time has come. Load: a schedule that begins in
// the past has all of them due at once. Those beyond the memory follow as earlier ones end.
func (c *Core) expandDueOccurrences() {
	for _, j := range c.open {
		if j.rec.State.Ended() {
			continue
		}
		for j.nextOccurrence < j.rec.Job.Occurrences && c.wallMs >= j.rec.Job.StartAtMs+int64(j.nextOccurrence)*j.rec.Job.IntervalMs {
			if j.expanded > 0 && !c.admitsOccurrence(j) {
				break
			}
			c.expandNextOccurrence(j)
		}
	}
}

// admitsOccurrence reports whether another occurrence of a job may be expanded: the progress of all that
// are has to fit one record.
func (c *Core) admitsOccurrence(j *job) bool {
	return (j.expanded+1)*j.rec.Job.Tasks() <= jobs.MaxTasks && c.limits.Memory.admitsOccurrence(j.occurrenceMemory)
}

func (j *job) occurrenceCount() int { return max(1, j.rec.Job.Occurrences) }

// closeOccurrence marks an occurrence as ended and drops its steps. It then removes ended
// occurrences from the front of the job's list.
func (c *Core) closeOccurrence(j *job, number int) {
	for _, o := range j.current {
		if o.number == number && o.steps != nil {
			o.unfinishedSteps, o.steps = 0, nil
			j.expanded--
		}
	}
	c.chargeJob(j)
	for len(j.current) > 0 && j.current[0].unfinishedSteps == 0 {
		j.firstOpen = j.current[0].number + 1
		j.current = j.current[1:]
	}
}

// recordOffer adds a job's work to the total offered, once however often the job is submitted
// again after a refusal. It returns when the job was first offered, because callers measure its
// time from then.
func (c *Core) recordOffer(now time.Duration, j *job, refused bool) time.Duration {
	id, firstOffered := j.rec.Job.ID, now
	earlier, resubmitted := c.returns.Lookup(now, id)
	if resubmitted {
		firstOffered = earlier.FirstOffered
		resubmitted = earlier.FirstOffered != now
	}
	if !refused {
		c.returns.Forget(id)
	}
	if resubmitted || isLongRunning(&j.rec.Job) {
		return firstOffered
	}
	c.offeredCoreMs += c.jobWork(j) / 1000
	return firstOffered
}

// isLongRunning reports whether the job has a long-running step.
func isLongRunning(j *jobs.Job) bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// shortTaskCPU is the pool's CPU capacity in milli-cores, less what long-running tasks hold.
func (c *Core) shortTaskCPU() int {
	total := 0
	for _, e := range c.endpoints {
		if e.usable() {
			total += max(0, e.capacity.CPUMilli-e.longRunningCPU())
		}
	}
	return total
}

func (e *endpoint) longRunningCPU() int {
	cpu := 0
	for t := range e.tasks {
		if t.step.spec.LongRunning && !t.step.spec.Fills {
			cpu += t.step.spec.CPUMilli
		}
	}
	return cpu
}

// work is what a job still has to run, in milli-core-milliseconds.
type work struct {
	// ready is the work of tasks that could start at once, later that of tasks that wait for earlier
	// steps, and running half of the work of placed tasks.
	ready, later, running float64
	// tasks is the number of tasks that could start at once.
	tasks int
}

// aheadOfNewJobs is the part of the work that runs before the steps of a new job.
func (w work) aheadOfNewJobs() float64 { return w.ready + w.running + laterStepsShare*w.later }

func (c *Core) remaining(j *job) work {
	var w work
	for _, o := range j.current {
		for _, s := range o.steps {
			perTask := float64(s.spec.CPUMilli) * c.taskMs(s)
			waiting := float64(s.waiting) * perTask
			if s.waitsFor > 0 {
				w.later += waiting
			} else {
				w.ready += waiting
				w.tasks += s.waiting
			}
			w.running += float64(s.unfinished-s.waiting) * perTask / 2
		}
	}
	return w
}
