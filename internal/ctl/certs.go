package ctl

import (
	"context"
	"fmt"

	"github.com/integrii/flaggy"

	"cyclamenwheel/internal/certs"
)

func certsCommand() *Command {
	var dir, deployment string
	return &Command{
		Name:    "certs",
		Summary: "Issue certificates of a trial deployment, with a CA made at the first call; run again to renew.",
		Args:    "ROLE/ID[@IP,IP]... (roles: entry, control, operator)",
		Flags: func(sub *flaggy.Subcommand) {
			sub.String(&dir, "", "dir", "Directory for the files.")
			sub.String(&deployment, "", "deployment", "Name of the deployment.")
		},
		Run: func(_ context.Context, streams Streams, args []string) error {
			if dir == "" || deployment == "" {
				return &UsageError{Detail: "certs: --dir and --deployment are required"}
			}
			if err := certs.Create(dir, deployment, args...); err != nil {
				return err
			}
			if _, err := fmt.Fprintf(streams.Out, "%s: CA and %d certificates\n", dir, len(args)); err != nil {
				return &OutputError{Cause: err}
			}
			return nil
		},
	}
}
