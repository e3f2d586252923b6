package dispatch

import (
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"cyclamenwheel/internal/intake"
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

// readBody reads the whole body. A sender that stalls is cut off at its deadline.
func (h *Handler) readBody(c *call, r *http.Request) *refusal {
	body, err := intake.ReadBody(r, h.opts.MaxBody, c.deadline)
	if err != nil {
		p := h.bodyRefusal(r, err)
		return &p
	}
	c.body = body
	return nil
}

func (h *Handler) bodyRefusal(r *http.Request, err error) refusal {
	switch {
	case errors.HasType(err, (*intake.TooLargeError)(nil)):
		return refusal{kind: TypeBodyTooLarge, status: http.StatusRequestEntityTooLarge, ran: RanNo}
	case errors.HasType(err, (*intake.NoMemoryError)(nil)), errors.HasType(err, (*intake.GivenUpError)(nil)):
		return h.refusalBeforeClaim(r, TypeNoMemory, http.StatusServiceUnavailable)
	}
	return refusal{kind: TypeBodyBroken, status: http.StatusBadRequest, ran: RanNo, cause: err}
}
