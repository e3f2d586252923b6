package executor

import (
	"maps"
	"time"

	"cyclamenwheel/internal/accounts"
	"cyclamenwheel/internal/jobs"
	"cyclamenwheel/internal/quota"
)

// Limits of client accounts. Load: one account sends several times its usual. What it has
// running is bounded over all pools; its tasks beyond that wait without holding room or
// endpoints that others could use.

// declared is what a task counts as against its account's limit.
func declared(s *jobs.Step) quota.Amount {
	return quota.Amount{CPUMilli: s.CPUMilli, MemoryMB: s.MemoryMB, GPUs: s.GPUs}
}

// SetAccounts takes in the published client accounts.
func (c *Core) SetAccounts(d *accounts.Directory) { c.allowance.SetDirectory(d) }

// TakeShares takes in this pool's shares of accounts' limits.
func (c *Core) TakeShares(now time.Duration, grants []quota.Grant) {
	c.sharesTold = now
	c.allowance.Grant(grants)
}

// AccountReports is what accounts use and want here: those asked about and all that have
// something here.
func (c *Core) AccountReports(asked []quota.Grant) []quota.Report {
	wants := map[string]quota.Waiting{}
	for _, j := range c.open {
		if j.rec.Account == "" || j.rec.State.Ended() {
			continue
		}
		for s := range j.readySteps() {
			w, each, count := wants[j.rec.Account], declared(s.spec), s.waiting
			if s.spec.Gang {
				each, count = each.Times(len(s.tasks)), 1
			}
			w.Add(each, count)
			wants[j.rec.Account] = w
		}
	}
	return c.allowance.Reports(asked, wants)
}

// allowed reports whether so many more tasks of a step are within its account's limit.
func (c *Core) allowed(s *stepRun, tasks int) bool {
	return c.allowance.Fits(s.job.rec.Account, declared(s.spec).Times(tasks), tasks)
}

// admits is allowed for a step whose turn has come; it notes since when an account is at its
// share.
func (c *Core) admits(now time.Duration, s *stepRun, tasks int) bool {
	if c.allowed(s, tasks) {
		return true
	}
	account := s.job.rec.Account
	if _, known := c.blocked[account]; !known {
		c.blocked[account] = now
	}
	return false
}

// forgetBlocked drops accounts of which nothing waits any more: their next jobs begin with
// whatever share they get.
func (c *Core) forgetBlocked() {
	if len(c.blocked) == 0 {
		return
	}
	waiting := map[string]bool{}
	for _, j := range c.open {
		if !j.rec.State.Ended() && j.waits() {
			waiting[j.rec.Account] = true
		}
	}
	maps.DeleteFunc(c.blocked, func(account string, _ time.Duration) bool { return !waiting[account] })
}

// withinShares is how much of a backlog can run in a time, in milli-core-milliseconds. Load:
// one account hands in many times its limit; its jobs beyond that don't stand before those of
// others.
func (c *Core) withinShares(backlog map[string]float64, ms float64) float64 {
	sum := 0.0
	for account, work := range backlog {
		if cpu, bounded := c.allowance.CPU(account); bounded {
			work = min(work, float64(cpu)*ms)
		}
		sum += work
	}
	return sum
}

// shareSettles is how long an account may be at its share before it is taken for as much as
// it gets: a share follows demand within that time where the limit leaves anything.
const shareSettleTime = 600 * time.Millisecond

// accountWaitMs is how long a backlog of an account takes to drain within its share.
func (c *Core) accountWaitMs(now time.Duration, account string, backlog float64) float64 {
	since, blocked := c.blocked[account]
	cpu, bounded := c.allowance.CPU(account)
	if !blocked || !bounded || now-since < shareSettleTime {
		return 0
	}
	return backlog / float64(max(1, cpu))
}

// canEverRun reports whether each task of a job, and each gang, is within the limit of
// its account.
func (c *Core) canEverRun(j *job) bool {
	for i := range j.rec.Job.Steps {
		s := &j.rec.Job.Steps[i]
		together := 1
		if s.Gang {
			together = s.Count
		}
		if !c.allowance.CanEverFit(j.rec.Account, declared(s).Times(together)) {
			return false
		}
	}
	return true
}
