package fleetops

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cyclamenwheel/internal/executor"
)

// Which pool has which instances. Load: queues' demand goes by turns, five
// times the mean for some seconds and a twentieth in between; a turn is more
// than a pool holds, while all pools together hold twice the demand. Left where
// they are, instances idle in three pools while the fourth refuses its callers.
//
// A pool's need is the work offered to it a second, plus its backlog spread
// over the time in which it must drain. Pools that need more get spare
// instances first, then those that others do not need. What no pool needs for a
// while is switched off. A move costs as much as a second of an instance in a
// pool, so a wrong one is cheap and a missed one is not.
//
// Gain: 0.98 of the work offered by turns is served, beside 0.50 where instances
// stay, with 232 moves of 44 instances in 32 s (the replay in this package's
// tests, as core-seconds served of those offered).
const (
	// drainWithin is how fast a backlog should drain: about the slack of a
	// job's objective.
	drainWithin = 1200 * time.Millisecond
	// headroom covers tasks that don't fill their endpoints evenly.
	headroom = 1.15
	// riseWindow and fallWindow smooth the offered work: jobs come some five a
	// second. A turn begins at once and is missed by whoever waits for proof;
	// that it has ended costs little to learn late.
	riseWindow = 300 * time.Millisecond
	fallWindow = 1200 * time.Millisecond
	// riseLead and riseMost are how far a rise is drawn out, and the most that
	// is believed of it: jobs come in clumps.
	riseLead = 1.0
	riseMost = 1.8
	// noticeTime is what passes beside the move itself until a called instance
	// works: it registers, is looked at, and gets its first tasks.
	noticeTime = 300 * time.Millisecond
	// stillRunning is the part of what runs that a pool keeps room for when another
	// is short: the rest ends before an instance that it gives away could be back.
	// Load: one queue's turn ends as another's begins. Counted whole, what runs holds
	// all instances for another second or two, in which the next turn's jobs are
	// lost.
	stillRunning = 0.5
	// viewEvery is how long a pool's owner takes to have a new instance in use
	// and to be asked about it.
	viewEvery = 250 * time.Millisecond
	// viewFresh is how old an owner's word may be to move instances by it.
	viewFresh = 1500 * time.Millisecond
	// idleFor is how long instances are too many before they are switched off.
	idleFor = 2500 * time.Millisecond
	// leastInstances stay in a pool beside those with lasting tasks, so that
	// the first jobs of a turn find room.
	leastInstances = 2
	// mostStarved bounds the instances that are called at once for lasting tasks
	// that find no endpoint.
	mostStarved = 3
	// shortBy is the share of an instance that must be missing to move one.
	shortBy = 0.35
)

// demand is what is known of a pool's load over time.
type demand struct {
	at      time.Duration
	offered float64
	// rate is the work offered, in milli-cores: fast to rise, slow to fall.
	// slow follows it evenly.
	rate, slow float64
	// tooMany is since when the pool has had more than it needs.
	tooMany time.Duration
}

func (s *State) observeDemand(now time.Duration, pool string, sum executor.Summary) {
	d := s.demand[pool]
	if d == nil {
		s.demand[pool] = &demand{at: now, offered: sum.OfferedCoreMs}
		return
	}
	if sum.OfferedCoreMs < d.offered {
		// A new owner counts from zero. Callers go on as before: taken for a
		// turn that has ended, its pool would be stripped of its instances.
		d.at, d.offered = now, sum.OfferedCoreMs
		return
	}
	elapsed := now - d.at
	if elapsed <= 0 {
		return
	}
	rate := (sum.OfferedCoreMs - d.offered) * 1000 / float64(elapsed.Milliseconds()+1)
	window := fallWindow
	if rate > d.rate {
		window = riseWindow
	}
	weight := 1 - math.Exp(-float64(elapsed)/float64(window))
	d.rate += weight * (rate - d.rate)
	d.slow += (1 - math.Exp(-float64(elapsed)/float64(fallWindow))) * (rate - d.slow)
	d.at, d.offered = now, sum.OfferedCoreMs
}

// balance is a pool's room against its need, in milli-cores.
type balance struct {
	pool string
	// have counts instances that are on their way here.
	have, need float64
	// least is the part of need that lasting tasks can't do without.
	least float64
	// keep is what the pool needs by the time that an instance which it gives away
	// could be back.
	keep float64
}

func (b balance) gap() float64 { return b.need - b.have }

// spareFor is what the pool can give to another one without being as short as that
// one is.
func (b balance) spareFor(to balance, unit float64) float64 {
	if b.gap()+unit > to.gap()-shortBy*unit {
		return -b.gap()
	}
	return b.have - b.keep
}

// lacks reports whether the pool has too little for its lasting tasks.
func (b balance) lacks(unit float64) bool { return b.least-b.have > shortBy*unit }

// decideMoves begins moves towards pools that need more, and switches off what
// none needs.
func (s *State) decideMoves(now time.Duration, a *Actions) {
	unit := s.typicalCPU()
	if unit == 0 || !s.viewsFresh(now) {
		return
	}
	balances := s.balances(now, unit)
	sortByNeed(balances, unit)
	for i := range balances {
		for balances[i].gap() > shortBy*unit {
			if op := s.redirect(balances[i].pool); op != nil {
				balances[i].have += float64(s.instances[op.Instance].CPUMilli)
				a.Events = append(a.Events, Event{What: "move redirected", Instance: op.Instance, Reason: "needed", Pool: op.To})
				continue
			}
			donor, from := s.donor(now, unit, balances, balances[i])
			if donor == nil {
				break
			}
			s.beginMove(now, donor, balances[i].pool, "needed", a)
			balances[i].have += float64(donor.CPUMilli)
			if from >= 0 {
				balances[from].have -= float64(donor.CPUMilli)
			}
		}
	}
	s.switchOff(now, unit, balances, a)
	s.free = s.idleSpare()
	for _, b := range balances {
		s.surplus[b.pool] = -b.gap()
		s.free -= b.gap()
	}
}

// sortByNeed puts the pools first whose lasting tasks lack instances, then those
// that are shortest. Load: a pool in its turn asks for more than the whole fleet
// has. Served first, it takes each instance that comes free, and a lasting task
// of another pool that has lost its endpoint stays away for the whole turn.
func sortByNeed(balances []balance, unit float64) {
	slices.SortFunc(balances, func(x, y balance) int {
		if a, b := x.lacks(unit), y.lacks(unit); a != b {
			if a {
				return -1
			}
			return 1
		}
		return cmp.Compare(y.gap(), x.gap())
	})
}

// idleSpare is the room of the instances that are switched off and could be called.
func (s *State) idleSpare() float64 {
	sum := 0.0
	for _, i := range s.instances {
		if i.Pool == s.spare && s.spare != "" && i.Up && s.active(i.Name) == nil {
			sum += float64(i.CPUMilli)
		}
	}
	return sum
}

// redirect sends an instance to a pool that was about to be switched off and
// has not been ordered to yet.
func (s *State) redirect(pool string) *Operation {
	for _, name := range s.sortedOps() {
		op := s.ops[name]
		if op.Kind != KindMove || op.To != s.spare || op.Phase != PhaseClearing || op.From == pool || s.unfit[fit{s.instances[name].Kind, pool}] {
			continue
		}
		op.To = pool
		s.dirtyOps[name] = true
		return op
	}
	return nil
}

func (s *State) viewsFresh(now time.Duration) bool {
	for _, v := range s.pools {
		if now-v.At > viewFresh {
			return false
		}
	}
	return len(s.pools) > 0
}

// typicalCPU is the mean size of an instance.
func (s *State) typicalCPU() float64 {
	sum := 0
	for _, i := range s.instances {
		sum += i.CPUMilli
	}
	if len(s.instances) == 0 {
		return 0
	}
	return float64(sum) / float64(len(s.instances))
}

func (s *State) balances(now time.Duration, unit float64) []balance {
	var out []balance
	for pool, v := range s.pools {
		b := balance{pool: pool, have: float64(v.Summary.CapacityMilli) + s.incoming(now, pool)}
		s.fillNeeds(&b, v.Summary, unit)
		out = append(out, b)
	}
	slices.SortFunc(out, func(x, y balance) int { return cmp.Compare(x.pool, y.pool) })
	return out
}

// fillNeeds works out what a pool needs now, and what it needs to keep.
func (s *State) fillNeeds(b *balance, sum executor.Summary, unit float64) {
	rate := 0.0
	if d := s.demand[b.pool]; d != nil {
		rate = d.expected()
	}
	running := float64(sum.RunningCPUMilli - sum.LastingCPUMilli)
	drain := sum.ReadyCoreMs * 1000 / float64(drainWithin.Milliseconds())
	least := float64(sum.LastingCPUMilli)
	// Lasting tasks that must be apart need endpoints of their own, of whatever
	// size, and one more to go to when one of these leaves.
	if sum.LeastHosts > 0 {
		least = max(least, float64(sum.LeastHosts+1)*unit)
	}
	if sum.Starved > 0 {
		least = max(least, float64(sum.CapacityMilli)+float64(min(sum.Starved, mostStarved))*unit)
	}
	needFor := func(work float64) float64 {
		return max(least, float64(sum.LastingCPUMilli)+max(leastInstances*unit, headroom*(work+drain)))
	}
	b.least = least
	b.need = needFor(max(rate, running))
	b.keep = needFor(max(rate, stillRunning*running))
}

// expected is the work offered by the time that an instance called now has
// arrived. A turn of demand takes a second or two to rise; the lead of the fast
// mean over the slow one says how fast.
func (d *demand) expected() float64 {
	return min(d.rate+riseLead*max(0, d.rate-d.slow), riseMost*d.rate)
}

// incoming is the room of instances that are on their way to a pool.
func (s *State) incoming(now time.Duration, pool string) float64 {
	sum := 0.0
	for _, op := range s.ops {
		if s.isComing(now, op, pool) {
			sum += float64(s.instances[op.Instance].CPUMilli)
		}
	}
	return sum
}

// donor returns the instance that is cheapest to give to a pool, and the place
// of the pool that gives it among balances, or -1 for the spare pool.
func (s *State) donor(now time.Duration, unit float64, balances []balance, to balance) (*Instance, int) {
	for _, name := range s.names {
		i := s.instances[name]
		if i.Pool == s.spare && s.movable(now, i, to.pool) {
			return &i, -1
		}
	}
	if giver := richest(balances, to.pool, func(b balance) float64 { return b.spareFor(to, unit) }, unit); giver >= 0 {
		return s.leastLoaded(now, balances[giver].pool, to.pool, busyShare*unit), giver
	}
	if !to.lacks(unit) {
		return nil, -1
	}
	// Nobody has more than it needs: lasting tasks come before short ones.
	if giver := richest(balances, to.pool, func(b balance) float64 { return b.have - b.least }, unit); giver >= 0 {
		return s.leastLoaded(now, balances[giver].pool, to.pool, unit), giver
	}
	return nil, -1
}

// richest returns the place of the pool that can give the most, at least one
// instance, or -1.
func richest(balances []balance, to string, canGive func(balance) float64, unit float64) int {
	giver := -1
	for n, b := range balances {
		if b.pool == to || canGive(b) < unit {
			continue
		}
		if giver < 0 || canGive(b) > canGive(balances[giver]) {
			giver = n
		}
	}
	return giver
}

// movable reports whether nothing else is done with an instance, it may be ordered
// about, and may serve the pool.
func (s *State) movable(now time.Duration, i Instance, to string) bool {
	return i.Up && now >= s.quiet[i.Name] && !s.reserved[i.Name] && s.active(i.Name) == nil && !s.unfit[fit{i.Kind, to}]
}

// busyShare is how much of an instance may be in use when it is chosen to
// leave: its tasks run out within about their usual second.
const busyShare = 0.4

// leastLoaded returns the instance of a pool with the least to wait for, at most
// most milli-cores in use and none with lasting tasks.
func (s *State) leastLoaded(now time.Duration, pool, to string, most float64) *Instance {
	hosts := s.pools[pool].hosts
	var best *Instance
	least := most
	for _, name := range s.names {
		i := s.instances[name]
		h, known := hosts[i.Endpoint]
		if i.Pool != pool || !known || h.Lasting || !s.movable(now, i, to) {
			continue
		}
		if used := float64(h.UsedMilli); best == nil && used <= least || best != nil && used < least {
			best, least = &i, used
		}
	}
	return best
}

func (s *State) beginMove(now time.Duration, i *Instance, to, reason string, a *Actions) {
	s.begin(now, &Operation{Instance: i.Name, Kind: KindMove, From: i.Pool, To: to, Endpoint: i.Endpoint})
	a.Events = append(a.Events, Event{What: "move begun", Instance: i.Name, Reason: reason, Pool: to})
}

// switchOff moves instances to the spare pool that their pools have not needed
// for a while.
func (s *State) switchOff(now time.Duration, unit float64, balances []balance, a *Actions) {
	if s.spare == "" {
		return
	}
	for _, b := range balances {
		d := s.demand[b.pool]
		if d == nil {
			continue
		}
		if b.gap() > -unit {
			d.tooMany = 0
			continue
		}
		if d.tooMany == 0 {
			d.tooMany = now
		}
		if now-d.tooMany < idleFor {
			continue
		}
		for have := b.have; have-b.need >= unit; have -= unit {
			i := s.leastLoaded(now, b.pool, s.spare, busyShare*unit)
			if i == nil {
				break
			}
			s.beginMove(now, i, s.spare, "not needed", a)
		}
	}
}

// Balances returns each pool's room and need, for the log.
func (s *State) Balances(now time.Duration) []Balance {
	var out []Balance
	for _, b := range s.balances(now, s.typicalCPU()) {
		v := s.pools[b.pool]
		line := Balance{Pool: b.pool, HaveCores: b.have / 1000, NeedCores: b.need / 1000,
			ReadyCoreS: v.Summary.ReadyCoreMs / 1000, RunningCores: float64(v.Summary.RunningCPUMilli) / 1000,
			LastingCores: float64(v.Summary.LastingCPUMilli) / 1000, Endpoints: v.Summary.Endpoints}
		if d := s.demand[b.pool]; d != nil {
			line.OfferedCores = d.rate / 1000
		}
		out = append(out, line)
	}
	return out
}

// Balance is a pool's room against its need.
type Balance struct {
	Pool                                   string
	HaveCores, NeedCores, OfferedCores     float64
	ReadyCoreS, RunningCores, LastingCores float64
	Endpoints                              int
}

// Loans is, for each pool, the processor room that comes to it, and what could be
// called at once: what is switched off, and what others do not need.
func (s *State) Loans(now time.Duration, pools []string) map[string][]executor.Loan {
	unit := s.typicalCPU()
	idle := s.idleSpare()
	balances := s.balances(now, unit)
	loans := make(map[string][]executor.Loan, len(pools))
	for _, to := range pools {
		callable := idle
		for _, b := range balances {
			if b.pool != to && b.gap() < -unit {
				callable -= b.gap()
			}
		}
		loans[to] = append(s.arrivals(now, to), executor.Loan{CPUMilli: int(callable), InMs: (s.limits.MoveTime + noticeTime).Milliseconds()})
	}
	return loans
}

// arrivals are the instances that are on their way to a pool.
func (s *State) arrivals(now time.Duration, pool string) []executor.Loan {
	var out []executor.Loan
	for _, op := range s.ops {
		if !s.isComing(now, op, pool) {
			continue
		}
		left := s.limits.MoveTime + noticeTime
		if op.Kind == KindMaintain {
			left = s.limits.MaintainTime + noticeTime
		}
		if op.accepted > 0 {
			left -= now - op.accepted
		}
		out = append(out, executor.Loan{CPUMilli: s.instances[op.Instance].CPUMilli, InMs: max(0, left).Milliseconds()})
	}
	return out
}

// isComing reports whether an operation brings its instance to a pool: it moves
// there, or comes back from maintenance sooner than another could be called. One
// that has had the time to arrive counts among the pool's own, if it did.
func (s *State) isComing(now time.Duration, op *Operation, pool string) bool {
	if op.Phase == PhaseOver {
		return false
	}
	if op.Kind == KindMaintain {
		return op.From == pool && op.accepted > 0 && now-op.accepted < s.limits.MaintainTime+viewEvery
	}
	arrived := op.accepted > 0 && now-op.accepted > s.limits.MoveTime+viewEvery
	return op.To == pool && !arrived
}
