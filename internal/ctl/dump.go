package ctl

import (
	"context"
	"encoding/json"

	"github.com/integrii/flaggy"
)

func dumpCommand() *Command {
	var conn connection
	var section, nodes string
	return &Command{
		Name: "dump", Summary: "Print the state dump of every process, or of --process alone, as JSON.",
		Flags: func(sub *flaggy.Subcommand) {
			conn.flags(sub)
			nodesFlag(sub, &nodes)
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
			if nodes != "" {
				return encode(streams.Out, dumpAll(ctx, hc, path, addressesOf(nodes)))
			}
			members, err := conn.members(ctx, hc)
			if err != nil {
				return err
			}
			addrs := make(map[string]string, len(members))
			for _, m := range members {
				addrs[m.ID] = m.OperatorAddr
			}
			return encode(streams.Out, dumpAll(ctx, hc, path, addrs))
		},
	}
}

// dumpAll asks each process, by name and address, for its dump.
func dumpAll(ctx context.Context, hc *operatorsClient, path string, addrs map[string]string) map[string]any {
	all := make(map[string]any, len(addrs))
	for name, addr := range addrs {
		var one json.RawMessage
		if err := ask(ctx, hc, addr, path, &one); err != nil {
			all[name] = map[string]string{"error": err.Error()}
			continue
		}
		all[name] = one
	}
	return all
}
