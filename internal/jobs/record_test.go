package jobs

import (
	"math"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// Guards against an accepted job that the store cannot keep: its owner would repeat the refused append for
// ever, and no other job of the pool would be accepted.
func TestAJobThatPassesTheCheckFitsARecord(t *testing.T) {
	const storeLimit = 256 << 10
	step := Step{Count: 1, CPUMilli: math.MaxInt64, MemoryMB: math.MaxInt64, GPUs: math.MaxInt64, EstimateMs: math.MaxInt64, Checkpoints: true,
		Gang: true, SameRack: true, Requires: strings.Repeat("r", 24), DataRack: strings.Repeat("d", 24), MaxPerEndpoint: math.MaxInt64, Speculative: true,
		LongRunning: true, TargetMs: math.MaxInt64, Fills: true, MayMiss: math.MaxInt64}
	j := Job{ID: "5c0e7a21d94b36f8", Spec: strings.Repeat("s", MaxSpecBytes), Occurrences: MaxOccurrences, StartAtMs: math.MaxInt64, IntervalMs: math.MaxInt64}
	for i := range MaxSteps {
		s := step
		for a := range i {
			s.After = append(s.After, a)
		}
		s.Image = strings.Repeat("i", 300)
		j.Steps = append(j.Steps, s)
	}
	for j.Check() == nil {
		j.Steps[0].Image += strings.Repeat("i", 500)
		data, err := cbor.Marshal(j)
		if err != nil {
			t.Fatal(err)
		}
		if len(data) > j.RecordBytes() || j.Check() == nil && len(data) > storeLimit {
			t.Fatalf("%d bytes, thought to be %d", len(data), j.RecordBytes())
		}
	}
	if len(j.Steps[0].Image) < 1000 {
		t.Fatal("the job was too large from the start")
	}
}
