package idempotency

import (
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// SnapshotError means that a snapshot can't be decoded.
type SnapshotError struct {
	Detail string
	Cause  error
}

func (e *SnapshotError) Error() string {
	return fmt.Sprintf("idempotency snapshot: %s: %v", e.Detail, e.Cause)
}

// Unwrap returns the cause.
func (e *SnapshotError) Unwrap() error { return e.Cause }

// Part is a part of a snapshot. Keys are packed into one byte string: as a CBOR map
// a million keys would take twice the bytes and many times the CPU time, and
// exceed the limits of the decoder.
type Part struct {
	// Owners are the names that the rows refer to by index.
	Owners []string `cbor:"1,keyasint"`
	// Rows are packed rows in the order of their claims.
	Rows []byte `cbor:"2,keyasint"`
	// NowMillis and Uncertain are the same in every part.
	NowMillis int64       `cbor:"3,keyasint"`
	Uncertain []Uncertain `cbor:"4,keyasint,omitempty"`
}

// rowBytes is the size of a packed row: key, fingerprint, attempt, offset, time,
// owner and status.
const rowBytes = 16 + 16 + 8 + 8 + 8 + 4 + 1

// unlimitedKeys is more than the number of keys that fit into memory.
const unlimitedKeys = 1 << 40

// Parts returns the state in one or more parts of at most maxKeys keys each. The
// same state gives the same bytes in every process.
func (s *State) Parts(maxKeys int) []Part {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var parts []Part
	var rows []byte
	owners := nameTable{}
	flush := func() {
		parts = append(parts, Part{Owners: owners.list, Rows: rows, NowMillis: s.now, Uncertain: slices.Clone(s.uncertain)})
		rows, owners = nil, nameTable{}
	}
	for _, e := range s.expiry[s.expiryHead:] {
		r, ok := s.unexpired(e.key)
		if !ok || r.offset != e.offset {
			continue
		}
		r.owner = owners.numberOf(s.owners.list[r.owner])
		rows = packRow(rows, e.key, r)
		if len(rows) >= maxKeys*rowBytes {
			flush()
		}
	}
	if len(rows) > 0 || len(parts) == 0 {
		flush()
	}
	return parts
}

// RestoreState builds a state from all parts of a snapshot, in order.
func RestoreState(parts []Part) (*State, error) {
	s := NewState()
	for _, p := range parts {
		if len(p.Rows)%rowBytes != 0 {
			return nil, &SnapshotError{Detail: "truncated row"}
		}
		s.now = max(s.now, p.NowMillis)
		s.uncertain = p.Uncertain
		for rows := p.Rows; len(rows) > 0; rows = rows[rowBytes:] {
			if err := s.restoreRow(rows, p.Owners); err != nil {
				return nil, err
			}
		}
	}
	return s, nil
}

func (s *State) restoreRow(data []byte, owners []string) error {
	key, r := unpackRow(data)
	if int(r.owner) >= len(owners) || r.status < StatusClaimed || r.status > statusReleased {
		return &SnapshotError{Detail: "invalid row"}
	}
	r.owner = s.owners.numberOf(owners[r.owner])
	s.rows[key] = r
	s.expiry = append(s.expiry, expiryEntry{key: key, offset: r.offset, timeMillis: r.timeMillis})
	return nil
}

func packRow(buf []byte, key KeyHash, r row) []byte {
	buf = append(buf, key[:]...)
	buf = append(buf, r.fingerprint[:]...)
	buf = append(buf, r.attempt[:]...)
	buf = binary.BigEndian.AppendUint64(buf, r.offset)
	buf = binary.BigEndian.AppendUint64(buf, uint64(r.timeMillis))
	buf = binary.BigEndian.AppendUint32(buf, r.owner)
	return append(buf, byte(r.status))
}

func unpackRow(data []byte) (key KeyHash, r row) {
	data = data[copy(key[:], data):]
	data = data[copy(r.fingerprint[:], data):]
	data = data[copy(r.attempt[:], data):]
	r.offset = binary.BigEndian.Uint64(data)
	r.timeMillis = int64(binary.BigEndian.Uint64(data[8:]))
	r.owner = binary.BigEndian.Uint32(data[16:])
	r.status = Status(data[20])
	return key, r
}

// MarshalCBOR encodes the whole state as one part.
func (s *State) MarshalCBOR() ([]byte, error) {
	data, err := cbor.Marshal(s.Parts(unlimitedKeys)[0])
	return data, errors.Wrap(err, "encode idempotency state")
}

// UnmarshalCBOR replaces the state by the encoded one.
func (s *State) UnmarshalCBOR(data []byte) error {
	var p Part
	if err := cbor.Unmarshal(data, &p); err != nil {
		return &SnapshotError{Detail: "CBOR", Cause: err}
	}
	restored, err := RestoreState([]Part{p})
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.expiry, s.expiryHead = restored.rows, restored.expiry, 0
	s.now, s.owners, s.uncertain = restored.now, restored.owners, restored.uncertain
	return nil
}
