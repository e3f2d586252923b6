package quota

import (
	"maps"
	"slices"
	"strings"
	"time"

	"cyclamenwheel/internal/accounts"
)

const (
	// reportFreshness is how long a reported demand is used after its arrival.
	reportFreshness = 2 * time.Second
	// minShareStep is the smallest change of a share, because each change costs a durable
	// record. A raise that meets the pool's demand in full and the removal of a smaller
	// share are exempt.
	minShareStep = Whole / 50
	// raisedShareHold is how long a pool keeps a share that was just raised, to give it time
	// to receive the grant and start tasks.
	raisedShareHold = 500 * time.Millisecond
	// maxPreopenedAccounts is the number of published accounts up to which shares are created
	// before the accounts' first jobs.
	maxPreopenedAccounts = 1000
	// evenSplitFraction is the fraction of the unrequested share that is split evenly between
	// pools. The rest is split by demand, because the next jobs are likely to arrive there.
	evenSplitFraction = 0.5
)

// poolShare is a pool's share of an account's limit.
type poolShare struct {
	Share Share `cbor:"1,keyasint,omitempty"`
	// Reserved is the largest share that any owner of the pool may still be using. It stays
	// above Share until the owner has confirmed a lowered share.
	Reserved Share `cbor:"2,keyasint,omitempty"`
}

// accountShares holds the shares of one account. The encoded fields are its record.
type accountShares struct {
	Rev   int64                `cbor:"1,keyasint"`
	Limit accounts.Limit       `cbor:"2,keyasint,omitempty"`
	Pools map[string]poolShare `cbor:"3,keyasint"`
	// Ceiling is the highest limit that any pool owner may currently apply.
	Ceiling accounts.Limit `cbor:"4,keyasint,omitempty"`
	// Checking is set after the limit was lowered, until the shares have been verified
	// against the usage of all pools.
	Checking bool `cbor:"5,keyasint,omitempty"`

	// recordedAt is when the newest record was confirmed durable; dirty is set until then.
	recordedAt  time.Duration
	dirty       bool
	lastReports map[string]poolReport
	// shortSince is the time since which a pool has had tasks waiting and too small a share
	// to start any of them.
	shortSince map[string]time.Duration
	// raisedAt is when a pool's share was last raised.
	raisedAt map[string]time.Duration
}

func newAccountShares() *accountShares {
	return &accountShares{lastReports: map[string]poolReport{}, shortSince: map[string]time.Duration{}, raisedAt: map[string]time.Duration{}}
}

// poolReport is the last report from a pool's owner: when it arrived, and the latest time at
// which its sender was proven to be the newest owner.
type poolReport struct {
	receivedAt, provenAt time.Duration
	report               Report
}

// Ledger moves accounts' shares between pools. Only one process holds it at a time; the
// records of an earlier holder are fenced.
type Ledger struct {
	directory *accounts.Directory
	pools     []string
	byAccount map[string]*accountShares
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{byAccount: map[string]*accountShares{}} }

// Observe applies the reports of a pool's owner, which at the time proven was the newest
// owner of the pool. An account that the reports omit uses nothing in the pool: if its last
// report stayed in force, the share that it used would stay reserved forever.
func (l *Ledger) Observe(now, proven time.Duration, pool string, reports []Report) {
	reported := map[string]bool{}
	for _, r := range reports {
		reported[r.Account] = true
		s := l.byAccount[r.Account]
		if s == nil {
			s = l.openAccount(r.Account)
		}
		if s != nil {
			s.observe(pool, poolReport{receivedAt: now, provenAt: proven, report: r})
		}
	}
	for account, s := range l.byAccount {
		if last, found := s.lastReports[pool]; found && !reported[account] {
			s.observe(pool, poolReport{receivedAt: now, provenAt: proven, report: Report{Account: account, Rev: last.report.Rev}})
		}
	}
}

func (s *accountShares) observe(pool string, r poolReport) {
	s.lastReports[pool] = r
	p := s.Pools[pool]
	if !s.dirty && s.hasConfirmed(pool) {
		p.Reserved = p.Share
	}
	p.Reserved = max(p.Reserved, r.report.Used.shareOf(s.Limit))
	s.Pools[pool] = p
}

// openAccount creates an account's shares, equal for all pools. This is safe because no task
// of the account can have started without a recorded share. An account that is not published
// has no limit.
func (l *Ledger) openAccount(account string) *accountShares {
	if len(l.pools) == 0 {
		return nil
	}
	published, _ := l.directory.Account(account)
	s := newAccountShares()
	s.Limit, s.Ceiling, s.Pools = published.Limit, published.Limit, map[string]poolShare{}
	share := Whole / Share(len(l.pools))
	for _, pool := range l.pools {
		s.Pools[pool] = poolShare{Share: share, Reserved: share}
	}
	s.markChanged()
	l.byAccount[account] = s
	return s
}

// Decide applies changed limits and moves shares to the pools that need them. Accounts with
// a change that is not durable yet are skipped.
func (l *Ledger) Decide(now time.Duration, directory *accounts.Directory, pools []string) {
	l.directory, l.pools = directory, pools
	l.preopenAccounts()
	for account, s := range l.byAccount {
		if s.dirty {
			continue
		}
		limit := s.Limit // kept for an account that is no longer published, as its jobs continue
		if published, ok := directory.Account(account); ok {
			limit = published.Limit
		}
		l.decideAccount(now, s, limit)
	}
}

// preopenAccounts creates the shares of all published accounts if there are at most
// maxPreopenedAccounts, so that their first jobs need not wait for a record.
func (l *Ledger) preopenAccounts() {
	if count := l.directory.Len(); count > maxPreopenedAccounts || len(l.byAccount) >= count {
		return
	}
	for _, account := range l.directory.Names() {
		if l.byAccount[account] == nil {
			l.openAccount(account)
		}
	}
}

// decideAccount takes the next step of a limit change or, if the limit is unchanged,
// rebalances the shares. A lowered limit is announced to pool owners first, and starts are
// blocked until the usage of all pools has been counted. A limit is raised only after all
// owners have confirmed the higher Ceiling, so that each of them pauses if the limit is
// lowered again.
func (l *Ledger) decideAccount(now time.Duration, s *accountShares, limit accounts.Limit) {
	switch {
	case !limit.AtLeast(s.Limit):
		s.Limit, s.Checking = s.Limit.Lower(limit), true
		s.markChanged()
	case s.Checking:
		if l.allPoolsConfirmed(s) {
			l.applyLoweredLimit(s, limit)
		}
	case s.Ceiling != limit:
		s.Ceiling = limit
		s.markChanged()
	case s.Limit == limit:
		l.rebalance(now, s)
	case l.allPoolsConfirmed(s) && s.unallocated() >= 0:
		s.Limit = limit
		s.markChanged()
	}
}

// unallocated returns the share that no pool has or may still use. It is negative if pools
// use more than a lowered limit allows.
func (s *accountShares) unallocated() Share {
	free := Whole
	for _, p := range s.Pools {
		free -= max(p.Reserved, p.Share)
	}
	return free
}

func (s *accountShares) markChanged() {
	s.Rev++
	s.dirty = true
}

// allPoolsConfirmed reports whether the owners of all pools have confirmed the newest record.
func (l *Ledger) allPoolsConfirmed(s *accountShares) bool {
	for _, pool := range l.pools {
		if _, found := s.Pools[pool]; found && !s.hasConfirmed(pool) {
			return false
		}
	}
	return true
}

// hasConfirmed reports whether a pool's owner has applied the newest record and was proven to
// be the newest owner after that record became durable.
func (s *accountShares) hasConfirmed(pool string) bool {
	last := s.lastReports[pool]
	return last.report.Rev >= s.Rev && last.provenAt >= s.recordedAt
}

// applyLoweredLimit ends the check of a lowered limit once the shares keep all pools within
// it or cannot be lowered further. Otherwise it lowers shares, which all owners have to
// confirm before the next check.
func (l *Ledger) applyLoweredLimit(s *accountShares, limit accounts.Limit) {
	if s.unallocated() < 0 && s.lowerShares() {
		s.markChanged()
		return
	}
	s.Ceiling, s.Checking = limit, false
	s.markChanged()
}

// lowerShares lowers each share to the pool's usage plus an equal part of what is unused. It
// reports whether any share changed.
func (s *accountShares) lowerShares() bool {
	used, total := map[string]Share{}, Share(0)
	for pool, p := range s.Pools {
		used[pool] = s.lastReports[pool].report.Used.shareOf(s.Limit)
		if !s.hasConfirmed(pool) {
			used[pool] = p.Reserved // the pool has no owner any more that could report its usage
		}
		total += used[pool]
	}
	lowered := false
	for pool, p := range s.Pools {
		share := Share(0)
		if total < Whole {
			share = min(p.Share, used[pool]+(Whole-total)/Share(len(s.Pools)))
		}
		lowered = lowered || share < p.Share
		p.Share = share
		s.Pools[pool] = p
	}
	return lowered
}

// rebalance moves shares if any pool requests more than its share.
func (l *Ledger) rebalance(now time.Duration, s *accountShares) {
	demands, unmet := map[string]demand{}, false
	for _, pool := range l.pools {
		d := s.demandOf(now, pool)
		demands[pool] = d
		unmet = unmet || d.want > s.Pools[pool].Share
	}
	if unmet {
		l.moveShares(now, s, demands, targetShares(demands))
	}
}

// demand is what a pool requests of an account's limit.
type demand struct {
	// want covers usage and everything that is ready to start; least covers usage and the
	// smallest amount that can start next.
	want, least Share
	// shortSince is the time since which the pool has had too small a share to start
	// anything that waits, 0 if it has not.
	shortSince time.Duration
	// recentlyRaised is set if the share was raised within raisedShareHold and is not fully
	// used yet.
	recentlyRaised bool
}

// demandOf returns a pool's demand. A pool whose last report is outdated is assumed to need
// what it used then, and one that has never reported keeps its share.
func (s *accountShares) demandOf(now time.Duration, pool string) demand {
	last, ok := s.lastReports[pool]
	if !ok {
		share := s.Pools[pool].Share
		return demand{want: share, least: share}
	}
	used := min(Whole, last.report.Used.shareOf(s.Limit))
	d := demand{want: used, least: used}
	if now-last.receivedAt < reportFreshness {
		d.want = min(Whole, last.report.Want.shareOf(s.Limit))
		d.least = min(Whole, last.report.Least.shareOf(s.Limit))
	}
	if d.least <= s.Pools[pool].Share || d.want <= used {
		delete(s.shortSince, pool)
	} else if s.shortSince[pool] == 0 {
		s.shortSince[pool] = now
	}
	d.shortSince = s.shortSince[pool]
	if d.want > used && now-s.raisedAt[pool] < raisedShareHold {
		d.recentlyRaised, d.least = true, max(d.least, min(d.want, s.Pools[pool].Share))
	}
	return d
}

// moveShares lowers shares that are above their targets and raises others from the
// unallocated share. Unallocated share is set aside for the pool that has waited longest
// until it is enough to start something there.
func (l *Ledger) moveShares(now time.Duration, s *accountShares, demands map[string]demand, targets map[string]Share) {
	free, changed := s.unallocated(), false
	order := byPriority(demands)
	for _, pool := range order {
		p, target := s.Pools[pool], targets[pool]
		if target < p.Share && p.Share-target >= min(minShareStep, p.Share) {
			p.Share = target
			s.Pools[pool] = p
			changed = true
		}
	}
	for _, pool := range order {
		p, d := s.Pools[pool], demands[pool]
		more := min(targets[pool]-p.Share, free)
		if more <= 0 || d.want <= p.Share {
			continue
		}
		if p.Share+more < d.least || more < minShareStep && p.Share+more < d.want {
			free -= more
			continue
		}
		free -= more
		p.Share += more
		p.Reserved = max(p.Reserved, p.Share)
		s.Pools[pool] = p
		s.raisedAt[pool] = now
		changed = true
	}
	if changed {
		s.markChanged()
	}
}

// targetShares divides a limit between pools: each gets its demand and a part of the
// remainder. If the demands exceed the limit, it is rationed.
func targetShares(demands map[string]demand) map[string]Share {
	sum := Share(0)
	for _, d := range demands {
		sum += d.want
	}
	if sum > Whole {
		return rationShares(demands)
	}
	out := make(map[string]Share, len(demands))
	left := float64(Whole - sum)
	for pool, d := range demands {
		extra := left * evenSplitFraction / float64(len(demands))
		if sum > 0 {
			extra += left * (1 - evenSplitFraction) * float64(d.want) / float64(sum)
		}
		out[pool] = d.want + Share(extra)
	}
	return out
}

// rationShares divides a limit that is smaller than the sum of the demands. Load: a limit of
// only a few tasks. An equal split would give every pool less than one task, and nothing
// would start anywhere. So pools are served in order, those that have waited longest first;
// each gets at least enough to start something, and pools that are not reached get nothing.
// What remains is split between the served pools, up to their demands.
func rationShares(demands map[string]demand) map[string]Share {
	pools := byPriority(demands)
	out, left := make(map[string]Share, len(demands)), Whole
	var served []string
	for _, pool := range pools {
		if d := demands[pool]; d.least <= left {
			out[pool] = d.least
			left -= d.least
			served = append(served, pool)
		}
	}
	slices.SortStableFunc(served, func(a, b string) int { return int(demands[a].want - demands[b].want) })
	for n, pool := range served {
		more := min(demands[pool].want-out[pool], left/Share(len(served)-n))
		out[pool] += more
		left -= more
	}
	for _, pool := range pools {
		if _, ok := out[pool]; !ok {
			out[pool] = 0
		}
	}
	return out
}

// byPriority returns the pools in the order in which a scarce limit is divided: those with a
// recently raised share first, then those that have been short the longest, then by name.
func byPriority(demands map[string]demand) []string {
	return slices.SortedFunc(maps.Keys(demands), func(a, b string) int {
		x, y := demands[a], demands[b]
		switch {
		case x.recentlyRaised != y.recentlyRaised && x.recentlyRaised:
			return -1
		case x.recentlyRaised != y.recentlyRaised:
			return 1
		case x.shortSince != y.shortSince && x.shortSince != 0 && (y.shortSince == 0 || x.shortSince < y.shortSince):
			return -1
		case x.shortSince != y.shortSince:
			return 1
		}
		return strings.Compare(a, b)
	})
}

// Pending reports whether a change waits for its record or for a pool owner's confirmation.
func (l *Ledger) Pending() bool {
	for _, s := range l.byAccount {
		if s.dirty {
			return true
		}
		for pool := range s.Pools {
			if s.awaitsConfirmation(pool) {
				return true
			}
		}
	}
	return false
}

// awaitsConfirmation reports whether a change waits for a pool's owner, which may still use a
// share that has been lowered or may not have received a changed limit.
func (s *accountShares) awaitsConfirmation(pool string) bool {
	p := s.Pools[pool]
	return (p.Reserved > p.Share || s.Checking || s.Ceiling != s.Limit) && !s.hasConfirmed(pool)
}

// Ask is the request to a pool's owner: grants to apply, and what to report on.
type Ask struct {
	// Grants are shares that the owner may not have applied yet. It reports on their
	// accounts.
	Grants []Grant `cbor:"1,keyasint,omitempty"`
	// Prove requires the answering owner to prove first that it is the newest owner.
	Prove bool `cbor:"2,keyasint,omitempty"`
}

// Ask returns the next request to a pool's owner. It contains durable grants only.
func (l *Ledger) Ask(pool string) Ask {
	var a Ask
	for account, s := range l.byAccount {
		p, found := s.Pools[pool]
		if s.dirty || !found {
			continue
		}
		awaiting := s.awaitsConfirmation(pool)
		if s.lastReports[pool].report.Rev >= s.Rev && !awaiting {
			continue
		}
		a.Grants = append(a.Grants, Grant{Account: account, Share: p.Share, Limit: s.Limit, Ceiling: s.Ceiling, Rev: s.Rev})
		a.Prove = a.Prove || awaiting
	}
	slices.SortFunc(a.Grants, func(x, y Grant) int { return strings.Compare(x.Account, y.Account) })
	return a
}
