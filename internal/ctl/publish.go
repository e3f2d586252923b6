package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os/user"
	"time"

	"github.com/integrii/flaggy"

	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/membership"
	"cyclamenwheel/internal/node"
)

const (
	defaultPublishTimeout = 30 * time.Second
	// inForcePollInterval is the pause between polls of the entries; it bounds
	// the error of the printed roll-out time.
	inForcePollInterval = 20 * time.Millisecond
)

// Published is the result of publish.
type Published struct {
	Generation uint64 `json:"generation"`
	Offset     uint64 `json:"offset"`
	// InForceMillis is the time from just before the append until every live
	// entry reported the generation; 0 without --wait.
	InForceMillis int64 `json:"in_force_ms"`
	Entries       int   `json:"entries"`
}

// RejectedError reports that the manifest was rejected when its record was
// applied.
type RejectedError struct{ Reason, Detail string }

func (e *RejectedError) Error() string { return "manifest refused: " + e.Reason + ": " + e.Detail }

// WaitingError lists the entries that did not report a generation in time.
type WaitingError struct {
	Generation uint64
	Missing    []string
}

func (e *WaitingError) Error() string {
	return fmt.Sprintf("generation %d is accepted, and not yet reported by %v", e.Generation, e.Missing)
}

// Unwrap makes the error count as a timeout for ExitCode.
func (e *WaitingError) Unwrap() error { return context.DeadlineExceeded }

type publisher struct {
	conn     connection
	wait     bool
	asJSON   bool
	basedOn  int
	operator string
	timeout  time.Duration
}

func publishCommand() *Command {
	p := &publisher{basedOn: -1, timeout: defaultPublishTimeout, operator: userName()}
	return &Command{
		Name: "publish", Summary: "Publish a manifest.", Args: "FILE",
		Flags: func(sub *flaggy.Subcommand) {
			p.conn.addFlags(sub)
			sub.Bool(&p.wait, "w", "wait", "Wait until it is in force on every live entry.")
			sub.Int(&p.basedOn, "", "based-on", "Generation that the change was made for; the one in force now by default.")
			sub.String(&p.operator, "", "operator", "Name shown to those who lose a race.")
			sub.Duration(&p.timeout, "t", "timeout", "How long to try.")
			sub.Bool(&p.asJSON, "", "json", "Print the result as JSON.")
		},
		Run: p.run,
	}
}

func userName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func (p *publisher) run(ctx context.Context, streams Streams, args []string) error {
	if len(args) != 1 {
		return &UsageError{Detail: "publish: name one file"}
	}
	report := checkManifest(streams, args[0])
	if !report.Valid {
		return printReports(streams.Out, []FileReport{report}, p.asJSON)
	}
	raw, err := readInput(streams.In, args[0], manifest.MaxBytes)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	result, err := p.publish(ctx, raw)
	if err != nil {
		return err
	}
	return p.print(streams.Out, result)
}

// publish appends the manifest and waits for the verdict. If the response to
// the append is lost, the same record is appended again; it is applied only
// once.
func (p *publisher) publish(ctx context.Context, raw []byte) (Published, error) {
	log := p.conn.platform()
	f := newFollower(log)
	if err := f.catchUp(ctx); err != nil {
		return Published{}, err
	}
	baseGeneration := f.state().Manifest.Generation
	if p.basedOn >= 0 {
		baseGeneration = uint64(p.basedOn)
	}
	rec, err := fleetlog.NewRecord(fleetlog.KindPublish, p.operator, 0,
		manifest.Publish{BasedOn: baseGeneration, Raw: raw, Operator: p.operator})
	if err != nil {
		return Published{}, err
	}
	start := time.Now()
	if uncertain, err := fleetlog.AppendWithRetry(ctx, log, rec); err != nil && !uncertain {
		return Published{}, err
	}
	applied, err := f.awaitVerdict(ctx, rec.ID)
	if err != nil {
		return Published{}, err
	}
	if err := verdictError(applied, f.state()); err != nil {
		return Published{}, err
	}
	out := Published{Generation: f.state().Manifest.Generation, Offset: applied.Offset}
	if !p.wait {
		return out, nil
	}
	out.Entries, err = p.awaitInForce(ctx, f, out.Generation)
	out.InForceMillis = time.Since(start).Milliseconds()
	return out, err
}

func verdictError(a fleetlog.Applied, st *fleetlog.State) error {
	switch {
	case a.Verdict.Accepted:
		return nil
	case a.Verdict.Reason == manifest.ReasonConflict:
		return &ConflictError{Detail: fmt.Sprintf(
			"generation %d is in force, published by %s: rebase on it and publish with --based-on %d",
			st.Manifest.Generation, st.Manifest.Operator, st.Manifest.Generation)}
	}
	return &RejectedError{Reason: string(a.Verdict.Reason), Detail: a.Verdict.Detail}
}

// awaitInForce polls the entries among the members until all report the
// generation. An entry that joins later has applied it before becoming ready.
func (p *publisher) awaitInForce(ctx context.Context, f *follower, generation uint64) (int, error) {
	hc, err := p.conn.httpClient()
	if err != nil {
		return 0, err
	}
	entries := f.state().Members.WithRole(membership.RoleEntry)
	for {
		var missing []string
		for _, m := range entries {
			var st struct {
				Detail node.Status `json:"detail"`
			}
			if err := getJSON(ctx, hc, m.OperatorAddr, "/status", &st); err != nil || st.Detail.Generation < generation {
				missing = append(missing, m.ID)
			}
		}
		if len(missing) == 0 {
			return len(entries), nil
		}
		select {
		case <-ctx.Done():
			return len(entries), &WaitingError{Generation: generation, Missing: missing}
		case <-time.After(inForcePollInterval):
		}
		// Stop waiting for entries that have left.
		if _, _, err := f.read(ctx, 0); err == nil {
			entries = f.state().Members.WithRole(membership.RoleEntry)
		}
	}
}

func (p *publisher) print(out io.Writer, r Published) error {
	if p.asJSON {
		return encode(out, r)
	}
	_, err := fmt.Fprintf(out, "generation %d accepted at offset %d\n", r.Generation, r.Offset)
	if err == nil && p.wait {
		_, err = fmt.Fprintf(out, "in force on %d entries after %d ms\n", r.Entries, r.InForceMillis)
	}
	return outputError(err)
}

func encode(out io.Writer, v any) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return outputError(enc.Encode(v))
}

func outputError(err error) error {
	if err == nil {
		return nil
	}
	return &OutputError{Cause: err}
}
