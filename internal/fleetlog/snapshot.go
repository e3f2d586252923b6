package fleetlog

import (
	"crypto/sha256"

	"cyclamenwheel/internal/fold"
	"cyclamenwheel/internal/idempotency"
	"cyclamenwheel/internal/platform"
)

// partBytes is the size of one snapshot part. It keeps records well under
// MaxRecordBytes and log reads short for any fleet size.
const partBytes = 256 << 10

// Mark announces a snapshot of the state at the mark's offset. Every process
// records the hash of its state there and compares it with the snapshot that is
// written afterwards.
type Mark struct {
	// AppliedOffset is the offset that the writer had applied when it wrote the mark.
	AppliedOffset uint64 `cbor:"1,keyasint"`
}

// Part is one piece of a snapshot.
type Part struct {
	// MarkOffset is the mark's offset: a reader that loads the snapshot continues
	// with the record after it.
	MarkOffset uint64 `cbor:"1,keyasint"`
	Index      int    `cbor:"2,keyasint"`
	Count      int    `cbor:"3,keyasint"`
	// Hash is the SHA-256 of the whole encoded state.
	Hash [32]byte `cbor:"4,keyasint"`
	Data []byte   `cbor:"5,keyasint"`
}

// snapshotMark is the newest accepted mark.
type snapshotMark struct {
	Offset     uint64 `cbor:"1,keyasint" json:"offset"`
	TimeMillis int64  `cbor:"2,keyasint" json:"time_ms"`
	Author     string `cbor:"3,keyasint" json:"author"`
}

// minMarkSpacing is the minimum number of records between marks; each mark makes
// every process encode its state once.
const minMarkSpacing = 16

// ReasonTooSoon rejects a mark that follows another too closely, as happens when
// several processes find at the same time that a snapshot is due.
const ReasonTooSoon fold.Reason = "too_soon"

func (s *State) applyMark(m fold.Meta, b Mark) fold.Verdict {
	if s.Snapshot.Offset != 0 && m.Offset < s.Snapshot.Offset+minMarkSpacing {
		return fold.Reject(ReasonTooSoon, "by "+s.Snapshot.Author)
	}
	if b.AppliedOffset < s.Snapshot.Offset {
		return fold.Reject(ReasonTooSoon, "based on an older mark")
	}
	s.Snapshot = snapshotMark{Offset: m.Offset, TimeMillis: m.TimeMillis, Author: m.Author}
	return fold.Accept()
}

// Encode returns the encoded state. Equal states have equal encodings.
func (s *State) Encode() ([]byte, error) {
	data, err := encMode.Marshal(s)
	if err != nil {
		return nil, &MalformedError{What: "state", Cause: err}
	}
	return data, nil
}

// maxStateElements bounds arrays and maps of a snapshot. The largest ones hold
// the key claims of a day.
const maxStateElements = 1 << 24

// DecodeState decodes a state encoded by State.Encode.
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

// Split divides an encoded state into snapshot parts.
func Split(encoded []byte, markOffset uint64) []Part {
	hash := sha256.Sum256(encoded)
	count := max(1, (len(encoded)+partBytes-1)/partBytes)
	parts := make([]Part, 0, count)
	for i := range count {
		end := min(len(encoded), (i+1)*partBytes)
		parts = append(parts, Part{
			MarkOffset: markOffset, Index: i, Count: count, Hash: hash, Data: encoded[i*partBytes : end],
		})
	}
	return parts
}

// assembly collects the parts of one snapshot, in any order.
type assembly struct {
	hash     [32]byte
	parts    [][]byte
	received int
}

// assembler assembles snapshots from parts found among records.
type assembler struct {
	incomplete map[uint64]*assembly
}

// add adds a part and returns the state if its snapshot is now complete and the
// hash matches.
func (a *assembler) add(p Part) *State {
	if p.Count <= 0 || p.Count > maxParts || p.Index < 0 || p.Index >= p.Count {
		return nil
	}
	if a.incomplete == nil {
		a.incomplete = make(map[uint64]*assembly)
	}
	as, ok := a.incomplete[p.MarkOffset]
	if !ok || as.hash != p.Hash || len(as.parts) != p.Count {
		as = &assembly{hash: p.Hash, parts: make([][]byte, p.Count)}
		a.incomplete[p.MarkOffset] = as
	}
	if as.parts[p.Index] == nil {
		as.parts[p.Index] = p.Data
		as.received++
	}
	if as.received < p.Count {
		return nil
	}
	delete(a.incomplete, p.MarkOffset)
	return as.decode(p.MarkOffset)
}

// maxParts limits a snapshot to 256 MiB.
const maxParts = 1024

func (as *assembly) decode(markOffset uint64) *State {
	var all []byte
	for _, p := range as.parts {
		all = append(all, p...)
	}
	if sha256.Sum256(all) != as.hash {
		return nil
	}
	st, err := DecodeState(all)
	if err != nil || st.Offset != markOffset {
		return nil
	}
	return st
}

// decodePart returns the snapshot part in a log record, if it contains one.
func decodePart(entry platform.LogRecord) (Part, bool) {
	rec, err := DecodeRecord(entry.Data)
	if err != nil || rec.Kind != KindPart {
		return Part{}, false
	}
	p, v := decodeBody[Part](rec)
	return p, v.Accepted
}
