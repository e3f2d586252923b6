// Package platform defines the interfaces to the services that the fleet's owner already
// runs: the log service, the instance list, pool operations and workers' tasks. Its HTTP
// client turns calls into requests of the protocol in docs/PLATFORM.md and classifies
// failures by whether the call may have had an effect. The planner, the fleet log, the
// processes' set-up and the command-line tool call it.
//
// A response can be lost after the call took effect, repeated or delayed. Every operation is
// therefore level-based (it states the wanted state, not a step) and carries an id under which
// the platform treats a retry as the same operation. Log.Append is the exception: a retry
// adds the record again.
package platform

import (
	"context"
	"time"
)

// LogRecord is one record of the log service.
type LogRecord struct {
	// Offset is the record's position in the stream. Offsets are contiguous and start at 1.
	Offset uint64 `json:"offset" cbor:"1,keyasint"`
	// TimeMillis is the service's time of the append in Unix milliseconds. It never decreases
	// along the stream.
	TimeMillis int64  `json:"time_ms" cbor:"2,keyasint"`
	Data       []byte `json:"data" cbor:"3,keyasint"`
}

// LogPage is the result of a read.
type LogPage struct {
	Records []LogRecord `json:"records"`
	// First is the oldest retained offset and Head the newest one; Head is First-1 if the
	// stream is empty.
	First uint64 `json:"first"`
	Head  uint64 `json:"head"`
}

// Log is an append-only stream. There is no conditional append: the records of two racing
// writers are both appended, and the readers' fold decides between them.
type Log interface {
	// Append adds one record and returns its offset. An error of type
	// *OutcomeUnknownError means that the record may have been appended.
	Append(ctx context.Context, data []byte) (uint64, error)
	// Read returns up to max records, beginning at offset from. If there are none yet, it
	// waits up to wait for one (long poll). It returns *TrimmedError if from is older than
	// the oldest retained record.
	Read(ctx context.Context, from uint64, max int, wait time.Duration) (LogPage, error)
}

// InstanceKind distinguishes the instances of endpoints from those of this system.
type InstanceKind string

// Kinds of instances in the list.
const (
	KindWorker InstanceKind = "worker"
	KindEntry  InstanceKind = "entry"
)

// InstanceState is the platform's state of an instance.
type InstanceState string

// States of an instance. An instance that is gone stays in the list for a while.
const (
	StateLive      InstanceState = "live"
	StateLeaving   InstanceState = "leaving"
	StateRebooting InstanceState = "rebooting"
	StateGone      InstanceState = "gone"
)

// Instance is one row of the instance list.
type Instance struct {
	ID    string        `json:"id" cbor:"1,keyasint"`
	Kind  InstanceKind  `json:"kind" cbor:"2,keyasint"`
	State InstanceState `json:"state" cbor:"3,keyasint"`
	// BootID changes at every boot. It identifies the incarnation behind an address.
	BootID string `json:"boot_id" cbor:"4,keyasint"`
	Zone   string `json:"zone" cbor:"5,keyasint"`
	Rack   string `json:"rack" cbor:"6,keyasint"`
	// Addr is the host:port where the instance's endpoint serves HTTP.
	Addr string `json:"addr" cbor:"7,keyasint"`
	// Pool is the pool to which the platform assigns the instance; empty for none.
	Pool         string  `json:"pool,omitempty" cbor:"8,keyasint,omitempty"`
	Cores        float64 `json:"cores" cbor:"9,keyasint"`
	MemoryMB     int     `json:"memory_mb" cbor:"10,keyasint"`
	Accelerators int     `json:"accelerators" cbor:"11,keyasint"`
	// Slots is how many requests the endpoint runs at once. Connections is how many
	// connections it accepts from all clients together.
	Slots       int `json:"slots" cbor:"12,keyasint"`
	Connections int `json:"connections" cbor:"13,keyasint"`
	// Operation is the id of the last completed pool operation: the instance is live again,
	// in the wanted pool.
	Operation string `json:"operation,omitempty" cbor:"14,keyasint,omitempty"`
}

// InstanceList is the instance list, which lags behind the instances' actual state. Version
// increases with every change.
type InstanceList struct {
	Version   uint64     `json:"version" cbor:"1,keyasint"`
	Instances []Instance `json:"instances" cbor:"2,keyasint"`
}

// Operation asks the platform to drain and reboot an instance into a pool.
type Operation struct {
	// ID makes the operation idempotent: the platform reboots once per id.
	ID       string `json:"id"`
	Instance string `json:"instance"`
	// Pool is the pool that the instance belongs to afterwards; for maintenance alone it is
	// the current one.
	Pool string `json:"pool"`
	// Revision is the maintenance revision to install, 0 to keep the installed one.
	Revision int `json:"revision,omitempty"`
}

// Fleet provides the instance list and the pool operations.
type Fleet interface {
	// Instances returns the list if its version is above since, and otherwise waits up to
	// wait for a newer one. An unchanged list is returned without instances and with the
	// same version.
	Instances(ctx context.Context, since uint64, wait time.Duration) (InstanceList, error)
	// Reboot requests op. It returns once the platform has accepted the request; completion
	// appears in the list as Instance.Operation.
	Reboot(ctx context.Context, op Operation) error
	// Fence stops an instance permanently, for example a hung entry that is still listed. The
	// list then shows the instance as gone.
	Fence(ctx context.Context, instance, operationID string) error
}

// Task is the wanted state of one task on a worker.
type Task struct {
	// ID is unique per placement. The platform runs a task once per id.
	ID           string  `json:"id"`
	Job          string  `json:"job"`
	Instance     string  `json:"instance"`
	Cores        float64 `json:"cores"`
	MemoryMB     int     `json:"memory_mb"`
	Accelerators int     `json:"accelerators"`
	// LeaseMillis is how long the worker keeps the task running without a renewal.
	LeaseMillis int64 `json:"lease_ms"`
	// DurationMillis tells the stand-in platform how long the task runs; 0 is forever.
	DurationMillis int64 `json:"duration_ms,omitempty"`
}

// TaskState is the state of a task as reported by its worker.
type TaskState string

// States of a task.
const (
	TaskRunning  TaskState = "running"
	TaskDone     TaskState = "done"
	TaskFailed   TaskState = "failed"
	TaskStopped  TaskState = "stopped"
	TaskLapsed   TaskState = "lapsed"
	TaskRejected TaskState = "rejected"
)

// TaskReport is a delayed report of one task's state and usage.
type TaskReport struct {
	ID       string    `json:"id"`
	Job      string    `json:"job"`
	Instance string    `json:"instance"`
	State    TaskState `json:"state"`
	Reason   string    `json:"reason,omitempty"`
	// UsedCores and UsedMemoryMB are a recent measurement, taken at AsOfMillis.
	UsedCores    float64 `json:"used_cores"`
	UsedMemoryMB int     `json:"used_memory_mb"`
	AsOfMillis   int64   `json:"as_of_ms"`
}

// Tasks starts, renews, stops and lists the tasks on workers.
type Tasks interface {
	// Start requests that tasks run. A task whose id the platform already has is unchanged.
	Start(ctx context.Context, tasks []Task) error
	// Renew extends the leases of the named tasks by lease.
	Renew(ctx context.Context, ids []string, lease time.Duration) error
	// Stop ends tasks. An unknown id or an ended task is not an error.
	Stop(ctx context.Context, ids []string) error
	// Reports returns the delayed reports of all tasks that the platform still retains.
	Reports(ctx context.Context) ([]TaskReport, error)
}

// Platform combines all services of the platform.
type Platform interface {
	Log
	Fleet
	Tasks
}
