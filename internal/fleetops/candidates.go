package fleetops

import (
	"cmp"
	"slices"
	"time"

	"cyclamenwheel/internal/executor"
)

// maxDonorLoad is the share of an instance that may be in use when it is chosen to move: its
// tasks then end within about a second, their usual duration.
const maxDonorLoad = 0.4

// candidates are the instances that one round may move, in the order in which it takes them.
//
// Within a round, operations only begin, so an instance that can't be moved to a pool stays so
// until the round ends. Each list is therefore sorted once and read once for each destination:
// a round costs as much as it has instances and moves, not their product.
type candidates struct {
	s   *State
	now time.Duration
	// byPool are the listed instances of each pool by their load, without those that long-running
	// tasks run on; those of the spare pool are sorted by name.
	byPool map[string][]loadedInstance
	// switchingOff are the operations whose instances are about to be switched off, by name.
	switchingOff []*Operation
	// next is the position up to which a list has been read for a destination.
	next map[route]int
}

// loadedInstance is an instance and the CPU in use on it, in milli-cores.
type loadedInstance struct {
	name string
	used int
	// renew and unusable are as in executor.EndpointLoad.
	renew, unusable bool
}

// route is a move's source and destination pool; switchingOff is read with an empty source.
type route struct{ from, to string }

func newCandidates(s *State, now time.Duration) *candidates {
	return &candidates{s: s, now: now, byPool: map[string][]loadedInstance{}, switchingOff: s.movesToSpare(), next: map[route]int{}}
}

// movesToSpare returns the operations, sorted by instance, that are about to switch an instance
// off and whose orders have not been sent.
func (s *State) movesToSpare() []*Operation {
	var out []*Operation
	for _, op := range s.ops {
		if op.Kind == KindMove && op.To == s.spare && op.Phase == PhaseVacating {
			out = append(out, op)
		}
	}
	slices.SortFunc(out, func(x, y *Operation) int { return cmp.Compare(x.Instance, y.Instance) })
	return out
}

// redirect sends a pool an instance that was about to be switched off and whose order has not been
// sent.
func (c *candidates) redirect(pool string) *Operation {
	r := route{to: pool}
	for ; c.next[r] < len(c.switchingOff); c.next[r]++ {
		op := c.switchingOff[c.next[r]]
		c.s.visits++
		if op.To != c.s.spare || op.From == pool || c.s.rejectedKinds[kindInPool{c.s.instances[op.Instance].Kind, pool}] {
			continue
		}
		op.To = pool
		c.s.dirtyOps[op.Instance] = true
		return op
	}
	return nil
}

// donor returns the instance that is cheapest to give to a pool, and the index in balances of the
// pool that gives it, or -1 for the spare pool.
func (c *candidates) donor(unit float64, balances []balance, to balance) (*Instance, int) {
	if i, index := c.idleDonor(unit, balances, to); i != nil {
		return i, index
	}
	if i := c.take(c.s.spare, to.pool, 0); i != nil {
		return i, -1
	}
	if index := largestDonor(balances, to.pool, func(b balance) float64 { return b.availableFor(to, unit) }, unit); index >= 0 {
		return c.take(balances[index].pool, to.pool, maxDonorLoad*unit), index
	}
	if !to.lacksLongRunning(unit) {
		return nil, -1
	}
	// No pool has a surplus: long-running tasks have priority over short ones.
	if index := largestDonor(balances, to.pool, func(b balance) float64 { return b.have - b.longRunningNeed }, unit); index >= 0 {
		return c.take(balances[index].pool, to.pool, unit), index
	}
	return nil, -1
}

// surplusSettleTime is how long a pool must have had a surplus before its idle instances go to another
// pool ahead of those that are switched off.
const surplusSettleTime = 500 * time.Millisecond

// idleDonor returns an idle instance of a pool that has had a surplus for surplusSettleTime, and the
// index of that pool in balances: the instance would be switched off next, and another one switched
// on.
func (c *candidates) idleDonor(unit float64, balances []balance, to balance) (*Instance, int) {
	index := largestDonor(balances, to.pool, func(b balance) float64 {
		d := c.s.demand[b.pool]
		if d == nil || d.surplusSince == 0 || c.now-d.surplusSince < surplusSettleTime {
			return 0
		}
		return b.surplus()
	}, unit)
	if index < 0 {
		return nil, -1
	}
	return c.take(balances[index].pool, to.pool, 0), index
}

// take returns the instance of a pool with the least work to wait for, of those that can be moved to
// another pool and have at most maxUsed milli-cores in use, or nil.
func (c *candidates) take(from, to string, maxUsed float64) *Instance {
	list := c.list(from)
	r := route{from, to}
	for ; c.next[r] < len(list); c.next[r]++ {
		if float64(list[c.next[r]].used) > maxUsed {
			return nil
		}
		c.s.visits++
		if i := c.s.instances[list[c.next[r]].name]; c.s.movable(c.now, i, to) {
			return &i
		}
	}
	return nil
}

// list returns the candidates of a pool.
func (c *candidates) list(pool string) []loadedInstance {
	if list, known := c.byPool[pool]; known {
		return list
	}
	var out []loadedInstance
	for _, name := range c.s.namesByPool[pool] {
		c.s.visits++
		if pool == c.s.spare {
			out = append(out, loadedInstance{name: name})
			continue
		}
		load, known := c.s.pools[pool].endpointLoads[c.s.instances[name].Endpoint]
		if known && !load.HasLongRunning {
			out = append(out, loadedInstance{name: name, used: load.UsedMilli, renew: load.Renew, unusable: load.Unusable})
		}
	}
	slices.SortFunc(out, func(x, y loadedInstance) int {
		return cmp.Or(cmp.Compare(x.used, y.used), executor.RenewFirst(x.renew, y.renew), cmp.Compare(x.name, y.name))
	})
	c.byPool[pool] = out
	return out
}

// movable reports whether no operation is in progress on an instance, it may get orders, and the
// platform has not rejected its kind for the pool.
func (s *State) movable(now time.Duration, i Instance, to string) bool {
	return i.Up && now >= s.noOrdersUntil[i.Name] && !s.reserved[i.Name] && s.activeOperation(i.Name) == nil && !s.rejectedKinds[kindInPool{i.Kind, to}]
}
