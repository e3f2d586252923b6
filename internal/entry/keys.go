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

// Keys joins the idempotency service to the fold: it journals the service's
// records in the log, tells it in log order what was folded and who owns keys,
// and holds acknowledgements back while claims are still to be journalled.
type Keys struct {
	node    *node.Node
	log     platform.Log
	service *idempotency.Service
	state   atomic.Pointer[idempotency.State]

	mu    sync.Mutex
	names map[fleetlog.ID]string // records on their way, by id

	// members are the entries that own keys for certain, pending those to come.
	members, pending []idempotency.Member
	lostAt           uint64 // offset of the newest loss of an entry
}

// NewKeys returns an adapter; the service that uses it as table and journal is
// given with Attach.
func NewKeys(n *node.Node, log platform.Log) *Keys {
	k := &Keys{node: n, log: log, names: make(map[fleetlog.ID]string)}
	k.state.Store(idempotency.NewState())
	return k
}

// Attach sets the service; before the node runs.
func (k *Keys) Attach(s *idempotency.Service) { k.service = s }

// Lookup implements idempotency.Table.
func (k *Keys) Lookup(key idempotency.KeyHash) (idempotency.KeyState, bool) {
	return k.state.Load().Lookup(key)
}

// Uncertain implements idempotency.Table.
func (k *Keys) Uncertain(key idempotency.KeyHash) bool { return k.state.Load().Uncertain(key) }

// Append implements idempotency.Journal: one try under a record id that is
// derived from id, so that a repetition is folded once.
func (k *Keys) Append(ctx context.Context, id, kind string, body any) error {
	rec, err := fleetlog.NewRecord(fleetlog.Kind(kind), k.node.Self().ID, 0, body)
	if err != nil {
		return err
	}
	rec.ID = fleetlog.NamedID(id)
	k.mu.Lock()
	k.names[rec.ID] = id
	k.mu.Unlock()
	data, err := rec.Encode()
	if err != nil {
		return err
	}
	_, err = k.log.Append(ctx, data)
	return err
}

// nameOf returns the name of an own record that was folded, once.
func (k *Keys) nameOf(id fleetlog.ID) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	name := k.names[id]
	delete(k.names, id)
	return name
}

// OnApplied is told of folded records, in order; loop-only. The order matters:
// the service must know of a change of the members before the verdicts that
// follow it.
func (k *Keys) OnApplied(batch []fleetlog.Applied) {
	st := k.node.State()
	replaced := k.state.Swap(st.Keys) != st.Keys
	if n := len(st.Guard.Losses); n > 0 {
		k.lostAt = st.Guard.Losses[n-1].Offset
	}
	if replaced {
		// The state was taken from a peer or a snapshot: the records before it
		// were never told one by one.
		k.change(st.Entries())
		k.service.Resync()
	}
	for _, a := range batch {
		if a.Entries != nil || a.Offset == st.Members.Version {
			k.change(a.Entries)
		}
		k.tell(a)
	}
}

func (k *Keys) tell(a fleetlog.Applied) {
	if a.Keys == nil {
		return
	}
	name := k.nameOf(a.Record.ID)
	if b := a.Keys.Claims; b != nil {
		k.service.OnClaimsFolded(name, *b, a.Verdict, a.Keys.ClaimResults)
	}
	if b := a.Keys.Finishes; b != nil {
		k.service.OnFinishesFolded(name, *b, a.Verdict, a.Keys.FinishResults)
	}
}

// change begins a change of the owners. A key whose owner differs has none
// until all entries have acknowledged the change.
func (k *Keys) change(entries []idempotency.Member) {
	if slices.Equal(entries, k.members) && k.pending == nil {
		return
	}
	if entries == nil {
		entries = []idempotency.Member{}
	}
	k.pending = entries
	k.service.SetView(idempotency.View{Members: k.members, Pending: k.pending})
}

// AllAcked ends a change of the owners; loop-only.
func (k *Keys) AllAcked() {
	if k.pending == nil {
		return
	}
	k.members, k.pending = k.pending, nil
	k.service.SetView(idempotency.View{Members: k.members})
}

// AckLimit implements Claims: while claims held for an entry that was lost are
// not in the log, its loss is not acknowledged, since its successors would
// take the log's word for all claims.
func (k *Keys) AckLimit(offset uint64) uint64 {
	if k.lostAt > 0 && k.service.PendingWitness() > 0 {
		return min(offset, k.lostAt-1)
	}
	return offset
}
