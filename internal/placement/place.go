package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// place finds workers for the tasks that a job misses.
func (r *round) place(j *jobWork) {
	if j.setAside != "" {
		return
	}
	limit, reason := r.allowance(j)
	if n := len(j.pool.workers); n > 0 {
		// Jobs begin at different workers, so that each has its own spread.
		j.cursor = int(xxhash.Sum64String(j.spec.Name) % uint64(n))
	}
	for done, index := range j.missing {
		if done >= limit {
			r.wait(j, len(j.missing)-done, reason)
			return
		}
		if why := r.placeOne(j, index); why != "" {
			r.wait(j, len(j.missing)-done, why)
			return
		}
	}
}

// allowance is how many tasks of a job may be started now, and what the rest
// waits for.
//
// A job that has failed and never run well is tried with one task at a time,
// and after a wait that doubles: started at full strength it would fail as
// often as it has tasks before it is known to be broken.
func (r *round) allowance(j *jobWork) (int, Reason) {
	if len(j.pool.workers) == 0 {
		return 0, ReasonNoWorkers
	}
	h := r.in.History.job(*j.spec)
	if h.Failures == 0 {
		return len(j.missing), ""
	}
	if r.in.NowMillis < h.LastFailureMillis+backoff(h.Failures) {
		return 0, ReasonBackoff
	}
	if h.Succeeded || r.ableJobs[j.spec.Name] {
		return len(j.missing), ""
	}
	return max(0, 1-j.running), ReasonBackoff
}

// backoff is the wait after the nth failure in a row.
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

// placeOne places one task and returns why it couldn't.
func (r *round) placeOne(j *jobWork, index int) Reason {
	team := r.teams[j.spec.Team]
	if !team.allows(j.size) {
		return ReasonTeamQuota
	}
	if limit := r.in.Limits.MaxPlaces; limit > 0 && len(r.out.Places) >= limit {
		return ReasonRoundFull
	}
	i, reason := r.findRoom(j)
	if i < 0 {
		if j.urgent() {
			return r.displace(j)
		}
		return ReasonNoRoom
	}
	team.add(j.size)
	r.start(j, index, i, reason)
	return ""
}

func (r *round) findRoom(j *jobWork) (int, Reason) {
	skip := r.skipper(j)
	if i := j.pool.forNormal.find(j.size, j.cursor, skip); i >= 0 {
		if j.urgent() {
			return i, ReasonUrgent
		}
		return i, ReasonWanted
	}
	if !j.urgent() {
		return -1, ""
	}
	return j.pool.forUrgent.find(j.size, j.cursor, skip), ReasonUrgentReserve
}

// skipper leaves out the workers that the job has failed on.
func (r *round) skipper(j *jobWork) func(int) bool {
	failedOn := r.in.History.job(*j.spec).FailedOn
	if len(failedOn) == 0 {
		return nil
	}
	return func(i int) bool { return slices.Contains(failedOn, j.pool.workers[i].inst.ID) }
}

func (r *round) start(j *jobWork, index, i int, reason Reason) {
	w := j.pool.workers[i]
	w.free = w.free.minus(j.size)
	w.probes--
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

// displace makes room for an urgent task on one worker: where tasks are ending
// already if that is enough, and else by stopping normal ones. The room is
// claimed, and the task placed in a later round, once they have ended: started
// before that it would be refused, or push its neighbours out of memory.
func (r *round) displace(j *jobWork) Reason {
	skip := r.skipper(j)
	i := j.pool.withEnding.find(j.size, j.cursor, skip)
	if i < 0 {
		if i = j.pool.withNormal.find(j.size, j.cursor, skip); i < 0 {
			return ReasonNoRoom
		}
		r.stopVictims(j, j.pool.workers[i])
	}
	w := j.pool.workers[i]
	w.claimed = w.claimed.plus(j.size)
	j.pool.update(i)
	r.teams[j.spec.Team].add(j.size)
	r.wait(j, 1, ReasonDisplacing)
	return ""
}

// stopVictims stops the fewest normal tasks whose room is enough: large ones
// first and, among equals, the one started last, which loses the least work.
func (r *round) stopVictims(j *jobWork, w *worker) {
	slices.SortStableFunc(w.victims, func(a, b victim) int {
		return cmp.Or(-cmp.Compare(a.size.Cores, b.size.Cores), -cmp.Compare(a.startedMillis, b.startedMillis))
	})
	for len(w.victims) > 0 && !w.roomWithEnding().fits(j.size) {
		v := w.victims[0]
		w.victims = w.victims[1:]
		w.normal = w.normal.minus(v.size)
		w.soon = w.soon.plus(v.size)
		r.out.Stops = append(r.out.Stops, Stop{Task: v.id, Job: v.job, Reason: ReasonDisplaced})
	}
}
