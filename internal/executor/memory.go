package executor

import (
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenwheel/internal/jobs"
)

// Approximate memory of an owner's state, in bytes: what its types take, with the records of a change.
const (
	jobMemory  = 1 << 10
	stepMemory = 512
	taskMemory = 768
	wordMemory = 8
	// endedMemory is the memory of a job whose state is kept after its end.
	endedMemory = 512
	// smallJobMemory is the memory up to which a job is small.
	smallJobMemory = 64 << 10
)

// JobMemory bounds the memory of the jobs of all pools that a process owns. Load: callers submit jobs
// of legal size whose tasks take hundreds of times their bodies, faster than these end. It may be used
// by several goroutines.
type JobMemory struct {
	limit int64
	used  atomic.Int64
	gauge *metrics.Gauge
}

// NewJobMemory returns a bound of limit bytes, of which nothing is used.
func NewJobMemory(limit int64) *JobMemory {
	return &JobMemory{limit: limit, gauge: metrics.GetOrCreateGauge("cyclamen_job_memory_bytes", nil)}
}

// Used returns what is charged, in bytes.
func (m *JobMemory) Used() int64 { return m.used.Load() }

// admits reports whether a new job of n bytes fits. A quarter is left for small jobs.
func (m *JobMemory) admits(n int64) bool {
	if m == nil {
		return true
	}
	limit := m.limit
	if n > smallJobMemory {
		limit -= limit / 4
	}
	return m.used.Load()+n <= limit
}

// admitsOccurrence reports whether another occurrence of n bytes fits. Half is left for new jobs.
func (m *JobMemory) admitsOccurrence(n int64) bool {
	return m == nil || m.used.Load()+n <= m.limit/2
}

// add adds n bytes, or releases them if n is negative.
func (m *JobMemory) add(n int64) {
	if m != nil {
		m.gauge.Set(float64(m.used.Add(n)))
	}
}

// specMemory returns the memory of a job without its tasks, occurrenceMemory that of one occurrence.
func specMemory(j *jobs.Job) int64 {
	n := int64(jobMemory + len(j.Spec))
	for i := range j.Steps {
		s := &j.Steps[i]
		n += int64(stepMemory + wordMemory*len(s.After) + len(s.Requires) + len(s.DataRack) + len(s.Image))
	}
	return n
}

func occurrenceMemory(j *jobs.Job) int64 {
	return int64(stepMemory*len(j.Steps) + taskMemory*j.Tasks())
}

// measureMemory sets the parts of what the job takes.
func (j *job) measureMemory() {
	j.specMemory, j.occurrenceMemory = specMemory(&j.rec.Job), occurrenceMemory(&j.rec.Job)
}

// chargeJob charges what a job takes now. An open job is always charged one occurrence, as the next one
// may be due at any time.
func (c *Core) chargeJob(j *job) {
	n := int64(endedMemory)
	if j.inOpen {
		n = j.specMemory + j.occurrenceMemory*int64(max(1, j.expanded))
	}
	c.limits.Memory.add(n - j.memory)
	c.memory += n - j.memory
	j.memory = n
}

// dropJobMemory releases the memory of a job that is forgotten.
func (c *Core) dropJobMemory(j *job) {
	c.limits.Memory.add(-j.memory)
	c.memory -= j.memory
	j.memory = 0
}

// ReleaseMemory releases the memory of all jobs, for an owner that ends.
func (c *Core) ReleaseMemory() {
	c.limits.Memory.add(-c.memory)
	c.memory = 0
}
