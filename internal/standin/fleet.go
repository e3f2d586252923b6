package standin

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"cyclamenwheel/internal/platform"
)

// member is one listed instance; ep is nil for an entry.
type member struct {
	row      platform.Instance
	ep       *endpoint
	boots    int
	revision int
	down     cause
	// op is the operation under way, and cancel ends it where the instance is
	// lost meanwhile.
	op     string
	cancel context.CancelFunc
	fenced bool
}

// snapshot is the list as it stood from a moment on.
type snapshot struct {
	at   time.Time
	list platform.InstanceList
}

// fleet is the true state of the instances and the list's recent past.
type fleet struct {
	mu        sync.Mutex
	members   map[string]*member
	snapshots []snapshot
	changed   chan struct{}
	avail     availability
	ops       map[string]*opRecord
	fences    map[string]bool
	lag       time.Duration
	reboot    time.Duration
	drain     time.Duration
	tasks     *taskStore
	ctx       context.Context
	wg        sync.WaitGroup
}

func newFleet(ctx context.Context, opts Options, tasks *taskStore) *fleet {
	return &fleet{ctx: ctx, members: map[string]*member{}, changed: make(chan struct{}),
		avail: availability{pools: map[string]PoolAvailability{}}, ops: map[string]*opRecord{}, fences: map[string]bool{},
		lag: opts.Lag, reboot: opts.Reboot, drain: opts.DrainLimit, tasks: tasks}
}

// boot starts all instances of the fleet's description.
func (f *fleet) boot(spec FleetSpec, basePort int, hist *history) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, row := range spec.workers() {
		port := 0
		if basePort > 0 {
			port = basePort + i
		}
		ep, err := newEndpoint(row, fmt.Sprintf("127.0.0.1:%d", port), hist)
		if err != nil {
			return err
		}
		row.Addr = ep.port.addr
		m := &member{row: row, ep: ep}
		f.members[row.ID] = m
		if err := m.powerOn(); err != nil {
			return err
		}
	}
	for _, row := range spec.entries() {
		f.members[row.ID] = &member{row: row, boots: 1}
		f.members[row.ID].row.BootID = bootID(row.ID, 1)
	}
	f.publish()
	// The first list is visible at once, however large the lag.
	f.snapshots[0].at = time.Time{}
	return nil
}

func bootID(id string, n int) string { return fmt.Sprintf("%s-boot-%d", id, n) }

// powerOn boots an instance and marks it live.
func (m *member) powerOn() error {
	m.boots++
	m.row.BootID, m.row.State, m.down = bootID(m.row.ID, m.boots), platform.StateLive, causeNone
	if m.ep == nil {
		return nil
	}
	return m.ep.powerOn(m.row.BootID, m.row.Pool)
}

// publish makes the present state the newest version of the list.
func (f *fleet) publish() {
	f.avail.observe(f.sorted())
	list := platform.InstanceList{Version: 1, Instances: make([]platform.Instance, 0, len(f.members))}
	if n := len(f.snapshots); n > 0 {
		list.Version = f.snapshots[n-1].list.Version + 1
	}
	for _, m := range f.sorted() {
		list.Instances = append(list.Instances, m.row)
	}
	f.snapshots = append(f.snapshots, snapshot{at: time.Now(), list: list})
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fleet) sorted() []*member {
	out := make([]*member, 0, len(f.members))
	for _, m := range f.members {
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].row.ID < out[j].row.ID })
	return out
}

// instances is the lagging list, with a long poll.
func (f *fleet) instances(ctx context.Context, since uint64, wait time.Duration) platform.InstanceList {
	deadline := time.Now().Add(wait)
	for {
		list, next, changed := f.visible()
		left := time.Until(deadline)
		if list.Version > since || left <= 0 {
			if list.Version <= since {
				list.Instances = []platform.Instance{}
			}
			return list
		}
		timer := time.NewTimer(min(left, next))
		select {
		case <-timer.C:
		case <-changed:
		case <-ctx.Done():
			deadline = time.Now()
		}
		timer.Stop()
	}
}

// visible is the list as of lag ago, the time until a newer one shows, and a
// channel closed at the next change.
func (f *fleet) visible() (platform.InstanceList, time.Duration, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	cut := time.Now().Add(-f.lag)
	i := 0
	for i+1 < len(f.snapshots) && !f.snapshots[i+1].at.After(cut) {
		i++
	}
	f.snapshots = f.snapshots[i:]
	next := time.Duration(1<<63 - 1)
	if len(f.snapshots) > 1 {
		next = f.snapshots[1].at.Sub(cut)
	}
	return f.snapshots[0].list, next, f.changed
}

// truth is the state without lag.
func (f *fleet) truth() []InstanceTruth {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]InstanceTruth, 0, len(f.members))
	for _, m := range f.sorted() {
		out = append(out, InstanceTruth{Instance: m.row, Revision: m.revision, Running: m.op, Fenced: m.fenced, Boots: m.boots})
	}
	return out
}

// lookup finds a worker that tasks can be started on.
func (f *fleet) lookup(id string) (platform.Instance, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[id]
	if m == nil || m.ep == nil {
		return platform.Instance{}, false
	}
	return m.row, true
}

func (f *fleet) availability() Availability {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.avail.snapshot()
}

// resetAvailability starts the timeline anew from the present state.
func (f *fleet) resetAvailability() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.avail = availability{pools: map[string]PoolAvailability{}}
	f.avail.observe(f.sorted())
}

// close stops all endpoints and waits for operations.
func (f *fleet) close() {
	f.wg.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		if m.ep != nil {
			m.ep.close()
		}
	}
}
