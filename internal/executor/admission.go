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
	lateWaitShare = 0.8
	// outstandingMaxAge bounds the age of the sums of outstanding work. They are computed again only
	// then, so that a refusal costs the same however many jobs wait.
	outstandingMaxAge = 25 * time.Millisecond
	// laterStepsShare is the fraction of the work of later steps that counts as ahead of a new job:
	// most of it runs beside the new job's own steps and not before them.
	laterStepsShare = 0.35
	// shareHorizonMs is the time over which shares of a full pool are divided: what an account has
	// waiting beyond its share of it is placed after the others' work.
	shareHorizonMs = 1500.0
)

// outstandingWork sums the work of the accepted jobs, in milli-core-ms.
type outstandingWork struct {
	at    time.Duration
	valid bool
	// onTime is the work of jobs that can still end within their objective, by priority.
	onTime map[int]*admission.Shares
	// startable is the number of their tasks that could start at once, by priority.
	startable map[int]int
	// startableWork is the work of tasks of all these jobs that could start at once.
	startableWork float64
	// late is the work of jobs that can still end before their late limit.
	late *admission.Shares
}

func (c *Core) addOutstanding(j *job, w work, late bool) {
	o := &c.outstanding
	o.startableWork += w.ready
	if late {
		o.late.Add(j.rec.Account, w.ready+w.running+w.later)
		return
	}
	priority := j.rec.Terms.Priority
	shares := o.onTime[priority]
	if shares == nil {
		shares = admission.NewShares(c.weightOf, c.cpuLimitOf)
		o.onTime[priority] = shares
	}
	shares.Add(j.rec.Account, w.aheadOfNewJobs())
	o.startable[priority] += w.tasks
}

// updateOutstanding computes the sums of outstanding work again if they are outdated.
func (c *Core) updateOutstanding(now time.Duration) {
	o := &c.outstanding
	if o.valid && now-o.at < outstandingMaxAge {
		return
	}
	*o = outstandingWork{at: now, valid: true, onTime: map[int]*admission.Shares{}, startable: map[int]int{}, late: admission.NewShares(c.weightOf, c.cpuLimitOf)}
	for _, j := range c.open {
		if j.rec.State.Ended() || isLongRunning(&j.rec.Job) {
			continue
		}
		end := c.earliestEnd(now, j)
		late := end > j.objective
		if late && (!c.limits.OverloadControl || end > j.lateLimit()) {
			continue
		}
		c.addOutstanding(j, c.remaining(j), late)
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
	// predicted is set if there is a prediction: the job would begin after waitMs, has slackMs to
	// spare, and takes criticalPathMs from then on.
	predicted                       bool
	waitMs, slackMs, criticalPathMs float64
}

func (d admissionDecision) refused() bool { return d.refusal.Reason != "" }

// predictedEnd is the predicted time from the decision to the job's end.
func (d admissionDecision) predictedEnd() time.Duration {
	return time.Duration((d.waitMs + d.criticalPathMs) * float64(time.Millisecond))
}

// offer is a submitted job that admission control decides on.
type offer struct {
	job *job
	// waited is how long ago the caller first submitted the job, and returnsOnTime is set if it was
	// refused and is submitted again at the time that it was told.
	waited        time.Duration
	returnsOnTime bool
	// pool is the CPU, in milli-cores, that can be expected to run short tasks.
	pool float64
	// criticalPathMs is the length of the job's critical path, objectiveMs the time that it may take.
	criticalPathMs, objectiveMs float64
	// work is the job's work, in milli-core-ms.
	work float64
}

// decideAdmission decides whether a job is accepted, and if not, why.
func (c *Core) decideAdmission(now time.Duration, j *job) admissionDecision {
	if !c.canEverRun(j) {
		c.returns.Refuse(now, j.rec.Job.ID, j.returnKey(), 0, 0)
		return admissionDecision{refusal: Refusal{Reason: RefusedAccount}}
	}
	if isLongRunning(&j.rec.Job) || j.rec.Job.Occurrences > 0 {
		return admissionDecision{}
	}
	o := offer{job: j, pool: c.achievableCPU(), criticalPathMs: c.criticalPathMs(j), work: c.jobWork(j)}
	if o.pool <= 0 {
		return admissionDecision{}
	}
	o.objectiveMs = j.rec.Terms.SlowdownFactor*o.criticalPathMs + float64(j.rec.Terms.Slack.Milliseconds())
	if earlier, known := c.returns.Lookup(now, j.rec.Job.ID); known && c.limits.OverloadControl {
		o.waited, o.returnsOnTime = now-earlier.FirstOffered, earlier.OnTime
	}
	c.updateOutstanding(now)
	d, reason := c.decideOnTime(now, o)
	if reason == "" {
		return d
	}
	if reason == RefusedBacklog {
		if late, accepted := c.decideLate(now, o); accepted {
			return late
		}
	}
	d.refusal = Refusal{Reason: reason, RetryAfter: c.retryAfter(now, o, d)}
	return d
}

// decideOnTime decides whether a job can end within its objective; the reason is empty if it can.
func (c *Core) decideOnTime(now time.Duration, o offer) (d admissionDecision, reason string) {
	d = admissionDecision{predicted: true, criticalPathMs: o.criticalPathMs}
	d.slackMs = o.objectiveMs - o.criticalPathMs - float64(o.waited.Milliseconds())
	wait, accountWait := c.predictWait(now, o)
	d.waitMs = max(wait, accountWait)
	if c.correctedWaitMs(d, o.job) <= d.slackMs {
		return d, ""
	}
	if accountWait > wait {
		return d, RefusedAccountBacklog
	}
	return d, RefusedBacklog
}

// decideLate decides whether a job that can't be on time ends early enough to be of use: behind all
// accepted work that is of use and, in its share, behind that of other late jobs.
func (c *Core) decideLate(now time.Duration, o offer) (d admissionDecision, accepted bool) {
	if !c.limits.OverloadControl {
		return d, false
	}
	allowedMs := lateFactor*o.objectiveMs - o.criticalPathMs - float64(o.waited.Milliseconds())
	ahead := c.outstanding.late.WorkAhead(o.job.rec.Account, o.work, allowedMs)
	for _, shares := range c.outstanding.onTime {
		ahead += shares.TotalWithin(allowedMs)
	}
	d = admissionDecision{late: true, predicted: true, criticalPathMs: o.criticalPathMs, slackMs: allowedMs, waitMs: c.drainMs(now, ahead, o.pool)}
	if !o.returnsOnTime {
		allowedMs *= lateWaitShare
	}
	return d, c.correctedWaitMs(d, o.job) <= allowedMs
}

// predictWait predicts how many ms a job waits for the work ahead of it, and how many for the work
// of its own account if that is at its limit.
func (c *Core) predictWait(now time.Duration, o offer) (wait, accountWait float64) {
	priority, account := o.job.rec.Terms.Priority, o.job.rec.Account
	horizonMs := o.objectiveMs - o.criticalPathMs
	ahead, tasks, own := 0.0, 0, 0.0
	for p, shares := range c.outstanding.onTime {
		if p > priority {
			continue
		}
		tasks += c.outstanding.startable[p]
		own += shares.Of(account)
		if p == priority && c.limits.OverloadControl {
			ahead += shares.WorkAhead(account, o.work, horizonMs)
			continue
		}
		ahead += shares.TotalWithin(horizonMs)
	}
	if c.limits.OverloadControl && !o.returnsOnTime {
		ahead += c.returns.Due(now, now+time.Duration(horizonMs)*time.Millisecond, o.job.returnKey())
	}
	wait = max(c.drainMs(now, ahead, o.pool), float64(c.startLimiter.QueueDelay(tasks+len(c.startQueue)).Milliseconds()))
	return wait, c.accountWaitMs(now, account, own)
}

// predictionClass names the class of predictions that a decision on a job of the queue belongs to.
func (d admissionDecision) predictionClass(queue string) string {
	if d.late {
		return queue + " late"
	}
	return queue + " on time"
}

// correctedWaitMs returns a predicted wait, corrected by how wrong the predictions of the queue's
// jobs have been.
func (c *Core) correctedWaitMs(d admissionDecision, j *job) float64 {
	if !c.limits.OverloadControl {
		return d.waitMs
	}
	end := c.predictions.Correct(d.predictionClass(j.rec.Queue), d.predictedEnd())
	return float64(end.Milliseconds()) - d.criticalPathMs
}

// retryAfter returns when the caller of a refused job is to retry.
func (c *Core) retryAfter(now time.Duration, o offer, d admissionDecision) time.Duration {
	drain := time.Duration(d.waitMs-d.slackMs) * time.Millisecond
	if c.limits.OverloadControl {
		const msPerSecond = 1000
		c.returns.SetRate(now, o.job.returnKey(), o.pool*msPerSecond)
	}
	scheduled := c.returns.Refuse(now, o.job.rec.Job.ID, o.job.returnKey(), o.work, drain)
	if c.limits.OverloadControl {
		return scheduled
	}
	return min(max(drain, minRetryAfter), maxRetryAfter)
}

func (j *job) returnKey() admission.ReturnKey {
	return admission.ReturnKey{Priority: j.rec.Terms.Priority, Account: j.rec.Account}
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
func (c *Core) recordAdmission(j *job, d admissionDecision) {
	if !d.predicted {
		return
	}
	j.admission = d
	c.addOutstanding(j, c.remaining(j), d.late)
}

// recordPrediction adds to the event of a job's end what was predicted when it was accepted. Jobs
// that an earlier owner accepted have no prediction.
func (c *Core) recordPrediction(e *Event, j *job) {
	if !j.admission.predicted {
		return
	}
	actual := time.Duration(c.wallMs-j.rec.AcceptedMs) * time.Millisecond
	if actual <= 0 || actual > maxRestoredWait {
		return // the wall clock has jumped
	}
	c.predictions.Observe(j.admission.predictionClass(j.rec.Queue), j.admission.predictedEnd(), actual)
	e.PredictedMs, e.ActualMs = j.admission.predictedEnd().Milliseconds(), actual.Milliseconds()
}

// lateLimit is the time by which the result of a job must be there to be of use.
func (j *job) lateLimit() time.Duration { return j.offeredAt + lateFactor*(j.objective-j.offeredAt) }

// orderLate orders late jobs: those that can still end before their late limit come first, the
// earliest limit first.
func (c *Core) orderLate(now time.Duration, late []*job) []*job {
	if !c.limits.OverloadControl {
		return late
	}
	var useful, useless []*job
	for _, j := range late {
		if c.earliestEnd(now, j) > j.lateLimit() {
			useless = append(useless, j)
		} else {
			useful = append(useful, j)
		}
	}
	slices.SortStableFunc(useful, func(a, b *job) int { return cmp.Compare(a.lateLimit(), b.lateLimit()) })
	return append(useful, useless...)
}

// markBeyondShare marks the jobs with which their accounts exceed their shares of a full pool. Jobs
// that have begun are finished. It does so as often as the sums of outstanding work are computed: each
// visits every open job, and an owner makes up to 250 rounds a second.
func (c *Core) markBeyondShare(now time.Duration) {
	if !c.limits.OverloadControl {
		c.outstanding.valid = false
		return
	}
	if c.outstanding.valid && now-c.outstanding.at < outstandingMaxAge {
		return
	}
	c.updateOutstanding(now)
	c.sampleUtilization(now)
	capacity := c.capacityWithin(now, shareHorizonMs, c.achievableCPU())
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
		cumulative[p][j.rec.Account] = before + c.remaining(j).aheadOfNewJobs()
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
			if a.beyondShare {
				return 1
			}
			return -1
		}
		return int((a.objective - b.objective) / time.Millisecond)
	})
}
