package placement_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/placement"
	"cyclamenwheel/internal/platform"
	"cyclamenwheel/internal/pools"
)

// testPool is one pool of workers; the test decides which tasks end and how.
type testPool struct {
	in   placement.Input
	next int
}

func newTestPool(workers int, jobs ...manifest.Job) *testPool {
	b := &testPool{}
	b.in.History = &placement.History{}
	b.in.NowMillis = 1_000_000
	b.in.Manifest = &manifest.Manifest{Pools: []manifest.Pool{{Name: "a", Jobs: jobs}}}
	for i := range workers {
		b.in.Instances = append(b.in.Instances, &pools.Instance{
			ID: fmt.Sprintf("w%02d", i), Pool: "a", Phase: pools.PhaseServing,
			Zone: fmt.Sprintf("z%d", i/4%2), Rack: fmt.Sprintf("r%d", i/4), Cores: 16, MemoryMB: 65536,
		})
	}
	return b
}

// round makes a decision and applies it; stopped tasks end at once.
func (b *testPool) round() placement.Output {
	b.in.NowMillis += 1000
	out := placement.Decide(b.in)
	for _, s := range out.Stops {
		b.remove(s.Task)
	}
	for _, p := range out.Places {
		b.next++
		b.in.Tasks = append(b.in.Tasks, placement.Task{
			ID: fmt.Sprintf("t%05d", b.next), Job: p.Job, Index: p.Index, Instance: p.Instance,
			State: platform.TaskRunning, StartedMillis: b.in.NowMillis,
		})
	}
	return out
}

func (b *testPool) remove(id string) {
	for i, t := range b.in.Tasks {
		if t.ID == id {
			b.in.Tasks = append(b.in.Tasks[:i], b.in.Tasks[i+1:]...)
			return
		}
	}
}

// end ends all tasks for which match returns true and returns their number.
func (b *testPool) end(state platform.TaskState, match func(placement.Task) bool) int {
	n := 0
	for i := len(b.in.Tasks) - 1; i >= 0; i-- {
		t := b.in.Tasks[i]
		if !match(t) {
			continue
		}
		n++
		b.in.History.Observe(placement.Outcome{
			Job: b.job(t.Job), Index: t.Index, Instance: t.Instance, State: state, AtMillis: b.in.NowMillis,
		})
		b.remove(t.ID)
	}
	return n
}

func (b *testPool) job(name string) manifest.Job {
	for _, j := range b.in.Manifest.Pools[0].Jobs {
		if j.Name == name {
			return j
		}
	}
	return manifest.Job{}
}

func job(name string, tasks int, cores float64) manifest.Job {
	return manifest.Job{Name: name, Tasks: tasks, Cores: cores, MemoryMB: 1024}
}

var _ = Describe("Placing tasks", func() {
	It("spreads a job over racks and then makes no further decisions", func() {
		b := newTestPool(16, job("j", 4, 2))
		racks := map[string]bool{}
		for _, p := range b.round().Places {
			racks[p.Instance[:2]+fmt.Sprint(p.Instance[2:] >= "08")] = true
		}
		Expect(b.in.Tasks).To(HaveLen(4))
		Expect(b.round()).To(Equal(placement.Output{}))
	})

	It("stops all tasks of a cancelled job in one batch", func() {
		b := newTestPool(16, job("j", 100, 1), job("k", 4, 1))
		b.round()
		b.in.Manifest.Pools[0].Jobs = b.in.Manifest.Pools[0].Jobs[1:]
		out := b.round()
		Expect(out.Stops).To(HaveLen(100))
		Expect(out.Stops[0].Reason).To(Equal(placement.ReasonCancelled))
	})

	It("sets aside a job that fits no worker, with its reason", func() {
		b := newTestPool(4, job("huge", 2, 17), job("j", 1, 1))
		out := b.round()
		Expect(out.SetAside).To(ConsistOf(placement.SetAside{Pool: "a", Job: "huge", Reason: placement.ReasonFitsNoWorker}))
		Expect(out.Places).To(HaveLen(1))
	})

	// All tasks on one worker fail within a second, so it is always free.
	// Without a quarantine it would get the next task each time, and tasks
	// would fail for as long as it is in the pool.
	It("quarantines a worker on which all tasks fail, after few failures", func() {
		var jobs []manifest.Job
		for i := range 20 {
			jobs = append(jobs, job(fmt.Sprintf("j%d", i), 4, 1))
		}
		b := newTestPool(8, jobs...)
		failed := 0
		for range 60 {
			b.round()
			failed += b.end(platform.TaskFailed, func(t placement.Task) bool { return t.Instance == "w03" })
		}
		Expect(b.in.Tasks).To(HaveLen(80))
		Expect(failed).To(BeNumerically("<=", 8))
		Expect(b.round().Quarantine).To(ConsistOf(placement.Quarantine{
			Instance: "w03", Reason: placement.ReasonWorkerFailsAll,
		}))
	})

	It("sets aside a job that fails on healthy workers, after few failures", func() {
		b := newTestPool(8, job("ok", 16, 1), job("bad", 1, 1))
		failed := 0
		for range 200 {
			b.round()
			failed += b.end(platform.TaskFailed, func(t placement.Task) bool { return t.Job == "bad" })
		}
		Expect(failed).To(Equal(3))
		out := b.round()
		Expect(out.SetAside).To(ConsistOf(placement.SetAside{Pool: "a", Job: "bad", Reason: placement.ReasonFailsEverywhere}))
		Expect(out.Quarantine).To(BeEmpty())
	})

	It("displaces the fewest normal tasks for urgent ones when the pool is full", func() {
		b := newTestPool(4, job("bulk", 100, 2))
		b.in.Limits.UrgentReserve = -1
		b.round()
		Expect(b.in.Tasks).To(HaveLen(32))
		urgent := job("urgent", 1, 6)
		urgent.Priority = manifest.PriorityUrgent
		b.in.Manifest.Pools[0].Jobs = append(b.in.Manifest.Pools[0].Jobs, urgent)
		Expect(b.round().Stops).To(HaveLen(3))
		Expect(b.round().Places).To(ContainElement(HaveField("Job", "urgent")))
	})

	It("limits a team to its quota and sets aside a job whose task alone exceeds it", func() {
		j, k := job("j", 10, 2), job("k", 1, 8)
		j.Team, k.Team = "t", "t"
		b := newTestPool(8, j, k)
		b.in.Manifest.Teams = []manifest.Team{{Name: "t", Cores: 7, MemoryMB: 65536}}
		out := b.round()
		Expect(out.Places).To(HaveLen(3))
		Expect(out.Waiting).To(ConsistOf(placement.Waiting{Pool: "a", Job: "j", Tasks: 7, Reason: placement.ReasonTeamQuota}))
		Expect(out.SetAside).To(ConsistOf(placement.SetAside{Pool: "a", Job: "k", Reason: placement.ReasonAboveTeamQuota}))
	})

	// A worker drains. Its task is being stopped but still runs for a while. If
	// it were started elsewhere before that, it would run twice and duplicate a
	// work order.
	It("doesn't start a task again before its predecessor has ended", func() {
		b := newTestPool(4, job("j", 1, 1))
		b.round()
		b.in.Tasks[0].Stopping = true
		out := b.round()
		Expect(out.Places).To(BeEmpty())
		Expect(out.Waiting).To(ConsistOf(placement.Waiting{Pool: "a", Job: "j", Tasks: 1, Reason: placement.ReasonPredecessorEnding}))
		b.in.Tasks = nil
		Expect(b.round().Places).To(HaveLen(1))
	})

	// Two planners placed the same index, one of them before a pause. The later
	// task is stopped, whatever the order of the list.
	It("stops the later of two tasks of one index", func() {
		b := newTestPool(4, job("j", 1, 1))
		b.in.Tasks = []placement.Task{
			{ID: "late", Job: "j", Instance: "w01", StartedMillis: 2},
			{ID: "early", Job: "j", Instance: "w00", StartedMillis: 1},
		}
		Expect(placement.Decide(b.in).Stops).To(ConsistOf(
			placement.Stop{Task: "late", Job: "j", Reason: placement.ReasonDuplicate}))
	})

	It("backs off after a failure and then starts one task at a time", func() {
		b := newTestPool(8, job("j", 10, 1))
		b.round()
		b.end(platform.TaskFailed, func(t placement.Task) bool { return t.Index < 2 })
		b.in.Tasks = nil
		Expect(b.round().Waiting).To(ConsistOf(placement.Waiting{Pool: "a", Job: "j", Tasks: 10, Reason: placement.ReasonBackoff}))
		b.in.NowMillis += 4_000
		Expect(b.round().Places).To(HaveLen(1))
		Expect(b.round().Places).To(BeEmpty())
	})

	It("reserves capacity for urgent tasks and counts running ones towards the reserve", func() {
		b := newTestPool(10, job("bulk", 200, 1))
		b.in.Limits.UrgentReserve = 0.1
		b.in.NowMillis += 60_000
		for i := range b.in.Instances {
			b.in.History.Observe(placement.Outcome{
				Job: job("old", 1, 1), Instance: b.in.Instances[i].ID, State: platform.TaskDone,
			})
		}
		b.round()
		Expect(b.in.Tasks).To(HaveLen(144))
		urgent := job("urgent", 2, 8)
		urgent.Priority = manifest.PriorityUrgent
		b.in.Manifest.Pools[0].Jobs = append(b.in.Manifest.Pools[0].Jobs, urgent)
		out := b.round()
		Expect(out.Stops).To(BeEmpty())
		Expect(out.Places).To(HaveLen(2))
		b.end(platform.TaskDone, func(t placement.Task) bool { return t.Job == "bulk" && t.Index < 16 })
		Expect(b.round().Places).To(HaveLen(16), "no more than a tenth is reserved")
	})
})
