package idempotency

import "fmt"

// NotRunError means that nothing was claimed and the request did not run by this
// attempt.
type NotRunError struct {
	// Cause is the end of the caller's context, or the error that made retrying
	// pointless.
	Cause error
	// Last is the owner's last error if the context ended.
	Last error
}

func (e *NotRunError) Error() string {
	if e.Last == nil {
		return fmt.Sprintf("not run: %v", e.Cause)
	}
	return fmt.Sprintf("not run: %v, last error: %v", e.Cause, e.Last)
}

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Cause }

// KeyError means that the key has an invalid length.
type KeyError struct{ Len int }

func (e *KeyError) Error() string {
	return fmt.Sprintf("idempotency key has %d bytes, want 1 to %d", e.Len, MaxKeyLen)
}

// NoOwnerError means that there is no member to own the key.
type NoOwnerError struct{}

func (e *NoOwnerError) Error() string { return "no member owns the key" }

// ChangingOwnerError means that the ownership of the key is being transferred.
type ChangingOwnerError struct{ From, To string }

func (e *ChangingOwnerError) Error() string {
	return fmt.Sprintf("owner of the key is changing from %q to %q", e.From, e.To)
}

// NotOwnerError means that the process does not own the key in its current view.
type NotOwnerError struct{ Self string }

func (e *NotOwnerError) Error() string { return e.Self + " does not own the key" }

// AbandonedError means that the claimant has cancelled the attempt.
type AbandonedError struct{}

func (e *AbandonedError) Error() string { return "attempt was cancelled by its claimant" }

// OverloadedError means that a limit on pending, waiting or held claims is
// reached.
type OverloadedError struct{ Limit int }

func (e *OverloadedError) Error() string {
	return fmt.Sprintf("limit of %d pending claims reached", e.Limit)
}

// LogUnavailableError means that the log is unavailable and no witness could hold
// the claim instead.
type LogUnavailableError struct{ Cause error }

func (e *LogUnavailableError) Error() string {
	return fmt.Sprintf("claim can't be recorded: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *LogUnavailableError) Unwrap() error { return e.Cause }

// NoWitnessError means that there is no member in another availability zone.
type NoWitnessError struct{}

func (e *NoWitnessError) Error() string { return "no member in another availability zone" }

// UnprovenError means that the owner has not yet read the log up to the change
// that made it the owner, so that it must not grant claims through a witness.
type UnprovenError struct{}

func (e *UnprovenError) Error() string {
	return "owner has not caught up with the log since the last membership change"
}

// KnownKeyError means that a witness refused a claim because it knows another
// attempt of the key.
type KnownKeyError struct{ Owner string }

func (e *KnownKeyError) Error() string {
	return fmt.Sprintf("witness knows another attempt of a key owned by %s", e.Owner)
}

// DrainError reports what had not been handed over when Drain's context ended.
type DrainError struct{ Finishes, Claims, Held int }

func (e *DrainError) Error() string {
	return fmt.Sprintf("not handed over: %d outcomes, %d claims, %d held claims", e.Finishes, e.Claims, e.Held)
}
