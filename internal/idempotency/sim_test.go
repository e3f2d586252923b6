package idempotency

import (
	"fmt"
	"slices"
	"time"

	"cyclamenwheel/internal/fold"
)

// sim simulates a fleet of entries in one goroutine. Each entry folds the log at
// its own pace and has its own view of the members. Every step is started by the
// test.
type sim struct {
	now     time.Time
	log     []simRecord
	logDown bool
	nodes   []*simNode
	// changes are the membership changes in log order.
	changes []*simChange
}

type simRecord struct {
	id     string
	append *Append
	change *simChange
	time   int64
}

type simChange struct {
	offset  int
	members []Member
	acked   map[string]bool
	// lost are the entries that are removed or crashed at the change. membersBefore
	// are the members before this change and before earlier ones.
	lost          []string
	membersBefore [][]Member
}

type simNode struct {
	sim        *sim
	self       Member
	state      *State
	ledger     *Ledger
	readOffset int
	bootIDs    map[string]string
	view       View
	// endedChanges is the number of changes whose barrier has ended on this node.
	endedChanges     int
	crashed, removed bool
	frozen           bool
	appends          []Append
	holds            []Hold
	replies          []Reply
	foldedIDs        map[string]bool
}

func newSim(members ...Member) *sim {
	s := &sim{now: time.Unix(1_800_000_000, 0)}
	for _, m := range members {
		n := &simNode{sim: s, self: m, state: NewState(), foldedIDs: map[string]bool{}}
		n.ledger = NewLedger(m, n.state, DefaultLimits)
		n.setMembers(members)
		n.view = View{Members: members}
		s.nodes = append(s.nodes, n)
	}
	for _, n := range s.nodes {
		n.withLedger(func(l *Ledger) { l.SetView(s.now, n.view) })
	}
	return s
}

func (n *simNode) setMembers(members []Member) {
	n.bootIDs = map[string]string{}
	for _, m := range members {
		n.bootIDs[m.ID] = m.BootID
	}
}

func (n *simNode) isRunning() bool { return !n.crashed && !n.frozen }

func (n *simNode) withLedger(f func(*Ledger)) {
	f(n.ledger)
	out := n.ledger.TakeActions()
	n.appends = append(n.appends, out.Appends...)
	n.holds = append(n.holds, out.Holds...)
	n.replies = append(n.replies, out.Replies...)
}

func (s *sim) node(id string) *simNode {
	for _, n := range s.nodes {
		if n.self.ID == id {
			return n
		}
	}
	return nil
}

func (s *sim) advance(d time.Duration) {
	s.now = s.now.Add(d)
	for _, n := range s.nodes {
		if n.isRunning() {
			n.withLedger(func(l *Ledger) { l.Tick(s.now) })
		}
	}
}

func (s *sim) write(r simRecord) {
	r.time = s.now.UnixMilli()
	s.log = append(s.log, r)
}

// appendNext carries out the node's oldest append. written tells whether the log
// stores the record, answered whether the node gets the reply.
func (n *simNode) appendNext(written, answered bool) {
	if len(n.appends) == 0 {
		return
	}
	a := n.appends[0]
	n.appends = n.appends[1:]
	if written && !n.sim.logDown {
		n.sim.write(simRecord{id: a.ID, append: &a})
	}
	var err error
	if !written || !answered || n.sim.logDown {
		err = &LogUnavailableError{Cause: &NoOwnerError{}}
	}
	n.withLedger(func(l *Ledger) { l.AppendDone(n.sim.now, a.ID, err) })
}

// holdNext carries out the node's oldest call to a witness.
func (n *simNode) holdNext(delivered, answered bool) {
	if len(n.holds) == 0 {
		return
	}
	h := n.holds[0]
	n.holds = n.holds[1:]
	w := n.sim.node(h.Witness.ID)
	err := error(&NoWitnessError{})
	if delivered && w.isRunning() {
		w.withLedger(func(l *Ledger) { err = l.HoldAsWitness(n.sim.now, n.self, h.Claims) })
	}
	if err == nil && !answered {
		err = &NoWitnessError{}
	}
	n.withLedger(func(l *Ledger) { l.HoldDone(n.sim.now, h.ID, err) })
}

// foldNext reads one record unless the log is down.
func (n *simNode) foldNext() bool {
	if n.sim.logDown || n.readOffset == len(n.sim.log) {
		return false
	}
	r := n.sim.log[n.readOffset]
	n.readOffset++
	meta := fold.Meta{Offset: uint64(n.readOffset), TimeMillis: r.time}
	if r.change != nil {
		n.foldChange(meta, r.change)
		return true
	}
	if n.isDuplicate(r.id) {
		return true
	}
	now := n.sim.now
	members := func(id string) (string, bool) { boot, ok := n.bootIDs[id]; return boot, ok }
	if c := r.append.Claims; c != nil {
		v, results := n.state.ApplyClaims(meta, *c, members)
		n.withLedger(func(l *Ledger) { l.ClaimsFolded(now, r.id, *c, v, results) })
	} else {
		f := *r.append.Finishes
		v, results := n.state.ApplyFinishes(meta, f)
		n.withLedger(func(l *Ledger) { l.FinishesFolded(now, r.id, f, v, results) })
	}
	return true
}

// isDuplicate reports whether the node has already folded a record with that ID.
func (n *simNode) isDuplicate(id string) bool {
	before := n.foldedIDs[id]
	n.foldedIDs[id] = true
	return before
}

func (n *simNode) foldChange(meta fold.Meta, c *simChange) {
	for _, members := range c.membersBefore {
		n.state.MarkUncertain(meta, c.lost, members, 0)
	}
	n.setMembers(c.members)
	n.view = View{Members: n.view.Members, Pending: c.members}
	n.withLedger(func(l *Ledger) { l.SetView(n.sim.now, n.view) })
}

// ack acknowledges the changes that the node has folded, once it holds no
// unflushed claims as a witness.
func (n *simNode) ack() {
	if !n.isRunning() || n.ledger.PendingWitness() > 0 {
		return
	}
	for _, c := range n.sim.changes {
		if n.readOffset >= c.offset {
			c.acked[n.self.ID] = true
		}
	}
}

// endNextChange ends the node's next change once every node has acknowledged it or
// is removed.
func (n *simNode) endNextChange() {
	if n.endedChanges == len(n.sim.changes) {
		return
	}
	c := n.sim.changes[n.endedChanges]
	if n.readOffset < c.offset {
		return
	}
	for _, o := range n.sim.nodes {
		if !o.removed && !c.acked[o.self.ID] {
			return
		}
	}
	n.endedChanges++
	n.view = View{Members: c.members}
	if n.endedChanges < len(n.sim.changes) && n.readOffset >= n.sim.changes[n.endedChanges].offset {
		n.view.Pending = n.sim.changes[n.endedChanges].members
	}
	n.withLedger(func(l *Ledger) { l.SetView(n.sim.now, n.view) })
}

// remove appends the removal of a member that the platform reports as gone. Only
// one change is in progress at a time. uncertain marks the keys whose claims may
// be lost.
func (s *sim) remove(id string, uncertain bool) {
	if s.logDown || len(s.changes) > 0 && !s.allChangesEnded() {
		return
	}
	s.node(id).removed = true
	c := &simChange{acked: map[string]bool{}}
	before := s.members()
	c.members = slices.DeleteFunc(slices.Clone(before), func(m Member) bool { return m.ID == id })
	if uncertain {
		for _, n := range s.nodes {
			if n.removed || n.crashed {
				c.lost = append(c.lost, n.self.ID)
			}
		}
		c.membersBefore = append(c.membersBefore, before)
		for _, earlier := range s.changes {
			c.membersBefore = append(c.membersBefore, earlier.membersBefore...)
		}
	}
	s.write(simRecord{change: c, id: fmt.Sprint("change", len(s.changes))})
	c.offset = len(s.log)
	s.changes = append(s.changes, c)
}

func (s *sim) members() []Member {
	if len(s.changes) > 0 {
		return s.changes[len(s.changes)-1].members
	}
	var members []Member
	for _, n := range s.nodes {
		members = append(members, n.self)
	}
	return members
}

func (s *sim) allChangesEnded() bool {
	for _, n := range s.nodes {
		if !n.removed && n.endedChanges < len(s.changes) {
			return false
		}
	}
	return true
}

// run performs all steps without faults for 200 rounds.
func (s *sim) run() { s.runFor(200) }

func (s *sim) runFor(rounds int) {
	for range rounds {
		for _, n := range s.nodes {
			if !n.isRunning() {
				continue
			}
			for len(n.holds) > 0 {
				n.holdNext(true, true)
			}
			for n.foldNext() {
			}
			for range len(n.appends) {
				n.appendNext(true, true)
			}
			n.ack()
			n.endNextChange()
		}
		s.advance(10 * time.Millisecond)
	}
}

// claim sends a claim of claimant to a node.
func (n *simNode) claim(w Waiter, claimant *simNode, c ClaimRecord) {
	n.withLedger(func(l *Ledger) { l.Claim(n.sim.now, w, claimant.self, c) })
}

func (n *simNode) finish(c ClaimRecord, o Outcome, a *Answer) {
	f := FinishReport{FinishRecord: FinishRecord{Key: c.Key, Attempt: c.Attempt, Outcome: o}, Fingerprint: c.Fingerprint, Answer: a}
	n.withLedger(func(l *Ledger) { l.Finish(n.sim.now, f) })
}

// reply returns the reply to a waiter, or nil if there is none yet.
func (n *simNode) reply(w Waiter) *Reply {
	i := slices.IndexFunc(n.replies, func(r Reply) bool { return r.Waiter == w })
	if i < 0 {
		return nil
	}
	return &n.replies[i]
}
