package dispatch

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// maxRequestID bounds a caller's request ID; a longer one is replaced.
const maxRequestID = 128

// requestID returns the caller's ID if it is valid, or generates one.
func requestID(given string) string {
	if given != "" && len(given) <= maxRequestID && isPrintable(given) {
		return given
	}
	return strconv.FormatUint(rand.Uint64(), 36) + strconv.FormatUint(rand.Uint64(), 36)
}

func isPrintable(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// shorterTimeout returns the shorter of the class timeout and the caller's own.
func shorterTimeout(classTimeout time.Duration, requestedMillis string) time.Duration {
	n, err := strconv.ParseInt(requestedMillis, 10, 64)
	if err != nil || n <= 0 || n >= classTimeout.Milliseconds() {
		return classTimeout
	}
	return time.Duration(n) * time.Millisecond
}

// callerOf returns the caller's identity for fair queueing.
func callerOf(r *http.Request) string {
	if name := r.Header.Get(HeaderCaller); name != "" {
		return name
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// readBody reads the whole body. releaseMemory must always be called.
func (h *Handler) readBody(w http.ResponseWriter, c *call, r *http.Request) (releaseMemory func(), p *refusal) {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return func() {}, nil
	}
	if r.ContentLength > h.opts.MaxBody {
		return func() {}, &refusal{kind: TypeBodyTooLarge, status: http.StatusRequestEntityTooLarge, ran: RanNo}
	}
	reserve := r.ContentLength
	if reserve < 0 {
		reserve = h.opts.MaxBody
	}
	releaseMemory = func() { h.bodyBytes.Add(-reserve) }
	if h.bodyBytes.Add(reserve) > h.opts.MaxBodies {
		p := h.refusalBeforeClaim(r, TypeNoMemory, http.StatusServiceUnavailable)
		return releaseMemory, &p
	}
	// A sender that stalls is cut off at its deadline.
	_ = http.NewResponseController(w).SetReadDeadline(c.deadline) // not supported by test recorders
	body, err := readAll(http.MaxBytesReader(w, r.Body, h.opts.MaxBody), r.ContentLength)
	if err != nil {
		return releaseMemory, bodyRefusal(err)
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	c.body = body
	return releaseMemory, nil
}

// refuseUnread refuses a request whose body was not read to its end, and closes
// the connection.
//
// If the caller sends its body slowly or stops halfway, net/http reads the
// remainder before it sends the response, so the caller could delay the refusal
// and keep the connection open indefinitely. An expired read deadline makes the
// response go out at once.
func (h *Handler) refuseUnread(w http.ResponseWriter, r *http.Request, c *call, p refusal) {
	if r.ContentLength != 0 {
		w.Header().Set("Connection", "close")
		_ = http.NewResponseController(w).SetReadDeadline(c.arrived) // not supported by test recorders
	}
	h.writeRefusal(w, c, p)
}

func readAll(r io.Reader, size int64) ([]byte, error) {
	var buf bytes.Buffer
	if size > 0 {
		buf.Grow(int(size) + bytes.MinRead)
	}
	_, err := buf.ReadFrom(r)
	return buf.Bytes(), err
}

func bodyRefusal(err error) *refusal {
	if errors.HasType(err, (*http.MaxBytesError)(nil)) {
		return &refusal{kind: TypeBodyTooLarge, status: http.StatusRequestEntityTooLarge, ran: RanNo}
	}
	return &refusal{kind: TypeBodyBroken, status: http.StatusBadRequest, ran: RanNo, cause: err}
}
