package manifest

func (v *validator) pools() {
	seen := make(map[string]bool)
	for i := range v.m.Pools {
		p := &v.m.Pools[i]
		path := index("pools", i)
		v.name(join(path, "name"), p.Name)
		v.unique(join(path, "name"), p.Name, seen)
		v.selection(join(path, "instances"), i, p.Instances)
		v.between(join(path, "maintenance.revision"), int64(p.Maintenance.Revision), 0, MaxRevision)
		for j := range p.Jobs {
			v.job(index(join(path, "jobs"), j), &p.Jobs[j])
		}
	}
}

func (v *validator) selection(path string, pool int, s Selection) {
	switch {
	case len(s.IDs) > 0 && s.Count != 0:
		v.add(path, ReasonSelectionAmbiguous, "ids and count are both set; one of them decides")
	case len(s.IDs) == 0 && s.Count == 0:
		v.add(path, ReasonSelectionMissing, "neither ids nor count is set")
	}
	if len(s.IDs) == 0 && s.Count != 0 {
		v.between(join(path, "count"), int64(s.Count), 1, MaxPoolInstances)
	}
	v.ids(join(path, "ids"), pool, s.IDs)
	if s.Select == nil {
		return
	}
	if len(s.IDs) > 0 {
		v.add(join(path, "select"), ReasonSelectorWithIDs, "a selector applies to count only")
	}
	v.selector(join(path, "select"), s.Select)
}

// ids checks that an instance is listed once in all pools together: listed
// twice, it would have two owners or be counted twice in a budget.
func (v *validator) ids(path string, pool int, ids []string) {
	if len(ids) > MaxPoolInstances {
		v.add(path, ReasonOutOfRange, "%d instances, at most %d", len(ids), MaxPoolInstances)
	}
	for i, id := range ids {
		v.label(index(path, i), id)
		owner, listed := v.owners[id]
		switch {
		case listed && owner == pool:
			v.add(index(path, i), ReasonInstanceTwiceInPool, "%q is listed before in this pool", id)
		case listed:
			v.add(index(path, i), ReasonInstanceInTwoPools, "%q is listed in pool %q as well", id, v.m.Pools[owner].Name)
		default:
			v.owners[id] = pool
		}
	}
}

func (v *validator) selector(path string, s *Selector) {
	v.labels(join(path, "zones"), s.Zones)
	v.labels(join(path, "racks"), s.Racks)
	v.between(join(path, "accelerators"), int64(s.Accelerators), 0, MaxAccelerators)
}

func (v *validator) labels(path string, labels []string) {
	seen := make(map[string]bool)
	for i, l := range labels {
		v.label(index(path, i), l)
		v.unique(index(path, i), l, seen)
	}
}

func (v *validator) job(path string, j *Job) {
	v.name(join(path, "name"), j.Name)
	v.unique(join(path, "name"), j.Name, v.jobs)
	v.between(join(path, "tasks"), int64(j.Tasks), 1, MaxTasks)
	v.cores(join(path, "cores"), j.Cores, MaxTaskCores)
	v.between(join(path, "memory_mb"), int64(j.MemoryMB), 1, MaxTaskMemoryMB)
	v.between(join(path, "accelerators"), int64(j.Accelerators), 0, MaxAccelerators)
	v.between(join(path, "duration_ms"), j.DurationMillis, 0, MaxJobDurationMillis)
	v.priority(join(path, "priority"), j.Priority)
	v.quota(path, j)
}

// quota checks that the job's team can run at least one of its tasks; with
// less, the job would wait for ever without a word.
func (v *validator) quota(path string, j *Job) {
	if j.Team == "" {
		return
	}
	team, known := v.m.team(j.Team)
	if !known {
		v.add(join(path, "team"), ReasonUnknownTeam, "team %q is not declared", j.Team)
		return
	}
	if j.Cores > team.Cores {
		v.add(join(path, "cores"), ReasonQuotaBelowTask, "one task takes %g, team %q may use %g", j.Cores, team.Name, team.Cores)
	}
	if j.MemoryMB > team.MemoryMB {
		v.add(join(path, "memory_mb"), ReasonQuotaBelowTask, "one task takes %d, team %q may use %d", j.MemoryMB, team.Name, team.MemoryMB)
	}
	if j.Accelerators > team.Accelerators {
		v.add(join(path, "accelerators"), ReasonQuotaBelowTask, "one task takes %d, team %q may use %d", j.Accelerators, team.Name, team.Accelerators)
	}
}

func (m *Manifest) team(name string) (*Team, bool) {
	for i := range m.Teams {
		if m.Teams[i].Name == name {
			return &m.Teams[i], true
		}
	}
	return nil, false
}
