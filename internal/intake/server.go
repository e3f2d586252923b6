package intake

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"syscall"
	"time"
)

// Listen listens for clients on a TCP address. Connections beyond the limits are closed, for which
// stalled ones are closed first.
func (g *Guard) Listen(addr string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(fd uintptr) {
			// Connections inherit it. The kernel would otherwise keep megabytes of each client that
			// sends faster than it is read.
			failure = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		if failure != nil {
			g.log.Warn("receive buffers keep the size of the system", "listen", addr, "error", failure.Error())
		}
		return err
	}}
	l, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: l, guard: g}, nil
}

type listener struct {
	net.Listener
	guard *Guard
}

// Accept returns the next connection that the limits have room for.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.admit(raw); c != nil {
			return c, nil
		}
		_ = raw.Close() // the client has sent nothing that was handled
	}
}

type connKey struct{}

// Protect makes a server that is not started yet count its requests against the guard. Its listener
// must be one of the guard's, with or without TLS.
func (g *Guard) Protect(server *http.Server) {
	server.ConnContext = func(ctx context.Context, raw net.Conn) context.Context {
		if c := connOf(raw); c != nil {
			return context.WithValue(ctx, connKey{}, c)
		}
		return ctx
	}
	server.ConnState = func(raw net.Conn, state http.ConnState) {
		if c := connOf(raw); c != nil && state == http.StateIdle {
			c.awaitRequest()
		}
	}
	server.Handler = protect(server.Handler)
}

// connOf returns the guarded connection of a server's one, nil for none.
func connOf(raw net.Conn) *conn {
	if encrypted, ok := raw.(*tls.Conn); ok {
		raw = encrypted.NetConn()
	}
	c, _ := raw.(*conn)
	return c
}

// protect counts each request of next against its connection's guard, and gives it a body that
// ReadBody reads.
func protect(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		c.beginRequest(headerCost(r))
		defer c.endRequest()
		if r.ContentLength != 0 {
			b := &body{conn: c, answer: w, control: http.NewResponseController(w), source: r.Body, length: r.ContentLength,
				awaitsContinue: r.Header.Get("Expect") != ""}
			r.Body = b
			w = &answerWriter{ResponseWriter: w, body: b}
		}
		next.ServeHTTP(w, r)
	})
}

// answerWriter decides before the answer to a request with a body whether the connection closes.
type answerWriter struct {
	http.ResponseWriter
	body  *body
	begun bool
}

// Unwrap gives http.ResponseController the connection's writer.
func (a *answerWriter) Unwrap() http.ResponseWriter { return a.ResponseWriter }

func (a *answerWriter) WriteHeader(status int) {
	if !a.begun && status >= http.StatusOK {
		a.begun = true
		a.body.beforeAnswer()
	}
	a.ResponseWriter.WriteHeader(status)
}

func (a *answerWriter) Write(p []byte) (int, error) {
	if !a.begun {
		a.WriteHeader(http.StatusOK)
	}
	return a.ResponseWriter.Write(p)
}

// headerCost returns the approximate memory of a request's header, in bytes.
func headerCost(r *http.Request) int64 {
	cost := int64(headerBase + len(r.RequestURI))
	for name, values := range r.Header {
		for _, v := range values {
			cost += int64(len(name)+len(v)) + fieldCost
		}
	}
	return cost
}

// beginRequest replaces the charge of an arriving header with the cost of the whole one, whose memory
// is in use already.
func (c *conn) beginRequest(cost int64) {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	g.releaseLocked(c, c.headerHeld-cost)
	c.headerHeld = 0
	c.phase = phaseHandling
	c.requests++
}

// endRequest releases what the request held. Its answer may not have been written yet.
func (c *conn) endRequest() {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if !c.givenUp { // released before otherwise
		g.releaseLocked(c, c.held-connectionCost)
	}
}

// awaitRequest begins the wait for the next request, after the answer to the last one.
func (c *conn) awaitRequest() {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.phase, c.progressAt, c.sinceProgress = phaseHeader, time.Now(), 0
}
