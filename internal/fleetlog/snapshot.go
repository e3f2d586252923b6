package fleetlog

import (
	"crypto/sha256"

	"cyclamenwheel/internal/fold"
	"cyclamenwheel/internal/idempotency"
	"cyclamenwheel/internal/platform"
)

// partBytes is the size of one snapshot part. It keeps a record well under
// MaxRecordBytes and a log read short, however large the fleet.
const partBytes = 256 << 10

// Mark announces a snapshot of the state at the mark's own offset. Every
// process takes the hash of its own state there, so that a snapshot written
// afterwards can be checked by all of them.
type Mark struct {
	// Wanted is the offset that the writer had folded when it asked.
	Wanted uint64 `cbor:"1,keyasint"`
}

// Part is one piece of a snapshot.
type Part struct {
	// Replaces is the mark's offset: a reader that loads the snapshot goes on
	// with the record after it.
	Replaces uint64 `cbor:"1,keyasint"`
	Index    int    `cbor:"2,keyasint"`
	Count    int    `cbor:"3,keyasint"`
	// Hash is the SHA-256 of the whole encoded state.
	Hash [32]byte `cbor:"4,keyasint"`
	Data []byte   `cbor:"5,keyasint"`
}

// snapshotMark is the newest mark, as folded.
type snapshotMark struct {
	Offset     uint64 `cbor:"1,keyasint" json:"offset"`
	TimeMillis int64  `cbor:"2,keyasint" json:"time_ms"`
	Author     string `cbor:"3,keyasint" json:"author"`
}

// markSpacing is the least number of records between marks; a mark costs every
// process one encoding of its state.
const markSpacing = 16

// ReasonTooSoon marks a mark that follows another too closely: several
// processes found at once that a snapshot is due.
const ReasonTooSoon fold.Reason = "too_soon"

func (s *State) applyMark(m fold.Meta, b Mark) fold.Verdict {
	if s.Snapshot.Offset != 0 && m.Offset < s.Snapshot.Offset+markSpacing {
		return fold.Reject(ReasonTooSoon, "by "+s.Snapshot.Author)
	}
	if b.Wanted < s.Snapshot.Offset {
		return fold.Reject(ReasonTooSoon, "based on an older mark")
	}
	s.Snapshot = snapshotMark{Offset: m.Offset, TimeMillis: m.TimeMillis, Author: m.Author}
	return fold.Accept()
}

// Encode returns the whole state. Equal states give equal bytes.
func (s *State) Encode() ([]byte, error) {
	data, err := encMode.Marshal(s)
	if err != nil {
		return nil, &MalformedError{What: "state", Cause: err}
	}
	return data, nil
}

// maxStateElements bounds arrays and maps of a snapshot: claims of a day are
// the longest.
const maxStateElements = 1 << 24

// DecodeState reads what Encode wrote.
func DecodeState(data []byte) (*State, error) {
	s := NewState()
	if err := stateDecMode.Unmarshal(data, s); err != nil {
		return nil, &MalformedError{What: "state", Cause: err}
	}
	if s.Keys == nil {
		s.Keys = idempotency.NewState()
	}
	if s.Counts == nil {
		s.Counts = make(map[string]uint64)
	}
	return s, nil
}

// Split cuts an encoded state into parts.
func Split(encoded []byte, replaces uint64) []Part {
	hash := sha256.Sum256(encoded)
	count := max(1, (len(encoded)+partBytes-1)/partBytes)
	parts := make([]Part, 0, count)
	for i := range count {
		end := min(len(encoded), (i+1)*partBytes)
		parts = append(parts, Part{
			Replaces: replaces, Index: i, Count: count, Hash: hash, Data: encoded[i*partBytes : end],
		})
	}
	return parts
}

// assembly collects the parts of one snapshot, in whatever order.
type assembly struct {
	hash  [32]byte
	parts [][]byte
	have  int
}

// assembler finds complete snapshots among records.
type assembler struct {
	open map[uint64]*assembly
}

// add takes a part and returns the state once its snapshot is complete and its
// hash is right.
func (a *assembler) add(p Part) *State {
	if p.Count <= 0 || p.Count > maxParts || p.Index < 0 || p.Index >= p.Count {
		return nil
	}
	if a.open == nil {
		a.open = make(map[uint64]*assembly)
	}
	as, ok := a.open[p.Replaces]
	if !ok || as.hash != p.Hash || len(as.parts) != p.Count {
		as = &assembly{hash: p.Hash, parts: make([][]byte, p.Count)}
		a.open[p.Replaces] = as
	}
	if as.parts[p.Index] == nil {
		as.parts[p.Index] = p.Data
		as.have++
	}
	if as.have < p.Count {
		return nil
	}
	delete(a.open, p.Replaces)
	return as.state(p.Replaces)
}

// maxParts bounds a snapshot to 256 MiB.
const maxParts = 1024

func (as *assembly) state(replaces uint64) *State {
	var all []byte
	for _, p := range as.parts {
		all = append(all, p...)
	}
	if sha256.Sum256(all) != as.hash {
		return nil
	}
	st, err := DecodeState(all)
	if err != nil || st.Offset != replaces {
		return nil
	}
	return st
}

// decodePart returns the part that a log record carries, if it is one.
func decodePart(entry platform.LogRecord) (Part, bool) {
	rec, err := DecodeRecord(entry.Data)
	if err != nil || rec.Kind != KindPart {
		return Part{}, false
	}
	p, v := decodeBody[Part](rec)
	return p, v.Accepted
}
