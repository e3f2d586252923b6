package ctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/integrii/flaggy"

	"cyclamenwheel/internal/explain"
	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/membership"
	"cyclamenwheel/internal/planner"
)

func explainCommand() *Command {
	var conn connection
	var asJSON bool
	var nodes, logs string
	return &Command{
		Name: "explain", Summary: "Tell why something is as it is, what it waits for, and what would unblock it.",
		Args: "instance|pool|job|manifest [NAME]",
		Flags: func(sub *flaggy.Subcommand) {
			conn.addFlags(sub)
			addNodesFlag(sub, &nodes)
			sub.String(&logs, "", "logs", "Log files (FILE,...; - for standard input) of nodes, to explain the refusals of a job from.")
			sub.Bool(&asJSON, "", "json", "Print as JSON.")
		},
		Run: func(ctx context.Context, streams Streams, args []string) error {
			if len(args) == 0 || len(args) > 2 || len(args) == 1 && args[0] != string(explain.KindManifest) {
				return &UsageError{Detail: "explain: name a kind and what to explain"}
			}
			name := ""
			if len(args) == 2 {
				name = args[1]
			}
			kind := explain.Kind(args[0])
			if logs != "" && (kind != explain.KindJob || nodes != "") {
				return &UsageError{Detail: "explain: --logs takes a job, and no --nodes"}
			}
			var e explain.Explanation
			var err error
			if logs != "" {
				e, err = explainFromLogs(streams.In, logs, name)
			} else {
				e, err = fetchExplanation(ctx, &conn, nodes, kind, name)
			}
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

// fetchExplanation explains an object from the dumps of nodes if --nodes is
// set, and from the log and the planner's view otherwise.
func fetchExplanation(ctx context.Context, conn *connection, nodes string, kind explain.Kind, name string) (explain.Explanation, error) {
	hc, err := conn.httpClient()
	if err != nil {
		return explain.Explanation{}, err
	}
	if nodes != "" {
		return explain.FromNodes(fetchNodeDumps(ctx, hc, nodes, sectionDuties, sectionPools), kind, name)
	}
	st, err := conn.fleetState(ctx, hc)
	if err != nil {
		return explain.Explanation{}, err
	}
	return explain.FromFleet(st, plannerView(ctx, hc, st), kind, name)
}

// explainFromLogs explains a job's refusals from log files.
func explainFromLogs(stdin io.Reader, names, job string) (explain.Explanation, error) {
	var logs []io.Reader
	for _, name := range strings.Split(names, ",") {
		if name == "-" || name == stdinName {
			logs = append(logs, stdin)
			continue
		}
		file, err := os.Open(name)
		if err != nil {
			return explain.Explanation{}, &explain.LogError{Cause: err}
		}
		defer file.Close()
		logs = append(logs, file)
	}
	return explain.FromLogs(logs, job)
}

// fleetState returns the folded state, from the process named by --process or
// else from the log.
func (c *connection) fleetState(ctx context.Context, hc *operatorClient) (*fleetlog.State, error) {
	if c.process != "" {
		encoded, err := getBytes(ctx, hc, c.process, "/fold")
		if err != nil {
			return nil, err
		}
		return fleetlog.DecodeState(encoded)
	}
	f := newFollower(c.platform())
	if err := f.catchUp(ctx); err != nil {
		return nil, err
	}
	return f.state(), nil
}

// plannerView requests the last decisions from the holder of the planner lease.
// It returns the zero View if the holder does not answer.
func plannerView(ctx context.Context, hc *operatorClient, st *fleetlog.State) planner.View {
	var dump struct {
		Planner planner.View `json:"planner"`
	}
	for _, m := range st.Members.WithRole(membership.RoleControl) {
		if m.ID == st.Lease.Holder && getJSON(ctx, hc, m.OperatorAddr, "/dump?section=planner", &dump) == nil {
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
	return outputError(err)
}
