package node

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/fold"
	"cyclamenwheel/internal/membership"
	"cyclamenwheel/internal/peer"
	"cyclamenwheel/internal/planlease"
	"cyclamenwheel/internal/platform"
)

// Timing of the control goroutine.
const (
	// tickEvery is the interval at which hooks run without an event.
	tickEvery = 50 * time.Millisecond
	// minHeartbeatGap keeps a burst of records from causing a burst of heartbeats; it
	// delays a handover by at most this much.
	minHeartbeatGap = 20 * time.Millisecond
	// fetchAfter is for how long a peer must have been ahead before records are fetched
	// from it: longer than delivery by the log takes, so that a healthy fleet fetches
	// nothing.
	fetchAfter = 150 * time.Millisecond
	// coldFetchAfter is how long a starting process waits for the log before it asks peers
	// for their state.
	coldFetchAfter = time.Second
	// cutOffAfter is how long after the last response of the log and the last report of
	// any peer a process counts as cut off.
	cutOffAfter = 3 * time.Second
)

// Hooks is the daemon's part of the control goroutine, from which all calls come.
type Hooks interface {
	// Applied receives folded records, in order. When it returns, the process has acted on
	// them: they count as acknowledged.
	Applied(batch []fleetlog.Applied)
	// ListChanged is called when a newer instance list, or a peer's report of one, has
	// been applied. When it returns, the process has acted on it.
	ListChanged()
	// Tick is called every tickEvery.
	Tick()
	// Beat fills in the daemon's part of a heartbeat to peer to.
	Beat(to string, hb *Heartbeat)
	// Heard receives a peer's heartbeat.
	Heard(from peer.Identity, hb Heartbeat)
	// MayJoin reports whether the process may (re)join the members now.
	MayJoin() bool
	// AckLimit returns the highest offset that may be acknowledged; the maximum value if
	// there is no limit.
	AckLimit() uint64
}

// Options configure a Node.
type Options struct {
	Self     membership.Member
	Platform platform.Platform
	Peers    *peer.Node
	// Seeds are the peers configured in the settings, id to address.
	Seeds map[string]string
	// Heartbeat is the period of heartbeats when nothing changes.
	Heartbeat time.Duration
	// ListPoll is the pause between two reads of the instance list.
	ListPoll time.Duration
	// SnapshotEvery overrides snapshotEvery where the log retains records for less than
	// twice that; 0 keeps the default.
	SnapshotEvery time.Duration
	Logger        *slog.Logger
}

// PeerReport is the last report of a peer.
type PeerReport struct {
	Identity  peer.Identity
	Heartbeat Heartbeat
	At        time.Duration
	// aheadSince is when the peer's offset was first seen ahead of this process's, 0 if it
	// is not.
	aheadSince time.Duration
}

// Node is the control goroutine and the state it owns. Methods marked loop-only may only
// be called from hooks and from functions passed to Do or Post.
type Node struct {
	opts    Options
	hooks   Hooks
	log     *slog.Logger
	replica *fleetlog.Replica
	tail    *fleetlog.Tail
	ring    ring

	commands chan func()
	pages    chan fleetlog.Page
	lists    chan listAnswer
	ctx      context.Context
	cancel   context.CancelFunc
	done     chan struct{}
	wg       sync.WaitGroup

	peerReports    map[string]*PeerReport
	peerAddrs      map[string]string // peers to dial, id to address
	list           platform.InstanceList
	listIndex      map[string]*platform.Instance
	notLive        map[string]bool // from peers with a newer list version
	notLiveVersion uint64
	// workersNotLiveIDs caches workersNotLive, computed at the versions of list and pools
	// in workersNotLiveAt.
	workersNotLiveIDs []string
	workersNotLiveAt  [2]uint64
	listAsked         atomic.Int64 // time of the last request for the list that succeeded

	logOK              bool
	logAt              time.Duration // last response of the log
	logErr             string
	started            time.Duration
	firstHead          uint64
	headSeen           bool
	joining            bool
	leaving            bool
	waiters            map[fleetlog.ID]chan fold.Verdict
	fetching           bool
	lastHeartbeat      time.Duration
	heartbeatRequested bool
	ackedOffset        uint64
	ackLimited         bool // hooks keep the newest offsets from being acknowledged
	snapshotter        snapshotter
	gauges             *gauges
}

// New returns a node that is not yet running.
func New(opts Options) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	return &Node{
		opts: opts, log: opts.Logger,
		replica:  fleetlog.NewReplica(),
		tail:     fleetlog.NewTail(opts.Platform),
		commands: make(chan func(), 64),
		pages:    make(chan fleetlog.Page),
		lists:    make(chan listAnswer),
		ctx:      ctx, cancel: cancel, done: make(chan struct{}),
		peerReports: make(map[string]*PeerReport),
		peerAddrs:   make(map[string]string),
		listIndex:   make(map[string]*platform.Instance),
		waiters:     make(map[fleetlog.ID]chan fold.Verdict),
		gauges:      newGauges(),
	}
}

// Register adds the peer handlers. Call it before the peer connections start.
func (n *Node) Register() { n.registerPeerHandlers() }

// Run starts the control goroutine.
func (n *Node) Run(hooks Hooks) {
	n.hooks = hooks
	n.started = planlease.Boottime()
	n.setPeers()
	n.wg.Go(func() { n.tail.Run(n.ctx, n.deliverPage) })
	n.wg.Go(n.pollList)
	go n.loop()
}

// Close stops the node. Pending submissions end with *StoppedError.
func (n *Node) Close() {
	n.cancel()
	n.wg.Wait()
	<-n.done
}

func (n *Node) deliverPage(p fleetlog.Page) {
	select {
	case n.pages <- p:
	case <-n.ctx.Done():
	}
}

func (n *Node) loop() {
	defer close(n.done)
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case f := <-n.commands:
			f()
		case p := <-n.pages:
			n.onPage(p)
		case l := <-n.lists:
			n.onList(l)
		case <-tick.C:
			n.onTick()
		}
		n.sendHeartbeatsIfDue()
	}
}

// Do runs f in the control goroutine and waits for it. It reports false if the node has
// stopped.
func (n *Node) Do(f func()) bool {
	ran := make(chan struct{})
	if !n.post(func() { f(); close(ran) }) {
		return false
	}
	select {
	case <-ran:
		return true
	case <-n.done:
		return false
	}
}

func (n *Node) post(f func()) bool {
	select {
	case n.commands <- f:
		return true
	case <-n.ctx.Done():
		return false
	}
}

// Post runs f in the control goroutine without waiting for it. It must not be
// called from that goroutine.
func (n *Node) Post(f func()) { n.post(f) }

// State returns the folded state; loop-only.
func (n *Node) State() *fleetlog.State { return n.replica.State() }

// Self returns the member record of this process.
func (n *Node) Self() membership.Member { return n.opts.Self }

// Now returns the time on a clock that keeps running while the machine is suspended.
func (n *Node) Now() time.Duration { return planlease.Boottime() }

// Uptime returns how long the node has run; loop-only.
func (n *Node) Uptime() time.Duration { return n.Now() - n.started }

func (n *Node) onPage(p fleetlog.Page) {
	if p.Err != nil {
		n.logOK, n.logErr = false, p.Err.Error()
		return
	}
	n.logOK, n.logErr, n.logAt = true, "", n.Now()
	if !n.headSeen {
		n.headSeen, n.firstHead = true, p.Head
	}
	if p.Trimmed && n.replica.State().Offset > 0 && len(p.Records) > 0 && p.Records[0].Offset > n.replica.Next() {
		n.log.Warn("log trimmed past own offset", "offset", n.replica.State().Offset)
		n.replica.Rebootstrap()
		// The process is not caught up before it has reached the log's present head: it
		// may lack many generations. Otherwise a process that started on an empty log
		// would count as caught up whatever it lacks.
		n.firstHead = p.Head
	}
	if n.replica.Bootstrapping() && p.Head == 0 {
		return
	}
	n.ingest(p.Records)
}

// ingest folds records from the log or from a peer.
func (n *Node) ingest(records []platform.LogRecord) {
	for _, rec := range records {
		n.ring.add(rec)
	}
	applied := n.replica.Ingest(records)
	if len(applied) == 0 {
		return
	}
	n.tail.Advance(n.replica.Next())
	for _, a := range applied {
		n.deliverVerdict(a)
	}
	n.afterFold(applied)
}

func (n *Node) afterFold(applied []fleetlog.Applied) {
	countVerdicts(applied)
	n.setPeers()
	n.hooks.Applied(applied)
	n.acknowledge()
	n.heartbeatRequested = n.heartbeatRequested || slices.ContainsFunc(applied, ackAwaited)
}

// ackAwaited reports whether other processes wait for a record's acknowledgement:
// handovers of instances, and of slots among the entries, do. All other acknowledgements
// go with the next regular heartbeat. Sent at once, every lease renewal would cost a
// message between each two processes.
func ackAwaited(a fleetlog.Applied) bool {
	switch a.Record.Kind {
	case fleetlog.KindBegin, fleetlog.KindJoin, fleetlog.KindLeave:
		return a.Verdict.Accepted
	}
	return false
}

// acknowledge advances the acknowledged offset to what the hooks have acted on.
func (n *Node) acknowledge() {
	limit := min(n.replica.State().Offset, n.hooks.AckLimit())
	if limit > n.ackedOffset {
		// Others wait for an acknowledgement that was held back.
		n.heartbeatRequested = n.heartbeatRequested || n.ackLimited
		n.ackedOffset = limit
	}
	n.ackLimited = limit < n.replica.State().Offset
}

func (n *Node) onTick() {
	n.joinIfDue()
	n.fetchIfBehind()
	n.snapshotIfDue()
	n.hooks.Tick()
	n.acknowledge()
	n.updateGauges()
}
