package idempotency

import "fmt"

// NotRunError says that nothing was claimed and the request did not run by
// this attempt.
type NotRunError struct {
	// Cause is the end of the caller's context or the failure that made
	// waiting on useless.
	Cause error
	// Last is what the owner said last where the context ended.
	Last error
}

func (e *NotRunError) Error() string {
	if e.Last == nil {
		return fmt.Sprintf("not run: %v", e.Cause)
	}
	return fmt.Sprintf("not run: %v, last: %v", e.Cause, e.Last)
}

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Cause }

// KeyError is a key that can't be taken.
type KeyError struct{ Len int }

func (e *KeyError) Error() string {
	return fmt.Sprintf("idempotency key of %d bytes, need 1 to %d", e.Len, MaxKeyLen)
}

// NoOwnerError says that there is no member to own the key.
type NoOwnerError struct{}

func (e *NoOwnerError) Error() string { return "no member owns the key" }

// ChangingOwnerError says that the key's owner is just changing.
type ChangingOwnerError struct{ From, To string }

func (e *ChangingOwnerError) Error() string {
	return fmt.Sprintf("owner of the key is changing from %q to %q", e.From, e.To)
}

// NotOwnerError is the answer of a process that does not own the key, as far
// as it knows.
type NotOwnerError struct{ Self string }

func (e *NotOwnerError) Error() string { return e.Self + " does not own the key" }

// AbandonedError says that the attempt was given up by its asker.
type AbandonedError struct{}

func (e *AbandonedError) Error() string { return "attempt was given up" }

// OverloadedError says that an owner has as much to do or to remember as it
// may.
type OverloadedError struct{ Limit int }

func (e *OverloadedError) Error() string { return fmt.Sprintf("more than %d claims waiting", e.Limit) }

// LogUnavailableError says that the log can't be reached and no witness could
// stand in for it.
type LogUnavailableError struct{ Cause error }

func (e *LogUnavailableError) Error() string {
	return fmt.Sprintf("claim can't be recorded: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *LogUnavailableError) Unwrap() error { return e.Cause }

// NoWitnessError says that no member of another availability zone is there.
type NoWitnessError struct{}

func (e *NoWitnessError) Error() string { return "no member of another zone" }

// UnprovenError says that the owner has not yet read the log up to its own
// takeover, so that it may not grant by witness.
type UnprovenError struct{}

func (e *UnprovenError) Error() string {
	return "owner has not caught up since the last change of members"
}

// KnownKeyError is a witness's refusal: it knows of another attempt of a key.
type KnownKeyError struct{ Owner string }

func (e *KnownKeyError) Error() string {
	return fmt.Sprintf("another attempt of a key of %s is known", e.Owner)
}

// DrainError says what was left when the time for handing over had passed.
type DrainError struct{ Finishes, Claims, Held int }

func (e *DrainError) Error() string {
	return fmt.Sprintf("not handed over: %d finishes, %d claims, %d held", e.Finishes, e.Claims, e.Held)
}
