package ctl

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/integrii/flaggy"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/quota"
)

func accountsCommand() *Command {
	var conn connection
	var asJSON bool
	var nodes string
	return &Command{
		Name: "accounts", Summary: "Show what client accounts use of their limits in each pool, their shares, what waits or was refused, and why.",
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
			dumps := fetchNodeDumps(ctx, hc, nodes, sectionDuties, sectionPools, sectionGate)
			pools := mergePools(dumps)
			if err := printMissing(streams.Err, dumps, pools); err != nil {
				return err
			}
			if err := printOldShares(streams.Err, pools); err != nil {
				return err
			}
			rows := accountRows(pools, gateClasses(dumps))
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

// accountRow is the usage of one account in one pool, and what admission control
// decided for it.
type accountRow struct {
	executor.AccountDump
	Pool      string                     `json:"pool"`
	Owner     string                     `json:"owner"`
	Admission *executor.AccountAdmission `json:"admission,omitempty"`
	// Gates are the classes of the account's submissions that nodes hold back.
	Gates []gateClass `json:"gates,omitempty"`
	// hasUsage is set if the pool's owner reported the account's usage.
	hasUsage bool
	windowMs int64
}

// accountRows returns the rows of all pools that have an answering owner, sorted
// by account and pool. Accounts without a limit appear if admission control has
// counted their submissions.
func accountRows(pools []poolView, gates []gateClass) []accountRow {
	rows := []accountRow{}
	for _, p := range pools {
		if p.Dump == nil {
			continue
		}
		admissions := map[string]*executor.AccountAdmission{}
		windowMs := int64(0)
		if a := p.Dump.Admission; a != nil {
			windowMs = a.WindowMs
			for i := range a.Accounts {
				admissions[a.Accounts[i].Account] = &a.Accounts[i]
			}
		}
		for _, a := range p.Dump.Accounts {
			rows = append(rows, accountRow{AccountDump: a, Admission: admissions[a.Account], hasUsage: true})
			delete(admissions, a.Account)
		}
		for name, a := range admissions {
			rows = append(rows, accountRow{AccountDump: executor.AccountDump{State: quota.State{Account: name}}, Admission: a})
		}
		for i := range rows {
			if r := &rows[i]; r.Pool == "" {
				r.Pool, r.Owner, r.windowMs = p.Pool, p.Owner, windowMs
				r.Gates = gatesOf(gates, func(g gateClass) bool { return g.Pool == r.Pool && g.Account == r.Account })
			}
		}
	}
	slices.SortFunc(rows, func(a, b accountRow) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Pool, b.Pool))
	})
	return rows
}

// printOldShares prints a line for each pool that has not received its shares of the
// accounts' limits of late.
func printOldShares(out io.Writer, pools []poolView) error {
	for _, p := range pools {
		if p.Dump == nil || len(p.Dump.Accounts) == 0 || p.Dump.Accounts[0].SharesReportedAgoMs <= oldAfterMs {
			continue
		}
		if _, err := fmt.Fprintf(out, "old: pool %s received its shares of limits %d ms ago\n", p.Pool, p.Dump.Accounts[0].SharesReportedAgoMs); err != nil {
			return outputError(err)
		}
	}
	return nil
}

// printAccounts prints a table. The columns of admission control follow the others
// and only appear if a pool has overload control.
func printAccounts(out io.Writer, rows []accountRow) error {
	admission := slices.ContainsFunc(rows, func(r accountRow) bool { return r.Admission != nil })
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(w, "ACCOUNT\tPOOL\tOWNER\tCORES\tLIMIT\tSHARE\tWAITING\tREFUSED\tTOLD")
	if admission {
		fmt.Fprint(w, "\t"+admissionColumns)
	}
	fmt.Fprintln(w)
	for _, r := range rows {
		fmt.Fprint(w, usageText(r))
		if admission {
			fmt.Fprint(w, "\t", admissionText(r))
		}
		fmt.Fprintln(w)
	}
	return outputError(w.Flush())
}

func usageText(r accountRow) string {
	name := r.Account
	if name == "" {
		name = noAccount
	}
	if !r.hasUsage {
		return fmt.Sprintf("%s\t%s\t%s\t-\tnone\t-\t-\t%d\t-", name, r.Pool, r.Owner, sum(r.Admission.Refused))
	}
	limit := "none"
	if r.Limit.CPUMilli > 0 {
		limit = fmt.Sprintf("%.1f", float64(r.Limit.CPUMilli)/1000)
	}
	share := fmt.Sprintf("%.1f%%", r.SharePercent)
	if r.Paused {
		share = "paused"
	}
	return fmt.Sprintf("%s\t%s\t%s\t%.1f\t%s\t%s\t%d\t%d\t%d ms ago", name, r.Pool, r.Owner,
		float64(r.Used.CPUMilli)/1000, limit, share, r.Waiting, r.Refused, r.SharesReportedAgoMs)
}

// admissionColumns are the titles of what admissionText returns. Rates are per
// second of the recent window.
const admissionColumns = "WEIGHT\tFAIR\tDEMAND\tOFFERED/S\tACCEPTED/S\tREFUSED/S\tAT NODES/S\tREASONS\tWORK\tGATES\tAGE"

func admissionText(r accountRow) string {
	a := r.Admission
	if a == nil {
		return "-" + strings.Repeat("\t-", strings.Count(admissionColumns, "\t"))
	}
	return fmt.Sprintf("%g\t%.1f%%\t%.1f%%\t%s\t%s\t%s\t%s\t%s\t%.1f\t%s\t%s", a.Weight, a.SharePercent, a.DemandPercent,
		rate(a.Recent.Offered, r.windowMs), rate(a.Recent.AdmittedOnTime+a.Recent.AdmittedLate, r.windowMs), rate(sum(a.Recent.Refused), r.windowMs),
		rate(a.Recent.RefusedAtNodes, r.windowMs), reasonsText(a.Recent.Refused), coreSeconds(a.WaitingCoreMs), gatesText(r.Gates), ageText(a.AgeMs))
}
