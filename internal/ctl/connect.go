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
	// callTimeout bounds one request to a process.
	callTimeout = 3 * time.Second
	// maxResponseBytes bounds a response body; a dump of a fleet of the target
	// size is about 5 MB.
	maxResponseBytes = 64 << 20
	// logPageSize is the number of records in one read of the log.
	logPageSize = 512
	// logReadWait is how long a read waits for a record that is being appended.
	logReadWait = time.Second
)

// UnreachableError reports that a process gave no usable response.
type UnreachableError struct {
	Addr  string
	Cause error
}

func (e *UnreachableError) Error() string { return fmt.Sprintf("process at %s: %v", e.Addr, e.Cause) }

func (e *UnreachableError) Unwrap() error { return e.Cause }

// StatusError reports a response with an HTTP status other than 200.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("answered with status %d", e.Status) }

// NoStateError reports that the state cannot be folded, because the log holds
// neither its first record nor a snapshot.
type NoStateError struct{}

func (*NoStateError) Error() string {
	return "the log has been trimmed and holds no snapshot: name a running process with --process"
}

// connection holds the flags for reaching the platform and the processes.
type connection struct {
	platformURL   string
	process       string
	ca, cert, key string
}

func (c *connection) addFlags(sub *flaggy.Subcommand) {
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

// operatorClient sends requests to the operator ports of processes.
type operatorClient struct {
	*http.Client
	// useTLS reports whether non-loopback addresses are called over TLS. The
	// transport's TLSClientConfig does not show this: the first request sets it
	// even if no CA was given.
	useTLS bool
}

// httpClient returns a client for the operator ports of processes.
func (c *connection) httpClient() (*operatorClient, error) {
	t := &http.Transport{}
	if c.ca != "" {
		conf, err := certs.LoadTLS(c.ca, c.cert, c.key, certs.RoleEntry, certs.RoleControl)
		if err != nil {
			return nil, err
		}
		t.TLSClientConfig = conf
	}
	return &operatorClient{Client: &http.Client{Transport: t, Timeout: callTimeout}, useTLS: c.ca != ""}, nil
}

// getJSON requests a path from an operator port and decodes the JSON response.
func getJSON(ctx context.Context, hc *operatorClient, addr, path string, into any) error {
	data, err := getBytes(ctx, hc, addr, path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return &UnreachableError{Addr: addr, Cause: err}
	}
	return nil
}

func getBytes(ctx context.Context, hc *operatorClient, addr, path string) ([]byte, error) {
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, &UnreachableError{Addr: addr, Cause: err}
	}
	return data, nil
}

func operatorURL(hc *operatorClient, addr string) string {
	ap, err := netip.ParseAddrPort(addr)
	loopback := err == nil && ap.Addr().IsLoopback()
	if hc.useTLS && !loopback {
		return "https://" + addr
	}
	return "http://" + addr
}

// follower reads the log and folds its records for a command.
type follower struct {
	log     platform.Log
	replica *fleetlog.Replica
	next    uint64
	// onApply, if set, is called after each record is applied.
	onApply func(fleetlog.Applied)
}

func newFollower(log platform.Log) *follower {
	return &follower{log: log, replica: fleetlog.NewReplica(), next: 1}
}

// state returns the state folded so far.
func (f *follower) state() *fleetlog.State { return f.replica.State() }

// read reads and applies one page of the log; atHead reports that there are no
// further records yet.
func (f *follower) read(ctx context.Context, wait time.Duration) (applied []fleetlog.Applied, atHead bool, err error) {
	page, err := f.log.Read(ctx, f.next, logPageSize, wait)
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

// catchUp reads the log up to its current head.
func (f *follower) catchUp(ctx context.Context) error {
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

// awaitVerdict reads the log until the record with that id and returns its
// result.
func (f *follower) awaitVerdict(ctx context.Context, id fleetlog.ID) (fleetlog.Applied, error) {
	for {
		applied, _, err := f.read(ctx, logReadWait)
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
