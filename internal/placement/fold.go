package placement

import (
	"maps"
	"slices"

	"cyclamenwheel/internal/fold"
	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/platform"
	"cyclamenwheel/internal/pools"
)

// Reasons for rejecting records about tasks.
const (
	// ReasonIndexTaken rejects a task whose index is still occupied by another
	// task.
	ReasonIndexTaken fold.Reason = "index_taken"
	// ReasonNotServing rejects a task on an instance that does not serve the
	// job's pool at this offset.
	ReasonNotServing fold.Reason = "not_serving"
	// ReasonUnknownJob rejects a task of a job that is not in the manifest in
	// force.
	ReasonUnknownJob fold.Reason = "unknown_job"
	// ReasonNothingToDo rejects a record of which no item has an effect.
	ReasonNothingToDo fold.Reason = "nothing_to_do"
)

// Tasks is the planner's record of one placement round. Each item is accepted
// or rejected on its own; the record is accepted if any item is.
type Tasks struct {
	Place []Placed `cbor:"1,keyasint,omitempty"`
	Stop  []string `cbor:"2,keyasint,omitempty"`
	End   []End    `cbor:"3,keyasint,omitempty"`
}

// Placed is the placement of one task on an instance.
type Placed struct {
	ID       string `cbor:"1,keyasint"`
	Job      string `cbor:"2,keyasint"`
	Index    int    `cbor:"3,keyasint"`
	Instance string `cbor:"4,keyasint"`
	// Why is the planner's reason for the placement.
	Why Reason `cbor:"5,keyasint"`
	// Cores, MemoryMB and Accelerators are the capacity reserved for the task.
	Cores        float64 `cbor:"6,keyasint"`
	MemoryMB     int     `cbor:"7,keyasint"`
	Accelerators int     `cbor:"8,keyasint,omitempty"`
}

// End is the end of a task, with the final state that the platform reported.
type End struct {
	ID    string             `cbor:"1,keyasint"`
	State platform.TaskState `cbor:"2,keyasint"`
}

// PlacedTask is a task in the folded state.
type PlacedTask struct {
	Placed
	PlacedMillis int64 `cbor:"9,keyasint"`
	Stopping     bool  `cbor:"10,keyasint,omitempty"`
}

// State is the folded state of all tasks.
type State struct {
	Tasks   map[string]PlacedTask `cbor:"1,keyasint" json:"tasks"`
	History History               `cbor:"2,keyasint" json:"history"`
	// Version is the offset of the latest change.
	Version uint64 `cbor:"3,keyasint" json:"version"`

	// taskBySlot maps each index of a job to the id of the task that occupies
	// it. It is derived from Tasks.
	taskBySlot map[taskSlot]string
}

type taskSlot struct {
	job   string
	index int
}

func (s *State) indexSlots() {
	if s.taskBySlot != nil {
		return
	}
	s.taskBySlot = make(map[taskSlot]string, len(s.Tasks))
	for id, t := range s.Tasks {
		s.taskBySlot[taskSlot{t.Job, t.Index}] = id
	}
}

// Apply folds the record of one placement round. A task is accepted only on an
// instance that serves the job's pool at this offset and only while no other
// task occupies its index. A round planned before a drain, or by a second
// planner, can therefore neither start a task on a leaving instance nor run an
// index twice.
func (s *State) Apply(m fold.Meta, rec Tasks, man *manifest.Manifest, instances map[string]*pools.Instance) fold.Verdict {
	s.indexSlots()
	accepted, firstRejection := 0, fold.Reject(ReasonNothingToDo, "")
	jobs := man.JobsByName()
	for _, e := range rec.End {
		accepted += s.end(m, e, jobs, instances)
	}
	for _, id := range rec.Stop {
		accepted += s.stop(id)
	}
	for _, p := range rec.Place {
		v := s.place(m, p, jobs, instances)
		if v.Accepted {
			accepted++
		} else if firstRejection.Reason == ReasonNothingToDo {
			firstRejection = v
		}
	}
	if accepted == 0 {
		return firstRejection
	}
	s.Version = m.Offset
	return fold.Accept()
}

func (s *State) place(m fold.Meta, p Placed, jobs map[string]manifest.PooledJob, instances map[string]*pools.Instance) fold.Verdict {
	job, ok := jobs[p.Job]
	if !ok {
		return fold.Reject(ReasonUnknownJob, p.Job)
	}
	in := instances[p.Instance]
	if in == nil || in.Phase != pools.PhaseServing || in.Pool != job.Pool {
		return fold.Reject(ReasonNotServing, p.Instance)
	}
	key := taskSlot{p.Job, p.Index}
	if by, taken := s.taskBySlot[key]; taken {
		return fold.Reject(ReasonIndexTaken, by)
	}
	if s.Tasks == nil {
		s.Tasks = make(map[string]PlacedTask)
	}
	s.Tasks[p.ID] = PlacedTask{Placed: p, PlacedMillis: m.TimeMillis}
	s.taskBySlot[key] = p.ID
	return fold.Accept()
}

func (s *State) stop(id string) int {
	t, ok := s.Tasks[id]
	if !ok || t.Stopping {
		return 0
	}
	t.Stopping = true
	s.Tasks[id] = t
	return 1
}

func (s *State) end(m fold.Meta, e End, jobs map[string]manifest.PooledJob, instances map[string]*pools.Instance) int {
	t, ok := s.Tasks[e.ID]
	if !ok {
		return 0
	}
	delete(s.Tasks, e.ID)
	delete(s.taskBySlot, taskSlot{t.Job, t.Index})
	job, known := jobs[t.Job]
	if !known {
		return 1
	}
	o := Outcome{Job: job.Job, Index: t.Index, Instance: t.Instance, State: e.State, AtMillis: m.TimeMillis}
	if in := instances[t.Instance]; in != nil {
		o.BootID = in.BootID
	}
	s.History.Observe(o)
	return 1
}

// Forget drops the history of jobs that the manifest doesn't have and of
// instances that no longer exist. It is called for every folded manifest, which
// bounds the history by the published jobs.
func (s *State) Forget(man *manifest.Manifest, instances map[string]*pools.Instance) {
	jobs := man.JobsByName()
	s.History.Forget(
		func(job string) bool { _, ok := jobs[job]; return ok },
		func(id string) bool { return instances[id] != nil },
	)
}

// Current returns the tasks as input for Decide, ordered by id, with their last
// reported states.
func (s *State) Current(reported map[string]platform.TaskState) []Task {
	out := make([]Task, 0, len(s.Tasks))
	for _, id := range slices.Sorted(maps.Keys(s.Tasks)) {
		t := s.Tasks[id]
		out = append(out, Task{
			ID: id, Job: t.Job, Index: t.Index, Instance: t.Instance, State: reported[id],
			StartedMillis: t.PlacedMillis, Stopping: t.Stopping,
		})
	}
	return out
}
