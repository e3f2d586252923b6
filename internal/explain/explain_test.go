package explain_test

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/explain"
	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/fold"
	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/membership"
	"cyclamenwheel/internal/planner"
	"cyclamenwheel/internal/pools"
)

func stateWith(t *testing.T, in pools.Instance) *fleetlog.State {
	t.Helper()
	raw, err := json.Marshal(manifest.Manifest{
		Version: manifest.Version, Deployment: "d", Buffer: manifest.Buffer{Survive: manifest.DomainRack},
		Pools: []manifest.Pool{{Name: "a", Instances: manifest.Selection{Count: 2}, Maintenance: manifest.Maintenance{Revision: 3}}},
		Services: []manifest.Service{{
			Name: "a", Pool: "a", MinAvailable: 1, Classes: []manifest.Class{{Name: "c", DeadlineMillis: 1}},
		}},
	})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	st := fleetlog.NewState()
	v := st.Manifest.ApplyPublish(fold.Meta{Offset: 1}, manifest.Publish{Raw: raw, Operator: "ana"})
	NewWithT(t).Expect(v.Accepted).To(BeTrue(), v.Detail)
	st.Pools.Instances = map[string]*pools.Instance{in.ID: &in}
	return st
}

// A drain waits for an entry that has not acknowledged it. The explanation of
// the instance names the entry, the cause and a remedy.
func TestInstanceWaitingForEntryAck(t *testing.T) {
	g := NewWithT(t)
	st := stateWith(t, pools.Instance{
		ID: "w", Pool: "a", Phase: pools.PhaseDraining, Target: "a", Operation: "op", Why: "maintenance: revision 3",
	})
	view := planner.View{Holds: true, Progress: []planner.Progress{{
		Instance: "w", Operation: "op", Waiting: []membership.Waiting{{Member: "entry-2", Cause: membership.CauseNotAcked}},
	}}}
	e, err := explain.FromFleet(st, view, explain.KindInstance, "w")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(e.Why).To(ContainElement(ContainSubstring("revision 3")))
	g.Expect(e.WaitsFor).To(ContainElement(ContainSubstring("entry-2 (not_acknowledged)")))
	g.Expect(e.Unblock).NotTo(BeEmpty())
}

// The planner's last round still lists an operation that has ended in the
// newer folded state; the explanation must not report a wait for it.
func TestEndedOperationIsNotListedAsWait(t *testing.T) {
	g := NewWithT(t)
	st := stateWith(t, pools.Instance{ID: "w", Pool: "a", Phase: pools.PhaseServing})
	view := planner.View{Holds: true, Progress: []planner.Progress{{Instance: "w", Operation: "op", Asked: true}}}
	e, err := explain.FromFleet(st, view, explain.KindInstance, "w")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(e.WaitsFor).To(BeEmpty())
}

func TestPoolWithShortfall(t *testing.T) {
	g := NewWithT(t)
	st := stateWith(t, pools.Instance{ID: "w", Pool: "a", Phase: pools.PhaseServing, Revision: 1})
	view := planner.View{Holds: true, Moves: pools.Decision{Shortfalls: []pools.Shortfall{
		{Pool: "a", Missing: 1, Reason: pools.ShortNoInstance}, {Pool: "b", Missing: 9, Reason: pools.ShortNoInstance},
	}}}
	e, err := explain.FromFleet(st, view, explain.KindPool, "a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(e.Is).To(ContainElements(ContainSubstring("1 of 2 instances serve, at least 1 must"), ContainSubstring("1 instances below maintenance revision 3")))
	g.Expect(e.WaitsFor).To(HaveLen(1))
	g.Expect(e.Unblock).To(ContainElement(ContainSubstring("more instances")))
}

func TestUnknownNamesAndKinds(t *testing.T) {
	g := NewWithT(t)
	st := stateWith(t, pools.Instance{ID: "w", Pool: "a", Phase: pools.PhaseServing})
	for _, kind := range []explain.Kind{explain.KindInstance, explain.KindPool, explain.KindJob} {
		_, err := explain.FromFleet(st, planner.View{}, kind, "nothing")
		g.Expect(err).To(BeAssignableToTypeOf(&explain.UnknownError{}))
	}
	_, err := explain.FromFleet(st, planner.View{}, "team", "x")
	g.Expect(err).To(BeAssignableToTypeOf(&explain.UnknownKindError{}))
}
