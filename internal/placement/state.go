// Package placement decides which worker runs which task of a pool's jobs.
package placement

import (
	"slices"

	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/platform"
)

// Task is one placed task that has not ended, as far as is known.
type Task struct {
	ID       string `json:"id"`
	Job      string `json:"job"`
	Index    int    `json:"index"`
	Instance string `json:"instance"`
	// State is what the platform last reported; empty where it has not yet.
	State platform.TaskState `json:"state"`
	// StartedMillis is when it was placed.
	StartedMillis int64 `json:"started_ms"`
	// Stopping: a stop has been asked for and the task has not ended yet.
	Stopping bool `json:"stopping"`
}

// Ended tells whether a state is final.
func Ended(s platform.TaskState) bool {
	switch s {
	case platform.TaskDone, platform.TaskFailed, platform.TaskStopped,
		platform.TaskLapsed, platform.TaskRejected:
		return true
	}
	return false
}

// Limits of what History keeps. They only need to reach the thresholds at
// which a job is set aside and a worker is quarantined.
const (
	maxFailedWorkers = 8
	maxFailedJobs    = 8
)

// History is what ended tasks have shown of jobs and workers. The zero value
// is ready for use. It is folded from ended tasks and may be lost, except for
// the indices done of jobs that end: a task that is done must not run again.
type History struct {
	Jobs    map[string]JobHistory    `json:"jobs"`
	Workers map[string]WorkerHistory `json:"workers"`
}

// JobHistory is what is known of one job.
type JobHistory struct {
	// Spec is the job as it was when the failures were seen. Failures of
	// another spec are forgotten: the operator may have mended the job.
	Spec manifest.Job `json:"spec"`
	// Done holds the indices that ran to their end.
	Done map[int]bool `json:"done"`
	// FailedOn holds distinct workers that the job failed on since its last
	// success.
	FailedOn []string `json:"failed_on"`
	// Failures counts failures since the last success.
	Failures int `json:"failures"`
	// LastFailureMillis is the time of the last one.
	LastFailureMillis int64 `json:"last_failure_ms"`
	// Succeeded: a task of the job has run well.
	Succeeded bool `json:"succeeded"`
}

// WorkerHistory is what is known of one worker since it booted.
type WorkerHistory struct {
	BootID string `json:"boot_id"`
	// FailedJobs holds distinct jobs that failed on it since its last success.
	FailedJobs []string `json:"failed_jobs"`
	// LastFailureMillis is the time of the last failure.
	LastFailureMillis int64 `json:"last_failure_ms"`
	// Succeeded: a task has run well on it since it booted.
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

// Observe takes in how a task ended. Tasks that were stopped, that lapsed or
// that the worker refused for lack of room say nothing of job or worker.
func (h *History) Observe(o Outcome) {
	if h.Jobs == nil {
		h.Jobs, h.Workers = map[string]JobHistory{}, map[string]WorkerHistory{}
	}
	switch o.State {
	case platform.TaskDone:
		h.succeed(o)
	case platform.TaskFailed:
		h.fail(o)
	}
}

func (h *History) succeed(o Outcome) {
	j := h.job(o.Job)
	j.Succeeded, j.FailedOn, j.Failures = true, nil, 0
	if o.Job.DurationMillis > 0 {
		if j.Done == nil {
			j.Done = map[int]bool{}
		}
		j.Done[o.Index] = true
	}
	h.Jobs[o.Job.Name] = j
	w := h.worker(o.Instance, o.BootID)
	w.Succeeded, w.FailedJobs = true, nil
	h.Workers[o.Instance] = w
}

func (h *History) fail(o Outcome) {
	j := h.job(o.Job)
	j.FailedOn = addDistinct(j.FailedOn, o.Instance, maxFailedWorkers)
	j.Failures++
	j.LastFailureMillis = o.AtMillis
	h.Jobs[o.Job.Name] = j
	w := h.worker(o.Instance, o.BootID)
	w.FailedJobs = addDistinct(w.FailedJobs, o.Job.Name, maxFailedJobs)
	w.LastFailureMillis = o.AtMillis
	h.Workers[o.Instance] = w
}

// job returns the history that still applies to a job.
func (h *History) job(spec manifest.Job) JobHistory {
	spec.Tasks = 0
	j := h.Jobs[spec.Name]
	if j.Spec != spec {
		j = JobHistory{Spec: spec, Done: j.Done}
	}
	return j
}

// worker returns the history that still applies to a worker.
func (h *History) worker(instance, bootID string) WorkerHistory {
	w := h.Workers[instance]
	if w.BootID != bootID {
		w = WorkerHistory{BootID: bootID}
	}
	return w
}

// Forget drops what is known of jobs that no manifest names any more and of
// workers that the fleet no longer has.
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
