package ctl

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"strings"
	"sync"

	"github.com/integrii/flaggy"

	"cyclamenwheel/internal/explain"
)

// Sections of a node's dump.
const (
	sectionDuties = "duties"
	sectionPools  = "pools"
	sectionGate   = "gate"
)

// addNodesFlag declares --nodes, which makes a command query nodes on the users'
// platform.
func addNodesFlag(sub *flaggy.Subcommand, into *string) {
	sub.String(into, "", "nodes", "Operator addresses (host:port,...) of nodes on the users' platform, to ask instead.")
}

// fetchNodeDumps requests sections of the dumps of all nodes in parallel. For a
// node that does not answer, Err of its dump is set.
func fetchNodeDumps(ctx context.Context, hc *operatorClient, addrs string, sections ...string) []explain.NodeDump {
	path := "/dump?" + url.Values{"section": sections}.Encode()
	list := strings.Split(addrs, ",")
	dumps := make([]explain.NodeDump, len(list))
	var wg sync.WaitGroup
	for i, addr := range list {
		wg.Go(func() {
			if err := getJSON(ctx, hc, addr, path, &dumps[i]); err != nil {
				dumps[i].Err = err.Error()
			}
			dumps[i].Node = addr
		})
	}
	wg.Wait()
	return dumps
}

// addressesByName splits a list of addresses and maps each to itself, as nodes
// given with --nodes have no other name.
func addressesByName(list string) map[string]string {
	addrs := map[string]string{}
	for _, addr := range strings.Split(list, ",") {
		addrs[addr] = addr
	}
	return addrs
}

// showDuties fetches and prints which node owns each duty, as each node reports
// it.
func showDuties(ctx context.Context, out io.Writer, hc *operatorClient, addrs string, asJSON bool) error {
	dumps := fetchNodeDumps(ctx, hc, addrs, sectionDuties, sectionPools)
	if asJSON {
		return encode(out, dumps)
	}
	return printDuties(out, dumps)
}

// printDuties prints the owner of each duty as each node reports it.
func printDuties(out io.Writer, dumps []explain.NodeDump) error {
	for _, d := range dumps {
		if d.Err != "" {
			if _, err := fmt.Fprintf(out, "%s: %s\n", d.Node, d.Err); err != nil {
				return outputError(err)
			}
			continue
		}
		if _, err := fmt.Fprintf(out, "%s: members read %d ms ago\n", d.Node, d.Duties.MembersAgeMs); err != nil {
			return outputError(err)
		}
		for _, duty := range d.Duties.Duties {
			where := "with " + duty.Owner
			if duty.Here {
				where = fmt.Sprintf("here, epoch %d", duty.Epoch)
			}
			if _, err := fmt.Fprintf(out, "  %-20s %s\n", duty.Duty, where); err != nil {
				return outputError(err)
			}
		}
	}
	return nil
}
