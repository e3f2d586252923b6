package ctl

import "fmt"

// UsageError reports an invalid command line.
type UsageError struct{ Detail string }

func (e *UsageError) Error() string { return e.Detail }

// InvalidInputError reports that files have faults; the faults have already
// been printed.
type InvalidInputError struct{ Files, Faults int }

func (e *InvalidInputError) Error() string {
	return fmt.Sprintf("%d faults in %d files", e.Faults, e.Files)
}

// ConflictError reports that another operator's change was accepted first.
type ConflictError struct{ Detail string }

func (e *ConflictError) Error() string { return "conflict: " + e.Detail }

// OutputError reports that the result could not be written.
type OutputError struct{ Cause error }

func (e *OutputError) Error() string { return fmt.Sprintf("write the result: %v", e.Cause) }

func (e *OutputError) Unwrap() error { return e.Cause }
