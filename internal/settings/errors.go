package settings

import (
	"fmt"
	"strings"
)

// Reason is the machine-readable cause of a fault.
type Reason string

// Reasons of a fault.
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

// Fault is one thing wrong with a file.
type Fault struct {
	// Section and Key are empty where the fault is not about one key.
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	// Line is 0 where the fault has no place in the file, such as a missing
	// key.
	Line   int    `json:"line,omitempty"`
	Reason Reason `json:"reason"`
	Detail string `json:"detail"`
}

// Place names where the fault is, for people.
func (f Fault) Place() string {
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

// FaultsError lists everything wrong with a file, so that one round of
// corrections is enough.
type FaultsError struct {
	File   string
	Faults []Fault
}

func (e *FaultsError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "settings %s: %d faults", e.File, len(e.Faults))
	for _, f := range e.Faults {
		fmt.Fprintf(&b, "; %s: %s: %s", f.Place(), f.Reason, f.Detail)
	}
	return b.String()
}

// TooLargeError says that a file is no settings file: it exceeds Limit bytes.
type TooLargeError struct{ Limit int }

func (e *TooLargeError) Error() string { return fmt.Sprintf("more than %d bytes", e.Limit) }

// UndeclaredKeyError is a mistake in the program: it asks for a key that its
// table lacks, or by another type. It is raised by panic.
type UndeclaredKeyError struct {
	Section, Key string
	Wanted       string
}

func (e *UndeclaredKeyError) Error() string {
	return fmt.Sprintf("settings: [%s] %s is not declared as %s", e.Section, e.Key, e.Wanted)
}
