// Package membership decides which of the system's own processes are members, and which
// entries a handover (of an instance's pool, a key range or a share of slots) still waits
// for. The input is the join and leave records of the log, and the acknowledgements on
// members' heartbeats; a member leaves the list only by its own record, by a restart under
// the same id, or when the planner finds it gone in the platform's instance list. The package
// fleetlog applies the records, and the planner asks for the barrier.
package membership

import (
	"maps"
	"slices"

	"cyclamenwheel/internal/fold"
)

// Role is a process's kind.
type Role string

// Roles.
const (
	RoleEntry   Role = "entry"
	RoleControl Role = "control"
)

// Reasons for rejecting membership records.
const (
	// ReasonAlreadyMember rejects a join of a boot that is already a member.
	ReasonAlreadyMember fold.Reason = "already_member"
	// ReasonNotMember rejects a leave of a process that is not a member, or of an older boot.
	ReasonNotMember fold.Reason = "not_member"
	// ReasonNotAllowed rejects a leave for another process by one that is not the planner.
	ReasonNotAllowed fold.Reason = "not_allowed"
)

// Member is one process.
type Member struct {
	ID     string `cbor:"1,keyasint" json:"id"`
	Role   Role   `cbor:"2,keyasint" json:"role"`
	BootID string `cbor:"3,keyasint" json:"boot_id"`
	Zone   string `cbor:"4,keyasint" json:"zone"`
	// Instance is the platform's id of the instance that it runs on.
	Instance string `cbor:"5,keyasint" json:"instance"`
	// PeerAddr, OperatorAddr and CallerAddr are host:port with IP addresses.
	PeerAddr     string `cbor:"6,keyasint" json:"peer_addr"`
	OperatorAddr string `cbor:"7,keyasint" json:"operator_addr"`
	CallerAddr   string `cbor:"8,keyasint,omitempty" json:"caller_addr,omitempty"`
	// Joined is the offset at which it became a member.
	Joined uint64 `cbor:"9,keyasint" json:"joined_offset"`
}

// Join makes the author a member. A join under a known id with another boot id is a restart:
// the older boot has ended.
type Join struct {
	Member Member `cbor:"1,keyasint"`
}

// Leave ends a membership.
type Leave struct {
	ID     string `cbor:"1,keyasint"`
	BootID string `cbor:"2,keyasint"`
	// Graceful is set by the member itself once it has nothing in flight.
	Graceful bool `cbor:"3,keyasint"`
	// Why tells operators why the planner removed the member.
	Why string `cbor:"4,keyasint,omitempty"`
}

// State is the membership after the records applied so far.
type State struct {
	// Version is the offset of the newest change.
	Version uint64            `cbor:"1,keyasint" json:"version"`
	Members map[string]Member `cbor:"2,keyasint" json:"members"`
}

// Lost is a member that ended without a graceful leave.
type Lost struct {
	ID     string
	BootID string
}

// ApplyJoin applies a join; lost is the earlier boot that it replaces, if any.
func (s *State) ApplyJoin(meta fold.Meta, join Join) (v fold.Verdict, lost *Lost) {
	if join.Member.ID == "" || join.Member.BootID == "" || join.Member.ID != meta.Author {
		return fold.Reject(fold.ReasonMalformed, "a process may only join for itself"), nil
	}
	if old, ok := s.Members[join.Member.ID]; ok {
		if old.BootID == join.Member.BootID {
			return fold.Reject(ReasonAlreadyMember, ""), nil
		}
		lost = &Lost{ID: old.ID, BootID: old.BootID}
	}
	if s.Members == nil {
		s.Members = make(map[string]Member)
	}
	join.Member.Joined = meta.Offset
	s.Members[join.Member.ID] = join.Member
	s.Version = meta.Offset
	return fold.Accept(), lost
}

// ApplyLeave applies a leave. byPlanner reports that the author holds the planner lease at
// this offset.
func (s *State) ApplyLeave(meta fold.Meta, leave Leave, byPlanner bool) (v fold.Verdict, lost *Lost) {
	old, ok := s.Members[leave.ID]
	if !ok || old.BootID != leave.BootID {
		return fold.Reject(ReasonNotMember, leave.ID), nil
	}
	if meta.Author != leave.ID && !byPlanner {
		return fold.Reject(ReasonNotAllowed, "only the planner may remove other processes"), nil
	}
	delete(s.Members, leave.ID)
	s.Version = meta.Offset
	if !leave.Graceful || meta.Author != leave.ID {
		lost = &Lost{ID: leave.ID, BootID: leave.BootID}
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

// IsMember reports whether the process is a member under that boot id.
func (s *State) IsMember(id, bootID string) bool {
	m, ok := s.Members[id]
	return ok && m.BootID == bootID
}
