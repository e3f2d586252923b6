package placement

import (
	"math"
	"slices"

	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/platform"
)

const (
	// minSamples is how many reports an estimate needs. With fewer, the highest
	// of them says little about the quantile.
	minSamples = 8
	// maxSamples is how many of a job's latest reports are kept. It bounds
	// memory at tens of thousands of jobs and drops outdated reports.
	maxSamples = 64
	// coresQuantile may be exceeded by one report in ten: a task that is short
	// of cores only runs slower.
	coresQuantile = 0.90
	// memoryQuantile is higher because a task that is short of memory is
	// killed.
	memoryQuantile = 0.98
	// coresMargin and memoryMargin are the factors applied to the quantiles.
	coresMargin  = 1.10
	memoryMargin = 1.15
	// warmUpMillis: reports from a task's first seconds are ignored because
	// they show it loading.
	warmUpMillis = 10_000
	// maxLagFactor bounds the correction for the report lag, because a short
	// burst is not a trend.
	maxLagFactor = 1.5
	// minCores and minMemoryMB are lower bounds: an idle job estimated at zero
	// would have any number of its tasks placed on one worker.
	minCores    = 0.05
	minMemoryMB = 32
)

// Size is what one task needs.
type Size struct {
	Cores        float64
	MemoryMB     int
	Accelerators int
}

// Sizer estimates what one task of a job needs.
type Sizer interface {
	Size(job manifest.Job) Size
}

// Declared uses the declared sizes unchanged.
type Declared struct{}

// Size implements Sizer.
func (Declared) Size(job manifest.Job) Size {
	return Size{Cores: job.Cores, MemoryMB: job.MemoryMB, Accelerators: job.Accelerators}
}

// Estimator estimates sizes from reported usage. The zero value is ready for
// use.
//
// Load: jobs whose declared sizes are far from their usage, mostly too large,
// sometimes too small. Trusting those sizes leaves workers fully booked but
// idle, or gets tasks killed for lack of memory. A report is as old as its lag,
// and a growing task has grown further since, so the trend between its last two
// reports is extrapolated over the lag. Until there are enough reports, the
// declared size is used.
type Estimator struct {
	jobs map[string]*jobSamples
}

type jobSamples struct {
	spec   manifest.Job
	cores  []float64
	memory []float64
	next   int
	last   map[string]sample
	// size is the estimate from the present samples, valid while cached is set.
	size   Size
	cached bool
}

// sample is the last report of a task.
type sample struct {
	cores, memory float64
	asOfMillis    int64
}

// Observe adds a worker's report of a running task.
func (e *Estimator) Observe(job manifest.Job, r platform.TaskReport, startedMillis, nowMillis int64) {
	if r.State != platform.TaskRunning || r.AsOfMillis < startedMillis+warmUpMillis {
		return
	}
	j := e.samplesOf(job)
	before, seen := j.last[r.ID]
	if seen && r.AsOfMillis <= before.asOfMillis {
		return
	}
	now := sample{cores: r.UsedCores, memory: float64(r.UsedMemoryMB), asOfMillis: r.AsOfMillis}
	lag := float64(max(0, nowMillis-r.AsOfMillis))
	cores, memory := now.cores, now.memory
	if seen {
		between := float64(r.AsOfMillis - before.asOfMillis)
		cores = carryForward(before.cores, now.cores, lag/between)
		memory = carryForward(before.memory, now.memory, lag/between)
	}
	j.last[r.ID] = now
	j.add(cores, memory)
}

// carryForward extrapolates the trend between two reports over the lag, given
// as a multiple of the time between them.
func carryForward(before, now, lag float64) float64 {
	if now <= before {
		return now
	}
	return min(now+(now-before)*lag, now*maxLagFactor)
}

func (e *Estimator) samplesOf(job manifest.Job) *jobSamples {
	if e.jobs == nil {
		e.jobs = map[string]*jobSamples{}
	}
	job.Tasks = 0
	j := e.jobs[job.Name]
	if j == nil || j.spec != job {
		j = &jobSamples{spec: job, last: map[string]sample{}}
		e.jobs[job.Name] = j
	}
	return j
}

func (j *jobSamples) add(cores, memory float64) {
	j.cached = false
	if len(j.cores) < maxSamples {
		j.cores = append(j.cores, cores)
		j.memory = append(j.memory, memory)
		return
	}
	j.cores[j.next], j.memory[j.next] = cores, memory
	j.next = (j.next + 1) % maxSamples
}

// End drops the last report of a task that has ended.
func (e *Estimator) End(job, task string) {
	if j := e.jobs[job]; j != nil {
		delete(j.last, task)
	}
}

// Forget drops the samples of all jobs for which keep returns false.
func (e *Estimator) Forget(keep func(job string) bool) {
	for name := range e.jobs {
		if !keep(name) {
			delete(e.jobs, name)
		}
	}
}

// Size implements Sizer.
func (e *Estimator) Size(job manifest.Job) Size {
	declared := Declared{}.Size(job)
	spec := job
	spec.Tasks = 0
	j := e.jobs[job.Name]
	if j == nil || j.spec != spec || len(j.cores) < minSamples {
		return declared
	}
	if !j.cached {
		j.size = Size{
			Cores:        max(minCores, quantile(j.cores, coresQuantile)*coresMargin),
			MemoryMB:     max(minMemoryMB, int(math.Ceil(quantile(j.memory, memoryQuantile)*memoryMargin))),
			Accelerators: declared.Accelerators,
		}
		j.cached = true
	}
	return j.size
}

// quantile returns the smallest value that at least a share q of all values
// don't exceed.
func quantile(values []float64, q float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(math.Ceil(q*float64(len(sorted))))-1]
}
