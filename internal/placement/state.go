// Package placement decides which worker runs which task of a pool's jobs,
// which tasks are stopped, which workers are quarantined and which jobs are set
// aside. Decide takes the manifest, the instances, the tasks that have not
// ended, size estimates and the history of ended tasks; State folds the
// resulting records. The planner calls Decide in its rounds, and package
// fleetlog applies the records to State.
package placement

import (
	"slices"

	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/platform"
)

// Task is a placed task that is not known to have ended.
type Task struct {
	ID       string `json:"id"`
	Job      string `json:"job"`
	Index    int    `json:"index"`
	Instance string `json:"instance"`
	// State is the last state that the platform reported; empty before the
	// first report.
	State platform.TaskState `json:"state"`
	// StartedMillis is the time at which the task was placed.
	StartedMillis int64 `json:"started_ms"`
	// Stopping: a stop was requested and the task has not ended yet.
	Stopping bool `json:"stopping"`
}

// IsFinal reports whether a state is final.
func IsFinal(s platform.TaskState) bool {
	switch s {
	case platform.TaskDone, platform.TaskFailed, platform.TaskStopped,
		platform.TaskLapsed, platform.TaskRejected:
		return true
	}
	return false
}

// Limits of the entries kept in History. They only need to reach the thresholds
// at which a job is set aside and a worker is quarantined.
const (
	maxFailedWorkers = 8
	maxFailedJobs    = 8
)

// History is the evidence from ended tasks about jobs and workers. The zero
// value is ready for use. It may be lost, except for the completed indices of
// jobs with a duration, because a completed task must not run again.
type History struct {
	Jobs    map[string]JobHistory    `json:"jobs"`
	Workers map[string]WorkerHistory `json:"workers"`
}

// JobHistory is the evidence about one job.
type JobHistory struct {
	// Spec is the job at the time of the failures. Failures of another spec
	// don't count, as the operator may have fixed the job.
	Spec manifest.Job `json:"spec"`
	// Done holds the indices of completed tasks.
	Done map[int]bool `json:"done"`
	// FailedOn holds the distinct workers on which the job has failed since its
	// last success.
	FailedOn []string `json:"failed_on"`
	// Failures counts failures since the last success.
	Failures int `json:"failures"`
	// LastFailureMillis is the time of the last failure.
	LastFailureMillis int64 `json:"last_failure_ms"`
	// Succeeded: a task of the job has completed.
	Succeeded bool `json:"succeeded"`
}

// WorkerHistory is the evidence about one worker since it booted.
type WorkerHistory struct {
	BootID string `json:"boot_id"`
	// FailedJobs holds the distinct jobs that have failed on the worker since
	// its last success.
	FailedJobs []string `json:"failed_jobs"`
	// LastFailureMillis is the time of the last failure.
	LastFailureMillis int64 `json:"last_failure_ms"`
	// Succeeded: a task has completed on the worker since it booted.
	Succeeded bool `json:"succeeded"`
}

// Outcome is how a task ended.
type Outcome struct {
	// Job is the job as the manifest has it.
	Job      manifest.Job
	Index    int
	Instance string
	BootID   string
	State    platform.TaskState
	AtMillis int64
}

// Observe adds the end of a task. A task that was stopped, that lapsed or that
// the worker rejected for lack of capacity is no evidence about its job or
// worker.
func (h *History) Observe(o Outcome) {
	if h.Jobs == nil {
		h.Jobs, h.Workers = map[string]JobHistory{}, map[string]WorkerHistory{}
	}
	switch o.State {
	case platform.TaskDone:
		h.recordSuccess(o)
	case platform.TaskFailed:
		h.recordFailure(o)
	}
}

func (h *History) recordSuccess(o Outcome) {
	j := h.jobHistory(o.Job)
	j.Succeeded, j.FailedOn, j.Failures = true, nil, 0
	if o.Job.DurationMillis > 0 {
		if j.Done == nil {
			j.Done = map[int]bool{}
		}
		j.Done[o.Index] = true
	}
	h.Jobs[o.Job.Name] = j
	w := h.workerHistory(o.Instance, o.BootID)
	w.Succeeded, w.FailedJobs = true, nil
	h.Workers[o.Instance] = w
}

func (h *History) recordFailure(o Outcome) {
	j := h.jobHistory(o.Job)
	j.FailedOn = addDistinct(j.FailedOn, o.Instance, maxFailedWorkers)
	j.Failures++
	j.LastFailureMillis = o.AtMillis
	h.Jobs[o.Job.Name] = j
	w := h.workerHistory(o.Instance, o.BootID)
	w.FailedJobs = addDistinct(w.FailedJobs, o.Job.Name, maxFailedJobs)
	w.LastFailureMillis = o.AtMillis
	h.Workers[o.Instance] = w
}

// jobHistory returns a job's history, without the failures of another spec.
func (h *History) jobHistory(spec manifest.Job) JobHistory {
	spec.Tasks = 0
	j := h.Jobs[spec.Name]
	if j.Spec != spec {
		j = JobHistory{Spec: spec, Done: j.Done}
	}
	return j
}

// workerHistory returns a worker's history, which is empty after a reboot.
func (h *History) workerHistory(instance, bootID string) WorkerHistory {
	w := h.Workers[instance]
	if w.BootID != bootID {
		w = WorkerHistory{BootID: bootID}
	}
	return w
}

// Forget drops the history of jobs and workers for which keepJob and keepWorker
// return false.
func (h *History) Forget(keepJob, keepWorker func(string) bool) {
	for name := range h.Jobs {
		if !keepJob(name) {
			delete(h.Jobs, name)
		}
	}
	for id := range h.Workers {
		if !keepWorker(id) {
			delete(h.Workers, id)
		}
	}
}

func addDistinct(list []string, s string, limit int) []string {
	if slices.Contains(list, s) || len(list) >= limit {
		return list
	}
	return append(slices.Clone(list), s)
}
