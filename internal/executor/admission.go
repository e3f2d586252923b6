package executor

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cyclamenwheel/internal/admission"
)

// Admission control. Load: a queue receives five times its mean rate for seconds, more than its
// pool can run. Accepting all of it would make every job late, and a late job is worth a
// fifteenth of one that is on time. So a job that could not end within its objective behind the work
// already accepted is not accepted as on time.
//
// With overload control, it is accepted as late if it can still end within lateFactor times its
// objective: it runs after those that are on time, and a late result is worth more to its caller than
// none. What can't be done by then either is refused at once, with the time after which to retry.
const (
	// minRetryAfter is one second because HTTP's Retry-After counts in seconds.
	minRetryAfter = time.Second
	// maxRetryAfter is below the deadline of an ordinary caller, so that the caller can still
	// retry.
	maxRetryAfter = 3 * time.Second
	// lateFactor times its objective is how long the result of a job is of use to its caller.
	lateFactor = 3
	// lateWaitShare is the part of the time until then that accepted work may take: jobs that arrive
	// later and are on time go first.
	lateWaitShare = 0.6
	// outstandingMaxAge bounds the age of the sums of outstanding work. They are computed again only
	// then, so that a refusal costs the same however many jobs wait.
	outstandingMaxAge = 25 * time.Millisecond
	// laterStepsShare is the fraction of the work of later steps that counts as ahead of a new job:
	// most of it runs beside the new job's own steps and not before them.
	laterStepsShare = 0.35
	// shareHorizon is the time over which shares of a full pool are divided: what an account has
	// waiting beyond its share of it is placed after the others' work.
	shareHorizon = time.Second
)

// outstandingWork sums the work of the accepted jobs, in milli-core-ms.
type outstandingWork struct {
	at    time.Duration
	valid bool
	// onTime is the work of jobs that can still end within their objective, by priority.
	onTime map[int]*admission.Shares
	// startable is the number of their tasks that could start at once, by priority.
	startable map[int]int
	// late is the work of jobs that can still end before their late limit.
	late *admission.Shares
}

func (o *outstandingWork) add(j *job, w work, late bool, weightOf func(string) float64) {
	if late {
		o.late.Add(j.rec.Account, w.ready+w.running+w.later)
		return
	}
	priority := j.rec.Terms.Priority
	shares := o.onTime[priority]
	if shares == nil {
		shares = admission.NewShares(weightOf)
		o.onTime[priority] = shares
	}
	shares.Add(j.rec.Account, w.ready+w.running+laterStepsShare*w.later)
	o.startable[priority] += w.tasks
}

// updateOutstanding computes the sums of outstanding work again if they are outdated.
func (c *Core) updateOutstanding(now time.Duration) {
	o := &c.outstanding
	if o.valid && now-o.at < outstandingMaxAge {
		return
	}
	*o = outstandingWork{at: now, valid: true, onTime: map[int]*admission.Shares{}, startable: map[int]int{}, late: admission.NewShares(c.weightOf)}
	for _, j := range c.open {
		if j.rec.State.Ended() || isLongRunning(&j.rec.Job) {
			continue
		}
		late := c.cannotMeetObjective(now, j)
		if late && (!c.limits.OverloadControl || c.cannotMeetLateLimit(now, j)) {
			continue
		}
		o.add(j, c.remaining(j), late, c.weightOf)
	}
}

// weightOf returns an account's weight, 0 if it has none.
func (c *Core) weightOf(account string) float64 {
	a, _ := c.directory.Account(account)
	return a.Weight
}

// admissionDecision is the outcome of admission control for a job.
type admissionDecision struct {
	refusal Refusal
	// late is set if the job is accepted although it can't end within its objective.
	late bool
	// predicted is set if there is a prediction: the job would begin after waitMs and has slackMs to
	// spare, and takes criticalPathMs from then on.
	predicted                       bool
	waitMs, slackMs, criticalPathMs float64
}

func (d admissionDecision) refused() bool { return d.refusal.Reason != "" }

// decideAdmission decides whether a job is accepted, and if not, why.
func (c *Core) decideAdmission(now time.Duration, j *job) admissionDecision {
	if !c.canEverRun(j) {
		return admissionDecision{refusal: Refusal{Reason: RefusedAccount}}
	}
	if isLongRunning(&j.rec.Job) || j.rec.Job.Occurrences > 0 {
		return admissionDecision{}
	}
	pool := float64(c.shortTaskCPU())
	if pool <= 0 {
		return admissionDecision{}
	}
	c.updateOutstanding(now)
	criticalPath := c.criticalPathMs(j)
	objective := j.rec.Terms.SlowdownFactor*criticalPath + float64(j.rec.Terms.Slack.Milliseconds())
	d := admissionDecision{predicted: true, criticalPathMs: criticalPath, slackMs: objective - criticalPath}
	if c.limits.OverloadControl {
		d.slackMs -= c.msSinceFirstOffer(now, j)
	}
	var accountWait float64
	d.waitMs, accountWait = c.predictWait(now, j, pool, objective-criticalPath)
	reason := RefusedBacklog
	if accountWait > d.waitMs {
		d.waitMs, reason = accountWait, RefusedAccountBacklog
	}
	if d.waitMs <= d.slackMs {
		return d
	}
	if c.limits.OverloadControl && reason == RefusedBacklog && c.fitsAsLate(now, j, pool, lateFactor*objective-criticalPath) {
		d.late = true
		return d
	}
	retry := time.Duration(d.waitMs-d.slackMs) * time.Millisecond
	d.refusal = Refusal{Reason: reason, RetryAfter: min(max(retry, minRetryAfter), maxRetryAfter)}
	return d
}

// msSinceFirstOffer returns how long ago the caller first submitted the job.
func (c *Core) msSinceFirstOffer(now time.Duration, j *job) float64 {
	if at, known := c.refusedSince[j.rec.Job.ID]; known && now-at < refusalTTL {
		return float64((now - at).Milliseconds())
	}
	return 0
}

// predictWait predicts how many ms a new job waits for the work ahead of it, and how many for the
// work of its own account if that is at its limit.
func (c *Core) predictWait(now time.Duration, j *job, pool, horizonMs float64) (wait, accountWait float64) {
	priority, account := j.rec.Terms.Priority, j.rec.Account
	ahead, tasks, own := 0.0, 0, 0.0
	for p, shares := range c.outstanding.onTime {
		if p > priority {
			continue
		}
		tasks += c.outstanding.startable[p]
		own += shares.Of(account)
		switch {
		case p == priority && c.limits.OverloadControl:
			ahead += shares.WorkAhead(account, c.jobWork(j), c.limitedTo(horizonMs))
		default:
			ahead += shares.TotalWithin(c.limitedTo(horizonMs))
		}
	}
	wait = max(c.drainMs(now, ahead, pool), float64(c.startLimiter.QueueDelay(tasks+len(c.startQueue)).Milliseconds()))
	return wait, c.accountWaitMs(now, account, own)
}

// fitsAsLate reports whether a job that can't be on time ends within allowedMs of its first
// submission behind all accepted work that is of use and, in its share, behind that of other late
// jobs.
func (c *Core) fitsAsLate(now time.Duration, j *job, pool, allowedMs float64) bool {
	allowedMs -= c.msSinceFirstOffer(now, j)
	ahead := c.outstanding.late.WorkAhead(j.rec.Account, c.jobWork(j), c.limitedTo(allowedMs))
	for _, shares := range c.outstanding.onTime {
		ahead += shares.TotalWithin(c.limitedTo(allowedMs))
	}
	return c.drainMs(now, ahead, pool) <= lateWaitShare*allowedMs
}

// jobWork returns the work of a job that has not started, in milli-core-ms.
func (c *Core) jobWork(j *job) float64 {
	sum := 0.0
	for i := range j.rec.Job.Steps {
		st := &j.rec.Job.Steps[i]
		sum += float64(st.Count) * float64(st.CPUMilli) * c.expectedTaskMs(j.rec.Queue, st)
	}
	return sum
}

// recordAdmission records an accepted job in the sums of outstanding work, and what was predicted
// for it.
func (c *Core) recordAdmission(now time.Duration, j *job, d admissionDecision) {
	if !d.predicted {
		return
	}
	j.admission = d
	c.outstanding.add(j, c.remaining(j), d.late, c.weightOf)
}

// recordPrediction adds to the event of a job's end what was predicted when it was accepted. Jobs
// that an earlier owner accepted have no prediction.
func (c *Core) recordPrediction(e *Event, j *job) {
	if !j.admission.predicted {
		return
	}
	e.PredictedMs = int64(j.admission.waitMs + j.admission.criticalPathMs)
	e.ActualMs = max(0, c.wallMs-j.rec.AcceptedMs)
}

// lateLimit is the time by which the result of a job must be there to be of use.
func (j *job) lateLimit() time.Duration { return j.offeredAt + lateFactor*(j.objective-j.offeredAt) }

// cannotMeetLateLimit reports whether a job can no longer end before its late limit.
func (c *Core) cannotMeetLateLimit(now time.Duration, j *job) bool {
	return now+time.Duration(c.remainingMs(now, j)*float64(time.Millisecond)) > j.lateLimit()
}

// orderLate orders late jobs: those that can still end before their late limit come first, the
// earliest limit first.
func (c *Core) orderLate(now time.Duration, late []*job) []*job {
	if !c.limits.OverloadControl {
		return late
	}
	var useful, useless []*job
	for _, j := range late {
		if c.cannotMeetLateLimit(now, j) {
			useless = append(useless, j)
		} else {
			useful = append(useful, j)
		}
	}
	slices.SortStableFunc(useful, func(a, b *job) int { return cmp.Compare(a.lateLimit(), b.lateLimit()) })
	return append(useful, useless...)
}

// markBeyondShare marks the jobs with which their accounts exceed their shares of a full pool. Jobs
// that have begun are finished.
func (c *Core) markBeyondShare(now time.Duration) {
	if !c.limits.OverloadControl {
		return
	}
	c.updateOutstanding(now)
	capacity := float64(c.shortTaskCPU()) * float64(shareHorizon.Milliseconds())
	level := map[int]float64{}
	cumulative := map[int]map[string]float64{}
	for _, j := range c.open {
		if j.rec.State.Ended() || isLongRunning(&j.rec.Job) {
			continue
		}
		p := j.rec.Terms.Priority
		if cumulative[p] == nil {
			level[p] = math.Inf(1)
			if shares := c.outstanding.onTime[p]; shares != nil {
				level[p] = shares.Level(c.capacityLeft(capacity, p))
			}
			cumulative[p] = map[string]float64{}
		}
		before := cumulative[p][j.rec.Account]
		w := c.remaining(j)
		cumulative[p][j.rec.Account] = before + w.ready + w.running + laterStepsShare*w.later
		beyond := !j.startDecided && before > 0 && before >= level[p]*admission.Weight(c.weightOf(j.rec.Account))
		c.unsorted = c.unsorted || beyond != j.beyondShare
		j.beyondShare = beyond
	}
}

// capacityLeft is what the work of more urgent priorities leaves of a capacity.
func (c *Core) capacityLeft(capacity float64, priority int) float64 {
	for p, shares := range c.outstanding.onTime {
		if p < priority {
			capacity -= shares.Total()
		}
	}
	return max(0, capacity)
}

// sortOpen orders jobs by priority, then those within their accounts' shares first, and then by
// objective.
func (c *Core) sortOpen() {
	if !c.unsorted {
		return
	}
	c.unsorted = false
	slices.SortStableFunc(c.open, func(a, b *job) int {
		if a.rec.Terms.Priority != b.rec.Terms.Priority {
			return a.rec.Terms.Priority - b.rec.Terms.Priority
		}
		if a.beyondShare != b.beyondShare {
			return boolOrder(a.beyondShare)
		}
		return int((a.objective - b.objective) / time.Millisecond)
	})
}

func boolOrder(first bool) int {
	if first {
		return 1
	}
	return -1
}
