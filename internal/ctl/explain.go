package ctl

import (
	"context"
	"fmt"
	"io"

	"github.com/integrii/flaggy"

	"cyclamenwheel/internal/explain"
	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/membership"
	"cyclamenwheel/internal/planner"
)

func explainCommand() *Command {
	var conn connection
	var asJSON bool
	var nodes string
	return &Command{
		Name: "explain", Summary: "Tell why something is as it is, what it waits for, and what would unblock it.",
		Args: "instance|pool|job|manifest [NAME]",
		Flags: func(sub *flaggy.Subcommand) {
			conn.flags(sub)
			nodesFlag(sub, &nodes)
			sub.Bool(&asJSON, "", "json", "Print as JSON.")
		},
		Run: func(ctx context.Context, streams Streams, args []string) error {
			if len(args) == 0 || len(args) > 2 || len(args) == 1 && args[0] != string(explain.KindManifest) {
				return &UsageError{Detail: "explain: name a kind and what to explain"}
			}
			hc, err := conn.httpClient()
			if err != nil {
				return err
			}
			name := ""
			if len(args) == 2 {
				name = args[1]
			}
			e, err := explanation(ctx, hc, &conn, nodes, explain.Kind(args[0]), name)
			if err != nil {
				return err
			}
			if asJSON {
				return encode(streams.Out, e)
			}
			return printExplanation(streams.Out, e)
		},
	}
}

// explanation asks the nodes if they are named, and the log and the planner otherwise.
func explanation(ctx context.Context, hc *operatorsClient, conn *connection, nodes string, kind explain.Kind, name string) (explain.Explanation, error) {
	if nodes != "" {
		return explain.OfNodes(askNodes(ctx, hc, nodes), kind, name)
	}
	st, err := conn.fold(ctx, hc)
	if err != nil {
		return explain.Explanation{}, err
	}
	return explain.Of(st, plannerView(ctx, hc, st), kind, name)
}

// fold returns the folded state: from the log, or from the named process.
func (c *connection) fold(ctx context.Context, hc *operatorsClient) (*fleetlog.State, error) {
	if c.process != "" {
		encoded, err := askBytes(ctx, hc, c.process, "/fold")
		if err != nil {
			return nil, err
		}
		return fleetlog.DecodeState(encoded)
	}
	f := newFollower(c.platform())
	if err := f.toHead(ctx); err != nil {
		return nil, err
	}
	return f.state(), nil
}

// plannerView asks the holder of the planner lease for its last decisions; the
// zero View where it does not answer.
func plannerView(ctx context.Context, hc *operatorsClient, st *fleetlog.State) planner.View {
	var dump struct {
		Planner planner.View `json:"planner"`
	}
	for _, m := range st.Members.WithRole(membership.RoleControl) {
		if m.ID == st.Lease.Holder && ask(ctx, hc, m.OperatorAddr, "/dump?section=planner", &dump) == nil {
			return dump.Planner
		}
	}
	return planner.View{}
}

func printExplanation(out io.Writer, e explain.Explanation) error {
	_, err := fmt.Fprintf(out, "%s %s\n", e.Kind, e.Name)
	for _, part := range []struct {
		title string
		lines []string
	}{{"is", e.Is}, {"why", e.Why}, {"waits for", e.WaitsFor}, {"to unblock", e.Unblock}} {
		for _, line := range part.lines {
			if err == nil {
				_, err = fmt.Fprintf(out, "  %-11s %s\n", part.title, line)
			}
		}
	}
	return output(err)
}
