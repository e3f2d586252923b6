package shards

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func membersWith(processors ...float64) []member {
	var out []member
	for i, p := range processors {
		name := fmt.Sprintf("n-%02d", i)
		out = append(out, member{Owner: Owner{Node: name, Addr: "127.0.0.1:1"}, name: name, processor: p})
	}
	return out
}

var pools = []string{"a", "b", "c", "d", "e"}

// Renewals alone keep a small node busy when a pool is at its peak, so that its callers wait
// in vain. Only nodes near the strongest get duties.
func TestWeakNodesGetNoDuties(t *testing.T) {
	g := NewWithT(t)
	members := membersWith(0.8, 0.19, 0.19, 0.7, 0.3, 0.6)
	for name, owner := range distribute(pools, members, nil) {
		g.Expect(owner.Node).To(BeElementOf("n-00", "n-03", "n-05"), name)
	}
}

// Members join and leave one after the other while nodes are replaced. Each time, few duties
// of other members may change owners: each change pauses its pool.
func TestOneMemberMovesFewDuties(t *testing.T) {
	g := NewWithT(t)
	members := membersWith(0.4, 0.4, 0.4, 0.4, 0.4, 0.4, 0.4)
	whole := distribute(pools, members, nil)
	g.Expect(whole).To(HaveLen(len(pools) + 1))
	for i := range members {
		rest := append(append([]member(nil), members[:i]...), members[i+1:]...)
		moved := 0
		for name, owner := range distribute(pools, rest, nil) {
			if whole[name] != owner && whole[name].Node != members[i].Node {
				moved++
			}
		}
		g.Expect(moved).To(BeNumerically("<=", 1), members[i].Node)
	}
}

func TestNoMembersNoDuties(t *testing.T) {
	NewWithT(t).Expect(distribute(pools, nil, nil)).To(BeEmpty())
}

func TestMemberNames(t *testing.T) {
	g := NewWithT(t)
	name := MemberName("n", "10.0.0.1:7", "boot", time.UnixMilli(77), 0.25)
	got, ok := parseMember(name)
	g.Expect(ok).To(BeTrue())
	g.Expect(got).To(Equal(member{Owner: Owner{"n", "10.0.0.1:7"}, name: name, startedMs: 77, processor: 0.25}))
	for _, wrong := range []string{"", "n", "n|a|b", "n|a|b|1", "n|a|b|x|1", "n|a|b|1|x"} {
		_, ok := parseMember(wrong)
		g.Expect(ok).To(BeFalse(), wrong)
	}
}

// Nodes restart one after the other. If those that never get a duty joined the group, its
// partitions would be reassigned each time, and duties would move among the others.
func TestWeakNodesStayOutOfTheGroup(t *testing.T) {
	g := NewWithT(t)
	members := membersWith(0.8, 0.8, 0.19)
	weak := member{Owner: Owner{Node: "weak"}, name: "weak", processor: 0.19}
	g.Expect(belongsInGroup(weak, false, members)).To(BeFalse())
	g.Expect(belongsInGroup(members[2], true, members)).To(BeFalse())
	g.Expect(belongsInGroup(members[0], true, members)).To(BeTrue())
}

// All strong nodes lose power. The weak ones see no members once the memberships have
// expired, and have to take over.
func TestWeakNodesJoinAnEmptyGroup(t *testing.T) {
	g := NewWithT(t)
	weak := membersWith(0.19, 0.19)
	g.Expect(belongsInGroup(weak[0], false, nil)).To(BeTrue())
	g.Expect(belongsInGroup(weak[0], true, weak)).To(BeTrue())
	g.Expect(belongsInGroup(weak[0], false, weak[1:])).To(BeTrue())
}

// Hundreds of equal nodes start at once and all join. Members without a partition are
// visible to nobody and leave; visible members stay.
func TestEnoughMembersStay(t *testing.T) {
	g := NewWithT(t)
	processors := make([]float64, enoughMembers+4)
	for i := range processors {
		processors[i] = 0.4
	}
	members := membersWith(processors...)
	unseen := member{Owner: Owner{Node: "unseen"}, name: "unseen", processor: 0.4}
	g.Expect(belongsInGroup(unseen, true, members)).To(BeFalse())
	g.Expect(belongsInGroup(members[len(members)-1], true, members)).To(BeTrue())
	g.Expect(belongsInGroup(unseen, false, members[:enoughMembers-1])).To(BeTrue())
}

// Guards against a restarted node that takes duties from live nodes, so that callers wait for
// a new owner again and again while all nodes are restarted in turn. A duty moves only when
// its own holder leaves.
func TestDutiesStayWithTheirHoldersWhileOthersRestart(t *testing.T) {
	g := NewWithT(t)
	all := membersWith(0.8, 0.8, 0.8, 0.8, 0.8, 0.8, 0.8, 0.8, 0.8, 0.8, 0.8, 0.8, 0.8, 0.8, 0.8, 0.8)
	holders := map[string]holder{}
	claim := func(owners map[string]Owner) (moved int) {
		for duty, owner := range owners {
			if holders[duty].Member != owner.Node {
				moved++
				holders[duty] = holder{Member: owner.Node, Epoch: holders[duty].Epoch + 1}
			}
		}
		return moved
	}
	g.Expect(claim(distribute(pools, all, holders))).To(Equal(len(pools) + 1))
	for i := range all {
		held := 0
		for _, h := range holders {
			if h.Member == all[i].name {
				held++
			}
		}
		rest := append(append([]member(nil), all[:i]...), all[i+1:]...)
		g.Expect(claim(distribute(pools, rest, holders))).To(Equal(held), "%s leaves", all[i].name)
		g.Expect(claim(distribute(pools, all, holders))).To(BeZero(), "%s returns", all[i].name)
	}
}

// One node was the only member for a while and has all duties. Once the others are back it
// keeps only a few more than its share.
func TestASoleMemberReleasesDutiesWhenOthersReturn(t *testing.T) {
	g := NewWithT(t)
	all := membersWith(0.4, 0.4, 0.4, 0.4, 0.4, 0.4, 0.4)
	holders := map[string]holder{fleetDuty: {Member: "n-00", Epoch: 1}}
	for _, p := range pools {
		holders[p] = holder{Member: "n-00", Epoch: 1}
	}
	kept := 0
	for _, owner := range distribute(pools, all, holders) {
		if owner.Node == "n-00" {
			kept++
		}
	}
	g.Expect(kept).To(BeNumerically("<=", 3))
}

// countOwnerChanges restarts nodes in turn and returns how often a duty changes owners.
func countOwnerChanges(set int, withStartTimes bool) int {
	var all []member
	for i := range 7 {
		name := fmt.Sprintf("set-%d-n-%d", set, i)
		all = append(all, member{Owner: Owner{Node: name}, name: name, processor: 0.4})
	}
	holders := map[string]holder{}
	changes := -len(pools) - 1 // the first claims
	claim := func(members []member) {
		for duty, owner := range distribute(pools, members, holders) {
			for _, b := range members {
				if b.Owner == owner && holders[duty].Member != b.name {
					changes++
					holders[duty] = holder{Member: b.name, Epoch: holders[duty].Epoch + 1}
				}
			}
		}
	}
	claim(all)
	for i := range all {
		claim(append(append([]member(nil), all[:i]...), all[i+1:]...))
		all[i].name += "-again"
		if withStartTimes {
			all[i].startedMs = int64(10000 + 2000*i)
		}
		claim(all)
	}
	return changes
}

// Guards against duties that move to a node which is about to be restarted, so that a pool's
// callers wait for a new owner three times while the nodes are restarted in turn.
func TestDutiesGoToNodesThatHaveBeenRestarted(t *testing.T) {
	g := NewWithT(t)
	const sets = 200
	byRank, byAge := 0, 0
	for set := range sets {
		byRank += countOwnerChanges(set, false)
		byAge += countOwnerChanges(set, true)
	}
	duties := float64(sets * (len(pools) + 1))
	t.Logf("owner changes per duty: %.2f by rank alone, %.2f with start times", float64(byRank)/duties, float64(byAge)/duties)
	g.Expect(byAge).To(BeNumerically("<", byRank))
}

// A store that takes 300 ms to answer still lists a member that has announced that it leaves;
// its pools would have no owner for as long.
func TestADepartedMemberLosesItsDutiesAtOnce(t *testing.T) {
	g := NewWithT(t)
	m := NewManager(Options{Node: "n-1", Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), OnPeers: func(map[string]string) {}})
	stays, leaves := MemberName("n-1", "127.0.0.1:1", "b", time.UnixMilli(1), 0.4), MemberName("n-2", "127.0.0.1:2", "b", time.UnixMilli(1), 0.4)
	m.SetPools(pools)
	m.partitionMembers = map[int]string{0: stays, 1: leaves}
	m.redistributeDuties()
	g.Expect(countDuties(m.owners, "n-2")).To(BeNumerically(">", 0))
	m.markDeparted(leaves)
	m.redistributeDuties()
	g.Expect(countDuties(m.owners, "n-1")).To(Equal(len(pools) + 1))
	m.storePartitionMembers(m.partitionMembers)
	g.Expect(m.departed).To(HaveLen(1), "the store still lists it")
	m.storePartitionMembers(map[int]string{0: stays})
	g.Expect(m.departed).To(BeEmpty())
}
