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

// maxRequestID bounds a caller's request id; a longer one is replaced.
const maxRequestID = 128

// requestID accepts a caller's id, or makes one.
func requestID(given string) string {
	if given != "" && len(given) <= maxRequestID && printable(given) {
		return given
	}
	return strconv.FormatUint(rand.Uint64(), 36) + strconv.FormatUint(rand.Uint64(), 36)
}

func printable(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// shorter returns the caller's own deadline where it is shorter.
func shorter(class time.Duration, millis string) time.Duration {
	n, err := strconv.ParseInt(millis, 10, 64)
	if err != nil || n <= 0 || n >= class.Milliseconds() {
		return class
	}
	return time.Duration(n) * time.Millisecond
}

// callerOf names who is to get a fair share.
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

// readBody reads the whole body. free gives the memory back and is to be
// called in any case.
func (h *Handler) readBody(w http.ResponseWriter, c *call, r *http.Request) (free func(), p *refusal) {
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
	free = func() { h.bodies.Add(-reserve) }
	if h.bodies.Add(reserve) > h.opts.MaxBodies {
		p := h.early(r, TypeNoMemory, http.StatusServiceUnavailable)
		return free, &p
	}
	// A sender that stops half-way is cut off at its own deadline.
	_ = http.NewResponseController(w).SetReadDeadline(c.deadline) // not supported by test recorders
	body, err := readAll(http.MaxBytesReader(w, r.Body, h.opts.MaxBody), r.ContentLength)
	if err != nil {
		return free, bodyRefusal(err)
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	c.body = body
	return free, nil
}

// refuseUnread refuses a request whose body was not read to its end, and ends
// the connection.
//
// Failure: the caller sends its body slowly, or stops half-way. net/http reads
// the rest before it sends the answer, so that the refusal is held back and the
// connection stays for as long as the caller likes. With the time for reading
// over, the answer goes out at once.
func (h *Handler) refuseUnread(w http.ResponseWriter, r *http.Request, c *call, p refusal) {
	if r.ContentLength != 0 {
		w.Header().Set("Connection", "close")
		_ = http.NewResponseController(w).SetReadDeadline(c.arrived) // not supported by test recorders
	}
	h.refuse(w, c, p)
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
