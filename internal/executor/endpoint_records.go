package executor

import (
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Records of endpoints, for later owners. Load: an endpoint does not report until its leases have expired,
// its tasks end elsewhere, and their jobs are over when the pool changes owner. The next owner sees the
// endpoint list a successful end, finds no task for it, and would acknowledge an end that its predecessor
// withheld or would have withheld. Or the endpoint has restarted and holds a lease by its former clock,
// which the next owner would take for over while runs go on.

// keyEndpoint, followed by an endpoint's id, is the key of its endpointRecord.
const keyEndpoint = "g"

// endpointRecord is what later owners have to know of an endpoint's incarnation.
type endpointRecord struct {
	StartedMs int64 `cbor:"1,keyasint,omitempty"`
	// Runs are the newest abandoned runs, by task; EarlierRuns are the others.
	Runs        map[string]int   `cbor:"2,keyasint"`
	EarlierRuns map[string][]int `cbor:"5,keyasint,omitempty"`
	// UnreportedMs has those after which the endpoint has not reported, with how long it had
	// reported since it confirmed them; below 0 if it had not.
	UnreportedMs map[string]int64 `cbor:"3,keyasint,omitempty"`
	// EarlierClockLeaseMs is the latest end, in ms of the endpoint's clock, of leases to times of an
	// earlier incarnation's clock; 0 if there are none.
	EarlierClockLeaseMs int64 `cbor:"4,keyasint,omitempty"`
}

// endpointRecords returns the changed records of endpoints, and deletions of those that are no longer
// needed.
func (c *Core) endpointRecords() []Record {
	var out []Record
	for _, id := range slices.Sorted(maps.Keys(c.unsavedEndpoints)) {
		delete(c.unsavedEndpoints, id)
		e := c.endpoints[id]
		switch {
		case e != nil && (len(e.abandonedRuns) > 0 || e.earlierClockLeaseUntil > 0):
			c.savedEndpoints[id] = true
			out = append(out, Record{Key: keyEndpoint + id, Value: Encode(e.endpointRecord())})
		case c.savedEndpoints[id]:
			delete(c.savedEndpoints, id)
			out = append(out, Record{Key: keyEndpoint + id})
		}
	}
	return out
}

func (e *endpoint) endpointRecord() endpointRecord {
	r := endpointRecord{StartedMs: e.startedMs, Runs: map[string]int{}, EarlierClockLeaseMs: e.earlierClockLeaseUntil.Milliseconds()}
	for id := range e.abandonedRuns {
		r.Runs[id.task] = max(r.Runs[id.task], id.run)
	}
	for id := range e.abandonedRuns {
		if id.run == r.Runs[id.task] {
			continue
		}
		if r.EarlierRuns == nil {
			r.EarlierRuns = map[string][]int{}
		}
		r.EarlierRuns[id.task] = append(r.EarlierRuns[id.task], id.run)
	}
	for task, run := range e.unreportedRuns {
		if r.UnreportedMs == nil {
			r.UnreportedMs = map[string]int64{}
		}
		r.UnreportedMs[task] = run.milliseconds()
	}
	return r
}

func (r *endpointRecord) abandonedRuns() map[runID]bool {
	out := map[runID]bool{}
	for task, run := range r.Runs {
		out[runID{task, run}] = true
	}
	for task, runs := range r.EarlierRuns {
		for _, run := range runs {
			out[runID{task, run}] = true
		}
	}
	return out
}

func (c *Core) restoreEndpoint(r Record, now time.Duration) error {
	var in endpointRecord
	if err := cbor.Unmarshal(r.Value, &in); err != nil {
		return &MalformedRecordError{Key: r.Key, Cause: err}
	}
	e := c.endpoint(r.Key[len(keyEndpoint):])
	c.savedEndpoints[e.id] = true
	c.restoreIncarnationStart(e, in.StartedMs)
	if e.startedMs != in.StartedMs {
		c.unsavedEndpoints[e.id] = true
		return nil
	}
	e.abandonedRuns, e.abandonedAt = in.abandonedRuns(), now
	e.earlierClockLeaseUntil = time.Duration(in.EarlierClockLeaseMs) * time.Millisecond
	for task, ms := range in.UnreportedMs {
		if e.unreportedRuns == nil {
			e.unreportedRuns = map[string]unreportedRun{}
		}
		e.unreportedRuns[task] = unreportedRun{in.Runs[task], ms >= 0, time.Duration(max(0, ms)) * time.Millisecond}
	}
	return nil
}
