// Package platform is the port to what the fleet's owner already runs: the log
// service, the instance list, pool operations and workers' tasks. The system
// is written against the interfaces here; the HTTP client in this package
// meets the protocol in docs/PLATFORM.md.
//
// Nothing here may be trusted to answer once: an answer can be lost after its
// effect, repeated or late. Every operation is therefore level-based (it names
// the wanted state, not a step) and carries an id under which the platform
// treats a repetition as the same operation.
package platform

import (
	"context"
	"time"
)

// LogRecord is one record of the log service.
type LogRecord struct {
	// Offset is the place in the stream. Offsets are contiguous and start at 1.
	Offset uint64 `json:"offset" cbor:"1,keyasint"`
	// TimeMillis is the service's append time, Unix milliseconds, never
	// decreasing along the stream.
	TimeMillis int64  `json:"time_ms" cbor:"2,keyasint"`
	Data       []byte `json:"data" cbor:"3,keyasint"`
}

// LogPage is the answer to a read.
type LogPage struct {
	Records []LogRecord `json:"records"`
	// First is the oldest offset still kept, Head the newest one appended;
	// Head is First-1 where the stream is empty.
	First uint64 `json:"first"`
	Head  uint64 `json:"head"`
}

// Log is an append-only stream. There is no conditional append: two writers
// that race are both appended, and the fold decides.
type Log interface {
	// Append adds one record and returns its offset. An error of type
	// *OutcomeUnknownError means that the record may have been appended.
	Append(ctx context.Context, data []byte) (uint64, error)
	// Read returns records from offset from on, at most max. Where there are
	// none yet it waits up to wait for one (long poll). *TrimmedError is
	// returned where from is older than the oldest record kept.
	Read(ctx context.Context, from uint64, max int, wait time.Duration) (LogPage, error)
}

// InstanceKind separates endpoints' instances from the system's own.
type InstanceKind string

// Kinds of instances in the list.
const (
	KindWorker InstanceKind = "worker"
	KindEntry  InstanceKind = "entry"
)

// InstanceState is what the platform says of an instance.
type InstanceState string

// States of an instance. An instance that is gone stays listed for a while.
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
	// BootID changes at every boot: an address can come back as another.
	BootID string `json:"boot_id" cbor:"4,keyasint"`
	Zone   string `json:"zone" cbor:"5,keyasint"`
	Rack   string `json:"rack" cbor:"6,keyasint"`
	// Addr is host:port where the instance's endpoint answers HTTP.
	Addr string `json:"addr" cbor:"7,keyasint"`
	// Pool is the pool the platform has the instance in; empty for none.
	Pool         string  `json:"pool,omitempty" cbor:"8,keyasint,omitempty"`
	Cores        float64 `json:"cores" cbor:"9,keyasint"`
	MemoryMB     int     `json:"memory_mb" cbor:"10,keyasint"`
	Accelerators int     `json:"accelerators" cbor:"11,keyasint"`
	// Slots is how many requests the endpoint runs at once, Connections how
	// many connections it accepts from everybody together.
	Slots       int `json:"slots" cbor:"12,keyasint"`
	Connections int `json:"connections" cbor:"13,keyasint"`
	// Operation is the id of the last pool operation that took full effect
	// (the instance is back, in the wanted pool).
	Operation string `json:"operation,omitempty" cbor:"14,keyasint,omitempty"`
}

// InstanceList is the lagging list. Version grows with every change.
type InstanceList struct {
	Version   uint64     `json:"version" cbor:"1,keyasint"`
	Instances []Instance `json:"instances" cbor:"2,keyasint"`
}

// Operation asks the platform to drain and reboot an instance into a pool.
type Operation struct {
	// ID makes the operation idempotent: the platform reboots once per id.
	ID       string `json:"id"`
	Instance string `json:"instance"`
	// Pool is the pool the instance belongs to afterwards; the present one for
	// plain maintenance.
	Pool string `json:"pool"`
	// Revision is the maintenance revision to install, 0 to leave it.
	Revision int `json:"revision,omitempty"`
}

// Fleet is the instance list and the pool operations.
type Fleet interface {
	// Instances returns the list if its version is above since, and otherwise
	// waits up to wait for a newer one; an unchanged list is returned with no
	// instances and the same version.
	Instances(ctx context.Context, since uint64, wait time.Duration) (InstanceList, error)
	// Reboot asks for op. It returns once the platform has taken the request,
	// not when it is done: that shows in the list, as Instance.Operation.
	Reboot(ctx context.Context, op Operation) error
	// Fence stops an instance for good, such as an entry that hangs and is
	// still listed. It shows as gone in the list.
	Fence(ctx context.Context, instance, operationID string) error
}

// Task is the wanted state of one task on a worker.
type Task struct {
	// ID is unique for each placement; the platform runs a task once per id.
	ID           string  `json:"id"`
	Job          string  `json:"job"`
	Instance     string  `json:"instance"`
	Cores        float64 `json:"cores"`
	MemoryMB     int     `json:"memory_mb"`
	Accelerators int     `json:"accelerators"`
	// LeaseMillis is how long the worker keeps running it without a renewal.
	LeaseMillis int64 `json:"lease_ms"`
	// DurationMillis is for the stand-in: how long the task runs; 0 for ever.
	DurationMillis int64 `json:"duration_ms,omitempty"`
}

// TaskState is what a worker reports of a task.
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

// TaskReport is one task's state and usage, reported with a lag.
type TaskReport struct {
	ID       string    `json:"id"`
	Job      string    `json:"job"`
	Instance string    `json:"instance"`
	State    TaskState `json:"state"`
	Reason   string    `json:"reason,omitempty"`
	// UsedCores and UsedMemoryMB are a recent measurement; AsOfMillis its
	// time.
	UsedCores    float64 `json:"used_cores"`
	UsedMemoryMB int     `json:"used_memory_mb"`
	AsOfMillis   int64   `json:"as_of_ms"`
}

// Tasks is what the platform offers of workers' tasks.
type Tasks interface {
	// Start asks for tasks to run. A task whose id is known is left alone.
	Start(ctx context.Context, tasks []Task) error
	// Renew extends the leases of the named tasks by lease.
	Renew(ctx context.Context, ids []string, lease time.Duration) error
	// Stop ends tasks; an unknown or ended id is not an error.
	Stop(ctx context.Context, ids []string) error
	// Reports returns the lagging reports of all tasks not yet forgotten.
	Reports(ctx context.Context) ([]TaskReport, error)
}

// Platform is all of it.
type Platform interface {
	Log
	Fleet
	Tasks
}
