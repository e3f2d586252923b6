package dispatch

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"cyclamenwheel/internal/dispatch/pick"
	"cyclamenwheel/internal/intake"
)

// response is an endpoint's response to one attempt. If the body does not fit
// the buffer, stream is set: body then holds the beginning and the remainder is
// still to be read.
type response struct {
	status int
	header http.Header
	body   []byte
	stream *responseStream
}

// responseStream is the unread part of a response. Its slot is held until the
// stream ends.
type responseStream struct {
	resp    *http.Response
	conn    *conn
	slot    *slot
	latency time.Duration
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

func removeHopByHopHeaders(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
}

// buildRequest builds the request to an endpoint. The path is forwarded byte
// for byte.
//
// The request ID is unique to this attempt. Callers may choose the same ID or
// reuse one, and an endpoint may mix up or repeat responses; with the caller's
// ID, a response to one request could be mistaken for the response to another.
func (c *call) buildRequest(e Endpoint, now time.Time) *http.Request {
	path, query, _ := strings.Cut(c.target, "?")
	c.attempt = c.id + "-" + strconv.FormatUint(rand.Uint64(), 36)
	c.header.Set(HeaderRequestID, c.attempt)
	remaining := max(c.deadline.Sub(now).Milliseconds(), 1)
	c.header.Set(HeaderDeadline, strconv.FormatInt(remaining, 10))
	req := &http.Request{
		Method: c.method, Host: c.host, Header: c.header,
		URL: &url.URL{Scheme: "http", Host: e.Addr, Opaque: path, RawQuery: query},
	}
	if len(c.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(c.body))
		req.ContentLength = int64(len(c.body))
	}
	return req
}

// attempt sends the request once and reads the response, or its buffered
// beginning. It releases the slot unless the response has a stream.
func (h *Handler) attempt(ctx context.Context, c *call, s *slot) (*response, error) {
	res, err := h.send(ctx, c, s)
	latency := h.opts.Now().Sub(s.start)
	if err != nil {
		result := resultOfError(err)
		if result != pick.ResultRefused {
			h.conns.closeIdleTo(s.gate.pool, s.endpoint)
		}
		s.release(result, latency)
		return nil, err
	}
	if res.stream == nil {
		s.release(resultOfStatus(res.status), latency)
		return res, nil
	}
	res.stream.slot, res.stream.latency = s, latency
	return res, nil
}

func resultOfError(err error) pick.Result {
	if errors.HasType(err, (*EndpointRefusedError)(nil)) {
		return pick.ResultRefused
	}
	if errors.HasType(err, (*AnswerTimeoutError)(nil)) {
		return pick.ResultTimeout
	}
	return pick.ResultFailed
}

// resultOfStatus counts server errors against the endpoint's health, although
// they are forwarded to the caller as responses: a worker that fails every
// request responds quickly, looks idle and would attract ever more requests.
func resultOfStatus(status int) pick.Result {
	if status >= http.StatusInternalServerError {
		return pick.ResultFailed
	}
	return pick.ResultOK
}

func (h *Handler) send(ctx context.Context, c *call, s *slot) (*response, error) {
	e := s.endpoint
	cn, err := h.conns.get(s.gate.pool, e, c.deadline)
	if err != nil {
		return nil, err
	}
	resp, err := cn.exchange(e.Instance, c.buildRequest(e, h.opts.Now()), c.deadline)
	if err == nil {
		err = verifyResponse(c, e.Instance, resp)
	}
	if err != nil {
		cn.close()
		return nil, err
	}
	return h.readResponse(ctx, s, cn, resp)
}

// verifyResponse rejects responses that may be incomplete or belong to another
// request, and recognizes an endpoint's statement that it did not run the
// request.
func verifyResponse(c *call, instance string, resp *http.Response) error {
	got := resp.Header.Get(HeaderRequestID)
	if got != "" && got != c.attempt {
		return &CrossedAnswerError{Instance: instance, Want: c.attempt, Got: got}
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderNotRun) == "true" {
		return refusalError(instance, got != "")
	}
	chunked := len(resp.TransferEncoding) > 0
	if resp.ContentLength < 0 && !chunked && resp.Body != http.NoBody {
		return &UnframedAnswerError{Instance: instance}
	}
	return nil
}

// refusalError returns the error for an endpoint's statement that it did not
// run a request. The statement is trusted only if it carries the request ID. A
// response to another request, or a late one on a reused connection, could
// otherwise be taken for a refusal of a request that is running: the caller
// would be told that it did not run, or it would be sent to another endpoint
// and run twice.
func refusalError(instance string, namesRequest bool) error {
	if !namesRequest {
		return &UnnamedRefusalError{Instance: instance}
	}
	return &EndpointRefusedError{Instance: instance}
}

// readResponse reads the response up to the buffer size. The connection is kept
// for reuse only once the response has been read to its end.
//
// Load: many callers do not read large responses, whose buffers exceed the
// entry's memory. A response for which it has no room is streamed.
func (h *Handler) readResponse(ctx context.Context, s *slot, cn *conn, resp *http.Response) (*response, error) {
	res := &response{status: resp.StatusCode, header: resp.Header}
	if _, err := intake.Hold(ctx, bufferNeeded(resp, h.opts.Buffer)); err != nil {
		res.stream = &responseStream{resp: resp, conn: cn}
		return res, nil
	}
	body, err := readBuffered(resp, h.opts.Buffer)
	if err != nil {
		cn.close()
		return nil, cn.classifyError(s.endpoint.Instance, err)
	}
	res.body = body
	if int64(len(body)) > h.opts.Buffer {
		res.stream = &responseStream{resp: resp, conn: cn}
		return res, nil
	}
	h.keepOrClose(s, cn, resp)
	return res, nil
}

// bufferNeeded returns how much of a response is buffered, in bytes; limit if
// its length is not known. It is held until the caller has been answered.
func bufferNeeded(resp *http.Response, limit int64) int64 {
	switch {
	case resp.Body == http.NoBody:
		return 0
	case resp.ContentLength >= 0 && resp.ContentLength <= limit:
		return resp.ContentLength
	}
	return limit
}

// readBuffered reads at most one byte more than limit.
func readBuffered(resp *http.Response, limit int64) ([]byte, error) {
	if resp.Body == http.NoBody { // includes HEAD, whose Content-Length describes no body
		return nil, nil
	}
	if n := resp.ContentLength; n >= 0 && n <= limit {
		body := make([]byte, n)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	return io.ReadAll(io.LimitReader(resp.Body, limit+1))
}

// keepOrClose keeps the connection for reuse if the response carried a request
// ID.
//
// An endpoint may repeat a response later than openAndEmpty can detect, and the
// next request on the connection would then receive it. A response that carries
// its request ID is recognized; endpoints that send none get a new connection
// for every request.
func (h *Handler) keepOrClose(s *slot, cn *conn, resp *http.Response) {
	if resp.Close || resp.Header.Get(HeaderRequestID) == "" {
		cn.close()
		return
	}
	h.conns.put(s.gate.pool, s.endpoint, cn)
}

// provesNotRun reports whether the error of an attempt proves that the request
// did not run.
func provesNotRun(err error) bool {
	return errors.HasType(err, (*ConnectError)(nil)) ||
		errors.HasType(err, (*NotSentError)(nil)) ||
		errors.HasType(err, (*EndpointRefusedError)(nil))
}
