// Package fleetlog replicates the fleet's state through one ordered log: it
// defines the records, folds them deterministically into a State, and reads and
// writes records and snapshots. Its input is the records of the platform's log,
// which arrive from the log itself or from peers. Every node runs a Replica and
// a Tail; the planner, the entries and the operator tools read the folded state
// and append records.
//
// The platform's log has no conditional append. Whether a record takes effect
// is decided by the fold at the record's offset, by the same rule in every
// process; a writer acts only after it has read its own record back as
// accepted.
package fleetlog

import (
	"crypto/rand"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"cyclamenwheel/internal/fold"
	"cyclamenwheel/internal/idempotency"
)

// Kind is a record's type. Values are part of the log's format.
type Kind string

// Kinds of records.
const (
	KindPublish      Kind = "publish"
	KindLeaseClaim   Kind = "lease.claim"
	KindLeaseRenew   Kind = "lease.renew"
	KindLeaseRelease Kind = "lease.release"
	KindJoin         Kind = "member.join"
	KindLeave        Kind = "member.leave"
	KindSeen         Kind = "instance.seen"
	KindDown         Kind = "instance.down"
	KindForget       Kind = "instance.forget"
	KindBegin        Kind = "instance.begin"
	KindCommit       Kind = "instance.commit"
	KindTasks        Kind = "tasks"
	KindKeyClaim     Kind = idempotency.KindClaims
	KindKeyFinish    Kind = idempotency.KindFinishes
	KindMark         Kind = "snapshot.mark"
	KindPart         Kind = "snapshot.part"
)

// Known reports whether this version supports the kind.
func (k Kind) Known() bool {
	switch k {
	case KindPublish, KindLeaseClaim, KindLeaseRenew, KindLeaseRelease, KindJoin, KindLeave,
		KindSeen, KindDown, KindForget, KindBegin, KindCommit, KindTasks,
		KindKeyClaim, KindKeyFinish, KindMark, KindPart:
		return true
	}
	return false
}

// ID identifies a record. A repeated append carries the same id and is applied
// once.
type ID [16]byte

// String returns the id in hexadecimal.
func (id ID) String() string { return fmt.Sprintf("%x", id[:]) }

// NewID returns a random id.
func NewID() ID {
	var id ID
	_, _ = rand.Read(id[:]) // never fails: crypto/rand aborts the process instead
	return id
}

// Record is the envelope of all log entries.
type Record struct {
	ID     ID     `cbor:"1,keyasint"`
	Kind   Kind   `cbor:"2,keyasint"`
	Author string `cbor:"3,keyasint"`
	// Epoch is the epoch of the author's planner lease, 0 for other authors.
	Epoch uint64          `cbor:"4,keyasint,omitempty"`
	Body  cbor.RawMessage `cbor:"5,keyasint"`
}

// Limits of a record, checked before it is decoded.
const (
	// MaxRecordBytes allows a manifest of manifest.MaxBytes and its envelope.
	MaxRecordBytes = 1<<20 + 4096
	// maxElements bounds arrays and maps inside one record.
	maxElements = 1 << 17
	// maxNesting is more than the nesting of any record or snapshot.
	maxNesting = 16
)

var (
	encMode = mustEncMode()
	decMode = mustDecMode(maxElements)
	// stateDecMode reads snapshots, whose maps grow with the fleet.
	stateDecMode = mustDecMode(maxStateElements)
)

// mustEncMode returns the core deterministic encoding: equal states have equal
// snapshots, so that comparing hashes shows whether two processes diverged.
func mustEncMode() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecMode(elements int) cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: elements, MaxMapPairs: elements, MaxNestedLevels: maxNesting,
		DupMapKey: cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// MalformedError reports that a value can't be encoded, or that bytes from the
// log or a peer can't be decoded.
type MalformedError struct {
	What  string
	Cause error
}

func (e *MalformedError) Error() string { return "malformed " + e.What + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// TooLargeError reports that a record exceeds the size that readers accept.
type TooLargeError struct{ Size, Limit int }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("record of %d bytes exceeds the limit of %d", e.Size, e.Limit)
}

// NewRecord encodes body into a record with a new random id.
func NewRecord(kind Kind, author string, epoch uint64, body any) (Record, error) {
	raw, err := encMode.Marshal(body)
	if err != nil {
		return Record{}, &MalformedError{What: string(kind), Cause: err}
	}
	return Record{ID: NewID(), Kind: kind, Author: author, Epoch: epoch, Body: raw}, nil
}

// Encode returns the record's bytes.
func (r Record) Encode() ([]byte, error) {
	data, err := encMode.Marshal(r)
	if err != nil {
		return nil, &MalformedError{What: string(r.Kind), Cause: err}
	}
	if len(data) > MaxRecordBytes {
		return nil, &TooLargeError{Size: len(data), Limit: MaxRecordBytes}
	}
	return data, nil
}

// DecodeRecord reads a record's envelope.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if len(data) > MaxRecordBytes {
		return r, &TooLargeError{Size: len(data), Limit: MaxRecordBytes}
	}
	if err := decMode.Unmarshal(data, &r); err != nil {
		return Record{}, &MalformedError{What: "record", Cause: err}
	}
	return r, nil
}

// decodeBody decodes a record's body into T.
func decodeBody[T any](r Record) (T, fold.Verdict) {
	var body T
	if err := decMode.Unmarshal(r.Body, &body); err != nil {
		return body, fold.Reject(fold.ReasonMalformed, err.Error())
	}
	return body, fold.Accept()
}
