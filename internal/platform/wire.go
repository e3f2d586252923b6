package platform

// Paths of the platform's HTTP protocol; see docs/PLATFORM.md.
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

// HeaderNotApplied is set to "true" on a 503 response if the platform guarantees that the call
// had no effect.
const HeaderNotApplied = "X-Not-Applied"

// MaxRecordBytes bounds one record of the log service.
const MaxRecordBytes = 4 << 20

// AppendAnswer is the response body of an append.
type AppendAnswer struct {
	Offset uint64 `json:"offset"`
}

// TrimmedAnswer is the body of a 410 response to a read of trimmed records.
type TrimmedAnswer struct {
	From  uint64 `json:"from"`
	First uint64 `json:"first"`
}

// FenceRequest requests that an instance be stopped permanently.
type FenceRequest struct {
	Instance  string `json:"instance"`
	Operation string `json:"operation"`
}

// StartRequest requests that tasks run.
type StartRequest struct {
	Tasks []Task `json:"tasks"`
}

// RenewRequest extends the leases of tasks.
type RenewRequest struct {
	IDs         []string `json:"ids"`
	LeaseMillis int64    `json:"lease_ms"`
}

// StopRequest ends tasks.
type StopRequest struct {
	IDs []string `json:"ids"`
}

// ReportsAnswer is the response body with the reports of all tasks.
type ReportsAnswer struct {
	Tasks []TaskReport `json:"tasks"`
}

// Reasons in task reports. The values are part of the protocol and must not change.
const (
	// ReasonReboot and ReasonLost mean that the task ended with its instance's boot.
	ReasonReboot = "instance_rebooted"
	ReasonLost   = "instance_lost"
	// ReasonNotLive means that the task was stopped because its instance was not live.
	ReasonNotLive = "instance_not_live"
	// ReasonUnknownInstance and ReasonTooLarge mean that the task was rejected.
	ReasonUnknownInstance = "unknown_instance"
	ReasonTooLarge        = "larger_than_worker"
	// ReasonWorkerFault means that the worker fails every task that it starts.
	ReasonWorkerFault = "worker_fault"
)
