package ctl

import (
	"context"
	"fmt"
	"io"

	"cyclamenwheel/internal/version"
)

func versionCommand() *Command {
	return &Command{
		Name:    "version",
		Summary: "Print the version.",
		Run: func(_ context.Context, streams Streams, _ []string) error {
			return writeVersion(streams.Out)
		},
	}
}

func writeVersion(w io.Writer) error {
	if _, err := fmt.Fprintln(w, programName, version.Version); err != nil {
		return &OutputError{Cause: err}
	}
	return nil
}
