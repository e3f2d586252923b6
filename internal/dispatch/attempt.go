package dispatch

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"cyclamenwheel/internal/dispatch/pick"
)

// answer is the endpoint's answer to one attempt. rest is set where it did not
// fit the buffer: what follows body is still to be read.
type answer struct {
	status int
	header http.Header
	body   []byte
	rest   *rest
}

// rest is the part of an answer that is streamed. The slot is held until it
// ends.
type rest struct {
	resp *http.Response
	conn *conn
	slot *slot
	took time.Duration
}

// hopHeaders concern one connection only and are not passed on.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

func stripHop(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		delete(h, name)
	}
}

// outgoing builds the request to an endpoint. The path is the caller's, byte
// by byte.
//
// Its id is of this attempt alone. Failure: two callers choose the same id, or
// one repeats its own, and the endpoint crosses or repeats answers. Symptom: the
// answer to the one passes for the answer to the other.
func (c *call) outgoing(e Endpoint, now time.Time) *http.Request {
	path, query, _ := strings.Cut(c.target, "?")
	c.attempt = c.id + "-" + strconv.FormatUint(rand.Uint64(), 36)
	c.header.Set(HeaderRequestID, c.attempt)
	left := max(c.deadline.Sub(now).Milliseconds(), 1)
	c.header.Set(HeaderDeadline, strconv.FormatInt(left, 10))
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

// attempt sends the request once and reads the answer, or its first part. It
// gives the slot back unless the answer has a rest.
func (h *Handler) attempt(c *call, s *slot) (*answer, error) {
	ans, err := h.send(c, s)
	took := h.opts.Now().Sub(s.start)
	if err != nil {
		result := resultOf(err)
		if result != pick.ResultRefused {
			h.conns.drop(s.gate.pool, s.endpoint)
		}
		s.release(result, took)
		return nil, err
	}
	if ans.rest == nil {
		s.release(resultOfStatus(ans.status), took)
		return ans, nil
	}
	ans.rest.slot, ans.rest.took = s, took
	return ans, nil
}

func resultOf(err error) pick.Result {
	if errors.HasType(err, (*EndpointRefusedError)(nil)) {
		return pick.ResultRefused
	}
	if errors.HasType(err, (*AnswerTimeoutError)(nil)) {
		return pick.ResultTimeout
	}
	return pick.ResultFailed
}

// resultOfStatus counts server errors against the endpoint's health, although
// they are answers and go to the caller: a worker that fails everything fails
// fast, looks idle and would draw ever more requests.
func resultOfStatus(status int) pick.Result {
	if status >= http.StatusInternalServerError {
		return pick.ResultFailed
	}
	return pick.ResultOK
}

func (h *Handler) send(c *call, s *slot) (*answer, error) {
	e := s.endpoint
	cn, err := h.conns.get(s.gate.pool, e, c.deadline)
	if err != nil {
		return nil, err
	}
	resp, err := cn.exchange(e.Instance, c.outgoing(e, h.opts.Now()), c.deadline)
	if err == nil {
		err = check(c, e.Instance, resp)
	}
	if err != nil {
		cn.close()
		return nil, err
	}
	return h.receive(s, cn, resp)
}

// check refuses answers that cannot be trusted to be whole and the request's
// own, and recognises an endpoint's statement that it did not run the request.
func check(c *call, instance string, resp *http.Response) error {
	got := resp.Header.Get(HeaderRequestID)
	if got != "" && got != c.attempt {
		return &CrossedAnswerError{Instance: instance, Want: c.attempt, Got: got}
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderNotRun) == "true" {
		return refusedBy(instance, got != "")
	}
	chunked := len(resp.TransferEncoding) > 0
	if resp.ContentLength < 0 && !chunked && resp.Body != http.NoBody {
		return &UnframedAnswerError{Instance: instance}
	}
	return nil
}

// refusedBy takes an endpoint's word that it did not run a request only where
// it names the request.
//
// Failure: answers are crossed, or one comes late on a kept connection. Symptom:
// a request that runs is told "did not run", or is sent to another endpoint
// because of it, and runs twice.
func refusedBy(instance string, named bool) error {
	if !named {
		return &UnnamedRefusalError{Instance: instance}
	}
	return &EndpointRefusedError{Instance: instance}
}

// receive reads the answer up to the buffer's size. A connection is kept only
// after the last byte of its answer.
func (h *Handler) receive(s *slot, cn *conn, resp *http.Response) (*answer, error) {
	ans := &answer{status: resp.StatusCode, header: resp.Header}
	body, err := readBuffered(resp, h.opts.Buffer)
	if err != nil {
		cn.close()
		return nil, cn.failure(s.endpoint.Instance, err)
	}
	ans.body = body
	if int64(len(body)) > h.opts.Buffer {
		ans.rest = &rest{resp: resp, conn: cn}
		return ans, nil
	}
	h.recycle(s, cn, resp)
	return ans, nil
}

// readBuffered reads at most one byte more than limit.
func readBuffered(resp *http.Response, limit int64) ([]byte, error) {
	if resp.Body == http.NoBody { // also HEAD, whose length is of no body
		return nil, nil
	}
	if n := resp.ContentLength; n >= 0 && n <= limit {
		body := make([]byte, n)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	return io.ReadAll(io.LimitReader(resp.Body, limit+1))
}

// recycle keeps a connection, unless its answer named no request.
//
// Failure: the endpoint repeats such an answer, later than quiet can see.
// Symptom: the next caller on the connection gets it as its own. An answer that
// names its request is recognised; the others get a connection each.
func (h *Handler) recycle(s *slot, cn *conn, resp *http.Response) {
	if resp.Close || resp.Header.Get(HeaderRequestID) == "" {
		cn.close()
		return
	}
	h.conns.put(s.gate.pool, s.endpoint, cn)
}

// provesNotRun tells whether an attempt's error makes it certain that the
// request did not run.
func provesNotRun(err error) bool {
	return errors.HasType(err, (*ConnectError)(nil)) ||
		errors.HasType(err, (*NotSentError)(nil)) ||
		errors.HasType(err, (*EndpointRefusedError)(nil))
}
