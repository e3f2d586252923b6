package shards

import (
	"maps"
	"math"
	"slices"
	"time"

	"cyclamenwheel/internal/rendezvous"
)

// distribute returns the owner of each duty. A duty stays with the member that claimed it
// last, if that member is eligible and does not have far more than its share; otherwise it
// goes to the highest-ranked eligible member below the bound on duties.
// Nodes that know different members, pools or holders may place a duty differently for a
// moment; the duty's epoch keeps that safe.
//
// Load: two of many nodes are restarted each second. Distributed by rank alone, a duty moves
// back to a node that has just joined, and the bound on each node's share moves other duties
// in turn between nodes that were not restarted. Each move pauses its pool, and the
// reservations of endpoints for long-running tasks are lost.
func distribute(pools []string, members []member, holders map[string]holder) map[string]Owner {
	names := append([]string{fleetDuty}, pools...)
	owners := map[string]Owner{}
	if len(members) == 0 {
		return owners
	}
	candidates := eligible(members)
	byNode, byName := map[string]member{}, map[string]member{}
	for _, candidate := range candidates {
		byNode[candidate.Node], byName[candidate.name] = candidate, candidate
	}
	restarted, others := splitRestarted(candidates)
	maxDuties := int(math.Ceil(dutySlack * float64(len(names)) / float64(len(byNode))))
	load := map[string]int{}
	for _, name := range names {
		if candidate, isMember := byName[holders[name].Member]; isMember && load[candidate.Node] < maxDuties+extraKeptDuties {
			load[candidate.Node]++
			owners[name] = candidate.Owner
		}
	}
	for _, name := range names {
		if _, kept := owners[name]; kept {
			continue
		}
		key := []byte("duty " + name)
		for _, node := range append(rendezvous.Weighted(key, restarted), rendezvous.Weighted(key, others)...) {
			if load[node] < maxDuties {
				load[node]++
				owners[name] = byNode[node].Owner
				break
			}
		}
	}
	return owners
}

// restartedAfter is how much later than the oldest member a member must have started to
// count as restarted: nodes that start together do so within a second, and their clocks
// differ by as much.
const restartedAfter = 5 * time.Second

// splitRestarted returns the CPU shares of the members that were restarted after the others
// had started, and those of the others.
//
// Load: all nodes are restarted in turn. A duty that goes to a node that is yet to be
// restarted moves again seconds later; restarted nodes stay.
func splitRestarted(members []member) (restarted, others map[string]float64) {
	restarted, others = map[string]float64{}, map[string]float64{}
	oldest := int64(math.MaxInt64)
	for _, candidate := range members {
		oldest = min(oldest, candidate.startedMs)
	}
	for _, candidate := range members {
		if candidate.startedMs-oldest > restartedAfter.Milliseconds() {
			restarted[candidate.Node] = candidate.processor
		} else {
			others[candidate.Node] = candidate.processor
		}
	}
	return restarted, others
}

// minProcessorShare is the share of the largest member's CPU that a member needs to get a
// duty. Load: nodes differ by a factor of four, and polls alone keep a small node busy when
// a pool is at its peak, so that callers get no answers from it.
const minProcessorShare = 0.6

// eligible returns the members that may have duties.
func eligible(members []member) []member {
	largest := 0.0
	for _, candidate := range members {
		largest = max(largest, candidate.processor)
	}
	return slices.DeleteFunc(slices.Clone(members), func(candidate member) bool { return candidate.processor < minProcessorShare*largest })
}

// enoughMembers is how many members the group needs: several for each of about five duties,
// and fewer than the group's partitions (24), so that each member holds one and is visible.
const enoughMembers = 16

// isNeeded reports whether the group needs this process.
func (m *Manager) isNeeded(joined bool) bool {
	self, ok := parseMember(m.opts.Member)
	if !ok {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return belongsInGroup(self, joined, m.members)
}

// belongsInGroup reports whether a process should be in the group, by the members last
// read. If none were read, every process joins.
//
// Load: there are more nodes than partitions, and two are restarted each second. The group
// reassigns its partitions each time, a member without a partition is not visible, and the
// duties move among the members that appear and disappear; each move pauses its pool. So
// nodes too weak for any duty stay outside, and so do new ones if there are enough members.
func belongsInGroup(self member, joined bool, members []member) bool {
	visible, largest := false, self.processor
	for _, other := range members {
		visible = visible || other.Node == self.Node
		largest = max(largest, other.processor)
	}
	if self.processor < minProcessorShare*largest {
		return false
	}
	return joined && visible || len(eligible(members)) < enoughMembers
}

// dutySlack is how far above the mean a member's number of duties may be: without slack, one
// member that joins or leaves moves the duties of many.
const dutySlack = 1.5

// extraKeptDuties is how many duties a member keeps beyond the bound for new ones. With many
// members that bound is one duty each, and a second one costs less than moving it.
const extraKeptDuties = 1

// distributeDuties sets the owner of each duty by the partitions' members, without those
// that have announced that they leave.
func (m *Manager) distributeDuties(pools []string, partitionMembers map[int]string) {
	m.mu.Lock()
	partitionMembers = maps.Clone(partitionMembers)
	maps.DeleteFunc(partitionMembers, func(_ int, name string) bool { return m.departed[name] })
	members, peers := parseMembers(partitionMembers)
	owners := map[string]Owner{}
	if len(pools) > 0 {
		owners = distribute(pools, members, m.holders)
	}
	m.holdersCurrent = ownersMatchHolders(owners, members, m.holders)
	if !maps.Equal(m.owners, owners) {
		m.opts.Logger.Info("duties spread", "members", len(members), "mine", countDuties(owners, m.opts.Node))
	}
	m.owners = owners
	m.members = members
	m.mu.Unlock()
	m.opts.OnPeers(peers)
}

func countDuties(owners map[string]Owner, node string) int {
	n := 0
	for _, o := range owners {
		if o.Node == node {
			n++
		}
	}
	return n
}
