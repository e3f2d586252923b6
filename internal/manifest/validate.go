package manifest

import (
	"fmt"
	"regexp"
)

// Limits of single fields. They reject mistakes of a manifest generator, such as
// bytes instead of megabytes, before they affect planning.
const (
	// MaxDeadlineMillis is the longest deadline of a request, ten minutes.
	MaxDeadlineMillis = 600_000
	// MaxPoolInstances is the size of the largest supported fleet.
	MaxPoolInstances = 11_000
	// MaxTasks is the maximum number of tasks of a job.
	MaxTasks = 100_000
	// MaxTaskCores exceeds the cores of any instance.
	MaxTaskCores = 1024
	// MaxTaskMemoryMB is 16 TiB.
	MaxTaskMemoryMB = 16 << 20
	// MaxAccelerators is the maximum number of accelerators of a task or instance.
	MaxAccelerators = 64
	// MaxJobDurationMillis is 30 days.
	MaxJobDurationMillis = 30 * 24 * 3600 * 1000
	// MaxQuotaFactor bounds a team's quota as a multiple of the limits of one
	// task.
	MaxQuotaFactor = MaxPoolInstances
	// MaxWaveParallel is the maximum number of instances drained at a time.
	MaxWaveParallel = 1000
	// MaxRevision is the highest maintenance revision.
	MaxRevision = 1 << 30
)

var (
	// namePattern matches DNS labels, because names become part of URLs and metric
	// labels.
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)
	// labelPattern matches names assigned by the platform: instances, zones and racks.
	labelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
)

// Validate checks the values of the manifest. The error is a *FaultsError that lists
// all faults, each with its field.
func (m *Manifest) Validate() error {
	v := &validator{m: m, poolOf: map[string]int{}, jobNames: map[string]bool{}}
	v.checkHeader()
	v.checkTeams()
	v.checkPools()
	v.checkServices()
	v.checkBuffer()
	if len(v.faults) > 0 {
		return &FaultsError{Faults: v.faults}
	}
	return nil
}

type validator struct {
	m      *Manifest
	faults []Fault
	// poolOf maps an instance id to the index of the pool that lists it.
	poolOf map[string]int
	// jobNames holds the job names seen so far over all pools, because jobs are
	// addressed without their pool.
	jobNames map[string]bool
}

func (v *validator) addFault(path string, reason Reason, format string, args ...any) {
	v.faults = append(v.faults, Fault{Path: path, Reason: reason, Detail: fmt.Sprintf(format, args...)})
}

func (v *validator) checkName(path, name string) {
	if len(name) > MaxNameLen || !namePattern.MatchString(name) {
		v.addFault(path, ReasonMalformedName, "%q: want 1 to %d of a-z, 0-9 and inner '-'", name, MaxNameLen)
	}
}

func (v *validator) checkLabel(path, label string) {
	if len(label) > MaxNameLen || !labelPattern.MatchString(label) {
		v.addFault(path, ReasonMalformedName, "%q: want 1 to %d letters, digits, '.', '_' and '-'", label, MaxNameLen)
	}
}

// checkUnique adds a fault if seen already contains name, and adds name to seen.
func (v *validator) checkUnique(path, name string, seen map[string]bool) {
	if seen[name] {
		v.addFault(path, ReasonDuplicateName, "%q is already used", name)
	}
	seen[name] = true
}

func (v *validator) checkRange(path string, n, low, high int64) {
	if n < low || n > high {
		v.addFault(path, ReasonOutOfRange, "%d is not between %d and %d", n, low, high)
	}
}

func (v *validator) checkCores(path string, cores, high float64) {
	if !(cores > 0 && cores <= high) {
		v.addFault(path, ReasonOutOfRange, "%g is not greater than 0 and at most %g", cores, high)
	}
}

func (v *validator) checkPriority(path string, p Priority) {
	switch p {
	case "", PriorityNormal, PriorityUrgent:
	default:
		v.addFault(path, ReasonUnknownPriority, "%q: want %q or %q", p, PriorityNormal, PriorityUrgent)
	}
}

func (v *validator) checkHeader() {
	if v.m.Version != Version {
		v.addFault("version", ReasonUnsupportedVersion, "%d: want %d", v.m.Version, Version)
	}
	v.checkName("deployment", v.m.Deployment)
	if len(v.m.Pools) == 0 {
		v.addFault("pools", ReasonNoPools, "a manifest without pools would empty the fleet")
	}
}

func (v *validator) checkTeams() {
	seen := make(map[string]bool)
	for i, t := range v.m.Teams {
		path := indexPath("teams", i)
		v.checkName(joinPath(path, "name"), t.Name)
		v.checkUnique(joinPath(path, "name"), t.Name, seen)
		v.checkCores(joinPath(path, "cores"), t.Cores, MaxTaskCores*MaxQuotaFactor)
		v.checkRange(joinPath(path, "memory_mb"), int64(t.MemoryMB), 1, MaxTaskMemoryMB*MaxQuotaFactor)
		v.checkRange(joinPath(path, "accelerators"), int64(t.Accelerators), 0, MaxAccelerators*MaxQuotaFactor)
	}
}

func (v *validator) checkBuffer() {
	switch v.m.Buffer.Survive {
	case DomainInstance, DomainRack, DomainZone:
	default:
		v.addFault("buffer.survive", ReasonUnknownDomain, "%q: want %q, %q or %q",
			v.m.Buffer.Survive, DomainInstance, DomainRack, DomainZone)
	}
	v.checkRange("buffer.wave_parallel", int64(v.m.Buffer.WaveParallel), 0, MaxWaveParallel)
}
