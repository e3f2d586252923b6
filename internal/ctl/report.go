package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
)

// stdinName stands for standard input among file names, as does "-".
const stdinName = "/dev/stdin"

// Finding is one fault of a checked file, as printed.
type Finding struct {
	// Field names the place: a field of a manifest, or section and key.
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
	// Hash identifies a valid manifest's content.
	Hash   string    `json:"hash,omitempty"`
	Faults []Finding `json:"faults"`
}

// finish prints reports and returns *InvalidInputError if any has faults.
func finish(w io.Writer, reports []FileReport, asJSON bool) error {
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

// String puts the place first, as compilers do.
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

// readInput reads a file, or standard input, up to limit bytes and one more,
// so that a reader of the result sees that there was too much.
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
