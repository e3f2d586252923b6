package manifest

import (
	"errors"
	"fmt"
	"strings"
)

// Reason is the machine-readable code of a fault. Values are stable, because
// operators' tools match them.
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

// Fault is one error in a manifest.
type Fault struct {
	// Path is the field, such as pools[2].instances.ids[4]; empty for the whole
	// document.
	Path   string `json:"path,omitempty"`
	Reason Reason `json:"reason"`
	Detail string `json:"detail"`
	// Line and Column count from 1. They are set for errors of Parse only.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
}

// Position is a location in the document. Line and Column count from 1; Column
// counts bytes.
type Position struct{ Line, Column int }

func (p Position) String() string { return fmt.Sprintf("line %d, column %d", p.Line, p.Column) }

// EmptyError reports that there is no document, for example because a build step
// wrote an empty file.
type EmptyError struct{}

func (e *EmptyError) Error() string { return "manifest: empty" }

// TooLargeError reports that the document exceeds MaxBytes. Bytes is the amount
// read, which may be less than the whole document because readers stop early.
type TooLargeError struct{ Bytes int }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("manifest: at least %d bytes, at most %d are allowed", e.Bytes, MaxBytes)
}

// SyntaxError reports that the document is not valid JSON.
type SyntaxError struct {
	Position Position
	Path     string
	Detail   string
}

func (e *SyntaxError) Error() string {
	return fmt.Sprintf("manifest: %s: %s", e.Position, e.Detail)
}

// TrailingDataError reports data after the end of the document, for example
// because two files were concatenated.
type TrailingDataError struct{ Position Position }

func (e *TrailingDataError) Error() string {
	return fmt.Sprintf("manifest: %s: data after the end of the document", e.Position)
}

// UnknownFieldError reports a field that the format does not define. Ignoring it
// would publish something other than the author intended.
type UnknownFieldError struct {
	Position Position
	Path     string
}

func (e *UnknownFieldError) Error() string {
	return fmt.Sprintf("manifest: %s: unknown field %s", e.Position, e.Path)
}

// DuplicateFieldError reports a duplicate field, of which the JSON library would
// silently use the last.
type DuplicateFieldError struct {
	Position Position
	Path     string
}

func (e *DuplicateFieldError) Error() string {
	return fmt.Sprintf("manifest: %s: duplicate field %s", e.Position, e.Path)
}

// TypeError reports a field whose value has the wrong type.
type TypeError struct {
	Position  Position
	Path      string
	Want, Got string
}

func (e *TypeError) Error() string {
	return fmt.Sprintf("manifest: %s: %s: %s", e.Position, e.Path, e.detail())
}

func (e *TypeError) detail() string { return fmt.Sprintf("want %s, got %s", e.Want, e.Got) }

// UnencodableError reports that a manifest holds a value that JSON cannot
// represent, such as an infinite number. This can only happen to a manifest built
// in memory, not to a parsed one.
type UnencodableError struct{ Cause error }

func (e *UnencodableError) Error() string { return "manifest: cannot be encoded: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnencodableError) Unwrap() error { return e.Cause }

// FaultsError lists all faults that Validate found.
type FaultsError struct{ Faults []Fault }

func (e *FaultsError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "manifest: %d faults", len(e.Faults))
	for _, f := range e.Faults {
		fmt.Fprintf(&b, "; %s: %s: %s", f.Path, f.Reason, f.Detail)
	}
	return b.String()
}

// Faults converts any error of this package to a list of faults, for output and
// log records. It returns nil for other errors.
func Faults(err error) []Fault {
	var (
		empty     *EmptyError
		tooLarge  *TooLargeError
		syntax    *SyntaxError
		trailing  *TrailingDataError
		unknown   *UnknownFieldError
		duplicate *DuplicateFieldError
		wrongType *TypeError
		faults    *FaultsError
	)
	switch {
	case errors.As(err, &empty):
		return []Fault{{Reason: ReasonEmpty, Detail: "the document is empty"}}
	case errors.As(err, &tooLarge):
		return []Fault{{Reason: ReasonTooLarge, Detail: tooLarge.Error()}}
	case errors.As(err, &syntax):
		return []Fault{faultAt(syntax.Position, syntax.Path, ReasonSyntax, syntax.Detail)}
	case errors.As(err, &trailing):
		return []Fault{faultAt(trailing.Position, "", ReasonTrailingData, "data after the end of the document")}
	case errors.As(err, &unknown):
		return []Fault{faultAt(unknown.Position, unknown.Path, ReasonUnknownField, "the manifest format does not define this field")}
	case errors.As(err, &duplicate):
		return []Fault{faultAt(duplicate.Position, duplicate.Path, ReasonDuplicateField, "the field occurs more than once")}
	case errors.As(err, &wrongType):
		return []Fault{faultAt(wrongType.Position, wrongType.Path, ReasonWrongType, wrongType.detail())}
	case errors.As(err, &faults):
		return faults.Faults
	}
	return nil
}

func faultAt(p Position, path string, reason Reason, detail string) Fault {
	return Fault{Path: path, Reason: reason, Detail: detail, Line: p.Line, Column: p.Column}
}
