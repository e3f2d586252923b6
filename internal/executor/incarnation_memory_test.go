package executor

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against an owner whose memory grows with each move and restart of an endpoint for as long
// as it owns its pool.
func TestPastIncarnationsAreForgotten(t *testing.T) {
	g := NewWithT(t)
	c := New("p", 1, Limits{Lease: time.Second, LongestLease: time.Second}, 0)
	now := time.Second
	for n := range 2000 {
		info := EndpointInfo{ID: fmt.Sprintf("i-%d", n), StartedMs: int64(n + 1), Addr: "a"}
		c.ObserveEndpoints(now, []EndpointInfo{info})
		c.IncarnationEnded(Incarnation{ID: info.ID, StartedMs: info.StartedMs})
		now += time.Second
		c.ObserveEndpoints(now, nil)
		now += time.Second
	}
	kept := int((incarnationMemory + 3*incarnationSweep) / (2 * time.Second))
	g.Expect(len(c.endedIncarnations)).To(BeNumerically("<=", kept))
	g.Expect(len(c.terms)).To(BeNumerically("<=", kept))
}

// Guards against new work for an ended incarnation that service discovery lists for long.
func TestAnEndedIncarnationIsRememberedWhileItIsListed(t *testing.T) {
	g := NewWithT(t)
	c := New("p", 1, Limits{Lease: time.Second, LongestLease: time.Second}, 0)
	info := EndpointInfo{ID: "i", StartedMs: 1, Addr: "a"}
	now := time.Second
	c.ObserveEndpoints(now, []EndpointInfo{info})
	c.IncarnationEnded(Incarnation{ID: "i", StartedMs: 1})
	for range 100 {
		now += incarnationMemory / 10
		c.ObserveEndpoints(now, []EndpointInfo{info})
		g.Expect(c.endpoints).To(BeEmpty())
	}
}
