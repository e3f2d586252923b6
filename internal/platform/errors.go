package platform

import "fmt"

// UnavailableError reports that the platform did not execute the call, or that a read failed.
// The call had no effect.
type UnavailableError struct {
	Op    string
	Cause error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform %s: unavailable: %v", e.Op, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// OutcomeUnknownError reports that the call may or may not have taken effect, because there
// was no usable response.
type OutcomeUnknownError struct {
	Op    string
	Cause error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("platform %s: outcome unknown: %v", e.Op, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// TrimmedError reports that the requested record is no longer retained.
type TrimmedError struct {
	From  uint64
	First uint64
}

func (e *TrimmedError) Error() string {
	return fmt.Sprintf("platform log: offset %d has been trimmed; the oldest retained offset is %d", e.From, e.First)
}

// RejectedError reports that the platform rejected the call as invalid. A retry would be
// rejected too.
type RejectedError struct {
	Op     string
	Status int
	Detail string
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("platform %s: rejected with status %d: %s", e.Op, e.Status, e.Detail)
}
