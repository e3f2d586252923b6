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

// refusal is a final answer that the entry gives itself.
type refusal struct {
	kind   Type
	status int
	ran    Ran
	retry  time.Duration
	detail string
	cause  error
}

func (h *Handler) refuse(w http.ResponseWriter, c *call, r refusal) {
	c.outcome = string(r.kind)
	boundReading(w)
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

// early is a refusal before the request's key was looked at, for a cause that
// passes. A request with a key may be the repetition of one that ran, so that
// only a request without one is certain not to have run.
func (h *Handler) early(r *http.Request, kind Type, status int) refusal {
	ran := RanNo
	if r.Header.Get(HeaderIdempotencyKey) != "" {
		ran = RanUnknown
	}
	return refusal{kind: kind, status: status, ran: ran}
}

// serve runs a request that needs no claim.
func (h *Handler) serve(ctx context.Context, w http.ResponseWriter, c *call) {
	ans, p := h.run(ctx, c)
	if p != nil {
		h.refuse(w, c, *p)
		return
	}
	h.deliver(w, c, ans)
}

// run makes attempts until there is an answer or the final refusal.
func (h *Handler) run(ctx context.Context, c *call) (*answer, *refusal) {
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
			return nil, c.notAdmitted(ctx, g, refused)
		}
		ans, err := h.attempt(c, s)
		if err == nil {
			return ans, nil
		}
		avoid = s.endpoint.Instance
		if !h.again(ctx, g, c, err, attempts) {
			return nil, c.failed(g, err)
		}
	}
}

func (c *call) admission() admission.Request {
	return admission.Request{
		Caller: c.caller, Kind: c.treat.kind, Urgent: c.treat.urgent,
		Arrived: c.arrived, Deadline: c.deadline,
	}
}

// again decides about another attempt, and waits for its time.
func (h *Handler) again(ctx context.Context, g *gate, c *call, err error, attempts int) bool {
	notRun := provesNotRun(err)
	c.maybe = c.maybe || !notRun
	wait, ok := g.nextRetry(retry.Failure{
		NotRun: notRun, Idempotent: c.treat.idempotent, Attempts: attempts,
		Deadline: c.deadline, Estimate: g.estimate(c.treat.kind),
	})
	if !ok {
		return false
	}
	h.metrics.retries(c.service)
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *call) ran() Ran {
	if c.maybe {
		return RanUnknown
	}
	return RanNo
}

// notAdmitted is the refusal of a request that got no slot.
func (c *call) notAdmitted(ctx context.Context, g *gate, r *admission.Refusal) *refusal {
	p := &refusal{kind: TypeDeadline, status: http.StatusServiceUnavailable, ran: c.ran()}
	switch {
	case r == nil:
		p.cause = ctx.Err()
		p.retry = g.advice()
	case r.Reason != admission.ReasonTooLate:
		p.kind, p.detail, p.retry = TypeOverload, string(r.Reason), r.RetryAfter
	default:
		p.detail, p.retry = string(r.Reason), r.RetryAfter
	}
	return p
}

// failed is the refusal after the last attempt.
func (c *call) failed(g *gate, err error) *refusal {
	p := &refusal{kind: TypeEndpointFailed, status: http.StatusBadGateway, ran: c.ran(), cause: err, retry: g.advice()}
	switch {
	case errors.HasType(err, (*AnswerTimeoutError)(nil)):
		p.kind, p.status = TypeEndpointTimeout, http.StatusGatewayTimeout
	case provesNotRun(err):
		p.kind, p.status = TypeNoEndpoint, http.StatusServiceUnavailable
	}
	return p
}

// deliver passes an answer on.
func (h *Handler) deliver(w http.ResponseWriter, c *call, ans *answer) {
	if ans.rest != nil && ans.rest.resp.ContentLength < 0 && !c.chunks {
		h.withhold(w, c, ans.rest)
		return
	}
	c.outcome = outcomeAnswered
	out := w.Header()
	stripHop(ans.header)
	for name, values := range ans.header {
		out[name] = values
	}
	out.Set(HeaderRequestID, c.id)
	if ans.rest == nil && c.method != http.MethodHead && len(ans.body) > 0 {
		out.Set("Content-Length", strconv.Itoa(len(ans.body)))
	}
	boundReading(w)
	w.WriteHeader(ans.status)
	_, writeErr := w.Write(ans.body)
	if ans.rest != nil {
		h.stream(w, c, ans.rest, writeErr)
	}
}

// withhold refuses to pass on a long answer without a length to a caller of
// HTTP/1.0, as some balancers are.
//
// Failure: such an answer ends with the caller's connection. Symptom: half a
// report that looks complete, if the endpoint breaks off. The request has run,
// and the refusal says so.
func (h *Handler) withhold(w http.ResponseWriter, c *call, r *rest) {
	r.conn.close()
	r.slot.release(resultOfStatus(r.resp.StatusCode), r.took)
	h.finish(c, answeredTooLarge)
	h.refuse(w, c, refusal{kind: TypeNeedsHTTP11, status: http.StatusBadGateway, ran: RanYes})
}

// readingLimit is how long a caller may take to read an answer that holds no
// endpoint's slot: a quarter of a megabyte at the most, of which the sockets
// take much at once. Slow lines get through in that time.
const readingLimit = 15 * time.Second

// boundReading ends the connection of a caller that does not read its answer.
//
// Failure: the caller hangs, or has gone without a word. Symptom: its goroutine
// and connection stay for ever, and a planned stop waits for them.
func boundReading(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(readingLimit)) // not supported by test recorders
}

// writeGrace is how long past the deadline a caller may take to read.
const writeGrace = time.Second

// stream passes the rest of an answer on as it comes.
//
// Failure: the endpoint's connection breaks half-way. Symptom: a report that
// looks complete and is not. Aborting the handler closes the caller's
// connection before the last chunk or the promised length, so that every HTTP
// client reports an error.
func (h *Handler) stream(w http.ResponseWriter, c *call, r *rest, writeErr error) {
	// A caller that stops reading would hold the endpoint's slot.
	_ = http.NewResponseController(w).SetWriteDeadline(c.deadline.Add(writeGrace)) // not supported by test recorders
	var readErr error
	if writeErr == nil {
		readErr, writeErr = copyRest(w, r.resp.Body)
	}
	if readErr != nil || writeErr != nil {
		r.conn.close()
	} else {
		h.recycle(r.slot, r.conn, r.resp)
	}
	if readErr != nil {
		r.slot.release(resultOf(readErr), r.took)
		h.cut(c, r, readErr)
	}
	r.slot.release(resultOfStatus(r.resp.StatusCode), r.took)
	if c.claim != nil {
		// The endpoint has answered; that the caller went away changes nothing.
		h.finish(c, answeredTooLarge)
	}
	if writeErr != nil {
		panic(http.ErrAbortHandler)
	}
}

// cut ends a call whose answer broke after its head was passed on.
func (h *Handler) cut(c *call, r *rest, err error) {
	c.outcome = outcomeCut
	h.opts.Log.Warn("answer cut short", "request_id", c.id, "instance", r.slot.endpoint.Instance, "cause", err.Error())
	if c.claim != nil {
		h.finish(c, outcomeLost)
	}
	panic(http.ErrAbortHandler)
}

// copyRest tells reading errors from writing errors.
func copyRest(w io.Writer, r io.Reader) (readErr, writeErr error) {
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
