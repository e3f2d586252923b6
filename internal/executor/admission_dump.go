package executor

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cyclamenwheel/internal/admission"
)

// AdmissionDump describes what admission control of a pool decides and by what. Its other counts
// are since the owner's claim; those under "recent" cover the last WindowMs.
type AdmissionDump struct {
	// Enabled is set under overload control. Without it, nothing else is known but the epoch.
	Enabled bool  `json:"enabled"`
	Epoch   int64 `json:"epoch"`
	// AgeMs is the age of the sums of outstanding work that decisions are based on.
	AgeMs      int64               `json:"age_ms"`
	WindowMs   int64               `json:"window_ms,omitempty"`
	Priorities []PriorityAdmission `json:"priorities,omitempty"`
	// Accounts are the busiest of the recent window first, at most maxDumpEntries.
	Accounts []AccountAdmission `json:"accounts,omitempty"`
	// UnlistedAccounts is how many accounts are known beyond those listed.
	UnlistedAccounts int `json:"unlisted_accounts,omitempty"`
	// Uncounted are the submissions of accounts beyond maxCountedAccounts.
	Uncounted *AdmissionCounts `json:"uncounted,omitempty"`
	// Predictions compares predicted with actual times to jobs' ends, by queue and by whether the jobs
	// were accepted as on time or as late.
	Predictions []admission.PredictionDump `json:"predictions,omitempty"`
}

// AdmissionCounts counts submissions. A job that is submitted again after a refusal counts again.
type AdmissionCounts struct {
	Offered        int            `json:"offered"`
	AdmittedOnTime int            `json:"admitted_on_time"`
	AdmittedLate   int            `json:"admitted_late"`
	Refused        map[string]int `json:"refused,omitempty"`
	// RefusedAtNodes are submissions that nodes refused without asking the owner. They are not
	// part of Offered.
	RefusedAtNodes int `json:"refused_at_nodes,omitempty"`
}

// PriorityAdmission is what admission control decided at one priority.
type PriorityAdmission struct {
	Priority int `json:"priority"`
	AdmissionCounts
	// WaitMs is the wait that was predicted for the last submission, WaitAgeMs ago.
	WaitMs    int64 `json:"wait_ms"`
	WaitAgeMs int64 `json:"wait_age_ms"`
	// WaitingCoreMs is the work of accepted jobs that has not started, at the time of the dump.
	WaitingCoreMs int64           `json:"waiting_core_ms"`
	Recent        AdmissionCounts `json:"recent"`
	// AgeMs is how long ago a submission was last counted, or the pool claimed.
	AgeMs int64 `json:"age_ms"`
}

// AccountAdmission is what admission control decided for one account. Callers of public queues count
// as the account "".
type AccountAdmission struct {
	Account string  `json:"account"`
	Weight  float64 `json:"weight"`
	// SharePercent is the account's share by weight among the accounts with work outstanding, 0 if
	// it has none. DemandPercent is its part of the work of all jobs that were offered for the first
	// time in the recent window.
	SharePercent  float64 `json:"share_percent"`
	DemandPercent float64 `json:"demand_percent"`
	Offered       int     `json:"offered"`
	// Accepted includes AcceptedLate.
	Accepted       int             `json:"accepted"`
	AcceptedLate   int             `json:"accepted_late,omitempty"`
	Refused        map[string]int  `json:"refused,omitempty"`
	RefusedAtNodes int             `json:"refused_at_nodes,omitempty"`
	WaitingCoreMs  int64           `json:"waiting_core_ms"`
	Recent         AdmissionCounts `json:"recent"`
	// AgeMs is how long ago a submission was last counted, or the pool claimed.
	AgeMs int64 `json:"age_ms"`
}

func (t *admissionTally) addTo(out *AdmissionCounts) {
	out.Offered += t.offered
	out.AdmittedOnTime += t.onTime
	out.AdmittedLate += t.late
	out.RefusedAtNodes += t.refusedAtNodes
	for _, r := range t.refused {
		if out.Refused == nil {
			out.Refused = map[string]int{}
		}
		out.Refused[r.reason] += r.n
	}
}

func (a *admissionCounter) dumpTotal() (out AdmissionCounts) {
	a.total.addTo(&out)
	return out
}

func (a *admissionCounter) dumpRecent(now time.Duration) (out AdmissionCounts) {
	for t := range a.recent(now) {
		t.addTo(&out)
	}
	return out
}

func (a *admissionCounter) recentCoreMs(now time.Duration) (sum float64) {
	for t := range a.recent(now) {
		sum += t.newCoreMs
	}
	return sum
}

// dumpAdmission returns what admission control decided.
func (c *Core) dumpAdmission(now time.Duration) *AdmissionDump {
	d := &AdmissionDump{Enabled: c.limits.OverloadControl, Epoch: c.epoch}
	if !d.Enabled {
		return d
	}
	d.AgeMs = c.msSince(now, c.outstanding.at)
	d.Predictions = c.predictions.Dump()
	d.WindowMs = min((now - c.claimedAt), (admissionSlots-1)*admissionSlot+now%admissionSlot).Milliseconds()
	waiting := c.sumWaiting()
	for _, p := range slices.Sorted(maps.Keys(c.admissionStats.priorities)) {
		a := c.admissionStats.priorities[p]
		d.Priorities = append(d.Priorities, PriorityAdmission{Priority: p, AdmissionCounts: a.dumpTotal(), Recent: a.dumpRecent(now),
			WaitMs: int64(a.waitMs), WaitAgeMs: c.msSince(now, a.waitAt), WaitingCoreMs: int64(waiting.byPriority[p]), AgeMs: c.msSince(now, a.lastAt)})
	}
	d.Accounts, d.UnlistedAccounts = c.dumpAccountAdmissions(now, waiting)
	if others := c.admissionStats.others.dumpTotal(); others.Offered+others.RefusedAtNodes > 0 {
		d.Uncounted = &others
	}
	return d
}

// msSince returns the age of something in ms, which is at most that of the claim.
func (c *Core) msSince(now, at time.Duration) int64 {
	return (now - max(at, c.claimedAt)).Milliseconds()
}

// waitingWork is the work of accepted jobs that has not started, in core-ms. Its byAccount has an
// entry for each account with work outstanding, started or not.
type waitingWork struct {
	byPriority map[int]float64
	byAccount  map[string]float64
}

func (c *Core) sumWaiting() waitingWork {
	w := waitingWork{byPriority: map[int]float64{}, byAccount: map[string]float64{}}
	for _, j := range c.open {
		if j.rec.State.Ended() || isLongRunning(&j.rec.Job) {
			continue
		}
		r := c.remaining(j)
		w.byPriority[j.rec.Terms.Priority] += (r.ready + r.later) / 1000
		w.byAccount[j.rec.Account] += (r.ready + r.later) / 1000
	}
	return w
}

// busyAccount is an account with the figures by which accounts are listed.
type busyAccount struct {
	name            string
	counter         *admissionCounter
	demand, waiting float64
}

// busiestAccounts returns all counted accounts and those with work outstanding, the busiest of the
// recent window first.
func (c *Core) busiestAccounts(now time.Duration, waiting waitingWork) []busyAccount {
	var out []busyAccount
	for name, a := range c.admissionStats.accounts {
		out = append(out, busyAccount{name, a, a.recentCoreMs(now), waiting.byAccount[name]})
	}
	for name, w := range waiting.byAccount {
		if c.admissionStats.accounts[name] == nil {
			out = append(out, busyAccount{name, &admissionCounter{}, 0, w})
		}
	}
	slices.SortFunc(out, func(a, b busyAccount) int {
		return cmp.Or(cmp.Compare(b.demand, a.demand), cmp.Compare(b.waiting, a.waiting), cmp.Compare(b.counter.lastAt, a.counter.lastAt), cmp.Compare(a.name, b.name))
	})
	return out
}

// dumpAccountAdmissions returns the busiest accounts, and how many are left out.
func (c *Core) dumpAccountAdmissions(now time.Duration, waiting waitingWork) (out []AccountAdmission, unlisted int) {
	weights := 0.0
	for name := range waiting.byAccount {
		weights += admission.Weight(c.weightOf(name))
	}
	all := c.busiestAccounts(now, waiting)
	demand := c.admissionStats.others.recentCoreMs(now)
	for _, b := range all {
		demand += b.demand
	}
	listed := all[:min(maxDumpEntries, len(all))]
	for _, b := range listed {
		a := c.dumpAccountAdmission(now, b)
		if _, outstanding := waiting.byAccount[b.name]; outstanding {
			a.SharePercent = 100 * a.Weight / weights
		}
		if demand > 0 {
			a.DemandPercent = 100 * b.demand / demand
		}
		out = append(out, a)
	}
	return out, len(all) - len(listed)
}

func (c *Core) dumpAccountAdmission(now time.Duration, b busyAccount) AccountAdmission {
	total := b.counter.dumpTotal()
	return AccountAdmission{Account: b.name, Weight: admission.Weight(c.weightOf(b.name)), Offered: total.Offered,
		Accepted: total.AdmittedOnTime + total.AdmittedLate, AcceptedLate: total.AdmittedLate, Refused: total.Refused,
		RefusedAtNodes: total.RefusedAtNodes, WaitingCoreMs: int64(b.waiting), Recent: b.counter.dumpRecent(now), AgeMs: c.msSince(now, b.counter.lastAt)}
}
