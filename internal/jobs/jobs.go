// Package jobs defines what callers submit: jobs of steps of tasks, their names and their
// validation. Its input is decoded jobs and task names in text form; it does not depend on
// how jobs arrive or run. The listener for callers' requests (platform) validates with it,
// and the executor and internal/shards use its types.
package jobs

import (
	"strconv"
	"strings"
)

// Limits of a job. A job beyond them is malformed, whatever the fleet's size.
const (
	// MaxSpecBytes is the longest Spec that callers may send.
	MaxSpecBytes = 4000
	// MaxSteps and MaxTasks bound the size of a job: the progress of all of its tasks is
	// one record of about 60 bytes a task, and the store accepts records of up to 256 KB.
	MaxSteps = 256
	MaxTasks = 3000
	// MaxRecordBytes bounds what a job takes in the store, which accepts records of up to 256 KB. The rest
	// is for its terms and its queue's name.
	MaxRecordBytes = 240 << 10
	// MaxOccurrences bounds a recurring job. Occurrences are expanded one at a time, so it
	// does not serve to bound memory.
	MaxOccurrences = 100000
	idDigits       = 16
)

// Job is what a caller submits. It is immutable once accepted.
type Job struct {
	ID string `cbor:"1,keyasint"`
	// Spec is passed unchanged to each task.
	Spec  string `cbor:"2,keyasint,omitempty"`
	Steps []Step `cbor:"3,keyasint"`
	// Occurrences is how often the steps run; 0 means once, immediately.
	Occurrences int `cbor:"4,keyasint,omitempty"`
	// StartAtMs is when the first occurrence is due, in ms since 1970.
	StartAtMs int64 `cbor:"5,keyasint,omitempty"`
	// IntervalMs is the time between two occurrences.
	IntervalMs int64 `cbor:"6,keyasint,omitempty"`
}

// Step is a number of identical tasks.
type Step struct {
	Count      int   `cbor:"1,keyasint"`
	CPUMilli   int   `cbor:"2,keyasint,omitempty"`
	MemoryMB   int   `cbor:"3,keyasint,omitempty"`
	GPUs       int   `cbor:"4,keyasint,omitempty"`
	EstimateMs int   `cbor:"5,keyasint,omitempty"`
	After      []int `cbor:"6,keyasint,omitempty"`
	// Checkpoints means that its tasks save their progress.
	Checkpoints bool `cbor:"7,keyasint,omitempty"`
	// Gang means that its tasks make progress only while all of them are running.
	Gang     bool `cbor:"8,keyasint,omitempty"`
	SameRack bool `cbor:"9,keyasint,omitempty"`
	// Requires is a label that the endpoint must have.
	Requires string `cbor:"10,keyasint,omitempty"`
	// DataRack is the rack that holds its data; on other racks its tasks take longer.
	DataRack string `cbor:"11,keyasint,omitempty"`
	// MaxPerEndpoint bounds how many of its tasks run on one endpoint; 0 means no limit.
	MaxPerEndpoint int  `cbor:"12,keyasint,omitempty"`
	Speculative    bool `cbor:"13,keyasint,omitempty"`
	// LongRunning tasks run until the job is cancelled; they are restarted however they
	// end.
	LongRunning bool   `cbor:"14,keyasint,omitempty"`
	Image       string `cbor:"15,keyasint,omitempty"`
	// TargetMs is the tail latency that its tasks guarantee to their own users.
	TargetMs int `cbor:"16,keyasint,omitempty"`
	// Fills means that its tasks use CPU that other tasks leave idle.
	Fills bool `cbor:"17,keyasint,omitempty"`
	// MayMiss is how many of its tasks the system may keep stopped at a time by its own
	// actions.
	MayMiss int `cbor:"18,keyasint,omitempty"`
}

// Serves reports whether the step's tasks have users of their own, whose response times
// other tasks can degrade.
func (s *Step) Serves() bool { return s.TargetMs > 0 }

// TaskName identifies a task in all messages.
type TaskName struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

func (n TaskName) String() string {
	return n.Job + "." + strconv.Itoa(n.Occurrence) + "." + strconv.Itoa(n.Step) + "." + strconv.Itoa(n.Index)
}

// ParseTaskName is the inverse of String.
func ParseTaskName(text string) (TaskName, bool) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 || !ValidID(parts[0]) {
		return TaskName{}, false
	}
	var numbers [3]int
	for i, p := range parts[1:] {
		n, err := strconv.Atoi(p)
		if err != nil || n < 0 {
			return TaskName{}, false
		}
		numbers[i] = n
	}
	return TaskName{Job: parts[0], Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, true
}

// ValidID reports whether id has the form of a job ID.
func ValidID(id string) bool {
	if len(id) != idDigits {
		return false
	}
	for _, c := range id {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// MalformedError names the field of a job that is invalid, and why.
type MalformedError struct {
	Field  string
	Detail string
}

func (e *MalformedError) Error() string { return e.Field + ": " + e.Detail }

// Check returns the first error in a job as a *MalformedError, or nil.
func (j *Job) Check() error {
	switch {
	case !ValidID(j.ID):
		return &MalformedError{"id", "must be 16 hexadecimal digits"}
	case len(j.Spec) > MaxSpecBytes:
		return &MalformedError{"spec", "is longer than 4000 bytes"}
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return &MalformedError{"steps", "must be 1 to 256"}
	case j.Occurrences < 0 || j.Occurrences > MaxOccurrences:
		return &MalformedError{"times", "must be 0 to 100000"}
	case j.Occurrences > 0 && (j.StartAtMs < 0 || j.IntervalMs < 0):
		return &MalformedError{"startAtMs", "times must not be negative"}
	}
	for i := range j.Steps {
		if err := j.Steps[i].check(i); err != nil {
			return err
		}
	}
	if j.Tasks() > MaxTasks {
		return &MalformedError{"steps", "have more than 3000 tasks"}
	}
	if size := j.RecordBytes(); size > MaxRecordBytes {
		return &MalformedError{"steps", "take " + strconv.Itoa(size) + " bytes in the store, at most 245760 are possible"}
	}
	return nil
}

// RecordBytes returns the most that the job takes in the store, in bytes.
func (j *Job) RecordBytes() int {
	const numberBytes, stepNumbers, shortFields = 9, 8, 48
	size := len(j.Spec) + shortFields + 4*numberBytes
	for i := range j.Steps {
		s := &j.Steps[i]
		size += stepNumbers*numberBytes + shortFields + len(s.Requires) + len(s.DataRack) + len(s.Image) + encodedIndexBytes*len(s.After)
	}
	return size
}

// encodedIndexBytes is the most that the number of a step takes in a record.
const encodedIndexBytes = 2

// Tasks returns the number of tasks of one occurrence.
func (j *Job) Tasks() (n int) {
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

func (s *Step) check(number int) error {
	field := "steps[" + strconv.Itoa(number) + "]"
	if s.Count < 1 || s.Count > MaxTasks {
		return &MalformedError{field + ".count", "must be 1 to 3000"}
	}
	if s.CPUMilli < 0 || s.MemoryMB < 0 || s.GPUs < 0 || s.MaxPerEndpoint < 0 || s.MayMiss < 0 {
		return &MalformedError{field, "sizes must not be negative"}
	}
	for _, a := range s.After {
		if a < 0 || a >= number {
			return &MalformedError{field + ".after", "must name earlier steps"}
		}
	}
	return nil
}
