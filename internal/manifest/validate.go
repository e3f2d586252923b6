package manifest

import (
	"fmt"
	"regexp"
)

// Limits of single fields. They catch slips of a generator, such as bytes
// where megabytes are meant, before anything is planned with them.
const (
	// MaxDeadlineMillis bounds how long a caller may be made to wait.
	MaxDeadlineMillis = 600_000
	// MaxPoolInstances is the largest fleet this is built for.
	MaxPoolInstances = 11_000
	// MaxTasks bounds the tasks of one job.
	MaxTasks = 100_000
	// MaxTaskCores is more than any worker has.
	MaxTaskCores = 1024
	// MaxTaskMemoryMB is 16 TiB.
	MaxTaskMemoryMB = 16 << 20
	// MaxAccelerators bounds the accelerators of a task or worker.
	MaxAccelerators = 64
	// MaxJobDurationMillis is thirty days.
	MaxJobDurationMillis = 30 * 24 * 3600 * 1000
	// MaxQuotaFactor bounds a team's quota, as a multiple of one task's
	// limits.
	MaxQuotaFactor = MaxPoolInstances
	// MaxWaveParallel bounds the instances drained at a time.
	MaxWaveParallel = 1000
	// MaxRevision bounds a maintenance revision.
	MaxRevision = 1 << 30
)

var (
	// nameForm suits a DNS label: names become parts of URLs and metrics.
	nameForm = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)
	// labelForm is for names that the platform gives: instances, zones, racks.
	labelForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
)

// Validate checks the content. The error is a *FaultsError that lists all
// faults, each with its field.
func (m *Manifest) Validate() error {
	v := &validator{m: m, owners: map[string]int{}, jobs: map[string]bool{}}
	v.header()
	v.teams()
	v.pools()
	v.services()
	v.buffer()
	if len(v.faults) > 0 {
		return &FaultsError{Faults: v.faults}
	}
	return nil
}

type validator struct {
	m      *Manifest
	faults []Fault
	// owners maps an instance to the index of the pool that lists it.
	owners map[string]int
	// jobs holds names seen so far: a job is addressed without its pool.
	jobs map[string]bool
}

func (v *validator) add(path string, reason Reason, format string, args ...any) {
	v.faults = append(v.faults, Fault{Path: path, Reason: reason, Detail: fmt.Sprintf(format, args...)})
}

func (v *validator) name(path, name string) {
	if len(name) > MaxNameLen || !nameForm.MatchString(name) {
		v.add(path, ReasonMalformedName, "%q: want 1 to %d of a-z, 0-9 and inner '-'", name, MaxNameLen)
	}
}

func (v *validator) label(path, label string) {
	if len(label) > MaxNameLen || !labelForm.MatchString(label) {
		v.add(path, ReasonMalformedName, "%q: want 1 to %d letters, digits, '.', '_' and '-'", label, MaxNameLen)
	}
}

// unique reports name if seen holds it already.
func (v *validator) unique(path, name string, seen map[string]bool) {
	if seen[name] {
		v.add(path, ReasonDuplicateName, "%q is used before", name)
	}
	seen[name] = true
}

func (v *validator) between(path string, n, low, high int64) {
	if n < low || n > high {
		v.add(path, ReasonOutOfRange, "%d is not between %d and %d", n, low, high)
	}
}

func (v *validator) cores(path string, cores, high float64) {
	if !(cores > 0 && cores <= high) {
		v.add(path, ReasonOutOfRange, "%g is not above 0 and at most %g", cores, high)
	}
}

func (v *validator) priority(path string, p Priority) {
	switch p {
	case "", PriorityNormal, PriorityUrgent:
	default:
		v.add(path, ReasonUnknownPriority, "%q: want %q or %q", p, PriorityNormal, PriorityUrgent)
	}
}

func (v *validator) header() {
	if v.m.Version != Version {
		v.add("version", ReasonUnsupportedVersion, "%d: want %d", v.m.Version, Version)
	}
	v.name("deployment", v.m.Deployment)
	if len(v.m.Pools) == 0 {
		v.add("pools", ReasonNoPools, "a manifest without pools would empty the fleet")
	}
}

func (v *validator) teams() {
	seen := make(map[string]bool)
	for i, t := range v.m.Teams {
		path := index("teams", i)
		v.name(join(path, "name"), t.Name)
		v.unique(join(path, "name"), t.Name, seen)
		v.cores(join(path, "cores"), t.Cores, MaxTaskCores*MaxQuotaFactor)
		v.between(join(path, "memory_mb"), int64(t.MemoryMB), 1, MaxTaskMemoryMB*MaxQuotaFactor)
		v.between(join(path, "accelerators"), int64(t.Accelerators), 0, MaxAccelerators*MaxQuotaFactor)
	}
}

func (v *validator) buffer() {
	switch v.m.Buffer.Survive {
	case DomainInstance, DomainRack, DomainZone:
	default:
		v.add("buffer.survive", ReasonUnknownDomain, "%q: want %q, %q or %q",
			v.m.Buffer.Survive, DomainInstance, DomainRack, DomainZone)
	}
	v.between("buffer.wave_parallel", int64(v.m.Buffer.WaveParallel), 0, MaxWaveParallel)
}
