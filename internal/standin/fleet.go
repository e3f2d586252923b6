package standin

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"cyclamenwheel/internal/platform"
)

// member is a listed instance; ep is nil for an entry.
type member struct {
	row       platform.Instance
	ep        *endpoint
	boots     int
	revision  int
	downCause downCause
	// op is the id of the operation in progress. cancel stops it if the instance is
	// lost before it completes.
	op     string
	cancel context.CancelFunc
	fenced bool
}

// snapshot is a version of the instance list and the time it was published.
type snapshot struct {
	at   time.Time
	list platform.InstanceList
}

// fleet holds the actual state of the instances, and the snapshots from which
// the delayed instance list is served.
type fleet struct {
	mu         sync.Mutex
	members    map[string]*member
	snapshots  []snapshot
	changed    chan struct{}
	avail      availability
	ops        map[string]*opRecord
	fenceIDs   map[string]bool
	listLag    time.Duration
	rebootTime time.Duration
	drainLimit time.Duration
	tasks      *taskStore
	ctx        context.Context
	wg         sync.WaitGroup
}

func newFleet(ctx context.Context, opts Options, tasks *taskStore) *fleet {
	return &fleet{ctx: ctx, members: map[string]*member{}, changed: make(chan struct{}),
		avail: availability{pools: map[string]PoolAvailability{}}, ops: map[string]*opRecord{}, fenceIDs: map[string]bool{},
		listLag: opts.Lag, rebootTime: opts.Reboot, drainLimit: opts.DrainLimit, tasks: tasks}
}

// boot starts all instances of the fleet description.
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
	// The first list is visible immediately, regardless of the lag.
	f.snapshots[0].at = time.Time{}
	return nil
}

func bootID(id string, n int) string { return fmt.Sprintf("%s-boot-%d", id, n) }

// powerOn boots an instance under a new boot id and marks it live.
func (m *member) powerOn() error {
	m.boots++
	m.row.BootID, m.row.State, m.downCause = bootID(m.row.ID, m.boots), platform.StateLive, causeNone
	if m.ep == nil {
		return nil
	}
	return m.ep.powerOn(m.row.BootID, m.row.Pool)
}

// publish appends the current state as the newest version of the list.
func (f *fleet) publish() {
	f.avail.observe(f.sortedMembers())
	list := platform.InstanceList{Version: 1, Instances: make([]platform.Instance, 0, len(f.members))}
	if n := len(f.snapshots); n > 0 {
		list.Version = f.snapshots[n-1].list.Version + 1
	}
	for _, m := range f.sortedMembers() {
		list.Instances = append(list.Instances, m.row)
	}
	f.snapshots = append(f.snapshots, snapshot{at: time.Now(), list: list})
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fleet) sortedMembers() []*member {
	out := make([]*member, 0, len(f.members))
	for _, m := range f.members {
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].row.ID < out[j].row.ID })
	return out
}

// pollInstances returns the delayed list. It waits up to wait for a version newer
// than since; without one the list of instances is empty.
func (f *fleet) pollInstances(ctx context.Context, since uint64, wait time.Duration) platform.InstanceList {
	deadline := time.Now().Add(wait)
	for {
		list, next, changed := f.visibleList()
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

// visibleList returns the list as it was listLag ago, the time until a newer
// version becomes visible, and a channel that is closed on the next change.
func (f *fleet) visibleList() (platform.InstanceList, time.Duration, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	cut := time.Now().Add(-f.listLag)
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

// actualInstances returns the current state, without lag.
func (f *fleet) actualInstances() []ActualInstance {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]ActualInstance, 0, len(f.members))
	for _, m := range f.sortedMembers() {
		out = append(out, ActualInstance{Instance: m.row, Revision: m.revision, OperationInProgress: m.op, Fenced: m.fenced, Boots: m.boots})
	}
	return out
}

// workerByID returns the worker with this id, and false for entries and unknown
// ids.
func (f *fleet) workerByID(id string) (platform.Instance, bool) {
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

// resetAvailability restarts the timeline from the current state.
func (f *fleet) resetAvailability() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.avail = availability{pools: map[string]PoolAvailability{}}
	f.avail.observe(f.sortedMembers())
}

// close waits for operations and then stops all endpoints.
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
