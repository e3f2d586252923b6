package executor

import (
	"math"
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
	// learntSteps and learntRuns are the most steps and runs that a restored figure
	// counts for, so that new ones can change it.
	learntSteps = 10
	learntRuns  = 20
)

// learntRecord is what was learnt of each queue's runs.
type learntRecord struct {
	SavedMs int64                `cbor:"1,keyasint"`
	Queues  map[string]queueRuns `cbor:"2,keyasint"`
}

// queueRuns is what was learnt of a queue's runs, as in lengths.
type queueRuns struct {
	Steps       int     `cbor:"3,keyasint"`
	Runs        int     `cbor:"9,keyasint"`
	Actual      float64 `cbor:"4,keyasint"`
	Estimate    float64 `cbor:"5,keyasint"`
	VarActual   float64 `cbor:"6,keyasint"`
	VarEstimate float64 `cbor:"7,keyasint"`
	Covariance  float64 `cbor:"8,keyasint"`
}

// usable reports whether the figures can be what a predecessor has learnt.
func (q queueRuns) usable() bool {
	return q.Steps > 0 && q.Runs > 0 && q.Actual >= 0 && q.Actual < mostLogMs && q.Estimate >= 0 && q.Estimate < mostLogMs &&
		q.VarActual >= 0 && q.VarActual < mostLogMs && q.VarEstimate >= 0 && math.Abs(q.Covariance) < mostLogMs
}

// mostLogMs bounds the logarithm of a length in ms: a run of a year.
const mostLogMs = 24

// learntRecords returns the record to write with a batch, if it is due.
func (c *Core) learntRecords() []Record {
	since := c.wallMs - c.learntSavedMs
	if !c.learntChanged || since >= 0 && since < learntEvery {
		return nil
	}
	c.learntSavedMs, c.learntChanged = c.wallMs, false
	out := learntRecord{SavedMs: c.wallMs, Queues: map[string]queueRuns{}}
	for queue, l := range c.learned {
		out.Queues[queue] = queueRuns{Steps: l.steps, Runs: l.runs, Actual: l.actual, Estimate: l.estimate,
			VarActual: l.varActual, VarEstimate: l.varEstimate, Covariance: l.covariance}
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
		if l.usable() {
			c.learned[queue] = &lengths{steps: min(l.Steps, learntSteps), runs: min(l.Runs, learntRuns), actual: l.Actual, estimate: l.Estimate,
				varActual: l.VarActual, varEstimate: l.VarEstimate, covariance: l.Covariance}
		}
	}
}
