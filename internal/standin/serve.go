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

// Headers that endpoints know.
const (
	HeaderRequestID = "X-Request-Id"
	// HeaderCallerRequestID is the caller's own id of a request that comes
	// through an entry; HeaderRequestID is then unique to the attempt.
	HeaderCallerRequestID = "X-Caller-Request-Id"
	HeaderIdempotencyKey  = "Idempotency-Key"
	// HeaderNotRun is "true" on a 503 by which an endpoint vouches that it did
	// not run the request.
	HeaderNotRun = "X-Not-Run"
	// HeaderWork asks for a service time in milliseconds.
	HeaderWork = "X-Work-Ms"
	// PathHealth is the health check of an instance.
	PathHealth = "/healthz"
)

const (
	// maxBodyBytes bounds a request's body.
	maxBodyBytes = 16 << 20
	// maxWork bounds what a request may ask for.
	maxWork = 10 * time.Minute
	// jsonType is the content type of all answers.
	jsonType = "application/json"
)

// EndpointAnswer is the body of an endpoint's answer.
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

// Health is the body of a health check.
type Health struct {
	Instance string `json:"instance"`
	BootID   string `json:"boot_id"`
	Pool     string `json:"pool"`
}

// exchange is one connection's state. HTTP is spoken on the bare connection,
// since the faults need answers cut, doubled and out of turn, which
// http.Server prevents.
type exchange struct {
	s    *session
	conn net.Conn
	// held is an answer kept back until the next request.
	held []byte
}

func (s *session) serve(conn net.Conn) {
	x := &exchange{s: s, conn: conn}
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
		if err != nil || len(body) > maxBodyBytes || !x.handle(req, body) || req.Close {
			return
		}
	}
}

// handle answers one request and reports whether the connection stays open.
func (x *exchange) handle(req *http.Request, body []byte) bool {
	if req.URL.Path == PathHealth {
		return x.write(x.health(req))
	}
	fault := x.s.ep.nextFault()
	if fault.Hang {
		<-x.s.done
		return false
	}
	if fault.NotRun {
		return x.send(refusal(req, fault), fault)
	}
	service, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	sum := sha256.Sum256(body)
	run, verdict := x.s.begin(Run{Service: service, RequestID: callersID(req),
		IdempotencyKey: req.Header.Get(HeaderIdempotencyKey), Method: req.Method,
		Path: req.URL.Path, BodySHA256: hex.EncodeToString(sum[:])})
	switch verdict {
	case slotsTaken:
		return x.write(refusal(req, fault))
	case shuttingDown:
		return false
	}
	return x.run(req, run, fault)
}

// refusal says that the request did not run. It names the request: without
// that, one that comes late could be taken for the answer to the next request.
func refusal(req *http.Request, fault EndpointFault) []byte {
	header := fault.header(req.Header.Get(HeaderRequestID))
	header.Set(HeaderNotRun, "true")
	return render(req, http.StatusServiceUnavailable, header, nil)
}

// header is what every answer to a request carries.
func (f EndpointFault) header(requestID string) http.Header {
	switch {
	case f.NoRequestID:
		return http.Header{}
	case f.WrongRequestID:
		return http.Header{HeaderRequestID: {"wrong-" + requestID}}
	}
	return http.Header{HeaderRequestID: {requestID}}
}

// run is a request that has a slot. It keeps the slot until its answer is
// written: a planned reboot must not cut the answer either.
func (x *exchange) run(req *http.Request, run Run, fault EndpointFault) bool {
	completed := false
	defer func() { x.s.end(run, completed) }()
	if !x.work(fault.workTime(workAsked(req))) {
		return false
	}
	if fault.CloseAfterRun {
		completed = true
		return false
	}
	ok := x.answer(req, run, fault)
	completed = ok || !x.s.cut()
	return ok
}

// work takes d unless the instance goes down meanwhile.
func (x *exchange) work(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return !x.s.cut()
	case <-x.s.done:
		return false
	}
}

func (x *exchange) answer(req *http.Request, run Run, fault EndpointFault) bool {
	status := http.StatusOK
	if fault.FailStatus != 0 {
		status = fault.FailStatus
	}
	header := fault.header(req.Header.Get(HeaderRequestID))
	payload := mustJSON(EndpointAnswer{Instance: run.Instance, BootID: run.BootID, Pool: run.Pool,
		Service: run.Service, RequestID: run.RequestID, IdempotencyKey: run.IdempotencyKey,
		Run: run.Seq, BodySHA256: run.BodySHA256})
	if pad := fault.AnswerBytes - len(payload); pad > 0 {
		payload = append(payload, bytes.Repeat([]byte{' '}, pad)...)
	}
	out := render(req, status, header, payload)
	if fault.Chunked {
		out = renderChunked(req, status, header, payload)
	}
	if fault.Cross {
		out = x.s.cross(out)
	}
	if fault.CutBody {
		x.write(out[:len(out)-len(payload)/2])
		return false
	}
	return x.send(out, fault)
}

// send writes an answer, or keeps it back, and perhaps again.
func (x *exchange) send(out []byte, fault EndpointFault) bool {
	switch {
	case fault.HoldBack:
		x.held = append(x.held, out...)
		return true
	case fault.Duplicate:
		out = append(out, out...)
	}
	ok := x.write(out)
	if fault.RepeatLate {
		x.held = out
	}
	return ok
}

// write sends what was held back and then out.
func (x *exchange) write(out []byte) bool {
	data := append(x.held, out...)
	x.held = nil
	_, err := x.conn.Write(data)
	return err == nil
}

func (x *exchange) health(req *http.Request) []byte {
	pool, state := x.s.identity()
	status := http.StatusOK
	if state != platform.StateLive {
		status = http.StatusServiceUnavailable
	}
	return render(req, status, http.Header{}, mustJSON(Health{Instance: x.s.ep.id, BootID: x.s.boot, Pool: pool}))
}

func callersID(req *http.Request) string {
	if id := req.Header.Get(HeaderCallerRequestID); id != "" {
		return id
	}
	return req.Header.Get(HeaderRequestID)
}

func workAsked(req *http.Request) time.Duration {
	ms, err := strconv.ParseInt(req.Header.Get(HeaderWork), 10, 64)
	if err != nil || ms < 0 {
		return 0
	}
	return min(time.Duration(ms)*time.Millisecond, maxWork)
}

// render is the answer as it goes over the wire.
func render(req *http.Request, status int, header http.Header, body []byte) []byte {
	return serialize(answerOf(req, status, header, body))
}

func renderChunked(req *http.Request, status int, header http.Header, body []byte) []byte {
	resp := answerOf(req, status, header, body)
	resp.ContentLength, resp.TransferEncoding = -1, []string{"chunked"}
	return serialize(resp)
}

func answerOf(req *http.Request, status int, header http.Header, body []byte) *http.Response {
	header.Set("Content-Type", jsonType)
	return &http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: header,
		Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)), Request: req, Close: req.Close}
}

func serialize(resp *http.Response) []byte {
	var buf bytes.Buffer
	// Writing to memory a body of known length does not fail.
	_ = resp.Write(&buf)
	return buf.Bytes()
}

// mustJSON encodes structs of strings and numbers, which cannot fail.
func mustJSON(v any) []byte {
	data, _ := json.Marshal(v)
	return data
}
