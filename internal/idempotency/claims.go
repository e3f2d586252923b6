// Package idempotency decides whether a request with an idempotency key may be
// dispatched, so that it runs at most once, however often and through whichever
// entries it arrives. Its input is the claims that entries make before a dispatch
// and the records of the platform's log, folded into the state that every process
// derives from it: the member that owns a key by rendezvous hashing appends the
// claim, and the first claim in log order wins. The request path in
// internal/dispatch calls Begin and Finish, and internal/entry passes on
// folded records and membership changes.
package idempotency

import (
	"context"
	"time"
)

// Claim is an attempt's request for the right to run.
type Claim struct {
	Service string `cbor:"1,keyasint"`
	// Key is the caller's Idempotency-Key.
	Key string `cbor:"2,keyasint"`
	// Fingerprint is a hash of method, path and body. A different request with the
	// same key is refused.
	Fingerprint [16]byte `cbor:"3,keyasint"`
	// Attempt is unique to this arrival of the request.
	Attempt string `cbor:"4,keyasint"`
}

// Decision is the owner's decision on a claim.
type Decision uint8

// Decisions.
const (
	// DecisionRun: the claim is recorded; the claimant dispatches the request once
	// and then calls Finish.
	DecisionRun Decision = iota + 1
	// DecisionReplay: the request has run, and its answer is returned.
	DecisionReplay
	// DecisionFinished: the request has run, but its answer is no longer cached.
	DecisionFinished
	// DecisionUnknown: the request may have run. It is not run again.
	DecisionUnknown
	// DecisionConflict: the key belongs to a different request.
	DecisionConflict
)

// Answer is a complete answer that is cached for replay.
type Answer struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint"`
	Body   []byte              `cbor:"3,keyasint"`
}

// Outcome is the result of a dispatched request.
type Outcome uint8

// Outcomes.
const (
	// OutcomeAnswered: a complete answer was received.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeNotRun: the request provably did not run; the key may be claimed again.
	OutcomeNotRun
	// OutcomeUnknown: the request may have run.
	OutcomeUnknown
)

// Claims is the interface that the request path uses.
type Claims interface {
	// Begin returns once the claim is decided. While another attempt of the same
	// key is running, it waits for that attempt's answer until ctx ends. An error
	// means that nothing was claimed and the request did not run by this attempt.
	Begin(ctx context.Context, c Claim) (Decision, *Answer, error)
	// Finish reports the outcome of a claim that Begin decided as DecisionRun.
	// answer is set for OutcomeAnswered.
	Finish(c Claim, outcome Outcome, answer *Answer)
}

// Limits on what is stored.
const (
	// MaxKeyLen is the maximum length of a caller's key, in bytes.
	MaxKeyLen = 255
	// MaxAnswerBytes bounds a cached answer, and so an owner's memory. A request
	// with a larger answer is remembered as finished only.
	MaxAnswerBytes = 64 << 10
	// Retention is how long a key is remembered after its claim. A request that is
	// repeated later than that counts as a new one.
	Retention = 24 * time.Hour
)
