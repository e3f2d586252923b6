// Package entry is the control side of cyclamen-entry: it decides which
// endpoints its traffic path may use, and with how many slots each. Its input is
// the folded state, the instance list, and the slot shares that other entries
// send in heartbeats; its output is the route table, its own shares, and the
// offset that it acknowledges. Package daemon creates an Entry, whose hooks the
// node calls in its control goroutine.
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

// Traffic is the part of the traffic path that the control side uses.
type Traffic interface {
	// InFlight counts this entry's requests in flight to an instance. After it
	// returns, endpoints are chosen from the newest route table only.
	InFlight(instance string) int
	// InFlightAll returns InFlight for each instance with requests in flight.
	InFlightAll() map[string]int
	// Demand returns the maximum number of concurrent requests for a pool, in
	// flight or waiting, since the last call.
	Demand(pool string) int
	// Active counts callers' requests in progress.
	Active() int
	// RoutesChanged makes waiting requests check the newest route table.
	RoutesChanged()
}

// Claims is the part of the idempotency keys that the control side uses.
type Claims interface {
	// OnApplied receives every applied record, in order.
	OnApplied(batch []fleetlog.Applied)
	// AllAcked is called when all entries have acknowledged the newest members.
	AllAcked()
	// AckLimit returns the highest offset, at most offset, that may be
	// acknowledged.
	AckLimit(offset uint64) uint64
}

// encMode sorts maps, so that receivers can detect a change by comparing bytes.
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

	limits    map[string]int // maximum requests in flight, by instance
	lastRound time.Duration
	// byPool holds the serving instances as of the last round.
	byPool map[string][]*pools.Instance
	// receivedShares holds the newest encoded slot shares from each entry.
	receivedShares map[string][]byte
	// idle is set if the last round found no demand and changed nothing, and no
	// different shares have arrived since.
	idle bool

	wasMember           bool
	membersVersion      uint64 // membership version set in the sharer
	ackedMembersVersion uint64 // membership version that all entries have acknowledged
	poolVersion         uint64
	generation          uint64
	dirty               bool
	notServing          []string        // instances that get no new requests
	busyNotServing      []string        // those with requests from this entry in flight
	notReady            func() []string // reasons why the process is not ready
}

// New returns the control side of the entry that runs as node n.
func New(n *node.Node, log *slog.Logger) *Entry {
	return &Entry{
		node: n, log: log, sharer: slots.NewSharer(sharerName(n.Self())),
		receivedShares: make(map[string][]byte),
	}
}

// sharerName returns a name that is unique to one start of an entry, because a
// restarted entry doesn't have the slot loans of its previous start.
func sharerName(m membership.Member) string { return m.ID + "@" + m.BootID }

// roundInterval is the interval at which slots are divided again while nothing
// else changes. An entry with a burst of requests gets slots of other entries
// within this interval plus one heartbeat; a shorter interval costs CPU time in
// every entry.
const roundInterval = 100 * time.Millisecond

// Attach sets the traffic path, the key claims and the readiness check. It must
// be called before the node runs.
func (e *Entry) Attach(t Traffic, c Claims, notReady func() []string) {
	e.traffic, e.claims, e.notReady = t, c, notReady
}

// Routes returns the current route table, or nil if there is none yet. Any
// goroutine may call it.
func (e *Entry) Routes() *dispatch.RouteTable { return e.table.Load() }

// Applied implements node.Hooks. The new route table is in use when it returns,
// so the offset may be acknowledged afterwards.
func (e *Entry) Applied(batch []fleetlog.Applied) {
	st := e.node.State()
	e.claims.OnApplied(batch)
	if st.Members.Version != e.membersVersion {
		e.membersVersion = st.Members.Version
		entries := st.Members.WithRole(membership.RoleEntry)
		e.sharer.SetMembers(e.membersVersion, sharerNames(entries))
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

func sharerNames(members []membership.Member) []string {
	out := make([]string, len(members))
	for i, m := range members {
		out[i] = sharerName(m)
	}
	return out
}

// ListChanged implements node.Hooks: an instance listed as leaving gets no new
// requests, even if the planner has not recorded that yet.
func (e *Entry) ListChanged() {
	e.dirty = true
	e.round()
}

// Tick implements node.Hooks.
func (e *Entry) Tick() {
	e.updateAcks()
	e.updateBusy()
	if e.dirty || e.node.Now()-e.lastRound >= roundInterval && !e.canSkipRound() {
		e.round()
	}
}

// canSkipRound reports whether a round would have the same result as the last
// one. With 4,000 instances, redundant rounds used a third of a core in each
// entry.
func (e *Entry) canSkipRound() bool { return e.idle && e.traffic.Active() == 0 }

// updateBusy finds the instances that get no new requests but have requests from
// this entry in flight. Handovers wait until there are none, so peers are sent a
// heartbeat immediately when an instance has become free.
func (e *Entry) updateBusy() {
	if len(e.notServing) == 0 && len(e.busyNotServing) == 0 {
		return
	}
	var busyNotServing []string
	inFlight := e.traffic.InFlightAll()
	for _, id := range e.notServing {
		if inFlight[id] > 0 {
			busyNotServing = append(busyNotServing, id)
		}
	}
	if len(busyNotServing) < len(e.busyNotServing) {
		e.node.RequestHeartbeat()
	}
	e.busyNotServing = busyNotServing
}

// updateAcks informs the sharer and the claims when all entries have
// acknowledged the current members; static shares may grow only after that.
func (e *Entry) updateAcks() {
	if e.ackedMembersVersion == e.membersVersion || e.membersVersion == 0 {
		return
	}
	st, reports := e.node.State(), e.node.PeerReports()
	for _, m := range st.Members.WithRole(membership.RoleEntry) {
		if m.ID == e.node.Self().ID {
			continue
		}
		report := reports[m.ID]
		if report == nil || report.Identity.BootID != m.BootID || report.Heartbeat.Acked < e.membersVersion {
			return
		}
	}
	e.ackedMembersVersion = e.membersVersion
	e.sharer.SetAllAcked(e.membersVersion)
	e.claims.AllAcked()
	e.dirty = true
}

// Beat implements node.Hooks.
func (e *Entry) Beat(to string, hb *node.Heartbeat) {
	hb.Ready = len(e.notReady()) == 0
	hb.Busy = e.busyNotServing
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
	if len(hb.Shares) == 0 || !e.isEntry(from.ID) || bytes.Equal(hb.Shares, e.receivedShares[from.ID]) {
		return
	}
	e.receivedShares[from.ID], e.idle = hb.Shares, false
	var share slots.PeerShare
	if err := cbor.Unmarshal(hb.Shares, &share); err != nil {
		e.log.Warn("cannot decode slot shares from peer", "peer", from.ID, "error", err.Error())
		return
	}
	e.sharer.OnPeer(from.ID+"@"+from.BootID, share)
}

// MayJoin implements node.Hooks. Handovers don't wait for requests of an entry
// that was removed from the members while it was unreachable, so it rejoins only
// after these requests have ended.
func (e *Entry) MayJoin() bool { return !e.wasMember || e.traffic.Active() == 0 }

// AckLimit implements node.Hooks. A change of the members is acknowledged only
// after this entry's slot usage has shrunk to its share among the new members,
// since other entries use the remaining slots as soon as all have acknowledged.
func (e *Entry) AckLimit() uint64 {
	limit := e.claims.AckLimit(e.node.State().Offset)
	if e.membersVersion != e.ackedMembersVersion && e.node.Joined() && !e.sharer.Settled() {
		limit = min(limit, e.membersVersion-1)
	}
	return limit
}
