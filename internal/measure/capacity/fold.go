package capacity

import (
	"encoding/json"
	"fmt"
	"io"

	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/membership"
	"cyclamenwheel/internal/planlease"
	"cyclamenwheel/internal/platform"
	"cyclamenwheel/internal/pools"
)

const (
	maxPools           = 33  // at the target size
	maxTeams           = 330 // at the target size
	minServingFraction = 0.7 // fraction of a pool that must serve
)

// fleetState is the fleet log state of a generated fleet, with what is needed to append records.
// Small fleets have fewer pools: one per ten instances, up to maxPools.
type fleetState struct {
	state    *fleetlog.State
	offset   uint64
	epoch    uint64
	manifest *manifest.Manifest
	ids      []string
}

func newFleetState(n, entries int) *fleetState {
	f := &fleetState{state: fleetlog.NewState(), manifest: manifestFor(n)}
	f.apply(fleetlog.KindLeaseClaim, planlease.Claim{Holder: "planner", BootID: "b"})
	f.epoch = f.state.Lease.Epoch
	raw, _ := json.Marshal(f.manifest)
	f.apply(fleetlog.KindPublish, manifest.Publish{Raw: raw, Operator: "measure"})
	for i := range entries {
		id := fmt.Sprintf("entry-%03d", i)
		f.applyBy(id, fleetlog.KindJoin, membership.Join{Member: membership.Member{
			ID: id, Role: membership.RoleEntry, BootID: "0123456789abcdef", Zone: "zone-a",
			PeerAddr: "10.0.0.1:7101", OperatorAddr: "10.0.0.1:7102", CallerAddr: "10.0.0.1:7100",
		}})
	}
	for start := 0; start < n; start += 1000 {
		f.apply(fleetlog.KindSeen, pools.Seen{Facts: f.facts(start, min(n, start+1000))})
	}
	return f
}

func manifestFor(n int) *manifest.Manifest {
	count := max(1, min(maxPools, n/10))
	m := &manifest.Manifest{Version: manifest.Version, Deployment: "measure", Buffer: manifest.Buffer{Survive: manifest.DomainRack}}
	for i := range count {
		size := n * 9 / 10 / count
		name := fmt.Sprintf("pool-%02d", i)
		m.Pools = append(m.Pools, manifest.Pool{Name: name, Instances: manifest.Selection{Count: size}})
		m.Services = append(m.Services, manifest.Service{
			Name: name, Pool: name, MinAvailable: max(1, int(float64(size)*minServingFraction)),
			Classes: []manifest.Class{{Name: "all", DeadlineMillis: 2000}},
		})
	}
	for i := range min(maxTeams, n) {
		m.Teams = append(m.Teams, manifest.Team{Name: fmt.Sprintf("team-%03d", i), Cores: 100, MemoryMB: 100000})
	}
	return m
}

func (f *fleetState) facts(from, to int) []pools.Fact {
	facts := make([]pools.Fact, 0, to-from)
	for i := from; i < to; i++ {
		id := fmt.Sprintf("w-%05d", i)
		f.ids = append(f.ids, id)
		facts = append(facts, pools.Fact{
			ID: id, BootID: "0123456789abcdef", Zone: fmt.Sprintf("zone-%d", i%5), Rack: fmt.Sprintf("rack-%04d", i/4),
			Addr: "10.0.0.1:8080", Cores: 16, MemoryMB: 65536, Slots: 8, Connections: 64,
			Pool: f.manifest.Pools[i%len(f.manifest.Pools)].Name,
		})
	}
	return facts
}

func (f *fleetState) apply(kind fleetlog.Kind, body any) { f.applyBy("planner", kind, body) }

func (f *fleetState) applyBy(author string, kind fleetlog.Kind, body any) {
	f.state.Apply(f.nextRecord(author, kind, body))
}

func (f *fleetState) nextRecord(author string, kind fleetlog.Kind, body any) platform.LogRecord {
	rec, err := fleetlog.NewRecord(kind, author, f.epoch, body)
	if err != nil {
		panic(err) // all bodies are built in this file, so encoding cannot fail
	}
	data, err := rec.Encode()
	if err != nil {
		panic(err)
	}
	f.offset++
	return platform.LogRecord{Offset: f.offset, TimeMillis: int64(f.offset), Data: data}
}

// applyDrain applies the two records of a drain, its begin and its end, and returns their size.
func (f *fleetState) applyDrain(i int) (bytes int) {
	in := f.state.Pools.Instances[f.ids[i%len(f.ids)]]
	op := fleetlog.NewID().String()
	begin := f.nextRecord("planner", fleetlog.KindBegin, pools.Begin{Items: []pools.BeginItem{{
		Instance: in.ID, From: in.Pool, To: in.Pool, Operation: op, Revision: 1, Why: "maintenance: measure",
	}}})
	f.state.Apply(begin)
	end := f.nextRecord("planner", fleetlog.KindCommit, pools.Commit{Items: []pools.CommitItem{{
		Instance: in.ID, Operation: op, BootID: "0123456789abcdef", Addr: in.Addr,
	}}})
	f.state.Apply(end)
	return len(begin.Data) + len(end.Data)
}

func measureFold(w io.Writer) error {
	rows := []row{
		{name: "fold of one record", unit: "µs"}, {name: "bytes of a drain's two records", unit: "B"},
		{name: "state in memory", unit: "KB"}, {name: "encoded state", unit: "KB"},
		{name: "encode state", unit: "ms"}, {name: "decode state", unit: "ms"},
	}
	for _, n := range sizes {
		f := newFleetState(n, 7)
		i, bytes := 0, 0
		took := timePerCall(func() { bytes = f.applyDrain(i); i++ })
		encoded, err := f.state.Encode()
		if err != nil {
			return err
		}
		heap := heapGrowth(func() any { return newFleetState(n, 7) })
		enc := timePerCall(func() { _, _ = f.state.Encode() })
		dec := timePerCall(func() { _, _ = fleetlog.DecodeState(encoded) })
		for k, y := range []float64{
			float64(took.Nanoseconds()) / 2000, float64(bytes), heap / 1024,
			float64(len(encoded)) / 1024, enc.Seconds() * 1000, dec.Seconds() * 1000,
		} {
			rows[k].points = append(rows[k].points, point{float64(n), y})
		}
	}
	return writeTable(w, "fold, by instances", rows)
}
