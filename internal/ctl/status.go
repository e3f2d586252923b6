package ctl

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/integrii/flaggy"

	"cyclamenwheel/internal/membership"
	"cyclamenwheel/internal/node"
	"cyclamenwheel/internal/operator"
)

// processStatus is the /status response of one process.
type processStatus struct {
	Process   operator.Process   `json:"process"`
	Readiness operator.Readiness `json:"readiness"`
	Detail    node.Status        `json:"detail"`
	Err       string             `json:"error,omitempty"`
}

// members returns the member processes as reported by the process named by
// --process, or else as folded from the log.
func (c *connection) members(ctx context.Context, hc *operatorClient) ([]node.MemberStatus, error) {
	if c.process != "" {
		var st processStatus
		if err := getJSON(ctx, hc, c.process, "/status", &st); err != nil {
			return nil, err
		}
		return st.Detail.Members, nil
	}
	f := newFollower(c.platform())
	if err := f.catchUp(ctx); err != nil {
		return nil, err
	}
	var out []node.MemberStatus
	for _, role := range []membership.Role{membership.RoleEntry, membership.RoleControl} {
		for _, m := range f.state().Members.WithRole(role) {
			out = append(out, node.MemberStatus{ID: m.ID, Role: m.Role, Zone: m.Zone, OperatorAddr: m.OperatorAddr})
		}
	}
	return out, nil
}

func statusCommand() *Command {
	var conn connection
	var asJSON bool
	var nodes string
	return &Command{
		Name: "status", Summary: "Show every process: generation in force, offset, readiness.",
		Flags: func(sub *flaggy.Subcommand) {
			conn.addFlags(sub)
			addNodesFlag(sub, &nodes)
			sub.Bool(&asJSON, "", "json", "Print as JSON.")
		},
		Run: func(ctx context.Context, streams Streams, _ []string) error {
			hc, err := conn.httpClient()
			if err != nil {
				return err
			}
			if nodes != "" {
				return showDuties(ctx, streams.Out, hc, nodes, asJSON)
			}
			members, err := conn.members(ctx, hc)
			if err != nil {
				return err
			}
			all := fetchStatuses(ctx, hc, members)
			if asJSON {
				return encode(streams.Out, all)
			}
			return printStatus(streams, members, all)
		},
	}
}

func fetchStatuses(ctx context.Context, hc *operatorClient, members []node.MemberStatus) []processStatus {
	all := make([]processStatus, len(members))
	for i, m := range members {
		if err := getJSON(ctx, hc, m.OperatorAddr, "/status", &all[i]); err != nil {
			all[i] = processStatus{Process: operator.Process{ID: m.ID, Zone: m.Zone}, Err: err.Error()}
		}
	}
	return all
}

func printStatus(streams Streams, members []node.MemberStatus, all []processStatus) error {
	w := tabwriter.NewWriter(streams.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "PROCESS\tROLE\tZONE\tGENERATION\tOFFSET\tPLANNER\tREADY")
	for i, st := range all {
		m := members[i]
		if st.Err != "" {
			fmt.Fprintf(w, "%s\t%s\t%s\t-\t-\t-\tunreachable\n", m.ID, m.Role, m.Zone)
			continue
		}
		planner := ""
		if st.Detail.Lease.Holder == m.ID && !st.Detail.Lease.Released {
			planner = fmt.Sprintf("epoch %d", st.Detail.Lease.Epoch)
		}
		ready := "yes"
		if !st.Readiness.Ready {
			ready = fmt.Sprintf("no: %v", st.Readiness.Reasons)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\t%s\n",
			m.ID, m.Role, m.Zone, st.Detail.Generation, st.Detail.Offset, planner, ready)
	}
	return outputError(w.Flush())
}
