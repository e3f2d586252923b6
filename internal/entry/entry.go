// Package entry is the control side of cyclamen-entry: it turns the fold, the
// instance list and the shares of slots into the route table that traffic
// reads, and tells peers what it has let go of.
package entry

import (
	"bytes"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cyclamenwheel/internal/dispatch"
	"cyclamenwheel/internal/fleetlog"
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
	// InFlightAll is InFlight of every instance that has any.
	InFlightAll() map[string]int
	// Demand is the most requests in flight or waiting for a pool at a time
	// since the last call.
	Demand(pool string) int
	// Active counts callers' requests under way.
	Active() int
	// RoutesChanged has waiting requests look at the newest table.
	RoutesChanged()
}

// Claims is what the control side needs of the idempotency keys.
type Claims interface {
	// OnApplied is told of every folded record, in order.
	OnApplied(batch []fleetlog.Applied)
	// AllAcked is told that all entries have acknowledged the newest members.
	AllAcked()
	// AckLimit bounds what may be acknowledged of the offsets up to offset.
	AckLimit(offset uint64) uint64
}

// encMode sorts maps, so that the receiver can tell by the bytes whether
// anything is new.
var encMode = mustEncMode()

func mustEncMode() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constants of the library
	}
	return m
}

// Entry implements node.Hooks.
type Entry struct {
	node    *node.Node
	traffic Traffic
	claims  Claims
	sharer  *slots.Sharer
	log     *slog.Logger
	table   atomic.Pointer[dispatch.RouteTable]

	limits    map[string]int // requests that may be in flight, by instance
	lastRound time.Duration
	// byPool are the serving instances as of the last round.
	byPool map[string][]*pools.Instance
	// shares holds each entry's last word on slots, as it came.
	shares map[string][]byte
	// settled: the last round found no demand and changed nothing, and nothing
	// has come in since that could make the next one differ.
	settled bool

	wasMember   bool
	members     uint64 // membership version given to the sharer
	ackedByAll  uint64
	poolVersion uint64
	generation  uint64
	dirty       bool
	leaving     []string // instances that get no new work
	busy        []string // those of them with requests in flight from here
	ready       func() []string
}

// New returns the control side of the entry that node runs.
func New(n *node.Node, log *slog.Logger) *Entry {
	return &Entry{
		node: n, log: log, sharer: slots.NewSharer(sharerName(n.Self())),
		shares: make(map[string][]byte),
	}
}

// sharerName is unique to a start of an entry: a restarted one does not know
// what its predecessor had lent.
func sharerName(m membership.Member) string { return m.ID + "@" + m.BootID }

// roundEvery is how often slots are divided anew while nothing changes. A
// burst that one entry meets reaches the slots of the others within this and
// one heartbeat; more often costs processor time in every entry.
const roundEvery = 100 * time.Millisecond

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
		e.sharer.SetMembers(e.members, names(entries))
		e.dirty = true
	}
	if st.Pools.Version != e.poolVersion || st.Manifest.Generation != e.generation {
		e.poolVersion, e.generation = st.Pools.Version, st.Manifest.Generation
		e.dirty = true
	}
	if e.dirty {
		e.round()
	}
}

func names(members []membership.Member) []string {
	out := make([]string, len(members))
	for i, m := range members {
		out[i] = sharerName(m)
	}
	return out
}

// ListChanged implements node.Hooks: an instance listed as leaving gets no new
// work, whether or not the planner has recorded it yet.
func (e *Entry) ListChanged() {
	e.dirty = true
	e.round()
}

// Tick implements node.Hooks.
func (e *Entry) Tick() {
	e.noteAcks()
	e.noteBusy()
	if e.dirty || e.node.Now()-e.lastRound >= roundEvery && !e.atRest() {
		e.round()
	}
}

// atRest reports whether a round would find what the last one found. With
// 4,000 instances, rounds for nothing took a third of a core of each entry.
func (e *Entry) atRest() bool { return e.settled && e.traffic.Active() == 0 }

// noteBusy finds the leaving instances that still have requests in flight from
// here. A handover waits for the last of them, so the others hear soon when
// one has ended.
func (e *Entry) noteBusy() {
	if len(e.leaving) == 0 && len(e.busy) == 0 {
		return
	}
	var busy []string
	inFlight := e.traffic.InFlightAll()
	for _, id := range e.leaving {
		if inFlight[id] > 0 {
			busy = append(busy, id)
		}
	}
	if len(busy) < len(e.busy) {
		e.node.RequestHeartbeat()
	}
	e.busy = busy
}

// noteAcks tells the sharer once all entries have acted on the present
// members: only then may static shares grow.
func (e *Entry) noteAcks() {
	if e.ackedByAll == e.members || e.members == 0 {
		return
	}
	st, heard := e.node.State(), e.node.PeerReports()
	for _, m := range st.Members.WithRole(membership.RoleEntry) {
		if m.ID == e.node.Self().ID {
			continue
		}
		h := heard[m.ID]
		if h == nil || h.Identity.BootID != m.BootID || h.Heartbeat.Acked < e.members {
			return
		}
	}
	e.ackedByAll = e.members
	e.sharer.SetAllAcked(e.members)
	e.claims.AllAcked()
	e.dirty = true
}

// Beat implements node.Hooks.
func (e *Entry) Beat(to string, hb *node.Heartbeat) {
	hb.Ready = len(e.ready()) == 0
	hb.Busy = e.busy
	if !e.isEntry(to) {
		return
	}
	name := sharerName(e.node.State().Members.Members[to])
	if raw, err := encMode.Marshal(e.sharer.Outgoing(name)); err == nil {
		hb.Shares = raw
	}
}

func (e *Entry) isEntry(id string) bool {
	return e.node.State().Members.Members[id].Role == membership.RoleEntry
}

// Heard implements node.Hooks.
func (e *Entry) Heard(from peer.Identity, hb node.Heartbeat) {
	if len(hb.Shares) == 0 || !e.isEntry(from.ID) || bytes.Equal(hb.Shares, e.shares[from.ID]) {
		return
	}
	e.shares[from.ID], e.settled = hb.Shares, false
	var share slots.PeerShare
	if err := cbor.Unmarshal(hb.Shares, &share); err != nil {
		e.log.Warn("shares not understood", "peer", from.ID, "error", err.Error())
		return
	}
	e.sharer.OnPeer(from.ID+"@"+from.BootID, share)
}

// MayJoin implements node.Hooks. An entry that was taken off the members while
// it was away has requests that no handover waits for any more; it joins again
// only once they have ended.
func (e *Entry) MayJoin() bool { return !e.wasMember || e.traffic.Active() == 0 }

// AckLimit implements node.Hooks. A change of the members is acknowledged only
// once the use of slots has shrunk to what the new members allow, since the
// others grow into the rest as soon as all have acknowledged.
func (e *Entry) AckLimit() uint64 {
	limit := e.claims.AckLimit(e.node.State().Offset)
	if e.members != e.ackedByAll && e.node.Joined() && !e.sharer.Settled() {
		limit = min(limit, e.members-1)
	}
	return limit
}
