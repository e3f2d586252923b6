package harness

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"

	"cyclamenwheel/internal/operator"
)

// balancerPollInterval is the interval between two readiness checks of an
// entry.
const balancerPollInterval = 100 * time.Millisecond

// Balancer stands in for the load balancer that callers use: it polls the
// readiness of every entry and offers only ready entries for new requests.
type Balancer struct {
	cluster *Cluster
	mu      sync.Mutex
	ready   []string
}

// Balance starts a balancer in front of all entries, including those started
// later. It stops at the end of the spec.
func (c *Cluster) Balance() *Balancer {
	ginkgo.GinkgoHelper()
	b := &Balancer{cluster: c}
	ctx, cancel := context.WithCancel(bg)
	var done sync.WaitGroup
	ginkgo.DeferCleanup(func() {
		cancel()
		done.Wait()
	})
	b.poll(ctx)
	done.Go(func() { b.pollLoop(ctx) })
	return b
}

// Ready returns the URLs of the entries that were ready at the last poll.
func (b *Balancer) Ready() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.ready)
}

func (b *Balancer) pollLoop(ctx context.Context) {
	tick := time.NewTicker(balancerPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			b.poll(ctx)
		}
	}
}

func (b *Balancer) poll(ctx context.Context) {
	var ready []string
	for _, e := range b.cluster.Entries() {
		if e.probeReady(ctx) {
			ready = append(ready, e.CallerURL())
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

// probeReady reports whether the process answers its readiness probe with
// 200.
func (p *Process) probeReady(ctx context.Context) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.OperatorAddr()+operator.PathReady, nil)
	if err != nil {
		return false
	}
	resp, err := inspectClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
