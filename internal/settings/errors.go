package settings

import (
	"fmt"
	"strings"
)

// Reason is the machine-readable code of a fault.
type Reason string

// Reasons of faults. Operators' tools match them.
const (
	ReasonUnreadable     Reason = "unreadable_file"
	ReasonSyntax         Reason = "syntax"
	ReasonUnknownSection Reason = "unknown_section"
	ReasonUnknownKey     Reason = "unknown_key"
	ReasonDuplicateKey   Reason = "duplicate_key"
	ReasonMissing        Reason = "missing"
	ReasonType           Reason = "wrong_type"
	ReasonUnit           Reason = "wrong_unit"
	ReasonRange          Reason = "out_of_range"
	ReasonInconsistent   Reason = "inconsistent"
)

// Fault is one error in a settings file.
type Fault struct {
	// Section and Key are empty if the fault does not concern a single key.
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	// Line is 0 if the fault has no line in the file, such as a missing key.
	Line   int    `json:"line,omitempty"`
	Reason Reason `json:"reason"`
	Detail string `json:"detail"`
}

// Location describes the location of the fault in a message.
func (f Fault) Location() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "line %d", f.Line)
	}
	if f.Section != "" {
		if b.Len() > 0 {
			b.WriteString(" ")
		}
		fmt.Fprintf(&b, "[%s]", f.Section)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, " %s", f.Key)
	}
	return strings.TrimSpace(b.String())
}

// FaultsError lists all faults of a file, so that they can be corrected in one
// pass.
type FaultsError struct {
	File   string
	Faults []Fault
}

func (e *FaultsError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "settings %s: %d faults", e.File, len(e.Faults))
	for _, f := range e.Faults {
		fmt.Fprintf(&b, "; %s: %s: %s", f.Location(), f.Reason, f.Detail)
	}
	return b.String()
}

// TooLargeError reports a file of more than Limit bytes, which cannot be a
// settings file.
type TooLargeError struct{ Limit int }

func (e *TooLargeError) Error() string { return fmt.Sprintf("more than %d bytes", e.Limit) }

// UndeclaredKeyError reports a programming error: the program reads a key that
// its table does not declare, or declares with another type. It is the value of
// a panic.
type UndeclaredKeyError struct {
	Section, Key string
	Wanted       string
}

func (e *UndeclaredKeyError) Error() string {
	return fmt.Sprintf("settings: [%s] %s is not declared as %s", e.Section, e.Key, e.Wanted)
}
