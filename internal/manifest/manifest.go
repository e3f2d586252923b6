// Package manifest holds what operators publish: pools, the instances that
// belong in them, jobs, availability budgets, request classes and quotas. It
// parses strictly, and names the field of every fault.
package manifest

// Version of the format that this package reads.
const Version = 1

// Limits of a manifest. They bound what a reader of the log must hold.
const (
	// MaxBytes bounds a manifest: 33 pools and 330 teams take about 120 KB;
	// the rest is room for explicit instance lists of 11,000 ids.
	MaxBytes = 1 << 20
	// MaxNameLen bounds every name.
	MaxNameLen = 63
)

// Manifest is one deployment's wanted state.
type Manifest struct {
	Version int `json:"version"`
	// Deployment names the user's fleet; publishing one deployment's manifest
	// on another's log is refused.
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
	// Maintenance names the revision every instance of the pool must have.
	Maintenance Maintenance `json:"maintenance"`
}

// Selection says which instances belong in a pool: by id, or by count and
// selector. Exactly one of IDs and Count is set.
type Selection struct {
	IDs    []string  `json:"ids,omitempty"`
	Count  int       `json:"count,omitempty"`
	Select *Selector `json:"select,omitempty"`
}

// Selector restricts which instances may be counted; an empty field allows
// all.
type Selector struct {
	Zones []string `json:"zones,omitempty"`
	Racks []string `json:"racks,omitempty"`
	// Accelerators is the least number an instance must carry.
	Accelerators int `json:"accelerators,omitempty"`
}

// Maintenance is raised by publishing a higher revision. A wave takes every
// instance of the pool through drain and reboot, within budget.
type Maintenance struct {
	Revision int `json:"revision,omitempty"`
	// Paused halts the pool's wave: no further instance is drained.
	Paused bool `json:"paused,omitempty"`
}

// Priority orders work under pressure.
type Priority string

// Priorities.
const (
	PriorityNormal Priority = "normal"
	PriorityUrgent Priority = "urgent"
)

// Job is work placed on a pool's instances.
type Job struct {
	Name  string `json:"name"`
	Team  string `json:"team,omitempty"`
	Tasks int    `json:"tasks"`
	// Cores, MemoryMB and Accelerators are declared per task. They are only an
	// estimate until usage has been reported.
	Cores        float64  `json:"cores"`
	MemoryMB     int      `json:"memory_mb"`
	Accelerators int      `json:"accelerators,omitempty"`
	Priority     Priority `json:"priority,omitempty"`
	// DurationMillis is the declared run time; 0 for a job that runs for ever.
	DurationMillis int64 `json:"duration_ms,omitempty"`
}

// Service is what callers name; one pool answers it.
type Service struct {
	Name string `json:"name"`
	Pool string `json:"pool"`
	// MinAvailable is the availability budget: the number of the pool's
	// instances that must be serving whatever the system does of its own.
	MinAvailable int     `json:"min_available"`
	Classes      []Class `json:"classes"`
}

// Class tells how a kind of request is to be treated. The first class whose
// method and path prefix match a request applies.
type Class struct {
	Name string `json:"name"`
	// Methods that the class covers; empty for all.
	Methods []string `json:"methods,omitempty"`
	// PathPrefix below the service's own path; empty for all.
	PathPrefix string `json:"path_prefix,omitempty"`
	// Idempotent requests may be sent again after a failure. Others are sent
	// at most once.
	Idempotent bool     `json:"idempotent"`
	Priority   Priority `json:"priority,omitempty"`
	// DeadlineMillis is how long a caller waits at the most.
	DeadlineMillis int64 `json:"deadline_ms"`
}

// Team owns jobs and may not use more than its quota of all pools together.
type Team struct {
	Name         string  `json:"name"`
	Cores        float64 `json:"cores"`
	MemoryMB     int     `json:"memory_mb"`
	Accelerators int     `json:"accelerators,omitempty"`
}

// FailureDomain is the largest group of instances whose loss the buffer must
// cover.
type FailureDomain string

// Failure domains.
const (
	DomainInstance FailureDomain = "instance"
	DomainRack     FailureDomain = "rack"
	DomainZone     FailureDomain = "zone"
)

// Buffer sizes the spare capacity shared by all pools.
type Buffer struct {
	// Survive names the failure domain whose loss must leave every service
	// within its budget once spares have moved in.
	Survive FailureDomain `json:"survive"`
	// WaveParallel bounds the instances drained at a time over all pools.
	// More is a faster roll-out and a larger buffer. 0 takes the default.
	WaveParallel int `json:"wave_parallel,omitempty"`
}
