package fleetlog

import (
	"crypto/sha256"

	"cyclamenwheel/internal/platform"
)

// Replica is one process's copy of the folded state. Records arrive from the
// log and from peers, possibly repeated, late or with gaps; each offset is
// applied once and in order, and the state never reverts to an older one.
//
// It is a pure state machine without I/O or clock, for use by one goroutine.
type Replica struct {
	state *State
	// bootstrapping is set until the replica has a starting state: the empty
	// state before offset 1, or a snapshot.
	bootstrapping bool
	pending       []platform.LogRecord // contiguous records buffered while bootstrapping
	snapshotParts assembler

	// markHash is the hash of the replica's state at the newest mark. markedState
	// is the encoded state there, until some process has written it to the log.
	markOffset  uint64
	markHash    [32]byte
	markedState []byte

	// Diverged counts snapshot parts that did not match the replica's state.
	Diverged int
}

// NewReplica returns a replica without a starting state.
func NewReplica() *Replica { return &Replica{state: NewState(), bootstrapping: true} }

// State returns the folded state. It belongs to the replica's goroutine.
func (r *Replica) State() *State { return r.state }

// Bootstrapping reports whether the replica still lacks a starting state.
func (r *Replica) Bootstrapping() bool { return r.bootstrapping }

// Next returns the offset that the replica needs next, 0 for any.
func (r *Replica) Next() uint64 {
	if r.bootstrapping {
		if n := len(r.pending); n > 0 {
			return r.pending[n-1].Offset + 1
		}
		return 0
	}
	return r.state.Offset + 1
}

// Ingest applies records, given in offset order, and returns those applied. It
// skips offsets already applied and stops at a gap; Next then returns the first
// missing offset.
func (r *Replica) Ingest(records []platform.LogRecord) []Applied {
	if r.bootstrapping {
		return r.ingestBootstrapping(records)
	}
	var out []Applied
	for _, rec := range records {
		if rec.Offset <= r.state.Offset {
			continue
		}
		if rec.Offset != r.state.Offset+1 {
			break
		}
		out = append(out, r.applyRecord(rec))
	}
	return out
}

func (r *Replica) applyRecord(rec platform.LogRecord) Applied {
	a := r.state.Apply(rec)
	switch {
	case a.Record.Kind == KindMark && a.Verdict.Accepted:
		r.recordMark()
	case a.Record.Kind == KindPart:
		r.verifyPart(a.Record)
	}
	return a
}

func (r *Replica) recordMark() {
	encoded, err := r.state.Encode()
	if err != nil {
		return
	}
	r.markOffset, r.markHash, r.markedState = r.state.Offset, sha256.Sum256(encoded), encoded
}

// verifyPart compares a snapshot with the replica's state at the same offset. A
// difference means that two builds fold the log differently; operators must
// learn of it before a process starts from that snapshot.
func (r *Replica) verifyPart(rec Record) {
	p, v := decodeBody[Part](rec)
	if !v.Accepted || p.MarkOffset != r.markOffset {
		return
	}
	if p.Hash != r.markHash {
		r.Diverged++
	}
	r.markedState = nil
}

// MarkedState returns the encoded state at the newest mark, for the mark's
// author to write to the log; nil if a part of it has been written.
func (r *Replica) MarkedState() (encoded []byte, markOffset uint64) {
	return r.markedState, r.markOffset
}

func (r *Replica) ingestBootstrapping(records []platform.LogRecord) []Applied {
	for _, rec := range records {
		if !r.bufferRecord(rec) {
			continue
		}
		if st := r.startingState(rec); st != nil {
			out := r.startFrom(st)
			return append(out, r.Ingest(recordsAfter(records, rec.Offset))...)
		}
	}
	return nil
}

// bufferRecord appends rec to the buffered records if it is the next one. A
// record from before the buffered ones restarts the buffer, since records that
// were assumed to be unavailable can be read after all.
func (r *Replica) bufferRecord(rec platform.LogRecord) bool {
	n := len(r.pending)
	switch {
	case n > 0 && rec.Offset < r.pending[0].Offset:
		r.pending, r.snapshotParts = nil, assembler{}
	case n > 0 && rec.Offset != r.pending[n-1].Offset+1:
		return false
	}
	r.pending = append(r.pending, rec)
	return true
}

// startingState returns the state from which the buffered records can be
// applied, if rec is the first record of the log or completes a snapshot.
func (r *Replica) startingState(rec platform.LogRecord) *State {
	if rec.Offset == 1 && r.state.Offset == 0 {
		return NewState()
	}
	p, ok := decodePart(rec)
	if !ok {
		return nil
	}
	st := r.snapshotParts.add(p)
	if st == nil || st.Offset+1 < r.pending[0].Offset || st.Offset <= r.state.Offset {
		return nil
	}
	return st
}

func recordsAfter(records []platform.LogRecord, offset uint64) []platform.LogRecord {
	for i, rec := range records {
		if rec.Offset > offset {
			return records[i:]
		}
	}
	return nil
}

// startFrom sets the state to st and applies the buffered records after it.
func (r *Replica) startFrom(st *State) []Applied {
	pending := r.pending
	r.state, r.bootstrapping, r.pending, r.snapshotParts = st, false, nil, assembler{}
	return r.Ingest(pending)
}

// Install replaces the state with st, from a peer or a later snapshot, if st is
// newer, and reports whether it did. An older state is refused, because a
// manifest generation that was in force must not be reverted.
func (r *Replica) Install(st *State) bool {
	if st == nil || st.Offset <= r.state.Offset {
		return false
	}
	pending := r.pending
	r.state, r.bootstrapping, r.pending, r.snapshotParts = st, false, nil, assembler{}
	r.markOffset, r.markedState = 0, nil
	r.Ingest(pending)
	return true
}

// Rebootstrap makes the replica wait for a later snapshot to continue from. It is
// called when the log has been trimmed past Next, because this process was
// paused for longer than records are kept. The old state stays readable.
func (r *Replica) Rebootstrap() {
	r.bootstrapping, r.pending, r.snapshotParts = true, nil, assembler{}
}
