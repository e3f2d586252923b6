package graceful_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/standin"
	"cyclamenwheel/test/harness"
)

const (
	pinnedCallers = 24
	// pinnedPause is the time between an answer and the next request: short
	// against the ready grace, so that no connection is unused for all of it.
	pinnedPause = 5 * time.Millisecond
)

// pinned are callers behind a balancer that balances connections, not
// requests: an open connection stays with its entry until that entry says that
// it will close it.
type pinned struct {
	balancer *harness.Balancer
	stop     chan struct{}
	done     sync.WaitGroup
	answered atomic.Int64
	dialled  atomic.Int64

	mu       sync.Mutex
	failures []string
}

func startPinned(b *harness.Balancer) *pinned {
	p := &pinned{balancer: b, stop: make(chan struct{})}
	for i := range pinnedCallers {
		p.done.Go(func() { p.run(i) })
	}
	return p
}

// end stops the callers and returns what failed.
func (p *pinned) end() []string {
	close(p.stop)
	p.done.Wait()
	return p.failures
}

func (p *pinned) ended() bool {
	select {
	case <-p.stop:
		return true
	case <-time.After(pinnedPause):
		return false
	}
}

func (p *pinned) run(caller int) {
	rng := rand.New(rand.NewPCG(uint64(caller), 0))
	for n := 0; !p.ended(); n++ {
		ready := p.balancer.Ready()
		if len(ready) == 0 {
			continue
		}
		if err := p.connection(fmt.Sprintf("pinned-%d-%d", caller, n), ready[rng.IntN(len(ready))]); err != nil {
			p.mu.Lock()
			p.failures = append(p.failures, err.Error())
			p.mu.Unlock()
		}
	}
}

// connection sends one charge after another until the entry announces that it
// closes the connection.
func (p *pinned) connection(name, url string) error {
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	p.dialled.Add(1)
	br := bufio.NewReader(conn)
	for n := 0; !p.ended(); n++ {
		last, err := charge(conn, br, fmt.Sprintf("%s-%d", name, n))
		if err != nil {
			return fmt.Errorf("request %d of %s to %s: %w", n, name, url, err)
		}
		p.answered.Add(1)
		if last {
			return nil
		}
	}
	return nil
}

// charge sends one non-idempotent request and reads its whole answer.
func charge(conn net.Conn, br *bufio.Reader, id string) (last bool, err error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+conn.RemoteAddr().String()+"/"+poolTabs+"/order/1", http.NoBody)
	if err != nil {
		return false, err
	}
	req.Header.Set(standin.HeaderRequestID, id)
	if err := conn.SetDeadline(time.Now().Add(harness.Timeout)); err != nil {
		return false, err
	}
	if err := req.Write(conn); err != nil {
		return false, err
	}
	resp, err := http.ReadResponse(br, req)
	if err != nil {
		return false, err
	}
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s %s", resp.Status, body)
	}
	return resp.Close, err
}

var _ = Describe("A caller that keeps its connection", func() {
	// The balancer balances connections: those that stand stay with an entry
	// that is no longer ready. The caller sends one charge after another and
	// must never see its connection end under a request, since it cannot know
	// whether that charge ran. The entry therefore says "Connection: close" in
	// its answers from the moment it is not ready, and closes its port and idle
	// connections only after the grace.
	It("is told before its connection is closed", func() {
		c := formed(fewInstances)
		callers := startPinned(c.Balance())
		for i := range c.Entries() {
			Expect(c.Entry(i).Stop()).To(BeZero())
			c.Entry(i).StartReplacement().AwaitReady()
		}
		failures := callers.end()
		GinkgoWriter.Printf("pinned: %d answers on %d connections\n", callers.answered.Load(), callers.dialled.Load())
		Expect(failures).To(BeEmpty())
		c.Check()
	})
})
