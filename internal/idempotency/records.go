package idempotency

import (
	"crypto/sha256"
	"encoding/binary"

	"cyclamenwheel/internal/fold"
)

// KeyHash identifies a service and a caller's key. The hash is cryptographic: with
// a weaker one, a caller could choose a key that collides with another caller's
// and have that caller's request refused.
type KeyHash [16]byte

// AttemptHash identifies an attempt. Attempts are compared within one key only, so
// eight bytes are enough.
type AttemptHash [8]byte

// HashKey returns the hash of a service and a key. It includes the length of the
// service name, so that "ab"+"c" and "a"+"bc" differ.
func HashKey(service, key string) KeyHash {
	h := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(service)))
	h.Write(length[:])
	h.Write([]byte(service))
	h.Write([]byte(key))
	return KeyHash(h.Sum(nil)[:len(KeyHash{})])
}

// HashAttempt returns the hash of an attempt.
func HashAttempt(attempt string) AttemptHash {
	sum := sha256.Sum256([]byte(attempt))
	return AttemptHash(sum[:len(AttemptHash{})])
}

// Kinds of records in the log.
const (
	KindClaims   = "idem.claims"
	KindFinishes = "idem.finishes"
)

// MaxBatch bounds the claims or finishes in one record, and so the time to fold
// it. At 25 records per second this allows one owner 12,800 claims per second, far
// more than the fleet's slots can run.
const MaxBatch = 512

// ClaimRecord is one claim in the log.
type ClaimRecord struct {
	Key         KeyHash     `cbor:"1,keyasint"`
	Fingerprint [16]byte    `cbor:"2,keyasint"`
	Attempt     AttemptHash `cbor:"3,keyasint"`
	// Held marks a claim that was granted through a witness while the log was
	// unavailable: its request may have run before this record is folded.
	Held bool `cbor:"4,keyasint,omitempty"`
}

func (c Claim) record() ClaimRecord {
	return ClaimRecord{Key: HashKey(c.Service, c.Key), Fingerprint: c.Fingerprint, Attempt: HashAttempt(c.Attempt)}
}

// ClaimBatch is a group commit of claims.
type ClaimBatch struct {
	Owner     string        `cbor:"1,keyasint"`
	OwnerBoot string        `cbor:"2,keyasint"`
	Claims    []ClaimRecord `cbor:"3,keyasint"`
}

// FinishRecord is the outcome of a claim.
type FinishRecord struct {
	Key     KeyHash     `cbor:"1,keyasint"`
	Attempt AttemptHash `cbor:"2,keyasint"`
	Outcome Outcome     `cbor:"3,keyasint"`
}

// FinishBatch is a group commit of finishes. An empty batch changes nothing; its
// owner writes it to detect that it has read the log up to there.
type FinishBatch struct {
	Owner     string         `cbor:"1,keyasint"`
	OwnerBoot string         `cbor:"2,keyasint"`
	Finishes  []FinishRecord `cbor:"3,keyasint"`
}

// Reasons for rejecting a batch.
const (
	// ReasonNotMember marks claims whose owner is not a member with that boot ID at
	// that offset: it was paused or partitioned while another owner replaced it.
	ReasonNotMember fold.Reason = "idempotency_owner_not_member"
)

// ClaimResult is the result of folding one claim.
type ClaimResult struct {
	// Won means that the claim's attempt holds the key.
	Won bool
	// Rejected means that the claim was ignored because its author is not a member.
	Rejected bool
	// Uncertain means that records of the key may be lost, so that the request may
	// have run.
	Uncertain bool
	// Holder is the state of the key if another claim holds it.
	Holder KeyState
}

// FinishResult is the result of folding one finish.
type FinishResult struct {
	// Applied means that the finish's attempt held the key.
	Applied bool
	// Released means that the key may be claimed again.
	Released bool
}

// Status is the state of a key in the fold.
type Status uint8

// Statuses of a key.
const (
	// StatusClaimed: an attempt holds the key and has not finished.
	StatusClaimed Status = iota + 1
	// StatusFinished: the request has run.
	StatusFinished
	// StatusUnknown: the request may have run.
	StatusUnknown
	// statusReleased: the attempt provably did not run, so the key is free for any
	// other attempt. The row is kept so that a late copy of the claim, such as a
	// witness's, does not claim the key again.
	statusReleased
)

// KeyState is the state of one key in the fold.
type KeyState struct {
	Fingerprint [16]byte
	Attempt     AttemptHash
	// Owner is the author of the claim.
	Owner string
	// Offset and TimeMillis are those of the claim's record.
	Offset     uint64
	TimeMillis int64
	Status     Status
}
