// Package node runs the control goroutine of a daemon: it reads the log, exchanges
// heartbeats with peers, folds records into the state and calls the daemon's hooks. Its
// input is the pages of the log, the platform's instance list and the messages of peers.
// The daemons' main package (internal/daemon) starts it; planner and entry implement the
// hooks.
//
// All control state belongs to that goroutine; goroutines that serve traffic read
// immutable snapshots that the hooks publish.
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

// Heartbeat is what a process reports about itself to its peers. It is cumulative, so
// losing one is harmless.
type Heartbeat struct {
	// Acked is the offset up to which the process has acted on every record.
	Acked      uint64 `cbor:"1,keyasint"`
	Generation uint64 `cbor:"2,keyasint"`
	Ready      bool   `cbor:"3,keyasint"`
	// Busy lists instances that get no new work but still have requests of this process in
	// flight.
	Busy []string `cbor:"4,keyasint,omitempty"`
	// ListVersion and NotLive carry the newest instance list to peers that cannot reach
	// the platform: NotLive holds the workers not listed as live.
	ListVersion uint64   `cbor:"5,keyasint"`
	NotLive     []string `cbor:"6,keyasint,omitempty"`
	// Shares carries slot sharing between entries; this package does not interpret it.
	Shares cbor.RawMessage `cbor:"7,keyasint,omitempty"`
}

// RecordsRequest asks a peer for the records from an offset on that the log did not
// deliver.
type RecordsRequest struct {
	From uint64 `cbor:"1,keyasint"`
}

// RecordsAnswer is the response to a RecordsRequest.
type RecordsAnswer struct {
	Records []platform.LogRecord `cbor:"1,keyasint"`
	// Gone means that the peer has folded the requested record and no longer keeps it: the
	// requester needs the peer's state instead.
	Gone bool `cbor:"2,keyasint,omitempty"`
}

// StateRequest asks a peer for its folded state.
type StateRequest struct {
	// Above is the requester's offset; the peer responds only with a newer state.
	Above uint64 `cbor:"1,keyasint"`
}

// StateAnswer carries an encoded state; it is empty if the peer has none newer.
type StateAnswer struct {
	Encoded []byte `cbor:"1,keyasint"`
}
