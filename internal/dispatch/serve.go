package dispatch

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"cyclamenwheel/internal/admission"
	"cyclamenwheel/internal/dispatch/retry"
)

// refusal is a response that the entry generates itself.
type refusal struct {
	kind   Type
	status int
	ran    Ran
	retry  time.Duration
	detail string
	cause  error
}

func (h *Handler) writeRefusal(w http.ResponseWriter, c *call, r refusal) {
	c.outcome = string(r.kind)
	limitWriteTime(w)
	detail := r.detail
	if detail == "" && r.cause != nil {
		detail = r.cause.Error()
	}
	if r.cause != nil {
		h.opts.Log.Info("request refused", "request_id", c.id, "service", c.service,
			"type", string(r.kind), "ran", string(r.ran), "cause", r.cause.Error())
	}
	p := Problem{Type: r.kind, Status: r.status, Detail: detail, Ran: r.ran, RequestID: c.id}
	p.write(w, r.retry)
}

// refusalBeforeClaim returns a refusal for a temporary cause found before the
// request's key was checked. A request with a key may repeat one that ran, so
// only a request without a key is certain not to have run.
func (h *Handler) refusalBeforeClaim(r *http.Request, kind Type, status int) refusal {
	ran := RanNo
	if r.Header.Get(HeaderIdempotencyKey) != "" {
		ran = RanUnknown
	}
	return refusal{kind: kind, status: status, ran: ran}
}

// serveUnclaimed serves a request that needs no claim.
func (h *Handler) serveUnclaimed(ctx context.Context, w http.ResponseWriter, c *call) {
	res, p := h.runAttempts(ctx, c)
	if p != nil {
		h.writeRefusal(w, c, *p)
		return
	}
	h.writeResponse(w, c, res)
}

// runAttempts makes attempts until there is a response or a final refusal.
func (h *Handler) runAttempts(ctx context.Context, c *call) (*response, *refusal) {
	table := h.opts.Routes()
	if table.closed {
		return nil, &refusal{kind: TypeNotReady, status: http.StatusServiceUnavailable, ran: c.ran()}
	}
	route := table.services[c.service]
	if route == nil {
		return nil, &refusal{kind: TypeUnknownService, status: http.StatusNotFound, ran: c.ran()}
	}
	g := h.gate(route.service.Pool)
	avoid := ""
	for attempts := 1; ; attempts++ {
		s, refused := g.acquire(ctx, c.admission(), avoid)
		if s == nil {
			return nil, c.admissionRefusal(ctx, g, refused)
		}
		res, err := h.attempt(ctx, c, s)
		if err == nil {
			return res, nil
		}
		avoid = s.endpoint.Instance
		if !h.awaitRetry(ctx, g, c, err, attempts) {
			return nil, c.attemptRefusal(g, err)
		}
	}
}

func (c *call) admission() admission.Request {
	return admission.Request{
		Caller: c.caller, Kind: c.policy.kind, Urgent: c.policy.urgent,
		Arrived: c.arrived, Deadline: c.deadline,
	}
}

// awaitRetry reports whether to make another attempt, after waiting for the
// backoff.
func (h *Handler) awaitRetry(ctx context.Context, g *gate, c *call, err error, attempts int) bool {
	notRun := provesNotRun(err)
	c.mayHaveRun = c.mayHaveRun || !notRun
	wait, ok := g.nextRetry(retry.Failure{
		NotRun: notRun, Idempotent: c.policy.idempotent, Attempts: attempts,
		Deadline: c.deadline, Estimate: g.estimate(c.policy.kind),
	})
	if !ok {
		return false
	}
	h.metrics.countRetry(c.service)
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *call) ran() Ran {
	if c.mayHaveRun {
		return RanUnknown
	}
	return RanNo
}

// admissionRefusal returns the refusal of a request that got no slot.
func (c *call) admissionRefusal(ctx context.Context, g *gate, r *admission.Refusal) *refusal {
	p := &refusal{kind: TypeDeadline, status: http.StatusServiceUnavailable, ran: c.ran()}
	switch {
	case r == nil:
		p.cause = ctx.Err()
		p.retry = g.retryAfter()
	case r.Reason != admission.ReasonTooLate:
		p.kind, p.detail, p.retry = TypeOverload, string(r.Reason), r.RetryAfter
	default:
		p.detail, p.retry = string(r.Reason), r.RetryAfter
	}
	return p
}

// attemptRefusal returns the refusal after the last attempt.
func (c *call) attemptRefusal(g *gate, err error) *refusal {
	p := &refusal{kind: TypeEndpointFailed, status: http.StatusBadGateway, ran: c.ran(), cause: err, retry: g.retryAfter()}
	switch {
	case errors.HasType(err, (*AnswerTimeoutError)(nil)):
		p.kind, p.status = TypeEndpointTimeout, http.StatusGatewayTimeout
	case provesNotRun(err):
		p.kind, p.status = TypeNoEndpoint, http.StatusServiceUnavailable
	}
	return p
}

// writeResponse forwards a response to the caller.
func (h *Handler) writeResponse(w http.ResponseWriter, c *call, res *response) {
	if res.stream != nil && res.stream.resp.ContentLength < 0 && !c.acceptsChunked {
		h.refuseUnframed(w, c, res.stream)
		return
	}
	c.outcome = outcomeAnswered
	out := w.Header()
	removeHopByHopHeaders(res.header)
	for name, values := range res.header {
		out[name] = values
	}
	out.Set(HeaderRequestID, c.id)
	if res.stream == nil && c.method != http.MethodHead && len(res.body) > 0 {
		out.Set("Content-Length", strconv.Itoa(len(res.body)))
	}
	limitWriteTime(w)
	w.WriteHeader(res.status)
	_, writeErr := w.Write(res.body)
	if res.stream != nil {
		h.stream(w, c, res.stream, writeErr)
	}
}

// refuseUnframed refuses to forward a large response without a length to an
// HTTP/1.0 caller, as some load balancers are.
//
// The end of such a response would be marked only by closing the caller's
// connection, so a response that the endpoint broke off would look complete.
// The refusal states that the request has run.
func (h *Handler) refuseUnframed(w http.ResponseWriter, c *call, r *responseStream) {
	r.conn.close()
	r.slot.release(resultOfStatus(r.resp.StatusCode), r.latency)
	h.finish(c, resultAnswerTooLarge)
	h.writeRefusal(w, c, refusal{kind: TypeNeedsHTTP11, status: http.StatusBadGateway, ran: RanYes})
}

// writeTimeout is how long a caller may take to read a response that holds no
// endpoint slot. Such a response is at most 256 KiB, much of which fits in
// socket buffers, so slow connections complete in time.
const writeTimeout = 15 * time.Second

// limitWriteTime closes the connection of a caller that does not read its
// response. A caller that hangs or disappears silently would otherwise hold its
// goroutine and connection forever and block a graceful shutdown.
func limitWriteTime(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout)) // not supported by test recorders
}

// writeGrace is how long past the deadline a caller may take to read a streamed
// response.
const writeGrace = time.Second

// stream forwards the remainder of a response as it arrives.
//
// If the endpoint's connection breaks, the partial response must not look
// complete. Aborting the handler closes the caller's connection before the last
// chunk or the declared length, so every HTTP client reports an error.
func (h *Handler) stream(w http.ResponseWriter, c *call, r *responseStream, writeErr error) {
	// A caller that stops reading would hold the endpoint's slot.
	_ = http.NewResponseController(w).SetWriteDeadline(c.deadline.Add(writeGrace)) // not supported by test recorders
	var readErr error
	if writeErr == nil {
		readErr, writeErr = copyStream(w, r.resp.Body)
	}
	if readErr != nil || writeErr != nil {
		r.conn.close()
	} else {
		h.keepOrClose(r.slot, r.conn, r.resp)
	}
	if readErr != nil {
		r.slot.release(resultOfError(readErr), r.latency)
		h.abortTruncated(c, r, readErr)
	}
	r.slot.release(resultOfStatus(r.resp.StatusCode), r.latency)
	if c.claim != nil {
		// The endpoint has responded, even if the caller has disconnected.
		h.finish(c, resultAnswerTooLarge)
	}
	if writeErr != nil {
		panic(http.ErrAbortHandler)
	}
}

// abortTruncated ends a call whose response broke off after its head was
// forwarded.
func (h *Handler) abortTruncated(c *call, r *responseStream, err error) {
	c.outcome = outcomeTruncated
	h.opts.Log.Warn("response truncated", "request_id", c.id, "instance", r.slot.endpoint.Instance, "cause", err.Error())
	if c.claim != nil {
		h.finish(c, resultUnknown)
	}
	panic(http.ErrAbortHandler)
}

// copyStream returns read errors and write errors separately.
func copyStream(w io.Writer, r io.Reader) (readErr, writeErr error) {
	buf := make([]byte, 32<<10)
	for {
		n, err := r.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return nil, werr
			}
		}
		if err == io.EOF {
			return nil, nil
		}
		if err != nil {
			return err, nil
		}
	}
}
