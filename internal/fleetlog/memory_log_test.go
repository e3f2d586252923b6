package fleetlog_test

import (
	"encoding/json"
	"fmt"

	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/fold"
	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/planlease"
	"cyclamenwheel/internal/platform"
	"cyclamenwheel/internal/pools"
)

// memoryLog is an in-memory log together with the state folded from it.
type memoryLog struct {
	records []platform.LogRecord
	state   *fleetlog.State
}

func newMemoryLog() *memoryLog { return &memoryLog{state: fleetlog.NewState()} }

// write appends a record and returns the verdict on it.
func (t *memoryLog) write(author string, epoch uint64, kind fleetlog.Kind, body any) fold.Verdict {
	rec, err := fleetlog.NewRecord(kind, author, epoch, body)
	Expect(err).NotTo(HaveOccurred())
	return t.append(rec)
}

func (t *memoryLog) append(rec fleetlog.Record) fold.Verdict {
	data, err := rec.Encode()
	Expect(err).NotTo(HaveOccurred())
	entry := platform.LogRecord{Offset: uint64(len(t.records) + 1), TimeMillis: int64(1000 + len(t.records)), Data: data}
	t.records = append(t.records, entry)
	return t.state.Apply(entry).Verdict
}

// claimLease claims the planner lease for holder and returns its epoch.
func (t *memoryLog) claimLease(holder string) uint64 {
	v := t.write(holder, 0, fleetlog.KindLeaseClaim,
		planlease.Claim{Follows: t.state.Lease.Epoch, Renewed: t.state.Lease.Renewed, Holder: holder, BootID: "b1"})
	Expect(v.Accepted).To(BeTrue())
	return t.state.Lease.Epoch
}

// publish publishes a manifest; pools maps names to count and budget.
func (t *memoryLog) publish(basedOn uint64, pools map[string][2]int) fold.Verdict {
	return t.write("operator", 0, fleetlog.KindPublish,
		manifest.Publish{BasedOn: basedOn, Raw: manifestOf(pools), Operator: "operator"})
}

func manifestOf(want map[string][2]int) []byte {
	m := manifest.Manifest{Version: manifest.Version, Deployment: "test", Buffer: manifest.Buffer{Survive: manifest.DomainRack}}
	for name, n := range want {
		m.Pools = append(m.Pools, manifest.Pool{Name: name, Instances: manifest.Selection{Count: n[0]}})
		m.Services = append(m.Services, manifest.Service{
			Name: name, Pool: name, MinAvailable: n[1],
			Classes: []manifest.Class{{Name: "all", DeadlineMillis: 1000}},
		})
	}
	raw, err := json.Marshal(m)
	Expect(err).NotTo(HaveOccurred())
	return raw
}

// addInstances records n instances in pool.
func (t *memoryLog) addInstances(epoch uint64, pool string, n int) {
	var facts []pools.Fact
	for i := range n {
		facts = append(facts, pools.Fact{ID: fmt.Sprintf("%s-%d", pool, i), BootID: "b1", Pool: pool, Zone: "z", Rack: "r"})
	}
	Expect(t.write("p1", epoch, fleetlog.KindSeen, pools.Seen{Facts: facts}).Accepted).To(BeTrue())
}

func begin(instance, from, to string) pools.Begin {
	return pools.Begin{Items: []pools.BeginItem{{
		Instance: instance, From: from, To: to, Operation: "op-" + instance, Revision: 1, Why: "test",
	}}}
}

func commit(instance string) pools.Commit {
	return pools.Commit{Items: []pools.CommitItem{{
		Instance: instance, Operation: "op-" + instance, BootID: "b2", Addr: "127.0.0.1:1",
	}}}
}
