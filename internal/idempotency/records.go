package idempotency

import (
	"crypto/sha256"
	"encoding/binary"

	"cyclamenwheel/internal/fold"
)

// KeyHash stands for a service and a caller's key. It is cryptographic: with a
// weaker hash one caller could choose a key that collides with another's and
// have that one's charge refused.
type KeyHash [16]byte

// AttemptHash stands for an attempt. Attempts are compared within one key
// only, so eight bytes are enough.
type AttemptHash [8]byte

// HashKey returns the hash under which a key is kept. The length of the
// service's name keeps "ab"+"c" and "a"+"bc" apart.
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

// MaxBatch bounds the claims or finishes of one record, which bounds the work
// of one step of the fold. At 25 records a second it is 12,800 claims a second
// for one owner, far beyond what the fleet's slots can run.
const MaxBatch = 512

// ClaimRecord is one claim in the log.
type ClaimRecord struct {
	Key         KeyHash     `cbor:"1,keyasint"`
	Fingerprint [16]byte    `cbor:"2,keyasint"`
	Attempt     AttemptHash `cbor:"3,keyasint"`
	// Held marks a claim that was granted on the word of the owner and a
	// witness while the log could not be reached: its request may have run by
	// the time this record is folded.
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

// FinishRecord tells what became of a claim.
type FinishRecord struct {
	Key     KeyHash     `cbor:"1,keyasint"`
	Attempt AttemptHash `cbor:"2,keyasint"`
	Outcome Outcome     `cbor:"3,keyasint"`
}

// FinishBatch is a group commit of finishes. An empty one changes nothing; an
// owner writes it to learn that it has read the log up to there.
type FinishBatch struct {
	Owner     string         `cbor:"1,keyasint"`
	OwnerBoot string         `cbor:"2,keyasint"`
	Finishes  []FinishRecord `cbor:"3,keyasint"`
}

// Reasons of this part of the fold.
const (
	// ReasonNotMember marks claims whose owner is not a member under that boot
	// id at that offset: it was frozen or cut off while its place was taken.
	ReasonNotMember fold.Reason = "idempotency_owner_not_member"
)

// ClaimResult is the verdict on one claim.
type ClaimResult struct {
	// Won tells that the claim's attempt holds the key.
	Won bool
	// Rejected tells that the claim does not count, as its author is not a
	// member.
	Rejected bool
	// Uncertain tells that the key's history was lost, so it may have run.
	Uncertain bool
	// Holder is what the fold knows of the key where the claim lost to it.
	Holder KeyState
}

// FinishResult is the verdict on one finish.
type FinishResult struct {
	// Applied tells that the finish's attempt held the key.
	Applied bool
	// Released tells that the key may be claimed again.
	Released bool
}

// Status is what the fold knows of a key.
type Status uint8

// Statuses of a key.
const (
	// StatusClaimed: an attempt holds it and has not finished.
	StatusClaimed Status = iota + 1
	// StatusFinished: the request has run.
	StatusFinished
	// StatusUnknown: it may have run.
	StatusUnknown
	// statusReleased: its attempt is proved not to have run, so the key is
	// free for any other one. Kept so that a late repetition of the claim,
	// such as a witness's, doesn't block the key again.
	statusReleased
)

// KeyState is what the fold knows of one key.
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
