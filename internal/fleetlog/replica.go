package fleetlog

import (
	"crypto/sha256"

	"cyclamenwheel/internal/platform"
)

// Replica is one process's copy of the fold. Records reach it from the log and
// from peers, repeated, late or with gaps; it folds each offset once and in
// order, and its state never goes back.
//
// It is a pure state machine: no I/O, no clock, one goroutine.
type Replica struct {
	state *State
	// cold is set until a starting point is known: offset 1, or a snapshot.
	cold    bool
	pending []platform.LogRecord // cold only: records after the newest snapshot mark
	asm     assembler

	// markHash is the hash of the own state at the newest mark, encoded the
	// bytes there until somebody has written them to the log.
	markOffset uint64
	markHash   [32]byte
	encoded    []byte

	// Diverged counts snapshots that did not match the own state.
	Diverged int
}

// NewReplica returns a replica that knows nothing yet.
func NewReplica() *Replica { return &Replica{state: NewState(), cold: true} }

// State returns the folded state. It belongs to the replica's goroutine.
func (r *Replica) State() *State { return r.state }

// Cold reports whether the replica still lacks a starting point.
func (r *Replica) Cold() bool { return r.cold }

// Next is the offset that the replica needs next.
func (r *Replica) Next() uint64 {
	if r.cold {
		if n := len(r.pending); n > 0 {
			return r.pending[n-1].Offset + 1
		}
		return 0
	}
	return r.state.Offset + 1
}

// Ingest takes records in offset order and returns those it folded. Offsets
// already folded are passed over; at a gap it stops, and Next tells what is
// missing.
func (r *Replica) Ingest(records []platform.LogRecord) []Applied {
	if r.cold {
		return r.ingestCold(records)
	}
	var out []Applied
	for _, rec := range records {
		if rec.Offset <= r.state.Offset {
			continue
		}
		if rec.Offset != r.state.Offset+1 {
			break
		}
		out = append(out, r.fold(rec))
	}
	return out
}

func (r *Replica) fold(rec platform.LogRecord) Applied {
	a := r.state.Apply(rec)
	switch {
	case a.Record.Kind == KindMark && a.Verdict.Accepted:
		r.takeMark()
	case a.Record.Kind == KindPart:
		r.checkPart(a.Record)
	}
	return a
}

func (r *Replica) takeMark() {
	encoded, err := r.state.Encode()
	if err != nil {
		return
	}
	r.markOffset, r.markHash, r.encoded = r.state.Offset, sha256.Sum256(encoded), encoded
}

// checkPart compares a snapshot with the own state at the same offset. A
// difference means that two builds fold differently: operators must know
// before a process starts from it.
func (r *Replica) checkPart(rec Record) {
	p, v := decodeBody[Part](rec)
	if !v.Accepted || p.Replaces != r.markOffset {
		return
	}
	if p.Hash != r.markHash {
		r.Diverged++
	}
	r.encoded = nil
}

// MarkedState returns the encoded state at the newest mark, for its author to
// write; nil when it has been written.
func (r *Replica) MarkedState() (encoded []byte, replaces uint64) {
	return r.encoded, r.markOffset
}

func (r *Replica) ingestCold(records []platform.LogRecord) []Applied {
	for _, rec := range records {
		if !r.keep(rec) {
			continue
		}
		if st := r.startingPoint(rec); st != nil {
			out := r.warm(st)
			return append(out, r.Ingest(after(records, rec.Offset))...)
		}
	}
	return nil
}

// keep adds rec to the records kept, if it is the next one. A record from
// before them starts the collection anew: what was kept then lacks a beginning
// that turns out to be there.
func (r *Replica) keep(rec platform.LogRecord) bool {
	n := len(r.pending)
	switch {
	case n > 0 && rec.Offset < r.pending[0].Offset:
		r.pending, r.asm = nil, assembler{}
	case n > 0 && rec.Offset != r.pending[n-1].Offset+1:
		return false
	}
	r.pending = append(r.pending, rec)
	return true
}

// startingPoint returns the state that the kept records can be folded onto,
// once rec has made one known.
func (r *Replica) startingPoint(rec platform.LogRecord) *State {
	if rec.Offset == 1 && r.state.Offset == 0 {
		return NewState()
	}
	p, ok := decodePart(rec)
	if !ok {
		return nil
	}
	st := r.asm.add(p)
	if st == nil || st.Offset+1 < r.pending[0].Offset || st.Offset <= r.state.Offset {
		return nil
	}
	return st
}

func after(records []platform.LogRecord, offset uint64) []platform.LogRecord {
	for i, rec := range records {
		if rec.Offset > offset {
			return records[i:]
		}
	}
	return nil
}

// warm starts from st and folds what has been kept since.
func (r *Replica) warm(st *State) []Applied {
	pending := r.pending
	r.state, r.cold, r.pending, r.asm = st, false, nil, assembler{}
	return r.Ingest(pending)
}

// Install takes a state from a peer or a later snapshot if it is newer than
// the own one; it reports whether it did. An older state is refused, because a
// generation once in force must not revert.
func (r *Replica) Install(st *State) bool {
	if st == nil || st.Offset <= r.state.Offset {
		return false
	}
	pending := r.pending
	r.state, r.cold, r.pending, r.asm = st, false, nil, assembler{}
	r.markOffset, r.encoded = 0, nil
	r.Ingest(pending)
	return true
}

// Restart is told that the log is trimmed past Next: this process was paused
// for longer than records are kept. The state stays as it is for readers, and
// the replica looks for a later snapshot to go on from.
func (r *Replica) Restart() {
	r.cold, r.pending, r.asm = true, nil, assembler{}
}
