package wire

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// startRun starts a run on an endpoint, with a lease of the given length.
func startRun(g *WithT, e *Endpoint, run, workMs int, lease time.Duration) {
	until := (e.clock() + lease).Milliseconds()
	body := fmt.Sprintf(`{"task":"t.0.0.0","run":%d,"spec":"%d","deadlineMs":%d,"fence":1}`, run, workMs, until)
	resp, err := http.Post("http://"+e.listener.Addr().String()+"/cyclamenwheel/run-start", "application/json", strings.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
}

// Guards against false reports of concurrent runs: a run that has finished or lost its lease
// must not count as running on an endpoint that nodes have stopped polling, while one still at
// work must.
func TestRunsEndOnEndpointsThatAreNotPolled(t *testing.T) {
	const long = time.Minute
	for _, c := range []struct {
		name          string
		workMs        int
		lease         time.Duration
		wantViolation bool
	}{
		{"finished", 10, long, false},
		{"lease expired", 60_000, 500 * time.Millisecond, false},
		{"at work", 60_000, long, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			p, err := New(map[string]int{"tabs": 2}, 1)
			g.Expect(err).NotTo(HaveOccurred())
			defer p.Close()
			ids := p.Endpoints("tabs")
			first, second := p.endpoints[ids[0]], p.endpoints[ids[1]]
			startRun(g, first, 1, c.workMs, c.lease)
			time.Sleep(20 * time.Millisecond) // longer than the short run
			if c.lease < long {
				time.Sleep(c.lease)
			}
			startRun(g, second, 2, 10, long)
			g.Expect(len(p.Violations()) > 0).To(Equal(c.wantViolation), "%v", p.Violations())
		})
	}
}

// Guards against false reports of tasks that start after their end, and against missed ones: an end whose
// acknowledgement comes after a lease has expired there is void.
func TestOnlyEndsThatAreNotVoidCount(t *testing.T) {
	for _, expires := range []bool{false, true} {
		g := NewWithT(t)
		p, err := New(map[string]int{"tabs": 2}, 1)
		g.Expect(err).NotTo(HaveOccurred())
		ids := p.Endpoints("tabs")
		first, second := p.endpoints[ids[0]], p.endpoints[ids[1]]
		p.mu.Lock()
		first.running["t.0.0.0"], first.running["u.0.0.0"] = &taskRun{number: 1}, &taskRun{number: 1}
		first.endRun("t.0.0.0", first.running["t.0.0.0"], "done")
		if expires {
			first.endRun("u.0.0.0", first.running["u.0.0.0"], "lapsed")
		}
		first.acknowledge(first.lastEndNumber)
		p.mu.Unlock()
		startRun(g, second, 2, 10, time.Minute)
		if expires {
			g.Expect(p.Violations()).To(BeEmpty())
		} else {
			g.Expect(p.Violations()).To(ConsistOf("t.0.0.0 starts after its end was acknowledged"))
		}
		p.Close()
	}
}
