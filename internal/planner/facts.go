package planner

import (
	"time"

	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/membership"
	"cyclamenwheel/internal/platform"
	"cyclamenwheel/internal/pools"
)

// Facts is the difference between what the platform lists and what the fold
// knows, as records to write.
type Facts struct {
	Seen   []pools.Fact
	Down   map[string][]string // cause to instances
	Forget []string
	Leaves []membership.Leave
}

// Causes of a loss.
const (
	CauseGone    = "platform_gone"
	CauseLeaving = "platform_leaving"
	CauseRestart = "platform_rebooting"
)

// absentGrace is how long a member must have been silent before its absence
// from the list counts as gone. A member that joined a moment ago is missing
// from a lagging list; one that is both absent and silent for longer than any
// lag the platform shows has gone.
const absentGrace = 30 * time.Second

// Observed tells how long ago each member was heard; a large value for never.
type Observed func(member string) time.Duration

// Compare finds what the fold does not know yet. It is given the whole list.
func Compare(st *fleetlog.State, list platform.InstanceList, heard Observed) Facts {
	f := Facts{Down: make(map[string][]string)}
	rows := make(map[string]*platform.Instance, len(list.Instances))
	for i := range list.Instances {
		row := &list.Instances[i]
		rows[row.ID] = row
		if row.Kind == platform.KindWorker && row.State == platform.StateLive && isNews(st.Pools.Instances[row.ID], row) {
			f.Seen = append(f.Seen, factOf(row))
		}
	}
	for id, in := range st.Pools.Instances {
		row := rows[id]
		if cause := lostBy(in, row); cause != "" {
			f.Down[cause] = append(f.Down[cause], id)
		}
		if in.Phase == pools.PhaseDown && (row == nil || row.State == platform.StateGone) {
			f.Forget = append(f.Forget, id)
		}
	}
	f.Leaves = gone(st, rows, heard)
	return f
}

// isNews reports whether a live row tells something new. While an operation is
// in progress the instance reboots by our own wish, and its commit tells.
func isNews(in *pools.Instance, row *platform.Instance) bool {
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

// lostBy names why an instance no longer serves; empty if it does, or if its
// absence is our own doing.
func lostBy(in *pools.Instance, row *platform.Instance) string {
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

func gone(st *fleetlog.State, rows map[string]*platform.Instance, heard Observed) []membership.Leave {
	var out []membership.Leave
	for id, m := range st.Members.Members {
		row := rows[m.Instance]
		absent := row == nil && heard(id) > absentGrace
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
