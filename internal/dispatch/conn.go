package dispatch

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"cyclamenwheel/internal/planlease"
)

// Limits of a connection to an endpoint.
const (
	// connectTimeout bounds dialing and the health check that follows. Within a
	// region both take a few milliseconds; more than a second allows for the
	// retransmission of one lost SYN.
	connectTimeout = 1500 * time.Millisecond
	// connectDivisor limits connecting to this fraction of the remaining time.
	// Nothing has been sent at that point, so two more endpoints can be tried
	// even for a non-idempotent request.
	connectDivisor = 3
	// maxResponseHead bounds the head of a response, in bytes.
	maxResponseHead = 1 << 20
	// maxHealthBody bounds the body of a health check response, in bytes.
	maxHealthBody = 16 << 10
	// maxInterimResponses bounds the 1xx responses before the final one.
	maxInterimResponses = 8
	// ioBuffer is the size of a connection's buffers, in bytes.
	ioBuffer = 8 << 10
)

// conn is an HTTP/1.1 connection, used by one request at a time.
//
// http.Transport is not used because it retries by itself: it sends a request
// with an Idempotency-Key and no body again when a kept-alive connection
// breaks, and a charge would run twice. A conn writes each request once and
// records how many bytes were written.
type conn struct {
	raw         net.Conn
	in          limitedReader
	br          *bufio.Reader
	bw          *bufio.Writer
	written     int64
	idleSince   time.Time
	confirmedAt time.Duration // boot time clock, which includes suspension
	// acceptingAt is when the route table or the endpoint itself last showed
	// that the endpoint accepts work. It is 0 during a health check, which
	// needs no such evidence.
	acceptingAt time.Duration
}

// limitedReader bounds the bytes read for the head of a response.
type limitedReader struct {
	r         io.Reader
	remaining int64
}

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, &HeadTooLargeError{Limit: maxResponseHead}
	}
	if int64(len(p)) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.r.Read(p)
	l.remaining -= int64(n)
	return n, err
}

func newConn(raw net.Conn) *conn {
	c := &conn{raw: raw}
	c.in = limitedReader{r: raw}
	c.br = bufio.NewReaderSize(&c.in, ioBuffer)
	c.bw = bufio.NewWriterSize(c, ioBuffer)
	return c
}

// Write forwards bytes to the connection and counts them.
func (c *conn) Write(p []byte) (int, error) {
	if c.written == 0 && c.acceptingAt != 0 && planlease.Boottime()-c.acceptingAt > maxAcceptingAge {
		return 0, &PausedError{}
	}
	n, err := c.raw.Write(p)
	c.written += int64(n)
	return n, err
}

func (c *conn) close() { _ = c.raw.Close() }

// exchange writes the request and reads the head of the response. The error is
// *NotSentError if nothing was written.
func (c *conn) exchange(instance string, req *http.Request, deadline time.Time) (*http.Response, error) {
	c.written = 0
	if err := c.raw.SetDeadline(deadline); err != nil {
		return nil, &NotSentError{Instance: instance, Cause: err}
	}
	err := req.Write(c.bw)
	if err == nil {
		err = c.bw.Flush()
	}
	if err != nil {
		return nil, c.classifyError(instance, err)
	}
	resp, err := c.readResponseHead(req)
	if err != nil {
		return nil, c.classifyError(instance, err)
	}
	c.in.remaining = math.MaxInt64
	return resp, nil
}

func (c *conn) readResponseHead(req *http.Request) (*http.Response, error) {
	for range maxInterimResponses {
		c.in.remaining = maxResponseHead
		resp, err := http.ReadResponse(c.br, req)
		if err != nil {
			return nil, errors.Wrap(err, "read response")
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	return nil, &InterimAnswersError{Limit: maxInterimResponses}
}

// classifyError distinguishes requests that were not sent from those that may
// have run.
func (c *conn) classifyError(instance string, err error) error {
	if c.written == 0 {
		return &NotSentError{Instance: instance, Cause: err}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &AnswerTimeoutError{Instance: instance}
	}
	return &BrokenAnswerError{Instance: instance, Cause: err}
}

// openAndEmpty reports whether an idle connection is still open and has no data
// to read.
//
// The endpoint may have closed it, or sent a late or misdirected response.
// Using the connection would lose the request, or give the next caller the
// response to an earlier request. A peek at the socket detects both; data that
// arrives after the peek is caught by the request ID.
func (c *conn) openAndEmpty() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var (
		one     [1]byte
		peekErr error
	)
	err = rc.Read(func(fd uintptr) bool {
		_, _, peekErr = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	// Only EAGAIN means open and empty; end of file yields no error.
	return err == nil && errors.Is(peekErr, unix.EAGAIN)
}

// health is the body of an endpoint's health check response.
type health struct {
	Instance string `json:"instance"`
	BootID   string `json:"boot_id"`
	Pool     string `json:"pool"`
}

// connect dials an endpoint and verifies on the new connection that it leads to
// the intended instance.
//
// An address may have been reassigned to another instance, or the instance may
// have rebooted or moved to another pool; a request of one pool would then run
// in another. Every new connection is checked, and a connection cannot change
// its remote end, so no request is sent to an unverified instance.
func connect(dial DialFunc, pool string, e Endpoint, deadline time.Time) (*conn, error) {
	deadline = connectDeadline(deadline)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	raw, err := dial(ctx, e.Addr)
	if err != nil {
		return nil, &ConnectError{Instance: e.Instance, Cause: err}
	}
	c := newConn(raw)
	if err := c.confirm(pool, e, deadline); err != nil {
		c.close()
		return nil, &ConnectError{Instance: e.Instance, Cause: err}
	}
	return c, nil
}

// connectDeadline returns when connecting must be complete for a request with
// the given deadline.
func connectDeadline(deadline time.Time) time.Time {
	now := time.Now()
	return now.Add(min(connectTimeout, deadline.Sub(now)/connectDivisor))
}

// confirm runs a health check on the connection and verifies the instance's
// identity.
func (c *conn) confirm(pool string, e Endpoint, deadline time.Time) error {
	checkedAt := planlease.Boottime()
	c.acceptingAt = 0
	req, err := http.NewRequest(http.MethodGet, "http://"+e.Addr+"/healthz", nil)
	if err != nil {
		return errors.Wrap(err, "health check")
	}
	resp, err := c.exchange(e.Instance, req, deadline)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxHealthBody+1))
	if err != nil || len(body) > maxHealthBody {
		return &BrokenAnswerError{Instance: e.Instance, Cause: err}
	}
	if resp.StatusCode != http.StatusOK || resp.Close {
		return &UnhealthyError{Instance: e.Instance, Status: resp.StatusCode}
	}
	var h health
	if err := json.NewDecoder(bytes.NewReader(body)).Decode(&h); err != nil {
		return errors.Wrap(err, "health check")
	}
	if err := h.match(pool, e); err != nil {
		return err
	}
	if !c.openAndEmpty() { // would be taken for the response to the next request
		return &UnaskedAnswerError{Instance: e.Instance}
	}
	c.confirmedAt, c.acceptingAt = checkedAt, checkedAt
	return nil
}

func (h health) match(pool string, e Endpoint) error {
	for _, f := range []struct{ name, want, got string }{
		{"instance", e.Instance, h.Instance},
		{"boot_id", e.BootID, h.BootID},
		{"pool", pool, h.Pool},
	} {
		if f.want != f.got {
			return &IdentityError{Instance: e.Instance, Field: f.name, Want: f.want, Got: f.got}
		}
	}
	return nil
}
