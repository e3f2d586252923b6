package dispatch

import (
	"context"
	"encoding/binary"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"cyclamenwheel/internal/idempotency"
)

// finished is what is reported of a claimed request.
type finished struct {
	outcome idempotency.Outcome
	answer  *idempotency.Answer
}

var (
	// answeredTooLarge: a whole answer came, too large to be kept.
	answeredTooLarge = finished{outcome: idempotency.OutcomeAnswered}
	outcomeLost      = finished{outcome: idempotency.OutcomeUnknown}
	outcomeNotRun    = finished{outcome: idempotency.OutcomeNotRun}
)

// NotClaimed is implemented by errors of Claims.Begin that make it certain
// that no attempt with the key has run. Without it an error leaves open
// whether an earlier attempt ran.
type NotClaimed interface{ NotRun() bool }

// serveClaimed runs a non-idempotent request with a key.
//
// The claim comes before admission, at the price of claims for requests that
// are then refused. The other way round, a repeated charge could be told "did
// not run" by a full queue although its first attempt ran, and would be
// charged again under a new key.
func (h *Handler) serveClaimed(ctx context.Context, w http.ResponseWriter, c *call) {
	if h.opts.Claims == nil {
		h.refuse(w, c, refusal{kind: TypeKeyUnavailable, status: http.StatusServiceUnavailable, ran: RanUnknown})
		return
	}
	claim := idempotency.Claim{
		Service: c.service, Key: c.key, Fingerprint: fingerprint(c), Attempt: requestID(""),
	}
	decision, kept, err := h.opts.Claims.Begin(ctx, claim)
	if err != nil {
		h.refuse(w, c, claimFailed(err))
		return
	}
	if decision != idempotency.DecisionRun {
		h.settled(w, c, decision, kept)
		return
	}
	c.claim = &claim
	h.runClaimed(ctx, w, c)
}

func claimFailed(err error) refusal {
	p := refusal{kind: TypeKeyUnavailable, status: http.StatusServiceUnavailable, ran: RanUnknown, cause: err}
	var nc NotClaimed
	if errors.As(err, &nc) && nc.NotRun() {
		p.ran = RanNo
	}
	return p
}

// runClaimed runs a request whose claim is journalled, and reports what became
// of it.
func (h *Handler) runClaimed(ctx context.Context, w http.ResponseWriter, c *call) {
	// A panic would otherwise leave the claim open and let repetitions wait
	// for an answer that never comes.
	defer h.finish(c, outcomeLost)
	ans, p := h.run(ctx, c)
	if p != nil {
		if p.ran == RanNo {
			h.finish(c, outcomeNotRun)
		} else {
			h.finish(c, outcomeLost)
		}
		h.refuse(w, c, *p)
		return
	}
	if ans.rest == nil {
		h.finish(c, keep(ans))
	}
	h.deliver(w, c, ans)
}

// finish reports the outcome, once.
func (h *Handler) finish(c *call, f finished) {
	if c.claim == nil {
		return
	}
	h.opts.Claims.Finish(*c.claim, f.outcome, f.answer)
	c.claim = nil
}

func keep(ans *answer) finished {
	if len(ans.body) > idempotency.MaxAnswerBytes {
		return answeredTooLarge
	}
	header := ans.header.Clone()
	stripHop(header)
	return finished{
		outcome: idempotency.OutcomeAnswered,
		answer:  &idempotency.Answer{Status: ans.status, Header: header, Body: ans.body},
	}
}

// settled answers a request that is not run, because of an earlier attempt.
func (h *Handler) settled(w http.ResponseWriter, c *call, d idempotency.Decision, kept *idempotency.Answer) {
	switch {
	case d == idempotency.DecisionReplay && kept != nil:
		h.deliver(w, c, &answer{status: kept.Status, header: http.Header(kept.Header).Clone(), body: kept.Body})
		c.outcome = outcomeReplayed
	case d == idempotency.DecisionReplay, d == idempotency.DecisionFinished:
		h.refuse(w, c, refusal{kind: TypeKeyFinished, status: http.StatusConflict, ran: RanYes})
	case d == idempotency.DecisionConflict:
		h.refuse(w, c, refusal{kind: TypeKeyConflict, status: http.StatusConflict, ran: RanNo})
	default:
		h.refuse(w, c, refusal{kind: TypeKeyUnknown, status: http.StatusServiceUnavailable, ran: RanUnknown})
	}
}

// fingerprint tells requests with the same key apart: method, path and body.
func fingerprint(c *call) [16]byte {
	var out [16]byte
	for i := range 2 {
		d := xxhash.NewWithSeed(uint64(i))
		writeField(d, []byte(c.method))
		writeField(d, []byte(c.target))
		writeField(d, c.body)
		binary.BigEndian.PutUint64(out[8*i:], d.Sum64())
	}
	return out
}

// writeField hashes the length too, so that no two requests run together.
func writeField(d *xxhash.Digest, p []byte) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(p)))
	_, _ = d.Write(size[:]) // a hash's Write never fails
	_, _ = d.Write(p)
}
