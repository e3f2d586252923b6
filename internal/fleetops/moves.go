package fleetops

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// How instances are assigned to pools. Load: queues burst in rotation. A queue's demand is five
// times its mean for some seconds and a twentieth of it in between; a burst exceeds its pool's
// capacity, while all pools together hold twice the total demand. Without moves, instances idle in
// three pools while the fourth rejects its callers.
//
// A pool's need is the work offered to it per second, plus its backlog spread over the time in
// which it must drain. Pools that need more get spare instances first, then those that other pools
// do not need. Instances that no pool has needed for a while are switched off. A move costs as
// much as one second of an instance in a pool, so an unnecessary move is cheap and a missed one is
// not.
const (
	// backlogDrainTime is the time in which a backlog should drain, about the slack of a job's
	// objective. With a much shorter one, bursting pools request more instances than exist and
	// keep them from each other.
	backlogDrainTime = 1800 * time.Millisecond
	// headroom allows for tasks that do not fill their endpoints evenly.
	headroom = 1.15
	// riseWindow and fallWindow smooth the offered work; about five jobs arrive per second. A
	// burst rises at once and is missed if the rise must be confirmed first, while detecting its
	// end late costs little.
	riseWindow = 300 * time.Millisecond
	fallWindow = 1200 * time.Millisecond
	// trendFactor is how far a rise is extrapolated, and maxRiseFactor limits the result: jobs
	// arrive in batches, which look like a rise.
	trendFactor   = 1.0
	maxRiseFactor = 1.8
	// joinTime is the time beside the move itself until a moved instance does work: it registers,
	// is polled, and gets its first tasks.
	joinTime = 300 * time.Millisecond
	// runningRetained is the share of the running work for which a pool keeps capacity while
	// another is short: the rest ends before an instance that it gives away could be back. Load:
	// one queue's burst ends as another's begins. Counted in full, the running work holds all
	// instances for another second or two, in which jobs of the next burst are lost.
	runningRetained = 0.5
	// viewLag is how long it takes until a pool's owner uses a new instance and has reported so.
	viewLag = 250 * time.Millisecond
	// maxViewAge is how old an owner's summary may be to base moves on it.
	maxViewAge = 1500 * time.Millisecond
	// idleTimeout is how long a pool must have a surplus before instances are switched off.
	idleTimeout = 2500 * time.Millisecond
	// minInstances is how many instances a pool keeps beyond the capacity of its long-running tasks, so
	// that the first jobs of a burst find capacity.
	minInstances = 2
	// reserveShare is the share of the instances that a pool has on the mean, over all pools and
	// the spare pool, which it does not give up while it is idle.
	reserveShare = 0.08
	// maxStarvedSteps limits the instances requested at once for long-running tasks that find no
	// endpoint.
	maxStarvedSteps = 3
	// minShortfall is the share of an instance that a pool must lack before one is moved to it.
	minShortfall = 0.35
)

// decideMoves begins moves towards pools that need more capacity, and switches off what no pool
// needs.
func (s *State) decideMoves(now time.Duration, a *Actions) {
	unit := s.meanInstanceCPU()
	if unit == 0 || !s.viewsFresh(now) {
		return
	}
	balances := s.balances(now, unit)
	sortByNeed(balances, unit)
	c := newCandidates(s, now)
	needed, switchOff := s.movesToBegin(now)
	for i := range balances {
		for balances[i].shortfall() > minShortfall*unit {
			if op := c.redirect(balances[i].pool); op != nil {
				balances[i].have += float64(s.instances[op.Instance].CPUMilli)
				a.Events = append(a.Events, Event{What: "move redirected", Instance: op.Instance, Reason: "needed", Pool: op.To})
				continue
			}
			if needed == 0 {
				break
			}
			donor, donorIndex := c.donor(unit, balances, balances[i])
			if donor == nil {
				break
			}
			needed--
			switchOff--
			s.beginMove(now, donor, balances[i].pool, "needed", a)
			balances[i].have += float64(donor.CPUMilli)
			if donorIndex >= 0 {
				balances[donorIndex].have -= float64(donor.CPUMilli)
			}
		}
	}
	switchOff -= s.renewUnusable(now, c, switchOff, a)
	s.switchOff(now, unit, balances, c, switchOff, a)
	s.updateLoadsWanted(balances, unit)
	s.fleetSurplus = s.idleSpareCPU()
	for _, b := range balances {
		s.poolSurplus[b.pool] = -b.shortfall()
		s.fleetSurplus -= b.shortfall()
	}
}

// sortByNeed puts pools first whose long-running tasks lack instances, then those with the largest
// shortfall. Load: a bursting pool asks for more than the whole fleet has. Served first, it takes
// each instance that becomes available, and a long-running task of another pool that has lost its
// endpoint is down for the whole burst.
func sortByNeed(balances []balance, unit float64) {
	slices.SortFunc(balances, func(x, y balance) int {
		if a, b := x.lacksLongRunning(unit), y.lacksLongRunning(unit); a != b {
			if a {
				return -1
			}
			return 1
		}
		return cmp.Compare(y.shortfall(), x.shortfall())
	})
}

func (s *State) viewsFresh(now time.Duration) bool {
	for _, v := range s.pools {
		if now-v.At > maxViewAge {
			return false
		}
	}
	return len(s.pools) > 0
}

// largestDonor returns the index of the pool that can give the most, at least one instance, or -1.
func largestDonor(balances []balance, to string, canGive func(balance) float64, unit float64) int {
	best := -1
	for n, b := range balances {
		if b.pool == to || canGive(b) < unit {
			continue
		}
		if best < 0 || canGive(b) > canGive(balances[best]) {
			best = n
		}
	}
	return best
}

func (s *State) beginMove(now time.Duration, i *Instance, to, reason string, a *Actions) {
	s.begin(now, &Operation{Instance: i.Name, Kind: KindMove, From: i.Pool, To: to, Endpoint: i.Endpoint})
	a.Events = append(a.Events, Event{What: "move begun", Instance: i.Name, Reason: reason, Pool: to})
}

// renewUnusable switches off idle instances whose endpoints can't get tasks before their next incarnation,
// at most limit of them, and returns how many. Load: endpoints that were cut off list ends that must not
// be acknowledged, and more with each task. Their pools don't count them as capacity any more and get
// others, while these would stay there for good.
func (s *State) renewUnusable(now time.Duration, c *candidates, limit int, a *Actions) int {
	begun := 0
	if s.spare == "" {
		return begun
	}
	for _, pool := range slices.Sorted(maps.Keys(s.pools)) {
		if !s.pools[pool].hasUnusable {
			continue
		}
		for _, l := range c.list(pool) {
			i := s.instances[l.name]
			if !l.unusable || l.used > 0 || begun >= limit || !s.movable(now, i, s.spare) {
				continue
			}
			s.beginMove(now, &i, s.spare, "unusable", a)
			begun++
		}
	}
	return begun
}

// switchOff moves instances that their pools have not needed for a while to the spare pool, at most
// limit of them.
func (s *State) switchOff(now time.Duration, unit float64, balances []balance, c *candidates, limit int, a *Actions) {
	if s.spare == "" {
		return
	}
	for _, b := range balances {
		d := s.demand[b.pool]
		if d == nil {
			continue
		}
		if b.surplus() < unit {
			d.surplusSince = 0
			continue
		}
		if d.surplusSince == 0 {
			d.surplusSince = now
		}
		if now-d.surplusSince < idleTimeout {
			continue
		}
		for left := b.surplus(); left >= unit && limit > 0; left -= unit {
			i := c.take(b.pool, s.spare, maxDonorLoad*unit)
			if i == nil {
				break
			}
			s.beginMove(now, i, s.spare, "not needed", a)
			limit--
		}
	}
}
