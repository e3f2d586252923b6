package executor

import (
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Runs that were given up, kept for successors. Load: an endpoint is not heard until its
// leases have run out, its tasks end elsewhere, and their jobs are over as the pool changes
// its owner. The next owner hears the endpoint list a good end, finds nothing of its task,
// and would acknowledge what its predecessor withheld or would have withheld.

// keyGivenUp, followed by an endpoint's id, names the record of its runs that were given up.
const keyGivenUp = "g"

// givenUpRecord is what is kept of the runs that were given up on an incarnation.
type givenUpRecord struct {
	StartedMs int64          `cbor:"1,keyasint,omitempty"`
	Runs      map[string]int `cbor:"2,keyasint"`
	// UnheardMs are those since which the endpoint has not been heard, and how long it had
	// been heard before; below 0 where it was not known to have them.
	UnheardMs map[string]int64 `cbor:"3,keyasint,omitempty"`
}

// rememberGivenUp is how long an endpoint that is not in service discovery is kept for
// its runs that were given up: its entry may have lapsed while it lives.
const rememberGivenUp = time.Minute

// giveUp notes that a run is given up while its endpoint may yet be heard.
func (c *Core) giveUp(now time.Duration, e *endpoint, t *task) {
	if t.ordered == 0 && !t.restored {
		return // its order has never left
	}
	if e.givenUp == nil {
		e.givenUp = map[string]int{}
	}
	e.givenUp[t.name()] = t.run
	if e.unheard == nil {
		e.unheard = map[string]unheardRun{}
	}
	e.unheard[t.name()] = unheardRun{t.confirmed > 0, t.heardFor()}
	t.lapsed = true
	c.beWary(t)
	e.gaveUpAt = now
	c.unsavedGivenUp[e.id] = true
}

// unheardRun is a run that was given up, and how far it had come.
type unheardRun struct {
	// known: the endpoint was known to have it, and was heard for so long after that.
	known bool
	heard time.Duration
}

func (r unheardRun) milliseconds() int64 {
	if !r.known {
		return -1
	}
	return r.heard.Milliseconds()
}

// forgetUnheard drops what was kept in case that an incarnation has crashed under its runs.
func (c *Core) forgetUnheard(e *endpoint) {
	if len(e.unheard) > 0 {
		e.unheard = nil
		c.unsavedGivenUp[e.id] = true
	}
}

// dropGivenUp forgets a run whose end is known.
func (c *Core) dropGivenUp(e *endpoint, task string) {
	if _, known := e.givenUp[task]; known {
		delete(e.givenUp, task)
		c.unsavedGivenUp[e.id] = true
	}
}

func (e *endpoint) remembered(now time.Duration) bool {
	return len(e.givenUp) > 0 && now-e.gaveUpAt < rememberGivenUp
}

// givenUpRecords returns what has to be written of endpoints whose runs were given up, or
// are no longer of interest.
func (c *Core) givenUpRecords() []Record {
	var out []Record
	for _, id := range slices.Sorted(maps.Keys(c.unsavedGivenUp)) {
		delete(c.unsavedGivenUp, id)
		e := c.endpoints[id]
		switch {
		case e != nil && len(e.givenUp) > 0:
			c.savedGivenUp[id] = true
			out = append(out, Record{Key: keyGivenUp + id, Value: Encode(e.givenUpRecord())})
		case c.savedGivenUp[id]:
			delete(c.savedGivenUp, id)
			out = append(out, Record{Key: keyGivenUp + id})
		}
	}
	return out
}

func (e *endpoint) givenUpRecord() givenUpRecord {
	r := givenUpRecord{StartedMs: e.startedMs, Runs: e.givenUp}
	for task, run := range e.unheard {
		if r.UnheardMs == nil {
			r.UnheardMs = map[string]int64{}
		}
		r.UnheardMs[task] = run.milliseconds()
	}
	return r
}

func (c *Core) restoreGivenUp(r Record, now time.Duration) error {
	var in givenUpRecord
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
