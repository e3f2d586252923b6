package shards

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

func membersWith(processors ...float64) []member {
	var out []member
	for i, p := range processors {
		out = append(out, member{Owner{Node: fmt.Sprintf("n-%02d", i), Addr: "127.0.0.1:1"}, p})
	}
	return out
}

var pools = []string{"a", "b", "c", "d", "e"}

// A pool at its peak keeps a small node busy with its renewals alone; its
// callers wait in vain. Only nodes near the strongest get duties.
func TestWeakNodesGetNoDuties(t *testing.T) {
	g := NewWithT(t)
	members := membersWith(0.8, 0.19, 0.19, 0.7, 0.3, 0.6)
	for name, owner := range spread(pools, members) {
		g.Expect(owner.Node).To(BeElementOf("n-00", "n-03", "n-05"), name)
	}
}

// Members come and go one after the other while nodes are replaced. Each time
// only few duties beside the one's own may change hands: each change costs its
// pool a pause.
func TestOneMemberMovesFewDuties(t *testing.T) {
	g := NewWithT(t)
	members := membersWith(0.4, 0.4, 0.4, 0.4, 0.4, 0.4, 0.4)
	whole := spread(pools, members)
	g.Expect(whole).To(HaveLen(len(pools) + 1))
	for i := range members {
		rest := append(append([]member(nil), members[:i]...), members[i+1:]...)
		moved := 0
		for name, owner := range spread(pools, rest) {
			if whole[name] != owner && whole[name].Node != members[i].Node {
				moved++
			}
		}
		g.Expect(moved).To(BeNumerically("<=", 1), members[i].Node)
	}
}

func TestNoMembersNoDuties(t *testing.T) {
	NewWithT(t).Expect(spread(pools, nil)).To(BeEmpty())
}

func TestMemberNames(t *testing.T) {
	g := NewWithT(t)
	got, ok := parseMember(MemberName("n", "10.0.0.1:7", "boot", 0.25))
	g.Expect(ok).To(BeTrue())
	g.Expect(got).To(Equal(member{Owner{"n", "10.0.0.1:7"}, 0.25}))
	for _, wrong := range []string{"", "n", "n|a|b", "n|a|b|x"} {
		_, ok := parseMember(wrong)
		g.Expect(ok).To(BeFalse(), wrong)
	}
}

// Nodes restart one after the other. Those that will never get a duty would have
// the group dealt anew each time, and duties would move among the others.
func TestWeakNodesStayOutOfTheGroup(t *testing.T) {
	g := NewWithT(t)
	members := membersWith(0.8, 0.8, 0.19)
	weak := member{Owner{Node: "weak"}, 0.19}
	g.Expect(wanted(weak, false, members)).To(BeFalse())
	g.Expect(wanted(members[2], true, members)).To(BeFalse())
	g.Expect(wanted(members[0], true, members)).To(BeTrue())
}

// All strong nodes lose power. The weak ones see no members once these have
// lapsed, and have to step in.
func TestWeakNodesJoinWhenAllMembersHaveGone(t *testing.T) {
	g := NewWithT(t)
	weak := membersWith(0.19, 0.19)
	g.Expect(wanted(weak[0], false, nil)).To(BeTrue())
	g.Expect(wanted(weak[0], true, weak)).To(BeTrue())
	g.Expect(wanted(weak[0], false, weak[1:])).To(BeTrue())
}

// Hundreds of equal nodes start at once and all join. Those that hold no
// partition are seen by nobody and go; those that are seen stay.
func TestEnoughMembersStay(t *testing.T) {
	g := NewWithT(t)
	processors := make([]float64, mostMembers+4)
	for i := range processors {
		processors[i] = 0.4
	}
	members := membersWith(processors...)
	unseen := member{Owner{Node: "unseen"}, 0.4}
	g.Expect(wanted(unseen, true, members)).To(BeFalse())
	g.Expect(wanted(members[len(members)-1], true, members)).To(BeTrue())
	g.Expect(wanted(unseen, false, members[:mostMembers-1])).To(BeTrue())
}
