package pools

import (
	"cyclamenwheel/internal/fold"
)

// Budgets gives access to the availability budgets of the manifest in force.
type Budgets interface {
	// MinAvailable returns the highest availability budget among the pool's
	// services, 0 for a pool that the manifest does not have.
	MinAvailable(pool string) int
	// HasPool reports whether the manifest in force has the pool.
	HasPool(pool string) bool
}

// Available returns the number of serving instances of the pool.
func (s *State) Available(pool string) int {
	s.countAvailable()
	return s.available[pool]
}

func (s *State) countAvailable() {
	if s.available != nil {
		return
	}
	s.available = make(map[string]int)
	for _, in := range s.Instances {
		if in.Phase == PhaseServing {
			s.available[in.Pool]++
		}
	}
}

// setPhase is the only function that changes a phase or a pool, which keeps the
// derived counts correct.
func (s *State) setPhase(in *Instance, pool string, phase Phase, offset uint64) {
	s.countAvailable()
	if in.Phase == PhaseServing {
		s.available[in.Pool]--
	}
	if phase == PhaseServing {
		s.available[pool]++
	}
	in.Pool, in.Phase, in.Since = pool, phase, offset
	s.Version = offset
}

// checkListVersion rejects a record taken from an older instance list than one
// already folded; otherwise it stores the version.
func (s *State) checkListVersion(v uint64) fold.Verdict {
	if v < s.List {
		return fold.Reject(ReasonOldFacts, "")
	}
	s.List = v
	return fold.Accept()
}

// ApplySeen folds the instances that the platform lists as live.
func (s *State) ApplySeen(m fold.Meta, rec Seen) fold.Verdict {
	if v := s.checkListVersion(rec.List); !v.Accepted {
		return v
	}
	changed := 0
	for _, f := range rec.Facts {
		if s.applyFact(m, f) {
			changed++
		}
	}
	return verdictForChanges(changed)
}

func (s *State) applyFact(m fold.Meta, f Fact) bool {
	if f.ID == "" || f.BootID == "" {
		return false
	}
	in, known := s.Instances[f.ID]
	if !known {
		if s.Instances == nil {
			s.Instances = make(map[string]*Instance)
		}
		in = &Instance{ID: f.ID}
		in.setAttributes(f)
		s.Instances[f.ID] = in
		s.setPhase(in, f.Pool, PhaseServing, m.Offset)
		return true
	}
	if in.Phase != PhaseDown && in.BootID == f.BootID && in.Addr == f.Addr {
		return false
	}
	in.setAttributes(f)
	switch {
	case in.Phase == PhaseDown && in.Operation == "":
		s.setPhase(in, in.Pool, PhaseServing, m.Offset)
	case in.Phase == PhaseDown && in.Operation == f.Operation:
		s.finishOperation(in, m.Offset)
	case in.Phase == PhaseDown:
		s.resumeOperation(in, m.Offset)
	default:
		s.Version = m.Offset
	}
	return true
}

// resumeOperation returns an instance that was lost during an operation to that
// operation. The planner requests it from the platform again under the same id,
// so the instance ends in the right pool whether or not the first attempt took
// effect.
func (s *State) resumeOperation(in *Instance, offset uint64) {
	phase := PhaseMoving
	if in.Target == in.Pool {
		phase = PhaseDraining
	}
	s.setPhase(in, in.Pool, phase, offset)
}

func (in *Instance) setAttributes(f Fact) {
	in.BootID, in.Addr = f.BootID, f.Addr
	in.Zone, in.Rack = f.Zone, f.Rack
	in.Cores, in.MemoryMB, in.Accelerators = f.Cores, f.MemoryMB, f.Accelerators
	in.Slots, in.Connections = f.Slots, f.Connections
}

// ApplyDown folds losses. Unless it is from an older list, a loss is never
// rejected: it is a fact, and it counts against the budget of operations begun
// later.
func (s *State) ApplyDown(m fold.Meta, rec Down) fold.Verdict {
	if v := s.checkListVersion(rec.List); !v.Accepted {
		return v
	}
	changed := 0
	for _, id := range rec.Instances {
		in, ok := s.Instances[id]
		if !ok || in.Phase == PhaseDown {
			continue
		}
		in.Why = rec.Why
		s.setPhase(in, in.Pool, PhaseDown, m.Offset)
		changed++
	}
	return verdictForChanges(changed)
}

// ApplyForget folds the removal of instances that are down.
func (s *State) ApplyForget(m fold.Meta, rec Forget) fold.Verdict {
	if v := s.checkListVersion(rec.List); !v.Accepted {
		return v
	}
	changed := 0
	for _, id := range rec.Instances {
		in, ok := s.Instances[id]
		if !ok || in.Phase != PhaseDown {
			continue
		}
		delete(s.Instances, id)
		s.Version = m.Offset
		changed++
	}
	return verdictForChanges(changed)
}

// ApplyBegin folds the start of moves and drains. If no item is accepted, the
// verdict has the reason of the first rejected item.
func (s *State) ApplyBegin(m fold.Meta, rec Begin, budgets Budgets) fold.Verdict {
	accepted := 0
	var first *fold.Verdict
	for _, item := range rec.Items {
		v := s.beginOperation(m, item, budgets)
		if v.Accepted {
			accepted++
		} else if first == nil {
			first = &v
		}
	}
	if accepted == 0 && first != nil {
		return *first
	}
	return verdictForChanges(accepted)
}

func (s *State) beginOperation(m fold.Meta, item BeginItem, budgets Budgets) fold.Verdict {
	in, ok := s.Instances[item.Instance]
	switch {
	case !ok:
		return fold.Reject(fold.ReasonUnknownInstance, item.Instance)
	case item.Operation == "":
		return fold.Reject(fold.ReasonMalformed, "begin without an operation id")
	case in.Phase != PhaseServing || in.Pool != item.From:
		return fold.Reject(fold.ReasonWrongPhase, item.Instance+" is "+in.Phase.String()+" in "+in.Pool)
	case item.To != "" && !budgets.HasPool(item.To):
		return fold.Reject(ReasonUnknownPool, item.To)
	}
	// The budget is checked here, at the record's position in the log, and not
	// by the planner: two planners that each saw one instance above the budget
	// would otherwise both move one. Losses folded before this offset count.
	if in.Pool != "" && s.Available(in.Pool)-1 < budgets.MinAvailable(in.Pool) {
		return fold.Reject(fold.ReasonOverBudget, in.Pool)
	}
	phase := PhaseMoving
	if item.To == item.From {
		phase = PhaseDraining
	}
	in.Target, in.Operation, in.TargetRevision, in.Why = item.To, item.Operation, item.Revision, item.Why
	s.setPhase(in, in.Pool, phase, m.Offset)
	return fold.Accept()
}

// ApplyCommit folds the end of moves and drains.
func (s *State) ApplyCommit(m fold.Meta, rec Commit) fold.Verdict {
	if v := s.checkListVersion(rec.List); !v.Accepted {
		return v
	}
	accepted := 0
	var first *fold.Verdict
	for _, item := range rec.Items {
		v := s.commitOperation(m, item)
		if v.Accepted {
			accepted++
		} else if first == nil {
			first = &v
		}
	}
	if accepted == 0 && first != nil {
		return *first
	}
	return verdictForChanges(accepted)
}

func (s *State) commitOperation(m fold.Meta, item CommitItem) fold.Verdict {
	in, ok := s.Instances[item.Instance]
	switch {
	case !ok:
		return fold.Reject(fold.ReasonUnknownInstance, item.Instance)
	case in.Phase != PhaseMoving && in.Phase != PhaseDraining:
		return fold.Reject(fold.ReasonWrongPhase, item.Instance+" is "+in.Phase.String())
	case in.Operation != item.Operation:
		return fold.Reject(ReasonOtherOperation, in.Operation)
	}
	in.BootID, in.Addr = item.BootID, item.Addr
	s.finishOperation(in, m.Offset)
	return fold.Accept()
}

func (s *State) finishOperation(in *Instance, offset uint64) {
	pool := in.Target
	in.Revision = max(in.Revision, in.TargetRevision)
	in.Target, in.Operation, in.TargetRevision = "", "", 0
	s.setPhase(in, pool, PhaseServing, offset)
}

func verdictForChanges(changed int) fold.Verdict {
	if changed == 0 {
		return fold.Reject(ReasonNothingToDo, "")
	}
	return fold.Accept()
}
