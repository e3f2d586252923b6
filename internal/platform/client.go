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
	// readTimeout bounds a read, on top of what a long poll may wait.
	readTimeout = 5 * time.Second
	// mutateTimeout bounds a call with an effect. A planner's successor waits
	// it out before it touches what the predecessor may still be acting on.
	mutateTimeout = 5 * time.Second
	// maxAnswerBytes bounds an answer: a page of records in base64, or the
	// list of a fleet of 11,000 instances (about 4 MB).
	maxAnswerBytes = 64 << 20
	// maxDetailBytes bounds what is kept of a refusal's text.
	maxDetailBytes = 512
	// idleConnsPerHost allows long polls, appends and acts at the same time
	// without a new connection for each.
	idleConnsPerHost = 16
)

// MutateTimeout is the longest that a call with an effect may be under way.
func MutateTimeout() time.Duration { return mutateTimeout }

// Client speaks the platform's HTTP protocol.
type Client struct {
	base string
	hc   *http.Client
}

var _ Platform = (*Client)(nil)

// NewClient returns a client of the platform at baseURL. A nil hc takes one
// with a transport of its own. Redirects are never followed: a 307 would send
// a mutating call a second time.
func NewClient(baseURL string, hc *http.Client) *Client {
	own := http.Client{}
	if hc != nil {
		own = *hc
	} else {
		own.Transport = &http.Transport{MaxIdleConnsPerHost: idleConnsPerHost, DisableCompression: true}
	}
	own.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{base: strings.TrimRight(baseURL, "/"), hc: &own}
}

// CloseIdleConnections closes connections that no call is using.
func (c *Client) CloseIdleConnections() { c.hc.CloseIdleConnections() }

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

// uncertain is the error for a call whose answer did not come whole.
func (c call) uncertain(cause error) error {
	if c.mutates {
		return &OutcomeUnknownError{Op: c.op, Cause: cause}
	}
	return &UnavailableError{Op: c.op, Cause: cause}
}

func (c *Client) do(ctx context.Context, cl call, into any) error {
	ctx, cancel := context.WithTimeout(ctx, cl.timeout)
	defer cancel()
	// Without a connection no byte can have been written. From the moment
	// there is one the request counts as sent: the transport buffers, and
	// does not tell which bytes went out.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := c.request(ctx, cl)
	if err != nil {
		return &RejectedError{Op: cl.op, Detail: err.Error()}
	}
	resp, err := c.hc.Do(req)
	if err != nil {
		if !connected.Load() {
			return &UnavailableError{Op: cl.op, Cause: errors.Wrap(err, "not sent")}
		}
		return cl.uncertain(err)
	}
	defer func() { _ = resp.Body.Close() }()
	return readAnswer(cl, resp, into)
}

// request builds the HTTP request. GetBody is taken away and no
// Idempotency-Key is set: with either the transport may silently send a request
// again on another connection, and an append would stand twice in the log for
// one call.
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

func readAnswer(cl call, resp *http.Response, into any) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if resp.StatusCode/100 != 2 {
		return statusError(cl, resp, data)
	}
	if err != nil {
		return cl.uncertain(errors.Wrap(err, "answer cut"))
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(data, into); err != nil {
		return cl.uncertain(errors.Wrap(err, "answer malformed"))
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
		return cl.uncertain(rejected)
	case resp.StatusCode == http.StatusGone:
		var trimmed TrimmedAnswer
		if json.Unmarshal(body, &trimmed) == nil {
			return &TrimmedError{From: trimmed.From, First: trimmed.First}
		}
	}
	return rejected
}

// millis rounds up, so that a wait below a millisecond is still a wait.
func millis(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Millisecond-1)/time.Millisecond), 10)
}
