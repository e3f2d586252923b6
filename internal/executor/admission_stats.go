package executor

import (
	"maps"
	"time"
)

const (
	// The recent window of the counts is made of admissionSlots slots of admissionSlot each.
	admissionSlots = 5
	admissionSlot  = time.Second
	// maxCountedAccounts and maxCountedPriorities bound the memory that the counts take. An account
	// that has submitted nothing for countedAccountTTL gives way to a further one.
	maxCountedAccounts   = 10_000
	maxCountedPriorities = 64
	countedAccountTTL    = time.Minute
)

// Outcomes of admission control, as in metrics.
const (
	AdmittedOnTime   = "on_time"
	AdmittedLate     = "late"
	AdmissionRefused = "refused"
)

// AdmissionOutcome is an outcome of admission control at one priority.
type AdmissionOutcome struct {
	Priority int
	Outcome  string
}

// outcome returns the outcome of a decision, as in metrics.
func (d admissionDecision) outcome() string {
	switch {
	case d.refused():
		return AdmissionRefused
	case d.late:
		return AdmittedLate
	}
	return AdmittedOnTime
}

// reasonTally counts the refusals for one reason. There are few reasons, and a slice of them is
// much smaller than a map.
type reasonTally struct {
	reason string
	n      int
}

// admissionTally counts the submissions of one priority or account.
type admissionTally struct {
	offered, onTime, late, refusedAtNodes int
	// newCoreMs is the work of the jobs that were offered for the first time, in core-ms.
	newCoreMs float64
	refused   []reasonTally
}

func (t *admissionTally) add(d admissionDecision, newCoreMs float64) {
	t.offered++
	t.newCoreMs += newCoreMs
	switch d.outcome() {
	case AdmittedOnTime:
		t.onTime++
	case AdmittedLate:
		t.late++
	default:
		t.addRefused(d.refusal.Reason)
	}
}

func (t *admissionTally) addRefused(reason string) {
	for i := range t.refused {
		if t.refused[i].reason == reason {
			t.refused[i].n++
			return
		}
	}
	t.refused = append(t.refused, reasonTally{reason, 1})
}

// admissionCounter counts the submissions of one priority or account since the owner's claim and
// over the recent window.
type admissionCounter struct {
	total admissionTally
	slots [admissionSlots]struct {
		period int64
		admissionTally
	}
	// lastAt is when a submission was last counted. waitMs is the wait that was last predicted, at
	// waitAt; waitAt is 0 if there was none.
	lastAt, waitAt time.Duration
	waitMs         float64
}

// slot returns the tally of the current slot.
func (a *admissionCounter) slot(now time.Duration) *admissionTally {
	period := int64(now / admissionSlot)
	s := &a.slots[period%admissionSlots]
	if s.period != period {
		s.period, s.admissionTally = period, admissionTally{}
	}
	return &s.admissionTally
}

// recent yields the tallies of the recent window.
func (a *admissionCounter) recent(now time.Duration) func(func(*admissionTally) bool) {
	oldest := int64(now/admissionSlot) - admissionSlots + 1
	return func(yield func(*admissionTally) bool) {
		for i := range a.slots {
			if a.slots[i].period >= oldest && !yield(&a.slots[i].admissionTally) {
				return
			}
		}
	}
}

func (a *admissionCounter) add(now time.Duration, d admissionDecision, newCoreMs float64) {
	a.lastAt = now
	a.total.add(d, newCoreMs)
	a.slot(now).add(d, newCoreMs)
	if d.predicted {
		a.waitMs, a.waitAt = d.waitMs, now
	}
}

// admissionStats counts what admission control decides, for operators.
type admissionStats struct {
	priorities map[int]*admissionCounter
	accounts   map[string]*admissionCounter
	// others counts the submissions of accounts beyond maxCountedAccounts.
	others admissionCounter
	// sweptAt is when idle accounts were last searched for.
	sweptAt time.Duration
	// untaken are the outcomes since the last TakeAdmissions.
	untaken map[AdmissionOutcome]int
}

// priority returns the counter of a priority, nil beyond the bound on their number.
func (s *admissionStats) priority(p int) *admissionCounter {
	if s.priorities == nil {
		s.priorities = map[int]*admissionCounter{}
	}
	if s.priorities[p] == nil && len(s.priorities) < maxCountedPriorities {
		s.priorities[p] = &admissionCounter{}
	}
	return s.priorities[p]
}

func (s *admissionStats) account(now time.Duration, name string) *admissionCounter {
	if a := s.accounts[name]; a != nil {
		return a
	}
	if s.accounts == nil {
		s.accounts = map[string]*admissionCounter{}
	}
	if len(s.accounts) >= maxCountedAccounts && !s.dropIdle(now) {
		return &s.others
	}
	a := &admissionCounter{}
	s.accounts[name] = a
	return a
}

// dropIdle drops idle accounts and reports whether there were any. It searches at most once per
// slot, so that a flood of unknown accounts does not cost a search for each.
func (s *admissionStats) dropIdle(now time.Duration) bool {
	if now-s.sweptAt < admissionSlot {
		return false
	}
	s.sweptAt = now
	maps.DeleteFunc(s.accounts, func(_ string, a *admissionCounter) bool { return now-a.lastAt > countedAccountTTL })
	return len(s.accounts) < maxCountedAccounts
}

// countAdmission counts a decision of admission control. isNew is set if the job has not been
// refused by this owner before. Nothing is counted without overload control.
func (c *Core) countAdmission(now time.Duration, j *job, d admissionDecision, isNew bool) {
	if !c.limits.OverloadControl {
		return
	}
	s, newCoreMs := &c.admissionStats, 0.0
	if isNew && !isLongRunning(&j.rec.Job) {
		newCoreMs = c.jobWork(j) / 1000
	}
	if p := s.priority(j.rec.Terms.Priority); p != nil {
		p.add(now, d, newCoreMs)
	}
	s.account(now, j.rec.Account).add(now, d, newCoreMs)
	if s.untaken == nil {
		s.untaken = map[AdmissionOutcome]int{}
	}
	s.untaken[AdmissionOutcome{j.rec.Terms.Priority, d.outcome()}]++
}

// CountRefusedAtNode counts n submissions of an account at one priority that a node has refused
// without asking this owner.
func (c *Core) CountRefusedAtNode(now time.Duration, priority int, account string, n int) {
	if !c.limits.OverloadControl || n <= 0 {
		return
	}
	s := &c.admissionStats
	counters := []*admissionCounter{s.priority(priority), s.account(now, account)}
	for _, a := range counters {
		if a != nil {
			a.lastAt = now
			a.total.refusedAtNodes += n
			a.slot(now).refusedAtNodes += n
		}
	}
}

// TakeAdmissions returns and clears how often each outcome of admission control occurred since the
// last call. It is empty without overload control.
func (c *Core) TakeAdmissions() map[AdmissionOutcome]int {
	out := c.admissionStats.untaken
	c.admissionStats.untaken = nil
	return out
}
