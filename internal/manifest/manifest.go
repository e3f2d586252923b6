// Package manifest defines the document in which operators declare the desired
// state of a deployment: pools and their instances, jobs, availability budgets,
// request classes and team quotas. It parses and validates a JSON manifest
// strictly, reporting the field of every fault, and decides which published
// manifest is in force. cyclamenctl validates manifests with it before it
// publishes them, and the replicated state in fleetlog applies those published.
package manifest

// Version is the manifest format version that this package supports.
const Version = 1

// Limits of a manifest. They bound the memory that a reader of the log needs.
const (
	// MaxBytes is the maximum size of a manifest: 33 pools and 330 teams take
	// about 120 KB; the rest allows for explicit lists of 11,000 instance ids.
	MaxBytes = 1 << 20
	// MaxNameLen is the maximum length of a name in bytes.
	MaxNameLen = 63
)

// Manifest is the desired state of one deployment.
type Manifest struct {
	Version int `json:"version"`
	// Deployment is the name of the deployment; publishing the manifest to the
	// log of another deployment is rejected.
	Deployment string    `json:"deployment"`
	Pools      []Pool    `json:"pools"`
	Services   []Service `json:"services"`
	Teams      []Team    `json:"teams,omitempty"`
	Buffer     Buffer    `json:"buffer"`
}

// Pool is a group of instances that do the same work.
type Pool struct {
	Name      string    `json:"name"`
	Instances Selection `json:"instances"`
	Jobs      []Job     `json:"jobs,omitempty"`
	// Maintenance holds the revision that every instance of the pool must reach.
	Maintenance Maintenance `json:"maintenance"`
}

// Selection determines the instances of a pool, either by id or by count and
// selector. Exactly one of IDs and Count is set.
type Selection struct {
	IDs    []string  `json:"ids,omitempty"`
	Count  int       `json:"count,omitempty"`
	Select *Selector `json:"select,omitempty"`
}

// Selector restricts the instances that a count may select; an empty field
// allows all.
type Selector struct {
	Zones []string `json:"zones,omitempty"`
	Racks []string `json:"racks,omitempty"`
	// Accelerators is the minimum number that an instance must have.
	Accelerators int `json:"accelerators,omitempty"`
}

// Maintenance requests maintenance of a pool. Publishing a higher revision starts
// a maintenance wave, which drains and reboots every instance of the pool within
// its availability budgets.
type Maintenance struct {
	Revision int `json:"revision,omitempty"`
	// Paused suspends the pool's wave: no further instance is drained.
	Paused bool `json:"paused,omitempty"`
}

// Priority ranks work when capacity is short.
type Priority string

// Priorities.
const (
	PriorityNormal Priority = "normal"
	PriorityUrgent Priority = "urgent"
)

// Job is a set of equal tasks that are placed on a pool's instances.
type Job struct {
	Name  string `json:"name"`
	Team  string `json:"team,omitempty"`
	Tasks int    `json:"tasks"`
	// Cores, MemoryMB and Accelerators are declared per task. They serve as an
	// estimate until usage is reported.
	Cores        float64  `json:"cores"`
	MemoryMB     int      `json:"memory_mb"`
	Accelerators int      `json:"accelerators,omitempty"`
	Priority     Priority `json:"priority,omitempty"`
	// DurationMillis is the declared run time; 0 for a job that never ends.
	DurationMillis int64 `json:"duration_ms,omitempty"`
}

// Service is the target that callers address; one pool handles its requests.
type Service struct {
	Name string `json:"name"`
	Pool string `json:"pool"`
	// MinAvailable is the availability budget: the number of the pool's instances
	// that voluntary operations such as moves and maintenance must leave serving.
	MinAvailable int     `json:"min_available"`
	Classes      []Class `json:"classes"`
}

// Class determines how requests with certain methods and paths are handled. The
// first class whose methods and path prefix match a request applies.
type Class struct {
	Name string `json:"name"`
	// Methods lists the HTTP methods of the class; empty means all.
	Methods []string `json:"methods,omitempty"`
	// PathPrefix is relative to the service's own path; empty matches all paths.
	PathPrefix string `json:"path_prefix,omitempty"`
	// Idempotent requests may be retried after a failure. Others are sent at most
	// once.
	Idempotent bool     `json:"idempotent"`
	Priority   Priority `json:"priority,omitempty"`
	// DeadlineMillis is the maximum time that a caller waits for the response.
	DeadlineMillis int64 `json:"deadline_ms"`
}

// Team owns jobs and has a quota that limits its use of all pools together.
type Team struct {
	Name         string  `json:"name"`
	Cores        float64 `json:"cores"`
	MemoryMB     int     `json:"memory_mb"`
	Accelerators int     `json:"accelerators,omitempty"`
}

// FailureDomain is a group of instances that can fail together.
type FailureDomain string

// Failure domains.
const (
	DomainInstance FailureDomain = "instance"
	DomainRack     FailureDomain = "rack"
	DomainZone     FailureDomain = "zone"
)

// Buffer determines the size of the spare capacity shared by all pools.
type Buffer struct {
	// Survive is the largest failure domain whose loss the buffer must cover:
	// every service must be within its budget once spares have replaced the lost
	// instances.
	Survive FailureDomain `json:"survive"`
	// WaveParallel is the maximum number of instances drained at a time over all
	// pools. A higher number makes waves faster and the buffer larger. 0 means the
	// default.
	WaveParallel int `json:"wave_parallel,omitempty"`
}
