// Package explain reports why an instance, pool, job or manifest is in its
// current state, what it is waiting for, and what would unblock it. Its input
// is the state folded from the fleet log with the planner's last decisions, or
// the state dumps of nodes; it makes no decisions. cyclamenctl explain calls it.
package explain

import (
	"fmt"
	"maps"
	"slices"

	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/planner"
	"cyclamenwheel/internal/pools"
)

// Kind is the kind of object that can be explained.
type Kind string

const (
	KindInstance Kind = "instance"
	KindPool     Kind = "pool"
	KindJob      Kind = "job"
	KindManifest Kind = "manifest"
)

// Explanation describes the state of one object.
type Explanation struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Is lists facts about the current state, Why the recorded reasons,
	// WaitsFor the conditions that block progress, and Unblock what would
	// resolve them.
	Is       []string `json:"is"`
	Why      []string `json:"why,omitempty"`
	WaitsFor []string `json:"waits_for,omitempty"`
	Unblock  []string `json:"unblock,omitempty"`
}

// UnknownError reports that the folded state has no object of that name.
type UnknownError struct {
	Kind Kind
	Name string
}

func (e *UnknownError) Error() string { return fmt.Sprintf("no %s %q", e.Kind, e.Name) }

// UnknownKindError reports a kind that cannot be explained.
type UnknownKindError struct{ Kind Kind }

func (e *UnknownKindError) Error() string {
	return fmt.Sprintf("can't explain a %q: instance, pool, job or manifest", e.Kind)
}

// dropEndedOperations removes operations from the planner's view that have
// ended according to the folded state, which is newer than the view.
func dropEndedOperations(st *fleetlog.State, view planner.View) planner.View {
	var inProgress []planner.Progress
	for _, op := range view.Progress {
		if in := st.Pools.Instances[op.Instance]; in != nil && in.Operation == op.Operation {
			inProgress = append(inProgress, op)
		}
	}
	view.Progress = inProgress
	return view
}

// FromFleet explains one object from the folded state and the planner's view. If
// no planner answered, view is zero, and pending decisions are missing from the
// result.
func FromFleet(st *fleetlog.State, view planner.View, kind Kind, name string) (Explanation, error) {
	e := &Explanation{Kind: kind, Name: name}
	view = dropEndedOperations(st, view)
	var err error
	switch kind {
	case KindInstance:
		err = e.explainInstance(st, view)
	case KindPool:
		err = e.explainPool(st, view)
	case KindJob:
		err = e.explainJob(st, view)
	case KindManifest:
		e.explainManifest(st, view)
	default:
		err = &UnknownKindError{Kind: kind}
	}
	if !view.Holds {
		e.addWait("the planner's view: no process that holds the planner lease answered",
			"start a cyclamen-control, or reach one with --process")
	}
	return *e, err
}

func (e *Explanation) addState(format string, args ...any) {
	e.Is = append(e.Is, fmt.Sprintf(format, args...))
}

func (e *Explanation) addReason(format string, args ...any) {
	e.Why = append(e.Why, fmt.Sprintf(format, args...))
}

// addWait adds a condition that blocks progress and what would resolve it.
func (e *Explanation) addWait(what, unblock string) {
	e.WaitsFor = append(e.WaitsFor, what)
	if unblock != "" && !slices.Contains(e.Unblock, unblock) {
		e.Unblock = append(e.Unblock, unblock)
	}
}

func (e *Explanation) explainManifest(st *fleetlog.State, view planner.View) {
	m := st.Manifest.Current()
	if m == nil {
		e.addState("no manifest is in force")
		e.addWait("a first manifest", "cyclamenctl publish FILE --wait")
		return
	}
	e.addState("generation %d of deployment %s, published by %s, accepted at offset %d",
		st.Manifest.Generation, m.Deployment, st.Manifest.Operator, st.Manifest.Offset)
	for _, p := range m.Pools {
		e.addState("pool %s: %d of %d instances serve, at least %d must",
			p.Name, st.Pools.Available(p.Name), p.Instances.Size(), st.Manifest.MinAvailable(p.Name))
	}
	for _, id := range slices.Sorted(maps.Keys(st.Pools.Instances)) {
		if in := st.Pools.Instances[id]; in.Operation != "" {
			e.addReason("%s is %s to %s: %s", id, in.Phase, poolOrSpares(in.Target), in.Why)
		}
	}
	for _, op := range view.Progress {
		e.addOperation(op)
	}
	e.addSpareCoverage(m.Buffer.Survive, view.Spare)
	e.addPendingDecisions(view, "")
}

// addSpareCoverage reports whether the spares cover the loss of the worst
// failure domain of the kind set in buffer.survive.
func (e *Explanation) addSpareCoverage(domain manifest.FailureDomain, s pools.SpareNeed) {
	e.addState("%d spares; %d cover the loss of the worst %s", s.Held, s.Needed, domain)
	if missing := s.Missing(); missing > 0 {
		e.addWait(fmt.Sprintf("%d more spares: the loss of the worst %s would leave a service below its budget", missing, domain),
			"more instances, smaller pools, lower budgets, or a smaller failure domain in buffer.survive")
	}
}

func poolOrSpares(pool string) string {
	if pool == "" {
		return "the spares"
	}
	return pool
}
