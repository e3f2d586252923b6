// Package entry is the control side of cyclamen-entry: it turns the fold, the
// instance list and the shares of slots into the route table that traffic
// reads, and tells peers what it has let go of.
package entry

import (
	"log/slog"
	"maps"
	"slices"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"

	"cyclamenwheel/internal/dispatch"
	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/membership"
	"cyclamenwheel/internal/node"
	"cyclamenwheel/internal/peer"
	"cyclamenwheel/internal/pools"
	"cyclamenwheel/internal/slots"
)

// Traffic is what the control side needs of the traffic path.
type Traffic interface {
	// InFlight counts this entry's requests in flight to an instance. Once it
	// has returned, every later pick uses the newest route table.
	InFlight(instance string) int
	// Demand is the most requests in flight or waiting for a pool at a time
	// since the last call.
	Demand(pool string) int
	// Total counts all requests in flight.
	Total() int
	// Wake has waiting requests look at the newest table.
	Wake()
}

// Claims is what the control side needs of the idempotency service.
type Claims interface {
	// OnApplied is told of every folded record.
	OnApplied(batch []fleetlog.Applied)
	// OnMembers is told of a change of the entries.
	OnMembers(version uint64, members []membership.Member)
	// AckLimit bounds what may be acknowledged.
	AckLimit(offset uint64) uint64
}

// Entry implements node.Hooks.
type Entry struct {
	node    *node.Node
	traffic Traffic
	claims  Claims
	sharer  *slots.Sharer
	log     *slog.Logger
	table   atomic.Pointer[dispatch.RouteTable]

	wasMember   bool
	members     uint64 // membership version given to the sharer
	ackedByAll  uint64
	poolVersion uint64
	generation  uint64
	dirty       bool
	leaving     []string // instances out of work that may still be busy
	ready       func() []string
}

// New returns the control side of the entry that node runs.
func New(n *node.Node, log *slog.Logger) *Entry {
	return &Entry{node: n, log: log, sharer: slots.NewSharer(n.Self().ID)}
}

// Attach joins the traffic path; before Run.
func (e *Entry) Attach(t Traffic, c Claims, ready func() []string) {
	e.traffic, e.claims, e.ready = t, c, ready
}

// Routes returns the table in force, nil while there is none. Any goroutine
// may call it.
func (e *Entry) Routes() *dispatch.RouteTable { return e.table.Load() }

// Applied implements node.Hooks. The new table is in place when it returns, so
// that the offset acknowledged afterwards is true.
func (e *Entry) Applied(batch []fleetlog.Applied) {
	st := e.node.State()
	e.claims.OnApplied(batch)
	if st.Members.Version != e.members {
		e.members = st.Members.Version
		entries := st.Members.WithRole(membership.RoleEntry)
		e.sharer.SetMembers(e.members, ids(entries))
		e.claims.OnMembers(e.members, entries)
		e.dirty = true
	}
	if st.Pools.Version != e.poolVersion || st.Manifest.Generation != e.generation {
		e.poolVersion, e.generation = st.Pools.Version, st.Manifest.Generation
		e.dirty = true
	}
	e.rebuildIfDirty()
}

func ids(members []membership.Member) []string {
	out := make([]string, len(members))
	for i, m := range members {
		out[i] = m.ID
	}
	return out
}

// ListChanged implements node.Hooks: an instance listed as leaving gets no new
// work, whether or not the planner has recorded it yet.
func (e *Entry) ListChanged() { e.dirty = true }

// Tick implements node.Hooks.
func (e *Entry) Tick() {
	e.noteAcks()
	if m := e.node.State().Manifest.Current(); m != nil {
		for i := range m.Pools {
			name := m.Pools[i].Name
			e.sharer.SetDemand(name, e.traffic.Demand(name))
		}
	}
	e.rebuildIfDirty()
}

// noteAcks tells the sharer once all entries have acted on the present
// members: only then may static shares grow.
func (e *Entry) noteAcks() {
	if e.ackedByAll == e.members || e.members == 0 {
		return
	}
	st, heard := e.node.State(), e.node.Heard()
	for _, m := range st.Members.WithRole(membership.RoleEntry) {
		if m.ID == e.node.Self().ID {
			continue
		}
		h := heard[m.ID]
		if h == nil || h.Identity.BootID != m.BootID || h.Beat.Acked < e.members {
			return
		}
	}
	e.ackedByAll = e.members
	e.sharer.SetAllAcked(e.members)
	e.dirty = true
}

// Beat implements node.Hooks.
func (e *Entry) Beat(to string, hb *node.Heartbeat) {
	hb.Ready = len(e.ready()) == 0
	for _, id := range e.leaving {
		if e.traffic.InFlight(id) > 0 {
			hb.Busy = append(hb.Busy, id)
		}
	}
	if !e.isEntry(to) {
		return
	}
	if raw, err := cbor.Marshal(e.sharer.Outgoing(to)); err == nil {
		hb.Shares = raw
	}
}

func (e *Entry) isEntry(id string) bool {
	return e.node.State().Members.Members[id].Role == membership.RoleEntry
}

// Heard implements node.Hooks.
func (e *Entry) Heard(from peer.Identity, hb node.Heartbeat) {
	if len(hb.Shares) == 0 || !e.isEntry(from.ID) {
		return
	}
	var share slots.PeerShare
	if err := cbor.Unmarshal(hb.Shares, &share); err != nil {
		e.log.Warn("shares not understood", "peer", from.ID, "error", err.Error())
		return
	}
	e.sharer.OnPeer(from.ID, share)
	e.dirty = true
}

// MayJoin implements node.Hooks. An entry that was taken off the members while
// it was away has requests that no handover waits for any more; it joins again
// only once they have ended.
func (e *Entry) MayJoin() bool { return !e.wasMember || e.traffic.Total() == 0 }

// AckLimit implements node.Hooks.
func (e *Entry) AckLimit() uint64 { return e.claims.AckLimit(e.node.State().Offset) }

func (e *Entry) rebuildIfDirty() {
	if !e.dirty {
		return
	}
	e.dirty = false
	if !e.node.Joined() {
		// Handovers do not wait for a process that is no member, so it must
		// not send anything.
		if e.wasMember {
			e.log.Warn("no longer a member: taking no work", "offset", e.node.State().Offset)
		}
		e.table.Store(nil)
		return
	}
	e.wasMember = true
	e.publishTable()
	e.traffic.Wake()
}

func (e *Entry) publishTable() {
	st := e.node.State()
	man := st.Manifest.Current()
	if man == nil {
		return
	}
	byPool := make(map[string][]*pools.Instance)
	e.leaving = e.leaving[:0]
	for _, id := range slices.Sorted(maps.Keys(st.Pools.Instances)) {
		in := st.Pools.Instances[id]
		if in.Phase == pools.PhaseServing {
			if in.Pool != "" {
				byPool[in.Pool] = append(byPool[in.Pool], in)
			}
			continue
		}
		e.leaving = append(e.leaving, id)
	}
	e.shareSlots(byPool)
	endpoints := make(map[string][]dispatch.Endpoint, len(byPool))
	for pool, instances := range byPool {
		for _, in := range instances {
			if e.node.Live(in.ID) {
				endpoints[pool] = append(endpoints[pool], e.endpoint(in))
			}
		}
	}
	e.table.Store(dispatch.NewRouteTable(st.Manifest.Generation, man.Services, endpoints))
}

func (e *Entry) shareSlots(byPool map[string][]*pools.Instance) {
	sets := make(map[string][]slots.Instance, len(byPool))
	for pool, instances := range byPool {
		for _, in := range instances {
			sets[pool] = append(sets[pool], slots.Instance{ID: in.ID, Slots: in.Slots})
		}
	}
	e.sharer.SetInstances(sets)
}

func (e *Entry) endpoint(in *pools.Instance) dispatch.Endpoint {
	ep := dispatch.Endpoint{
		Instance: in.ID, BootID: in.BootID, Addr: in.Addr, Zone: in.Zone,
		Slots: e.sharer.Allowed(in.ID), Connections: e.connections(in),
	}
	// After a restart that the planner has not recorded yet, the list knows
	// the new boot. It counts only where the platform has the instance in the
	// same pool, so that a move in progress is never taken for done.
	if row := e.node.Listed(in.ID); row != nil && row.Pool == in.Pool && e.node.List().Version > e.node.State().Pools.List {
		ep.BootID, ep.Addr = row.BootID, row.Addr
	}
	return ep
}

// connections divides an endpoint's connections evenly: a connection is only
// of use with a slot, and there are eight times as many connections as slots.
func (e *Entry) connections(in *pools.Instance) int {
	entries := len(e.node.State().Members.WithRole(membership.RoleEntry))
	return max(1, in.Connections/max(1, entries))
}
