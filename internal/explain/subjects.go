package explain

import (
	"fmt"

	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/maintenance"
	"cyclamenwheel/internal/membership"
	"cyclamenwheel/internal/placement"
	"cyclamenwheel/internal/planner"
	"cyclamenwheel/internal/pools"
)

func (e *Explanation) explainInstance(st *fleetlog.State, view planner.View) error {
	in := st.Pools.Instances[e.Name]
	if in == nil {
		return &UnknownError{Kind: KindInstance, Name: e.Name}
	}
	e.addState("%s in %s since offset %d; zone %s, rack %s, maintenance revision %d",
		in.Phase, poolOrSpares(in.Pool), in.Since, in.Zone, in.Rack, in.Revision)
	if in.Operation != "" {
		e.addState("operation %s leads to %s", in.Operation, poolOrSpares(in.Target))
	}
	if in.Why != "" {
		e.addReason("last change: %s", in.Why)
	}
	for id, t := range st.Tasks.Tasks {
		if t.Instance == in.ID {
			e.addState("runs task %s of job %s (%s)", id, t.Job, t.Why)
		}
	}
	for _, op := range view.Progress {
		if op.Instance == in.ID {
			e.addOperation(op)
		}
	}
	for _, w := range view.Moves.Waits {
		if w.Move.Instance == in.ID {
			e.addMoveWait(w)
		}
	}
	for _, h := range view.Waves.Halts {
		if h.Instance == in.ID {
			e.addMaintenanceHalt(h)
		}
	}
	for _, q := range view.Tasks.Quarantine {
		if q.Instance == in.ID {
			e.addWait("quarantine: "+string(q.Reason), "it is tried again after a while; reboot it to start afresh")
		}
	}
	if in.Phase == pools.PhaseDown {
		e.addWait("the platform to list it as live again", "nothing: another instance takes its place where there is a spare")
	}
	return nil
}

// addOperation reports what a move or drain in progress is waiting for.
func (e *Explanation) addOperation(op planner.Progress) {
	if op.Asked {
		e.addWait(fmt.Sprintf("%s: the platform to finish operation %s", op.Instance, op.Operation), "")
	}
	for _, w := range op.Waiting {
		e.addWait(fmt.Sprintf("%s: entry %s (%s)", op.Instance, w.Member, w.Cause), unblockEntry(w.Cause))
	}
}

func unblockEntry(cause string) string {
	switch cause {
	case membership.CauseInFlight:
		return "nothing: requests in flight end within their deadlines"
	case membership.CauseNotHeard, membership.CauseNotAcked:
		return "the entry is fenced by itself if it stays silent; or replace its instance"
	}
	return ""
}

func (e *Explanation) explainPool(st *fleetlog.State, view planner.View) error {
	man := st.Manifest.Current()
	if man == nil {
		return &UnknownError{Kind: KindPool, Name: e.Name}
	}
	p, ok := man.FindPool(e.Name)
	if !ok {
		return &UnknownError{Kind: KindPool, Name: e.Name}
	}
	phases := make(map[pools.Phase]int)
	belowRevision := 0
	for _, in := range st.Pools.Instances {
		if in.Pool != e.Name {
			continue
		}
		phases[in.Phase]++
		if in.Revision < p.Maintenance.Revision {
			belowRevision++
		}
	}
	e.addState("%d of %d instances serve, at least %d must; %d moving, %d draining, %d down",
		phases[pools.PhaseServing], p.Instances.Size(), st.Manifest.MinAvailable(e.Name),
		phases[pools.PhaseMoving], phases[pools.PhaseDraining], phases[pools.PhaseDown])
	e.addState("%d instances below maintenance revision %d", belowRevision, p.Maintenance.Revision)
	for _, op := range view.Progress {
		if in := st.Pools.Instances[op.Instance]; op.Target == e.Name || in != nil && in.Pool == e.Name {
			e.addOperation(op)
		}
	}
	e.addPendingDecisions(view, e.Name)
	return nil
}

// addPendingDecisions reports shortfalls and the moves and maintenance that the
// planner cannot start yet, for one pool or, if pool is empty, for all.
func (e *Explanation) addPendingDecisions(view planner.View, pool string) {
	for _, s := range view.Moves.Shortfalls {
		if pool == "" || s.Pool == pool {
			e.addWait(fmt.Sprintf("pool %s: %d instances missing (%s)", s.Pool, s.Missing, s.Reason), unblockShortfall(s.Reason))
		}
	}
	for _, w := range view.Moves.Waits {
		if pool == "" || w.Move.From == pool || w.Move.To == pool {
			e.addMoveWait(w)
		}
	}
	for _, h := range view.Waves.Halts {
		if pool == "" || h.Pool == pool {
			e.addMaintenanceHalt(h)
		}
	}
}

func (e *Explanation) addMoveWait(w pools.Wait) {
	unblock := ""
	if w.Reason == pools.WaitBudget {
		unblock = "an instance of pool " + w.Move.From + " back in service, or a lower min_available"
	}
	e.addWait(fmt.Sprintf("%s: move from %s to %s (%s) held by %s",
		w.Move.Instance, poolOrSpares(w.Move.From), poolOrSpares(w.Move.To), w.Move.Reason, w.Reason), unblock)
}

func unblockShortfall(r pools.ShortfallReason) string {
	switch r {
	case pools.ShortNoInstance:
		return "more instances from the platform, or a lower count in a manifest"
	case pools.ShortSelector:
		return "a wider selector, or instances that it allows"
	case pools.ShortListedDown, pools.ShortListedUnknown:
		return "the listed instance back, or another id in the manifest"
	}
	return ""
}

func (e *Explanation) addMaintenanceHalt(h maintenance.Halt) {
	e.addWait(fmt.Sprintf("pool %s: maintenance held by %s %s", h.Pool, h.Reason, h.Instance), unblockHalt(h.Reason))
}

func unblockHalt(r maintenance.HaltReason) string {
	switch r {
	case maintenance.HaltPaused:
		return "publish a manifest without maintenance.paused"
	case maintenance.HaltReturnTimeout, maintenance.HaltLost, maintenance.HaltRevisionMissing, maintenance.HaltOtherPools:
		return "the instance back in service, or a manifest with a higher maintenance revision"
	case maintenance.HaltBudget, maintenance.HaltNoHeadroom:
		return "an instance back in service, a spare, or a lower min_available"
	}
	return "nothing: it goes on by itself"
}

func (e *Explanation) explainJob(st *fleetlog.State, view planner.View) error {
	job, ok := st.Manifest.Current().JobsByName()[e.Name]
	if !ok {
		return &UnknownError{Kind: KindJob, Name: e.Name}
	}
	placed := 0
	for _, t := range st.Tasks.Tasks {
		if t.Job == e.Name {
			placed++
			e.addReason("task %d on %s: %s", t.Index, t.Instance, t.Why)
		}
	}
	h := st.Tasks.History.Jobs[e.Name]
	e.addState("%d of %d tasks placed in pool %s, %d done, %d failures since the last success",
		placed, job.Tasks, job.Pool, len(h.Done), h.Failures)
	for _, s := range view.Tasks.SetAside {
		if s.Job == e.Name {
			e.addWait("set aside: "+string(s.Reason), unblockJob(s.Reason))
		}
	}
	for _, w := range view.Tasks.Waiting {
		if w.Job == e.Name {
			e.addWait(fmt.Sprintf("%d tasks: %s", w.Tasks, w.Reason), unblockJob(w.Reason))
		}
	}
	return nil
}

func unblockJob(r placement.Reason) string {
	switch r {
	case placement.ReasonFitsNoWorker:
		return "a smaller task, or a pool with larger workers"
	case placement.ReasonAboveTeamQuota, placement.ReasonTeamQuota:
		return "a larger team quota, or fewer tasks of the team"
	case placement.ReasonFailsEverywhere:
		return "a mended job: publish it changed"
	case placement.ReasonNoRoom, placement.ReasonNoWorkers:
		return "more instances in the pool, or fewer tasks"
	}
	return "nothing: it goes on by itself"
}
