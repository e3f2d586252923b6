package standin

import (
	"sort"
	"sync"
	"time"

	"cyclamenwheel/internal/platform"
)

// endedTaskRetention is how long an ended task is still reported. Task ids are
// kept forever, so that a late duplicate of a start request does not run the task
// again.
const endedTaskRetention = 10 * time.Minute

// JobFactors sets how a job's tasks deviate from their declared resources and
// duration. 0 means 1.
type JobFactors struct {
	UsageFactor    float64 `json:"usage_factor,omitempty"`
	DurationFactor float64 `json:"duration_factor,omitempty"`
}

// task is one placement on a worker. Its end is computed when it is read, so it
// needs no timer.
type task struct {
	platform.Task
	started    time.Time
	leaseUntil time.Time
	state      platform.TaskState
	reason     string
	ended      time.Time
}

// taskStore holds the tasks of all workers.
type taskStore struct {
	mu             sync.Mutex
	tasks          map[string]*task
	jobFactors     map[string]JobFactors
	failingWorkers map[string]bool
	reportLag      time.Duration
}

func newTaskStore(lag time.Duration) *taskStore {
	return &taskStore{tasks: map[string]*task{}, jobFactors: map[string]JobFactors{}, failingWorkers: map[string]bool{}, reportLag: lag}
}

// start records a task and starts it, unless its id has been used before.
func (t *taskStore) start(spec platform.Task, worker platform.Instance, workerExists bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.tasks[spec.ID] != nil {
		return
	}
	now := time.Now()
	k := &task{Task: spec, started: now, state: platform.TaskRunning,
		leaseUntil: now.Add(time.Duration(spec.LeaseMillis) * time.Millisecond)}
	t.tasks[spec.ID] = k
	switch {
	case !workerExists:
		k.finish(platform.TaskRejected, platform.ReasonUnknownInstance, now)
	case spec.Cores > worker.Cores || spec.MemoryMB > worker.MemoryMB || spec.Accelerators > worker.Accelerators:
		k.finish(platform.TaskRejected, platform.ReasonTooLarge, now)
	case worker.State != platform.StateLive:
		k.finish(platform.TaskStopped, platform.ReasonNotLive, now)
	case t.failingWorkers[spec.Instance]:
		k.finish(platform.TaskFailed, platform.ReasonWorkerFault, now)
	}
}

func (k *task) finish(state platform.TaskState, reason string, at time.Time) {
	k.state, k.reason, k.ended = state, reason, at
}

// updateState ends a running task whose duration or lease is over by now.
func (t *taskStore) updateState(k *task, now time.Time) {
	if k.state != platform.TaskRunning {
		return
	}
	done := k.leaseUntil.Add(1)
	if k.DurationMillis > 0 {
		ms := float64(k.DurationMillis) * factorOrOne(t.jobFactors[k.Job].DurationFactor)
		done = k.started.Add(time.Duration(ms * float64(time.Millisecond)))
	}
	switch {
	case !done.After(k.leaseUntil) && !done.After(now):
		k.finish(platform.TaskDone, "", done)
	case !k.leaseUntil.After(now):
		k.finish(platform.TaskLapsed, "", k.leaseUntil)
	}
}

func (t *taskStore) renew(ids []string, lease time.Duration) {
	t.forEachRunning(ids, func(k *task, now time.Time) { k.leaseUntil = now.Add(lease) })
}

func (t *taskStore) stop(ids []string) {
	t.forEachRunning(ids, func(k *task, now time.Time) { k.finish(platform.TaskStopped, "", now) })
}

// forEachRunning calls do for those of the given tasks that are running.
func (t *taskStore) forEachRunning(ids []string, do func(*task, time.Time)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, id := range ids {
		k := t.tasks[id]
		if k == nil {
			continue
		}
		if t.updateState(k, now); k.state == platform.TaskRunning {
			do(k, now)
		}
	}
}

// stopTasksOf stops all tasks of an instance.
func (t *taskStore) stopTasksOf(id, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endTasksOf(id, platform.TaskStopped, reason)
}

// setFailing makes a worker fail its running tasks and every task it starts, or
// ends that.
func (t *taskStore) setFailing(id string, failing bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failingWorkers[id] = failing
	if failing {
		t.endTasksOf(id, platform.TaskFailed, platform.ReasonWorkerFault)
	}
}

func (t *taskStore) endTasksOf(id string, state platform.TaskState, reason string) {
	now := time.Now()
	for _, k := range t.tasks {
		if k.Instance != id {
			continue
		}
		if t.updateState(k, now); k.state == platform.TaskRunning {
			k.finish(state, reason, now)
		}
	}
}

func (t *taskStore) setJob(job string, truth JobFactors) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.jobFactors[job] = truth
}

func (t *taskStore) setReportLag(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reportLag = d
}

// laggedReports returns the tasks as they were reportLag ago.
func (t *taskStore) laggedReports() []platform.TaskReport { return t.reportsAt(false) }

// currentReports returns the tasks as they are now.
func (t *taskStore) currentReports() []platform.TaskReport { return t.reportsAt(true) }

func (t *taskStore) reportsAt(exact bool) []platform.TaskReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	asOf := now.Add(-t.reportLag)
	if exact {
		asOf = now
	}
	out := []platform.TaskReport{}
	for _, k := range t.tasks {
		t.updateState(k, now)
		retentionOver := k.state != platform.TaskRunning && k.ended.Add(endedTaskRetention).Before(asOf)
		if k.started.After(asOf) || retentionOver {
			continue
		}
		out = append(out, t.report(k, asOf))
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

func (t *taskStore) report(k *task, asOf time.Time) platform.TaskReport {
	r := platform.TaskReport{ID: k.ID, Job: k.Job, Instance: k.Instance, State: k.state, Reason: k.reason,
		AsOfMillis: asOf.UnixMilli()}
	if k.state != platform.TaskRunning && k.ended.After(asOf) {
		r.State, r.Reason = platform.TaskRunning, ""
	}
	if r.State == platform.TaskRunning {
		factor := factorOrOne(t.jobFactors[k.Job].UsageFactor)
		r.UsedCores = k.Cores * factor
		r.UsedMemoryMB = int(float64(k.MemoryMB) * factor)
	}
	return r
}

func factorOrOne(f float64) float64 {
	if f == 0 {
		return 1
	}
	return f
}
