package platform

// Paths of the platform's HTTP protocol, see docs/PLATFORM.md.
const (
	PathLog        = "/v1/log/records"
	PathInstances  = "/v1/instances"
	PathOperations = "/v1/operations"
	PathFence      = "/v1/fence"
	PathTasks      = "/v1/tasks"
	PathTaskStart  = "/v1/tasks/start"
	PathTaskRenew  = "/v1/tasks/renew"
	PathTaskStop   = "/v1/tasks/stop"
)

// HeaderNotApplied is set to "true" on a 503 by which the platform vouches that
// the call had no effect.
const HeaderNotApplied = "X-Not-Applied"

// MaxRecordBytes bounds one record of the log service.
const MaxRecordBytes = 4 << 20

// AppendAnswer is the answer to an append.
type AppendAnswer struct {
	Offset uint64 `json:"offset"`
}

// TrimmedAnswer is the body of a 410.
type TrimmedAnswer struct {
	From  uint64 `json:"from"`
	First uint64 `json:"first"`
}

// FenceRequest asks that an instance be stopped for good.
type FenceRequest struct {
	Instance  string `json:"instance"`
	Operation string `json:"operation"`
}

// StartRequest asks for tasks to run.
type StartRequest struct {
	Tasks []Task `json:"tasks"`
}

// RenewRequest extends leases.
type RenewRequest struct {
	IDs         []string `json:"ids"`
	LeaseMillis int64    `json:"lease_ms"`
}

// StopRequest ends tasks.
type StopRequest struct {
	IDs []string `json:"ids"`
}

// ReportsAnswer lists the tasks' reports.
type ReportsAnswer struct {
	Tasks []TaskReport `json:"tasks"`
}

// Reasons in task reports. Values are stable.
const (
	// ReasonReboot and ReasonLost end a task with its instance's boot.
	ReasonReboot = "instance_rebooted"
	ReasonLost   = "instance_lost"
	// ReasonNotLive stops a task that was started on an instance not live.
	ReasonNotLive = "instance_not_live"
	// ReasonUnknownInstance and ReasonTooLarge reject a task.
	ReasonUnknownInstance = "unknown_instance"
	ReasonTooLarge        = "larger_than_worker"
	// ReasonWorkerFault is a worker that fails what it starts.
	ReasonWorkerFault = "worker_fault"
)
