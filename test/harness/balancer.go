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

// balancerPoll is the time between two looks at an entry's readiness.
const balancerPoll = 100 * time.Millisecond

// Balancer is what callers see of the platform's balancer: it looks at the
// readiness of every entry and sends new requests only to those that are
// ready.
type Balancer struct {
	cluster *Cluster
	mu      sync.Mutex
	ready   []string
}

// Balance starts a balancer in front of the entries, those that are started
// later included. It ends with the spec.
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
	done.Go(func() { b.watch(ctx) })
	return b
}

// Ready returns the URLs of the entries that were ready at the last look.
func (b *Balancer) Ready() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.ready)
}

func (b *Balancer) watch(ctx context.Context) {
	tick := time.NewTicker(balancerPoll)
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
		if e.readyz(ctx) {
			ready = append(ready, e.CallerURL())
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

func (p *Process) readyz(ctx context.Context) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.OperatorAddr()+operator.PathReady, nil)
	if err != nil {
		return false
	}
	resp, err := asker.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
