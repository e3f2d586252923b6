package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
)

// stdinName is the file name for standard input; "-" is replaced by it.
const stdinName = "/dev/stdin"

// Finding is one fault in a checked file, in its printed form.
type Finding struct {
	// Field is the path of a manifest field, or section and key of a setting.
	Field  string `json:"field,omitempty"`
	Reason string `json:"reason"`
	Detail string `json:"detail"`
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
}

// FileReport is the result of checking one file.
type FileReport struct {
	File  string `json:"file"`
	Valid bool   `json:"valid"`
	// Hash identifies the content of a valid manifest.
	Hash   string    `json:"hash,omitempty"`
	Faults []Finding `json:"faults"`
}

// printReports prints reports and returns *InvalidInputError if any file is
// invalid.
func printReports(w io.Writer, reports []FileReport, asJSON bool) error {
	write := writeText
	if asJSON {
		write = writeJSON
	}
	if err := write(w, reports); err != nil {
		return &OutputError{Cause: err}
	}
	var invalid InvalidInputError
	for _, r := range reports {
		if !r.Valid {
			invalid.Files++
			invalid.Faults += len(r.Faults)
		}
	}
	if invalid.Files > 0 {
		return &invalid
	}
	return nil
}

func writeJSON(w io.Writer, reports []FileReport) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(reports)
}

func writeText(w io.Writer, reports []FileReport) error {
	for _, r := range reports {
		if r.Valid {
			if _, err := fmt.Fprintf(w, "%s: valid\n", r.File); err != nil {
				return err
			}
		}
		for _, f := range r.Faults {
			if _, err := fmt.Fprintf(w, "%s: %s\n", r.File, f); err != nil {
				return err
			}
		}
	}
	return nil
}

// String formats the finding like a compiler message, with the position first.
func (f Finding) String() string {
	text := f.Reason + ": " + f.Detail
	if f.Field != "" {
		text = f.Field + ": " + text
	}
	switch {
	case f.Line > 0 && f.Column > 0:
		return fmt.Sprintf("%d:%d: %s", f.Line, f.Column, text)
	case f.Line > 0:
		return fmt.Sprintf("%d: %s", f.Line, text)
	}
	return text
}

// readInput reads at most limit+1 bytes from a file or standard input. A result
// longer than limit shows that the input is too large.
func readInput(stdin io.Reader, name string, limit int64) ([]byte, error) {
	source := stdin
	if name != stdinName {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		source = file
	}
	return io.ReadAll(io.LimitReader(source, limit+1))
}
