package planner

import (
	"time"

	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/membership"
	"cyclamenwheel/internal/platform"
	"cyclamenwheel/internal/pools"
)

// Facts is the difference between the platform's list and the folded state, as
// records to write.
type Facts struct {
	Seen   []pools.Fact
	Down   map[string][]string // cause to instances
	Forget []string
	Leaves []membership.Leave
}

// Causes of the loss of an instance.
const (
	CauseGone    = "platform_gone"
	CauseLeaving = "platform_leaving"
	CauseRestart = "platform_rebooting"
)

// absenceGracePeriod is how long a member must not have reported before its
// absence from the list means that it is gone. A member that joined a moment
// ago is missing from a lagging list; one that is absent and has not reported
// for longer than the platform's lag is gone.
const absenceGracePeriod = 30 * time.Second

// ReportAgeFunc returns the time since a member's last report; a large value if
// there is none.
type ReportAgeFunc func(member string) time.Duration

// Compare returns the facts in the platform's complete list that are not in the
// folded state.
func Compare(st *fleetlog.State, list platform.InstanceList, sinceLastReport ReportAgeFunc) Facts {
	f := Facts{Down: make(map[string][]string)}
	rows := make(map[string]*platform.Instance, len(list.Instances))
	for i := range list.Instances {
		row := &list.Instances[i]
		rows[row.ID] = row
		if row.Kind == platform.KindWorker && row.State == platform.StateLive && hasNewFacts(st.Pools.Instances[row.ID], row) {
			f.Seen = append(f.Seen, factOf(row))
		}
	}
	for id, in := range st.Pools.Instances {
		row := rows[id]
		if cause := lossCause(in, row); cause != "" {
			f.Down[cause] = append(f.Down[cause], id)
		}
		if in.Phase == pools.PhaseDown && (row == nil || row.State == platform.StateGone) {
			f.Forget = append(f.Forget, id)
		}
	}
	f.Leaves = departedMembers(st, rows, sinceLastReport)
	return f
}

// hasNewFacts reports whether a live row differs from the folded instance in a
// way to record. While an operation is in progress, the reboot is expected and
// recorded by the operation's commit.
func hasNewFacts(in *pools.Instance, row *platform.Instance) bool {
	switch {
	case in == nil:
		return true
	case in.Phase == pools.PhaseDown:
		return true
	case in.Phase == pools.PhaseServing:
		return in.BootID != row.BootID || in.Addr != row.Addr
	}
	return false
}

// lossCause returns why an instance no longer serves; empty if it does, or if
// an operation of the planner is the reason.
func lossCause(in *pools.Instance, row *platform.Instance) string {
	if in.Phase == pools.PhaseDown {
		return ""
	}
	if row == nil || row.State == platform.StateGone {
		return CauseGone
	}
	if in.Phase != pools.PhaseServing {
		return ""
	}
	switch row.State {
	case platform.StateLeaving:
		return CauseLeaving
	case platform.StateRebooting:
		return CauseRestart
	}
	return ""
}

func departedMembers(st *fleetlog.State, rows map[string]*platform.Instance, sinceLastReport ReportAgeFunc) []membership.Leave {
	var out []membership.Leave
	for id, m := range st.Members.Members {
		row := rows[m.Instance]
		absent := row == nil && sinceLastReport(id) > absenceGracePeriod
		if absent || (row != nil && row.State == platform.StateGone) {
			out = append(out, membership.Leave{ID: id, BootID: m.BootID, Why: CauseGone})
		}
	}
	return out
}

func factOf(row *platform.Instance) pools.Fact {
	return pools.Fact{
		ID: row.ID, BootID: row.BootID, Zone: row.Zone, Rack: row.Rack, Addr: row.Addr,
		Cores: row.Cores, MemoryMB: row.MemoryMB, Accelerators: row.Accelerators,
		Slots: row.Slots, Connections: row.Connections, Operation: row.Operation, Pool: row.Pool,
	}
}
