package wire

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// startOn orders a run on an endpoint, with a lease of the given length.
func startOn(g *WithT, e *Endpoint, run, workMs int, lease time.Duration) {
	until := (e.clock() + lease).Milliseconds()
	body := fmt.Sprintf(`{"task":"t.0.0.0","run":%d,"spec":"%d","deadlineMs":%d,"fence":1}`, run, workMs, until)
	resp, err := http.Post("http://"+e.listener.Addr().String()+"/cyclamenwheel/run-start", "application/json", strings.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
}

// A run that is through, or has lost its lease, on an endpoint that nobody calls any
// more, as an owner that can't read its entry does, runs nowhere: its successor is
// no second run. One that is at work is.
func TestRunsEndWithoutBeingAskedFor(t *testing.T) {
	const long = time.Minute
	for _, c := range []struct {
		name       string
		workMs     int
		lease      time.Duration
		wantBroken bool
	}{
		{"through", 10, long, false},
		{"lease run out", 60_000, 500 * time.Millisecond, false},
		{"at work", 60_000, long, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			p, err := New(map[string]int{"tabs": 2}, 1)
			g.Expect(err).NotTo(HaveOccurred())
			defer p.Close()
			ids := p.Endpoints("tabs")
			first, second := p.endpoints[ids[0]], p.endpoints[ids[1]]
			startOn(g, first, 1, c.workMs, c.lease)
			time.Sleep(20 * time.Millisecond) // past the short work
			if c.lease < long {
				time.Sleep(c.lease)
			}
			startOn(g, second, 2, 10, long)
			g.Expect(len(p.Broken()) > 0).To(Equal(c.wantBroken), "%v", p.Broken())
		})
	}
}
