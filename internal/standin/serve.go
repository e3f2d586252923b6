package standin

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cyclamenwheel/internal/platform"
)

// Headers and paths that endpoints understand.
const (
	HeaderRequestID = "X-Request-Id"
	// HeaderCallerRequestID is the request id chosen by the original caller. An
	// entry sets it on forwarded requests, where HeaderRequestID is unique to the
	// attempt.
	HeaderCallerRequestID = "X-Caller-Request-Id"
	HeaderIdempotencyKey  = "Idempotency-Key"
	// HeaderNotRun is "true" on a 503 that guarantees that the endpoint did not run
	// the request.
	HeaderNotRun = "X-Not-Run"
	// HeaderWork requests a service time in milliseconds.
	HeaderWork = "X-Work-Ms"
	// PathHealth is the path of an instance's health check.
	PathHealth = "/healthz"
)

const (
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = 16 << 20
	// maxWork bounds the service time that a request may ask for.
	maxWork = 10 * time.Minute
	// jsonType is the content type of all JSON responses.
	jsonType = "application/json"
)

// EndpointAnswer is the body of an endpoint's response.
type EndpointAnswer struct {
	Instance       string `json:"instance"`
	BootID         string `json:"boot_id"`
	Pool           string `json:"pool"`
	Service        string `json:"service"`
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// Run is the number of this run in the history.
	Run        int    `json:"run"`
	BodySHA256 string `json:"body_sha256"`
}

// Health is the body of a health check response.
type Health struct {
	Instance string `json:"instance"`
	BootID   string `json:"boot_id"`
	Pool     string `json:"pool"`
}

// connection serves one client connection. It reads and writes HTTP on the raw
// connection, because faults need responses that are truncated, duplicated or out
// of order, which http.Server prevents.
type connection struct {
	session *session
	conn    net.Conn
	// heldBack is response data that is sent with the next response.
	heldBack []byte
}

func (s *session) serveConn(conn net.Conn) {
	x := &connection{session: s, conn: conn}
	br := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if strings.EqualFold(req.Header.Get("Expect"), "100-continue") {
			x.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
		}
		body, err := io.ReadAll(io.LimitReader(req.Body, maxBodyBytes+1))
		if err != nil || len(body) > maxBodyBytes || !x.handleRequest(req, body) || req.Close {
			return
		}
	}
}

// handleRequest responds to one request and reports whether the connection stays
// open.
func (x *connection) handleRequest(req *http.Request, body []byte) bool {
	if req.URL.Path == PathHealth {
		return x.write(x.healthResponse(req))
	}
	fault := x.session.ep.nextFault()
	if fault.Hang {
		<-x.session.done
		return false
	}
	if fault.NotRun {
		return x.send(notRunResponse(req, fault), fault)
	}
	service, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	sum := sha256.Sum256(body)
	run, verdict := x.session.beginRun(Run{Service: service, RequestID: callerRequestID(req),
		IdempotencyKey: req.Header.Get(HeaderIdempotencyKey), Method: req.Method,
		Path: req.URL.Path, BodySHA256: hex.EncodeToString(sum[:])})
	switch verdict {
	case noFreeSlot:
		return x.write(notRunResponse(req, fault))
	case sessionClosed:
		return false
	}
	return x.runRequest(req, run, fault)
}

// notRunResponse reports that the request did not run. It carries the request id:
// without it, a late copy could be mistaken for the response to the next request.
func notRunResponse(req *http.Request, fault EndpointFault) []byte {
	header := fault.responseHeader(req.Header.Get(HeaderRequestID))
	header.Set(HeaderNotRun, "true")
	return renderResponse(req, http.StatusServiceUnavailable, header, nil)
}

// responseHeader returns the header that every response to a request carries.
func (f EndpointFault) responseHeader(requestID string) http.Header {
	switch {
	case f.NoRequestID:
		return http.Header{}
	case f.WrongRequestID:
		return http.Header{HeaderRequestID: {"wrong-" + requestID}}
	}
	return http.Header{HeaderRequestID: {requestID}}
}

// runRequest executes a request that holds a slot. It keeps the slot until the
// response is written, so that a planned reboot does not cut the response either.
func (x *connection) runRequest(req *http.Request, run Run, fault EndpointFault) bool {
	completed := false
	defer func() { x.session.endRun(run, completed) }()
	if !x.waitForWork(fault.serviceTime(requestedWork(req))) {
		return false
	}
	if fault.CloseAfterRun {
		completed = true
		return false
	}
	ok := x.respond(req, run, fault)
	completed = ok || !x.session.isClosed()
	return ok
}

// waitForWork waits for d and reports whether the session is still open.
func (x *connection) waitForWork(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return !x.session.isClosed()
	case <-x.session.done:
		return false
	}
}

func (x *connection) respond(req *http.Request, run Run, fault EndpointFault) bool {
	status := http.StatusOK
	if fault.FailStatus != 0 {
		status = fault.FailStatus
	}
	header := fault.responseHeader(req.Header.Get(HeaderRequestID))
	payload := mustJSON(EndpointAnswer{Instance: run.Instance, BootID: run.BootID, Pool: run.Pool,
		Service: run.Service, RequestID: run.RequestID, IdempotencyKey: run.IdempotencyKey,
		Run: run.Seq, BodySHA256: run.BodySHA256})
	if pad := fault.AnswerBytes - len(payload); pad > 0 {
		payload = append(payload, bytes.Repeat([]byte{' '}, pad)...)
	}
	out := renderResponse(req, status, header, payload)
	if fault.Chunked {
		out = renderChunkedResponse(req, status, header, payload)
	}
	if fault.Cross {
		out = x.session.crossResponse(out)
	}
	if fault.CutBody {
		x.write(out[:len(out)-len(payload)/2])
		return false
	}
	return x.send(out, fault)
}

// send writes a response, applying the faults that hold it back or repeat it.
func (x *connection) send(out []byte, fault EndpointFault) bool {
	switch {
	case fault.HoldBack:
		x.heldBack = append(x.heldBack, out...)
		return true
	case fault.Duplicate:
		out = append(out, out...)
	}
	ok := x.write(out)
	if fault.RepeatLate {
		x.heldBack = out
	}
	return ok
}

// write sends the data held back, followed by out.
func (x *connection) write(out []byte) bool {
	data := append(x.heldBack, out...)
	x.heldBack = nil
	_, err := x.conn.Write(data)
	return err == nil
}

func (x *connection) healthResponse(req *http.Request) []byte {
	pool, state := x.session.poolAndState()
	status := http.StatusOK
	if state != platform.StateLive {
		status = http.StatusServiceUnavailable
	}
	return renderResponse(req, status, http.Header{}, mustJSON(Health{Instance: x.session.ep.id, BootID: x.session.boot, Pool: pool}))
}

func callerRequestID(req *http.Request) string {
	if id := req.Header.Get(HeaderCallerRequestID); id != "" {
		return id
	}
	return req.Header.Get(HeaderRequestID)
}

func requestedWork(req *http.Request) time.Duration {
	ms, err := strconv.ParseInt(req.Header.Get(HeaderWork), 10, 64)
	if err != nil || ms < 0 {
		return 0
	}
	return min(time.Duration(ms)*time.Millisecond, maxWork)
}

// renderResponse returns the response as sent on the wire.
func renderResponse(req *http.Request, status int, header http.Header, body []byte) []byte {
	return serialize(newResponse(req, status, header, body))
}

func renderChunkedResponse(req *http.Request, status int, header http.Header, body []byte) []byte {
	resp := newResponse(req, status, header, body)
	resp.ContentLength, resp.TransferEncoding = -1, []string{"chunked"}
	return serialize(resp)
}

func newResponse(req *http.Request, status int, header http.Header, body []byte) *http.Response {
	header.Set("Content-Type", jsonType)
	return &http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: header,
		Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)), Request: req, Close: req.Close}
}

func serialize(resp *http.Response) []byte {
	var buf bytes.Buffer
	// Writing a body of known length to memory does not fail.
	_ = resp.Write(&buf)
	return buf.Bytes()
}

// mustJSON encodes structs of strings and numbers, which cannot fail.
func mustJSON(v any) []byte {
	data, _ := json.Marshal(v)
	return data
}
