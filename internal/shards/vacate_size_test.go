package shards

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/fleetops"
)

const longEndpointName = "endpoint-with-a-name-of-forty-chars-%04d"

// Guards against answers of a large pool's owner that exceed the size limit of a call: the holder
// of the duty over instances would get no report, and no instance would move.
func TestLargestVacateCallAndAnswerFit(t *testing.T) {
	g := NewWithT(t)
	in := VacateCall{Pool: "p", Loads: fleetops.MaxLoads}
	out := VacateResult{Owned: true, Left: map[string]int{}, Started: map[string]int64{}}
	for n := range max(fleetops.MaxItemsPerCall, fleetops.MaxDuePerCall, fleetops.MaxLoads) {
		id := fmt.Sprintf(longEndpointName, n)
		in.Items = append(in.Items, VacateItem{Endpoint: id, StopTasks: true, Ended: true, StartedMs: 1 << 42})
		in.Due = append(in.Due, id)
		out.Left[id], out.Started[id] = 1<<16, 1<<42
		load := executor.EndpointLoad{Endpoint: id, UsedMilli: 1 << 20, Tasks: 1 << 16, HasLongRunning: true}
		out.Summary.EndpointLoads = append(out.Summary.EndpointLoads, load, load)
	}
	for _, message := range []any{in, out} {
		data, err := cbor.Marshal(message)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(len(data)).To(BeNumerically("<", maxVacateMessage))
	}
}
