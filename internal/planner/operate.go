package planner

import (
	"maps"
	"slices"

	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/membership"
	"cyclamenwheel/internal/platform"
	"cyclamenwheel/internal/pools"
)

// Progress tells where an operation stands and what it waits for.
type Progress struct {
	Instance  string               `json:"instance"`
	Operation string               `json:"operation"`
	Phase     string               `json:"phase"`
	Target    string               `json:"target"`
	Waiting   []membership.Waiting `json:"waiting,omitempty"`
	// Asked is set once every entry has let go: the platform is asked.
	Asked bool `json:"asked"`
}

// Steps is what the planner should do for the operations in progress.
type Steps struct {
	// Reboot holds operations that the platform may be asked for: every entry
	// has let go of the instance. Asking again is harmless.
	Reboot []platform.Operation
	// Commit holds operations that the platform has completed.
	Commit []pools.CommitItem
	// Progress describes all of them, for status and explain.
	Progress []Progress
}

// Operate looks at every move and drain in the fold. It keeps no memory: a
// planner that takes over in the middle finds the same steps.
func Operate(st *fleetlog.State, list platform.InstanceList, acks map[string]membership.Ack) Steps {
	rows := make(map[string]*platform.Instance, len(list.Instances))
	for i := range list.Instances {
		rows[list.Instances[i].ID] = &list.Instances[i]
	}
	var out Steps
	for _, id := range slices.Sorted(maps.Keys(st.Pools.Instances)) {
		in := st.Pools.Instances[id]
		if in.Phase != pools.PhaseMoving && in.Phase != pools.PhaseDraining {
			continue
		}
		out.step(st, in, rows[id], acks)
	}
	return out
}

func (s *Steps) step(st *fleetlog.State, in *pools.Instance, row *platform.Instance, acks map[string]membership.Ack) {
	p := Progress{Instance: in.ID, Operation: in.Operation, Phase: in.Phase.String(), Target: in.Target}
	if row != nil && row.State == platform.StateLive && row.Operation == in.Operation {
		s.Commit = append(s.Commit, pools.CommitItem{
			Instance: in.ID, Operation: in.Operation, BootID: row.BootID, Addr: row.Addr,
		})
		p.Asked = true
		s.Progress = append(s.Progress, p)
		return
	}
	// A spare serves nobody, so there is nothing for entries to let go of; the
	// barrier is asked all the same, since it may have left a pool a moment
	// before by a record that some entry has not folded.
	p.Waiting = st.Members.Barrier(acks, in.ID, in.Since)
	if len(p.Waiting) == 0 {
		p.Asked = true
		s.Reboot = append(s.Reboot, platform.Operation{
			ID: in.Operation, Instance: in.ID, Pool: in.Target, Revision: in.TargetRevision,
		})
	}
	s.Progress = append(s.Progress, p)
}
