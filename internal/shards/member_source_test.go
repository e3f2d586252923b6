package shards

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/published"
	"cyclamenwheel/internal/tenure"
	"cyclamenwheel/platform"
)

// countedGroup is a group whose readings are counted; it is not joined.
type countedGroup struct {
	Membership
	readings int
	members  map[int]string
}

func (c *countedGroup) Owners(context.Context, string) (map[int]string, error) {
	c.readings++
	return c.members, nil
}

// emptyJournal is a store without records.
type emptyJournal struct{ tenure.Journal }

func (emptyJournal) Newest(context.Context, string) (platform.Page, error) {
	return platform.Page{}, nil
}

// outsider returns a manager outside a group of n members, of which only those in answering answer.
func outsider(n int, answering map[string]MembersResult) (*Manager, *countedGroup, *[]string) {
	groupOfN := &countedGroup{members: map[int]string{}}
	for i := range n {
		node := fmt.Sprintf("member-%d", i)
		groupOfN.members[i] = MemberName(node, "127.0.0.1:1", "boot", time.UnixMilli(1), 0.8)
	}
	asked := &[]string{}
	m := NewManager(Options{Node: "outsider", Member: MemberName("outsider", "127.0.0.1:2", "b", time.UnixMilli(1), 0.2), Membership: groupOfN,
		Store: tenure.Store{Journal: emptyJournal{}}, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), OnPeers: func(map[string]string) {},
		Config: func() published.Digest { return published.Digest{} }, ObserveConfig: func(string, time.Duration, published.Digest) {},
		AskMembers: func(_ context.Context, node string, in MembersCall) (MembersResult, error) {
			*asked = append(*asked, node)
			result, ok := answering[node]
			if !ok {
				return MembersResult{}, unreachableError{}
			}
			if result.Fingerprint == in.Known {
				result.PartitionMembers = nil
			}
			return result, nil
		}})
	m.SetPools([]string{"a"})
	m.refreshMembers(context.Background(), 0)
	return m, groupOfN, asked
}

// later makes the next reading due.
func later(m *Manager) { m.membersReadAt -= time.Hour }

func answerOfAll(members map[int]string) map[string]MembersResult {
	out := map[string]MembersResult{}
	for _, name := range members {
		parsed, _ := parseMember(name)
		out[parsed.Node] = MembersResult{PartitionMembers: members, Fingerprint: fingerprint(members, nil)}
	}
	return out
}

// Guards against readings of the store by each of hundreds of nodes without a duty.
func TestNodesOutsideTheGroupAskOneMember(t *testing.T) {
	g := NewWithT(t)
	answers := map[string]MembersResult{}
	m, store, asked := outsider(16, answers)
	g.Expect(store.readings).To(Equal(1))
	for node, answer := range answerOfAll(store.members) {
		answers[node] = answer
	}
	for range 20 {
		later(m)
		m.refreshMembers(context.Background(), nonMemberInterval)
	}
	g.Expect(store.readings).To(Equal(1))
	g.Expect(*asked).To(HaveLen(20))
	g.Expect(*asked).To(HaveEach((*asked)[0]), "one link is enough")
}

// Guards against nodes outside the group that never learn that all members have gone, and so never
// take over their duties.
func TestNodesOutsideTheGroupReadTheStoreWhileNoMemberAnswers(t *testing.T) {
	g := NewWithT(t)
	m, store, asked := outsider(16, nil)
	store.members = map[int]string{}
	later(m)
	m.refreshMembers(context.Background(), nonMemberInterval)
	g.Expect(*asked).To(HaveLen(maxPeersAsked))
	g.Expect(store.readings).To(Equal(2))
	g.Expect(m.members).To(BeEmpty())
	_, owned := m.OwnerOf("a")
	g.Expect(owned).To(BeFalse())
}

// Guards against calls to a former owner for as long as a member's reading is out of date.
func TestACallThatFindsNoOwnerReadsTheStore(t *testing.T) {
	g := NewWithT(t)
	answers := map[string]MembersResult{}
	m, store, asked := outsider(16, answers)
	old := answerOfAll(store.members)
	for node, answer := range old {
		answer.AgeMs = time.Minute.Milliseconds() / 30
		answers[node] = answer
	}
	delete(store.members, 3)
	later(m)
	m.refreshMembers(context.Background(), minMembersInterval)
	g.Expect(*asked).To(BeEmpty())
	g.Expect(m.members).To(HaveLen(15))
	later(m)
	m.refreshMembers(context.Background(), nonMemberInterval)
	g.Expect(*asked).To(HaveLen(1))
	g.Expect(m.members).To(HaveLen(15), "the member's reading is older than this node's own")
}

// Guards against a node that finds no owner of a pool that was added while the members stay the same.
func TestANewPoolHasAnOwnerThoughTheMembersAreUnchanged(t *testing.T) {
	g := NewWithT(t)
	answers := map[string]MembersResult{}
	m, store, _ := outsider(16, answers)
	for node, answer := range answerOfAll(store.members) {
		answers[node] = answer
	}
	for _, pools := range [][]string{{"a"}, {"a", "b"}} {
		m.SetPools(pools)
		later(m)
		m.refreshMembers(context.Background(), nonMemberInterval)
	}
	g.Expect(store.readings).To(Equal(1))
	_, owned := m.OwnerOf("b")
	g.Expect(owned).To(BeTrue())
}

// Guards against a member's answer that leaves out a change which this node has missed.
func TestAnswersAreLeftOutOnlyIfTheCallerHasThem(t *testing.T) {
	g := NewWithT(t)
	m, store, _ := outsider(16, nil)
	first := m.membersResult(MembersCall{})
	g.Expect(first.PartitionMembers).To(HaveLen(16))
	again := m.membersResult(MembersCall{Known: first.Fingerprint})
	g.Expect(again.PartitionMembers).To(BeEmpty())
	m.mergeHolders(map[string]holder{"a": {Member: "x", Epoch: 2}})
	g.Expect(m.membersResult(MembersCall{Known: first.Fingerprint}).PartitionMembers).To(HaveLen(16), "a duty has another holder")
	m.peerReading = first.Fingerprint
	m.storePartitionMembers(store.members)
	g.Expect(m.peerReading).To(BeZero(), "after a reading of the store, a peer's answer must be whole")
}
