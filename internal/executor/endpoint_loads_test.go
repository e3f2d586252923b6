package executor_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/executor"
)

// Guards against reports whose size grows with the pool, and against leaving out the endpoints that
// cost the least to give away.
func TestEndpointLoadsAreThoseAskedFor(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1, 0)
	for i := range 40 {
		w.addEndpoint(fmt.Sprintf("i-%02d", i)).runLength = time.Hour
	}
	o := w.takeOver()
	w.run(300 * time.Millisecond)
	for n := range 30 {
		o.core.Submit(w.now, jobOf(n+1, smallStep(8)), executor.Accepting{Queue: "q", Terms: terms()}, 1)
	}
	w.run(500 * time.Millisecond)

	everywhere := o.core.EndpointLoads(40, nil)
	g.Expect(everywhere).To(HaveLen(40))
	least := 1 << 30
	for _, l := range everywhere {
		least = min(least, l.UsedMilli)
	}
	few := o.core.EndpointLoads(3, []string{"i-07", "unknown"})
	g.Expect(few).To(HaveLen(4))
	for _, l := range few {
		if l.Endpoint != "i-07" {
			g.Expect(l.UsedMilli).To(Equal(least))
		}
	}
	g.Expect(o.core.EndpointLoads(0, nil)).To(BeEmpty())
}
