package node

import (
	"maps"
	"slices"

	"cyclamenwheel/internal/membership"
	"cyclamenwheel/internal/planlease"
)

// MemberStatus is one member as seen by this process.
type MemberStatus struct {
	ID           string          `json:"id"`
	Role         membership.Role `json:"role"`
	Zone         string          `json:"zone"`
	OperatorAddr string          `json:"operator_addr"`
	CallerAddr   string          `json:"caller_addr,omitempty"`
	Ready        bool            `json:"ready"`
	Generation   uint64          `json:"generation"`
	Acked        uint64          `json:"acked_offset"`
	// LastReportMillis is the age of the member's last report; -1 if there is none.
	LastReportMillis int64 `json:"heard_ms_ago"`
}

// Status is the process's view of the fleet.
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

// Status returns the process's view of the fleet; loop-only.
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
		CallerAddr: m.CallerAddr, LastReportMillis: -1,
	}
	if m.ID == n.opts.Self.ID {
		ms.Generation, ms.Acked, ms.LastReportMillis = n.State().Manifest.Generation, n.ackedOffset, 0
		ms.Ready = len(n.NotReady()) == 0
		return ms
	}
	if h := n.peerReports[m.ID]; h != nil && h.Identity.BootID == m.BootID {
		ms.Generation, ms.Acked, ms.Ready = h.Heartbeat.Generation, h.Heartbeat.Acked, h.Heartbeat.Ready
		ms.LastReportMillis = (n.Now() - h.At).Milliseconds()
	}
	return ms
}

// Acks returns the members' acknowledgements for handovers; loop-only.
func (n *Node) Acks() map[string]membership.Ack {
	acks := make(map[string]membership.Ack, len(n.peerReports))
	for id, h := range n.peerReports {
		acks[id] = membership.Ack{BootID: h.Identity.BootID, Offset: h.Heartbeat.Acked, Busy: h.Heartbeat.Busy}
	}
	return acks
}

// CaughtUp reports whether the process has folded the log up to the head that it saw
// first, or has installed a peer's state while the log is unreachable; loop-only.
func (n *Node) CaughtUp() bool {
	if n.replica.Bootstrapping() {
		return n.headSeen && n.firstHead == 0
	}
	return !n.headSeen || n.State().Offset >= n.firstHead
}

// Joined reports whether this incarnation is a member in the folded state; loop-only.
func (n *Node) Joined() bool {
	return n.State().Members.IsMember(n.opts.Self.ID, n.opts.Self.BootID)
}

// CutOff reports whether neither the log nor any peer has responded within cutOffAfter;
// loop-only.
func (n *Node) CutOff() bool {
	now := n.Now()
	if n.logOK || now-n.logAt < cutOffAfter {
		return false
	}
	for _, h := range n.peerReports {
		if now-h.At < cutOffAfter {
			return false
		}
	}
	return true
}

// NotReady returns the reasons why the process cannot take work yet; loop-only.
func (n *Node) NotReady() []string {
	var reasons []string
	switch {
	case n.replica.Bootstrapping() && !n.logOK:
		reasons = append(reasons, "no state: log unreachable and no peer supplied its state: "+n.logErr)
	case !n.CaughtUp():
		reasons = append(reasons, "still folding the log")
	case !n.Joined():
		reasons = append(reasons, "not yet a member")
	}
	if n.leaving {
		reasons = append(reasons, "shutting down")
	}
	if n.State().Manifest.Generation == 0 {
		reasons = append(reasons, "no manifest in force")
	}
	if n.CutOff() {
		reasons = append(reasons, "cut off from log and peers")
	}
	return reasons
}
