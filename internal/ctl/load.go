package ctl

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/integrii/flaggy"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/explain"
)

func loadCommand() *Command {
	var conn connection
	var asJSON bool
	var nodes string
	return &Command{
		Name: "load", Summary: "Show what pools are offered, accept and refuse at each priority, and what waits.",
		Flags: func(sub *flaggy.Subcommand) {
			conn.addFlags(sub)
			addNodesFlag(sub, &nodes)
			sub.Bool(&asJSON, "", "json", "Print as JSON.")
		},
		Run: func(ctx context.Context, streams Streams, args []string) error {
			if nodes == "" || len(args) > 0 {
				return &UsageError{Detail: "load: name nodes with --nodes, and nothing else"}
			}
			hc, err := conn.httpClient()
			if err != nil {
				return err
			}
			dumps := fetchNodeDumps(ctx, hc, nodes, sectionDuties, sectionPools, sectionGate)
			pools := mergePools(dumps)
			if asJSON {
				return encode(streams.Out, loadReport(dumps, pools))
			}
			if err := printLoad(streams.Out, pools, gateClasses(dumps)); err != nil {
				return err
			}
			return printMissing(streams.Out, dumps, pools)
		},
	}
}

// loadJSON is the output of the command load as JSON.
type loadJSON struct {
	Pools []poolLoad `json:"pools"`
	// Gates are the classes of submissions that nodes hold back.
	Gates []gateClass `json:"gates,omitempty"`
	// Missing are the nodes that did not answer, with their errors.
	Missing map[string]string `json:"missing,omitempty"`
}

// poolLoad is the load of one pool. Admission is nil if no answering node owns it.
type poolLoad struct {
	poolView
	Admission *executor.AdmissionDump `json:"admission"`
}

func loadReport(dumps []explain.NodeDump, pools []poolView) loadJSON {
	out := loadJSON{Pools: []poolLoad{}, Missing: map[string]string{}, Gates: gatesOf(gateClasses(dumps), func(gateClass) bool { return true })}
	for _, p := range pools {
		l := poolLoad{poolView: p}
		if p.Dump != nil {
			l.Admission = p.Dump.Admission
		}
		out.Pools = append(out.Pools, l)
	}
	for _, d := range dumps {
		if d.Err != "" {
			out.Missing[d.Node] = d.Err
		}
	}
	return out
}

// printLoad prints a row for each pool and priority. Rates are per second of the
// recent window.
func printLoad(out io.Writer, pools []poolView, gates []gateClass) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "POOL\tOWNER\tEPOCH\tCORES\tPRIORITY\tOFFERED/S\tON TIME/S\tLATE/S\tREFUSED/S\tAT NODES/S\tREASONS\tWAIT\tWORK\tGATES\tAGE")
	for _, p := range pools {
		if p.Dump == nil {
			fmt.Fprintf(w, "%s\tmissing\n", p.Pool)
			continue
		}
		prefix := fmt.Sprintf("%s\t%s\t%d\t%.1f of %.1f", p.Pool, p.Owner, p.Dump.Epoch,
			float64(p.Dump.Summary.RunningCPUMilli)/1000, float64(p.Dump.Summary.CapacityMilli)/1000)
		if a := p.Dump.Admission; a == nil || !a.Enabled {
			fmt.Fprintf(w, "%s\toverload control is off\n", prefix)
			continue
		}
		printPoolLoad(w, prefix, p.Dump.Admission, gatesOf(gates, func(g gateClass) bool { return g.Pool == p.Pool }))
	}
	return outputError(w.Flush())
}

func printPoolLoad(w io.Writer, prefix string, a *executor.AdmissionDump, gates []gateClass) {
	if len(a.Priorities) == 0 {
		fmt.Fprintf(w, "%s\tnothing offered\n", prefix)
	}
	for _, p := range a.Priorities {
		held := gatesOf(gates, func(g gateClass) bool { return g.Priority == p.Priority })
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.1f\t%s\t%s\n", prefix, p.Priority, rate(p.Recent.Offered, a.WindowMs),
			rate(p.Recent.AdmittedOnTime, a.WindowMs), rate(p.Recent.AdmittedLate, a.WindowMs), rate(sum(p.Recent.Refused), a.WindowMs),
			rate(p.Recent.RefusedAtNodes, a.WindowMs), reasonsText(p.Recent.Refused), waitText(p), coreSeconds(p.WaitingCoreMs), gatesText(held), ageText(a.AgeMs))
	}
}

// waitText returns the predicted wait and marks it if the prediction is old.
func waitText(p executor.PriorityAdmission) string {
	text := fmt.Sprintf("%d ms", p.WaitMs)
	if p.WaitAgeMs > oldAfterMs {
		text += fmt.Sprintf(" (%s)", ageText(p.WaitAgeMs))
	}
	return text
}
