// Package peer carries messages between the system's processes over QUIC with
// mutual TLS: calls, which are a request and its answer, and notices, which are
// one-way and of which only the newest of a kind matters. Its input is the set
// of wanted peers and the messages that other packages send or register
// handlers for; it authenticates peers by their certificates and decides which
// connections and messages to accept. The node, idempotency, published and
// shards packages send and handle messages through it; the daemon and host
// packages start it.
//
// Each node dials the peers it sends to and accepts connections from the peers
// that send to it, so there is at most one connection per pair and direction. A
// boot is one run of a process, named by its boot ID.
package peer

import "time"

const (
	// alpn names this protocol and its version in the TLS handshake.
	alpn = "cyclamen-peer/1"

	// keepAlivePeriod and idleTimeout detect a crashed or frozen peer within
	// two seconds: a frozen peer sends no acknowledgements, and the idle
	// timeout counts from the first unanswered keepalive. A shorter timeout
	// would declare an entry unreachable that is only short of CPU time. The
	// period is longer than that of the usual heartbeats, so that links in use
	// send few keepalives.
	keepAlivePeriod = 700 * time.Millisecond
	idleTimeout     = 1500 * time.Millisecond
	// handshakeTimeout is quic-go's limit of silence during a handshake;
	// quic-go aborts the handshake after twice that in any case. A peer that
	// starts within it receives the retransmitted first packet.
	handshakeTimeout = time.Second
	// helloTimeout bounds how long a connection may stay open without a hello,
	// so that unidentified connections can't hold memory.
	helloTimeout = 2 * time.Second

	// requestReadTimeout bounds how long a request may take to arrive once its
	// stream is open. The largest message needs far less at 1 MB/s.
	requestReadTimeout = 20 * time.Second
	// defaultCallTimeout bounds a call whose context has no deadline, at the
	// caller and at the handler: otherwise a lost answer would block the caller
	// forever.
	defaultCallTimeout = 30 * time.Second
	// closeGrace is how long Close waits for calls in flight.
	closeGrace = 3 * time.Second

	// backoffBase and backoffMax bound the delay between dials. The delay is
	// drawn from the whole range (full jitter), so that entries that lost the
	// same peer at the same moment don't redial in one burst. The maximum
	// bounds how long a restarted peer stays unconnected, which a rolling
	// update allows for.
	backoffBase = 50 * time.Millisecond
	backoffMax  = time.Second

	// retiredBootGrace is how long messages of an older boot are still refused
	// after the last link of the newer boot has closed. It is longer than a
	// running process needs to redial (backoffMax and two handshakeTimeouts).
	retiredBootGrace = 10 * time.Second
	// maxRetiredBoots bounds the retired boots remembered per process ID.
	maxRetiredBoots = 8
)

// Limits of messages, in bytes.
const (
	// MaxOrdinary is the size limit of a message whose kind sets no other.
	MaxOrdinary = 64 << 10
	// MaxTransfer is the highest limit that a kind may set. It is meant for the
	// transfer of state.
	MaxTransfer = 16 << 20
	// maxHeader bounds the header frame, which names the kind.
	maxHeader = 1 << 10
	// maxKind bounds the length of a kind's name.
	maxKind = 255
	// maxHello bounds the hello message.
	maxHello = 4 << 10
	// defaultTransferMemory is the default of Options.TransferMemory.
	defaultTransferMemory = 4 * MaxTransfer
	// maxDetail bounds the detail text of a remote error.
	maxDetail = 512
)

// Limits of a connection.
const (
	// maxCallsPerConnection bounds the calls of one peer that run here
	// concurrently. Further calls wait at the caller, where their deadlines
	// apply.
	maxCallsPerConnection = 256
	// maxNoticeStreams: notices use one stream. A second one exists while a
	// broken stream is being replaced, and one more announces a shutdown.
	maxNoticeStreams = 4
	// Flow-control windows limit the unread data that a peer may send, and so
	// the memory that it can occupy.
	streamWindow        = 256 << 10
	maxStreamWindow     = 4 << 20
	connectionWindow    = 1 << 20
	maxConnectionWindow = 8 << 20
)
