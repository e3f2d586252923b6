package ctl

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/integrii/flaggy"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/explain"
)

func accountsCommand() *Command {
	var conn connection
	var asJSON bool
	var nodes string
	return &Command{
		Name: "accounts", Summary: "Show what client accounts use of their limits in each pool, their shares, and what waits or was refused.",
		Args: "[ACCOUNT]",
		Flags: func(sub *flaggy.Subcommand) {
			conn.addFlags(sub)
			addNodesFlag(sub, &nodes)
			sub.Bool(&asJSON, "", "json", "Print as JSON.")
		},
		Run: func(ctx context.Context, streams Streams, args []string) error {
			if nodes == "" || len(args) > 1 {
				return &UsageError{Detail: "accounts: name nodes with --nodes, and one account at most"}
			}
			hc, err := conn.httpClient()
			if err != nil {
				return err
			}
			rows := accountRows(fetchNodeDumps(ctx, hc, nodes))
			if len(args) == 1 {
				rows = slices.DeleteFunc(rows, func(r accountRow) bool { return r.Account != args[0] })
			}
			if asJSON {
				return encode(streams.Out, rows)
			}
			return printAccounts(streams.Out, rows)
		},
	}
}

// accountRow is the usage of one account in one pool.
type accountRow struct {
	executor.AccountDump
	Pool  string `json:"pool"`
	Owner string `json:"owner"`
}

// accountRows returns the rows of all pools whose owners answered, sorted by
// account and pool.
func accountRows(dumps []explain.NodeDump) []accountRow {
	rows := []accountRow{}
	for _, d := range dumps {
		for _, p := range d.Pools {
			for _, a := range p.Accounts {
				rows = append(rows, accountRow{AccountDump: a, Pool: p.Summary.Pool, Owner: d.Node})
			}
		}
	}
	slices.SortFunc(rows, func(a, b accountRow) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Pool, b.Pool))
	})
	return rows
}

func printAccounts(out io.Writer, rows []accountRow) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ACCOUNT\tPOOL\tOWNER\tCORES\tLIMIT\tSHARE\tWAITING\tREFUSED\tTOLD")
	for _, r := range rows {
		limit := "none"
		if r.Limit.CPUMilli > 0 {
			limit = fmt.Sprintf("%.1f", float64(r.Limit.CPUMilli)/1000)
		}
		share := fmt.Sprintf("%.1f%%", r.SharePercent)
		if r.Paused {
			share = "paused"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%.1f\t%s\t%s\t%d\t%d\t%d ms ago\n", r.Account, r.Pool, r.Owner,
			float64(r.Used.CPUMilli)/1000, limit, share, r.Waiting, r.Refused, r.SharesReportedAgoMs)
	}
	return outputError(w.Flush())
}
