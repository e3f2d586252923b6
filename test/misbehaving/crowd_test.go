package misbehaving_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
)

const (
	// writeTimeout bounds one write of a member whose bytes are not read.
	writeTimeout = 10 * time.Second
	// returnDelay is the time after which a member comes back whose connection was closed.
	returnDelay = 200 * time.Millisecond
	// dialTimeout bounds the wait for a connection that is not accepted.
	dialTimeout = 10 * time.Second
)

// member is one client of a crowd on its present connection.
type member struct {
	number, round int
	conn          net.Conn
	failed        bool
	// unread is set for members that never read what they are sent.
	unread bool
}

// gather starts a crowd. Each member connects, sends and keeps its connection open; when that is
// closed it comes back, until the spec ends. gather returns when each member has sent once.
func gather(size int, addr string, send func(*member)) {
	GinkgoHelper()
	ctx, end := context.WithCancel(context.Background())
	var all, first sync.WaitGroup
	first.Add(size)
	for i := range size {
		all.Go(func() {
			sentOnce := sync.OnceFunc(first.Done)
			defer sentOnce()
			for round := 0; ctx.Err() == nil; round++ {
				(&member{number: i, round: round}).visit(ctx, addr, send, sentOnce)
				select {
				case <-time.After(returnDelay):
				case <-ctx.Done():
				}
			}
		})
	}
	DeferCleanup(func() {
		end()
		all.Wait()
	})
	first.Wait()
}

// visit connects, sends and waits until the connection is closed or ctx ends.
func (m *member) visit(ctx context.Context, addr string, send func(*member), sent func()) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", addr)
	if err != nil {
		sent()
		return
	}
	m.conn = conn
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer func() {
		stop()
		_ = conn.Close()
	}()
	send(m)
	sent()
	switch {
	case m.unread:
		<-ctx.Done()
	case !m.failed:
		_, _ = io.Copy(io.Discard, conn)
	}
}

// write sends text, unless an earlier write on the connection has failed.
func (m *member) write(text string) { m.writeBytes([]byte(text)) }

// writeBytes is write for bodies, which a crowd shares.
func (m *member) writeBytes(data []byte) {
	if m.failed {
		return
	}
	_ = m.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := m.conn.Write(data)
	m.failed = err != nil
}

// submitMany submits jobs with the same body, each after the answer to the one before.
func (m *member) submitMany(body string) {
	data := []byte(body)
	answers := bufio.NewReader(m.conn)
	for i := range wholeRequests {
		m.post(fmt.Sprintf("/%s/%08x%08x", pool, m.number+1, m.round*wholeRequests+i), length(len(body)))
		m.writeBytes(data)
		if m.failed {
			return
		}
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			m.failed = true
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	}
}

// ask sends one whole submission and returns the status of its answer, 0 for none.
func (m *member) ask(addr, lines, body string) int {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	m.conn = conn
	m.post(m.path(), lines)
	m.write(body)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// path returns the path of a job that no other round has.
func (m *member) path() string {
	return fmt.Sprintf("/%s/%08x%08x", pool, m.number+1, m.round)
}

// post sends the header of a submission with the given lines.
func (m *member) post(path string, lines ...string) {
	m.write("POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" + strings.Join(lines, "\r\n") + "\r\n\r\n")
}

const chunked = "Transfer-Encoding: chunked"

func length(n int) string { return fmt.Sprintf("Content-Length: %d", n) }

// pieces sends data in pieces of the given size, each through a function of its own.
func pieces[T string | []byte](data T, size int, send func(T)) {
	for len(data) > 0 {
		n := min(size, len(data))
		send(data[:n])
		data = data[n:]
	}
}

// chunk returns text in the form of one chunk.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
