package ctl

import (
	"context"

	"github.com/integrii/flaggy"

	"cyclamenwheel/internal/manifest"
)

// reasonUnreadable is the reason reported for a file that could not be read.
const reasonUnreadable = "unreadable_file"

func validateCommand() *Command {
	var asJSON bool
	return &Command{
		Name:    "validate",
		Summary: "Check manifests without publishing them; '-' reads standard input.",
		Args:    "FILE...",
		Flags: func(sub *flaggy.Subcommand) {
			sub.Bool(&asJSON, "", "json", "Print the result as JSON.")
		},
		Run: func(_ context.Context, streams Streams, args []string) error {
			if len(args) == 0 {
				return &UsageError{Detail: "validate: name at least one file"}
			}
			reports := make([]FileReport, 0, len(args))
			for _, file := range args {
				reports = append(reports, checkManifest(streams, file))
			}
			return printReports(streams.Out, reports, asJSON)
		},
	}
}

func checkManifest(streams Streams, file string) FileReport {
	report := FileReport{File: file, Faults: []Finding{}}
	data, err := readInput(streams.In, file, manifest.MaxBytes)
	if err != nil {
		report.Faults = append(report.Faults, Finding{Reason: reasonUnreadable, Detail: err.Error()})
		return report
	}
	m, err := manifest.ParseAndValidate(data)
	if err == nil {
		report.Hash, err = m.Hash()
	}
	for _, f := range manifest.Faults(err) {
		report.Faults = append(report.Faults, Finding{
			Field: f.Path, Reason: string(f.Reason), Detail: f.Detail, Line: f.Line, Column: f.Column,
		})
	}
	report.Valid = err == nil
	return report
}
