package manifest

import (
	"errors"
	"fmt"
	"strings"
)

// Reason is the machine-readable cause of a fault. Values are stable.
type Reason string

// Reasons of faults found while parsing.
const (
	ReasonEmpty          Reason = "empty"
	ReasonTooLarge       Reason = "too_large"
	ReasonSyntax         Reason = "syntax"
	ReasonTrailingData   Reason = "trailing_data"
	ReasonUnknownField   Reason = "unknown_field"
	ReasonDuplicateField Reason = "duplicate_field"
	ReasonWrongType      Reason = "wrong_type"
)

// Reasons of faults found by Validate.
const (
	ReasonUnsupportedVersion  Reason = "unsupported_version"
	ReasonMalformedName       Reason = "malformed_name"
	ReasonDuplicateName       Reason = "duplicate_name"
	ReasonNoPools             Reason = "no_pools"
	ReasonSelectionAmbiguous  Reason = "ids_and_count"
	ReasonSelectionMissing    Reason = "neither_ids_nor_count"
	ReasonSelectorWithIDs     Reason = "selector_with_ids"
	ReasonInstanceTwiceInPool Reason = "instance_twice_in_pool"
	ReasonInstanceInTwoPools  Reason = "instance_in_two_pools"
	ReasonOutOfRange          Reason = "out_of_range"
	ReasonUnknownPool         Reason = "unknown_pool"
	ReasonUnknownTeam         Reason = "unknown_team"
	ReasonBudgetUnmeetable    Reason = "budget_unmeetable"
	ReasonQuotaBelowTask      Reason = "quota_below_task"
	ReasonUnknownPriority     Reason = "unknown_priority"
	ReasonUnknownDomain       Reason = "unknown_domain"
	ReasonUnknownMethod       Reason = "unknown_method"
	ReasonMalformedPath       Reason = "malformed_path"
	ReasonNoClasses           Reason = "no_classes"
)

// Fault is one thing wrong with a manifest.
type Fault struct {
	// Path names the field, such as pools[2].instances.ids[4]; empty for the
	// document as a whole.
	Path   string `json:"path,omitempty"`
	Reason Reason `json:"reason"`
	Detail string `json:"detail"`
	// Line and Column count from 1 and are set by Parse only.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
}

// Position is a place in the document; line and column count from 1, columns
// in bytes.
type Position struct{ Line, Column int }

func (p Position) String() string { return fmt.Sprintf("line %d, column %d", p.Line, p.Column) }

// EmptyError says that there is no document at all, as after a build that
// wrote nothing.
type EmptyError struct{}

func (e *EmptyError) Error() string { return "manifest: empty" }

// TooLargeError says that the document exceeds MaxBytes. Bytes is how much of
// it was read: readers stop early.
type TooLargeError struct{ Bytes int }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("manifest: at least %d bytes, at most %d are allowed", e.Bytes, MaxBytes)
}

// SyntaxError says that the document is not JSON.
type SyntaxError struct {
	Position Position
	Path     string
	Detail   string
}

func (e *SyntaxError) Error() string {
	return fmt.Sprintf("manifest: %s: %s", e.Position, e.Detail)
}

// TrailingDataError says that something follows the document, as after two
// files were joined.
type TrailingDataError struct{ Position Position }

func (e *TrailingDataError) Error() string {
	return fmt.Sprintf("manifest: %s: data after the end of the document", e.Position)
}

// UnknownFieldError names a field that the format lacks. Ignoring it would
// publish something other than what its author meant.
type UnknownFieldError struct {
	Position Position
	Path     string
}

func (e *UnknownFieldError) Error() string {
	return fmt.Sprintf("manifest: %s: unknown field %s", e.Position, e.Path)
}

// DuplicateFieldError names a field given twice; the last one would win
// silently.
type DuplicateFieldError struct {
	Position Position
	Path     string
}

func (e *DuplicateFieldError) Error() string {
	return fmt.Sprintf("manifest: %s: field %s is given twice", e.Position, e.Path)
}

// TypeError names a field whose value has the wrong type.
type TypeError struct {
	Position  Position
	Path      string
	Want, Got string
}

func (e *TypeError) Error() string {
	return fmt.Sprintf("manifest: %s: %s: %s", e.Position, e.Path, e.detail())
}

func (e *TypeError) detail() string { return fmt.Sprintf("want %s, got %s", e.Want, e.Got) }

// UnencodableError says that a manifest made in memory holds a value that JSON
// lacks, such as an infinite number. A parsed one never does.
type UnencodableError struct{ Cause error }

func (e *UnencodableError) Error() string { return "manifest: cannot be encoded: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnencodableError) Unwrap() error { return e.Cause }

// FaultsError lists everything that Validate found.
type FaultsError struct{ Faults []Fault }

func (e *FaultsError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "manifest: %d faults", len(e.Faults))
	for _, f := range e.Faults {
		fmt.Fprintf(&b, "; %s: %s: %s", f.Path, f.Reason, f.Detail)
	}
	return b.String()
}

// Faults turns any error of this package into one list, for printing and for
// records. It is nil for errors of others.
func Faults(err error) []Fault {
	var (
		empty     *EmptyError
		large     *TooLargeError
		syntax    *SyntaxError
		trailing  *TrailingDataError
		unknown   *UnknownFieldError
		duplicate *DuplicateFieldError
		kind      *TypeError
		faults    *FaultsError
	)
	switch {
	case errors.As(err, &empty):
		return []Fault{{Reason: ReasonEmpty, Detail: "there is no document"}}
	case errors.As(err, &large):
		return []Fault{{Reason: ReasonTooLarge, Detail: large.Error()}}
	case errors.As(err, &syntax):
		return []Fault{located(syntax.Position, syntax.Path, ReasonSyntax, syntax.Detail)}
	case errors.As(err, &trailing):
		return []Fault{located(trailing.Position, "", ReasonTrailingData, "data after the end of the document")}
	case errors.As(err, &unknown):
		return []Fault{located(unknown.Position, unknown.Path, ReasonUnknownField, "the format has no such field")}
	case errors.As(err, &duplicate):
		return []Fault{located(duplicate.Position, duplicate.Path, ReasonDuplicateField, "the field is given twice")}
	case errors.As(err, &kind):
		return []Fault{located(kind.Position, kind.Path, ReasonWrongType, kind.detail())}
	case errors.As(err, &faults):
		return faults.Faults
	}
	return nil
}

func located(p Position, path string, reason Reason, detail string) Fault {
	return Fault{Path: path, Reason: reason, Detail: detail, Line: p.Line, Column: p.Column}
}
