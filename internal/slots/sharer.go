package slots

import (
	"maps"
	"slices"
)

// Divider limits how many requests an entry may have in flight to an instance.
type Divider interface{ Allowed(instance string) int }

// Sharer is one entry's part in the division. It must be used by one goroutine
// only, the one that owns the control state. In each round the owner calls, in
// this order,
//
//	SetDemand for each pool
//	Publish, and applies the returned limits to traffic
//	SetInFlight for each instance that Publish returned
//	Outgoing for each peer
type Sharer struct {
	// self must be unique to this start of the process: an entry that restarts
	// under its old name would not know what it has lent.
	self    string
	acked   membership   // newest version acknowledged by all
	pending []membership // newer versions, not yet acknowledged by all

	pools     map[string][]Instance
	slots     map[string]int // by instance
	demand    map[string]int
	peers     map[string]*peer
	lent      map[string]map[string]*loan    // by instance and borrower
	borrowed  map[string]map[string]*holding // by instance and lender
	inFlight  map[string]int
	published map[string]int
	observed  map[string]bool // inFlight was counted after published was applied

	// Caches derived from membership and instances, and cleared when these
	// change: hashing every member for every instance in every round would cost
	// more than the rest of the round.
	staticShares map[string]int            // this entry's static share, by instance
	poolShares   map[string]map[string]int // sums of static shares, by pool and member
}

// peer is the last report of another entry.
type peer struct {
	demand     map[string]int
	responsive bool
}

// loan is the lender's view of a loan. The borrower may use up to maxInUse
// slots.
type loan struct {
	version  uint64
	level    int // number of slots lent by version
	maxInUse int // the highest level of all versions that the borrower may be using
	planned  int // level to offer once this entry has reduced its own use; at least level
}

// holding is the borrower's view of a loan. At most inUse slots are in use.
type holding struct {
	version uint64
	level   int
	inUse   int // at least level
}

// NewSharer returns a Sharer without members or instances.
func NewSharer(self string) *Sharer {
	return &Sharer{
		self:  self,
		pools: map[string][]Instance{}, slots: map[string]int{}, demand: map[string]int{},
		peers: map[string]*peer{},
		lent:  map[string]map[string]*loan{}, borrowed: map[string]map[string]*holding{},
		inFlight: map[string]int{}, published: map[string]int{}, observed: map[string]bool{},
		staticShares: map[string]int{}, poolShares: map[string]map[string]int{},
	}
}

// SetMembers adds a new membership version. The entry's own share is reduced to
// what both the old and the new version allow, and borrowed slots are no longer
// used. Versions must be added in order.
func (s *Sharer) SetMembers(version uint64, members []string) {
	if version <= s.newestVersion() {
		return
	}
	sorted := slices.Clone(members)
	slices.Sort(sorted)
	s.pending = append(s.pending, membership{version: version, members: sorted})
	clear(s.borrowed)
	clear(s.staticShares)
}

func (s *Sharer) newestVersion() uint64 {
	if n := len(s.pending); n > 0 {
		return s.pending[n-1].version
	}
	return s.acked.version
}

// Settled reports whether the use of every instance has dropped to what the
// newest membership version allows. Only then may the entry acknowledge the
// version.
func (s *Sharer) Settled() bool {
	for id, limit := range s.published {
		allowed := s.Allowed(id)
		if limit > allowed || !s.observed[id] || s.inFlight[id] > allowed {
			return false
		}
	}
	return true
}

// SetAllAcked reports that version has been acknowledged by all its members and
// by all members of the preceding version that still run. All of them have
// settled by then, so loans of earlier versions are no longer in use and end.
func (s *Sharer) SetAllAcked(version uint64) {
	i := slices.IndexFunc(s.pending, func(m membership) bool { return m.version == version })
	if i < 0 {
		return
	}
	s.acked = s.pending[i]
	s.pending = slices.Clone(s.pending[i+1:])
	clear(s.lent)
	clear(s.borrowed)
	clear(s.staticShares)
	clear(s.poolShares)
	for name := range s.peers {
		if !slices.Contains(s.acked.members, name) {
			delete(s.peers, name)
		}
	}
}

// SetInstances replaces the serving instances of all pools. Loans of a removed
// instance are kept, because it may return while they are in use.
func (s *Sharer) SetInstances(pools map[string][]Instance) {
	s.pools = map[string][]Instance{}
	clear(s.slots)
	clear(s.staticShares)
	clear(s.poolShares)
	for pool, list := range pools {
		s.pools[pool] = slices.Clone(list)
		for _, i := range list {
			s.slots[i.ID] = i.Slots
		}
	}
}

// SetDemand sets the number of slots of a pool that this entry could use.
func (s *Sharer) SetDemand(pool string, n int) { s.demand[pool] = n }

// SetInFlight sets the number of requests in flight to an instance. It must
// have been counted after the last result of Publish was applied.
//
// If no more are in flight than allowed, the reduction is complete: slots
// planned for loans are offered, and the return of recalled slots is confirmed.
func (s *Sharer) SetInFlight(instance string, n int) {
	s.inFlight[instance] = n
	s.observed[instance] = true
	allowed := s.Allowed(instance)
	if n > allowed || s.published[instance] > allowed {
		return
	}
	for _, l := range s.lent[instance] {
		if l.planned > l.level {
			l.offer(l.planned)
		}
	}
	for _, h := range s.borrowed[instance] {
		h.inUse = h.level
	}
}

// offer starts a new version. Slots allowed by earlier versions still count
// until the borrower confirms this one.
func (l *loan) offer(level int) {
	l.version++
	l.level, l.planned = level, level
	l.maxInUse = max(l.maxInUse, level)
}

// reserved returns how many slots the lender must not use itself.
func (l *loan) reserved() int { return max(l.maxInUse, l.planned) }

// Allowed returns how many requests this entry may have in flight to an
// instance: the static share, less the slots lent, plus the slots borrowed.
func (s *Sharer) Allowed(instance string) int {
	if _, known := s.slots[instance]; !known {
		return 0
	}
	n := max(0, s.staticShare(instance)-s.reservedSlots(instance))
	for _, h := range s.borrowed[instance] {
		n += h.level
	}
	return n
}

func (s *Sharer) reservedSlots(instance string) int {
	n := 0
	for _, l := range s.lent[instance] {
		n += l.reserved()
	}
	return n
}

// staticShare returns the smallest share of all membership versions that
// another entry may still be using.
func (s *Sharer) staticShare(instance string) int {
	if n, ok := s.staticShares[instance]; ok {
		return n
	}
	n := s.acked.shares(instance, s.slots[instance])[s.self]
	for _, m := range s.pending {
		n = min(n, m.shares(instance, s.slots[instance])[s.self])
	}
	s.staticShares[instance] = n
	return n
}

// Publish adjusts the loans and returns how many requests may be in flight to
// each instance. A removed instance is included with 0 as long as requests are
// in flight to it.
func (s *Sharer) Publish() map[string]int {
	if len(s.pending) == 0 {
		for pool := range s.pools {
			s.rebalance(pool)
		}
	}
	out := make(map[string]int, len(s.slots))
	for id := range s.slots {
		out[id] = s.Allowed(id)
	}
	for id := range s.published {
		if _, known := out[id]; !known && !s.isDrained(id) {
			out[id] = 0
		}
	}
	s.published = maps.Clone(out)
	clear(s.observed)
	return out
}

// isDrained reports whether an instance had no requests in flight after its
// limit of 0 was applied. An earlier count is not sufficient: requests may have
// started since.
func (s *Sharer) isDrained(id string) bool {
	return s.published[id] == 0 && s.observed[id] && s.inFlight[id] == 0
}
