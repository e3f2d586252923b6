package planner

import (
	"maps"
	"slices"

	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/membership"
	"cyclamenwheel/internal/platform"
	"cyclamenwheel/internal/pools"
)

// Progress is the state of an operation and what it waits for.
type Progress struct {
	Instance  string               `json:"instance"`
	Operation string               `json:"operation"`
	Phase     string               `json:"phase"`
	Target    string               `json:"target"`
	Waiting   []membership.Waiting `json:"waiting,omitempty"`
	// Asked is set once every entry has released the instance, so that the
	// platform may be asked to act.
	Asked bool `json:"asked"`
}

// Steps are the next actions for the operations in progress.
type Steps struct {
	// Reboot holds the operations to request from the platform: every entry has
	// released the instance. Repeating a request is harmless.
	Reboot []platform.Operation
	// Commit holds the operations that the platform has completed.
	Commit []pools.CommitItem
	// Progress describes all operations, for status and explain.
	Progress []Progress
}

// NextSteps returns the next steps of every move and drain in the folded state.
// It keeps no state of its own: a planner that takes over finds the same steps.
func NextSteps(st *fleetlog.State, list platform.InstanceList, acks map[string]membership.Ack) Steps {
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
	// A spare serves nobody, so entries have nothing to release. The barrier is
	// checked all the same, since the instance may have left a pool a moment
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
