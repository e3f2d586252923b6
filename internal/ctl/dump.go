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
			conn.addFlags(sub)
			addNodesFlag(sub, &nodes)
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
				var dump json.RawMessage
				if err := getJSON(ctx, hc, conn.process, path, &dump); err != nil {
					return err
				}
				return encode(streams.Out, dump)
			}
			if nodes != "" {
				return encode(streams.Out, fetchDumps(ctx, hc, path, addressesByName(nodes)))
			}
			members, err := conn.members(ctx, hc)
			if err != nil {
				return err
			}
			addrs := make(map[string]string, len(members))
			for _, m := range members {
				addrs[m.ID] = m.OperatorAddr
			}
			return encode(streams.Out, fetchDumps(ctx, hc, path, addrs))
		},
	}
}

// fetchDumps requests the dump of each process; addrs maps names to addresses.
// For a process that does not answer, the result holds the error.
func fetchDumps(ctx context.Context, hc *operatorClient, path string, addrs map[string]string) map[string]any {
	all := make(map[string]any, len(addrs))
	for name, addr := range addrs {
		var dump json.RawMessage
		if err := getJSON(ctx, hc, addr, path, &dump); err != nil {
			all[name] = map[string]string{"error": err.Error()}
			continue
		}
		all[name] = dump
	}
	return all
}
