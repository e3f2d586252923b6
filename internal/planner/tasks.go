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
	// taskLease is how long a worker runs a task without a renewal. It is
	// longer than the replacement of a planner takes (lease TTL and one round),
	// so that a failover ends no task.
	taskLease = 30 * time.Second
	// renewInterval allows for two lost renewals.
	renewInterval = taskLease / 3
	// reportInterval is how often task reports are read.
	reportInterval = 500 * time.Millisecond
	// startRetryInterval is how long a started task may be missing from the
	// lagging reports before its start is requested again under the same id.
	startRetryInterval = 5 * time.Second
	// maxTasksPerRecord bounds one record; the rest follows in later rounds.
	maxTasksPerRecord = 2000
)

// taskRunner places tasks and keeps them running.
type taskRunner struct {
	planner      *Planner
	reported     map[string]platform.TaskState
	ended        []placement.End
	estimator    *placement.Estimator
	lastReadAt   time.Duration
	lastRenewAt  time.Duration
	requestedAt  map[string]time.Duration
	callInFlight bool
	readInFlight bool
	lastOutput   placement.Output
}

func newTaskRunner(planner *Planner) *taskRunner {
	return &taskRunner{
		planner: planner, reported: make(map[string]platform.TaskState), requestedAt: make(map[string]time.Duration),
		estimator: &placement.Estimator{},
	}
}

// tick reads the task reports and reconciles the platform when that is due.
// Placement itself is decided in the planner's rounds.
func (t *taskRunner) tick(now time.Duration) {
	if len(t.planner.node.State().Tasks.Tasks) == 0 || now-t.lastReadAt < reportInterval {
		return
	}
	t.readReports(now)
	t.reconcile(now)
}

func (t *taskRunner) readReports(now time.Duration) {
	t.lastReadAt = now
	if t.readInFlight {
		return
	}
	t.readInFlight = true
	t.planner.background(func(ctx context.Context) {
		reports, err := t.planner.opts.Platform.Reports(ctx)
		t.planner.node.Post(func() {
			t.readInFlight = false
			if err == nil {
				t.applyReports(reports)
			}
		})
	})
}

func (t *taskRunner) applyReports(reports []platform.TaskReport) {
	st := t.planner.node.State()
	jobs := st.Manifest.Current().JobsByName()
	before := t.reported
	t.reported = make(map[string]platform.TaskState, len(before))
	t.ended = t.ended[:0]
	for _, r := range reports {
		task, ok := st.Tasks.Tasks[r.ID]
		if !ok {
			continue
		}
		t.reported[r.ID] = r.State
		if placement.IsFinal(r.State) {
			t.ended = append(t.ended, placement.End{ID: r.ID, State: r.State})
			t.estimator.End(task.Job, r.ID)
			continue
		}
		if job, known := jobs[task.Job]; known {
			t.estimator.Observe(job.Job, r, task.PlacedMillis, st.TimeMillis)
		}
	}
	if len(t.ended) > 0 || !maps.Equal(before, t.reported) {
		t.planner.roundNeeded = true
	}
}

func (t *taskRunner) decide() {
	if t.planner.submitting[fleetlog.KindTasks] {
		return
	}
	st := t.planner.node.State()
	t.lastOutput = placement.Decide(placement.Input{
		Manifest: st.Manifest.Current(), Instances: sortedInstances(st.Pools.Instances),
		Tasks: st.Tasks.Current(t.reported), Sizer: t.estimator, History: &st.Tasks.History,
		NowMillis: st.TimeMillis, Limits: placement.Limits{MaxPlaces: maxTasksPerRecord},
	})
	t.countTasks()
	rec := placement.Tasks{End: slices.Clone(t.ended)}
	for _, pl := range t.lastOutput.Places {
		rec.Place = append(rec.Place, placement.Placed{
			ID: fleetlog.NewID().String(), Job: pl.Job, Index: pl.Index, Instance: pl.Instance, Why: pl.Reason,
			Cores: pl.Size.Cores, MemoryMB: pl.Size.MemoryMB, Accelerators: pl.Size.Accelerators,
		})
	}
	for _, s := range t.lastOutput.Stops {
		rec.Stop = append(rec.Stop, s.Task)
	}
	t.ended = nil
	if len(rec.Place)+len(rec.Stop)+len(rec.End) > 0 {
		t.planner.submit(fleetlog.KindTasks, rec)
	}
}

// reconcile brings the platform to the folded state: tasks that are not
// reported yet are started, stopping ones stopped and running ones renewed.
// Each call names tasks by id, so repeating it is harmless.
func (t *taskRunner) reconcile(now time.Duration) {
	if t.callInFlight || t.planner.contender.Holds(t.planner.node.Now()) == 0 {
		return
	}
	start, stop, renew := t.dueCalls(now)
	if now-t.lastRenewAt < renewInterval {
		renew = nil
	}
	if len(start)+len(stop)+len(renew) == 0 {
		return
	}
	if len(renew) > 0 {
		t.lastRenewAt = now
	}
	t.callInFlight = true
	t.planner.background(func(ctx context.Context) {
		err := t.callPlatform(ctx, start, stop, renew)
		t.planner.node.Post(func() {
			t.callInFlight = false
			if err != nil {
				t.planner.log.Warn("task requests failed", "error", err.Error())
			}
		})
	})
}

func (t *taskRunner) dueCalls(now time.Duration) (start []platform.Task, stop, renew []string) {
	st := t.planner.node.State()
	jobs := st.Manifest.Current().JobsByName()
	for id, task := range st.Tasks.Tasks {
		state, reported := t.reported[id]
		switch {
		case task.Stopping:
			if now-t.requestedAt[id] >= requestRetryInterval {
				t.requestedAt[id] = now
				stop = append(stop, id)
			}
		case !reported && now-t.requestedAt[id] >= startRetryInterval:
			t.requestedAt[id] = now
			start = append(start, taskOf(id, task, jobs[task.Job].Job))
		case reported && !placement.IsFinal(state):
			renew = append(renew, id)
		}
	}
	for id := range t.requestedAt {
		if _, exists := st.Tasks.Tasks[id]; !exists {
			delete(t.requestedAt, id)
		}
	}
	return start, stop, renew
}

func (t *taskRunner) callPlatform(ctx context.Context, start []platform.Task, stop, renew []string) error {
	if len(start) > 0 {
		if err := t.planner.opts.Platform.Start(ctx, start); err != nil {
			return err
		}
	}
	if len(stop) > 0 {
		if err := t.planner.opts.Platform.Stop(ctx, stop); err != nil {
			return err
		}
	}
	if len(renew) > 0 {
		return t.planner.opts.Platform.Renew(ctx, renew, taskLease)
	}
	return nil
}

func taskOf(id string, task placement.PlacedTask, job manifest.Job) platform.Task {
	return platform.Task{
		ID: id, Job: task.Job, Instance: task.Instance, Cores: task.Cores, MemoryMB: task.MemoryMB,
		Accelerators: task.Accelerators, LeaseMillis: taskLease.Milliseconds(), DurationMillis: job.DurationMillis,
	}
}
