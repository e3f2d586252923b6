package capacity

import (
	"fmt"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cyclamenwheel/internal/dispatch"
	"cyclamenwheel/internal/slots"
)

// entryCounts are the numbers of entries measured. Deployments have 7 entries today, one for
// seven or eight instances. 11,000 instances at that ratio, divided by the connections that one
// entry can hold, would take 112 entries.
var entryCounts = []int{7, 14, 28, 56}

// measureEntry measures the cost of one round of slot division in an entry, by the number of
// instances and by the number of entries.
func measureEntry(w io.Writer) error {
	byInstances := []row{
		{name: "one round of slot division", unit: "ms"}, {name: "new route table", unit: "ms"},
		{name: "heartbeat's part for slots, idle", unit: "B"}, {name: "the same, all demand at one entry", unit: "B"},
	}
	for _, n := range sizes {
		addEntryPoints(byInstances, n, 7, float64(n))
	}
	if err := writeTable(w, "entry, by instances (7 entries)", byInstances); err != nil {
		return err
	}
	byEntries := []row{
		{name: "one round of slot division", unit: "ms"}, {name: "new route table", unit: "ms"},
		{name: "heartbeat's part for slots, idle", unit: "B"}, {name: "the same, all demand at one entry", unit: "B"},
	}
	for _, e := range entryCounts {
		addEntryPoints(byEntries, 50, e, float64(e))
	}
	return writeTable(w, "entry, by entries (50 instances)", byEntries)
}

func addEntryPoints(rows []row, instances, entries int, x float64) {
	idle := newSharers(instances, entries)
	idleBytes := messageBytes(idle)
	took := timePerCall(func() { runDivisionRound(idle[0], instances) })
	build := timePerCall(func() { routeTable(instances) })
	loaded := newSharers(instances, entries)
	for range 4 { // enough rounds to report demand, lend slots and confirm the loans
		loaded[0].SetDemand("pool-00", instances*8)
		runExchange(loaded, instances)
	}
	for i, y := range []float64{ms(took), ms(build), float64(idleBytes), float64(messageBytes(loaded))} {
		rows[i].points = append(rows[i].points, point{x, y})
	}
}

func ms(d time.Duration) float64 { return d.Seconds() * 1000 }

func newSharers(instances, entries int) []*slots.Sharer {
	names := make([]string, entries)
	for i := range names {
		names[i] = sharerName(i)
	}
	var poolInstances []slots.Instance
	for i := range instances {
		poolInstances = append(poolInstances, slots.Instance{ID: fmt.Sprintf("w-%05d", i), Slots: 8})
	}
	out := make([]*slots.Sharer, entries)
	for i := range out {
		s := slots.NewSharer(names[i])
		s.SetMembers(1, names)
		s.SetAllAcked(1)
		s.SetInstances(map[string][]slots.Instance{"pool-00": poolInstances})
		out[i] = s
	}
	runExchange(out, instances)
	return out
}

func sharerName(i int) string { return fmt.Sprintf("entry-%03d@0123456789abcdef", i) }

func runDivisionRound(s *slots.Sharer, _ int) {
	for id := range s.Publish() {
		s.SetInFlight(id, 0)
	}
}

// runExchange runs one round in every entry and delivers all messages between them.
func runExchange(all []*slots.Sharer, instances int) {
	for _, s := range all {
		runDivisionRound(s, instances)
	}
	for i, from := range all {
		for j, to := range all {
			if i != j {
				to.OnPeer(sharerName(i), from.Outgoing(sharerName(j)))
			}
		}
	}
}

// messageBytes is the encoded size of the share message from the second entry, which lends slots
// if the first has demand, to the first.
func messageBytes(all []*slots.Sharer) int {
	data, err := cbor.Marshal(all[1].Outgoing(sharerName(0)))
	if err != nil {
		return 0
	}
	return len(data)
}

func routeTable(instances int) *dispatch.RouteTable {
	endpoints := make([]dispatch.Endpoint, instances)
	for i := range endpoints {
		endpoints[i] = dispatch.Endpoint{Instance: "w", Slots: 8, Connections: 64, Addr: "10.0.0.1:80"}
	}
	return dispatch.NewRouteTable(1, nil, map[string][]dispatch.Endpoint{"pool-00": endpoints})
}
