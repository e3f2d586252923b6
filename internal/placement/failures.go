package placement

import "math"

// classifyFailures sets jobs aside and quarantines workers before any task is
// placed.
//
// A failure is evidence against the job as well as against the worker. To tell
// them apart, a failure on a suspect worker counts less against the job, and a
// failure of a job that is set aside doesn't count against the worker. One task
// that runs well clears both its job and its worker.
func (r *round) classifyFailures() {
	for i := range r.in.Tasks {
		if t := &r.in.Tasks[i]; r.isProven(t) {
			r.provenWorkers[t.Instance] = true
			r.provenJobs[t.Job] = true
		}
	}
	for _, j := range r.jobs {
		if j.setAside = r.setAsideReason(j); j.setAside != "" {
			r.out.SetAside = append(r.out.SetAside, SetAside{
				Pool: j.pool.name, Job: j.spec.Name, Reason: j.setAside,
			})
		}
	}
	for _, p := range r.pools {
		r.quarantineWorkers(p)
	}
}

func (r *round) setAsideReason(j *jobState) Reason {
	if t := r.teams[j.spec.Team]; t != nil && !(&teamUsage{quota: t.quota}).allows(j.size) {
		return ReasonAboveTeamQuota
	}
	if len(j.pool.capacities) > 0 && !j.pool.fitsEmptyWorker(j.size) {
		return ReasonFitsNoWorker
	}
	if r.failsEverywhere(j) {
		return ReasonFailsEverywhere
	}
	return ""
}

func (r *round) failsEverywhere(j *jobState) bool {
	h := r.in.History.jobHistory(*j.spec)
	if h.Succeeded || r.provenJobs[j.spec.Name] {
		return false
	}
	healthy := 0
	for _, id := range h.FailedOn {
		if !r.isSuspect(id) {
			healthy++
		}
	}
	return healthy >= setAsideHealthyWorkers || len(h.FailedOn) >= setAsideAnyWorkers
}

// isSuspect reports whether a worker may itself have caused a job's failure.
func (r *round) isSuspect(instance string) bool {
	w := r.currentWorkerHistory(instance)
	return !w.Succeeded && !r.provenWorkers[instance] && len(w.FailedJobs) >= suspectFailedJobs
}

// currentWorkerHistory returns the part of a worker's history that still
// counts: that of its present boot, without failures older than
// quarantineMillis.
func (r *round) currentWorkerHistory(instance string) WorkerHistory {
	w := r.in.History.Workers[instance]
	if inst := r.instances[instance]; inst != nil {
		w = r.in.History.workerHistory(instance, inst.BootID)
	}
	if r.in.NowMillis-w.LastFailureMillis > quarantineMillis {
		w.FailedJobs = nil
	}
	return w
}

// quarantineWorkers quarantines the workers of a pool on which several jobs
// failed and none succeeded, up to maxQuarantinedShare, so that the pool can
// still run its jobs. It also limits how many tasks each unproven worker may
// get.
func (r *round) quarantineWorkers(p *poolState) {
	maxWorkers := max(1, int(math.Floor(maxQuarantinedShare*float64(len(p.workers)))))
	quarantinedCount := 0
	for _, w := range p.workers {
		h := r.currentWorkerHistory(w.inst.ID)
		failed := 0
		for _, job := range h.FailedJobs {
			if j := r.byJob[job]; j == nil || j.setAside == "" {
				failed++
			}
		}
		proven := h.Succeeded || r.provenWorkers[w.inst.ID]
		if !proven {
			w.unproven, w.trialTasksLeft = true, unprovenTaskLimit
		}
		if !proven && failed > 0 {
			w.trialTasksLeft, w.hasFailures = max(1, quarantineJobs-failed), true
		}
		if proven || failed < quarantineJobs || quarantinedCount >= maxWorkers {
			continue
		}
		quarantinedCount++
		r.quarantined[w.inst.ID] = true
		r.out.Quarantine = append(r.out.Quarantine, Quarantine{
			Instance: w.inst.ID, Reason: ReasonWorkerFailsAll,
		})
	}
}
