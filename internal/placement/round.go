package placement

import (
	"cmp"
	"slices"

	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/platform"
	"cyclamenwheel/internal/pools"
)

// jobWork is one job's part of a round.
type jobWork struct {
	spec *manifest.Job
	pool *poolWork
	size Size
	// taken marks the indices that a task holds, ending ones included.
	taken  map[int]bool
	ending int
	// running counts tasks that are not ending.
	running  int
	missing  []int
	setAside Reason
	cursor   int
}

func (j *jobWork) urgent() bool { return j.spec.Priority == manifest.PriorityUrgent }

// round is the working state of one round.
type round struct {
	in        Input
	instances map[string]*pools.Instance
	pools     []*poolWork
	byPool    map[string]*poolWork
	jobs      []*jobWork
	byJob     map[string]*jobWork
	teams     map[string]*teamUse
	// ableWorkers and ableJobs have a task that has been running for a while.
	ableWorkers map[string]bool
	ableJobs    map[string]bool
	quarantined map[string]bool
	out         Output
}

// teamUse is what a team holds of its quota.
type teamUse struct {
	quota Size
	used  Size
}

func (t *teamUse) allows(s Size) bool {
	return t == nil || room{t.quota.Cores, t.quota.MemoryMB, t.quota.Accelerators}.minus(t.used).fits(s)
}

func (t *teamUse) add(s Size) {
	if t != nil {
		t.used = Size{t.used.Cores + s.Cores, t.used.MemoryMB + s.MemoryMB, t.used.Accelerators + s.Accelerators}
	}
}

func newRound(in Input) *round {
	if in.History == nil {
		in.History = &History{}
	}
	r := &round{
		in:          in,
		instances:   make(map[string]*pools.Instance, len(in.Instances)),
		byPool:      map[string]*poolWork{},
		byJob:       map[string]*jobWork{},
		teams:       map[string]*teamUse{},
		ableWorkers: map[string]bool{},
		ableJobs:    map[string]bool{},
		quarantined: map[string]bool{},
	}
	for _, t := range in.Manifest.Teams {
		r.teams[t.Name] = &teamUse{quota: Size{t.Cores, t.MemoryMB, t.Accelerators}}
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
		r.byPool[spec.Name] = &poolWork{name: spec.Name, index: map[string]int{}}
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
		p.order()
	}
	for i := range r.in.Manifest.Pools {
		spec := &r.in.Manifest.Pools[i]
		for k := range spec.Jobs {
			r.addJob(&spec.Jobs[k], r.byPool[spec.Name])
		}
	}
}

func (r *round) addJob(spec *manifest.Job, p *poolWork) {
	j := &jobWork{spec: spec, pool: p, size: r.in.sizer().Size(*spec)}
	// An estimate above the largest worker comes of its margin: the job did
	// run on one.
	if declared := (Declared{}).Size(*spec); j.size != declared && len(p.capacities) > 0 {
		j.size.Cores = min(j.size.Cores, p.largest.cores)
		j.size.MemoryMB = min(j.size.MemoryMB, p.largest.memoryMB)
	}
	r.jobs = append(r.jobs, j)
	r.byJob[spec.Name] = j
}

func capacityOf(inst *pools.Instance) room {
	return room{inst.Cores, inst.MemoryMB, inst.Accelerators}
}

// takeStock books every task on its worker and stops those that must end.
func (r *round) takeStock() {
	tasks := slices.Clone(r.in.Tasks)
	slices.SortFunc(tasks, func(a, b Task) int {
		return cmp.Or(cmp.Compare(a.StartedMillis, b.StartedMillis), cmp.Compare(a.ID, b.ID))
	})
	for i := range tasks {
		r.book(&tasks[i])
	}
	for _, p := range r.pools {
		p.buildIndex(r.in.reserve(), r.quarantined)
	}
}

func (r *round) book(t *Task) {
	if Ended(t.State) {
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
		r.holdIndex(j, t, ending)
	}
	if inst := r.instances[t.Instance]; inst != nil {
		r.byPool[inst.Pool].hold(t, j, size, ending)
	}
}

func (r *round) holdIndex(j *jobWork, t *Task, ending bool) {
	if t.Index < j.spec.Tasks {
		if j.taken == nil {
			j.taken = make(map[int]bool, j.spec.Tasks)
		}
		j.taken[t.Index] = true
	}
	if ending {
		j.ending++
	} else {
		j.running++
	}
}

// stopReason tells why a task must end; empty if it need not. All tasks of a
// job that the manifest no longer has get theirs in one round.
func (r *round) stopReason(t *Task) Reason {
	j, inst := r.byJob[t.Job], r.instances[t.Instance]
	switch {
	case j == nil || t.Index >= j.spec.Tasks:
		return ReasonCancelled
	case inst == nil || inst.Phase == pools.PhaseDown:
		return ReasonWorkerLost
	case inst.Phase != pools.PhaseServing || inst.Pool != j.pool.name:
		return ReasonWorkerLeaving
	case j.taken[t.Index]:
		return ReasonDuplicate
	}
	return ""
}

// queue orders the jobs that miss tasks: urgent ones first, then the largest
// tasks, which find no room once small ones are spread over all workers.
func (r *round) queue() []*jobWork {
	var queue []*jobWork
	for _, j := range r.jobs {
		done := r.in.History.job(*j.spec).Done
		for index := range j.spec.Tasks {
			if !j.taken[index] && !done[index] {
				j.missing = append(j.missing, index)
			}
		}
		if j.ending > 0 {
			r.wait(j, j.ending, ReasonEnding)
		}
		if len(j.missing) > 0 {
			queue = append(queue, j)
		}
	}
	slices.SortStableFunc(queue, func(a, b *jobWork) int {
		if a.urgent() != b.urgent() {
			if a.urgent() {
				return -1
			}
			return 1
		}
		return -cmp.Compare(a.share(), b.share())
	})
	return queue
}

// share is the largest part of the pool's largest worker that a task takes.
func (j *jobWork) share() float64 {
	l := j.pool.largest
	return max(j.size.Cores/max(l.cores, 1), float64(j.size.MemoryMB)/float64(max(l.memoryMB, 1)))
}

func (r *round) wait(j *jobWork, tasks int, reason Reason) {
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

// proven tells whether a task has run long enough to vouch for its worker.
func (r *round) proven(t *Task) bool {
	return t.State == platform.TaskRunning && r.in.NowMillis-t.StartedMillis >= provenMillis
}
