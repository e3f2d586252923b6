package standin

import (
	"sort"
	"sync"
	"time"

	"cyclamenwheel/internal/platform"
)

// taskMemory is how long an ended task is still reported. Its id is never
// forgotten: a late repetition of its start must not run it again.
const taskMemory = 10 * time.Minute

// JobTruth is how a job's tasks differ from what they declare. 0 stands for 1.
type JobTruth struct {
	UsageFactor    float64 `json:"usage_factor,omitempty"`
	DurationFactor float64 `json:"duration_factor,omitempty"`
}

// task is one placement. Its end is worked out when somebody looks, so that it
// needs no timer.
type task struct {
	platform.Task
	started    time.Time
	leaseUntil time.Time
	state      platform.TaskState
	reason     string
	ended      time.Time
}

// taskStore is all workers' tasks.
type taskStore struct {
	mu      sync.Mutex
	tasks   map[string]*task
	jobs    map[string]JobTruth
	failing map[string]bool
	lag     time.Duration
}

func newTaskStore(lag time.Duration) *taskStore {
	return &taskStore{tasks: map[string]*task{}, jobs: map[string]JobTruth{}, failing: map[string]bool{}, lag: lag}
}

// start runs a task unless its id is known.
func (t *taskStore) start(spec platform.Task, worker platform.Instance, known bool) {
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
	case !known:
		k.finish(platform.TaskRejected, platform.ReasonUnknownInstance, now)
	case spec.Cores > worker.Cores || spec.MemoryMB > worker.MemoryMB || spec.Accelerators > worker.Accelerators:
		k.finish(platform.TaskRejected, platform.ReasonTooLarge, now)
	case worker.State != platform.StateLive:
		k.finish(platform.TaskStopped, platform.ReasonNotLive, now)
	case t.failing[spec.Instance]:
		k.finish(platform.TaskFailed, platform.ReasonWorkerFault, now)
	}
}

func (k *task) finish(state platform.TaskState, reason string, at time.Time) {
	k.state, k.reason, k.ended = state, reason, at
}

// settle ends a task whose run time or lease is over by now.
func (t *taskStore) settle(k *task, now time.Time) {
	if k.state != platform.TaskRunning {
		return
	}
	done := k.leaseUntil.Add(1)
	if k.DurationMillis > 0 {
		ms := float64(k.DurationMillis) * orOne(t.jobs[k.Job].DurationFactor)
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
	t.each(ids, func(k *task, now time.Time) { k.leaseUntil = now.Add(lease) })
}

func (t *taskStore) stop(ids []string) {
	t.each(ids, func(k *task, now time.Time) { k.finish(platform.TaskStopped, "", now) })
}

// each applies do to the running ones of the named tasks.
func (t *taskStore) each(ids []string, do func(*task, time.Time)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, id := range ids {
		k := t.tasks[id]
		if k == nil {
			continue
		}
		if t.settle(k, now); k.state == platform.TaskRunning {
			do(k, now)
		}
	}
}

// endInstance stops all tasks of an instance.
func (t *taskStore) endInstance(id, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endWhere(id, platform.TaskStopped, reason)
}

// setFailing makes a worker fail what it runs and starts.
func (t *taskStore) setFailing(id string, failing bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failing[id] = failing
	if failing {
		t.endWhere(id, platform.TaskFailed, platform.ReasonWorkerFault)
	}
}

func (t *taskStore) endWhere(id string, state platform.TaskState, reason string) {
	now := time.Now()
	for _, k := range t.tasks {
		if k.Instance != id {
			continue
		}
		if t.settle(k, now); k.state == platform.TaskRunning {
			k.finish(state, reason, now)
		}
	}
}

func (t *taskStore) setJob(job string, truth JobTruth) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.jobs[job] = truth
}

func (t *taskStore) setLag(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lag = d
}

// reports is every task as it stood a lag ago.
func (t *taskStore) reports() []platform.TaskReport { return t.reportsAt(false) }

// truth is every task as it stands.
func (t *taskStore) truth() []platform.TaskReport { return t.reportsAt(true) }

func (t *taskStore) reportsAt(exact bool) []platform.TaskReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	asOf := now.Add(-t.lag)
	if exact {
		asOf = now
	}
	out := []platform.TaskReport{}
	for _, k := range t.tasks {
		t.settle(k, now)
		forgotten := k.state != platform.TaskRunning && k.ended.Add(taskMemory).Before(asOf)
		if k.started.After(asOf) || forgotten {
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
		factor := orOne(t.jobs[k.Job].UsageFactor)
		r.UsedCores = k.Cores * factor
		r.UsedMemoryMB = int(float64(k.MemoryMB) * factor)
	}
	return r
}

func orOne(f float64) float64 {
	if f == 0 {
		return 1
	}
	return f
}
