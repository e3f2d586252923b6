package dispatch

import (
	"context"
	"encoding/binary"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"cyclamenwheel/internal/idempotency"
)

// claimResult is what is reported to Claims for a claimed request.
type claimResult struct {
	outcome idempotency.Outcome
	answer  *idempotency.Answer
}

var (
	// resultAnswerTooLarge: the response was complete but too large to keep.
	resultAnswerTooLarge = claimResult{outcome: idempotency.OutcomeAnswered}
	resultUnknown        = claimResult{outcome: idempotency.OutcomeUnknown}
	resultNotRun         = claimResult{outcome: idempotency.OutcomeNotRun}
)

// NotClaimed is implemented by errors of Claims.Begin that prove that no
// attempt with the key has run. Any other error leaves open whether an earlier
// attempt ran.
type NotClaimed interface{ NotRun() bool }

// serveClaimed serves a non-idempotent request that has a key.
//
// The key is claimed before admission, although this costs a claim for requests
// that are then refused. With admission first, a full queue could report "did
// not run" for a repeated charge whose first attempt ran, and the caller would
// charge again with a new key.
func (h *Handler) serveClaimed(ctx context.Context, w http.ResponseWriter, c *call) {
	if h.opts.Claims == nil {
		h.writeRefusal(w, c, refusal{kind: TypeKeyUnavailable, status: http.StatusServiceUnavailable, ran: RanUnknown})
		return
	}
	claim := idempotency.Claim{
		Service: c.service, Key: c.key, Fingerprint: fingerprint(c), Attempt: requestID(""),
	}
	decision, kept, err := h.opts.Claims.Begin(ctx, claim)
	if err != nil {
		h.writeRefusal(w, c, claimRefusal(err))
		return
	}
	if decision != idempotency.DecisionRun {
		h.respondFromClaim(w, c, decision, kept)
		return
	}
	c.claim = &claim
	h.runClaimed(ctx, w, c)
}

func claimRefusal(err error) refusal {
	p := refusal{kind: TypeKeyUnavailable, status: http.StatusServiceUnavailable, ran: RanUnknown, cause: err}
	var nc NotClaimed
	if errors.As(err, &nc) && nc.NotRun() {
		p.ran = RanNo
	}
	return p
}

// runClaimed runs a request whose claim is recorded, and reports its outcome.
func (h *Handler) runClaimed(ctx context.Context, w http.ResponseWriter, c *call) {
	// A panic would otherwise leave the claim open, and repeated requests would
	// wait for a response that never comes.
	defer h.finish(c, resultUnknown)
	res, p := h.runAttempts(ctx, c)
	if p != nil {
		if p.ran == RanNo {
			h.finish(c, resultNotRun)
		} else {
			h.finish(c, resultUnknown)
		}
		h.writeRefusal(w, c, *p)
		return
	}
	if res.stream == nil {
		h.finish(c, replayableResult(res))
	}
	h.writeResponse(w, c, res)
}

// finish reports the outcome of the claim. Only the first call has an effect.
func (h *Handler) finish(c *call, f claimResult) {
	if c.claim == nil {
		return
	}
	h.opts.Claims.Finish(*c.claim, f.outcome, f.answer)
	c.claim = nil
}

func replayableResult(res *response) claimResult {
	if len(res.body) > idempotency.MaxAnswerBytes {
		return resultAnswerTooLarge
	}
	header := res.header.Clone()
	removeHopByHopHeaders(header)
	return claimResult{
		outcome: idempotency.OutcomeAnswered,
		answer:  &idempotency.Answer{Status: res.status, Header: header, Body: res.body},
	}
}

// respondFromClaim responds to a request that is not run because of an earlier
// attempt with its key.
func (h *Handler) respondFromClaim(w http.ResponseWriter, c *call, d idempotency.Decision, kept *idempotency.Answer) {
	switch {
	case d == idempotency.DecisionReplay && kept != nil:
		h.writeResponse(w, c, &response{status: kept.Status, header: http.Header(kept.Header).Clone(), body: kept.Body})
		c.outcome = outcomeReplayed
	case d == idempotency.DecisionReplay, d == idempotency.DecisionFinished:
		h.writeRefusal(w, c, refusal{kind: TypeKeyFinished, status: http.StatusConflict, ran: RanYes})
	case d == idempotency.DecisionConflict:
		h.writeRefusal(w, c, refusal{kind: TypeKeyConflict, status: http.StatusConflict, ran: RanNo})
	default:
		h.writeRefusal(w, c, refusal{kind: TypeKeyUnknown, status: http.StatusServiceUnavailable, ran: RanUnknown})
	}
}

// fingerprint identifies a request by method, target and body, to detect a key
// that is used for different requests.
func fingerprint(c *call) [16]byte {
	var out [16]byte
	for i := range 2 {
		d := xxhash.NewWithSeed(uint64(i))
		hashField(d, []byte(c.method))
		hashField(d, []byte(c.target))
		hashField(d, c.body)
		binary.BigEndian.PutUint64(out[8*i:], d.Sum64())
	}
	return out
}

// hashField includes the length, so that adjacent fields cannot be confused.
func hashField(d *xxhash.Digest, p []byte) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(p)))
	_, _ = d.Write(size[:]) // a hash's Write never fails
	_, _ = d.Write(p)
}
