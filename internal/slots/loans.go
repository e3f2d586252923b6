package slots

import (
	"cmp"
	"maps"
	"slices"
)

// keptIdle is what an entry without any demand keeps of a pool: its next request
// should not have to wait for a loan to come back.
const keptIdle = 1

// rebalance sets what is lent of one pool.
//
// Slots are called back only for somebody who lacks them: a loan costs two
// heartbeats to make and two to end, during which nobody uses the slot.
func (s *Sharer) rebalance(pool string) {
	list := s.claimants(pool)
	plan := loans(list, s.self)
	current := map[string]int{}
	lacking, out := 0, 0
	for _, borrower := range s.borrowers() {
		current[borrower] = s.lentTo(pool, borrower)
		out += current[borrower]
		lacking += max(0, plan[borrower]-current[borrower])
	}
	owned, level := s.own(list)
	lacking += min(level, owned) - (owned - out)
	for _, borrower := range s.borrowers() {
		n := min(lacking, current[borrower]-plan[borrower])
		if n > 0 {
			s.recall(pool, borrower, n)
			lacking -= n
		}
	}
	room := s.room(pool)
	for _, borrower := range s.borrowers() {
		if s.listening(borrower) {
			s.offerMore(borrower, plan[borrower]-current[borrower], room)
		}
	}
}

// borrowers are the other members.
func (s *Sharer) borrowers() []string {
	var out []string
	for _, name := range s.base.members {
		if name != s.self {
			out = append(out, name)
		}
	}
	return out
}

// own finds this entry's static share and fair level.
func (s *Sharer) own(list []claimant) (owned, level int) {
	for _, c := range list {
		if c.name == s.self {
			return c.owned, c.level
		}
	}
	return 0, 0
}

func (s *Sharer) listening(name string) bool {
	p := s.peers[name]
	return p != nil && p.heard
}

// claimants lists the entries that take part. A silent one keeps its static
// share and is left out: it can neither be asked to lend nor be heard to give
// anything back.
func (s *Sharer) claimants(pool string) []claimant {
	var out []claimant
	owned := s.ownedIn(pool)
	for _, name := range s.base.members {
		c := claimant{name: name}
		switch {
		case name == s.self:
			c.wanted = max(s.demand[pool], keptIdle)
		case s.listening(name):
			c.wanted = max(s.peers[name].demand[pool], keptIdle)
		default:
			continue
		}
		c.owned = owned[name]
		out = append(out, c)
	}
	fill(out)
	return out
}

// ownedIn adds up each member's static shares of a pool.
func (s *Sharer) ownedIn(pool string) map[string]int {
	if sum, ok := s.owned[pool]; ok {
		return sum
	}
	sum := map[string]int{}
	for _, i := range s.pools[pool] {
		for member, n := range s.base.shares(i.ID, i.Slots) {
			sum[member] += n
		}
	}
	s.owned[pool] = sum
	return sum
}

// spare is what can be lent of an instance.
type spare struct {
	instance string
	free     int
}

// room lists what this entry has left of its static shares, not counting what
// it uses at present.
func (s *Sharer) room(pool string) []spare {
	var out []spare
	for _, i := range s.pools[pool] {
		free := s.static(i.ID) - s.reservedOf(i.ID)
		free = min(free, s.Allowed(i.ID)-s.inFlight[i.ID])
		out = append(out, spare{instance: i.ID, free: free})
	}
	return out
}

// lentTo counts what a borrower has or is about to get of a pool.
func (s *Sharer) lentTo(pool, borrower string) int {
	n := 0
	for _, i := range s.pools[pool] {
		if l := s.lent[i.ID][borrower]; l != nil {
			n += l.next
		}
	}
	return n
}

// offerMore sets n more slots aside, one at a time of the instance with most
// left, so that the borrower's requests spread like the lender's.
func (s *Sharer) offerMore(borrower string, n int, room []spare) {
	for range max(n, 0) {
		if len(room) == 0 {
			return
		}
		best := 0
		for i := range room {
			if room[i].free > room[best].free {
				best = i
			}
		}
		if room[best].free <= 0 {
			return
		}
		room[best].free--
		s.loanOf(borrower, room[best].instance).next++
	}
}

func (s *Sharer) loanOf(borrower, instance string) *loan {
	byBorrower := s.lent[instance]
	if byBorrower == nil {
		byBorrower = map[string]*loan{}
		s.lent[instance] = byBorrower
	}
	if byBorrower[borrower] == nil {
		byBorrower[borrower] = &loan{}
	}
	return byBorrower[borrower]
}

// recall lowers loans by n in all, the largest first. What was set aside and
// not yet offered goes first: nobody has to confirm that.
func (s *Sharer) recall(pool, borrower string, n int) {
	for range n {
		var best *loan
		for _, i := range s.pools[pool] {
			l := s.lent[i.ID][borrower]
			if l != nil && l.next > 0 && (best == nil || l.before(best)) {
				best = l
			}
		}
		if best == nil {
			return
		}
		best.lower()
	}
}

func (l *loan) before(other *loan) bool {
	return cmp.Or(
		cmp.Compare(other.next-other.level, l.next-l.level),
		cmp.Compare(other.next, l.next),
	) < 0
}

func (l *loan) lower() {
	if l.next > l.level {
		l.next--
		return
	}
	l.offer(l.level - 1)
}

// OnPeer takes over what another entry says. Anything of another membership
// version than the one in force here is left alone: it will be said again.
func (s *Sharer) OnPeer(from string, m PeerShare) {
	if m.To != s.self || !slices.Contains(s.base.members, from) {
		return
	}
	s.peers[from] = &peer{demand: maps.Clone(m.Demand), heard: true}
	if m.Membership != s.base.version || len(s.pending) > 0 {
		return
	}
	for _, l := range m.Lends {
		s.borrow(from, l)
	}
	for _, h := range m.Held {
		s.confirm(from, h)
	}
}

// borrow goes by a newer level. It may be used at once where it is higher,
// because the lender has shrunk first; where it is lower, what is in use stays
// counted until SetInFlight sees it gone.
func (s *Sharer) borrow(from string, l Lend) {
	if s.borrowed[l.Instance] == nil {
		s.borrowed[l.Instance] = map[string]*holding{}
	}
	h := s.borrowed[l.Instance][from]
	if h == nil {
		h = &holding{}
		s.borrowed[l.Instance][from] = h
	}
	if l.Version <= h.version {
		return
	}
	h.version, h.level = l.Version, l.Slots
	h.used = max(h.used, h.level)
}

// confirm takes slots back that the borrower no longer uses. Only an answer to
// the newest version counts: the borrower may yet receive it otherwise, and
// grow to its level.
func (s *Sharer) confirm(from string, h Held) {
	l := s.lent[h.Instance][from]
	if l == nil || h.Version != l.version {
		return
	}
	// The least counts: an answer that was overtaken says more than is used.
	l.out = min(l.out, max(h.Slots, l.level))
}

// PeerSilent tells that a peer has missed its heartbeats. Nothing more is lent
// to it; what it has borrowed stays counted as in use.
func (s *Sharer) PeerSilent(name string) {
	if p := s.peers[name]; p != nil {
		p.heard = false
	}
}

// Outgoing returns what is to be said to a peer.
func (s *Sharer) Outgoing(to string) PeerShare {
	m := PeerShare{To: to, Membership: s.base.version, Demand: maps.Clone(s.demand)}
	maps.DeleteFunc(m.Demand, func(_ string, n int) bool { return n == 0 })
	for id, byBorrower := range s.lent {
		if l := byBorrower[to]; l != nil && l.version > 0 {
			m.Lends = append(m.Lends, Lend{Version: l.version, Instance: id, Slots: l.level})
		}
	}
	for id, byLender := range s.borrowed {
		if h := byLender[to]; h != nil {
			m.Held = append(m.Held, Held{Version: h.version, Instance: id, Slots: h.used})
		}
	}
	slices.SortFunc(m.Lends, func(a, b Lend) int { return cmp.Compare(a.Instance, b.Instance) })
	slices.SortFunc(m.Held, func(a, b Held) int { return cmp.Compare(a.Instance, b.Instance) })
	return m
}
