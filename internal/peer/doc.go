// Package peer links the system's own processes over QUIC with mutual TLS. It
// carries two things: calls (a request and its answer) and notices (one way,
// the newest wins). It knows nothing of their contents; the slices own their
// messages.
//
// Each node dials the peers it talks to and accepts the peers that talk to
// it, so there is at most one connection per pair and direction. Who is at the
// other end is taken from the certificate alone, never from an address.
package peer

import "time"

const (
	// alpn separates this protocol and its version from others on QUIC.
	alpn = "cyclamen-peer/1"

	// keepAlivePeriod and idleTimeout find a dead or frozen peer within two
	// seconds: a frozen one sends no acknowledgements, and silence is counted
	// from the first unanswered keepalive. A shorter timeout would take an
	// entry that is merely short of processor time for a dead one.
	// The period is longer than that of the usual heartbeats, so that links in
	// use send few keepalives.
	keepAlivePeriod = 700 * time.Millisecond
	idleTimeout     = 1500 * time.Millisecond
	// handshakeTimeout is quic-go's limit of silence in a handshake; it gives
	// up after twice that in any case. A peer that starts within it is met by
	// the retransmission of the first packet.
	handshakeTimeout = time.Second
	// helloTimeout bounds how long a connection may stay without saying who
	// it is, so that it can't hold memory for nothing.
	helloTimeout = 2 * time.Second

	// requestReadTimeout bounds how long a request may take to arrive once its
	// stream is open. The largest message needs far less at 1 MB/s.
	requestReadTimeout = 20 * time.Second
	// defaultCallTimeout bounds a call whose context has no deadline, at both
	// ends: without it a lost answer would hold its caller for ever.
	defaultCallTimeout = 30 * time.Second
	// closeGrace is how long Close lets calls in flight end.
	closeGrace = 3 * time.Second

	// backoffBase and backoffMax bound the pause between dials. The pause is
	// drawn from the whole range (full jitter): entries that lost the same
	// peer at the same moment don't come back in one burst. The maximum keeps
	// a returning peer from being ignored for longer than the roll-out allows.
	backoffBase = 50 * time.Millisecond
	backoffMax  = time.Second

	// retiredGrace is how long after the last link of a newer boot a message
	// of an older boot is still refused. It is longer than a live process
	// needs to dial again (backoffMax and two handshakeTimeouts).
	retiredGrace = 10 * time.Second
	// retiredKept bounds the remembered boots of one id.
	retiredKept = 8
)

// Limits of messages, in bytes.
const (
	// MaxOrdinary is the limit of a message unless its kind asks for more.
	MaxOrdinary = 64 << 10
	// MaxTransfer is the highest limit a kind may ask for: state handed over.
	MaxTransfer = 16 << 20
	// maxHeader bounds the frame that names the kind.
	maxHeader = 1 << 10
	// maxKind bounds the name of a kind.
	maxKind = 255
	// maxHello bounds a hello.
	maxHello = 4 << 10
	// transferBudget bounds the memory of all requests above MaxOrdinary that
	// are being read at one time, whichever peers send them.
	transferBudget = 4 * MaxTransfer
	// maxDetail bounds the text of a remote error.
	maxDetail = 512
)

// Limits of a connection.
const (
	// maxCallsPerConnection bounds the calls a peer may have running here.
	// More wait at the caller, where their deadlines are known.
	maxCallsPerConnection = 256
	// maxNoticeStreams: notices use one stream; a second one only while a
	// broken one is being replaced, and one announces a shutdown.
	maxNoticeStreams = 4
	// Flow-control windows: what a peer may have in flight towards a reader
	// that doesn't read, which bounds the memory it can take.
	streamWindow        = 256 << 10
	maxStreamWindow     = 4 << 20
	connectionWindow    = 1 << 20
	maxConnectionWindow = 8 << 20
)
