package shards

import (
	"maps"
	"math"
	"slices"
	"time"

	"cyclamenwheel/internal/rendezvous"
)

// spread returns who has which duty. A duty stays with the member that claimed it
// last, as long as that one may have duties and has not far more than its part;
// any other goes to the member that ranks highest for it and is not full yet.
// Nodes that know other members, pools or holders may place a duty differently for
// a moment; its epoch keeps that safe.
//
// Load: of many nodes two are restarted each second. Spread by rank alone, a duty
// goes back to a node that has just come, and the bound on each node's part moves
// others in turn, between nodes that live all the while. Each change stops its pool for a moment, and forgets which
// endpoint was kept for which lasting task.
func spread(pools []string, members []member, holders map[string]holder) map[string]Owner {
	names := append([]string{fleetDuty}, pools...)
	owners := map[string]Owner{}
	if len(members) == 0 {
		return owners
	}
	fit := strong(members)
	byNode, byName := map[string]member{}, map[string]member{}
	for _, b := range fit {
		byNode[b.Node], byName[b.name] = b, b
	}
	restarted, others := byAge(fit)
	most := int(math.Ceil(dutySlack * float64(len(names)) / float64(len(byNode))))
	load := map[string]int{}
	for _, name := range names {
		if b, lives := byName[holders[name].Member]; lives && load[b.Node] < most+keepBeyond {
			load[b.Node]++
			owners[name] = b.Owner
		}
	}
	for _, name := range names {
		if _, kept := owners[name]; kept {
			continue
		}
		key := []byte("duty " + name)
		for _, node := range append(rendezvous.Weighted(key, restarted), rendezvous.Weighted(key, others)...) {
			if load[node] < most {
				load[node]++
				owners[name] = byNode[node].Owner
				break
			}
		}
	}
	return owners
}

// restartedAfter is how much later than the oldest member one must have begun to
// count as restarted: nodes that start together do so within a second, and their
// clocks differ by as much.
const restartedAfter = 5 * time.Second

// byAge returns the processors of the members that were restarted since the others
// began, and of those others.
//
// Load: all nodes are restarted in turn. A duty that goes to one whose turn is
// still to come changes hands again seconds later; those that have been through
// stay.
func byAge(members []member) (restarted, others map[string]float64) {
	restarted, others = map[string]float64{}, map[string]float64{}
	oldest := int64(math.MaxInt64)
	for _, b := range members {
		oldest = min(oldest, b.startedMs)
	}
	for _, b := range members {
		if b.startedMs-oldest > restartedAfter.Milliseconds() {
			restarted[b.Node] = b.processor
		} else {
			others[b.Node] = b.processor
		}
	}
	return restarted, others
}

// strongShare is the share of the largest processor that a member needs to get
// a duty. Load: nodes differ by a factor of four, and a pool at its peak keeps
// one of the small ones busy with its renewals alone, so that callers wait in
// vain for its answers.
const strongShare = 0.6

// strong returns the members that may have duties.
func strong(members []member) []member {
	most := 0.0
	for _, b := range members {
		most = max(most, b.processor)
	}
	return slices.DeleteFunc(slices.Clone(members), func(b member) bool { return b.processor < strongShare*most })
}

// mostMembers is how many members are enough: several for each of some five
// duties, and fewer than the group has partitions (24), so that each of them
// holds one and is seen.
const mostMembers = 16

// needed reports whether the group needs this process.
func (m *Manager) needed(joined bool) bool {
	self, ok := parseMember(m.opts.Member)
	if !ok {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return wanted(self, joined, m.members)
}

// wanted reports whether a process should be in the group, by the members last
// read. Load: there are more nodes than partitions, and two are restarted each second.
// The group deals its partitions anew with each of them, a member without a partition
// is not seen, and the duties move among those that come into sight and go out of it;
// each change stops its pool for a moment. So nodes too weak for any duty stay outside, and so do those that come
// when there are enough. With no members read, everybody joins.
func wanted(self member, joined bool, members []member) bool {
	seen, most := false, self.processor
	for _, b := range members {
		seen = seen || b.Node == self.Node
		most = max(most, b.processor)
	}
	if self.processor < strongShare*most {
		return false
	}
	return joined && seen || len(strong(members)) < mostMembers
}

// dutySlack is how far above the mean a member's number of duties may be: with
// none, one member that comes or goes moves the duties of many.
const dutySlack = 1.5

// keepBeyond is how many duties a member keeps beyond what a new one would be
// given. Where members are many, one duty each is the bound for new ones, and a
// second one costs less than its move.
const keepBeyond = 1

// spreadDuties works out who has which duty, by the rows of the group without the
// members that have said that they leave.
func (m *Manager) spreadDuties(pools []string, rows map[int]string) {
	m.mu.Lock()
	rows = maps.Clone(rows)
	maps.DeleteFunc(rows, func(_ int, name string) bool { return m.departed[name] })
	members, peers := membersOf(rows)
	owners := map[string]Owner{}
	if len(pools) > 0 {
		owners = spread(pools, members, m.holders)
	}
	m.settled = settled(owners, members, m.holders)
	if !maps.Equal(m.owners, owners) {
		m.opts.Logger.Info("duties spread", "members", len(members), "mine", countOf(owners, m.opts.Node))
	}
	m.owners = owners
	m.members = members
	m.mu.Unlock()
	m.opts.OnPeers(peers)
}

func countOf(owners map[string]Owner, node string) int {
	n := 0
	for _, o := range owners {
		if o.Node == node {
			n++
		}
	}
	return n
}
