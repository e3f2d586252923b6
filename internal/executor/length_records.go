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
	// keyLengths is the key of the statistics record.
	keyLengths = "l"
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

// queueStats are the run statistics of a queue, as in lengthModel.
type queueStats struct {
	Steps           int     `cbor:"3,keyasint"`
	Runs            int     `cbor:"9,keyasint"`
	MeanLogActual   float64 `cbor:"4,keyasint"`
	MeanLogEstimate float64 `cbor:"5,keyasint"`
	VarLogActual    float64 `cbor:"6,keyasint"`
	VarLogEstimate  float64 `cbor:"7,keyasint"`
	Covariance      float64 `cbor:"8,keyasint"`
}

// isPlausible reports whether the values are in the range of real statistics.
func (q queueStats) isPlausible() bool {
	return q.Steps > 0 && q.Runs > 0 && q.MeanLogActual >= 0 && q.MeanLogActual < maxLogMs && q.MeanLogEstimate >= 0 && q.MeanLogEstimate < maxLogMs &&
		q.VarLogActual >= 0 && q.VarLogActual < maxLogMs && q.VarLogEstimate >= 0 && math.Abs(q.Covariance) < maxLogMs
}

// maxLogMs bounds the logarithm of a run length in ms: a run of a year.
const maxLogMs = 24

// lengthRecords returns the statistics record to write with a batch, if it is due.
func (c *Core) lengthRecords() []Record {
	since := c.wallMs - c.lengthsSavedMs
	if !c.lengthsChanged || since >= 0 && since < statsSaveIntervalMs {
		return nil
	}
	c.lengthsSavedMs, c.lengthsChanged = c.wallMs, false
	out := statsRecord{SavedMs: c.wallMs, Queues: map[string]queueStats{}}
	for queue, l := range c.lengthModels {
		out.Queues[queue] = queueStats{Steps: l.steps, Runs: l.runs, MeanLogActual: l.meanLogActual, MeanLogEstimate: l.meanLogEstimate,
			VarLogActual: l.varLogActual, VarLogEstimate: l.varLogEstimate, Covariance: l.covariance}
	}
	return []Record{{Key: keyLengths, Value: Encode(out)}}
}

// restoreLengths restores a predecessor's statistics. A record that is old or malformed is ignored:
// placement and admission work without it.
func (c *Core) restoreLengths(r Record) {
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
			c.lengthModels[queue] = &lengthModel{steps: min(l.Steps, maxRestoredSteps), runs: min(l.Runs, maxRestoredRuns), meanLogActual: l.MeanLogActual, meanLogEstimate: l.MeanLogEstimate,
				varLogActual: l.VarLogActual, varLogEstimate: l.VarLogEstimate, covariance: l.Covariance}
		}
	}
}
