package executor

import (
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Abandoned runs, recorded for later owners. Load: an endpoint does not report until its leases have
// expired, its tasks end elsewhere, and their jobs are over when the pool changes owner. The next
// owner sees the endpoint list a successful end, finds no task for it, and would acknowledge an end
// that its predecessor withheld or would have withheld.

// keyGivenUp, followed by an endpoint's id, is the key of the record of its abandoned runs.
const keyGivenUp = "g"

// abandonedRunsRecord lists the runs that were abandoned on an incarnation.
type abandonedRunsRecord struct {
	StartedMs int64          `cbor:"1,keyasint,omitempty"`
	Runs      map[string]int `cbor:"2,keyasint"`
	// UnheardMs has those after which the endpoint has not reported, with how long it had
	// reported since it confirmed them; below 0 if it had not.
	UnheardMs map[string]int64 `cbor:"3,keyasint,omitempty"`
}

// keepAbandonedFor is how long an endpoint that service discovery does not list is kept for its
// abandoned runs: its entry may have expired while it still runs.
const keepAbandonedFor = time.Minute

// abandon records that a run is abandoned while its endpoint may still report.
func (c *Core) abandon(now time.Duration, e *endpoint, t *task) {
	if t.ordered == 0 && !t.restored {
		return // its order was never sent
	}
	if e.givenUp == nil {
		e.givenUp = map[string]int{}
	}
	e.givenUp[t.name()] = t.run
	if e.unheard == nil {
		e.unheard = map[string]unheardRun{}
	}
	e.unheard[t.name()] = unheardRun{t.confirmed > 0, t.confirmedFor()}
	t.lapsed = true
	c.beWary(t)
	e.gaveUpAt = now
	c.unsavedGivenUp[e.id] = true
}

// unheardRun is an abandoned run on an endpoint that has not reported since.
type unheardRun struct {
	// confirmed reports whether the endpoint had confirmed it; confirmedFor is how long it reported
	// after that.
	confirmed    bool
	confirmedFor time.Duration
}

func (r unheardRun) milliseconds() int64 {
	if !r.confirmed {
		return -1
	}
	return r.confirmedFor.Milliseconds()
}

// clearUnreported drops what was kept in case an incarnation had crashed with its runs.
func (c *Core) clearUnreported(e *endpoint) {
	if len(e.unheard) > 0 {
		e.unheard = nil
		c.unsavedGivenUp[e.id] = true
	}
}

// dropAbandoned removes an abandoned run whose end is known.
func (c *Core) dropAbandoned(e *endpoint, task string) {
	if _, known := e.givenUp[task]; known {
		delete(e.givenUp, task)
		c.unsavedGivenUp[e.id] = true
	}
}

func (e *endpoint) remembered(now time.Duration) bool {
	return len(e.givenUp) > 0 && now-e.gaveUpAt < keepAbandonedFor
}

// givenUpRecords returns the changed records of endpoints with abandoned runs, and deletions of
// those that are no longer needed.
func (c *Core) givenUpRecords() []Record {
	var out []Record
	for _, id := range slices.Sorted(maps.Keys(c.unsavedGivenUp)) {
		delete(c.unsavedGivenUp, id)
		e := c.endpoints[id]
		switch {
		case e != nil && len(e.givenUp) > 0:
			c.savedGivenUp[id] = true
			out = append(out, Record{Key: keyGivenUp + id, Value: Encode(e.abandonedRunsRecord())})
		case c.savedGivenUp[id]:
			delete(c.savedGivenUp, id)
			out = append(out, Record{Key: keyGivenUp + id})
		}
	}
	return out
}

func (e *endpoint) abandonedRunsRecord() abandonedRunsRecord {
	r := abandonedRunsRecord{StartedMs: e.startedMs, Runs: e.givenUp}
	for task, run := range e.unheard {
		if r.UnheardMs == nil {
			r.UnheardMs = map[string]int64{}
		}
		r.UnheardMs[task] = run.milliseconds()
	}
	return r
}

func (c *Core) restoreGivenUp(r Record, now time.Duration) error {
	var in abandonedRunsRecord
	if err := cbor.Unmarshal(r.Value, &in); err != nil {
		return &MalformedRecordError{Key: r.Key, Cause: err}
	}
	e := c.endpoint(r.Key[len(keyGivenUp):])
	c.savedGivenUp[e.id] = true
	c.restoreStart(e, in.StartedMs)
	if e.startedMs != in.StartedMs {
		c.unsavedGivenUp[e.id] = true
		return nil
	}
	e.givenUp, e.gaveUpAt = in.Runs, now
	for task, ms := range in.UnheardMs {
		if e.unheard == nil {
			e.unheard = map[string]unheardRun{}
		}
		e.unheard[task] = unheardRun{ms >= 0, time.Duration(max(0, ms)) * time.Millisecond}
	}
	return nil
}
