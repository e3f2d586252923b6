package wire

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// servingEndpoints returns a platform with two endpoints, on each of which a task of one service is at
// work, with a disruption budget of one task. The second one's lease ends after leaseOfSecond.
func servingEndpoints(g *WithT, leaseOfSecond time.Duration) (*Platform, []*Endpoint) {
	p, err := New(map[string]int{"tabs": 2}, 1)
	g.Expect(err).NotTo(HaveOccurred())
	p.WatchBudget("t", 1, 2)
	var out []*Endpoint
	for n, id := range p.Endpoints("tabs") {
		e := p.endpoints[id]
		lease := []time.Duration{time.Minute, leaseOfSecond}[n]
		sendOrder(g, e, "run-start", n, 1, fmt.Sprintf(`"spec":%q,"deadlineMs":%d`, SpecServes, (e.clock()+lease).Milliseconds()))
		out = append(out, e)
	}
	time.Sleep(serveStartup + 50*time.Millisecond)
	return p, out
}

// sendOrder sends an endpoint an order for a run of a task of the service.
func sendOrder(g *WithT, e *Endpoint, kind string, task, run int, more string) {
	body := fmt.Sprintf(`{"task":"t.0.0.%d","run":%d,"fence":1,%s}`, task, run, more)
	resp, err := http.Post("http://"+e.listener.Addr().String()+"/cyclamenwheel/"+kind, "application/json", strings.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
}

// Guards against a stop that ends a task while the budget is used up and that goes unnoticed.
func TestAStopBeyondTheBudgetIsAViolation(t *testing.T) {
	for _, c := range []struct {
		name string
		// happens is what becomes of the second task before the first one is stopped.
		happens       func(*WithT, *Platform, *Endpoint)
		leaseOfSecond time.Duration
		want          bool
	}{
		{"at work", func(*WithT, *Platform, *Endpoint) {}, time.Minute, false},
		{"stopped", func(g *WithT, _ *Platform, e *Endpoint) { sendOrder(g, e, "run-stop", 1, 1, `"spec":""`) }, time.Minute, true},
		{"lost just now", func(_ *WithT, p *Platform, e *Endpoint) {
			p.mu.Lock()
			defer p.mu.Unlock()
			e.endLocked()
		}, time.Minute, false},
		{"stopped, and its replacement starts up", func(g *WithT, _ *Platform, e *Endpoint) {
			sendOrder(g, e, "run-stop", 1, 1, `"spec":""`)
			time.Sleep(2 * stopDuration)
			sendOrder(g, e, "run-start", 1, 2, fmt.Sprintf(`"spec":%q`, SpecServes))
		}, time.Minute, true},
		{"stopped, and its replacement is at work", func(g *WithT, _ *Platform, e *Endpoint) {
			sendOrder(g, e, "run-stop", 1, 1, `"spec":""`)
			time.Sleep(2 * stopDuration)
			sendOrder(g, e, "run-start", 1, 2, fmt.Sprintf(`"spec":%q`, SpecServes))
			time.Sleep(serveStartup + 50*time.Millisecond)
		}, time.Minute, false},
		{"its lease has expired unnoticed", func(*WithT, *Platform, *Endpoint) { time.Sleep(5 * time.Second) }, 4 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			p, endpoints := servingEndpoints(g, c.leaseOfSecond)
			defer p.Close()
			g.Expect(p.NotAtWork()).To(BeEmpty())
			c.happens(g, p, endpoints[1])
			sendOrder(g, endpoints[0], "run-stop", 0, 1, `"spec":""`)
			g.Expect(len(p.Violations()) > 0).To(Equal(c.want), "%v", p.Violations())
		})
	}
}
