package shards

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/planlease"
	"cyclamenwheel/platform"
)

const (
	// group is the membership group of the processes that own pools.
	group = "owners"
	// FleetTopic stands for the duty over instances, owned like a pool.
	FleetTopic = "keyed.fleet"
	// memberTTL is how long a silent member keeps what it holds; it decides
	// how long a pool stands still after its owner was killed.
	memberTTL = 1200 * time.Millisecond
	// joinEvery leaves room for two lost joins within memberTTL.
	joinEvery = 350 * time.Millisecond
	// ownersEvery is how often the owners of all pools are read; a call that
	// finds no owner reads them at once, at most each ownersMin.
	ownersEvery = time.Second
	ownersMin   = 120 * time.Millisecond
	// claimRetry spaces attempts at a claim.
	claimRetry = 150 * time.Millisecond
	// memberSeparator stands between the parts of a member's name.
	memberSeparator = "|"
)

// Membership is the part of the platform's client that deals out pools.
type Membership interface {
	Join(ctx context.Context, group, member string, topics []string, ttl time.Duration, generation int64) (platform.Assignment, error)
	Leave(ctx context.Context, group, member string) error
	Owners(ctx context.Context, group string) (map[string]string, error)
}

// Options of a Manager.
type Options struct {
	// Node and Addr are where the owner's peers reach it; Member is both and
	// this process's boot, as one name in the group.
	Node, Addr, Member string
	Membership         Membership
	Journal            Journal
	Endpoints          Endpoints
	Limits             executor.Limits
	Logger             *slog.Logger
	// OnPeers is told the addresses of all owners by node.
	OnPeers func(map[string]string)
}

// MemberName is a process's name in the group.
func MemberName(node, addr, boot string) string {
	return strings.Join([]string{node, addr, boot}, memberSeparator)
}

// Owner is where a pool's owner is reached.
type Owner struct{ Node, Addr string }

func parseMember(name string) (Owner, bool) {
	parts := strings.Split(name, memberSeparator)
	if len(parts) != 3 {
		return Owner{}, false
	}
	return Owner{Node: parts[0], Addr: parts[1]}, true
}

// Manager keeps this process in the group and runs the pools that it is given.
type Manager struct {
	opts Options

	mu        sync.Mutex
	pools     []string
	endpoints map[string][]executor.EndpointInfo
	guarded   map[string]bool
	running   map[string]*held
	owners    map[string]Owner
	ownersAt  time.Duration
	leaving   bool
	wg        sync.WaitGroup
}

// held is a topic that this process owns or is about to.
type held struct {
	cancel context.CancelFunc
	runner *Runner
	// ready is set once the claim has succeeded.
	ready bool
	// fleet is set for FleetTopic, which has no runner.
	fleet bool
}

// NewManager returns a manager that owns nothing.
func NewManager(opts Options) *Manager {
	return &Manager{opts: opts, running: map[string]*held{}, owners: map[string]Owner{},
		endpoints: map[string][]executor.EndpointInfo{}, guarded: map[string]bool{}}
}

// SetPools says which pools there are and whether their endpoints guard their
// room.
func (m *Manager) SetPools(guarded map[string]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pools = slices.Sorted(maps.Keys(guarded))
	m.guarded = guarded
}

// SetEndpoints passes service discovery on to the owners here, by pool.
func (m *Manager) SetEndpoints(byPool map[string][]executor.EndpointInfo) {
	m.mu.Lock()
	m.endpoints = byPool
	runners := m.readyLocked()
	m.mu.Unlock()
	for _, r := range runners {
		m.observe(r, byPool[r.pool])
	}
}

func (m *Manager) observe(r *Runner, list []executor.EndpointInfo) {
	r.post(func(now time.Duration) { r.core.ObserveEndpoints(now, list) })
}

func (m *Manager) readyLocked() []*Runner {
	var out []*Runner
	for _, h := range m.running {
		if h.ready && h.runner != nil {
			out = append(out, h.runner)
		}
	}
	return out
}

// Run stays in the group until ctx ends, then gives everything back.
func (m *Manager) Run(ctx context.Context) {
	var generation int64
	failing := false
	for ctx.Err() == nil {
		m.mu.Lock()
		topics := m.topicsLocked()
		m.mu.Unlock()
		if len(topics) > 1 {
			got, err := m.opts.Membership.Join(ctx, group, m.opts.Member, topics, memberTTL, generation)
			if err == nil {
				generation = got.Generation
				m.assign(ctx, got.Topics)
			}
			if failing != (err != nil) {
				failing = err != nil
				m.logMembership(err)
			}
		}
		m.refreshOwners(ctx, ownersEvery)
		sleep(ctx, joinEvery)
	}
	m.leave()
}

func (m *Manager) logMembership(err error) {
	if err != nil {
		m.opts.Logger.Warn("dependency lost", "dependency", "store", "use", "membership", "error", err.Error())
		return
	}
	m.opts.Logger.Info("dependency regained", "dependency", "store", "use", "membership")
}

func (m *Manager) topicsLocked() []string {
	topics := []string{FleetTopic}
	for _, p := range m.pools {
		topics = append(topics, TopicOf(p))
	}
	return topics
}

// leaveTimeout bounds what a stopping process spends on giving back.
const leaveTimeout = time.Second

func (m *Manager) leave() {
	m.mu.Lock()
	m.leaving = true
	for topic, h := range m.running {
		h.cancel()
		delete(m.running, topic)
	}
	m.mu.Unlock()
	m.wg.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := m.opts.Membership.Leave(ctx, group, m.opts.Member); err != nil {
		m.opts.Logger.Warn("group not left", "error", err.Error())
	}
}

// assign begins and ends pools to match what the group gave.
func (m *Manager) assign(ctx context.Context, topics map[string]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for topic, h := range m.running {
		if !topics[topic] {
			h.cancel()
			delete(m.running, topic)
		}
	}
	for topic := range topics {
		if m.running[topic] == nil && !m.leaving {
			m.beginLocked(ctx, topic)
		}
	}
}

func (m *Manager) beginLocked(ctx context.Context, topic string) {
	ctx, cancel := context.WithCancel(ctx)
	h := &held{cancel: cancel}
	m.running[topic] = h
	pool, isPool := strings.CutPrefix(topic, topicPrefix)
	if !isPool {
		h.fleet, h.ready = true, true
		m.opts.Logger.Info("fleet duty taken")
		return
	}
	h.runner = newRunner(m, pool)
	m.wg.Go(func() {
		m.own(ctx, topic, h)
		cancel()
	})
}

// own claims a pool and runs it. A pool that was lost to a newer epoch is
// dropped here; the group gives it back if it still belongs here.
func (m *Manager) own(ctx context.Context, topic string, h *held) {
	r := h.runner
	r.ctx = ctx
	for ctx.Err() == nil {
		began := planlease.Boottime()
		err := r.claim(ctx)
		if err == nil {
			r.log.Info("pool claimed", "epoch", r.epoch, "duration_ms", (planlease.Boottime() - began).Milliseconds())
			break
		}
		r.log.Warn("claim failed", "error", err.Error())
		sleep(ctx, claimRetry)
	}
	if ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	h.ready = true
	r.core.SetGuarded(m.guarded[r.pool])
	r.core.ObserveEndpoints(r.now(), m.endpoints[r.pool])
	m.mu.Unlock()
	r.run(ctx)
	m.mu.Lock()
	if m.running[topic] == h {
		delete(m.running, topic)
	}
	m.mu.Unlock()
}

// local returns the runner of a pool that this process owns.
func (m *Manager) local(pool string) *Runner {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h := m.running[TopicOf(pool)]; h != nil && h.ready {
		return h.runner
	}
	return nil
}

// HoldsFleet reports whether this process has the duty over instances.
func (m *Manager) HoldsFleet() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.running[FleetTopic] != nil
}

// OwnerOf returns who owns a pool by the last reading.
func (m *Manager) OwnerOf(pool string) (Owner, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.owners[TopicOf(pool)]
	return o, ok
}

// Pools returns the names of all pools.
func (m *Manager) Pools() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.pools)
}

// refreshOwners reads the owners where the last reading is older than age.
func (m *Manager) refreshOwners(ctx context.Context, age time.Duration) {
	now := planlease.Boottime()
	m.mu.Lock()
	due := m.ownersAt == 0 || now-m.ownersAt >= age
	if due {
		m.ownersAt = now
	}
	m.mu.Unlock()
	if !due {
		return
	}
	rows, err := m.opts.Membership.Owners(ctx, group)
	if err != nil {
		m.opts.Logger.Debug("owners not read", "error", err.Error())
		return
	}
	owners, peers := map[string]Owner{}, map[string]string{}
	for topic, member := range rows {
		if o, ok := parseMember(member); ok {
			owners[topic] = o
			peers[o.Node] = o.Addr
		}
	}
	m.mu.Lock()
	m.owners = owners
	m.mu.Unlock()
	m.opts.OnPeers(peers)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
