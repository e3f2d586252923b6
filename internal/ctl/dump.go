package ctl

import (
	"context"
	"encoding/json"

	"github.com/integrii/flaggy"
)

func dumpCommand() *Command {
	var conn connection
	var section string
	return &Command{
		Name: "dump", Summary: "Print the state dump of every process, or of --process alone, as JSON.",
		Flags: func(sub *flaggy.Subcommand) {
			conn.flags(sub)
			sub.String(&section, "", "section", "Only this section.")
		},
		Run: func(ctx context.Context, streams Streams, _ []string) error {
			hc, err := conn.httpClient()
			if err != nil {
				return err
			}
			path := "/dump"
			if section != "" {
				path += "?section=" + section
			}
			if conn.process != "" {
				var one json.RawMessage
				if err := ask(ctx, hc, conn.process, path, &one); err != nil {
					return err
				}
				return encode(streams.Out, one)
			}
			members, err := conn.members(ctx, hc)
			if err != nil {
				return err
			}
			all := make(map[string]any, len(members))
			for _, m := range members {
				var one json.RawMessage
				if err := ask(ctx, hc, m.OperatorAddr, path, &one); err != nil {
					all[m.ID] = map[string]string{"error": err.Error()}
					continue
				}
				all[m.ID] = one
			}
			return encode(streams.Out, all)
		},
	}
}
