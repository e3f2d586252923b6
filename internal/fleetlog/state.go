package fleetlog

import (
	"cyclamenwheel/internal/idempotency"
	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/membership"
	"cyclamenwheel/internal/placement"
	"cyclamenwheel/internal/planlease"
	"cyclamenwheel/internal/pools"
)

// dedupeWindow is the number of offsets within which a repeated append is
// detected by its record id. 8192 records are about 20 s at the log's maximum of
// several hundred appends per second, and writers stop retrying long before
// that. A later repetition is rejected by the rules of its kind, since the state
// that it was based on has changed.
const dedupeWindow = 8192

// State is the complete folded state. It belongs to one goroutine.
type State struct {
	// Offset is the newest record applied; TimeMillis is the newest append time.
	Offset     uint64           `cbor:"1,keyasint" json:"offset"`
	TimeMillis int64            `cbor:"2,keyasint" json:"time_ms"`
	Manifest   manifest.State   `cbor:"3,keyasint" json:"manifest"`
	Lease      planlease.State  `cbor:"4,keyasint" json:"lease"`
	Members    membership.State `cbor:"5,keyasint" json:"members"`
	Pools      pools.State      `cbor:"6,keyasint" json:"pools"`
	Tasks      placement.State  `cbor:"7,keyasint" json:"tasks"`
	// Keys holds the idempotency keys; Guard detects which may have been lost.
	Keys     *idempotency.State `cbor:"8,keyasint" json:"-"`
	Guard    lossTracker        `cbor:"12,keyasint" json:"key_guard"`
	Recent   recentIDs          `cbor:"9,keyasint" json:"-"`
	Snapshot snapshotMark       `cbor:"10,keyasint" json:"snapshot"`
	Counts   map[string]uint64  `cbor:"11,keyasint" json:"verdicts"`
}

// NewState returns the state before the first record.
func NewState() *State { return &State{Counts: make(map[string]uint64), Keys: idempotency.NewState()} }

// recentIDs holds the ids of the newest records. Order lists them with their
// offsets, oldest first.
type recentIDs struct {
	Order []recentID `cbor:"1,keyasint"`

	index map[ID]struct{}
}

type recentID struct {
	ID     ID     `cbor:"1,keyasint"`
	Offset uint64 `cbor:"2,keyasint"`
}

// add reports whether id is new, and records it if so.
func (r *recentIDs) add(id ID, offset uint64) bool {
	if r.index == nil {
		r.index = make(map[ID]struct{}, len(r.Order))
		for _, o := range r.Order {
			r.index[o.ID] = struct{}{}
		}
	}
	drop := 0
	for drop < len(r.Order) && r.Order[drop].Offset+dedupeWindow < offset {
		delete(r.index, r.Order[drop].ID)
		drop++
	}
	r.Order = r.Order[drop:]
	if _, ok := r.index[id]; ok {
		return false
	}
	r.index[id] = struct{}{}
	r.Order = append(r.Order, recentID{ID: id, Offset: offset})
	return true
}
