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
	// inForcePoll is how often processes are asked; it bounds the error of the
	// roll-out time printed.
	inForcePoll = 20 * time.Millisecond
)

// Published is the result of publish.
type Published struct {
	Generation uint64 `json:"generation"`
	Offset     uint64 `json:"offset"`
	// InForceMillis is the time from before the append until every live entry
	// reported the generation; 0 without --wait.
	InForceMillis int64 `json:"in_force_ms"`
	Entries       int   `json:"entries"`
}

// RejectedError says that the fold refused a manifest.
type RejectedError struct{ Reason, Detail string }

func (e *RejectedError) Error() string { return "manifest refused: " + e.Reason + ": " + e.Detail }

// WaitingError says which entries had not reported a generation in time.
type WaitingError struct {
	Generation uint64
	Missing    []string
}

func (e *WaitingError) Error() string {
	return fmt.Sprintf("generation %d is accepted, and not yet reported by %v", e.Generation, e.Missing)
}

// Unwrap marks it as a timeout.
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
			p.conn.flags(sub)
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
		return finish(streams.Out, []FileReport{report}, p.asJSON)
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

// publish appends the manifest once and waits for the verdict. A lost answer
// is followed by the same record, which the fold takes once.
func (p *publisher) publish(ctx context.Context, raw []byte) (Published, error) {
	log := p.conn.platform()
	f := newFollower(log)
	if err := f.toHead(ctx); err != nil {
		return Published{}, err
	}
	based := f.state().Manifest.Generation
	if p.basedOn >= 0 {
		based = uint64(p.basedOn)
	}
	rec, err := fleetlog.NewRecord(fleetlog.KindPublish, p.operator, 0,
		manifest.Publish{BasedOn: based, Raw: raw, Operator: p.operator})
	if err != nil {
		return Published{}, err
	}
	start := time.Now()
	if uncertain, err := fleetlog.AppendWithRetry(ctx, log, rec); err != nil && !uncertain {
		return Published{}, err
	}
	applied, err := f.verdictOf(ctx, rec.ID)
	if err != nil {
		return Published{}, err
	}
	if err := judge(applied, f.state()); err != nil {
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

func judge(a fleetlog.Applied, st *fleetlog.State) error {
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

// awaitInForce asks every entry in the members until all report the
// generation. Members that join meanwhile folded it before they became ready.
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
			if err := ask(ctx, hc, m.OperatorAddr, "/status", &st); err != nil || st.Detail.Generation < generation {
				missing = append(missing, m.ID)
			}
		}
		if len(missing) == 0 {
			return len(entries), nil
		}
		select {
		case <-ctx.Done():
			return len(entries), &WaitingError{Generation: generation, Missing: missing}
		case <-time.After(inForcePoll):
		}
		// An entry that has left meanwhile is not waited for.
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
	return output(err)
}

func encode(out io.Writer, v any) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return output(enc.Encode(v))
}

func output(err error) error {
	if err == nil {
		return nil
	}
	return &OutputError{Cause: err}
}
