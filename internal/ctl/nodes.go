package ctl

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"

	"github.com/integrii/flaggy"

	"cyclamenwheel/internal/explain"
)

// nodesFlag declares --nodes, with which a command asks nodes on the users' platform.
func nodesFlag(sub *flaggy.Subcommand, into *string) {
	sub.String(into, "", "nodes", "Operator addresses (host:port,...) of nodes on the users' platform, to ask instead.")
}

// askNodes asks all nodes side by side. One that does not answer is told of.
func askNodes(ctx context.Context, hc *operatorsClient, addrs string) []explain.NodeDump {
	list := strings.Split(addrs, ",")
	dumps := make([]explain.NodeDump, len(list))
	var wg sync.WaitGroup
	for i, addr := range list {
		wg.Go(func() {
			if err := ask(ctx, hc, addr, "/dump?section=duties&section=pools", &dumps[i]); err != nil {
				dumps[i].Err = err.Error()
			}
			dumps[i].Node = addr
		})
	}
	wg.Wait()
	return dumps
}

// addressesOf returns addresses by themselves as names.
func addressesOf(list string) map[string]string {
	addrs := map[string]string{}
	for _, addr := range strings.Split(list, ",") {
		addrs[addr] = addr
	}
	return addrs
}

// showNodes prints what nodes know of the duties.
func showNodes(ctx context.Context, out io.Writer, hc *operatorsClient, addrs string, asJSON bool) error {
	dumps := askNodes(ctx, hc, addrs)
	if asJSON {
		return encode(out, dumps)
	}
	return printNodes(out, dumps)
}

// printNodes prints who has which duty, as each node knows it.
func printNodes(out io.Writer, dumps []explain.NodeDump) error {
	for _, d := range dumps {
		if d.Err != "" {
			if _, err := fmt.Fprintf(out, "%s: %s\n", d.Node, d.Err); err != nil {
				return output(err)
			}
			continue
		}
		if _, err := fmt.Fprintf(out, "%s: members read %d ms ago\n", d.Node, d.Duties.MembersAgeMs); err != nil {
			return output(err)
		}
		for _, duty := range d.Duties.Duties {
			where := "with " + duty.Owner
			if duty.Here {
				where = fmt.Sprintf("here, epoch %d", duty.Epoch)
			}
			if _, err := fmt.Fprintf(out, "  %-20s %s\n", duty.Duty, where); err != nil {
				return output(err)
			}
		}
	}
	return nil
}
