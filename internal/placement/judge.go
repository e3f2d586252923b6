package placement

import "math"

// judge sets jobs aside and puts workers in quarantine, before any room is
// looked for.
//
// A failure speaks against the job as much as against the worker. A job's
// failures count only on workers that have shown no other fault, and a
// worker's only for jobs that aren't set aside; what has run well once clears
// itself.
func (r *round) judge() {
	for i := range r.in.Tasks {
		if t := &r.in.Tasks[i]; r.proven(t) {
			r.ableWorkers[t.Instance] = true
			r.ableJobs[t.Job] = true
		}
	}
	for _, j := range r.jobs {
		if j.setAside = r.judgeJob(j); j.setAside != "" {
			r.out.SetAside = append(r.out.SetAside, SetAside{
				Pool: j.pool.name, Job: j.spec.Name, Reason: j.setAside,
			})
		}
	}
	for _, p := range r.pools {
		r.judgeWorkers(p)
	}
}

func (r *round) judgeJob(j *jobWork) Reason {
	if t := r.teams[j.spec.Team]; t != nil && !(&teamUse{quota: t.quota}).allows(j.size) {
		return ReasonQuotaNever
	}
	if len(j.pool.capacities) > 0 && !j.pool.couldFit(j.size) {
		return ReasonFitsNoWorker
	}
	if r.failsEverywhere(j) {
		return ReasonFailsEverywhere
	}
	return ""
}

func (r *round) failsEverywhere(j *jobWork) bool {
	h := r.in.History.job(*j.spec)
	if h.Succeeded || r.ableJobs[j.spec.Name] {
		return false
	}
	healthy := 0
	for _, id := range h.FailedOn {
		if !r.suspect(id) {
			healthy++
		}
	}
	return healthy >= setAsideWorkers || len(h.FailedOn) >= setAsideAnyWorkers
}

// suspect tells whether a worker may itself be the cause of a job's failure.
func (r *round) suspect(instance string) bool {
	w := r.workerHistory(instance)
	return !w.Succeeded && !r.ableWorkers[instance] && len(w.FailedJobs) >= suspectJobs
}

// workerHistory is what still counts for or against a worker.
func (r *round) workerHistory(instance string) WorkerHistory {
	w := r.in.History.Workers[instance]
	if inst := r.instances[instance]; inst != nil {
		w = r.in.History.worker(instance, inst.BootID)
	}
	if r.in.NowMillis-w.LastFailureMillis > quarantineMillis {
		w.FailedJobs = nil
	}
	return w
}

// judgeWorkers quarantines the workers of a pool that fail all they are given,
// but never so many that the pool could no longer run its jobs.
func (r *round) judgeWorkers(p *poolWork) {
	most := max(1, int(math.Floor(maxQuarantined*float64(len(p.workers)))))
	n := 0
	for _, w := range p.workers {
		h := r.workerHistory(w.inst.ID)
		failed := 0
		for _, job := range h.FailedJobs {
			if j := r.byJob[job]; j == nil || j.setAside == "" {
				failed++
			}
		}
		able := h.Succeeded || r.ableWorkers[w.inst.ID]
		if !able {
			w.probing, w.probes = true, unprovenTasks
		}
		if !able && failed > 0 {
			w.probes, w.doubtful = max(1, quarantineJobs-failed), true
		}
		if able || failed < quarantineJobs || n >= most {
			continue
		}
		n++
		r.quarantined[w.inst.ID] = true
		r.out.Quarantine = append(r.out.Quarantine, Quarantine{
			Instance: w.inst.ID, Reason: ReasonWorkerFailsAll,
		})
	}
}
