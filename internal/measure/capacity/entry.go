package capacity

import (
	"fmt"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cyclamenwheel/internal/dispatch"
	"cyclamenwheel/internal/slots"
)

// entryCounts are numbers of entries; 7 is today's, 112 what 11,000 instances
// would take at today's ratio of one entry to seven or eight instances, divided
// by the connections that one entry can hold.
var entryCounts = []int{7, 14, 28, 56}

// entryCosts measures what an entry does for each round of slot division, by
// instances and by entries.
func entryCosts(w io.Writer) error {
	byInstances := []row{
		{name: "one round of slot division", unit: "ms"}, {name: "new route table", unit: "ms"},
		{name: "heartbeat's part for slots, idle", unit: "B"}, {name: "the same, all demand at one entry", unit: "B"},
	}
	for _, n := range sizes {
		addEntryPoints(byInstances, n, 7, float64(n))
	}
	if err := table(w, "entry, by instances (7 entries)", byInstances); err != nil {
		return err
	}
	byEntries := []row{
		{name: "one round of slot division", unit: "ms"}, {name: "new route table", unit: "ms"},
		{name: "heartbeat's part for slots, idle", unit: "B"}, {name: "the same, all demand at one entry", unit: "B"},
	}
	for _, e := range entryCounts {
		addEntryPoints(byEntries, 50, e, float64(e))
	}
	return table(w, "entry, by entries (50 instances)", byEntries)
}

func addEntryPoints(rows []row, instances, entries int, x float64) {
	idle := sharers(instances, entries)
	idleBytes := shareBytes(idle)
	took := each(func() { round(idle[0], instances) })
	build := each(func() { routeTable(instances) })
	busy := sharers(instances, entries)
	for range 4 { // demand, loans, and their confirmation
		busy[0].SetDemand("pool-00", instances*8)
		exchange(busy, instances)
	}
	for i, y := range []float64{ms(took), ms(build), float64(idleBytes), float64(shareBytes(busy))} {
		rows[i].points = append(rows[i].points, point{x, y})
	}
}

func ms(d time.Duration) float64 { return d.Seconds() * 1000 }

func sharers(instances, entries int) []*slots.Sharer {
	names := make([]string, entries)
	for i := range names {
		names[i] = sharerName(i)
	}
	var set []slots.Instance
	for i := range instances {
		set = append(set, slots.Instance{ID: fmt.Sprintf("w-%05d", i), Slots: 8})
	}
	out := make([]*slots.Sharer, entries)
	for i := range out {
		s := slots.NewSharer(names[i])
		s.SetMembers(1, names)
		s.SetAllAcked(1)
		s.SetInstances(map[string][]slots.Instance{"pool-00": set})
		out[i] = s
	}
	exchange(out, instances)
	return out
}

func sharerName(i int) string { return fmt.Sprintf("entry-%03d@0123456789abcdef", i) }

func round(s *slots.Sharer, _ int) {
	for id := range s.Publish() {
		s.SetInFlight(id, 0)
	}
}

// exchange runs one round in every entry and delivers every message.
func exchange(all []*slots.Sharer, instances int) {
	for _, s := range all {
		round(s, instances)
	}
	for i, from := range all {
		for j, to := range all {
			if i != j {
				to.OnPeer(sharerName(i), from.Outgoing(sharerName(j)))
			}
		}
	}
}

// shareBytes is the size of the message from an entry that lends.
func shareBytes(all []*slots.Sharer) int {
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
