package quota

import (
	"maps"
	"slices"
	"strings"
	"time"

	"cyclamenwheel/internal/accounts"
)

const (
	// viewFresh is how long a pool's demand counts.
	viewFresh = 2 * time.Second
	// leastStep is the least share that is moved for a pool whose demand it does not meet:
	// each step costs a record.
	leastStep = Whole / 50
	// keepRaised is how long a share that was raised is left to its pool, which hears of it
	// and starts something meanwhile.
	keepRaised = 500 * time.Millisecond
	// mostEarly is how many accounts have their entries opened before their first jobs.
	mostEarly = 1000
	// evenly is the part of what nobody wants that all pools share alike. The rest goes
	// by demand, where the next jobs are likely.
	evenly = 0.5
)

// part is a pool's part of an account's limit.
type part struct {
	Share Share `cbor:"1,keyasint,omitempty"`
	// Held is the most that any owner of the pool may have running.
	Held Share `cbor:"2,keyasint,omitempty"`
}

// entry are the shares of one account.
type entry struct {
	Rev   int64           `cbor:"1,keyasint"`
	Limit accounts.Limit  `cbor:"2,keyasint,omitempty"`
	Parts map[string]part `cbor:"3,keyasint"`
	// Ceiling is the highest limit that any owner may go by.
	Ceiling accounts.Limit `cbor:"4,keyasint,omitempty"`
	// Checking: the limit was lowered, and the shares are to be checked against what all
	// pools use.
	Checking bool `cbor:"5,keyasint,omitempty"`

	// recorded is when the newest record was known to be durable; dirty: it is not yet.
	recorded time.Duration
	dirty    bool
	views    map[string]view
	// short is since when pools have waited with less than it takes to start anything.
	short map[string]time.Duration
	// raised is when their shares were last raised.
	raised map[string]time.Duration
}

func newEntry() *entry {
	return &entry{views: map[string]view{}, short: map[string]time.Duration{}, raised: map[string]time.Duration{}}
}

// view is what a pool's owner said last.
type view struct {
	at, proven time.Duration
	report     Report
}

// Ledger moves the shares of accounts between pools. It has one holder at a time, whose
// records are fenced.
type Ledger struct {
	directory *accounts.Directory
	pools     []string
	entries   map[string]*entry
}

// NewLedger returns a ledger that knows nothing.
func NewLedger() *Ledger { return &Ledger{entries: map[string]*entry{}} }

// Observe takes in a pool's reports. At the time proven their owner was the newest of its
// pool. Accounts that it leaves out have nothing there: taken for what was said of them last,
// what they used would be kept for them for ever.
func (l *Ledger) Observe(now, proven time.Duration, pool string, reports []Report) {
	told := map[string]bool{}
	for _, r := range reports {
		told[r.Account] = true
		e := l.entries[r.Account]
		if e == nil {
			e = l.open(r.Account)
		}
		if e != nil {
			e.observe(pool, view{at: now, proven: proven, report: r})
		}
	}
	for account, e := range l.entries {
		if last, heard := e.views[pool]; heard && !told[account] {
			e.observe(pool, view{at: now, proven: proven, report: Report{Account: account, Rev: last.report.Rev}})
		}
	}
}

func (e *entry) observe(pool string, v view) {
	e.views[pool] = v
	p := e.Parts[pool]
	if !e.dirty && e.goesBy(pool) {
		p.Held = p.Share
	}
	p.Held = max(p.Held, v.report.Used.shareOf(e.Limit))
	e.Parts[pool] = p
}

// open begins an account's entry with the same share for each pool. Nothing of the account
// can have started before. An account that is not published has no limit.
func (l *Ledger) open(account string) *entry {
	if len(l.pools) == 0 {
		return nil
	}
	published, _ := l.directory.Account(account)
	e := newEntry()
	e.Limit, e.Ceiling, e.Parts = published.Limit, published.Limit, map[string]part{}
	share := Whole / Share(len(l.pools))
	for _, pool := range l.pools {
		e.Parts[pool] = part{Share: share, Held: share}
	}
	e.change()
	l.entries[account] = e
	return e
}

// Decide moves shares to where they are wanted.
func (l *Ledger) Decide(now time.Duration, directory *accounts.Directory, pools []string) {
	l.directory, l.pools = directory, pools
	l.openEarly()
	for account, e := range l.entries {
		if e.dirty {
			continue
		}
		limit := e.Limit // of an account that is no longer published: its jobs go on
		if published, ok := directory.Account(account); ok {
			limit = published.Limit
		}
		l.decide(now, e, limit)
	}
}

// openEarly opens the entries of all accounts where they are few, so that their first jobs
// need not wait for it.
func (l *Ledger) openEarly() {
	if count := l.directory.Len(); count > mostEarly || len(l.entries) >= count {
		return
	}
	for _, account := range l.directory.Names() {
		if l.entries[account] == nil {
			l.open(account)
		}
	}
}

// decide goes on with an account's limit, or with its shares where that stands. A limit is
// lowered for owners first, and starts wait until what all pools use was counted; it is
// raised only once all owners know that others will go by a higher one, so that each of
// them would notice if it were lowered again.
func (l *Ledger) decide(now time.Duration, e *entry, limit accounts.Limit) {
	switch {
	case !limit.AtLeast(e.Limit):
		e.Limit, e.Checking = e.Limit.Lower(limit), true
		e.change()
	case e.Checking:
		if l.allKnow(e) {
			l.check(e, limit)
		}
	case e.Ceiling != limit:
		e.Ceiling = limit
		e.change()
	case e.Limit == limit:
		l.balance(now, e)
	case l.allKnow(e) && e.free() >= 0:
		e.Limit = limit
		e.change()
	}
}

// free is what no pool has, or may still use. It is negative where pools use more than was
// left to them when the limit was lowered.
func (e *entry) free() Share {
	free := Whole
	for _, p := range e.Parts {
		free -= max(p.Held, p.Share)
	}
	return free
}

func (e *entry) change() {
	e.Rev++
	e.dirty = true
}

// allKnow reports whether the owners of all pools go by the newest record.
func (l *Ledger) allKnow(e *entry) bool {
	for _, pool := range l.pools {
		if _, known := e.Parts[pool]; known && !e.goesBy(pool) {
			return false
		}
	}
	return true
}

// goesBy reports whether a pool's owner was proven to go by the newest record.
func (e *entry) goesBy(pool string) bool {
	v := e.views[pool]
	return v.report.Rev >= e.Rev && v.proven >= e.recorded
}

// check lets a lowered limit come into force where the shares leave all pools within it.
// Otherwise it takes shares back, which all owners have to know of before it looks again.
func (l *Ledger) check(e *entry, limit accounts.Limit) {
	if e.free() < 0 && e.cut() {
		e.change()
		return
	}
	e.Ceiling, e.Checking = limit, false
	e.change()
}

// cut lowers the shares to what is used and an equal part of what that leaves. It reports
// whether there was anything to lower.
func (e *entry) cut() bool {
	used, all := map[string]Share{}, Share(0)
	for pool, p := range e.Parts {
		used[pool] = e.views[pool].report.Used.shareOf(e.Limit)
		if !e.goesBy(pool) {
			used[pool] = p.Held // nobody owns it any more
		}
		all += used[pool]
	}
	lowered := false
	for pool, p := range e.Parts {
		share := Share(0)
		if all < Whole {
			share = min(p.Share, used[pool]+(Whole-all)/Share(len(e.Parts)))
		}
		lowered = lowered || share < p.Share
		p.Share = share
		e.Parts[pool] = p
	}
	return lowered
}

// balance moves shares where a pool wants more than it has.
func (l *Ledger) balance(now time.Duration, e *entry) {
	claims, unmet := map[string]claim{}, false
	for _, pool := range l.pools {
		c := e.claim(now, pool)
		claims[pool] = c
		unmet = unmet || c.want > e.Parts[pool].Share
	}
	if unmet {
		l.move(now, e, claims, divide(claims))
	}
}

// claim is what a pool asks of an account's limit.
type claim struct {
	// want is what runs and could start, least what runs and the least that could start.
	want, least Share
	// short is since when it has waited with less than it takes to start anything, 0 for
	// not at all.
	short time.Duration
	// kept: its share was raised a moment ago, and it has yet to use it.
	kept bool
}

// claim returns a pool's; one that has not been heard of late keeps what it uses.
func (e *entry) claim(now time.Duration, pool string) claim {
	v, ok := e.views[pool]
	if !ok {
		share := e.Parts[pool].Share
		return claim{want: share, least: share}
	}
	used := min(Whole, v.report.Used.shareOf(e.Limit))
	c := claim{want: used, least: used}
	if now-v.at < viewFresh {
		c.want = min(Whole, v.report.Want.shareOf(e.Limit))
		c.least = min(Whole, v.report.Least.shareOf(e.Limit))
	}
	if c.least <= e.Parts[pool].Share || c.want <= used {
		delete(e.short, pool)
	} else if e.short[pool] == 0 {
		e.short[pool] = now
	}
	c.short = e.short[pool]
	if c.want > used && now-e.raised[pool] < keepRaised {
		c.kept, c.least = true, max(c.least, min(c.want, e.Parts[pool].Share))
	}
	return c
}

// move lowers the shares that are above their targets, and raises others by what is free.
// What is free is kept for the pool that has waited longest until it is enough to start
// something there.
func (l *Ledger) move(now time.Duration, e *entry, claims map[string]claim, targets map[string]Share) {
	free, changed := e.free(), false
	order := inTurn(claims)
	for _, pool := range order {
		p, target := e.Parts[pool], targets[pool]
		if target < p.Share && p.Share-target >= min(leastStep, p.Share) {
			p.Share = target
			e.Parts[pool] = p
			changed = true
		}
	}
	for _, pool := range order {
		p, c := e.Parts[pool], claims[pool]
		more := min(targets[pool]-p.Share, free)
		if more <= 0 || c.want <= p.Share {
			continue
		}
		if p.Share+more < c.least || more < leastStep && p.Share+more < c.want {
			free -= more
			continue
		}
		free -= more
		p.Share += more
		p.Held = max(p.Held, p.Share)
		e.Parts[pool] = p
		e.raised[pool] = now
		changed = true
	}
	if changed {
		e.change()
	}
}

// divide shares a limit out: to each pool what it wants and a part of what is left, or,
// where they want more than there is, the same to all that want as much.
func divide(claims map[string]claim) map[string]Share {
	sum := Share(0)
	for _, c := range claims {
		sum += c.want
	}
	if sum > Whole {
		return ration(claims)
	}
	out := make(map[string]Share, len(claims))
	left := float64(Whole - sum)
	for pool, c := range claims {
		extra := left * evenly / float64(len(claims))
		if sum > 0 {
			extra += left * (1 - evenly) * float64(c.want) / float64(sum)
		}
		out[pool] = c.want + Share(extra)
	}
	return out
}

// ration shares out a limit of which more is wanted than there is. Load: the limit is a few
// tasks. The same part for each pool would be less than a task, and nothing would start in
// any of them; so each gets at least what it takes to start something, those that have
// waited longest for that first, while others start nothing.
func ration(claims map[string]claim) map[string]Share {
	pools := inTurn(claims)
	out, left := make(map[string]Share, len(claims)), Whole
	var served []string
	for _, pool := range pools {
		if c := claims[pool]; c.least <= left {
			out[pool] = c.least
			left -= c.least
			served = append(served, pool)
		}
	}
	slices.SortStableFunc(served, func(a, b string) int { return int(claims[a].want - claims[b].want) })
	for n, pool := range served {
		more := min(claims[pool].want-out[pool], left/Share(len(served)-n))
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

// inTurn returns the pools in the order in which a limit is shared out that is too small for
// all.
func inTurn(claims map[string]claim) []string {
	return slices.SortedFunc(maps.Keys(claims), func(a, b string) int {
		x, y := claims[a], claims[b]
		switch {
		case x.kept != y.kept && x.kept:
			return -1
		case x.kept != y.kept:
			return 1
		case x.short != y.short && x.short != 0 && (y.short == 0 || x.short < y.short):
			return -1
		case x.short != y.short:
			return 1
		}
		return strings.Compare(a, b)
	})
}

// Pending reports whether a change waits for a pool's word or for its record.
func (l *Ledger) Pending() bool {
	for _, e := range l.entries {
		if e.dirty {
			return true
		}
		for pool := range e.Parts {
			if e.unproven(pool) {
				return true
			}
		}
	}
	return false
}

// unproven reports whether a change waits for a pool's owner: it may still go by a share that
// was lowered since, or not know that the limit is raised.
func (e *entry) unproven(pool string) bool {
	p := e.Parts[pool]
	return (p.Held > p.Share || e.Checking || e.Ceiling != e.Limit) && !e.goesBy(pool)
}

// Ask is what a pool's owner is told and asked.
type Ask struct {
	// Grants are shares that it may not know, of accounts that it is to report on.
	Grants []Grant `cbor:"1,keyasint,omitempty"`
	// Prove asks for an answer by an owner that is proven to be the newest.
	Prove bool `cbor:"2,keyasint,omitempty"`
}

// Ask returns what to tell a pool's owner. Only what is durable is told.
func (l *Ledger) Ask(pool string) Ask {
	var a Ask
	for account, e := range l.entries {
		p, known := e.Parts[pool]
		if e.dirty || !known {
			continue
		}
		unproven := e.unproven(pool)
		if e.views[pool].report.Rev >= e.Rev && !unproven {
			continue
		}
		a.Grants = append(a.Grants, Grant{Account: account, Share: p.Share, Limit: e.Limit, Ceiling: e.Ceiling, Rev: e.Rev})
		a.Prove = a.Prove || unproven
	}
	slices.SortFunc(a.Grants, func(x, y Grant) int { return strings.Compare(x.Account, y.Account) })
	return a
}
