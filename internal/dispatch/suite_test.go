package dispatch

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/idempotency"
	"cyclamenwheel/internal/intake"
	"cyclamenwheel/internal/manifest"
)

func TestDispatch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dispatch")
}

// worker is a test endpoint that counts the requests it runs. run gets the
// connection once a whole request has been read, and may misbehave on it; it
// returns false to close the connection.
type worker struct {
	Endpoint
	runs     atomic.Int64
	conns    atomic.Int64
	identity atomic.Pointer[health]
	run      func(n int64, req *http.Request, body []byte, out net.Conn) bool
	listener net.Listener
	// healthAnswers is the number of responses sent to each health check.
	healthAnswers atomic.Int64
}

func newWorker(name string, run func(n int64, req *http.Request, body []byte, out net.Conn) bool) *worker {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	w := &worker{
		Endpoint: Endpoint{Instance: name, BootID: "boot-1", Addr: l.Addr().String(), Slots: 8, Connections: 64, Zone: "a"},
		run:      run, listener: l,
	}
	w.healthAnswers.Store(1)
	w.identity.Store(&health{Instance: name, BootID: "boot-1", Pool: "tabs"})
	go w.accept()
	DeferCleanup(l.Close)
	return w
}

func (w *worker) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.conns.Add(1)
		go w.serve(c)
	}
}

func (w *worker) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if req.URL.Path == "/healthz" {
			b, _ := json.Marshal(w.identity.Load())
			response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(b), b)
			_, _ = io.WriteString(c, strings.Repeat(response, int(w.healthAnswers.Load())))
			continue
		}
		if !w.run(w.runs.Add(1), req, body, c) {
			return
		}
	}
}

// reply writes a complete response. header is raw lines, each terminated by
// CRLF.
func reply(c net.Conn, status int, header, body string) {
	fmt.Fprintf(c, "HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
}

func echo(_ int64, req *http.Request, body []byte, c net.Conn) bool {
	reply(c, 200, "X-Request-Id: "+req.Header.Get(HeaderRequestID)+"\r\n", req.Method+" "+req.RequestURI+" "+string(body))
	return true
}

var tabsService = manifest.Service{
	Name: "tabs", Pool: "tabs",
	Classes: []manifest.Class{
		{Name: "charge", Methods: []string{"POST"}, PathPrefix: "/charge", DeadlineMillis: 3000},
		{Name: "read", Idempotent: true, DeadlineMillis: 3000},
	},
}

// entry is a Handler with its route table, behind a test server.
type entry struct {
	*Handler
	table  atomic.Pointer[RouteTable]
	server *httptest.Server
}

func newEntry(o Options, endpoints ...Endpoint) *entry {
	e := &entry{}
	e.publish(endpoints...)
	o.Routes = e.table.Load
	e.Handler = NewHandler(o)
	e.server = guarded(e.Handler)
	DeferCleanup(e.server.Close)
	return e
}

// guarded serves h as an entry does.
func guarded(h http.Handler) *httptest.Server {
	limits := intake.Settings{ProcessMemory: 256 << 20, BodyTimeout: testTimeout, AnswerTimeout: testTimeout}.Limits()
	guard := intake.NewGuard(limits, slog.New(slog.DiscardHandler))
	listener, err := guard.Listen("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: h}}
	guard.Protect(server.Config)
	server.Start()
	return server
}

func (e *entry) publish(endpoints ...Endpoint) {
	e.table.Store(NewRouteTable(1, []manifest.Service{tabsService}, map[string][]Endpoint{"tabs": endpoints}))
	if e.Handler != nil {
		e.RoutesChanged()
	}
}

// outcome is what a caller observes.
type outcome struct {
	status          int
	header          http.Header
	body            string
	problem         Problem
	connectionClose bool // the response announces the end of the connection
	err             error
}

func (e *entry) do(method, path, body string, header ...string) outcome {
	req, err := http.NewRequest(method, e.server.URL+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := e.server.Client().Do(req)
	if err != nil {
		return outcome{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	out := outcome{status: resp.StatusCode, header: resp.Header, body: string(b), connectionClose: resp.Close, err: err}
	if resp.Header.Get("Content-Type") == ProblemContentType {
		Expect(json.Unmarshal(b, &out.problem)).To(Succeed())
		Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
	}
	return out
}

// unusedAddr returns an address on which nothing listens.
func unusedAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return l.Addr().String()
}

const testTimeout = 5 * time.Second

var _ idempotency.Claims = (*fakeClaims)(nil)
