package harness

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// watchInterval is the pause between two status requests to one process.
const watchInterval = 40 * time.Millisecond

// generationWatcher polls every process for its generation.
type generationWatcher struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu sync.Mutex
	// floor is the highest generation that is in force on every entry.
	floor        uint64
	lastReported map[incarnation]uint64
	samples      int
	findings     []Finding
}

// incarnation identifies one start of a process.
type incarnation struct {
	id      string
	started time.Time
}

// Watch starts polling the generation that every process reports. Check then
// also expects that no incarnation reported a lower generation than before,
// and that no ready entry was behind a generation that had been in force
// everywhere: a restarted entry must not serve an older manifest.
func (c *Cluster) Watch() {
	ctx, cancel := context.WithCancel(context.Background())
	w := &generationWatcher{cancel: cancel, lastReported: map[incarnation]uint64{}}
	for _, p := range c.manifests.all() {
		w.floor = max(w.floor, p.generation)
	}
	c.generations = w
	for _, p := range c.All() {
		w.wg.Go(func() {
			for ctx.Err() == nil {
				floor := w.currentFloor()
				if st, err := p.Status(); err == nil {
					w.record(p, st, floor)
				}
				select {
				case <-ctx.Done():
				case <-time.After(watchInterval):
				}
			}
		})
	}
}

// Samples returns the number of answers that the watch has received.
func (c *Cluster) Samples() int {
	c.generations.mu.Lock()
	defer c.generations.mu.Unlock()
	return c.generations.samples
}

func (w *generationWatcher) currentFloor() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.floor
}

// raiseFloor records that a generation is in force on every entry.
func (w *generationWatcher) raiseFloor(generation uint64) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.floor = max(w.floor, generation)
}

// record checks one status; floor must have been read before the status was
// requested.
func (w *generationWatcher) record(p *Process, st Status, floor uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.samples++
	b := incarnation{id: p.ID, started: st.StartedAt}
	got := st.Detail.Generation
	if got < w.lastReported[b] {
		w.findings = append(w.findings, Finding{Promise: "generation", Detail: fmt.Sprintf(
			"%s reports %d after %d", p.ID, got, w.lastReported[b])})
	}
	// Each decrease is reported once, however long it lasts.
	w.lastReported[b] = got
	if p.Role == RoleEntry && st.Readiness.Ready && got < floor {
		w.findings = append(w.findings, Finding{Promise: "generation", Detail: fmt.Sprintf(
			"%s is ready at generation %d although %d is in force", p.ID, got, floor)})
	}
}

func (w *generationWatcher) currentFindings() []Finding {
	if w == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Finding{}, w.findings...)
}

func (w *generationWatcher) stop() {
	if w == nil {
		return
	}
	w.cancel()
	w.wg.Wait()
}
