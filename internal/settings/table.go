// Package settings reads a daemon's INI settings. One table per daemon lists
// every key with its type, unit, default and range; loading, checking and the
// printed reference all work from that table, so they cannot disagree.
package settings

import (
	"fmt"
	"io"
	"strings"
)

// Kind is the type of a key's value.
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
)

// Key describes one key.
type Key struct {
	Section string
	Name    string
	Kind    Kind
	// Default is written as in a file. A key that is not Required takes it
	// when it is absent.
	Default  string
	Required bool
	// Optional keys have no default: an absent address stays invalid, and the
	// settings' user derives it from another key.
	Optional bool
	// Unit is for the reference; Kind decides how a value is parsed.
	Unit string
	// Min and Max bound a number, in nanoseconds for a duration and in bytes
	// for a size. Max 0 means no upper bound.
	Min, Max int64
	Doc      string
}

// Check is a rule over several keys. It runs only where every key is valid by
// itself.
type Check func(Values) []Fault

// Table is every key that one daemon knows.
type Table struct {
	// Daemon names the program in the reference.
	Daemon string
	Keys   []Key
	Checks []Check
}

func (t Table) find(section, name string) (Key, bool) {
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

// Reference writes every key with its meaning, unit, range and default as an
// INI file. Optional keys are commented out with their default.
func (t Table) Reference(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "; Settings of %s.\n", t.Daemon)
	section := ""
	for _, k := range t.Keys {
		if k.Section != section {
			section = k.Section
			fmt.Fprintf(&b, "\n[%s]\n", section)
		}
		k.describe(&b)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func (k Key) describe(b *strings.Builder) {
	fmt.Fprintf(b, "; %s\n; Type: %s", k.Doc, k.Kind)
	if k.Unit != "" {
		fmt.Fprintf(b, ", unit: %s", k.Unit)
	}
	if bounds := k.bounds(); bounds != "" {
		fmt.Fprintf(b, ", range: %s", bounds)
	}
	if k.Required {
		fmt.Fprintf(b, ", required.\n%s =\n", k.Name)
		return
	}
	fmt.Fprintf(b, ".\n;%s = %s\n", k.Name, k.Default)
}

// bounds renders the range as it would be written in a file.
func (k Key) bounds() string {
	if k.Kind == KindRatio {
		return "0 to 1"
	}
	if k.Min == 0 && k.Max == 0 {
		return ""
	}
	if k.Max == 0 {
		return "at least " + k.render(k.Min)
	}
	return k.render(k.Min) + " to " + k.render(k.Max)
}
