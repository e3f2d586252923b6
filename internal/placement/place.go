package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// place places the missing tasks of a job.
func (r *round) place(j *jobState) {
	if j.setAside != "" {
		return
	}
	limit, reason := r.startLimit(j)
	if n := len(j.pool.workers); n > 0 {
		// Jobs start their search at different workers, so that each spreads
		// over the pool in its own way.
		j.cursor = int(xxhash.Sum64String(j.spec.Name) % uint64(n))
	}
	for placed, index := range j.missing {
		if placed >= limit {
			r.addWaiting(j, len(j.missing)-placed, reason)
			return
		}
		if why := r.placeTask(j, index); why != "" {
			r.addWaiting(j, len(j.missing)-placed, why)
			return
		}
	}
}

// startLimit returns how many tasks of a job may be started now and the reason
// why the others wait.
//
// A job that has failed and never run well gets one task at a time, after a
// backoff that doubles. If all its tasks were started, each of them would fail
// before the job is recognized as broken.
func (r *round) startLimit(j *jobState) (int, Reason) {
	if len(j.pool.workers) == 0 {
		return 0, ReasonNoWorkers
	}
	h := r.in.History.jobHistory(*j.spec)
	if h.Failures == 0 {
		return len(j.missing), ""
	}
	if r.in.NowMillis < h.LastFailureMillis+backoff(h.Failures) {
		return 0, ReasonBackoff
	}
	if h.Succeeded || r.provenJobs[j.spec.Name] {
		return len(j.missing), ""
	}
	return max(0, 1-j.running), ReasonBackoff
}

// backoff returns the backoff after the given number of failures in a row.
func backoff(failures int) int64 {
	wait := int64(backoffBaseMillis)
	for range failures - 1 {
		wait *= 2
		if wait >= backoffMaxMillis {
			return backoffMaxMillis
		}
	}
	return wait
}

// placeTask places one task; if it can't, it returns the reason.
func (r *round) placeTask(j *jobState, index int) Reason {
	team := r.teams[j.spec.Team]
	if !team.allows(j.size) {
		return ReasonTeamQuota
	}
	if limit := r.in.Limits.MaxPlaces; limit > 0 && len(r.out.Places) >= limit {
		return ReasonRoundFull
	}
	i, reason := r.findWorker(j)
	if i < 0 {
		if j.urgent() {
			return r.displace(j)
		}
		return ReasonNoRoom
	}
	team.add(j.size)
	r.startTask(j, index, i, reason)
	return ""
}

func (r *round) findWorker(j *jobState) (int, Reason) {
	skip := r.skipFailedWorkers(j)
	if i := j.pool.normalFree.find(j.size, j.cursor, skip); i >= 0 {
		if j.urgent() {
			return i, ReasonUrgent
		}
		return i, ReasonWanted
	}
	if !j.urgent() {
		return -1, ""
	}
	return j.pool.urgentFree.find(j.size, j.cursor, skip), ReasonUrgentReserve
}

// skipFailedWorkers returns a filter that excludes the workers on which the job
// has failed, or nil if there are none.
func (r *round) skipFailedWorkers(j *jobState) func(int) bool {
	failedOn := r.in.History.jobHistory(*j.spec).FailedOn
	if len(failedOn) == 0 {
		return nil
	}
	return func(i int) bool { return slices.Contains(failedOn, j.pool.workers[i].inst.ID) }
}

func (r *round) startTask(j *jobState, index, i int, reason Reason) {
	w := j.pool.workers[i]
	w.free = w.free.minus(j.size)
	w.trialTasksLeft--
	if reason == ReasonUrgentReserve {
		w.reserve = Size{max(0, w.reserve.Cores-j.size.Cores), max(0, w.reserve.MemoryMB-j.size.MemoryMB), 0}
	}
	j.pool.update(i)
	j.cursor = (i + 1) % len(j.pool.workers)
	r.out.Places = append(r.out.Places, Place{
		Pool: j.pool.name, Job: j.spec.Name, Index: index,
		Instance: w.inst.ID, Size: j.size, Reason: reason,
	})
}

// displace frees capacity for an urgent task on one worker: it chooses a worker
// where tasks that are already ending free enough, or else stops normal tasks
// on one. The capacity is claimed now and the task placed in a later round,
// once those tasks have ended; started earlier, it would be rejected by the
// worker or exhaust its memory and get other tasks killed.
func (r *round) displace(j *jobState) Reason {
	skip := r.skipFailedWorkers(j)
	i := j.pool.freeAfterEnding.find(j.size, j.cursor, skip)
	if i < 0 {
		if i = j.pool.freeAfterDisplacing.find(j.size, j.cursor, skip); i < 0 {
			return ReasonNoRoom
		}
		r.stopVictims(j, j.pool.workers[i])
	}
	w := j.pool.workers[i]
	w.claimedUrgent = w.claimedUrgent.plus(j.size)
	j.pool.update(i)
	r.teams[j.spec.Team].add(j.size)
	r.addWaiting(j, 1, ReasonDisplacing)
	return ""
}

// stopVictims stops the fewest normal tasks that free enough capacity: the
// largest first and, among equals, the one started last, which loses the least
// work.
func (r *round) stopVictims(j *jobState, w *worker) {
	slices.SortStableFunc(w.victims, func(a, b victim) int {
		return cmp.Or(-cmp.Compare(a.size.Cores, b.size.Cores), -cmp.Compare(a.startedMillis, b.startedMillis))
	})
	for len(w.victims) > 0 && !w.freeForUrgentAfterEnding().fits(j.size) {
		v := w.victims[0]
		w.victims = w.victims[1:]
		w.displaceable = w.displaceable.minus(v.size)
		w.endingSize = w.endingSize.plus(v.size)
		r.out.Stops = append(r.out.Stops, Stop{Task: v.id, Job: v.job, Reason: ReasonDisplaced})
	}
}
