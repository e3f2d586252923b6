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

func lastReportAgo(d time.Duration) planner.ReportAgeFunc {
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
		"nothing new":                          {serving, []platform.Instance{worker(platform.StateLive, "b1")}, 0, "", 0},
		"restarted without a listed reboot":    {serving, []platform.Instance{worker(platform.StateLive, "b2")}, 1, "", 0},
		"leaving on the platform's initiative": {serving, []platform.Instance{worker(platform.StateLeaving, "b1")}, 0, planner.CauseLeaving, 0},
		"rebooting for the move":               {moving, []platform.Instance{worker(platform.StateRebooting, "b1")}, 0, "", 0},
		"back from the move's reboot":          {moving, []platform.Instance{worker(platform.StateLive, "b2")}, 0, "", 0},
		"gone during a move":                   {moving, nil, 0, planner.CauseGone, 0},
		"back":                                 {down, []platform.Instance{worker(platform.StateLive, "b2")}, 1, "", 0},
		"gone while down":                      {down, nil, 0, "", 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := planner.Compare(stateWith(c.in), listWith(c.rows...), lastReportAgo(0))
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

// An entry is missing from the list because either it joined a moment ago and
// the list lags, or it is gone. It counts as gone only after a time without
// reports that exceeds any lag.
func TestCompareWaitsForALaggingList(t *testing.T) {
	g := NewWithT(t)
	st := fleetlog.NewState()
	st.Members.Members = map[string]membership.Member{"e1": {ID: "e1", BootID: "b1", Instance: "i1"}}
	g.Expect(planner.Compare(st, listWith(), lastReportAgo(time.Second)).Leaves).To(BeEmpty())
	g.Expect(planner.Compare(st, listWith(), lastReportAgo(time.Minute)).Leaves).To(HaveLen(1))
	gone := platform.Instance{ID: "i1", Kind: platform.KindEntry, State: platform.StateGone}
	g.Expect(planner.Compare(st, listWith(gone), lastReportAgo(0)).Leaves).To(HaveLen(1))
}

// A planner that takes over during a move determines the next step from the
// folded state, the list and the acknowledgements alone.
func TestNextStepsAfterTakeover(t *testing.T) {
	g := NewWithT(t)
	st := stateWith(pools.Instance{
		ID: "w", Pool: "a", Phase: pools.PhaseMoving, Target: "b", Operation: "op", Since: 10, TargetRevision: 2,
	})
	st.Members.Members = map[string]membership.Member{"e1": {ID: "e1", BootID: "b1", Role: membership.RoleEntry, Joined: 1}}
	acks := map[string]membership.Ack{"e1": {BootID: "b1", Offset: 9}}
	live := worker(platform.StateLive, "b1")

	waiting := planner.NextSteps(st, listWith(live), acks)
	g.Expect(waiting.Reboot).To(BeEmpty())
	g.Expect(waiting.Progress[0].Waiting).To(HaveLen(1))

	acks["e1"] = membership.Ack{BootID: "b1", Offset: 10}
	asked := planner.NextSteps(st, listWith(live), acks)
	g.Expect(asked.Reboot).To(Equal([]platform.Operation{{ID: "op", Instance: "w", Pool: "b", Revision: 2}}))

	live.Operation, live.BootID, live.Addr = "op", "b2", "127.0.0.1:1"
	done := planner.NextSteps(st, listWith(live), acks)
	g.Expect(done.Commit).To(Equal([]pools.CommitItem{{Instance: "w", Operation: "op", BootID: "b2", Addr: "127.0.0.1:1"}}))
}
