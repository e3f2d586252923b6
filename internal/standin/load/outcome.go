package load

import (
	"encoding/json"
	"fmt"
	"io"
	"mime"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"cyclamenwheel/internal/standin"
)

// Kind classifies the result of a request.
type Kind string

// Kinds of outcomes.
const (
	// Answered is a complete answer to the caller's own request.
	Answered Kind = "answered"
	// RefusedNo, RefusedUnknown and RefusedYes are typed refusals, by what they say about
	// whether the request ran.
	RefusedNo      Kind = "refused_ran_no"
	RefusedUnknown Kind = "refused_ran_unknown"
	RefusedYes     Kind = "refused_ran_yes"
	// Untyped is an error status without a problem document.
	Untyped Kind = "untyped"
	// Broken is a failed connection or a truncated answer.
	Broken Kind = "broken"
	// Wrong is an answer that belongs to another request.
	Wrong Kind = "wrong"
)

// problemType is the media type of a typed refusal.
const problemType = "application/problem+json"

// maxAnswerBytes limits how much of an answer is read.
const maxAnswerBytes = 1 << 20

// Outcome is the result of one attempt.
type Outcome struct {
	RequestID string
	Key       string
	Kind      Kind
	Detail    string
	Latency   time.Duration
	// Resent reports that the caller's own transport sent the request more than once, as it may
	// with a GET. A refusal then speaks of the last time only.
	Resent bool
}

// problem holds the fields of a problem document that the check needs.
type problem struct {
	Type  string `json:"type"`
	Title string `json:"title"`
	Ran   string `json:"ran"`
}

// send performs one attempt.
func (d *driver) send(r request, attempt int) Outcome {
	out := Outcome{RequestID: fmt.Sprintf("%s-%d-%d", d.runID, r.n, attempt)}
	req, err := d.build(r, attempt, &out)
	if err != nil {
		out.Kind, out.Detail = Broken, err.Error()
		return out
	}
	var sent atomic.Int32
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Add(1) },
	}))
	began := time.Now()
	resp, err := d.client.Do(req)
	out.Resent = sent.Load() > 1
	if err != nil {
		out.Kind, out.Detail, out.Latency = Broken, err.Error(), time.Since(began)
		return out
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	out.Latency = time.Since(began)
	if err != nil {
		out.Kind, out.Detail = Broken, err.Error()
		return out
	}
	out.Kind, out.Detail = classify(resp, body, out)
	return out
}

func (d *driver) build(r request, attempt int, out *Outcome) (*http.Request, error) {
	method, path, body := http.MethodGet, "/item/", io.Reader(nil)
	if r.post {
		out.Key = fmt.Sprintf("%s-key-%d", d.runID, r.n)
		// The body depends on the key only: a different body under the same key would be a
		// different request.
		method, path, body = http.MethodPost, "/order/", strings.NewReader(out.Key)
	}
	if r.plain {
		method, path, body = http.MethodPost, "/order/", strings.NewReader(out.RequestID)
	}
	url := strings.TrimRight(r.entries[attempt], "/") + "/" + r.service + path + strconv.Itoa(r.n)
	req, err := http.NewRequest(method, url, body)
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport cannot resend a keyed POST by itself.
	req.GetBody = nil
	req.Header.Set(standin.HeaderRequestID, out.RequestID)
	if out.Key != "" {
		req.Header.Set(standin.HeaderIdempotencyKey, out.Key)
	}
	if d.opts.WorkMillis > 0 {
		req.Header.Set(standin.HeaderWork, strconv.FormatInt(d.opts.WorkMillis, 10))
	}
	return req, nil
}

func classify(resp *http.Response, body []byte, out Outcome) (Kind, string) {
	if resp.StatusCode/100 == 2 {
		return classifyAnswer(resp, body, out)
	}
	media, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	var p problem
	if media == problemType && json.Unmarshal(body, &p) == nil {
		detail := strings.TrimSpace(p.Type + " " + p.Title)
		switch p.Ran {
		case "no":
			return RefusedNo, detail
		case "unknown":
			return RefusedUnknown, detail
		case "yes":
			return RefusedYes, detail
		}
	}
	return Untyped, resp.Status
}

// classifyAnswer checks that the answer belongs to the request. A repeated key may get the
// stored answer of its first attempt, so a keyed answer is matched by its key and any other by
// its request id.
func classifyAnswer(resp *http.Response, body []byte, out Outcome) (Kind, string) {
	var answer standin.EndpointAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return Wrong, "malformed: " + err.Error()
	}
	if out.Key != "" {
		if answer.IdempotencyKey != out.Key {
			return Wrong, "answer has key " + answer.IdempotencyKey
		}
		return Answered, ""
	}
	echoed := resp.Header.Get(standin.HeaderRequestID)
	if answer.RequestID != out.RequestID || (echoed != "" && echoed != out.RequestID) {
		return Wrong, "answer is of request " + answer.RequestID + ", header says " + echoed
	}
	return Answered, ""
}
