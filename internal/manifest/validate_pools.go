package manifest

func (v *validator) checkPools() {
	seen := make(map[string]bool)
	for i := range v.m.Pools {
		p := &v.m.Pools[i]
		path := indexPath("pools", i)
		v.checkName(joinPath(path, "name"), p.Name)
		v.checkUnique(joinPath(path, "name"), p.Name, seen)
		v.checkSelection(joinPath(path, "instances"), i, p.Instances)
		v.checkRange(joinPath(path, "maintenance.revision"), int64(p.Maintenance.Revision), 0, MaxRevision)
		for j := range p.Jobs {
			v.checkJob(indexPath(joinPath(path, "jobs"), j), &p.Jobs[j])
		}
	}
}

func (v *validator) checkSelection(path string, pool int, s Selection) {
	switch {
	case len(s.IDs) > 0 && s.Count != 0:
		v.addFault(path, ReasonSelectionAmbiguous, "ids and count are both set; set only one of them")
	case len(s.IDs) == 0 && s.Count == 0:
		v.addFault(path, ReasonSelectionMissing, "neither ids nor count is set")
	}
	if len(s.IDs) == 0 && s.Count != 0 {
		v.checkRange(joinPath(path, "count"), int64(s.Count), 1, MaxPoolInstances)
	}
	v.checkIDs(joinPath(path, "ids"), pool, s.IDs)
	if s.Select == nil {
		return
	}
	if len(s.IDs) > 0 {
		v.addFault(joinPath(path, "select"), ReasonSelectorWithIDs, "a selector applies only to count")
	}
	v.checkSelector(joinPath(path, "select"), s.Select)
}

// checkIDs checks that no instance is listed twice over all pools: it would belong
// to two pools or count twice in an availability budget.
func (v *validator) checkIDs(path string, pool int, ids []string) {
	if len(ids) > MaxPoolInstances {
		v.addFault(path, ReasonOutOfRange, "%d instances, at most %d", len(ids), MaxPoolInstances)
	}
	for i, id := range ids {
		v.checkLabel(indexPath(path, i), id)
		owner, listed := v.poolOf[id]
		switch {
		case listed && owner == pool:
			v.addFault(indexPath(path, i), ReasonInstanceTwiceInPool, "%q is already listed in this pool", id)
		case listed:
			v.addFault(indexPath(path, i), ReasonInstanceInTwoPools, "%q is already listed in pool %q", id, v.m.Pools[owner].Name)
		default:
			v.poolOf[id] = pool
		}
	}
}

func (v *validator) checkSelector(path string, s *Selector) {
	v.checkLabels(joinPath(path, "zones"), s.Zones)
	v.checkLabels(joinPath(path, "racks"), s.Racks)
	v.checkRange(joinPath(path, "accelerators"), int64(s.Accelerators), 0, MaxAccelerators)
}

func (v *validator) checkLabels(path string, labels []string) {
	seen := make(map[string]bool)
	for i, l := range labels {
		v.checkLabel(indexPath(path, i), l)
		v.checkUnique(indexPath(path, i), l, seen)
	}
}

func (v *validator) checkJob(path string, j *Job) {
	v.checkName(joinPath(path, "name"), j.Name)
	v.checkUnique(joinPath(path, "name"), j.Name, v.jobNames)
	v.checkRange(joinPath(path, "tasks"), int64(j.Tasks), 1, MaxTasks)
	v.checkCores(joinPath(path, "cores"), j.Cores, MaxTaskCores)
	v.checkRange(joinPath(path, "memory_mb"), int64(j.MemoryMB), 1, MaxTaskMemoryMB)
	v.checkRange(joinPath(path, "accelerators"), int64(j.Accelerators), 0, MaxAccelerators)
	v.checkRange(joinPath(path, "duration_ms"), j.DurationMillis, 0, MaxJobDurationMillis)
	v.checkPriority(joinPath(path, "priority"), j.Priority)
	v.checkQuota(path, j)
}

// checkQuota checks that the quota of the job's team allows at least one of its
// tasks. Otherwise the job would wait forever without an error.
func (v *validator) checkQuota(path string, j *Job) {
	if j.Team == "" {
		return
	}
	team, known := v.m.findTeam(j.Team)
	if !known {
		v.addFault(joinPath(path, "team"), ReasonUnknownTeam, "team %q is not declared", j.Team)
		return
	}
	if j.Cores > team.Cores {
		v.addFault(joinPath(path, "cores"), ReasonQuotaBelowTask, "one task needs %g, but the quota of team %q is %g", j.Cores, team.Name, team.Cores)
	}
	if j.MemoryMB > team.MemoryMB {
		v.addFault(joinPath(path, "memory_mb"), ReasonQuotaBelowTask, "one task needs %d, but the quota of team %q is %d", j.MemoryMB, team.Name, team.MemoryMB)
	}
	if j.Accelerators > team.Accelerators {
		v.addFault(joinPath(path, "accelerators"), ReasonQuotaBelowTask, "one task needs %d, but the quota of team %q is %d", j.Accelerators, team.Name, team.Accelerators)
	}
}

func (m *Manifest) findTeam(name string) (*Team, bool) {
	for i := range m.Teams {
		if m.Teams[i].Name == name {
			return &m.Teams[i], true
		}
	}
	return nil, false
}
