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
	"cyclamenwheel/internal/published"
	"cyclamenwheel/internal/routing"
	"cyclamenwheel/internal/tenure"
	"cyclamenwheel/platform"
)

const (
	// group is the membership group of the processes that own pools. The store assigns the
	// partitions of groupTopic, which holds no records, to the group's members; a process
	// that holds a partition is a member.
	group      = "owners"
	groupTopic = "owners"
	// memberTTL is how long an unresponsive member keeps its partitions; it decides how long
	// a pool has no owner after its owner was killed.
	memberTTL = 1000 * time.Millisecond
	// joinInterval allows for two lost joins within memberTTL.
	joinInterval = 250 * time.Millisecond
	// membersInterval is how often the members are read while the group's generation does
	// not change; a call that finds no owner reads them at once, but at most once per
	// minMembersInterval.
	membersInterval    = 2 * time.Second
	minMembersInterval = 120 * time.Millisecond
	// nonMemberInterval is how often a process outside the group reads the members: it
	// decides how soon it takes over when all members have gone.
	nonMemberInterval = time.Second
	// maxFirstJoinDelay is how much later a node with almost no CPU joins an empty group
	// than one with a whole core: about two calls of the store, and short compared to the
	// time that claiming a duty takes.
	maxFirstJoinDelay = 250 * time.Millisecond
	// claimRetryDelay is the delay between attempts at a claim: one that was overtaken by
	// the predecessor's last batch succeeds as soon as it is repeated.
	claimRetryDelay = 50 * time.Millisecond
	// joinTimeout bounds the attempts at one join, so that a member that gets no answer still
	// starts and ends duties.
	joinTimeout = 700 * time.Millisecond
	// memberSeparator separates the parts of a member's name.
	memberSeparator = "|"
)

// Membership is the part of the platform's client that manages the group.
type Membership interface {
	Join(ctx context.Context, group, member, topic string, ttl time.Duration, generation int64) (platform.Assignment, error)
	Leave(ctx context.Context, group, member string) error
	Owners(ctx context.Context, group string) (map[int]string, error)
}

// Options configures a Manager.
type Options struct {
	// Node and Addr are this process's node and its address for peers; Member is its name
	// in the group, as MemberName returns it.
	Node, Addr, Member string
	Membership         Membership
	Store              tenure.Store
	Endpoints          Endpoints
	// ListEndpoints returns the endpoints of a pool by service discovery.
	ListEndpoints func(pool string) []executor.EndpointInfo
	Limits        executor.Limits
	Logger        *slog.Logger
	// Fleet runs the duty that manages instances, until its context ends or it is
	// displaced.
	Fleet func(ctx context.Context, duty Duty)
	// AskMembers asks a peer for its last reading of the members.
	AskMembers func(ctx context.Context, node string, in MembersCall) (MembersResult, error)
	// Config returns the configuration in force, for peers that ask for the members, and
	// ObserveConfig receives that of a peer, which was asked at the given time.
	Config        func() published.Digest
	ObserveConfig func(peer string, asked time.Duration, d published.Digest)
	// Routes returns the configuration in force, nil before the first.
	Routes func() *routing.Config
	// NotifyLeaving notifies a peer that this member leaves; the notification may get lost.
	NotifyLeaving func(ctx context.Context, node string)
	// OnPeers receives the addresses of all members by node.
	OnPeers func(map[string]string)
}

// Manager keeps this process in the group and runs the pools that are assigned to it.
type Manager struct {
	opts Options

	mu       sync.Mutex
	pools    []string
	accounts *accounts.Directory
	running  map[string]*runningDuty
	// holders are the newest known claims of each duty.
	holders map[string]holder
	// owners is the owner of each duty by the members last read, at membersReadAt.
	owners        map[string]Owner
	membersReadAt time.Duration
	// partitionMembers is the last answer of the store or of a peer on who holds each
	// partition; the store's last answer was read at partitionMembersReadAt. holdersCurrent reports that each duty's holder was among them.
	partitionMembers       map[int]string
	partitionMembersReadAt time.Duration
	holdersCurrent         bool
	// peerReading is the fingerprint of the last reading that a peer sent, 0 if the store has
	// been read since. peersFailed counts the peers that did not answer.
	peerReading uint64
	peersFailed int
	// inGroup reports whether this process is in the group, or may be.
	inGroup bool
	leaving bool
	// departed are members that have announced that they leave. Each name is used once.
	departed map[string]bool
	// members are those last read; nil before the first reading.
	members []member
	// wakeup makes Run distribute the duties and read the members at once.
	wakeup chan struct{}
	wg     sync.WaitGroup
}

// runningDuty is a duty that this process owns or is claiming.
type runningDuty struct {
	cancel context.CancelFunc
	runner *Runner
	// epoch is the epoch of the claim, 0 until it has succeeded.
	epoch int64
	// ready is set once a pool's state is restored.
	ready bool
}

// NewManager returns a manager without pools.
func NewManager(opts Options) *Manager {
	return &Manager{opts: opts, wakeup: make(chan struct{}, 1), running: map[string]*runningDuty{}, owners: map[string]Owner{},
		holders: map[string]holder{}, departed: map[string]bool{}}
}

// SetPools sets the names of all pools.
func (m *Manager) SetPools(names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	pools := slices.Sorted(slices.Values(names))
	if !slices.Equal(pools, m.pools) {
		m.membersReadAt = 0 // distribute the duties again
	}
	m.pools = pools
}

// EndpointsChanged passes the endpoints of service discovery to those of the changed pools that
// this process owns.
func (m *Manager) EndpointsChanged(changed map[string]bool) {
	m.mu.Lock()
	runners := m.readyRunnersLocked()
	m.mu.Unlock()
	for _, r := range runners {
		if changed[r.pool] {
			m.observeEndpoints(r, m.opts.ListEndpoints(r.pool))
		}
	}
}

// SetAccounts passes the published client accounts to the pools that this process owns.
func (m *Manager) SetAccounts(d *accounts.Directory) {
	m.mu.Lock()
	m.accounts = d
	runners := m.readyRunnersLocked()
	m.mu.Unlock()
	for _, r := range runners {
		r.post(func(time.Duration) { r.core.SetAccounts(d) })
	}
}

func (m *Manager) observeEndpoints(r *Runner, list []executor.EndpointInfo) {
	r.post(func(now time.Duration) { r.core.ObserveEndpoints(now, list) })
}

func (m *Manager) readyRunnersLocked() []*Runner {
	var out []*Runner
	for _, h := range m.running {
		if h.ready && h.runner != nil {
			out = append(out, h.runner)
		}
	}
	return out
}

// Run keeps this process in the group while the group needs it, until ctx ends. Then it ends
// all duties and leaves the group.
func (m *Manager) Run(ctx context.Context) {
	var state groupState
	woken := false
	m.readMembersBeforeJoin(ctx)
	for ctx.Err() == nil {
		if woken {
			m.redistributeDuties()
			m.startAndStopDuties(ctx)
		}
		maxAge := m.joinOrLeave(ctx, &state)
		if woken {
			maxAge = 0
		}
		m.setInGroup(state.joined)
		m.refreshMembers(ctx, maxAge)
		m.startAndStopDuties(ctx)
		woken = m.awaitJoin(ctx)
	}
	m.stop()
}

// fleetDuty is the name of the duty that manages instances, among the names of pools, which
// are never empty.
const fleetDuty = ""

// startAndStopDuties starts and ends duties to match the current distribution.
//
// A claim in flight continues unless another member is known to hold the duty. Load: nodes are restarted in turn while answers are lost; a restarted node ranks first for
// a free duty. A claim that is abandoned half-way leaves its record behind, which the next
// claimant has to find, and the pool has no owner for a second.
func (m *Manager) startAndStopDuties(ctx context.Context) {
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
			m.startDutyLocked(ctx, name)
		}
	}
}

func (m *Manager) startDutyLocked(ctx context.Context, name string) {
	ctx, cancel := context.WithCancel(ctx)
	h := &runningDuty{cancel: cancel}
	m.running[name] = h
	if name == fleetDuty {
		m.wg.Go(func() {
			m.opts.Fleet(ctx, Duty{m, fleetDuty})
			m.forgetDuty(name, h)
		})
		return
	}
	h.runner = newRunner(m, name)
	m.wg.Go(func() { m.ownPool(ctx, name, h) })
}

// ownPool claims a pool and runs it until ownership is lost.
func (m *Manager) ownPool(ctx context.Context, name string, h *runningDuty) {
	r := h.runner
	for ctx.Err() == nil {
		startedAt := planlease.Boottime()
		err := r.claim(ctx, Duty{m, name})
		if err == nil {
			r.log.Info("pool claimed", "epoch", r.epoch, "duration_ms", (planlease.Boottime() - startedAt).Milliseconds())
			break
		}
		r.log.Warn("claim failed", "error", err.Error())
		if errors.HasType(err, (*tenure.HeldError)(nil)) {
			m.forgetDuty(name, h)
			return
		}
		pause.For(ctx, claimRetryDelay)
	}
	if ctx.Err() != nil {
		return
	}
	Duty{m, name}.RecordClaim(ctx, r.epoch)
	fleet := m.fleetRecords(ctx, r.pool)
	leaving, ended := fleetops.OperationsOf(fleet, r.pool)
	grants, err := fleetops.SharesOf(fleet, r.pool)
	if err != nil {
		r.log.Error("reading the shares of account limits failed: no account starts tasks", "error", err.Error())
	}
	m.mu.Lock()
	h.ready = true
	for _, incarnation := range ended {
		r.core.IncarnationEnded(incarnation)
	}
	r.core.SetAccounts(m.accounts)
	r.core.ApplyShares(r.now(), grants)
	r.core.ObserveEndpoints(r.now(), m.opts.ListEndpoints(r.pool))
	r.vacateEndpoints(leaving)
	m.mu.Unlock()
	r.run(ctx)
	m.forgetDuty(name, h)
}

// forgetDuty removes a duty that has ended in this process. It is started again if it is
// still assigned to this process.
func (m *Manager) forgetDuty(name string, h *runningDuty) {
	h.cancel()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running[name] == h {
		delete(m.running, name)
	}
}

// fleetRecords returns the records of the duty that manages instances, and retries until the
// store answers. A new owner that did not know which endpoints are about to be vacated, or
// have ended recently, would place tasks on an instance that its predecessor has reported
// empty, or that is gone; one that did not know the pool's shares would start tasks within
// limits that its predecessor has released.
func (m *Manager) fleetRecords(ctx context.Context, pool string) []executor.Record {
	for ctx.Err() == nil {
		page, err := m.opts.Store.Journal.Newest(ctx, fleetops.Topic)
		if err != nil {
			m.opts.Logger.Warn("reading the operations on instances failed", "pool", pool, "error", err.Error())
			pause.For(ctx, claimRetryDelay)
			continue
		}
		return fleetops.RecordsOf(page.Records)
	}
	return nil
}

// localRunner returns the runner of a pool that this process owns, or nil.
func (m *Manager) localRunner(pool string) *Runner {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h := m.running[pool]; h != nil && h.ready {
		return h.runner
	}
	return nil
}

// OwnerOf returns the owner of a pool by the last reading of the members.
func (m *Manager) OwnerOf(pool string) (Owner, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.owners[pool]
	return o, ok
}

// HoldsPools reports whether this process owns a pool or is claiming one.
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
