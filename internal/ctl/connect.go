package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"cyclamenwheel/internal/certs"
	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/platform"
)

const (
	// callLimit bounds one question to a process.
	callLimit = 3 * time.Second
	// maxAnswer bounds a process's answer; a dump of the aim's fleet is about
	// 5 MB.
	maxAnswer = 64 << 20
	// logPage is how many records are read at a time.
	logPage = 512
	// logWait is how long a read waits for a record that is on its way.
	logWait = time.Second
)

// UnreachableError says that a process did not answer.
type UnreachableError struct {
	Addr  string
	Cause error
}

func (e *UnreachableError) Error() string { return fmt.Sprintf("process at %s: %v", e.Addr, e.Cause) }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// StatusError says that a process answered with an HTTP failure.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("answered with status %d", e.Status) }

// NoStateError says that the log holds neither its beginning nor a snapshot.
type NoStateError struct{}

func (*NoStateError) Error() string {
	return "the log has been trimmed and holds no snapshot: name a running process with --process"
}

// connection is how a command reaches the platform and the processes.
type connection struct {
	platformURL   string
	process       string
	ca, cert, key string
}

func (c *connection) flags(sub *flaggy.Subcommand) {
	c.platformURL = "http://127.0.0.1:8500"
	sub.String(&c.platformURL, "p", "platform", "URL of the platform.")
	sub.String(&c.process, "", "process", "Operator address (host:port) of one process; finds the others when the log is down.")
	sub.String(&c.ca, "", "ca", "CA file, for processes that don't listen on loopback.")
	sub.String(&c.cert, "", "cert", "Own certificate file.")
	sub.String(&c.key, "", "key", "Own key file.")
}

func (c *connection) platform() platform.Platform {
	return platform.NewClient(c.platformURL, &http.Client{Transport: &http.Transport{}})
}

// operatorsClient asks operators' ports.
type operatorsClient struct {
	*http.Client
	// secure reports whether ports beyond loopback are asked over TLS. The transport's
	// own configuration can't tell: its first call sets that, CA or not.
	secure bool
}

// httpClient returns the client for operators' ports.
func (c *connection) httpClient() (*operatorsClient, error) {
	t := &http.Transport{}
	if c.ca != "" {
		conf, err := certs.LoadTLS(c.ca, c.cert, c.key, certs.RoleEntry, certs.RoleControl)
		if err != nil {
			return nil, err
		}
		t.TLSClientConfig = conf
	}
	return &operatorsClient{Client: &http.Client{Transport: t, Timeout: callLimit}, secure: c.ca != ""}, nil
}

// ask gets JSON from an operators' port.
func ask(ctx context.Context, hc *operatorsClient, addr, path string, into any) error {
	data, err := askBytes(ctx, hc, addr, path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return &UnreachableError{Addr: addr, Cause: err}
	}
	return nil
}

func askBytes(ctx context.Context, hc *operatorsClient, addr, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, operatorURL(hc, addr)+path, nil)
	if err != nil {
		return nil, &UnreachableError{Addr: addr, Cause: err}
	}
	resp, err := hc.Do(req)
	if err != nil {
		return nil, &UnreachableError{Addr: addr, Cause: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, &UnreachableError{Addr: addr, Cause: &StatusError{Status: resp.StatusCode}}
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return nil, &UnreachableError{Addr: addr, Cause: err}
	}
	return data, nil
}

func operatorURL(hc *operatorsClient, addr string) string {
	ap, err := netip.ParseAddrPort(addr)
	loopback := err == nil && ap.Addr().IsLoopback()
	if hc.secure && !loopback {
		return "https://" + addr
	}
	return "http://" + addr
}

// follower folds the log for a command.
type follower struct {
	log     platform.Log
	replica *fleetlog.Replica
	next    uint64
	// onApply, if set, is called after each record folded.
	onApply func(fleetlog.Applied)
}

func newFollower(log platform.Log) *follower {
	return &follower{log: log, replica: fleetlog.NewReplica(), next: 1}
}

// state is the fold so far.
func (f *follower) state() *fleetlog.State { return f.replica.State() }

// read takes one page of the log; atHead tells that there is no more yet.
func (f *follower) read(ctx context.Context, wait time.Duration) (applied []fleetlog.Applied, atHead bool, err error) {
	page, err := f.log.Read(ctx, f.next, logPage, wait)
	var trimmed *platform.TrimmedError
	if errors.As(err, &trimmed) {
		f.next = trimmed.First
		return nil, false, nil
	}
	if err != nil {
		return nil, false, err
	}
	if n := len(page.Records); n > 0 {
		f.next = page.Records[n-1].Offset + 1
	}
	return f.ingest(page.Records), f.next > page.Head, nil
}

func (f *follower) ingest(records []platform.LogRecord) []fleetlog.Applied {
	if f.onApply == nil {
		return f.replica.Ingest(records)
	}
	var out []fleetlog.Applied
	for i := range records {
		applied := f.replica.Ingest(records[i : i+1])
		for _, a := range applied {
			f.onApply(a)
		}
		out = append(out, applied...)
	}
	return out
}

// toHead folds all that is in the log now.
func (f *follower) toHead(ctx context.Context) error {
	for {
		_, atHead, err := f.read(ctx, 0)
		if err != nil {
			return err
		}
		if !atHead {
			continue
		}
		if f.replica.Bootstrapping() && f.next > 1 {
			return &NoStateError{}
		}
		return nil
	}
}

// verdictOf folds until the record with that id and returns what became of it.
func (f *follower) verdictOf(ctx context.Context, id fleetlog.ID) (fleetlog.Applied, error) {
	for {
		applied, _, err := f.read(ctx, logWait)
		if err != nil && ctx.Err() != nil {
			return fleetlog.Applied{}, ctx.Err()
		}
		for _, a := range applied {
			if a.Record.ID == id {
				return a, nil
			}
		}
	}
}
