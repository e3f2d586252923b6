package intake

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// patience bounds waits for conditions.
const patience = 10 * time.Second

var quiet = slog.New(slog.DiscardHandler)

// newConn returns a connection of a guard whose other end is never read or written.
func newConn(t *testing.T, g *Guard) *conn {
	near, far := net.Pipe()
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	return g.admit(near)
}

// stall makes a connection wait for its client, without progress for the given time.
func (c *conn) stall(p phase, requests int, idle time.Duration) {
	c.phase, c.requests, c.waiting, c.progressAt = p, requests, true, time.Now().Add(-idle)
}

// Guards against ordinary clients that are closed, or refused, in place of a crowd that holds more for
// longer without progress.
func TestTheClientThatHoldsMostForLongestGivesWay(t *testing.T) {
	g := NewWithT(t)
	guard := NewGuard(Limits{Memory: 64 * connectionCost, Connections: 8}, quiet)
	recent, stalled, answered, idle := newConn(t, guard), newConn(t, guard), newConn(t, guard), newConn(t, guard)
	g.Expect(guard.charge(stalled, 8*connectionCost)).To(BeTrue())
	g.Expect(guard.charge(recent, 8*connectionCost)).To(BeTrue())
	recent.stall(phaseBody, 0, 10*time.Millisecond)
	stalled.stall(phaseBody, 0, 100*time.Millisecond)
	answered.stall(phaseHandling, 1, time.Hour)
	idle.stall(phaseHeader, 1, time.Second)
	var order []*conn
	for _, want := range []*conn{stalled, recent, idle} {
		guard.mu.Lock()
		g.Expect(guard.closeOneLocked(time.Now(), nil, reasonMemory)).To(BeTrue())
		guard.mu.Unlock()
		g.Expect(want.givenUp).To(BeTrue())
		order = append(order, want)
	}
	g.Expect(order).To(HaveLen(3))
	guard.mu.Lock()
	g.Expect(guard.closeOneLocked(time.Now(), nil, reasonMemory)).To(BeFalse(), "a request that has arrived whole is answered")
	guard.mu.Unlock()
	g.Expect(answered.givenUp).To(BeFalse())
}

// Guards against a request that takes the memory of others that have not stalled, and against large
// requests that leave no room for small ones.
func TestTheBudgetBoundsWhatClientsHold(t *testing.T) {
	g := NewWithT(t)
	guard := NewGuard(Limits{Memory: 100 * connectionCost, Connections: 8}, quiet)
	first, second := newConn(t, guard), newConn(t, guard)
	first.stall(phaseHandling, 1, 0)
	g.Expect(guard.charge(first, 60*connectionCost)).To(BeTrue())
	g.Expect(guard.charge(second, 30*connectionCost)).To(BeFalse(), "three quarters are for large requests")
	g.Expect(guard.charge(second, smallCost)).To(BeTrue())
	guard.release(first, 60*connectionCost)
	g.Expect(guard.charge(second, 30*connectionCost)).To(BeTrue())
	g.Expect(guard.held).To(BeEquivalentTo(32*connectionCost + smallCost))
	g.Expect(first.Close()).To(Succeed())
	g.Expect(second.Close()).To(Succeed())
	g.Expect(guard.held).To(BeZero())
	g.Expect(guard.conns).To(BeEmpty())
}

// Guards against more descriptors than allowed while connections that were closed for others have not
// ended yet.
func TestConnectionsAreBoundedWhileOthersClose(t *testing.T) {
	g := NewWithT(t)
	guard := NewGuard(Limits{Memory: 1 << 30, Connections: 16}, quiet)
	admitted := 0
	for range 40 {
		if c := newConn(t, guard); c != nil {
			c.stall(phaseHeader, 0, time.Second)
			admitted++
		}
	}
	g.Expect(admitted).To(Equal(16 + 16/closingShare))
}

// serve serves a handler that reads bodies of up to limit bytes, and returns its address.
func serve(t *testing.T, guard *Guard, limit int64) string {
	listener, err := guard.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			data, err := ReadBody(r, limit, time.Time{})
			if err != nil {
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = fmt.Fprintf(w, "%T", err)
				return
			}
			_, _ = fmt.Fprint(w, len(data))
			return
		}
		w.WriteHeader(http.StatusNotFound)
	})}
	guard.Protect(server)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func usualLimits() Limits {
	return Limits{Memory: 8 << 20, Connections: 16, BodyTimeout: 200 * time.Millisecond, AnswerTimeout: patience}
}

// exchange sends text and returns the answer's status and body, and whether the connection closes.
func exchange(g *WithT, conn net.Conn, text string) (status int, body string, closes bool) {
	g.Expect(conn.SetDeadline(time.Now().Add(patience))).To(Succeed())
	_, err := io.WriteString(conn, text)
	g.Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	data, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	return resp.StatusCode, string(data), resp.Close
}

// Guards against bodies without a bound of size, memory or time, against refusals that wait for the
// body or are lost to a reset, and against connections that are closed although they can be used again.
func TestBodies(t *testing.T) {
	large := strings.Repeat("b", 100_000)
	for name, c := range map[string]struct {
		request string
		status  int
		body    string
		closes  bool
	}{
		"whole":                    {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", 200, "3", false},
		"in chunks":                {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 200, "3", false},
		"large":                    {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + large, 200, "100000", false},
		"announced too large":      {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100001\r\n\r\n", 503, "*intake.TooLargeError", true},
		"too large in chunks":      {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n186a1\r\n" + large + "b\r\n", 503, "*intake.TooLargeError", true},
		"stopped short":            {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nab", 503, "*intake.SlowError", true},
		"stopped short in chunks":  {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab", 503, "*intake.SlowError", true},
		"broken chunks":            {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n", 503, "*intake.BrokenError", true},
		"small that is not read":   {"PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", 404, "", false},
		"of an unread request":     {"PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nab", 404, "", true},
		"of a large unread one":    {"PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + large[1:], 404, "", true},
		"that waits for a go-on":   {"PUT / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n", 404, "", true},
		"announced beyond measure": {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9223372036854775807\r\n\r\n", 503, "*intake.TooLargeError", true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			guard := NewGuard(usualLimits(), quiet)
			conn, err := net.Dial("tcp", serve(t, guard, int64(len(large))))
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = conn.Close() }()
			status, body, closes := exchange(g, conn, c.request)
			g.Expect(status).To(Equal(c.status))
			g.Expect(body).To(Equal(c.body))
			g.Expect(closes).To(Equal(c.closes))
			if !closes {
				status, body, _ = exchange(g, conn, c.request)
				g.Expect(status).To(Equal(c.status), "the connection is used again")
				g.Expect(body).To(Equal(c.body))
			}
			_ = conn.Close()
			g.Eventually(func() int64 {
				guard.mu.Lock()
				defer guard.mu.Unlock()
				return guard.held
			}, patience).Should(BeZero(), "everything charged is released")
		})
	}
}

// Guards against a caller that is not told why its body was not taken when others need the memory.
func TestAnIncompleteBodyIsRefusedWhenOthersNeedItsMemory(t *testing.T) {
	g := NewWithT(t)
	limits := usualLimits()
	limits.Memory, limits.BodyTimeout = 1<<20, patience
	addr := serve(t, NewGuard(limits, quiet), limits.maxBody())
	part := strings.Repeat("b", int(limits.maxBody())/2)
	var first net.Conn
	for i := range 6 {
		conn, err := net.Dial("tcp", addr)
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", limits.maxBody(), part)
		g.Expect(err).NotTo(HaveOccurred())
		if i == 0 {
			first = conn
		}
		time.Sleep(20 * time.Millisecond) // they stall for different times
	}
	status, body, closes := exchange(g, first, "")
	g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(body).To(Equal("*intake.GivenUpError"))
	g.Expect(closes).To(BeTrue())
	last, err := net.Dial("tcp", addr)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = last.Close() }()
	status, _, _ = exchange(g, last, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
	g.Expect(status).To(Equal(http.StatusOK), "a small request is served beside them")
}

// Guards against a log that grows with the crowd, and one that does not tell of it.
func TestClosedClientsAreLoggedInOneLine(t *testing.T) {
	g := NewWithT(t)
	lines := make(chan string, 100)
	guard := NewGuard(Limits{Memory: 1 << 30, Connections: 1}, slog.New(slog.NewJSONHandler(lineWriter(lines), nil)))
	for range 100 {
		newConn(t, guard)
	}
	g.Eventually(lines, patience).Should(Receive(ContainSubstring(`"reason":"connections"`)))
	g.Expect(len(lines)).To(BeNumerically("<=", 1))
}

// lineWriter sends each line to a channel.
type lineWriter chan<- string

func (w lineWriter) Write(line []byte) (int, error) {
	w <- string(line)
	return len(line), nil
}

// Guards against an answer to a whole request that is lost because its connection is closed for others, or
// for a planned stop, before it has been written.
func TestAnAnswerThatIsNotWrittenYetIsNotGivenUp(t *testing.T) {
	g := NewWithT(t)
	guard := NewGuard(usualLimits(), quiet)
	listener, err := guard.Listen("127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })}
	guard.Protect(server)
	// The handler has returned and the answer is in the server's buffer; the server reads on, to notice that
	// its client has gone.
	protected := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		protected.ServeHTTP(w, r)
		g.Eventually(func() bool {
			guard.mu.Lock()
			defer guard.mu.Unlock()
			for c := range guard.conns {
				return c.waiting
			}
			return false
		}, patience).Should(BeTrue())
		guard.CloseIncomplete()
	})
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	status, body, _ := exchange(g, conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(status).To(Equal(http.StatusOK))
	g.Expect(body).To(Equal("answer"))
}

// Guards against defaults that exceed a small instance, or that a large body does not fit.
func TestLimitsAreDerivedFromTheSettings(t *testing.T) {
	g := NewWithT(t)
	small := Settings{ProcessMemory: 160 << 20, Descriptors: 4100}
	g.Expect(small.Limits().Memory).To(BeEquivalentTo(40 << 20))
	g.Expect(int64(small.Limits().Connections) * connectionCost).To(BeNumerically("<=", 40<<20))
	g.Expect(small.MaxBody()).To(BeNumerically(">", 262144))
	g.Expect(Settings{ProcessMemory: 1 << 30, Descriptors: 600}.Limits().Connections).To(Equal(300))
	set := Settings{ProcessMemory: 1 << 30, Memory: 1 << 20, Connections: 5, Descriptors: 600}.Limits()
	g.Expect(set.Memory).To(BeEquivalentTo(1 << 20))
	g.Expect(set.Connections).To(Equal(5))
}
