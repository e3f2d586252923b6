// Package idempotency keeps the promise that a non-idempotent request with a
// key runs at most once, whichever entries receive it and however often.
//
// A key has one owner among the entries, by rendezvous hash over the members
// in the fold. The owner journals a claim in the platform's log before the
// request is dispatched; the first claim of a key in log order wins.
package idempotency

import (
	"context"
	"time"
)

// Claim asks for the right to run a request.
type Claim struct {
	Service string `cbor:"1,keyasint"`
	// Key is the caller's Idempotency-Key.
	Key string `cbor:"2,keyasint"`
	// Fingerprint is a hash of method, path and body: the same key with
	// another request is refused.
	Fingerprint [16]byte `cbor:"3,keyasint"`
	// Attempt is unique to this arrival of the request.
	Attempt string `cbor:"4,keyasint"`
}

// Decision is the owner's answer to a claim.
type Decision uint8

// Decisions.
const (
	// DecisionRun: the claim is journalled; the asker dispatches once and then
	// calls Finish.
	DecisionRun Decision = iota + 1
	// DecisionReplay: it has run; Answer is what it answered.
	DecisionReplay
	// DecisionFinished: it has run, but its answer is no longer at hand.
	DecisionFinished
	// DecisionUnknown: it may have run. It is not run again.
	DecisionUnknown
	// DecisionConflict: the key belongs to another request.
	DecisionConflict
)

// Answer is a complete answer kept for replay.
type Answer struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint"`
	Body   []byte              `cbor:"3,keyasint"`
}

// Outcome is what became of a dispatched request.
type Outcome uint8

// Outcomes.
const (
	// OutcomeAnswered: a complete answer came back.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeNotRun: it is proved that the request did not run; the key may be
	// claimed again.
	OutcomeNotRun
	// OutcomeUnknown: it may have run.
	OutcomeUnknown
)

// Claims is what the traffic path needs of this package.
type Claims interface {
	// Begin returns once the claim is decided. While another attempt of the
	// same key is running it waits for that one's answer, until ctx ends. An
	// error means that nothing was claimed: the request did not run by this
	// attempt.
	Begin(ctx context.Context, c Claim) (Decision, *Answer, error)
	// Finish reports the outcome of a claim that Begin answered with
	// DecisionRun. answer is set for OutcomeAnswered.
	Finish(c Claim, outcome Outcome, answer *Answer)
}

// Limits of what is kept.
const (
	// MaxKeyLen bounds a caller's key, in bytes.
	MaxKeyLen = 255
	// MaxAnswerBytes bounds an answer kept for replay; a larger one is
	// remembered as finished only. It bounds an owner's memory.
	MaxAnswerBytes = 64 << 10
	// Retention is how long a key is remembered after its claim. A caller that
	// repeats a request later than that is taken as a new one.
	Retention = 24 * time.Hour
)
