// Package explain tells operators, from the fold and the planner's last
// decisions, why something is as it is, what it waits for, and what would
// unblock it. It decides nothing.
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

// Kind is what can be explained.
type Kind string

// Kinds.
const (
	KindInstance Kind = "instance"
	KindPool     Kind = "pool"
	KindJob      Kind = "job"
	KindManifest Kind = "manifest"
)

// Explanation is the answer.
type Explanation struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Is states what is so, Why the recorded reasons, WaitsFor what it waits
	// for, and Unblock what would let it go on.
	Is       []string `json:"is"`
	Why      []string `json:"why,omitempty"`
	WaitsFor []string `json:"waits_for,omitempty"`
	Unblock  []string `json:"unblock,omitempty"`
}

// UnknownError says that the fold has nothing of that name.
type UnknownError struct {
	Kind Kind
	Name string
}

func (e *UnknownError) Error() string { return fmt.Sprintf("no %s %q", e.Kind, e.Name) }

// UnknownKindError says that there is no such kind.
type UnknownKindError struct{ Kind Kind }

func (e *UnknownKindError) Error() string {
	return fmt.Sprintf("can't explain a %q: instance, pool, job or manifest", e.Kind)
}

// current leaves out operations that the fold has seen end since the planner
// looked: its view is a moment older.
func current(st *fleetlog.State, view planner.View) planner.View {
	var still []planner.Progress
	for _, op := range view.Progress {
		if in := st.Pools.Instances[op.Instance]; in != nil && in.Operation == op.Operation {
			still = append(still, op)
		}
	}
	view.Progress = still
	return view
}

// Of explains one thing. view is the planner's; its zero value, where no
// planner answers, leaves out what is only being considered.
func Of(st *fleetlog.State, view planner.View, kind Kind, name string) (Explanation, error) {
	e := &Explanation{Kind: kind, Name: name}
	view = current(st, view)
	var err error
	switch kind {
	case KindInstance:
		err = e.instance(st, view)
	case KindPool:
		err = e.pool(st, view)
	case KindJob:
		err = e.job(st, view)
	case KindManifest:
		e.manifest(st, view)
	default:
		err = &UnknownKindError{Kind: kind}
	}
	if !view.Holds {
		e.waits("the planner's view: no process that holds the planner lease answered",
			"start a cyclamen-control, or reach one with --process")
	}
	return *e, err
}

func (e *Explanation) is(format string, args ...any) {
	e.Is = append(e.Is, fmt.Sprintf(format, args...))
}

func (e *Explanation) why(format string, args ...any) {
	e.Why = append(e.Why, fmt.Sprintf(format, args...))
}

// waits notes what it waits for and what would unblock that.
func (e *Explanation) waits(what, unblock string) {
	e.WaitsFor = append(e.WaitsFor, what)
	if unblock != "" && !slices.Contains(e.Unblock, unblock) {
		e.Unblock = append(e.Unblock, unblock)
	}
}

func (e *Explanation) manifest(st *fleetlog.State, view planner.View) {
	m := st.Manifest.Current()
	if m == nil {
		e.is("no manifest is in force")
		e.waits("a first manifest", "cyclamenctl publish FILE --wait")
		return
	}
	e.is("generation %d of deployment %s, published by %s, accepted at offset %d",
		st.Manifest.Generation, m.Deployment, st.Manifest.Operator, st.Manifest.Offset)
	for _, p := range m.Pools {
		e.is("pool %s: %d of %d instances serve, at least %d must",
			p.Name, st.Pools.Available(p.Name), p.Instances.Size(), st.Manifest.MinAvailable(p.Name))
	}
	for _, id := range slices.Sorted(maps.Keys(st.Pools.Instances)) {
		if in := st.Pools.Instances[id]; in.Operation != "" {
			e.why("%s is %s to %s: %s", id, in.Phase, orSpare(in.Target), in.Why)
		}
	}
	for _, op := range view.Progress {
		e.operation(op)
	}
	e.spare(m.Buffer.Survive, view.Spare)
	e.decisions(view, "")
}

// spare tells whether the shared spare is enough for the loss it is meant for.
func (e *Explanation) spare(domain manifest.FailureDomain, s pools.SpareNeed) {
	e.is("%d spares; %d cover the loss of the worst %s", s.Held, s.Needed, domain)
	if missing := s.Missing(); missing > 0 {
		e.waits(fmt.Sprintf("%d more spares: the loss of the worst %s would leave a service below its budget", missing, domain),
			"more instances, smaller pools, lower budgets, or a smaller failure domain in buffer.survive")
	}
}

func orSpare(pool string) string {
	if pool == "" {
		return "the spares"
	}
	return pool
}
