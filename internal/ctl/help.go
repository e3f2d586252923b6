package ctl

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
)

func helpCommand() *Command {
	return &Command{
		Name:    "help",
		Summary: "Print the commands; 'COMMAND --help' prints a command's flags.",
		Run: func(_ context.Context, streams Streams, _ []string) error {
			return writeHelp(streams.Out)
		},
	}
}

func writeHelp(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "Usage: %s COMMAND [flags] [arguments]\n\n", programName)
	for _, c := range Commands() {
		fmt.Fprintf(table, "  %s %s\t%s\n", c.Name, c.Args, c.Summary)
	}
	fmt.Fprintf(table, "\nExit codes: %d ok, %d failure, %d usage, %d invalid input, %d conflict, %d platform unavailable, %d timeout.\n",
		ExitOK, ExitFailure, ExitUsage, ExitInvalidInput, ExitConflict, ExitPlatformUnavailable, ExitTimeout)
	if err := table.Flush(); err != nil {
		return &OutputError{Cause: err}
	}
	return nil
}
