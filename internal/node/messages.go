// Package node runs the control goroutine that every daemon has: it follows
// the log, exchanges heartbeats with peers, folds records and calls the
// daemon's hooks. All control state belongs to that goroutine; traffic
// goroutines read immutable snapshots that the hooks publish.
package node

import (
	"github.com/fxamacker/cbor/v2"

	"cyclamenwheel/internal/platform"
)

// Kinds of peer messages.
const (
	kindHeartbeat = "node.heartbeat"
	kindRecords   = "node.records"
	kindState     = "node.state"
)

// Heartbeat is what a process tells its peers of itself. It is cumulative:
// losing one loses nothing.
type Heartbeat struct {
	// Acked is the offset up to which the process has acted on every record.
	Acked      uint64 `cbor:"1,keyasint"`
	Generation uint64 `cbor:"2,keyasint"`
	Ready      bool   `cbor:"3,keyasint"`
	// Busy lists instances that take no new work and still have requests of
	// this process in flight.
	Busy []string `cbor:"4,keyasint,omitempty"`
	// ListVersion and NotLive carry the newest instance list to peers that
	// cannot reach the platform: NotLive holds the workers not listed as live.
	ListVersion uint64   `cbor:"5,keyasint"`
	NotLive     []string `cbor:"6,keyasint,omitempty"`
	// Shares carries slot sharing between entries; opaque here.
	Shares cbor.RawMessage `cbor:"7,keyasint,omitempty"`
}

// RecordsRequest asks a peer for records that the log did not deliver.
type RecordsRequest struct {
	From uint64 `cbor:"1,keyasint"`
}

// RecordsAnswer carries them.
type RecordsAnswer struct {
	Records []platform.LogRecord `cbor:"1,keyasint"`
	// Gone tells that the peer has folded the record asked for and keeps it no
	// longer: the asker then wants its state.
	Gone bool `cbor:"2,keyasint,omitempty"`
}

// StateRequest asks a peer for its folded state.
type StateRequest struct {
	// Above is the asker's offset; the peer answers only with a newer state.
	Above uint64 `cbor:"1,keyasint"`
}

// StateAnswer carries an encoded state, or nothing.
type StateAnswer struct {
	Encoded []byte `cbor:"1,keyasint"`
}
