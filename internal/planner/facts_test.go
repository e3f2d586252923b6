package planner_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/membership"
	"cyclamenwheel/internal/planner"
	"cyclamenwheel/internal/platform"
	"cyclamenwheel/internal/pools"
)

func stateWith(in pools.Instance) *fleetlog.State {
	st := fleetlog.NewState()
	st.Pools.Instances = map[string]*pools.Instance{in.ID: &in}
	return st
}

func listWith(rows ...platform.Instance) platform.InstanceList {
	return platform.InstanceList{Version: 1, Instances: rows}
}

func silentFor(d time.Duration) planner.Observed {
	return func(string) time.Duration { return d }
}

func worker(state platform.InstanceState, boot string) platform.Instance {
	return platform.Instance{ID: "w", Kind: platform.KindWorker, State: state, BootID: boot}
}

func TestCompare(t *testing.T) {
	serving := pools.Instance{ID: "w", BootID: "b1", Pool: "a", Phase: pools.PhaseServing}
	moving := pools.Instance{ID: "w", BootID: "b1", Pool: "a", Phase: pools.PhaseMoving, Operation: "op"}
	down := pools.Instance{ID: "w", BootID: "b1", Pool: "a", Phase: pools.PhaseDown}
	for name, c := range map[string]struct {
		in     pools.Instance
		rows   []platform.Instance
		seen   int
		down   string
		forget int
	}{
		"nothing new":                        {serving, []platform.Instance{worker(platform.StateLive, "b1")}, 0, "", 0},
		"restarted unseen":                   {serving, []platform.Instance{worker(platform.StateLive, "b2")}, 1, "", 0},
		"leaving by the platform's own wish": {serving, []platform.Instance{worker(platform.StateLeaving, "b1")}, 0, planner.CauseLeaving, 0},
		"rebooting by our wish":              {moving, []platform.Instance{worker(platform.StateRebooting, "b1")}, 0, "", 0},
		"back from our reboot":               {moving, []platform.Instance{worker(platform.StateLive, "b2")}, 0, "", 0},
		"gone in the middle of a move":       {moving, nil, 0, planner.CauseGone, 0},
		"back":                               {down, []platform.Instance{worker(platform.StateLive, "b2")}, 1, "", 0},
		"gone for good":                      {down, nil, 0, "", 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := planner.Compare(stateWith(c.in), listWith(c.rows...), silentFor(0))
			g.Expect(f.Seen).To(HaveLen(c.seen))
			g.Expect(f.Forget).To(HaveLen(c.forget))
			if c.down == "" {
				g.Expect(f.Down).To(BeEmpty())
			} else {
				g.Expect(f.Down).To(HaveKeyWithValue(c.down, []string{"w"}))
			}
		})
	}
}

// An entry is missing from the list: either it joined a moment ago and the list
// lags, or it has gone. Only silence for longer than any lag tells.
func TestCompareWaitsForALaggingList(t *testing.T) {
	g := NewWithT(t)
	st := fleetlog.NewState()
	st.Members.Members = map[string]membership.Member{"e1": {ID: "e1", BootID: "b1", Instance: "i1"}}
	g.Expect(planner.Compare(st, listWith(), silentFor(time.Second)).Leaves).To(BeEmpty())
	g.Expect(planner.Compare(st, listWith(), silentFor(time.Minute)).Leaves).To(HaveLen(1))
	gone := platform.Instance{ID: "i1", Kind: platform.KindEntry, State: platform.StateGone}
	g.Expect(planner.Compare(st, listWith(gone), silentFor(0)).Leaves).To(HaveLen(1))
}

// A planner takes over in the middle of a move. From the fold, the list and
// the acknowledgements alone it finds the step that comes next.
func TestOperateFindsTheNextStep(t *testing.T) {
	g := NewWithT(t)
	st := stateWith(pools.Instance{
		ID: "w", Pool: "a", Phase: pools.PhaseMoving, Target: "b", Operation: "op", Since: 10, TargetRevision: 2,
	})
	st.Members.Members = map[string]membership.Member{"e1": {ID: "e1", BootID: "b1", Role: membership.RoleEntry, Joined: 1}}
	acks := map[string]membership.Ack{"e1": {BootID: "b1", Offset: 9}}
	live := worker(platform.StateLive, "b1")

	waiting := planner.Operate(st, listWith(live), acks)
	g.Expect(waiting.Reboot).To(BeEmpty())
	g.Expect(waiting.Progress[0].Waiting).To(HaveLen(1))

	acks["e1"] = membership.Ack{BootID: "b1", Offset: 10}
	asked := planner.Operate(st, listWith(live), acks)
	g.Expect(asked.Reboot).To(Equal([]platform.Operation{{ID: "op", Instance: "w", Pool: "b", Revision: 2}}))

	live.Operation, live.BootID, live.Addr = "op", "b2", "127.0.0.1:1"
	done := planner.Operate(st, listWith(live), acks)
	g.Expect(done.Commit).To(Equal([]pools.CommitItem{{Instance: "w", Operation: "op", BootID: "b2", Addr: "127.0.0.1:1"}}))
}
