package ctl

import "fmt"

// UsageError says that the command line is wrong.
type UsageError struct{ Detail string }

func (e *UsageError) Error() string { return e.Detail }

// InvalidInputError says that files have faults, which have been printed.
type InvalidInputError struct{ Files, Faults int }

func (e *InvalidInputError) Error() string {
	return fmt.Sprintf("%d faults in %d files", e.Faults, e.Files)
}

// ConflictError says that another operator's change came first.
type ConflictError struct{ Detail string }

func (e *ConflictError) Error() string { return "conflict: " + e.Detail }

// OutputError says that the result could not be written.
type OutputError struct{ Cause error }

func (e *OutputError) Error() string { return fmt.Sprintf("write the result: %v", e.Cause) }

// Unwrap returns the cause.
func (e *OutputError) Unwrap() error { return e.Cause }
