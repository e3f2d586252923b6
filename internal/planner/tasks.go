package planner

import (
	"context"
	"maps"
	"slices"
	"time"

	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/placement"
	"cyclamenwheel/internal/platform"
)

const (
	// taskLease is how long a worker runs a task without a renewal: longer
	// than a planner takes to be replaced (lease TTL and one round), so that a
	// fail-over costs no task.
	taskLease = 30 * time.Second
	// renewEvery leaves room for two lost renewals.
	renewEvery = taskLease / 3
	// reportsEvery is how often task reports are read.
	reportsEvery = 500 * time.Millisecond
	// startAgainAfter is how long a started task may be missing from the
	// lagging reports before it is asked for again under its id.
	startAgainAfter = 5 * time.Second
	// tasksPerRecord bounds one record; the rest follows in the next round.
	tasksPerRecord = 2000
)

// taskRunner places tasks and keeps them running.
type taskRunner struct {
	p         *Planner
	reported  map[string]platform.TaskState
	ended     []placement.End
	estimator *placement.Estimator
	readAt    time.Duration
	renewAt   time.Duration
	asked     map[string]time.Duration
	calling   bool
	reading   bool
	last      placement.Output
}

func newTaskRunner(p *Planner) *taskRunner {
	return &taskRunner{
		p: p, reported: make(map[string]platform.TaskState), asked: make(map[string]time.Duration),
		estimator: &placement.Estimator{},
	}
}

// tick reads reports and asks the platform for what the fold says should run,
// when they are due. Placement itself is decided in the planner's rounds.
func (t *taskRunner) tick(now time.Duration) {
	if len(t.p.node.State().Tasks.Tasks) == 0 || now-t.readAt < reportsEvery {
		return
	}
	t.read(now)
	t.ask(now)
}

func (t *taskRunner) read(now time.Duration) {
	t.readAt = now
	if t.reading {
		return
	}
	t.reading = true
	t.p.background(func(ctx context.Context) {
		reports, err := t.p.opts.Platform.Reports(ctx)
		t.p.node.Post(func() {
			t.reading = false
			if err == nil {
				t.observe(reports)
			}
		})
	})
}

func (t *taskRunner) observe(reports []platform.TaskReport) {
	st := t.p.node.State()
	jobs := st.Manifest.Current().JobsByName()
	before := t.reported
	t.reported = make(map[string]platform.TaskState, len(before))
	t.ended = t.ended[:0]
	for _, r := range reports {
		held, ok := st.Tasks.Tasks[r.ID]
		if !ok {
			continue
		}
		t.reported[r.ID] = r.State
		if placement.Ended(r.State) {
			t.ended = append(t.ended, placement.End{ID: r.ID, State: r.State})
			t.estimator.End(held.Job, r.ID)
			continue
		}
		if job, known := jobs[held.Job]; known {
			t.estimator.Observe(job.Job, r, held.PlacedMillis, st.TimeMillis)
		}
	}
	if len(t.ended) > 0 || !maps.Equal(before, t.reported) {
		t.p.dirty = true
	}
}

func (t *taskRunner) decide() {
	if t.p.busy[fleetlog.KindTasks] {
		return
	}
	st := t.p.node.State()
	t.last = placement.Decide(placement.Input{
		Manifest: st.Manifest.Current(), Instances: sorted(st.Pools.Instances),
		Tasks: st.Tasks.Current(t.reported), Sizer: t.estimator, History: &st.Tasks.History,
		NowMillis: st.TimeMillis, Limits: placement.Limits{MaxPlaces: tasksPerRecord},
	})
	t.countTasks()
	rec := placement.Tasks{End: slices.Clone(t.ended)}
	for _, pl := range t.last.Places {
		rec.Place = append(rec.Place, placement.Placed{
			ID: fleetlog.NewID().String(), Job: pl.Job, Index: pl.Index, Instance: pl.Instance, Why: pl.Reason,
			Cores: pl.Size.Cores, MemoryMB: pl.Size.MemoryMB, Accelerators: pl.Size.Accelerators,
		})
	}
	for _, s := range t.last.Stops {
		rec.Stop = append(rec.Stop, s.Task)
	}
	t.ended = nil
	if len(rec.Place)+len(rec.Stop)+len(rec.End) > 0 {
		t.p.submit(fleetlog.KindTasks, rec)
	}
}

// ask brings the platform to what the fold says: tasks not yet reported are
// started, stopping ones stopped, running ones renewed. Each call names tasks
// by id, so repeating it is harmless.
func (t *taskRunner) ask(now time.Duration) {
	if t.calling || t.p.contender.Holds(t.p.node.Now()) == 0 {
		return
	}
	start, stop, renew := t.due(now)
	if now-t.renewAt < renewEvery {
		renew = nil
	}
	if len(start)+len(stop)+len(renew) == 0 {
		return
	}
	if len(renew) > 0 {
		t.renewAt = now
	}
	t.calling = true
	t.p.background(func(ctx context.Context) {
		err := t.call(ctx, start, stop, renew)
		t.p.node.Post(func() {
			t.calling = false
			if err != nil {
				t.p.log.Warn("tasks not taken", "error", err.Error())
			}
		})
	})
}

func (t *taskRunner) due(now time.Duration) (start []platform.Task, stop, renew []string) {
	st := t.p.node.State()
	jobs := st.Manifest.Current().JobsByName()
	for id, held := range st.Tasks.Tasks {
		state, reported := t.reported[id]
		switch {
		case held.Stopping:
			if now-t.asked[id] >= askAgainAfter {
				t.asked[id] = now
				stop = append(stop, id)
			}
		case !reported && now-t.asked[id] >= startAgainAfter:
			t.asked[id] = now
			start = append(start, taskOf(id, held, jobs[held.Job].Job))
		case reported && !placement.Ended(state):
			renew = append(renew, id)
		}
	}
	for id := range t.asked {
		if _, held := st.Tasks.Tasks[id]; !held {
			delete(t.asked, id)
		}
	}
	return start, stop, renew
}

func (t *taskRunner) call(ctx context.Context, start []platform.Task, stop, renew []string) error {
	if len(start) > 0 {
		if err := t.p.opts.Platform.Start(ctx, start); err != nil {
			return err
		}
	}
	if len(stop) > 0 {
		if err := t.p.opts.Platform.Stop(ctx, stop); err != nil {
			return err
		}
	}
	if len(renew) > 0 {
		return t.p.opts.Platform.Renew(ctx, renew, taskLease)
	}
	return nil
}

func taskOf(id string, held placement.Held, job manifest.Job) platform.Task {
	return platform.Task{
		ID: id, Job: held.Job, Instance: held.Instance, Cores: held.Cores, MemoryMB: held.MemoryMB,
		Accelerators: held.Accelerators, LeaseMillis: taskLease.Milliseconds(), DurationMillis: job.DurationMillis,
	}
}
