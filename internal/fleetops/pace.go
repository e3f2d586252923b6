package fleetops

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// How fast operations begin and proceed. Load: thousands of instances become idle at once, or a
// burst asks for hundreds. The platform accepts a fixed number of orders per second, whatever the
// fleet's size. Without bounds, a round writes a record, asks an owner, and sends an order for each
// of the instances; most orders are rejected and repeated, a message to an owner exceeds its size
// limit, and a burst's instances wait behind those that are merely switched off.
const (
	// orderWindow is the time over which the platform counts orders.
	orderWindow = time.Second
	// waitingWindow is the time in which the platform accepts the orders of all operations that
	// wait for theirs: long enough for their endpoints to be vacated and the instance list to be
	// read meanwhile.
	waitingWindow = 3 * time.Second
	// switchOffShare is the share of the operations that wait for their orders which may be for
	// switching instances off; the rest is for instances that a pool needs.
	switchOffShare = 0.5
	// MaxItemsPerCall limits the endpoints in one call to a pool's owner, and so the size of the
	// call and of its answer.
	MaxItemsPerCall = 500
	// MaxDuePerCall limits the endpoints that an owner is told to be due for a wave; it reports
	// their loads. Those that cost the least to vacate come first.
	MaxDuePerCall = 500
	// minLoads and MaxLoads bound the least loaded endpoints that an owner reports beside those.
	minLoads = 16
	MaxLoads = 500
	// vacancyRefresh is how old an owner's report that an endpoint is empty may become before the
	// owner is asked again, while the order has not been accepted.
	vacancyRefresh = 400 * time.Millisecond
	// vacateRefresh is the time between requests to vacate an endpoint whose order has been
	// accepted; the owner places no tasks there for several times that.
	vacateRefresh = time.Second
)

// orderBatch is a number of orders that were sent at the same time.
type orderBatch struct {
	at    time.Duration
	count int
}

// takeOrder reports whether the platform accepts another order now, and counts it.
func (s *State) takeOrder(now time.Duration) bool {
	if s.limits.OrdersPerSecond == 0 {
		return true
	}
	s.sentOrders = slices.DeleteFunc(s.sentOrders, func(b orderBatch) bool { return now-b.at >= orderWindow })
	sent := 0
	for _, b := range s.sentOrders {
		sent += b.count
	}
	if sent >= s.limits.OrdersPerSecond {
		return false
	}
	if last := len(s.sentOrders) - 1; last >= 0 && s.sentOrders[last].at == now {
		s.sentOrders[last].count++
		return true
	}
	s.sentOrders = append(s.sentOrders, orderBatch{now, 1})
	return true
}

// movesToBegin is how many moves may begin in this round: those that wait for their orders must not
// be more than the platform accepts in one waitingWindow. Instances that a predecessor may have
// ordered wait for something else.
func (s *State) movesToBegin(now time.Duration) (needed, switchOff int) {
	if s.limits.OrdersPerSecond == 0 {
		return math.MaxInt, math.MaxInt
	}
	waiting := 0
	for _, op := range s.ops {
		if op.Phase != PhaseEnded && op.acceptedAt == 0 && now >= s.noOrdersUntil[op.Instance] {
			waiting++
		}
	}
	limit := int(waitingWindow.Seconds() * float64(s.limits.OrdersPerSecond))
	return max(0, limit-waiting), max(0, int(switchOffShare*float64(limit))-waiting)
}

// LoadsWanted is how many of a pool's least loaded endpoints its owner should report: as many as the
// next round may take from it.
func (s *State) LoadsWanted(pool string) int {
	return min(MaxLoads, minLoads+s.loadsWanted[pool])
}

// updateLoadsWanted counts, for each pool, the instances beyond what it will need, and those that a
// wave has reserved and that come before them if they are idle.
func (s *State) updateLoadsWanted(balances []balance, unit float64) {
	anyLacksLongRunning := slices.ContainsFunc(balances, func(b balance) bool { return b.lacksLongRunning(unit) })
	clear(s.loadsWanted)
	for _, b := range balances {
		need := min(b.need, b.futureNeed)
		if anyLacksLongRunning {
			need = min(need, b.longRunningNeed)
		}
		s.loadsWanted[b.pool] = int(math.Ceil(max(0, b.have-need)/unit)) + len(s.reserved)
	}
}

// mustAsk reports whether an operation's endpoint must be named in the next call to its pool's
// owner.
func (s *State) mustAsk(now time.Duration, op *Operation) bool {
	switch {
	case op.endConfirmed:
		return false
	case op.acceptedAt > 0 && op.vacated:
		return now-op.askedAt >= vacateRefresh || s.incarnationEnded(op, s.instances[op.Instance])
	case op.vacated:
		return now-op.vacancyReportedAt >= vacancyRefresh
	}
	return true
}

// carryOut vacates the endpoints of the operations in progress and sends their orders: first those
// for instances that a pool or a wave needs, then those that switch instances off.
func (s *State) carryOut(now time.Duration, wallMs int64, a *Actions) {
	names := s.sortedOps()
	urgency := func(name string) int {
		if op := s.ops[name]; op.Kind == KindMove && op.To == s.spare {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(names, func(x, y string) int { return cmp.Compare(urgency(x), urgency(y)) })
	for _, name := range names {
		s.vacateAndOrder(now, wallMs, s.ops[name], a)
	}
}

// Asked records that a pool's owner is being asked about these endpoints.
func (s *State) Asked(now time.Duration, items []VacateItem) {
	for _, item := range items {
		if op := s.ops[item.Instance]; op != nil && op.Endpoint == item.Endpoint {
			op.askedAt = now
			if op.firstAskedAt == 0 {
				op.firstAskedAt = now
			}
		}
	}
}

// limitItems keeps, for each pool, the items that have waited longest, at most MaxItemsPerCall of
// them.
func (s *State) limitItems(items []VacateItem) []VacateItem {
	slices.SortStableFunc(items, func(x, y VacateItem) int { return cmp.Compare(s.ops[x.Instance].askedAt, s.ops[y.Instance].askedAt) })
	count := map[string]int{}
	kept := items[:0]
	for _, item := range items {
		if count[item.Pool]++; count[item.Pool] <= MaxItemsPerCall {
			kept = append(kept, item)
		}
	}
	return kept
}
