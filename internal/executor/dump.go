package executor

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cyclamenwheel/internal/quota"
)

// PoolDump is a readable snapshot of a pool's state.
type PoolDump struct {
	Summary   Summary        `json:"summary"`
	Epoch     int64          `json:"epoch"`
	Starts    StartsDump     `json:"starts"`
	Endpoints []EndpointDump `json:"endpoints"`
	Jobs      []JobDump      `json:"jobs"`
	// Accounts are the client accounts' usage of this pool and their shares of their limits.
	Accounts []AccountDump `json:"accounts,omitempty"`
	// Admission is what admission control decides and by what.
	Admission *AdmissionDump `json:"admission,omitempty"`
	// Failed are the recently failed jobs, newest first.
	Failed []FailedDump `json:"failed,omitempty"`
}

// FailedDump describes a failed job.
type FailedDump struct {
	ID         string `json:"id"`
	Queue      string `json:"queue"`
	Reason     string `json:"reason"`
	EndedAgoMs int64  `json:"ended_ago_ms"`
}

// StartsDump describes the starts in flight and their limit.
type StartsDump struct {
	InFlight int `json:"under_way"`
	// Limit is how many starts may be in flight.
	Limit int `json:"limit"`
	// Waiting counts the starts that are durable and wait to be sent.
	Waiting int `json:"waiting"`
	// MedianMs is the median answer time of the last window of starts.
	MedianMs int64 `json:"median_ms"`
}

// EndpointDump is an endpoint's state.
type EndpointDump struct {
	ID           string    `json:"id"`
	Addr         string    `json:"addr"`
	StartedMs    int64     `json:"started_ms,omitempty"`
	Free         Resources `json:"free"`
	Tasks        int       `json:"tasks"`
	Draining     bool      `json:"draining,omitempty"`
	Vacating     bool      `json:"vacating,omitempty"`
	FailedPolls  int       `json:"unanswered,omitempty"`
	QuarantineMs int64     `json:"quarantine_ms,omitempty"`
	// UnacknowledgedEnds counts the ends that are withheld, and those after them.
	UnacknowledgedEnds int   `json:"unacknowledged_ends,omitempty"`
	LastPollAgoMs      int64 `json:"looked_ago_ms"`
	LeaseEndsMs        int64 `json:"lease_ends_in_ms"`
}

// JobDump is an open job's state.
type JobDump struct {
	ID          string   `json:"id"`
	Queue       string   `json:"queue"`
	Account     string   `json:"account,omitempty"`
	State       string   `json:"state"`
	Running     int      `json:"running"`
	ObjectiveMs int64    `json:"objective_in_ms"`
	Waiting     []string `json:"waiting,omitempty"`
	// Unblock lists the events that would let the waiting tasks start.
	Unblock []string `json:"unblock,omitempty"`
	// Crashes are the tasks with evidence of having crashed their endpoints.
	Crashes []string `json:"crashes,omitempty"`
}

// maxDumpEntries bounds each list of a dump.
const maxDumpEntries = 500

// Dump returns the pool's state.
func (c *Core) Dump(now time.Duration) PoolDump {
	d := PoolDump{Summary: c.Summary(now), Epoch: c.epoch, Starts: StartsDump{InFlight: c.startLimiter.InFlight(),
		Limit: int(c.startLimiter.Limit()), Waiting: len(c.startQueue), MedianMs: c.startLimiter.Median().Milliseconds()}}
	d.Summary.EndpointLoads = c.EndpointLoads(0, slices.Collect(maps.Keys(c.endpoints)))
	for _, e := range c.endpoints {
		d.Endpoints = append(d.Endpoints, EndpointDump{ID: e.id, Addr: e.addr, StartedMs: e.startedMs, Free: e.free(), Tasks: len(e.tasks),
			Draining: e.draining, Vacating: e.vacating, FailedPolls: e.failedPolls,
			QuarantineMs: max(0, e.quarantinedUntil-now).Milliseconds(), LastPollAgoMs: (now - e.lastPollAnswer).Milliseconds(),
			UnacknowledgedEnds: int(e.appliedEnd - e.lastAcknowledgeable()), LeaseEndsMs: (c.leaseExpiry(e) - now).Milliseconds()})
	}
	slices.SortFunc(d.Endpoints, func(a, b EndpointDump) int { return cmp.Compare(a.ID, b.ID) })
	for _, j := range c.open[:min(maxDumpEntries, len(c.open))] {
		d.Jobs = append(d.Jobs, c.dumpJob(now, j))
	}
	d.Failed = c.dumpFailed()
	d.Accounts = c.dumpAccounts(now)
	d.Admission = c.dumpAdmission(now)
	return d
}

// AccountDump is a client account's usage of a pool.
type AccountDump struct {
	quota.State
	// Waiting counts the account's jobs of which no task has started. Refused counts those
	// refused since this owner claimed the pool.
	Waiting int `json:"waiting"`
	Refused int `json:"refused"`
	// SharesReportedAgoMs is how long ago this pool's shares of the accounts' limits were last received.
	SharesReportedAgoMs int64 `json:"told_ago_ms"`
}

func (c *Core) dumpAccounts(now time.Duration) []AccountDump {
	waiting := map[string]int{}
	for _, j := range c.open {
		if !j.runConfirmed && !j.rec.State.Ended() {
			waiting[j.rec.Account]++
		}
	}
	var out []AccountDump
	for _, s := range c.allowance.States() {
		if len(out) == maxDumpEntries {
			break
		}
		out = append(out, AccountDump{State: s, Waiting: waiting[s.Account], Refused: c.refusedByAccount[s.Account],
			SharesReportedAgoMs: (now - c.sharesReportedAt).Milliseconds()})
	}
	return out
}

func (c *Core) dumpFailed() []FailedDump {
	var out []FailedDump
	for _, j := range slices.Backward(c.ended) {
		if len(out) == maxDumpEntries {
			break
		}
		if j.rec.State == JobFailed {
			out = append(out, FailedDump{ID: j.rec.Job.ID, Queue: j.rec.Queue, Reason: j.rec.Reason, EndedAgoMs: c.wallMs - j.rec.EndedMs})
		}
	}
	return out
}

// dumpCrashes returns the evidence that a job's tasks crash their endpoints.
func (j *job) dumpCrashes() []string {
	var out []string
	for _, o := range j.current {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if t.evidence.Crashes > 0 {
					out = append(out, t.name()+": "+t.evidence.String())
				}
			}
		}
	}
	return out
}

func (c *Core) dumpJob(now time.Duration, j *job) JobDump {
	state, _ := c.State(j.rec.Job.ID) // a job without a visible state is still being accepted
	d := JobDump{ID: j.rec.Job.ID, Queue: j.rec.Queue, Account: j.rec.Account, State: state.String(), Running: j.placedTasks,
		ObjectiveMs: (j.objective - now).Milliseconds()}
	d.Crashes = j.dumpCrashes()
	met := map[string]bool{}
	for _, t := range j.firstWaitingTasks() {
		if t.givenUp {
			d.Waiting = append(d.Waiting, t.name()+": given up: "+t.evidence.String())
			continue
		}
		counts := c.countObstacles(now, t)
		d.Waiting = append(d.Waiting, t.name()+": endpoints "+c.describeObstacles(now, t, counts))
		for o := range counts {
			met[o] = true
		}
		met[obstacleAccount] = met[obstacleAccount] || !c.fitsAccountLimit(t.step, 1)
	}
	for _, o := range obstacles {
		if met[o] && unblockedBy[o] != "" {
			d.Unblock = append(d.Unblock, unblockedBy[o])
		}
	}
	return d
}
