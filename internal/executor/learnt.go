package executor

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// What an owner has learnt of its queues' runs outlives it. Load: all processes lose
// power in a turn of demand, and the new owner has callers' estimates only, which
// are off by half and more: it refuses what could be in time and queues what can't.
const (
	// keyLearnt names the record of what was learnt.
	keyLearnt = "l"
	// learntEvery spaces its writing, in ms; it goes with a batch that is written
	// anyway.
	learntEvery = 1000
	// learntFor is how old a record may be to be believed.
	learntFor = 10 * time.Minute
	// learntRuns is the most runs that a restored figure counts for, so that new
	// ones can change it.
	learntRuns = 20
)

// learntRecord is what was learnt of each queue's runs.
type learntRecord struct {
	SavedMs int64                `cbor:"1,keyasint"`
	Queues  map[string]queueRuns `cbor:"2,keyasint"`
}

// queueRuns is the mean time of a queue's runs, and how many it rests on.
type queueRuns struct {
	MeanMs float64 `cbor:"1,keyasint"`
	Runs   int     `cbor:"2,keyasint"`
}

// learntRecords returns the record to write with a batch, if it is due.
func (c *Core) learntRecords() []Record {
	since := c.wallMs - c.learntSavedMs
	if !c.learntChanged || since >= 0 && since < learntEvery {
		return nil
	}
	c.learntSavedMs, c.learntChanged = c.wallMs, false
	out := learntRecord{SavedMs: c.wallMs, Queues: map[string]queueRuns{}}
	for queue, w := range c.learned {
		out.Queues[queue] = queueRuns{MeanMs: w.meanMs, Runs: w.runs}
	}
	return []Record{{Key: keyLearnt, Value: Encode(out)}}
}

// restoreLearnt takes in what a predecessor learnt. A record that is old or can't be
// read is left aside: it only helps to decide.
func (c *Core) restoreLearnt(r Record) {
	var in learntRecord
	if err := cbor.Unmarshal(r.Value, &in); err != nil {
		c.event(Event{Kind: EventRestored, Reason: "what was learnt can't be read"})
		return
	}
	if c.wallMs-in.SavedMs > learntFor.Milliseconds() {
		return
	}
	for queue, l := range in.Queues {
		if l.MeanMs > 0 && l.Runs > 0 {
			c.learned[queue] = &workload{meanMs: l.MeanMs, runs: min(l.Runs, learntRuns)}
		}
	}
}
