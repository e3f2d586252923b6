package executor

import (
	"slices"
	"time"

	"cyclamenwheel/internal/jobs"
)

// Verdict is the answer to a submission.
type Verdict uint8

// Verdicts on submissions. VerdictAccepted is given once the job is durable.
const (
	VerdictAccepted Verdict = iota
	VerdictKnown
	VerdictRefused
)

// Refusal says why a job was not accepted and when to come back.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
}

// Reasons of refusals.
const (
	// RefusedBacklog says that the job could not end in time behind the others.
	RefusedBacklog = "backlog"
	// RefusedTaken says that the id is that of a job which is not the caller's.
	RefusedTaken = "id-taken"
	// RefusedAccountBacklog says that it could not end in time behind others of its account,
	// which is at its limit.
	RefusedAccountBacklog = "account-backlog"
	// RefusedAccount says that a part of the job alone is above its account's limit.
	RefusedAccount = "account-limit"
)

// Caller is who asks for a job.
type Caller struct {
	// Queue is the one asked, Account the client account, "" where the queue asks for no
	// key.
	Queue   string `cbor:"1,keyasint,omitempty"`
	Account string `cbor:"2,keyasint,omitempty"`
}

// Shows reports whether a job is the caller's to know of. One that was handed in without
// an account is anybody's; so are, for those who ask without one, the jobs of a queue
// that asks for no key any more.
func (c *Core) Shows(id string, by Caller) bool {
	j := c.jobs[id]
	if j == nil {
		return true // and unknown
	}
	return j.rec.Account == "" || j.rec.Account == by.Account || by.Account == "" && j.rec.Queue == by.Queue
}

// Submit takes a job. For VerdictAccepted the reply with the token follows
// once the job is durable; the other verdicts hold at once. A job that is
// accepted but not yet durable answers its repetition with the same reply.
func (c *Core) Submit(now time.Duration, in jobs.Job, under Accepting, token uint64) (Verdict, Refusal) {
	if j := c.jobs[in.ID]; j != nil {
		if !c.Shows(in.ID, Caller{Queue: under.Queue, Account: under.Account}) {
			return VerdictRefused, Refusal{Reason: RefusedTaken}
		}
		if j.accepted {
			return VerdictKnown, Refusal{}
		}
		c.touch(j)
		c.replies = append(c.replies, Reply{token})
		return VerdictAccepted, Refusal{}
	}
	j := &job{since: now, rec: jobRecord{Job: in, Queue: under.Queue, Terms: under.Terms, Account: under.Account, AcceptedMs: c.wallMs}}
	refusal, refused := c.refuse(now, j)
	first := c.countOffer(now, j, refused)
	if refused {
		c.event(Event{Kind: EventRefused, Job: in.ID, Reason: refusal.Reason, Account: under.Account})
		if under.Account != "" {
			c.refusedOf[under.Account]++
		}
		return VerdictRefused, refusal
	}
	j.offered = first
	j.rec.OfferedMs = c.wallMs - (now - first).Milliseconds()
	c.jobs[in.ID] = j
	c.open = append(c.open, j)
	j.queued = true
	c.touch(j)
	c.replies = append(c.replies, Reply{token})
	c.event(Event{Kind: EventAccepted, Job: in.ID, Reason: under.Queue})
	if in.Occurrences == 0 {
		c.begin(j)
	}
	c.setObjective(j)
	return VerdictAccepted, Refusal{}
}

// Cancel ends a job. known is false where there is no such job; durable is
// true where the job had ended before, and otherwise the reply with the token
// follows once the cancellation is durable.
func (c *Core) Cancel(now time.Duration, id string, token uint64) (known, durable bool) {
	j := c.jobs[id]
	if j == nil {
		return false, false
	}
	if j.durable.Ended() {
		return true, true
	}
	if !j.rec.State.Ended() {
		c.end(j, JobCancelled, "cancelled")
	}
	c.touch(j)
	c.replies = append(c.replies, Reply{token})
	return true, false
}

// State returns the durable state of a job.
func (c *Core) State(id string) (JobState, bool) {
	j := c.jobs[id]
	if j == nil || !j.accepted {
		return JobQueued, false
	}
	if j.durable.Ended() {
		return j.durable, true
	}
	if j.begun {
		return JobRunning, true
	}
	return JobQueued, true
}

// Pending is the number of accepted jobs of a queue of which no task has begun.
// A start that is only intended does not count: its endpoint may be dead, and the
// caller is told that nothing waits while everything does.
func (c *Core) Pending(queue string) int {
	n := 0
	for _, j := range c.open {
		if j.rec.Queue == queue && j.accepted && !j.begun && !j.rec.State.Ended() {
			n++
		}
	}
	return n
}

// end makes a job's final state: what waits is dropped, what runs is stopped.
func (c *Core) end(j *job, state JobState, reason string) {
	j.rec.State = state
	j.rec.EndedMs = c.wallMs
	if state == JobFailed {
		j.rec.Reason = reason
	}
	c.touch(j)
	c.event(Event{Kind: EventEnded, Job: j.rec.Job.ID, Reason: state.String() + ": " + reason})
	for _, o := range j.current {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if t.phase == taskPlaced {
					t.stopping = true
				}
			}
		}
	}
	c.settle(j)
}

// settle moves an ended job with nothing left running to those that are only
// remembered.
func (c *Core) settle(j *job) {
	if !j.rec.State.Ended() || j.placed > 0 || !j.queued {
		return
	}
	j.queued = false
	j.current = nil
	c.open = slices.DeleteFunc(c.open, func(o *job) bool { return o == j })
	c.ended = append(c.ended, j)
	c.touch(j)
}

// forgetEnded drops jobs whose state need not be known any longer.
func (c *Core) forgetEnded() {
	for len(c.ended) > 0 {
		j := c.ended[0]
		if c.wallMs-j.rec.EndedMs < c.limits.KeepEnded.Milliseconds() {
			return
		}
		c.ended = c.ended[1:]
		delete(c.jobs, j.rec.Job.ID)
		c.removed = append(c.removed, keyJob+j.rec.Job.ID)
	}
}

// begin expands the job's next occurrence.
func (c *Core) begin(j *job) {
	o := &occurrence{number: j.next, left: len(j.rec.Job.Steps)}
	j.next++
	for i := range j.rec.Job.Steps {
		spec := &j.rec.Job.Steps[i]
		s := &stepRun{job: j, occ: o, index: i, spec: spec, left: spec.Count, waiting: spec.Count,
			waitsFor: len(uniqueInts(spec.After)), perHost: map[*endpoint]int{}}
		block := make([]task, spec.Count)
		s.tasks = make([]*task, spec.Count)
		for k := range block {
			block[k] = task{step: s, index: k}
			s.tasks[k] = &block[k]
		}
		o.steps = append(o.steps, s)
	}
	j.current = append(j.current, o)
}

func uniqueInts(in []int) []int {
	out := slices.Clone(in)
	slices.Sort(out)
	return slices.Compact(out)
}

// beginDue expands the occurrences whose time has come.
func (c *Core) beginDue() {
	for _, j := range c.open {
		if j.rec.State.Ended() {
			continue
		}
		for j.next < j.rec.Job.Occurrences && c.wallMs >= j.rec.Job.StartAtMs+int64(j.next)*j.rec.Job.IntervalMs {
			c.begin(j)
		}
	}
}

func (j *job) occurrences() int { return max(1, j.rec.Job.Occurrences) }

// closeOccurrence marks an occurrence as ended, which leaves it without steps,
// and forgets the lowest ones.
func (c *Core) closeOccurrence(j *job, number int) {
	for _, o := range j.current {
		if o.number == number {
			o.left, o.steps = 0, nil
		}
	}
	for len(j.current) > 0 && j.current[0].left == 0 {
		j.firstOpen = j.current[0].number + 1
		j.current = j.current[1:]
	}
}

// Admission. Load: a queue asks five times its mean for seconds on end, more
// than its pool holds. Accepting all of it makes every job late, and a late
// job earns a fifteenth of one in time; so what could not end within its
// objective behind the work already accepted is refused at once, with the time
// after which the backlog has drained.
const (
	// retryFloor is the shortest advice to come back: HTTP counts in seconds.
	retryFloor = time.Second
	// retryCeiling is below the deadline of an ordinary caller, so that the
	// advice can still be followed.
	retryCeiling = 3 * time.Second
	// rememberRefused bounds how long a refused job's return is recognised.
	rememberRefused = 15 * time.Second
	// maxRefused bounds the memory that takes.
	maxRefused = 20000
)

func (c *Core) refuse(now time.Duration, j *job) (Refusal, bool) {
	if !c.canEverRun(j) {
		return Refusal{Reason: RefusedAccount}, true
	}
	if lasting(&j.rec.Job) || j.rec.Job.Occurrences > 0 {
		return Refusal{}, false
	}
	pool := float64(c.serving())
	if pool <= 0 {
		return Refusal{}, false
	}
	chain := c.chainMs(j)
	slack := (j.rec.Terms.SlowdownFactor-1)*chain + float64(j.rec.Terms.Slack.Milliseconds())
	ahead := c.backlog(now, j.rec.Terms.Priority)
	backlog := c.withinShares(ahead.byAccount, slack)
	wait := max(c.waitMs(now, backlog, pool), float64(c.pace.startsWait(ahead.tasks+len(c.leaving)).Milliseconds()))
	reason := RefusedBacklog
	if own := c.accountWaitMs(now, j.rec.Account, ahead.byAccount[j.rec.Account]); own > wait {
		wait, reason = own, RefusedAccountBacklog
	}
	if wait <= slack {
		return Refusal{}, false
	}
	retry := time.Duration(wait-slack) * time.Millisecond
	return Refusal{Reason: reason, RetryAfter: min(max(retry, retryFloor), retryCeiling)}, true
}

// countOffer adds a job's work to what was offered, once however often the job
// comes back after a refusal, and returns when it was first offered: callers
// count its time from then.
func (c *Core) countOffer(now time.Duration, j *job, refused bool) time.Duration {
	id := j.rec.Job.ID
	first, again := c.refusedAt[id]
	again = again && now-first < rememberRefused
	if !again {
		first = now
	}
	if refused && len(c.refusedAt) < maxRefused {
		c.refusedAt[id] = first
	} else {
		delete(c.refusedAt, id)
	}
	if again || lasting(&j.rec.Job) {
		return first
	}
	for i := range j.rec.Job.Steps {
		st := &j.rec.Job.Steps[i]
		c.offered += float64(st.Count) * float64(st.CPUMilli) / 1000 * c.expectMs(j.rec.Queue, st)
	}
	return first
}

// forgetRefused drops refused jobs that have not come back.
func (c *Core) forgetRefused(now time.Duration) {
	for id, at := range c.refusedAt {
		if now-at > rememberRefused {
			delete(c.refusedAt, id)
		}
	}
}

func lasting(j *jobs.Job) bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// serving is the pool's processor room in milli-cores, less what lasting tasks
// hold.
func (c *Core) serving() int {
	total := 0
	for _, e := range c.endpoints {
		if e.usable() {
			total += max(0, e.capacity.CPUMilli-e.lastingCPU())
		}
	}
	return total
}

func (e *endpoint) lastingCPU() int {
	cpu := 0
	for t := range e.tasks {
		if t.step.spec.LongRunning && !t.step.spec.Fills {
			cpu += t.step.spec.CPUMilli
		}
	}
	return cpu
}

// queued is accepted work that stands before a new job.
type queued struct {
	// byAccount is its sum in milli-core-milliseconds, by client account.
	byAccount map[string]float64
	// tasks of it wait.
	tasks int
}

// backlog is the accepted work that has not begun, of this priority or before it. Jobs that
// are late anyway don't stand before a new one.
func (c *Core) backlog(now time.Duration, priority int) queued {
	q := queued{byAccount: map[string]float64{}}
	for _, j := range c.open {
		if j.rec.State.Ended() || j.rec.Terms.Priority > priority || lasting(&j.rec.Job) || c.hopeless(now, j) {
			continue
		}
		w := c.remaining(j)
		q.byAccount[j.rec.Account] += w.ready + w.running + laterShare*w.later
		q.tasks += w.tasks
	}
	return q
}

// work is what a job still has to run, in milli-core-milliseconds.
type work struct {
	// ready could run at once; later waits for earlier steps; running is half
	// of what runs now.
	ready, later, running float64
	// tasks could start at once.
	tasks int
}

func (c *Core) remaining(j *job) work {
	var w work
	for _, o := range j.current {
		for _, s := range o.steps {
			each := float64(s.spec.CPUMilli) * c.taskMs(s)
			waiting := float64(s.waiting) * each
			if s.waitsFor > 0 {
				w.later += waiting
			} else {
				w.ready += waiting
				w.tasks += s.waiting
			}
			w.running += float64(s.left-s.waiting) * each / 2
		}
	}
	return w
}

// laterShare is how much of the work of later steps counts as being ahead of a
// new job: most of it runs beside the new job's own steps and not before them.
const laterShare = 0.35

// sortOpen orders jobs by priority, then those that can still be in time, then
// by objective.
func (c *Core) sortOpen() {
	if !c.unsorted {
		return
	}
	c.unsorted = false
	slices.SortStableFunc(c.open, func(a, b *job) int {
		if a.rec.Terms.Priority != b.rec.Terms.Priority {
			return a.rec.Terms.Priority - b.rec.Terms.Priority
		}
		return int((a.objective - b.objective) / time.Millisecond)
	})
}
