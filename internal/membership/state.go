// Package membership keeps the list of the system's own live processes in the
// fold. Whatever must be handed over (an instance's pool, a key range, a share
// of slots) waits for the members listed here, so a member leaves the list
// only by its own word, by a restart under the same id, or when the platform's
// instance list says that it is gone.
package membership

import (
	"maps"
	"slices"

	"cyclamenwheel/internal/fold"
)

// Role is a process's duty.
type Role string

// Roles.
const (
	RoleEntry   Role = "entry"
	RoleControl Role = "control"
)

// Reasons for rejecting membership records.
const (
	// ReasonAlreadyMember marks a join of a boot that is a member.
	ReasonAlreadyMember fold.Reason = "already_member"
	// ReasonNotMember marks a leave of a process that is not a member, or of
	// an older boot.
	ReasonNotMember fold.Reason = "not_member"
	// ReasonNotAllowed marks a leave written for somebody else by a process
	// that is not the planner.
	ReasonNotAllowed fold.Reason = "not_allowed"
)

// Member is one process.
type Member struct {
	ID     string `cbor:"1,keyasint" json:"id"`
	Role   Role   `cbor:"2,keyasint" json:"role"`
	BootID string `cbor:"3,keyasint" json:"boot_id"`
	Zone   string `cbor:"4,keyasint" json:"zone"`
	// Instance is the platform's id of the instance it runs on.
	Instance string `cbor:"5,keyasint" json:"instance"`
	// PeerAddr, OperatorAddr and CallerAddr are host:port with IP numbers.
	PeerAddr     string `cbor:"6,keyasint" json:"peer_addr"`
	OperatorAddr string `cbor:"7,keyasint" json:"operator_addr"`
	CallerAddr   string `cbor:"8,keyasint,omitempty" json:"caller_addr,omitempty"`
	// Joined is the offset at which it became a member.
	Joined uint64 `cbor:"9,keyasint" json:"joined_offset"`
}

// Join makes the author a member. A join under a known id with another boot id
// is a restart: the older boot has ended.
type Join struct {
	Member Member `cbor:"1,keyasint"`
}

// Leave ends a membership.
type Leave struct {
	ID     string `cbor:"1,keyasint"`
	BootID string `cbor:"2,keyasint"`
	// Graceful is set by the member itself once nothing is in flight.
	Graceful bool `cbor:"3,keyasint"`
	// Why tells operators what the planner saw.
	Why string `cbor:"4,keyasint,omitempty"`
}

// State is the folded membership.
type State struct {
	// Version is the offset of the newest change.
	Version uint64            `cbor:"1,keyasint" json:"version"`
	Members map[string]Member `cbor:"2,keyasint" json:"members"`
}

// Lost tells of a member that went without a graceful leave.
type Lost struct {
	ID     string
	BootID string
}

// ApplyJoin folds a join; lost names an earlier boot that it replaces.
func (s *State) ApplyJoin(m fold.Meta, j Join) (v fold.Verdict, lost *Lost) {
	if j.Member.ID == "" || j.Member.BootID == "" || j.Member.ID != m.Author {
		return fold.Reject(fold.ReasonMalformed, "a process joins for itself"), nil
	}
	if old, ok := s.Members[j.Member.ID]; ok {
		if old.BootID == j.Member.BootID {
			return fold.Reject(ReasonAlreadyMember, ""), nil
		}
		lost = &Lost{ID: old.ID, BootID: old.BootID}
	}
	if s.Members == nil {
		s.Members = make(map[string]Member)
	}
	j.Member.Joined = m.Offset
	s.Members[j.Member.ID] = j.Member
	s.Version = m.Offset
	return fold.Accept(), lost
}

// ApplyLeave folds a leave. byPlanner tells that the author holds the planner
// lease at this offset.
func (s *State) ApplyLeave(m fold.Meta, l Leave, byPlanner bool) (v fold.Verdict, lost *Lost) {
	old, ok := s.Members[l.ID]
	if !ok || old.BootID != l.BootID {
		return fold.Reject(ReasonNotMember, l.ID), nil
	}
	if m.Author != l.ID && !byPlanner {
		return fold.Reject(ReasonNotAllowed, "only the planner lists others as gone"), nil
	}
	delete(s.Members, l.ID)
	s.Version = m.Offset
	if !l.Graceful || m.Author != l.ID {
		lost = &Lost{ID: l.ID, BootID: l.BootID}
	}
	return fold.Accept(), lost
}

// WithRole returns the members of a role, ordered by id.
func (s *State) WithRole(role Role) []Member {
	var out []Member
	for _, id := range slices.Sorted(maps.Keys(s.Members)) {
		if s.Members[id].Role == role {
			out = append(out, s.Members[id])
		}
	}
	return out
}

// Is reports whether the process is a member at that boot.
func (s *State) Is(id, bootID string) bool {
	m, ok := s.Members[id]
	return ok && m.BootID == bootID
}
