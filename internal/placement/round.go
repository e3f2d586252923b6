package placement

import (
	"cmp"
	"slices"

	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/platform"
	"cyclamenwheel/internal/pools"
)

// jobState is the state of one job in a round.
type jobState struct {
	spec *manifest.Job
	pool *poolState
	size Size
	// occupied marks the indices that have a task, including one that is
	// ending.
	occupied map[int]bool
	ending   int
	// running counts the tasks that are not ending.
	running  int
	missing  []int
	setAside Reason
	cursor   int
}

func (j *jobState) urgent() bool { return j.spec.Priority == manifest.PriorityUrgent }

// round is the state of one placement round.
type round struct {
	in        Input
	instances map[string]*pools.Instance
	pools     []*poolState
	byPool    map[string]*poolState
	jobs      []*jobState
	byJob     map[string]*jobState
	teams     map[string]*teamUsage
	// provenWorkers and provenJobs have a task that has been running for
	// provenRunMillis.
	provenWorkers map[string]bool
	provenJobs    map[string]bool
	quarantined   map[string]bool
	out           Output
}

// teamUsage is a team's quota and how much of it is used.
type teamUsage struct {
	quota Size
	used  Size
}

func (t *teamUsage) allows(s Size) bool {
	return t == nil || capacity{t.quota.Cores, t.quota.MemoryMB, t.quota.Accelerators}.minus(t.used).fits(s)
}

func (t *teamUsage) add(s Size) {
	if t != nil {
		t.used = Size{t.used.Cores + s.Cores, t.used.MemoryMB + s.MemoryMB, t.used.Accelerators + s.Accelerators}
	}
}

func newRound(in Input) *round {
	if in.History == nil {
		in.History = &History{}
	}
	r := &round{
		in:            in,
		instances:     make(map[string]*pools.Instance, len(in.Instances)),
		byPool:        map[string]*poolState{},
		byJob:         map[string]*jobState{},
		teams:         map[string]*teamUsage{},
		provenWorkers: map[string]bool{},
		provenJobs:    map[string]bool{},
		quarantined:   map[string]bool{},
	}
	for _, t := range in.Manifest.Teams {
		r.teams[t.Name] = &teamUsage{quota: Size{t.Cores, t.MemoryMB, t.Accelerators}}
	}
	for _, inst := range in.Instances {
		r.instances[inst.ID] = inst
	}
	r.addPools()
	return r
}

func (r *round) addPools() {
	for i := range r.in.Manifest.Pools {
		spec := &r.in.Manifest.Pools[i]
		r.byPool[spec.Name] = &poolState{name: spec.Name, index: map[string]int{}}
		r.pools = append(r.pools, r.byPool[spec.Name])
	}
	for _, inst := range r.in.Instances {
		if p := r.byPool[inst.Pool]; p != nil {
			p.largest = p.largest.max(capacityOf(inst))
			p.capacities = append(p.capacities, capacityOf(inst))
			if inst.Phase == pools.PhaseServing {
				p.workers = append(p.workers, &worker{inst: inst, free: capacityOf(inst)})
			}
		}
	}
	for _, p := range r.pools {
		p.sortForSpread()
	}
	for i := range r.in.Manifest.Pools {
		spec := &r.in.Manifest.Pools[i]
		for k := range spec.Jobs {
			r.addJob(&spec.Jobs[k], r.byPool[spec.Name])
		}
	}
}

func (r *round) addJob(spec *manifest.Job, p *poolState) {
	j := &jobState{spec: spec, pool: p, size: r.in.sizer().Size(*spec)}
	// An estimate exceeds the largest worker only because of its margin: the
	// job has run on one of the pool's workers.
	if declared := (Declared{}).Size(*spec); j.size != declared && len(p.capacities) > 0 {
		j.size.Cores = min(j.size.Cores, p.largest.cores)
		j.size.MemoryMB = min(j.size.MemoryMB, p.largest.memoryMB)
	}
	r.jobs = append(r.jobs, j)
	r.byJob[spec.Name] = j
}

func capacityOf(inst *pools.Instance) capacity {
	return capacity{inst.Cores, inst.MemoryMB, inst.Accelerators}
}

// bookTasks subtracts every task from its worker's free capacity and stops the
// tasks that must end.
func (r *round) bookTasks() {
	tasks := slices.Clone(r.in.Tasks)
	slices.SortFunc(tasks, func(a, b Task) int {
		return cmp.Or(cmp.Compare(a.StartedMillis, b.StartedMillis), cmp.Compare(a.ID, b.ID))
	})
	for i := range tasks {
		r.bookTask(&tasks[i])
	}
	for _, p := range r.pools {
		p.buildIndex(r.in.urgentReserve(), r.quarantined)
	}
}

func (r *round) bookTask(t *Task) {
	if IsFinal(t.State) {
		return
	}
	reason := r.stopReason(t)
	if reason != "" && !t.Stopping {
		r.out.Stops = append(r.out.Stops, Stop{Task: t.ID, Job: t.Job, Reason: reason})
	}
	ending := reason != "" || t.Stopping
	j := r.byJob[t.Job]
	size := Size{}
	if j != nil {
		size = j.size
		r.teams[j.spec.Team].add(size)
		r.occupyIndex(j, t, ending)
	}
	if inst := r.instances[t.Instance]; inst != nil {
		r.byPool[inst.Pool].addTask(t, j, size, ending)
	}
}

func (r *round) occupyIndex(j *jobState, t *Task, ending bool) {
	if t.Index < j.spec.Tasks {
		if j.occupied == nil {
			j.occupied = make(map[int]bool, j.spec.Tasks)
		}
		j.occupied[t.Index] = true
	}
	if ending {
		j.ending++
	} else {
		j.running++
	}
}

// stopReason returns why a task must be stopped, or an empty reason. All tasks
// of a job that the manifest no longer has are stopped in the same round.
func (r *round) stopReason(t *Task) Reason {
	j, inst := r.byJob[t.Job], r.instances[t.Instance]
	switch {
	case j == nil || t.Index >= j.spec.Tasks:
		return ReasonCancelled
	case inst == nil || inst.Phase == pools.PhaseDown:
		return ReasonWorkerLost
	case inst.Phase != pools.PhaseServing || inst.Pool != j.pool.name:
		return ReasonWorkerLeaving
	case j.occupied[t.Index]:
		return ReasonDuplicate
	}
	return ""
}

// queue returns the jobs that miss tasks: urgent ones first, then by decreasing
// task size, because large tasks find no worker once small ones are spread over
// all of them.
func (r *round) queue() []*jobState {
	var queue []*jobState
	for _, j := range r.jobs {
		done := r.in.History.jobHistory(*j.spec).Done
		for index := range j.spec.Tasks {
			if !j.occupied[index] && !done[index] {
				j.missing = append(j.missing, index)
			}
		}
		if j.ending > 0 {
			r.addWaiting(j, j.ending, ReasonPredecessorEnding)
		}
		if len(j.missing) > 0 {
			queue = append(queue, j)
		}
	}
	slices.SortStableFunc(queue, func(a, b *jobState) int {
		if a.urgent() != b.urgent() {
			if a.urgent() {
				return -1
			}
			return 1
		}
		return -cmp.Compare(a.largestShare(), b.largestShare())
	})
	return queue
}

// largestShare returns the share of the pool's largest worker that a task
// needs, by the resource of which it needs the larger part.
func (j *jobState) largestShare() float64 {
	l := j.pool.largest
	return max(j.size.Cores/max(l.cores, 1), float64(j.size.MemoryMB)/float64(max(l.memoryMB, 1)))
}

func (r *round) addWaiting(j *jobState, tasks int, reason Reason) {
	if n := len(r.out.Waiting); n > 0 {
		if last := &r.out.Waiting[n-1]; last.Job == j.spec.Name && last.Reason == reason {
			last.Tasks += tasks
			return
		}
	}
	r.out.Waiting = append(r.out.Waiting, Waiting{
		Pool: j.pool.name, Job: j.spec.Name, Tasks: tasks, Reason: reason,
	})
}

func (r *round) output() Output { return r.out }

// isProven reports whether a task has run long enough to show that its worker
// and its job are healthy.
func (r *round) isProven(t *Task) bool {
	return t.State == platform.TaskRunning && r.in.NowMillis-t.StartedMillis >= provenRunMillis
}
