package membership_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/fold"
	"cyclamenwheel/internal/membership"
)

func join(s *membership.State, id, boot string, offset uint64) {
	s.ApplyJoin(fold.Meta{Offset: offset, Author: id}, membership.Join{
		Member: membership.Member{ID: id, BootID: boot, Role: membership.RoleEntry},
	})
}

// A move began at offset 10. The barrier is empty only when every entry that was a member
// then has acted on the record and has no request in flight to the instance.
func TestBarrier(t *testing.T) {
	for name, c := range map[string]struct {
		ack  membership.Ack
		want string
	}{
		"no report":                    {membership.Ack{}, membership.CauseNotHeard},
		"report from before a restart": {membership.Ack{BootID: "b0", Offset: 99}, membership.CauseNotHeard},
		"record not yet acknowledged":  {membership.Ack{BootID: "b1", Offset: 9}, membership.CauseNotAcked},
		"request in flight":            {membership.Ack{BootID: "b1", Offset: 10, Busy: []string{"w"}}, membership.CauseInFlight},
		"request to another instance":  {membership.Ack{BootID: "b1", Offset: 10, Busy: []string{"x"}}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var s membership.State
			join(&s, "e1", "b1", 1)
			waiting := s.Barrier(map[string]membership.Ack{"e1": c.ack}, "w", 10)
			if c.want == "" {
				g.Expect(waiting).To(BeEmpty())
				return
			}
			g.Expect(waiting).To(Equal([]membership.Waiting{{Member: "e1", Cause: c.want}}))
		})
	}
}

// An entry that joined after the move began applied the record before it was a member, so it
// never used the instance and the barrier does not wait for it.
func TestBarrierDoesNotWaitForLaterMembers(t *testing.T) {
	g := NewWithT(t)
	var s membership.State
	join(&s, "e1", "b1", 11)
	g.Expect(s.Barrier(nil, "w", 10)).To(BeEmpty())
}

// A process can't remove another from the members, unless it is the planner that found it gone
// in the platform's list; and only the boot that it names is removed.
func TestLeave(t *testing.T) {
	g := NewWithT(t)
	var s membership.State
	join(&s, "e1", "b1", 1)
	leave := membership.Leave{ID: "e1", BootID: "b1"}
	v, _ := s.ApplyLeave(fold.Meta{Author: "e2"}, leave, false)
	g.Expect(v.Reason).To(Equal(membership.ReasonNotAllowed))
	join(&s, "e1", "b2", 2)
	v, _ = s.ApplyLeave(fold.Meta{Author: "p"}, leave, true)
	g.Expect(v.Reason).To(Equal(membership.ReasonNotMember))
	_, lost := s.ApplyLeave(fold.Meta{Author: "p"}, membership.Leave{ID: "e1", BootID: "b2"}, true)
	g.Expect(lost).To(Equal(&membership.Lost{ID: "e1", BootID: "b2"}))
}
