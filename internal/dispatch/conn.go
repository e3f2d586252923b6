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
	// connectTimeout bounds dialling and the health check that follows it. In
	// a region both take a few milliseconds; a second lets one lost SYN be
	// repeated.
	connectTimeout = 1500 * time.Millisecond
	// connectPart of the time left is the most that connecting may take:
	// nothing has been sent yet, so that two more endpoints can be tried even
	// for a charge.
	connectPart = 3
	// maxHead bounds the head of an answer.
	maxHead = 1 << 20
	// maxHealthBody bounds the body of a health check.
	maxHealthBody = 16 << 10
	// maxInterim bounds the 1xx answers before the final one.
	maxInterim = 8
	// ioBuffer is the size of a connection's buffers.
	ioBuffer = 8 << 10
)

// conn is one HTTP/1.1 connection, used by one request at a time.
//
// http.Transport is not used, because it repeats requests by itself: one with
// an Idempotency-Key and no body is sent again when a kept-alive connection
// breaks, and a charge would run twice. Here a request is written once, and
// how much of it was written is known.
type conn struct {
	raw       net.Conn
	in        limitedReader
	br        *bufio.Reader
	bw        *bufio.Writer
	written   int64
	idleSince time.Time
	confirmed time.Duration // on the clock that counts suspension
	// vouched is when it was last known, by the list or by the endpoint itself,
	// that the endpoint takes work; 0 for a health check, which needs no such.
	vouched time.Duration
}

// limitedReader bounds what the head of an answer may take.
type limitedReader struct {
	r    io.Reader
	left int64
}

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, &HeadTooLargeError{Limit: maxHead}
	}
	if int64(len(p)) > l.left {
		p = p[:l.left]
	}
	n, err := l.r.Read(p)
	l.left -= int64(n)
	return n, err
}

func newConn(raw net.Conn) *conn {
	c := &conn{raw: raw}
	c.in = limitedReader{r: raw}
	c.br = bufio.NewReaderSize(&c.in, ioBuffer)
	c.bw = bufio.NewWriterSize(c, ioBuffer)
	return c
}

// Write passes bytes on and counts them.
func (c *conn) Write(p []byte) (int, error) {
	if c.written == 0 && c.vouched != 0 && planlease.Boottime()-c.vouched > vouchedFor {
		return 0, &PausedError{}
	}
	n, err := c.raw.Write(p)
	c.written += int64(n)
	return n, err
}

func (c *conn) close() { _ = c.raw.Close() }

// exchange writes the request and reads the head of the answer. The error is
// *NotSentError where nothing was written.
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
		return nil, c.failure(instance, err)
	}
	resp, err := c.readHead(req)
	if err != nil {
		return nil, c.failure(instance, err)
	}
	c.in.left = math.MaxInt64
	return resp, nil
}

func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	for range maxInterim {
		c.in.left = maxHead
		resp, err := http.ReadResponse(c.br, req)
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	return nil, &InterimAnswersError{Limit: maxInterim}
}

// failure tells apart what did not run and what may have run.
func (c *conn) failure(instance string, err error) error {
	if c.written == 0 {
		return &NotSentError{Instance: instance, Cause: err}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &AnswerTimeoutError{Instance: instance}
	}
	return &BrokenAnswerError{Instance: instance, Cause: err}
}

// quiet reports whether an idle connection is still open and has nothing to
// read.
//
// Failure: the endpoint closed it, or a late or crossed answer lies in its
// buffer. Symptom: a request is lost on a dead connection, or the next caller
// gets the answer of an earlier one. A peek at the socket sees both; what
// arrives between the peek and the request is caught by the request id.
func (c *conn) quiet() bool {
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
	// Only "nothing there yet" is quiet; end of file reads as no error.
	return err == nil && errors.Is(peekErr, unix.EAGAIN)
}

// health is the answer of an endpoint's health check.
type health struct {
	Instance string `json:"instance"`
	BootID   string `json:"boot_id"`
	Pool     string `json:"pool"`
}

// connect dials an endpoint and confirms on the new connection itself that it
// leads to the instance meant.
//
// Failure: an address comes back as another instance, or the instance has been
// rebooted or has moved. Symptom: a request of one pool runs in another. The
// check is made on every new connection, and a connection cannot change its
// far end, so no request is sent to an instance that was not confirmed.
func connect(dial DialFunc, pool string, e Endpoint, deadline time.Time) (*conn, error) {
	deadline = connectBy(deadline)
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

// connectBy is when connecting must have ended, of a request with a deadline.
func connectBy(deadline time.Time) time.Time {
	now := time.Now()
	return now.Add(min(connectTimeout, deadline.Sub(now)/connectPart))
}

// confirm makes a health check on the connection.
func (c *conn) confirm(pool string, e Endpoint, deadline time.Time) error {
	asked := planlease.Boottime()
	c.vouched = 0
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
	if !c.quiet() { // a second answer would pass for that to the request
		return &UnaskedAnswerError{Instance: e.Instance}
	}
	c.confirmed, c.vouched = asked, asked
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
