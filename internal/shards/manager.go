package shards

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cyclamenwheel/internal/accounts"
	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/fleetops"
	"cyclamenwheel/internal/pause"
	"cyclamenwheel/internal/planlease"
	"cyclamenwheel/internal/tenure"
	"cyclamenwheel/platform"
)

const (
	// group is the membership group of the processes that own pools. What it
	// deals out are the partitions of groupTopic, which holds no records: who
	// has any of them is a member.
	group      = "owners"
	groupTopic = "owners"
	// memberTTL is how long a silent member keeps what it holds; it decides
	// how long a pool stands still after its owner was killed.
	memberTTL = 1000 * time.Millisecond
	// joinEvery leaves room for two lost joins within memberTTL.
	joinEvery = 250 * time.Millisecond
	// membersEvery is how often the members are read while the group's
	// generation stays; a call that finds no owner reads them at once, at most
	// each membersMin.
	membersEvery = 2 * time.Second
	membersMin   = 120 * time.Millisecond
	// outsiderEvery is how often a process outside the group reads the members:
	// it decides how soon it steps in when all of them have gone.
	outsiderEvery = time.Second
	// firstJoinSpread is how much later a node with next to no processor joins an
	// empty group than one with a whole core: about two calls of the store, and
	// short beside the time that a duty takes to be claimed.
	firstJoinSpread = 250 * time.Millisecond
	// claimRetry spaces attempts at a claim: one that was overtaken by the
	// predecessor's last batch succeeds at once when it is repeated.
	claimRetry = 50 * time.Millisecond
	// joinLimit bounds the attempts at one join, so that a member that is not
	// answered still looks after its duties.
	joinLimit = 700 * time.Millisecond
	// memberSeparator stands between the parts of a member's name.
	memberSeparator = "|"
)

// Membership is the part of the platform's client that deals out pools.
type Membership interface {
	Join(ctx context.Context, group, member, topic string, ttl time.Duration, generation int64) (platform.Assignment, error)
	Leave(ctx context.Context, group, member string) error
	Owners(ctx context.Context, group string) (map[int]string, error)
}

// Options of a Manager.
type Options struct {
	// Node and Addr are where the owner's peers reach it; Member is both and
	// this process's boot, as one name in the group.
	Node, Addr, Member string
	Membership         Membership
	Store              tenure.Store
	Endpoints          Endpoints
	Limits             executor.Limits
	Logger             *slog.Logger
	// Fleet does the duty over instances until its context ends or it is
	// displaced.
	Fleet func(ctx context.Context, duty Duty)
	// AskMembers asks a peer for the members that it read last.
	AskMembers func(ctx context.Context, node string) (MembersResult, error)
	// SayLeft tells a peer that this member leaves; it need not arrive.
	SayLeft func(ctx context.Context, node string)
	// OnPeers is told the addresses of all owners by node.
	OnPeers func(map[string]string)
}

// Manager keeps this process in the group and runs the pools that it is given.
type Manager struct {
	opts Options

	mu        sync.Mutex
	pools     []string
	endpoints map[string][]executor.EndpointInfo
	accounts  *accounts.Directory
	running   map[string]*held
	// holders are who claimed each duty last, by the store's word.
	holders map[string]holder
	// owners are who has each duty by the members last read, at membersAt.
	owners    map[string]Owner
	membersAt time.Duration
	// rows are the store's own words on the members, read at rowsAt. settled
	// reports that each duty's holder was among them.
	rows    map[int]string
	rowsAt  time.Duration
	settled bool
	leaving bool
	// departed are members that have said that they leave. Each name is used once.
	departed map[string]bool
	// members are those last read; nil before the first reading.
	members []member
	// kick wakes Run to read the members at once.
	kick chan struct{}
	wg   sync.WaitGroup
}

// held is a duty that this process owns or is about to.
type held struct {
	cancel context.CancelFunc
	runner *Runner
	// epoch is that of the claim, 0 before it has succeeded.
	epoch int64
	// ready is set once a pool's state is restored.
	ready bool
}

// NewManager returns a manager that owns nothing.
func NewManager(opts Options) *Manager {
	return &Manager{opts: opts, kick: make(chan struct{}, 1), running: map[string]*held{}, owners: map[string]Owner{},
		holders: map[string]holder{}, departed: map[string]bool{}, endpoints: map[string][]executor.EndpointInfo{}}
}

// SetPools says which pools there are.
func (m *Manager) SetPools(names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	pools := slices.Sorted(slices.Values(names))
	if !slices.Equal(pools, m.pools) {
		m.membersAt = 0 // spread the duties anew
	}
	m.pools = pools
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

// SetAccounts passes the published client accounts on to the owners here.
func (m *Manager) SetAccounts(d *accounts.Directory) {
	m.mu.Lock()
	m.accounts = d
	runners := m.readyLocked()
	m.mu.Unlock()
	for _, r := range runners {
		r.post(func(time.Duration) { r.core.SetAccounts(d) })
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

// Run stays in the group while that needs this process, until ctx ends; then it
// gives everything back.
func (m *Manager) Run(ctx context.Context) {
	var s stay
	kicked := false
	m.lookFirst(ctx)
	for ctx.Err() == nil {
		if kicked {
			m.spreadAgain()
			m.assign(ctx)
		}
		age := m.stayOrGo(ctx, &s)
		if kicked {
			age = 0
		}
		m.refreshMembers(ctx, age)
		m.assign(ctx)
		kicked = m.awaitJoin(ctx)
	}
	m.leave()
}

// fleetDuty stands for the duty over instances among the names of pools, which
// are never empty.
const fleetDuty = ""

// assign begins and ends duties to match what is this node's.
//
// A claim that is under way goes on unless somebody else is known to have the duty.
// Load: nodes are restarted in turn while answers are lost; whoever comes back ranks
// first for a free duty. Given up half-way, a claim leaves its record behind, which
// the next claimant has to learn of, and the pool has no owner for a second.
func (m *Manager) assign(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, h := range m.running {
		if m.owners[name].Node != m.opts.Node && (h.epoch > 0 || m.heldElsewhereLocked(name)) {
			h.cancel()
			delete(m.running, name)
		}
	}
	for name, owner := range m.owners {
		if owner.Node == m.opts.Node && m.running[name] == nil && !m.leaving {
			m.beginLocked(ctx, name)
		}
	}
}

func (m *Manager) beginLocked(ctx context.Context, name string) {
	ctx, cancel := context.WithCancel(ctx)
	h := &held{cancel: cancel}
	m.running[name] = h
	if name == fleetDuty {
		m.wg.Go(func() {
			m.opts.Fleet(ctx, Duty{m, fleetDuty})
			m.drop(name, h)
		})
		return
	}
	h.runner = newRunner(m, name)
	m.wg.Go(func() { m.own(ctx, name, h) })
}

// own claims a pool and runs it until it is lost.
func (m *Manager) own(ctx context.Context, name string, h *held) {
	r := h.runner
	for ctx.Err() == nil {
		began := planlease.Boottime()
		err := r.claim(ctx, Duty{m, name})
		if err == nil {
			r.log.Info("pool claimed", "epoch", r.epoch, "duration_ms", (planlease.Boottime() - began).Milliseconds())
			break
		}
		r.log.Warn("claim failed", "error", err.Error())
		if errors.HasType(err, (*tenure.HeldError)(nil)) {
			m.drop(name, h)
			return
		}
		pause.For(ctx, claimRetry)
	}
	if ctx.Err() != nil {
		return
	}
	Duty{m, name}.Claimed(ctx, r.epoch)
	fleet := m.fleetRecords(ctx, r.pool)
	leaving, ended := fleetops.OperationsOf(fleet, r.pool)
	grants, err := fleetops.SharesOf(fleet, r.pool)
	if err != nil {
		r.log.Error("shares of accounts not read: none of them starts anything", "error", err.Error())
	}
	m.mu.Lock()
	h.ready = true
	for _, incarnation := range ended {
		r.core.Gone(incarnation)
	}
	r.core.SetAccounts(m.accounts)
	r.core.TakeShares(r.now(), grants)
	r.core.ObserveEndpoints(r.now(), m.endpoints[r.pool])
	r.honour(leaving)
	m.mu.Unlock()
	r.run(ctx)
	m.drop(name, h)
}

// drop forgets a duty that has ended here. The group gives it back if it still
// belongs here.
func (m *Manager) drop(name string, h *held) {
	h.cancel()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running[name] == h {
		delete(m.running, name)
	}
}

// fleetRecords returns the records of the duty over instances. A new owner that did not
// know of the endpoints that are about to be cleared, or were ended of late, would place
// tasks on an instance that its predecessor has declared clear, or that is no more; one
// that did not know of the pool's shares would start what its predecessor has given
// away. So it waits for the answer.
func (m *Manager) fleetRecords(ctx context.Context, pool string) []executor.Record {
	for ctx.Err() == nil {
		page, err := m.opts.Store.Journal.Newest(ctx, fleetops.Topic)
		if err != nil {
			m.opts.Logger.Warn("operations on instances not read", "pool", pool, "error", err.Error())
			pause.For(ctx, claimRetry)
			continue
		}
		return fleetops.RecordsOf(page.Records)
	}
	return nil
}

// local returns the runner of a pool that this process owns.
func (m *Manager) local(pool string) *Runner {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h := m.running[pool]; h != nil && h.ready {
		return h.runner
	}
	return nil
}

// OwnerOf returns who owns a pool by the last reading.
func (m *Manager) OwnerOf(pool string) (Owner, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.owners[pool]
	return o, ok
}

// HoldsPools reports whether this process owns a pool or is about to.
func (m *Manager) HoldsPools() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range m.running {
		if name != fleetDuty {
			return true
		}
	}
	return false
}

// Pools returns the names of all pools.
func (m *Manager) Pools() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.pools)
}
