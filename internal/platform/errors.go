package platform

import "fmt"

// UnavailableError says that the platform did not take the call: nothing
// happened.
type UnavailableError struct {
	Op    string
	Cause error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform %s: unavailable: %v", e.Op, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// OutcomeUnknownError says that the call may or may not have taken effect: the
// answer was lost.
type OutcomeUnknownError struct {
	Op    string
	Cause error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("platform %s: outcome unknown: %v", e.Op, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// TrimmedError says that the record asked for is no longer kept.
type TrimmedError struct {
	From  uint64
	First uint64
}

func (e *TrimmedError) Error() string {
	return fmt.Sprintf("platform log: offset %d is trimmed, oldest is %d", e.From, e.First)
}

// RejectedError says that the platform refused the call as wrong; repeating it
// is of no use.
type RejectedError struct {
	Op     string
	Status int
	Detail string
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("platform %s: rejected with %d: %s", e.Op, e.Status, e.Detail)
}
