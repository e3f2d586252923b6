package pools

import (
	"cyclamenwheel/internal/fold"
)

// Budgets tells what the manifest in force asks for.
type Budgets interface {
	// MinAvailable is the strictest availability budget among the pool's
	// services, 0 for a pool that the manifest does not have.
	MinAvailable(pool string) int
	// HasPool reports whether the manifest in force has the pool.
	HasPool(pool string) bool
}

// Available returns how many of the pool's instances serve.
func (s *State) Available(pool string) int {
	s.derive()
	return s.available[pool]
}

func (s *State) derive() {
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

// setPhase is the only place where a phase or a pool changes, which keeps the
// derived counts true.
func (s *State) setPhase(in *Instance, pool string, phase Phase, offset uint64) {
	s.derive()
	if in.Phase == PhaseServing {
		s.available[in.Pool]--
	}
	if phase == PhaseServing {
		s.available[pool]++
	}
	in.Pool, in.Phase, in.Since = pool, phase, offset
	s.Version = offset
}

// listed accepts facts from list version v unless newer ones were folded.
func (s *State) listed(v uint64) fold.Verdict {
	if v < s.List {
		return fold.Reject(ReasonOldFacts, "")
	}
	s.List = v
	return fold.Accept()
}

// ApplySeen folds what the platform lists as live.
func (s *State) ApplySeen(m fold.Meta, rec Seen) fold.Verdict {
	if v := s.listed(rec.List); !v.Accepted {
		return v
	}
	changed := 0
	for _, f := range rec.Facts {
		if s.seen(m, f) {
			changed++
		}
	}
	return verdictOf(changed)
}

func (s *State) seen(m fold.Meta, f Fact) bool {
	if f.ID == "" || f.BootID == "" {
		return false
	}
	in, known := s.Instances[f.ID]
	if !known {
		if s.Instances == nil {
			s.Instances = make(map[string]*Instance)
		}
		in = &Instance{ID: f.ID}
		in.describe(f)
		s.Instances[f.ID] = in
		s.setPhase(in, f.Pool, PhaseServing, m.Offset)
		return true
	}
	if in.Phase != PhaseDown && in.BootID == f.BootID && in.Addr == f.Addr {
		return false
	}
	in.describe(f)
	switch {
	case in.Phase == PhaseDown && in.Operation == "":
		s.setPhase(in, in.Pool, PhaseServing, m.Offset)
	case in.Phase == PhaseDown && in.Operation == f.Operation:
		s.finish(in, m.Offset)
	case in.Phase == PhaseDown:
		s.resume(in, m.Offset)
	default:
		s.Version = m.Offset
	}
	return true
}

// resume puts an instance that was lost in the middle of an operation back to
// it. The planner asks the platform again under the same operation id, so the
// instance is in no doubt about its pool whichever way the first try ended.
func (s *State) resume(in *Instance, offset uint64) {
	phase := PhaseMoving
	if in.Target == in.Pool {
		phase = PhaseDraining
	}
	s.setPhase(in, in.Pool, phase, offset)
}

func (in *Instance) describe(f Fact) {
	in.BootID, in.Addr = f.BootID, f.Addr
	in.Zone, in.Rack = f.Zone, f.Rack
	in.Cores, in.MemoryMB, in.Accelerators = f.Cores, f.MemoryMB, f.Accelerators
	in.Slots, in.Connections = f.Slots, f.Connections
}

// ApplyDown folds losses. A loss is never refused: it is a fact, and counts
// against the budget of whatever is begun later.
func (s *State) ApplyDown(m fold.Meta, rec Down) fold.Verdict {
	if v := s.listed(rec.List); !v.Accepted {
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
	return verdictOf(changed)
}

// ApplyForget folds the removal of instances that are down.
func (s *State) ApplyForget(m fold.Meta, rec Forget) fold.Verdict {
	if v := s.listed(rec.List); !v.Accepted {
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
	return verdictOf(changed)
}

// ApplyBegin folds the start of moves and drains. The verdict carries the
// reason of the first item refused, if none was accepted.
func (s *State) ApplyBegin(m fold.Meta, rec Begin, budgets Budgets) fold.Verdict {
	accepted := 0
	var first *fold.Verdict
	for _, item := range rec.Items {
		v := s.begin(m, item, budgets)
		if v.Accepted {
			accepted++
		} else if first == nil {
			first = &v
		}
	}
	if accepted == 0 && first != nil {
		return *first
	}
	return verdictOf(accepted)
}

func (s *State) begin(m fold.Meta, item BeginItem, budgets Budgets) fold.Verdict {
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
	// The budget is checked here, at the record's place in the log, and not by
	// the planner: two planners that each saw one instance to spare would
	// otherwise both take one. Losses folded before this offset count.
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
	if v := s.listed(rec.List); !v.Accepted {
		return v
	}
	accepted := 0
	var first *fold.Verdict
	for _, item := range rec.Items {
		v := s.commit(m, item)
		if v.Accepted {
			accepted++
		} else if first == nil {
			first = &v
		}
	}
	if accepted == 0 && first != nil {
		return *first
	}
	return verdictOf(accepted)
}

func (s *State) commit(m fold.Meta, item CommitItem) fold.Verdict {
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
	s.finish(in, m.Offset)
	return fold.Accept()
}

func (s *State) finish(in *Instance, offset uint64) {
	pool := in.Target
	in.Revision = max(in.Revision, in.TargetRevision)
	in.Target, in.Operation, in.TargetRevision = "", "", 0
	s.setPhase(in, pool, PhaseServing, offset)
}

func verdictOf(changed int) fold.Verdict {
	if changed == 0 {
		return fold.Reject(ReasonNothingToDo, "")
	}
	return fold.Accept()
}
