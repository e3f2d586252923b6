package entry

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/idempotency"
	"cyclamenwheel/internal/node"
	"cyclamenwheel/internal/platform"
)

// Keys connects the idempotency service to the log. It appends the service's
// records, reports applied records and changes of key ownership to the service
// in log order, and delays acknowledgements while claims held for a lost entry
// are not yet in the log.
type Keys struct {
	node    *node.Node
	log     platform.Log
	service *idempotency.Service
	state   atomic.Pointer[idempotency.State]

	mu          sync.Mutex
	recordNames map[fleetlog.ID]string // names of records not yet applied, by id

	// members are the entries that own keys; pending are those that will own
	// them after all entries have acknowledged a change, nil if there is none.
	members, pending []idempotency.Member
	lastLossOffset   uint64 // offset of the newest loss of an entry
}

// NewKeys returns an adapter. The service that uses it as table and journal must
// be set with Attach.
func NewKeys(n *node.Node, log platform.Log) *Keys {
	k := &Keys{node: n, log: log, recordNames: make(map[fleetlog.ID]string)}
	k.state.Store(idempotency.NewState())
	return k
}

// Attach sets the service. It must be called before the node runs.
func (k *Keys) Attach(s *idempotency.Service) { k.service = s }

// Lookup implements idempotency.Table.
func (k *Keys) Lookup(key idempotency.KeyHash) (idempotency.KeyState, bool) {
	return k.state.Load().Lookup(key)
}

// Uncertain implements idempotency.Table.
func (k *Keys) Uncertain(key idempotency.KeyHash) bool { return k.state.Load().Uncertain(key) }

// Append implements idempotency.Journal. It makes one attempt, with a record id
// derived from id, so that repeated appends are applied once.
func (k *Keys) Append(ctx context.Context, id, kind string, body any) error {
	rec, err := fleetlog.NewRecord(fleetlog.Kind(kind), k.node.Self().ID, 0, body)
	if err != nil {
		return err
	}
	rec.ID = fleetlog.IDFromName(id)
	k.mu.Lock()
	k.recordNames[rec.ID] = id
	k.mu.Unlock()
	data, err := rec.Encode()
	if err != nil {
		return err
	}
	_, err = k.log.Append(ctx, data)
	return err
}

// takeRecordName removes and returns the name of a record that this process
// appended.
func (k *Keys) takeRecordName(id fleetlog.ID) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	name := k.recordNames[id]
	delete(k.recordNames, id)
	return name
}

// OnApplied implements Claims. It is called in the control goroutine. The service
// must receive a change of the members before the verdicts that follow it.
func (k *Keys) OnApplied(batch []fleetlog.Applied) {
	st := k.node.State()
	replaced := k.state.Swap(st.Keys) != st.Keys
	if n := len(st.Guard.Losses); n > 0 {
		k.lastLossOffset = st.Guard.Losses[n-1].Offset
	}
	if replaced {
		// The state was installed from a peer or a snapshot, so the records
		// before it were not reported individually.
		k.beginOwnerChange(st.Entries())
		k.service.Resync()
	}
	for _, a := range batch {
		if a.Entries != nil || a.Offset == st.Members.Version {
			k.beginOwnerChange(a.Entries)
		}
		k.reportVerdicts(a)
	}
}

func (k *Keys) reportVerdicts(a fleetlog.Applied) {
	if a.Keys == nil {
		return
	}
	name := k.takeRecordName(a.Record.ID)
	if b := a.Keys.Claims; b != nil {
		k.service.OnClaimsFolded(name, *b, a.Verdict, a.Keys.ClaimResults)
	}
	if b := a.Keys.Finishes; b != nil {
		k.service.OnFinishesFolded(name, *b, a.Verdict, a.Keys.FinishResults)
	}
}

// beginOwnerChange begins a change of the key owners. A key whose owner changes
// has no owner until all entries have acknowledged the change.
func (k *Keys) beginOwnerChange(entries []idempotency.Member) {
	if slices.Equal(entries, k.members) && k.pending == nil {
		return
	}
	if entries == nil {
		entries = []idempotency.Member{}
	}
	k.pending = entries
	k.service.SetView(idempotency.View{Members: k.members, Pending: k.pending})
}

// AllAcked implements Claims: it completes a change of the key owners. It is
// called in the control goroutine.
func (k *Keys) AllAcked() {
	if k.pending == nil {
		return
	}
	k.members, k.pending = k.pending, nil
	k.service.SetView(idempotency.View{Members: k.members})
}

// AckLimit implements Claims. The loss of an entry is not acknowledged while
// claims held for it are not in the log, since the new owners of its keys rely
// on the log to contain all claims.
func (k *Keys) AckLimit(offset uint64) uint64 {
	if k.lastLossOffset > 0 && k.service.PendingWitness() > 0 {
		return min(offset, k.lastLossOffset-1)
	}
	return offset
}
