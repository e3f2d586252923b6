package idempotency

import (
	"fmt"
	"slices"
	"time"

	"cyclamenwheel/internal/fold"
)

// sim is a fleet of entries in one goroutine: each has its own copy of the
// fold, which it folds at its own pace, and its own view of the members.
// Nothing happens by itself; a test chooses what happens next.
type sim struct {
	now   time.Time
	log   []simRecord
	down  bool
	nodes []*simNode
	// changes are the changes of members by offset, with who acknowledged.
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
	// lost are all entries gone by then, before their members at the time.
	lost   []string
	before [][]Member
}

type simNode struct {
	sim    *sim
	self   Member
	state  *State
	ledger *Ledger
	folded int
	boots  map[string]string
	view   View
	// settled is the number of changes whose barrier this node has seen end.
	settled       int
	crashed, gone bool
	frozen        bool
	appends       []Append
	holds         []Hold
	replies       []Reply
	ids           map[string]bool
}

func newSim(members ...Member) *sim {
	s := &sim{now: time.Unix(1_800_000_000, 0)}
	for _, m := range members {
		n := &simNode{sim: s, self: m, state: NewState(), ids: map[string]bool{}}
		n.ledger = NewLedger(m, n.state, DefaultLimits)
		n.setMembers(members)
		n.view = View{Members: members}
		s.nodes = append(s.nodes, n)
	}
	for _, n := range s.nodes {
		n.do(func(l *Ledger) { l.SetView(s.now, n.view) })
	}
	return s
}

func (n *simNode) setMembers(members []Member) {
	n.boots = map[string]string{}
	for _, m := range members {
		n.boots[m.ID] = m.BootID
	}
}

func (n *simNode) live() bool { return !n.crashed && !n.frozen }

func (n *simNode) do(f func(*Ledger)) {
	f(n.ledger)
	out := n.ledger.Take()
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
		if n.live() {
			n.do(func(l *Ledger) { l.Tick(s.now) })
		}
	}
}

func (s *sim) write(r simRecord) {
	r.time = s.now.UnixMilli()
	s.log = append(s.log, r)
}

// appendNext carries out the node's oldest append: taken by the log or not,
// and its answer lost or not.
func (n *simNode) appendNext(taken, answered bool) {
	if len(n.appends) == 0 {
		return
	}
	a := n.appends[0]
	n.appends = n.appends[1:]
	if taken && !n.sim.down {
		n.sim.write(simRecord{id: a.ID, append: &a})
	}
	var err error
	if !taken || !answered || n.sim.down {
		err = &LogUnavailableError{Cause: &NoOwnerError{}}
	}
	n.do(func(l *Ledger) { l.AppendDone(n.sim.now, a.ID, err) })
}

// holdNext carries the node's oldest call to a witness.
func (n *simNode) holdNext(delivered, answered bool) {
	if len(n.holds) == 0 {
		return
	}
	h := n.holds[0]
	n.holds = n.holds[1:]
	w := n.sim.node(h.Witness.ID)
	err := error(&NoWitnessError{})
	if delivered && w.live() {
		w.do(func(l *Ledger) { err = l.HoldFor(n.sim.now, n.self, h.Claims) })
	}
	if err == nil && !answered {
		err = &NoWitnessError{}
	}
	n.do(func(l *Ledger) { l.HoldDone(n.sim.now, h.ID, err) })
}

// foldNext reads one record, unless the log is down.
func (n *simNode) foldNext() bool {
	if n.sim.down || n.folded == len(n.sim.log) {
		return false
	}
	r := n.sim.log[n.folded]
	n.folded++
	meta := fold.Meta{Offset: uint64(n.folded), TimeMillis: r.time}
	if r.change != nil {
		n.foldChange(meta, r.change)
		return true
	}
	if n.seen(r.id) {
		return true
	}
	now := n.sim.now
	members := func(id string) (string, bool) { boot, ok := n.boots[id]; return boot, ok }
	if c := r.append.Claims; c != nil {
		v, results := n.state.ApplyClaims(meta, *c, members)
		n.do(func(l *Ledger) { l.ClaimsFolded(now, r.id, *c, v, results) })
	} else {
		f := *r.append.Finishes
		v, results := n.state.ApplyFinishes(meta, f)
		n.do(func(l *Ledger) { l.FinishesFolded(now, r.id, f, v, results) })
	}
	return true
}

// seen tells whether the node has folded a record of that id before.
func (n *simNode) seen(id string) bool {
	before := n.ids[id]
	n.ids[id] = true
	return before
}

func (n *simNode) foldChange(meta fold.Meta, c *simChange) {
	for _, members := range c.before {
		n.state.MarkUncertain(meta, c.lost, members, 0)
	}
	n.setMembers(c.members)
	n.view = View{Members: n.view.Members, Pending: c.members}
	n.do(func(l *Ledger) { l.SetView(n.sim.now, n.view) })
}

// ack lets the node acknowledge the changes it has folded, once it has nothing
// left to flush as a witness.
func (n *simNode) ack() {
	if !n.live() || n.ledger.PendingWitness() > 0 {
		return
	}
	for _, c := range n.sim.changes {
		if n.folded >= c.offset {
			c.acked[n.self.ID] = true
		}
	}
}

// settle ends the node's next change if everybody else has acknowledged it or
// is gone.
func (n *simNode) settle() {
	if n.settled == len(n.sim.changes) {
		return
	}
	c := n.sim.changes[n.settled]
	if n.folded < c.offset {
		return
	}
	for _, o := range n.sim.nodes {
		if !o.gone && !c.acked[o.self.ID] {
			return
		}
	}
	n.settled++
	n.view = View{Members: c.members}
	if n.settled < len(n.sim.changes) && n.folded >= n.sim.changes[n.settled].offset {
		n.view.Pending = n.sim.changes[n.settled].members
	}
	n.do(func(l *Ledger) { l.SetView(n.sim.now, n.view) })
}

// remove writes that a member has left, and has the platform say so. One
// change is made at a time. uncertain marks what may have been lost.
func (s *sim) remove(id string, uncertain bool) {
	if s.down || len(s.changes) > 0 && !s.settled() {
		return
	}
	s.node(id).gone = true
	c := &simChange{acked: map[string]bool{}}
	before := s.members()
	c.members = slices.DeleteFunc(slices.Clone(before), func(m Member) bool { return m.ID == id })
	if uncertain {
		for _, n := range s.nodes {
			if n.gone || n.crashed {
				c.lost = append(c.lost, n.self.ID)
			}
		}
		c.before = append(c.before, before)
		for _, earlier := range s.changes {
			c.before = append(c.before, earlier.before...)
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

func (s *sim) settled() bool {
	for _, n := range s.nodes {
		if !n.gone && n.settled < len(s.changes) {
			return false
		}
	}
	return true
}

// run lets everything that can happen without faults happen.
func (s *sim) run() { s.runFor(200) }

func (s *sim) runFor(rounds int) {
	for range rounds {
		for _, n := range s.nodes {
			if !n.live() {
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
			n.settle()
		}
		s.advance(10 * time.Millisecond)
	}
}

// claim brings a claim to a node, as if by asker.
func (n *simNode) claim(w Waiter, asker *simNode, c ClaimRecord) {
	n.do(func(l *Ledger) { l.Claim(n.sim.now, w, asker.self, c) })
}

func (n *simNode) finish(c ClaimRecord, o Outcome, a *Answer) {
	f := FinishReport{FinishRecord: FinishRecord{Key: c.Key, Attempt: c.Attempt, Outcome: o}, Fingerprint: c.Fingerprint, Answer: a}
	n.do(func(l *Ledger) { l.Finish(n.sim.now, f) })
}

// reply returns what a waiter was told, nil where nothing yet.
func (n *simNode) reply(w Waiter) *Reply {
	i := slices.IndexFunc(n.replies, func(r Reply) bool { return r.Waiter == w })
	if i < 0 {
		return nil
	}
	return &n.replies[i]
}
