package harness

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// watchEvery is the time between two questions to one process.
const watchEvery = 40 * time.Millisecond

// watcher asks every process for its generation, all the time.
type watcher struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu sync.Mutex
	// floor is the generation known to be in force on every entry.
	floor    uint64
	newest   map[boot]uint64
	samples  int
	findings []Finding
}

// boot tells a process's starts apart.
type boot struct {
	id      string
	started time.Time
}

// Watch starts to ask every process for the generation it reports. Check then
// also expects that no start of a process ever reported less than before, and
// that no entry that said it was ready was behind a generation that had been
// in force everywhere: one that starts anew must not serve an older manifest.
func (c *Cluster) Watch() {
	ctx, cancel := context.WithCancel(context.Background())
	w := &watcher{cancel: cancel, newest: map[boot]uint64{}}
	for _, p := range c.ledger.all() {
		w.floor = max(w.floor, p.generation)
	}
	c.watch = w
	for _, p := range c.All() {
		w.wg.Go(func() {
			for ctx.Err() == nil {
				floor := w.inForce()
				if st, err := p.Status(); err == nil {
					w.note(p, st, floor)
				}
				select {
				case <-ctx.Done():
				case <-time.After(watchEvery):
				}
			}
		})
	}
}

// Samples is how many answers the watch has seen.
func (c *Cluster) Samples() int {
	c.watch.mu.Lock()
	defer c.watch.mu.Unlock()
	return c.watch.samples
}

func (w *watcher) inForce() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.floor
}

// raise notes that a generation is in force on every entry.
func (w *watcher) raise(generation uint64) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.floor = max(w.floor, generation)
}

// note takes one answer; floor was in force before the question was put.
func (w *watcher) note(p *Process, st Status, floor uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.samples++
	b := boot{id: p.ID, started: st.StartedAt}
	got := st.Detail.Generation
	if got < w.newest[b] {
		w.findings = append(w.findings, Finding{Promise: "generation", Detail: fmt.Sprintf(
			"%s reports %d after %d", p.ID, got, w.newest[b])})
	}
	// One finding for each fall, however long it lasts.
	w.newest[b] = got
	if p.Role == RoleEntry && st.Readiness.Ready && got < floor {
		w.findings = append(w.findings, Finding{Promise: "generation", Detail: fmt.Sprintf(
			"%s is ready with %d although %d is in force", p.ID, got, floor)})
	}
}

func (w *watcher) found() []Finding {
	if w == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Finding{}, w.findings...)
}

func (w *watcher) stop() {
	if w == nil {
		return
	}
	w.cancel()
	w.wg.Wait()
}
