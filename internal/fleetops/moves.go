package fleetops

import (
	"cmp"
	"slices"
	"time"
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
const (
	// backlogDrainTime is how fast a backlog should drain: about the slack of a job's
	// objective. Drained much faster, pools in their turn call for more instances than
	// there are and keep them from each other.
	backlogDrainTime = 1800 * time.Millisecond
	// headroom covers tasks that don't fill their endpoints evenly.
	headroom = 1.15
	// riseWindow and fallWindow smooth the offered work: jobs come some five a
	// second. A turn begins at once and is missed by whoever waits for proof;
	// that it has ended costs little to learn late.
	riseWindow = 300 * time.Millisecond
	fallWindow = 1200 * time.Millisecond
	// trendFactor and riseMost are how far a rise is drawn out, and the most that
	// is believed of it: jobs come in clumps.
	trendFactor   = 1.0
	maxRiseFactor = 1.8
	// joinTime is what passes beside the move itself until a called instance
	// works: it registers, is looked at, and gets its first tasks.
	joinTime = 300 * time.Millisecond
	// runningRetained is the part of what runs that a pool keeps room for when another
	// is short: the rest ends before an instance that it gives away could be back.
	// Load: one queue's turn ends as another's begins. Counted whole, what runs holds
	// all instances for another second or two, in which the next turn's jobs are
	// lost.
	runningRetained = 0.5
	// viewLag is how long a pool's owner takes to have a new instance in use
	// and to be asked about it.
	viewLag = 250 * time.Millisecond
	// maxViewAge is how old an owner's word may be to move instances by it.
	maxViewAge = 1500 * time.Millisecond
	// idleTimeout is how long instances are too many before they are switched off.
	idleTimeout = 2500 * time.Millisecond
	// minInstances stay in a pool beside those with lasting tasks, so that
	// the first jobs of a turn find room.
	minInstances = 2
	// maxStarvedSteps bounds the instances that are called at once for lasting tasks
	// that find no endpoint.
	maxStarvedSteps = 3
	// minShortfall is the share of an instance that must be missing to move one.
	minShortfall = 0.35
)

// decideMoves begins moves towards pools that need more, and switches off what
// none needs.
func (s *State) decideMoves(now time.Duration, a *Actions) {
	unit := s.meanInstanceCPU()
	if unit == 0 || !s.viewsFresh(now) {
		return
	}
	balances := s.balances(now, unit)
	sortByNeed(balances, unit)
	for i := range balances {
		for balances[i].shortfall() > minShortfall*unit {
			if op := s.redirect(balances[i].pool); op != nil {
				balances[i].have += float64(s.instances[op.Instance].CPUMilli)
				a.Events = append(a.Events, Event{What: "move redirected", Instance: op.Instance, Reason: "needed", Pool: op.To})
				continue
			}
			donor, donorIndex := s.donor(now, unit, balances, balances[i])
			if donor == nil {
				break
			}
			s.beginMove(now, donor, balances[i].pool, "needed", a)
			balances[i].have += float64(donor.CPUMilli)
			if donorIndex >= 0 {
				balances[donorIndex].have -= float64(donor.CPUMilli)
			}
		}
	}
	s.switchOff(now, unit, balances, a)
	s.fleetSurplus = s.idleSpareCPU()
	for _, b := range balances {
		s.poolSurplus[b.pool] = -b.shortfall()
		s.fleetSurplus -= b.shortfall()
	}
}

// sortByNeed puts the pools first whose lasting tasks lack instances, then those
// that are shortest. Load: a pool in its turn asks for more than the whole fleet
// has. Served first, it takes each instance that comes free, and a lasting task
// of another pool that has lost its endpoint stays away for the whole turn.
func sortByNeed(balances []balance, unit float64) {
	slices.SortFunc(balances, func(x, y balance) int {
		if a, b := x.lacksLasting(unit), y.lacksLasting(unit); a != b {
			if a {
				return -1
			}
			return 1
		}
		return cmp.Compare(y.shortfall(), x.shortfall())
	})
}

// redirect sends an instance to a pool that was about to be switched off and
// has not been ordered to yet.
func (s *State) redirect(pool string) *Operation {
	for _, name := range s.sortedOps() {
		op := s.ops[name]
		if op.Kind != KindMove || op.To != s.spare || op.Phase != PhaseClearing || op.From == pool || s.rejectedKinds[kindInPool{s.instances[name].Kind, pool}] {
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
		if now-v.At > maxViewAge {
			return false
		}
	}
	return len(s.pools) > 0
}

// donor returns the instance that is cheapest to give to a pool, and the place
// of the pool that gives it among balances, or -1 for the spare pool.
func (s *State) donor(now time.Duration, unit float64, balances []balance, to balance) (*Instance, int) {
	for _, name := range s.instanceNames {
		i := s.instances[name]
		if i.Pool == s.spare && s.movable(now, i, to.pool) {
			return &i, -1
		}
	}
	if index := largestDonor(balances, to.pool, func(b balance) float64 { return b.availableFor(to, unit) }, unit); index >= 0 {
		return s.leastLoaded(now, balances[index].pool, to.pool, maxDonorLoad*unit), index
	}
	if !to.lacksLasting(unit) {
		return nil, -1
	}
	// Nobody has more than it needs: lasting tasks come before short ones.
	if index := largestDonor(balances, to.pool, func(b balance) float64 { return b.have - b.lastingNeed }, unit); index >= 0 {
		return s.leastLoaded(now, balances[index].pool, to.pool, unit), index
	}
	return nil, -1
}

// largestDonor returns the place of the pool that can give the most, at least one
// instance, or -1.
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

// movable reports whether nothing else is done with an instance, it may be ordered
// about, and may serve the pool.
func (s *State) movable(now time.Duration, i Instance, to string) bool {
	return i.Up && now >= s.noOrdersUntil[i.Name] && !s.reserved[i.Name] && s.activeOperation(i.Name) == nil && !s.rejectedKinds[kindInPool{i.Kind, to}]
}

// maxDonorLoad is how much of an instance may be in use when it is chosen to
// leave: its tasks run out within about their usual second.
const maxDonorLoad = 0.4

// leastLoaded returns the instance of a pool with the least to wait for, at most
// most milli-cores in use and none with lasting tasks.
func (s *State) leastLoaded(now time.Duration, pool, to string, maxUsed float64) *Instance {
	hosts := s.pools[pool].hosts
	var best *Instance
	leastUsed := maxUsed
	for _, name := range s.instanceNames {
		i := s.instances[name]
		h, known := hosts[i.Endpoint]
		if i.Pool != pool || !known || h.Lasting || !s.movable(now, i, to) {
			continue
		}
		if used := float64(h.UsedMilli); best == nil && used <= leastUsed || best != nil && used < leastUsed {
			best, leastUsed = &i, used
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
		if b.shortfall() > -unit {
			d.surplusSince = 0
			continue
		}
		if d.surplusSince == 0 {
			d.surplusSince = now
		}
		if now-d.surplusSince < idleTimeout {
			continue
		}
		for have := b.have; have-b.need >= unit; have -= unit {
			i := s.leastLoaded(now, b.pool, s.spare, maxDonorLoad*unit)
			if i == nil {
				break
			}
			s.beginMove(now, i, s.spare, "not needed", a)
		}
	}
}
