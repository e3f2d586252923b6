package dispatch

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Ran states whether a refused request ran.
type Ran string

// Values of Ran.
const (
	// RanNo: the request certainly did not run.
	RanNo Ran = "no"
	// RanUnknown: the request may have run.
	RanUnknown Ran = "unknown"
	// RanYes: the request ran but its response cannot be returned.
	RanYes Ran = "yes"
)

// Type is a problem type URI. Values are stable.
type Type string

// Problem types.
const (
	TypeUnknownService  Type = "urn:cyclamenwheel:problem:unknown-service"
	TypeNotReady        Type = "urn:cyclamenwheel:problem:not-ready"
	TypeDraining        Type = "urn:cyclamenwheel:problem:draining"
	TypeBodyTooLarge    Type = "urn:cyclamenwheel:problem:body-too-large"
	TypeBodyBroken      Type = "urn:cyclamenwheel:problem:body-broken"
	TypeBadKey          Type = "urn:cyclamenwheel:problem:bad-idempotency-key"
	TypeNoMemory        Type = "urn:cyclamenwheel:problem:too-many-bodies"
	TypeOverload        Type = "urn:cyclamenwheel:problem:overload"
	TypeDeadline        Type = "urn:cyclamenwheel:problem:deadline-out-of-reach"
	TypeNoEndpoint      Type = "urn:cyclamenwheel:problem:no-endpoint"
	TypeEndpointFailed  Type = "urn:cyclamenwheel:problem:endpoint-failed"
	TypeEndpointTimeout Type = "urn:cyclamenwheel:problem:endpoint-timeout"
	TypeNeedsHTTP11     Type = "urn:cyclamenwheel:problem:answer-needs-http-1.1"
	TypeKeyConflict     Type = "urn:cyclamenwheel:problem:key-of-another-request"
	TypeKeyUnknown      Type = "urn:cyclamenwheel:problem:earlier-outcome-unknown"
	TypeKeyFinished     Type = "urn:cyclamenwheel:problem:answer-no-longer-kept"
	TypeKeyUnavailable  Type = "urn:cyclamenwheel:problem:claim-unavailable"
)

// Problem is the body of a refusal (application/problem+json).
type Problem struct {
	Type             Type   `json:"type"`
	Title            string `json:"title"`
	Status           int    `json:"status"`
	Detail           string `json:"detail,omitempty"`
	Ran              Ran    `json:"ran"`
	RequestID        string `json:"request_id"`
	RetryAfterMillis int64  `json:"retry_after_ms"`
}

// ProblemContentType is the content type of refusals.
const ProblemContentType = "application/problem+json"

// Headers read or set by this package.
const (
	// HeaderRequestID is the caller's ID for its request. Towards endpoints it
	// is unique to the attempt, and endpoints are expected to echo it.
	HeaderRequestID = "X-Request-Id"
	// HeaderCallerRequestID carries the caller's request ID to endpoints.
	HeaderCallerRequestID = "X-Caller-Request-Id"
	HeaderIdempotencyKey  = "Idempotency-Key"
	// HeaderDeadline is the caller's timeout in milliseconds. Towards endpoints
	// it is the remaining time.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderCaller identifies the caller for fair queueing.
	HeaderCaller = "X-Caller"
	// HeaderNotRun is set to "true" by an endpoint on a 503 response to a
	// request that it did not run.
	HeaderNotRun = "X-Not-Run"
)

var titles = map[Type]string{
	TypeUnknownService:  "No such service",
	TypeNotReady:        "No routes known yet",
	TypeDraining:        "Shutting down",
	TypeBodyTooLarge:    "Request body too large",
	TypeBodyBroken:      "Request body incomplete",
	TypeBadKey:          "Bad Idempotency-Key",
	TypeNoMemory:        "Too many request bodies held",
	TypeOverload:        "Too many requests",
	TypeDeadline:        "Cannot finish before the deadline",
	TypeNoEndpoint:      "No endpoint could be reached",
	TypeEndpointFailed:  "The endpoint gave no whole answer",
	TypeEndpointTimeout: "No answer before the deadline",
	TypeNeedsHTTP11:     "It has run; its long answer has no length, which HTTP/1.0 cannot carry safely",
	TypeKeyConflict:     "The Idempotency-Key belongs to another request",
	TypeKeyUnknown:      "An earlier attempt may have run",
	TypeKeyFinished:     "It has run; the answer is no longer kept",
	TypeKeyUnavailable:  "The Idempotency-Key could not be claimed",
}

// minRetryAfter is the Retry-After of a refusal without a better estimate.
const minRetryAfter = 100 * time.Millisecond

// write sends the problem as the response.
func (p Problem) write(w http.ResponseWriter, retryAfter time.Duration) {
	p.Title = titles[p.Type]
	p.RetryAfterMillis = max(retryAfter, minRetryAfter).Milliseconds()
	body, err := json.Marshal(p)
	if err != nil { // cannot happen: every field of a Problem can be encoded
		body = nil
	}
	h := w.Header()
	h.Set("Content-Type", ProblemContentType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderRequestID, p.RequestID)
	// The header carries whole seconds only; round up.
	h.Set("Retry-After", strconv.FormatInt((p.RetryAfterMillis+999)/1000, 10))
	w.WriteHeader(p.Status)
	_, _ = w.Write(body) // fails only if the caller has disconnected
}
