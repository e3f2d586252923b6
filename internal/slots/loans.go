package slots

import (
	"cmp"
	"maps"
	"slices"
)

// minDemand is the least demand assumed for an entry and pool, so that the next
// request of an idle entry does not have to wait until a loan is returned.
const minDemand = 1

// rebalance adjusts the loans of one pool.
//
// Slots are recalled only if another entry, or this one, lacks them: a loan
// takes two heartbeats to make and two to end, during which nobody uses the
// slot.
func (s *Sharer) rebalance(pool string) {
	list := s.claimants(pool)
	plan := planLoans(list, s.self)
	current := map[string]int{}
	shortfall, lentTotal := 0, 0
	for _, borrower := range s.borrowers() {
		current[borrower] = s.lentTo(pool, borrower)
		lentTotal += current[borrower]
		shortfall += max(0, plan[borrower]-current[borrower])
	}
	staticShare, fairShare := s.ownShare(list)
	shortfall += min(fairShare, staticShare) - (staticShare - lentTotal)
	for _, borrower := range s.borrowers() {
		n := min(shortfall, current[borrower]-plan[borrower])
		if n > 0 {
			s.recall(pool, borrower, n)
			shortfall -= n
		}
	}
	free := s.freeCapacity(pool)
	for _, borrower := range s.borrowers() {
		if s.isResponsive(borrower) {
			s.increaseLoans(borrower, plan[borrower]-current[borrower], free)
		}
	}
}

// borrowers returns the other members.
func (s *Sharer) borrowers() []string {
	var out []string
	for _, name := range s.acked.members {
		if name != s.self {
			out = append(out, name)
		}
	}
	return out
}

// ownShare returns this entry's static share and fair share.
func (s *Sharer) ownShare(list []claimant) (staticShare, fairShare int) {
	for _, c := range list {
		if c.name == s.self {
			return c.staticShare, c.fairShare
		}
	}
	return 0, 0
}

func (s *Sharer) isResponsive(name string) bool {
	p := s.peers[name]
	return p != nil && p.responsive
}

// claimants lists the entries that take part in the division. An unresponsive
// entry keeps its static share and is left out: it can neither be asked to lend
// nor confirm that it returned anything.
func (s *Sharer) claimants(pool string) []claimant {
	var out []claimant
	shares := s.staticTotals(pool)
	for _, name := range s.acked.members {
		c := claimant{name: name}
		switch {
		case name == s.self:
			c.demand = max(s.demand[pool], minDemand)
		case s.isResponsive(name):
			c.demand = max(s.peers[name].demand[pool], minDemand)
		default:
			continue
		}
		c.staticShare = shares[name]
		out = append(out, c)
	}
	assignFairShares(out)
	return out
}

// staticTotals adds up each member's static shares of a pool.
func (s *Sharer) staticTotals(pool string) map[string]int {
	if sum, ok := s.poolShares[pool]; ok {
		return sum
	}
	sum := map[string]int{}
	for _, i := range s.pools[pool] {
		for member, n := range s.acked.shares(i.ID, i.Slots) {
			sum[member] += n
		}
	}
	s.poolShares[pool] = sum
	return sum
}

// freeSlots is the number of slots of an instance that can be lent.
type freeSlots struct {
	instance string
	free     int
}

// freeCapacity lists the unlent slots of this entry's static shares that it
// does not use at present.
func (s *Sharer) freeCapacity(pool string) []freeSlots {
	var out []freeSlots
	for _, i := range s.pools[pool] {
		free := s.staticShare(i.ID) - s.reservedSlots(i.ID)
		free = min(free, s.Allowed(i.ID)-s.inFlight[i.ID])
		out = append(out, freeSlots{instance: i.ID, free: free})
	}
	return out
}

// lentTo returns how many slots of a pool are lent to a borrower or planned for
// it.
func (s *Sharer) lentTo(pool, borrower string) int {
	n := 0
	for _, i := range s.pools[pool] {
		if l := s.lent[i.ID][borrower]; l != nil {
			n += l.planned
		}
	}
	return n
}

// increaseLoans reserves n more slots for the borrower, each from the instance
// with the most free slots, so that the borrower's requests spread like the
// lender's.
func (s *Sharer) increaseLoans(borrower string, n int, free []freeSlots) {
	for range max(n, 0) {
		if len(free) == 0 {
			return
		}
		best := 0
		for i := range free {
			if free[i].free > free[best].free {
				best = i
			}
		}
		if free[best].free <= 0 {
			return
		}
		free[best].free--
		s.loanOf(borrower, free[best].instance).planned++
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

// recall lowers loans by n slots in total, the largest first. Slots reserved
// but not yet offered are taken first, because no confirmation is needed for
// them.
func (s *Sharer) recall(pool, borrower string, n int) {
	for range n {
		var best *loan
		for _, i := range s.pools[pool] {
			l := s.lent[i.ID][borrower]
			if l != nil && l.planned > 0 && (best == nil || l.recalledBefore(best)) {
				best = l
			}
		}
		if best == nil {
			return
		}
		best.decrement()
	}
}

func (l *loan) recalledBefore(other *loan) bool {
	return cmp.Or(
		cmp.Compare(other.planned-other.level, l.planned-l.level),
		cmp.Compare(other.planned, l.planned),
	) < 0
}

func (l *loan) decrement() {
	if l.planned > l.level {
		l.planned--
		return
	}
	l.offer(l.level - 1)
}

// OnPeer applies a message from another entry. Loans and confirmations of a
// different membership version are ignored; peers repeat them with every
// heartbeat.
func (s *Sharer) OnPeer(from string, m PeerShare) {
	if m.To != s.self || !slices.Contains(s.acked.members, from) {
		return
	}
	s.peers[from] = &peer{demand: maps.Clone(m.Demand), responsive: true}
	if m.Membership != s.acked.version || len(s.pending) > 0 {
		return
	}
	for _, l := range m.Lends {
		s.applyLoanLevel(from, l)
	}
	for _, h := range m.Held {
		s.applyConfirmation(from, h)
	}
}

// applyLoanLevel adopts a newer level. A higher level may be used at once, because
// the lender has reduced its own use first. After a lower one, the slots in use
// are still counted until SetInFlight shows that they are free.
func (s *Sharer) applyLoanLevel(from string, l LoanLevel) {
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
	h.inUse = max(h.inUse, h.level)
}

// applyConfirmation takes back slots that the borrower no longer uses. Only a
// confirmation of the newest version counts: otherwise the borrower might still
// receive that version and increase its use to the new level.
func (s *Sharer) applyConfirmation(from string, h LoanConfirmation) {
	l := s.lent[h.Instance][from]
	if l == nil || h.Version != l.version {
		return
	}
	// Take the minimum: an older confirmation may arrive last and report more
	// than is in use.
	l.maxInUse = min(l.maxInUse, max(h.Slots, l.level))
}

// PeerSilent marks a peer that has missed its heartbeats. Nothing more is lent
// to it; its existing loans still count as in use.
func (s *Sharer) PeerSilent(name string) {
	if p := s.peers[name]; p != nil {
		p.responsive = false
	}
}

// Outgoing returns the message for a peer.
func (s *Sharer) Outgoing(to string) PeerShare {
	m := PeerShare{To: to, Membership: s.acked.version, Demand: maps.Clone(s.demand)}
	maps.DeleteFunc(m.Demand, func(_ string, n int) bool { return n == 0 })
	for id, byBorrower := range s.lent {
		if l := byBorrower[to]; l != nil && l.version > 0 {
			m.Lends = append(m.Lends, LoanLevel{Version: l.version, Instance: id, Slots: l.level})
		}
	}
	for id, byLender := range s.borrowed {
		if h := byLender[to]; h != nil {
			m.Held = append(m.Held, LoanConfirmation{Version: h.version, Instance: id, Slots: h.inUse})
		}
	}
	slices.SortFunc(m.Lends, func(a, b LoanLevel) int { return cmp.Compare(a.Instance, b.Instance) })
	slices.SortFunc(m.Held, func(a, b LoanConfirmation) int { return cmp.Compare(a.Instance, b.Instance) })
	return m
}
