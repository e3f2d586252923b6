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
	// tickEvery is how often hooks get to act without a cause.
	tickEvery = 50 * time.Millisecond
	// beatSpacing keeps a burst of records from becoming a burst of
	// heartbeats; it adds at most this much to a handover.
	beatSpacing = 20 * time.Millisecond
	// fetchAfter is how far a peer may be ahead, in time, before its records
	// are fetched from it: longer than the log's own delivery takes, so that a
	// healthy fleet fetches nothing.
	fetchAfter = 150 * time.Millisecond
	// coldPatience is how long a starting process waits for the log before it
	// asks peers for their state.
	coldPatience = time.Second
	// silentAfter is how long without word from log and peers before a
	// process counts as cut off.
	silentAfter = 3 * time.Second
)

// Hooks is what a daemon adds to the control goroutine. All calls come from
// that goroutine.
type Hooks interface {
	// Applied is told of folded records, in order. When it returns, the
	// process has acted on them: they count as acknowledged.
	Applied(batch []fleetlog.Applied)
	// ListChanged is told that a newer instance list is known. When it returns,
	// the process has acted on it.
	ListChanged()
	// Tick is called every tickEvery.
	Tick()
	// Beat fills in the daemon's part of a heartbeat to peer to.
	Beat(to string, hb *Heartbeat)
	// Heard is told of a peer's heartbeat.
	Heard(from peer.Identity, hb Heartbeat)
	// MayJoin reports whether the process may (re)join the members now.
	MayJoin() bool
	// AckLimit bounds what may be acknowledged; the maximum when nothing is
	// held back.
	AckLimit() uint64
}

// Options configure a Node.
type Options struct {
	Self     membership.Member
	Platform platform.Platform
	Peers    *peer.Node
	// Seeds are the peers known from the settings, id to address.
	Seeds map[string]string
	// Heartbeat is the period of heartbeats when nothing changes.
	Heartbeat time.Duration
	// ListPoll is the pause between two reads of the instance list.
	ListPoll time.Duration
	// SnapshotEvery overrides snapshotEvery where the log keeps records for
	// less than twice that; 0 leaves it.
	SnapshotEvery time.Duration
	Logger        *slog.Logger
}

// Heard is what a peer last said.
type Heard struct {
	Identity peer.Identity
	Beat     Heartbeat
	At       time.Duration
	// aheadSince is when the peer was first seen ahead of us.
	aheadSince time.Duration
}

// Node is the control goroutine and what it owns. Methods marked loop-only may
// be called from hooks and from functions given to Do.
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

	heard     map[string]*Heard
	wanted    map[string]string // peers we dial, id to address
	list      platform.InstanceList
	listIndex map[string]*platform.Instance
	notLive   map[string]bool // from peers with a newer list version
	notLiveV  uint64
	// ownNotLiveIDs are those of the own list, as of these versions of list
	// and pools.
	ownNotLiveIDs []string
	ownNotLiveAt  [2]uint64
	listAsked     atomic.Int64 // when the list was last asked for with success

	logOK       bool
	logAt       time.Duration // last answer of the log
	logErr      string
	started     time.Duration
	firstHead   uint64
	headSeen    bool
	joining     bool
	leaving     bool
	waiters     map[fleetlog.ID]chan fold.Verdict
	fetching    bool
	lastBeat    time.Duration
	beatWanted  bool
	ackedOffset uint64
	ackHeld     bool // hooks keep the newest offsets from being acknowledged
	snapshotter snapshotter
	gauges      *gauges
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
		heard:     make(map[string]*Heard),
		wanted:    make(map[string]string),
		listIndex: make(map[string]*platform.Instance),
		waiters:   make(map[fleetlog.ID]chan fold.Verdict),
		gauges:    newGauges(),
	}
}

// Register adds the peer handlers; before the peer links start.
func (n *Node) Register() { n.handlePeers() }

// Run starts the control goroutine.
func (n *Node) Run(hooks Hooks) {
	n.hooks = hooks
	n.started = planlease.Boottime()
	n.setPeers()
	n.wg.Go(func() { n.tail.Run(n.ctx, n.deliverPage) })
	n.wg.Go(n.pollList)
	go n.loop()
}

// Close stops the node. Waiting submissions end with *StoppedError.
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
		n.beatIfDue()
	}
}

// Do runs f in the control goroutine and waits for it. It reports false if the
// node has stopped.
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

// State is the folded state; loop-only.
func (n *Node) State() *fleetlog.State { return n.replica.State() }

// Self is this process.
func (n *Node) Self() membership.Member { return n.opts.Self }

// Now is the time on the clock that counts suspension.
func (n *Node) Now() time.Duration { return planlease.Boottime() }

// Uptime is how long the node has run; loop-only.
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
		n.replica.Restart()
		// Not caught up until it has reached what the log holds now: it may be
		// many generations behind. A process that started on an empty log would
		// otherwise count as caught up whatever it lacks.
		n.firstHead = p.Head
	}
	if n.replica.Cold() && p.Head == 0 {
		return
	}
	n.ingest(p.Records)
}

// ingest folds records from whichever source.
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
		n.settle(a)
	}
	n.afterFold(applied)
}

func (n *Node) afterFold(applied []fleetlog.Applied) {
	countVerdicts(applied)
	n.setPeers()
	n.hooks.Applied(applied)
	n.acknowledge()
	n.beatWanted = n.beatWanted || slices.ContainsFunc(applied, awaited)
}

// awaited reports whether others wait for a record's acknowledgement: handovers
// of instances, and of slots among the entries. All other acknowledgements go
// with the next regular heartbeat. Sent at once, every lease renewal would cost
// a message between each two processes.
func awaited(a fleetlog.Applied) bool {
	switch a.Record.Kind {
	case fleetlog.KindBegin, fleetlog.KindJoin, fleetlog.KindLeave:
		return a.Verdict.Accepted
	}
	return false
}

// acknowledge moves the acknowledged offset up to what hooks have acted on.
func (n *Node) acknowledge() {
	limit := min(n.replica.State().Offset, n.hooks.AckLimit())
	if limit > n.ackedOffset {
		// What had been held back is waited for.
		n.beatWanted = n.beatWanted || n.ackHeld
		n.ackedOffset = limit
	}
	n.ackHeld = limit < n.replica.State().Offset
}

func (n *Node) onTick() {
	n.joinIfDue()
	n.fetchIfBehind()
	n.snapshotIfDue()
	n.hooks.Tick()
	n.acknowledge()
	n.updateGauges()
}
