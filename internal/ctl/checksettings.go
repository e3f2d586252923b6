package ctl

import (
	"context"
	"errors"
	"strings"

	"github.com/integrii/flaggy"

	"cyclamenwheel/internal/settings"
)

func checkSettingsCommand() *Command {
	var asJSON bool
	return &Command{
		Name:    "check-settings",
		Summary: "Check settings files of a daemon.",
		Args:    "entry|control|node FILE...",
		Flags: func(sub *flaggy.Subcommand) {
			sub.Bool(&asJSON, "", "json", "Print the result as JSON.")
		},
		Run: func(_ context.Context, streams Streams, args []string) error {
			table, files, err := selectTable("check-settings", args)
			if err != nil {
				return err
			}
			if len(files) == 0 {
				return &UsageError{Detail: "check-settings: name at least one file"}
			}
			reports := make([]FileReport, 0, len(files))
			for _, file := range files {
				reports = append(reports, checkSettings(file, table))
			}
			return printReports(streams.Out, reports, asJSON)
		},
	}
}

func checkSettings(file string, table settings.Table) FileReport {
	report := FileReport{File: file, Faults: []Finding{}}
	_, err := settings.Load(file, table)
	var faults *settings.FaultsError
	if errors.As(err, &faults) {
		for _, f := range faults.Faults {
			report.Faults = append(report.Faults, Finding{
				Field: faultField(f), Reason: string(f.Reason), Detail: f.Detail, Line: f.Line,
			})
		}
	}
	report.Valid = err == nil
	return report
}

// faultField formats section and key; the line number has a field of its own.
func faultField(f settings.Fault) string {
	if f.Section == "" {
		return ""
	}
	return strings.TrimSpace("[" + f.Section + "] " + f.Key)
}
