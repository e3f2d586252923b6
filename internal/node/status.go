package node

import (
	"maps"
	"slices"

	"cyclamenwheel/internal/membership"
	"cyclamenwheel/internal/planlease"
)

// MemberStatus is what this process knows of one member.
type MemberStatus struct {
	ID           string          `json:"id"`
	Role         membership.Role `json:"role"`
	Zone         string          `json:"zone"`
	OperatorAddr string          `json:"operator_addr"`
	CallerAddr   string          `json:"caller_addr,omitempty"`
	Ready        bool            `json:"ready"`
	Generation   uint64          `json:"generation"`
	Acked        uint64          `json:"acked_offset"`
	// HeardMillis is how long ago it was heard; -1 for never.
	HeardMillis int64 `json:"heard_ms_ago"`
}

// Status is the process's view of the whole.
type Status struct {
	ID         string          `json:"id"`
	Role       membership.Role `json:"role"`
	Offset     uint64          `json:"offset"`
	Acked      uint64          `json:"acked_offset"`
	Generation uint64          `json:"generation"`
	Operator   string          `json:"operator"`
	Deployment string          `json:"deployment"`
	Lease      planlease.State `json:"lease"`
	LogError   string          `json:"log_error,omitempty"`
	Members    []MemberStatus  `json:"members"`
}

// Status describes the process; loop-only.
func (n *Node) Status() Status {
	st := n.State()
	out := Status{
		ID: n.opts.Self.ID, Role: n.opts.Self.Role, Offset: st.Offset, Acked: n.ackedOffset,
		Generation: st.Manifest.Generation, Operator: st.Manifest.Operator,
		Lease: st.Lease, LogError: n.logErr,
	}
	if m := st.Manifest.Current(); m != nil {
		out.Deployment = m.Deployment
	}
	for _, id := range slices.Sorted(maps.Keys(st.Members.Members)) {
		out.Members = append(out.Members, n.memberStatus(st.Members.Members[id]))
	}
	return out
}

func (n *Node) memberStatus(m membership.Member) MemberStatus {
	ms := MemberStatus{
		ID: m.ID, Role: m.Role, Zone: m.Zone, OperatorAddr: m.OperatorAddr,
		CallerAddr: m.CallerAddr, HeardMillis: -1,
	}
	if m.ID == n.opts.Self.ID {
		ms.Generation, ms.Acked, ms.HeardMillis = n.State().Manifest.Generation, n.ackedOffset, 0
		ms.Ready = len(n.NotReady()) == 0
		return ms
	}
	if h := n.heard[m.ID]; h != nil && h.Identity.BootID == m.BootID {
		ms.Generation, ms.Acked, ms.Ready = h.Beat.Generation, h.Beat.Acked, h.Beat.Ready
		ms.HeardMillis = (n.Now() - h.At).Milliseconds()
	}
	return ms
}

// Acks returns the members' acknowledgements for handovers; loop-only.
func (n *Node) Acks() map[string]membership.Ack {
	acks := make(map[string]membership.Ack, len(n.heard))
	for id, h := range n.heard {
		acks[id] = membership.Ack{BootID: h.Identity.BootID, Offset: h.Beat.Acked, Busy: h.Beat.Busy}
	}
	return acks
}

// CaughtUp reports whether the process has folded up to the head that it first
// saw, or has taken a peer's state while the log is away; loop-only.
func (n *Node) CaughtUp() bool {
	if n.replica.Cold() {
		return n.headSeen && n.firstHead == 0
	}
	return !n.headSeen || n.State().Offset >= n.firstHead
}

// Joined reports whether the fold has this boot as a member; loop-only.
func (n *Node) Joined() bool {
	return n.State().Members.IsMember(n.opts.Self.ID, n.opts.Self.BootID)
}

// CutOff reports whether neither log nor any peer has been heard lately;
// loop-only.
func (n *Node) CutOff() bool {
	now := n.Now()
	if n.logOK || now-n.logAt < silentAfter {
		return false
	}
	for _, h := range n.heard {
		if now-h.At < silentAfter {
			return false
		}
	}
	return true
}

// NotReady lists why the process cannot take work yet; loop-only.
func (n *Node) NotReady() []string {
	var why []string
	switch {
	case n.replica.Cold() && !n.logOK:
		why = append(why, "no state: log unreachable and no peer gave its state: "+n.logErr)
	case !n.CaughtUp():
		why = append(why, "still folding the log")
	case !n.Joined():
		why = append(why, "not yet a member")
	}
	if n.leaving {
		why = append(why, "shutting down")
	}
	if n.State().Manifest.Generation == 0 {
		why = append(why, "no manifest in force")
	}
	if n.CutOff() {
		why = append(why, "cut off from log and peers")
	}
	return why
}
