package executor

import (
	"maps"
	"math"
	"time"

	"cyclamenwheel/internal/accounts"
	"cyclamenwheel/internal/jobs"
	"cyclamenwheel/internal/quota"
)

// Limits of client accounts. Load: one account sends several times its usual demand. Its
// running tasks are bounded across all pools; tasks beyond that bound wait without occupying
// capacity or endpoints that others could use.

// accountUsage returns the resources that a task counts for against its account's limit.
func accountUsage(s *jobs.Step) quota.Amount {
	return quota.Amount{CPUMilli: s.CPUMilli, MemoryMB: s.MemoryMB, GPUs: s.GPUs}
}

// SetAccounts applies the published client accounts.
func (c *Core) SetAccounts(d *accounts.Directory) {
	c.directory = d
	c.outstanding.valid = false
	c.allowance.SetDirectory(d)
}

// ApplyShares applies this pool's shares of the accounts' limits.
func (c *Core) ApplyShares(now time.Duration, grants []quota.Grant) {
	c.sharesReportedAt = now
	c.outstanding.valid = false
	c.allowance.Grant(grants)
}

// AccountReports returns the usage and demand of the accounts in asked and of every account
// with tasks in this pool.
func (c *Core) AccountReports(asked []quota.Grant) []quota.Report {
	wants := map[string]quota.Waiting{}
	for _, j := range c.open {
		if j.rec.Account == "" || j.rec.State.Ended() {
			continue
		}
		for s := range j.readySteps() {
			w, each, count := wants[j.rec.Account], accountUsage(s.spec), s.waiting
			if s.spec.Gang {
				each, count = each.Times(len(s.tasks)), 1
			}
			w.Add(each, count)
			wants[j.rec.Account] = w
		}
	}
	return c.allowance.Reports(asked, wants)
}

// fitsAccountLimit reports whether this many more tasks of a step fit within its account's limit.
func (c *Core) fitsAccountLimit(s *stepRun, tasks int) bool {
	return c.allowance.Fits(s.job.rec.Account, accountUsage(s.spec).Times(tasks), tasks)
}

// admitsStart is fitsAccountLimit for a step that is ready to start; it also records since when the
// account has been at its share.
func (c *Core) admitsStart(now time.Duration, s *stepRun, tasks int) bool {
	if c.fitsAccountLimit(s, tasks) {
		return true
	}
	account := s.job.rec.Account
	if _, known := c.atShareSince[account]; !known {
		c.atShareSince[account] = now
	}
	return false
}

// dropIdleAccounts drops accounts that have no waiting jobs: for their next jobs, the time at the share is
// counted anew.
func (c *Core) dropIdleAccounts() {
	if len(c.atShareSince) == 0 {
		return
	}
	waiting := map[string]bool{}
	for _, j := range c.open {
		if !j.rec.State.Ended() && j.waits() {
			waiting[j.rec.Account] = true
		}
	}
	maps.DeleteFunc(c.atShareSince, func(account string, _ time.Duration) bool { return !waiting[account] })
}

// cpuLimitOf returns how much work, in milli-core-ms per ms, an account may have done; +Inf for accounts
// without a CPU limit. Load: one account submits many times its limit; the jobs beyond the limit don't
// delay those of other accounts.
func (c *Core) cpuLimitOf(account string) float64 {
	if cpu, bounded := c.allowance.CPU(account); bounded {
		return float64(cpu)
	}
	return math.Inf(1)
}

// shareSettleTime is how long an account may be at its share before that share is taken as
// final: within this time a share follows demand as far as the limit allows.
const shareSettleTime = 600 * time.Millisecond

// accountWaitMs returns how long an account's backlog takes to drain within its share.
func (c *Core) accountWaitMs(now time.Duration, account string, backlog float64) float64 {
	since, blocked := c.atShareSince[account]
	cpu, bounded := c.allowance.CPU(account)
	if !blocked || !bounded || now-since < shareSettleTime {
		return 0
	}
	return backlog / float64(max(1, cpu))
}

// canEverRun reports whether each task of a job, and each gang as a whole, fits within its
// account's limit.
func (c *Core) canEverRun(j *job) bool {
	for i := range j.rec.Job.Steps {
		s := &j.rec.Job.Steps[i]
		tasksTogether := 1
		if s.Gang {
			tasksTogether = s.Count
		}
		if !c.allowance.CanEverFit(j.rec.Account, accountUsage(s).Times(tasksTogether)) {
			return false
		}
	}
	return true
}
