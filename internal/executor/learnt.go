package executor

import (
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Run statistics of queues, recorded for later owners. Load: all processes lose power during a demand
// peak, and the new owner has callers' estimates only, which are off by half and more: it refuses
// jobs that could meet their objective and queues jobs that can't.
const (
	// keyLearnt is the key of the statistics record.
	keyLearnt = "l"
	// statsSaveIntervalMs is the least time between writes of the record. It is written only
	// with a batch that has other records.
	statsSaveIntervalMs = 1000
	// statsMaxAge is how old a record may be to be used.
	statsMaxAge = 10 * time.Minute
	// maxRestoredSteps and maxRestoredRuns limit the weight of restored statistics, so that new
	// runs can change them.
	maxRestoredSteps = 10
	maxRestoredRuns  = 20
)

// statsRecord has the run statistics of each queue.
type statsRecord struct {
	SavedMs int64                 `cbor:"1,keyasint"`
	Queues  map[string]queueStats `cbor:"2,keyasint"`
}

// queueStats are the run statistics of a queue, as in lengths.
type queueStats struct {
	Steps       int     `cbor:"3,keyasint"`
	Runs        int     `cbor:"9,keyasint"`
	Actual      float64 `cbor:"4,keyasint"`
	Estimate    float64 `cbor:"5,keyasint"`
	VarActual   float64 `cbor:"6,keyasint"`
	VarEstimate float64 `cbor:"7,keyasint"`
	Covariance  float64 `cbor:"8,keyasint"`
}

// isPlausible reports whether the values are in the range of real statistics.
func (q queueStats) isPlausible() bool {
	return q.Steps > 0 && q.Runs > 0 && q.Actual >= 0 && q.Actual < maxLogMs && q.Estimate >= 0 && q.Estimate < maxLogMs &&
		q.VarActual >= 0 && q.VarActual < maxLogMs && q.VarEstimate >= 0 && math.Abs(q.Covariance) < maxLogMs
}

// maxLogMs bounds the logarithm of a run length in ms: a run of a year.
const maxLogMs = 24

// learntRecords returns the statistics record to write with a batch, if it is due.
func (c *Core) learntRecords() []Record {
	since := c.wallMs - c.learntSavedMs
	if !c.learntChanged || since >= 0 && since < statsSaveIntervalMs {
		return nil
	}
	c.learntSavedMs, c.learntChanged = c.wallMs, false
	out := statsRecord{SavedMs: c.wallMs, Queues: map[string]queueStats{}}
	for queue, l := range c.learned {
		out.Queues[queue] = queueStats{Steps: l.steps, Runs: l.runs, Actual: l.actual, Estimate: l.estimate,
			VarActual: l.varActual, VarEstimate: l.varEstimate, Covariance: l.covariance}
	}
	return []Record{{Key: keyLearnt, Value: Encode(out)}}
}

// restoreLearnt restores a predecessor's statistics. A record that is old or malformed is ignored:
// placement and admission work without it.
func (c *Core) restoreLearnt(r Record) {
	var in statsRecord
	if err := cbor.Unmarshal(r.Value, &in); err != nil {
		c.event(Event{Kind: EventRestored, Reason: "ignored a malformed record of run statistics"})
		return
	}
	if c.wallMs-in.SavedMs > statsMaxAge.Milliseconds() {
		return
	}
	for queue, l := range in.Queues {
		if l.isPlausible() {
			c.learned[queue] = &lengths{steps: min(l.Steps, maxRestoredSteps), runs: min(l.Runs, maxRestoredRuns), actual: l.Actual, estimate: l.Estimate,
				varActual: l.VarActual, varEstimate: l.VarEstimate, covariance: l.Covariance}
		}
	}
}
