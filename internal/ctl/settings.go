package ctl

import (
	"context"
	"fmt"

	"cyclamenwheel/internal/settings"
)

// settingsTables returns the settings table of each daemon.
var settingsTables = map[string]func() settings.Table{
	"entry":   settings.EntryTable,
	"control": settings.ControlTable,
	"node":    settings.NodeTable,
}

func settingsCommand() *Command {
	return &Command{
		Name:    "settings",
		Summary: "Print the reference of a daemon's settings as an INI file.",
		Args:    "entry|control|node",
		Run: func(_ context.Context, streams Streams, args []string) error {
			table, rest, err := selectTable("settings", args)
			if err != nil {
				return err
			}
			if len(rest) > 0 {
				return &UsageError{Detail: "settings: name one daemon, entry, control or node"}
			}
			if err := table.Reference(streams.Out); err != nil {
				return &OutputError{Cause: err}
			}
			return nil
		},
	}
}

// selectTable returns the table of the daemon named by the first argument, and
// the remaining arguments.
func selectTable(command string, args []string) (settings.Table, []string, error) {
	if len(args) == 0 {
		return settings.Table{}, nil, &UsageError{Detail: command + ": name the daemon, entry, control or node"}
	}
	table, known := settingsTables[args[0]]
	if !known {
		return settings.Table{}, nil, &UsageError{Detail: fmt.Sprintf("%s: %q is none of entry, control and node", command, args[0])}
	}
	return table(), args[1:], nil
}
