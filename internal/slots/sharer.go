package slots

import (
	"maps"
	"slices"
)

// Divider tells how many requests an entry may have in flight to an instance.
type Divider interface{ Allowed(instance string) int }

// Sharer is one entry's part of the division. It is owned by the goroutine
// that owns control state. In each round the owner calls, in this order,
//
//	SetDemand for each pool
//	Publish, and puts what it returns in force for traffic
//	SetInFlight for each instance that Publish returned
//	Outgoing for each peer
type Sharer struct {
	// self must be unique to this start of the process: a restarted entry
	// under its old name would not know what it has lent.
	self    string
	base    membership   // acknowledged by all
	pending []membership // not yet

	pools     map[string][]Instance
	slots     map[string]int // by instance
	demand    map[string]int
	peers     map[string]*peer
	lent      map[string]map[string]*loan    // by instance and borrower
	borrowed  map[string]map[string]*holding // by instance and lender
	inFlight  map[string]int
	published map[string]int
	observed  map[string]bool // inFlight is newer than published

	// Derived from membership and instances, and dropped when these change:
	// hashing every member for every instance in every round would cost more
	// than the rest of the round.
	statics map[string]int            // own static share, by instance
	owned   map[string]map[string]int // static shares, by pool and member
}

// peer is what another entry said last.
type peer struct {
	demand map[string]int
	heard  bool
}

// loan is a lender's view. The borrower may use up to out slots.
type loan struct {
	version uint64
	level   int // of version
	out     int // the most that any version the borrower may go by allows
	next    int // level to offer once the own use has shrunk; at least level
}

// holding is a borrower's view. At most used slots are in use.
type holding struct {
	version uint64
	level   int
	used    int // at least level
}

// NewSharer returns a Sharer that owns nothing yet.
func NewSharer(self string) *Sharer {
	return &Sharer{
		self:  self,
		pools: map[string][]Instance{}, slots: map[string]int{}, demand: map[string]int{},
		peers: map[string]*peer{},
		lent:  map[string]map[string]*loan{}, borrowed: map[string]map[string]*holding{},
		inFlight: map[string]int{}, published: map[string]int{}, observed: map[string]bool{},
		statics: map[string]int{}, owned: map[string]map[string]int{},
	}
}

// SetMembers tells of a new membership version. The own share shrinks to what
// both the old and the new one allow, and nothing that was borrowed is used
// any more. Versions come in order.
func (s *Sharer) SetMembers(version uint64, members []string) {
	if version <= s.newest() {
		return
	}
	sorted := slices.Clone(members)
	slices.Sort(sorted)
	s.pending = append(s.pending, membership{version: version, members: sorted})
	clear(s.borrowed)
	clear(s.statics)
}

func (s *Sharer) newest() uint64 {
	if n := len(s.pending); n > 0 {
		return s.pending[n-1].version
	}
	return s.base.version
}

// Settled tells whether the use of every instance has shrunk to what the
// newest membership version allows. Only then may the entry acknowledge it.
func (s *Sharer) Settled() bool {
	for id, limit := range s.published {
		allowed := s.Allowed(id)
		if limit > allowed || !s.observed[id] || s.inFlight[id] > allowed {
			return false
		}
	}
	return true
}

// SetAllAcked tells that every member of version, and every member of the one
// before it that still runs, has acknowledged version. All have settled by
// then, so that loans of earlier versions are no longer in use and end.
func (s *Sharer) SetAllAcked(version uint64) {
	i := slices.IndexFunc(s.pending, func(m membership) bool { return m.version == version })
	if i < 0 {
		return
	}
	s.base = s.pending[i]
	s.pending = slices.Clone(s.pending[i+1:])
	clear(s.lent)
	clear(s.borrowed)
	clear(s.statics)
	clear(s.owned)
	for name := range s.peers {
		if !slices.Contains(s.base.members, name) {
			delete(s.peers, name)
		}
	}
}

// SetInstances replaces the serving instances of all pools. Loans of one that
// is left out are remembered: it may come back while they are in use.
func (s *Sharer) SetInstances(pools map[string][]Instance) {
	s.pools = map[string][]Instance{}
	clear(s.slots)
	clear(s.statics)
	clear(s.owned)
	for pool, list := range pools {
		s.pools[pool] = slices.Clone(list)
		for _, i := range list {
			s.slots[i.ID] = i.Slots
		}
	}
}

// SetDemand tells how many requests of a pool are in flight or waiting.
func (s *Sharer) SetDemand(pool string, n int) { s.demand[pool] = n }

// SetInFlight tells how many requests are in flight to an instance. It must
// have been counted after what Publish returned last was put in force.
//
// Where no more are in flight than allowed, shrinking has come to its end:
// slots to be lent are offered, and slots called back are confirmed.
func (s *Sharer) SetInFlight(instance string, n int) {
	s.inFlight[instance] = n
	s.observed[instance] = true
	allowed := s.Allowed(instance)
	if n > allowed || s.published[instance] > allowed {
		return
	}
	for _, l := range s.lent[instance] {
		if l.next > l.level {
			l.offer(l.next)
		}
	}
	for _, h := range s.borrowed[instance] {
		h.used = h.level
	}
}

// offer begins a new version. What an earlier one allowed stays counted until
// the borrower confirms this one.
func (l *loan) offer(level int) {
	l.version++
	l.level, l.next = level, level
	l.out = max(l.out, level)
}

// reserved is what the lender must not use itself.
func (l *loan) reserved() int { return max(l.out, l.next) }

// Allowed returns how many requests may be in flight to an instance from here:
// the static share, less what is lent, and what is borrowed.
func (s *Sharer) Allowed(instance string) int {
	if _, known := s.slots[instance]; !known {
		return 0
	}
	n := max(0, s.static(instance)-s.reservedOf(instance))
	for _, h := range s.borrowed[instance] {
		n += h.level
	}
	return n
}

func (s *Sharer) reservedOf(instance string) int {
	n := 0
	for _, l := range s.lent[instance] {
		n += l.reserved()
	}
	return n
}

// static is the least share of all membership versions that another entry may
// still go by.
func (s *Sharer) static(instance string) int {
	if n, ok := s.statics[instance]; ok {
		return n
	}
	n := s.base.shares(instance, s.slots[instance])[s.self]
	for _, m := range s.pending {
		n = min(n, m.shares(instance, s.slots[instance])[s.self])
	}
	s.statics[instance] = n
	return n
}

// Publish decides about loans and returns how many requests may be in flight
// to each instance. An instance that has gone is returned with 0 for as long
// as requests are in flight to it.
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
		if _, known := out[id]; !known && !s.idle(id) {
			out[id] = 0
		}
	}
	s.published = maps.Clone(out)
	clear(s.observed)
	return out
}

// idle tells whether an instance was seen without requests since traffic was
// told to send it none. A count from before that says nothing: requests may
// have started since.
func (s *Sharer) idle(id string) bool {
	return s.published[id] == 0 && s.observed[id] && s.inFlight[id] == 0
}
