package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Timeouts of calls to the platform.
const (
	// readTimeout bounds a read, in addition to the wait time of a long poll.
	readTimeout = 5 * time.Second
	// mutateTimeout bounds a mutating call. A planner's successor waits for this long before
	// it acts on anything that its predecessor's calls may still change.
	mutateTimeout = 5 * time.Second
	// maxResponseBytes bounds a response: a page of records in base64, or the instance list
	// of a fleet of 11,000 instances (about 4 MB).
	maxResponseBytes = 64 << 20
	// maxDetailBytes bounds the part of a rejection's text that is kept.
	maxDetailBytes = 512
	// idleConnsPerHost allows concurrent long polls, appends and other calls without a new
	// connection for each.
	idleConnsPerHost = 16
)

// MutateTimeout returns the longest time that a mutating call may be in flight.
func MutateTimeout() time.Duration { return mutateTimeout }

// Client implements Platform over the platform's HTTP protocol.
type Client struct {
	base       string
	httpClient *http.Client
}

var _ Platform = (*Client)(nil)

// NewClient returns a client of the platform at baseURL. If hc is nil, the client gets its own
// transport. Redirects are never followed: a 307 would send a mutating call a second time.
func NewClient(baseURL string, hc *http.Client) *Client {
	httpClient := http.Client{}
	if hc != nil {
		httpClient = *hc
	} else {
		httpClient.Transport = &http.Transport{MaxIdleConnsPerHost: idleConnsPerHost, DisableCompression: true}
	}
	httpClient.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{base: strings.TrimRight(baseURL, "/"), httpClient: &httpClient}
}

// CloseIdleConnections closes the connections that no call is using.
func (c *Client) CloseIdleConnections() { c.httpClient.CloseIdleConnections() }

// Append implements Log.
func (c *Client) Append(ctx context.Context, data []byte) (uint64, error) {
	var answer AppendAnswer
	err := c.do(ctx, call{op: "append", method: http.MethodPost, path: PathLog, body: data,
		contentType: "application/octet-stream", timeout: mutateTimeout, mutates: true}, &answer)
	return answer.Offset, err
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, from uint64, max int, wait time.Duration) (LogPage, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatUint(from, 10))
	query.Set("max", strconv.Itoa(max))
	query.Set("wait_ms", millis(wait))
	var page LogPage
	err := c.do(ctx, call{op: "read", method: http.MethodGet, path: PathLog + "?" + query.Encode(),
		timeout: readTimeout + wait}, &page)
	return page, err
}

// Instances implements Fleet.
func (c *Client) Instances(ctx context.Context, since uint64, wait time.Duration) (InstanceList, error) {
	query := url.Values{}
	query.Set("since", strconv.FormatUint(since, 10))
	query.Set("wait_ms", millis(wait))
	var list InstanceList
	err := c.do(ctx, call{op: "instances", method: http.MethodGet, path: PathInstances + "?" + query.Encode(),
		timeout: readTimeout + wait}, &list)
	return list, err
}

// Reboot implements Fleet.
func (c *Client) Reboot(ctx context.Context, op Operation) error {
	return c.post(ctx, "reboot", PathOperations, op)
}

// Fence implements Fleet.
func (c *Client) Fence(ctx context.Context, instance, operationID string) error {
	return c.post(ctx, "fence", PathFence, FenceRequest{Instance: instance, Operation: operationID})
}

// Start implements Tasks.
func (c *Client) Start(ctx context.Context, tasks []Task) error {
	return c.post(ctx, "task start", PathTaskStart, StartRequest{Tasks: tasks})
}

// Renew implements Tasks.
func (c *Client) Renew(ctx context.Context, ids []string, lease time.Duration) error {
	return c.post(ctx, "task renew", PathTaskRenew, RenewRequest{IDs: ids, LeaseMillis: lease.Milliseconds()})
}

// Stop implements Tasks.
func (c *Client) Stop(ctx context.Context, ids []string) error {
	return c.post(ctx, "task stop", PathTaskStop, StopRequest{IDs: ids})
}

// Reports implements Tasks.
func (c *Client) Reports(ctx context.Context) ([]TaskReport, error) {
	var answer ReportsAnswer
	err := c.do(ctx, call{op: "task reports", method: http.MethodGet, path: PathTasks, timeout: readTimeout}, &answer)
	return answer.Tasks, err
}

func (c *Client) post(ctx context.Context, op, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return &RejectedError{Op: op, Detail: err.Error()}
	}
	return c.do(ctx, call{op: op, method: http.MethodPost, path: path, body: data,
		contentType: "application/json", timeout: mutateTimeout, mutates: true}, nil)
}

// call is one request to the platform.
type call struct {
	op, method, path string
	body             []byte
	contentType      string
	timeout          time.Duration
	mutates          bool
}

// ambiguousError returns the error for a call without a usable response: the outcome of a
// mutating call is unknown, and a read just failed.
func (c call) ambiguousError(cause error) error {
	if c.mutates {
		return &OutcomeUnknownError{Op: c.op, Cause: cause}
	}
	return &UnavailableError{Op: c.op, Cause: cause}
}

func (c *Client) do(ctx context.Context, cl call, target any) error {
	ctx, cancel := context.WithTimeout(ctx, cl.timeout)
	defer cancel()
	// Without a connection nothing can have been sent. Once there is one, the request counts
	// as sent, because the transport buffers and does not report which bytes were written.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := c.request(ctx, cl)
	if err != nil {
		return &RejectedError{Op: cl.op, Detail: err.Error()}
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		if !connected.Load() {
			return &UnavailableError{Op: cl.op, Cause: errors.Wrap(err, "not sent")}
		}
		return cl.ambiguousError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	return readResponse(cl, resp, target)
}

// request builds the HTTP request. GetBody is cleared and no Idempotency-Key is set: with
// either, the transport may silently retry the request on another connection, and one append
// would add its record to the log twice.
func (c *Client) request(ctx context.Context, cl call) (*http.Request, error) {
	var body io.Reader
	if cl.mutates {
		body = bytes.NewReader(cl.body)
	}
	req, err := http.NewRequestWithContext(ctx, cl.method, c.base+cl.path, body)
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	if cl.contentType != "" {
		req.Header.Set("Content-Type", cl.contentType)
	}
	return req, nil
}

func readResponse(cl call, resp *http.Response, target any) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if resp.StatusCode/100 != 2 {
		return statusError(cl, resp, data)
	}
	if err != nil {
		return cl.ambiguousError(errors.Wrap(err, "incomplete response body"))
	}
	if target == nil {
		return nil
	}
	if err := json.Unmarshal(data, target); err != nil {
		return cl.ambiguousError(errors.Wrap(err, "malformed response"))
	}
	return nil
}

func statusError(cl call, resp *http.Response, body []byte) error {
	detail := strings.TrimSpace(string(body[:min(len(body), maxDetailBytes)]))
	rejected := &RejectedError{Op: cl.op, Status: resp.StatusCode, Detail: detail}
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderNotApplied) == "true":
		return &UnavailableError{Op: cl.op, Cause: rejected}
	case resp.StatusCode >= http.StatusInternalServerError:
		return cl.ambiguousError(rejected)
	case resp.StatusCode == http.StatusGone:
		var trimmed TrimmedAnswer
		if json.Unmarshal(body, &trimmed) == nil {
			return &TrimmedError{From: trimmed.From, First: trimmed.First}
		}
	}
	return rejected
}

// millis formats a duration in milliseconds, rounded up so that a wait of less than a
// millisecond does not become 0.
func millis(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Millisecond-1)/time.Millisecond), 10)
}
