// Package settings parses and checks the INI settings file of a daemon. A table
// per daemon declares every key with its type, unit, default and range; loading,
// checking and the printed reference all use that table, so they cannot disagree.
// The daemons call it at startup, and cyclamenctl to check files before a
// rollout and to print the reference.
package settings

import (
	"fmt"
	"io"
	"strings"
)

// Kind is the type of a key's value, under the name that the reference prints.
type Kind string

// Kinds of values.
const (
	KindString   Kind = "string"
	KindName     Kind = "name"
	KindInt      Kind = "integer"
	KindDuration Kind = "duration"
	KindBytes    Kind = "bytes"
	KindHostPort Kind = "host:port"
	KindList     Kind = "list"
	KindSeeds    Kind = "list of id@host:port"
	KindPath     Kind = "file path"
	KindURL      Kind = "URL"
	KindBool     Kind = "boolean"
	KindRatio    Kind = "ratio"
	KindNumber   Kind = "number"
	KindChoice   Kind = "choice"
)

// Key declares one key.
type Key struct {
	Section string
	Name    string
	Kind    Kind
	// Default is the value of an absent key that is not Required, as written in
	// a file.
	Default  string
	Required bool
	// Optional marks an address without a default: if the key is absent its
	// value is the zero AddrPort, and the code that loads the settings either
	// derives the address from another key or does without it.
	Optional bool
	// Unit is only printed in the reference; Kind determines how a value is
	// parsed.
	Unit string
	// Min and Max bound a number: nanoseconds for a duration, bytes for a size.
	// A Max of 0 means no upper bound.
	Min, Max int64
	// Choices are the values that a choice may have.
	Choices []string
	Doc     string
}

// Check is a rule over several keys. It runs only if every key is valid by
// itself.
type Check func(Values) []Fault

// Table declares the settings of one daemon.
type Table struct {
	// Daemon is the name of the program, as printed in the reference.
	Daemon string
	Keys   []Key
	Checks []Check
}

func (t Table) findKey(section, name string) (Key, bool) {
	for _, k := range t.Keys {
		if k.Section == section && k.Name == name {
			return k, true
		}
	}
	return Key{}, false
}

func (t Table) hasSection(section string) bool {
	for _, k := range t.Keys {
		if k.Section == section {
			return true
		}
	}
	return false
}

// Reference writes an INI file that documents every key with its description,
// unit, range and default. Keys that are not required are commented out.
func (t Table) Reference(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "; Settings of %s.\n", t.Daemon)
	section := ""
	for _, k := range t.Keys {
		if k.Section != section {
			section = k.Section
			fmt.Fprintf(&b, "\n[%s]\n", section)
		}
		k.writeReference(&b)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func (k Key) writeReference(b *strings.Builder) {
	fmt.Fprintf(b, "; %s\n; Type: %s", k.Doc, k.Kind)
	if k.Unit != "" {
		fmt.Fprintf(b, ", unit: %s", k.Unit)
	}
	if valueRange := k.rangeText(); valueRange != "" {
		fmt.Fprintf(b, ", range: %s", valueRange)
	}
	if k.Required {
		fmt.Fprintf(b, ", required.\n%s =\n", k.Name)
		return
	}
	fmt.Fprintf(b, ".\n;%s = %s\n", k.Name, k.Default)
}

// rangeText returns the allowed range in the notation of a settings file; empty
// if there is none.
func (k Key) rangeText() string {
	switch k.Kind {
	case KindRatio:
		return "0 to 1"
	case KindChoice:
		return strings.Join(k.Choices, ", ")
	}
	if k.Min == 0 && k.Max == 0 {
		return ""
	}
	if k.Max == 0 {
		return "at least " + k.format(k.Min)
	}
	return k.format(k.Min) + " to " + k.format(k.Max)
}
