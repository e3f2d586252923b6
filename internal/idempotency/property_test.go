package idempotency

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	propertySeed   = "20261202"
	propertyChecks = "300"
	propertySteps  = "250"
	attemptsPerKey = 4
)

// callerSim is the simulation with callers: attempts of a few keys whose entries
// claim, cancel, dispatch and report.
type callerSim struct {
	*sim
	attempts  []*simAttempt
	reports   []simReport
	waiters   Waiter
	hasFrozen bool
	// witnessGrants counts the dispatches of attempts granted through a witness.
	witnessGrants int
}

type simAttempt struct {
	claim      ClaimRecord
	entry      *simNode
	waiters    map[Waiter]*simNode
	reported   bool
	asked      bool
	dispatched bool
	notRun     bool
}

type simReport struct {
	attempt *simAttempt
	outcome Outcome
}

// A keyed request runs at most once under any order of claims, repetitions, lost
// replies, log outages, crashes, a paused entry and membership changes: while a
// dispatched attempt of a key is not proved not to have run, no other attempt of
// that key is dispatched.
func TestAtMostOnceInAnyInterleaving(t *testing.T) {
	setFlag(t, "rapid.seed", propertySeed)
	setFlag(t, "rapid.checks", propertyChecks)
	setFlag(t, "rapid.steps", propertySteps)
	setFlag(t, "rapid.nofailfile", "true")
	dispatchedCount, notRunCount, witnessCount := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := &callerSim{sim: newSim(
			Member{"a", "1", "z1"}, Member{"b", "1", "z2"}, Member{"c", "1", "z2"}, Member{"d", "1", "z3"})}
		w.run()
		t.Repeat(w.actions())
		w.checkFoldsAgree(t)
		for _, a := range w.attempts {
			if a.dispatched {
				dispatchedCount++
			}
			if a.notRun {
				notRunCount++
			}
		}
		witnessCount += w.witnessGrants
	})
	t.Logf("dispatched in all runs: %d, of which not run: %d, granted through a witness: %d", dispatchedCount, notRunCount, witnessCount)
	if dispatchedCount == 0 || notRunCount == 0 || witnessCount == 0 {
		t.Error("the property was not exercised")
	}
}

func setFlag(t *testing.T, name, value string) {
	f := flag.Lookup(name)
	old := f.Value.String()
	if f.Value.String() != f.DefValue {
		return // given on the command line
	}
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = flag.Set(name, old) })
}

func (w *callerSim) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"claim":  w.newClaim,
		"claim2": w.newClaim,
		"again":  func(t *rapid.T) { w.onAttempt(t, w.sendClaim) },
		"giveUp": func(t *rapid.T) { w.onAttempt(t, w.giveUp) },
		"reply":  w.deliverReply,
		"reply2": w.deliverReply,
		"finish": func(t *rapid.T) { w.onAttempt(t, w.finishAttempt) },
		"report": w.deliverReport,
		"append": func(t *rapid.T) {
			w.onNode(t, func(n *simNode) { n.appendNext(rapid.Bool().Draw(t, "taken"), rapid.Bool().Draw(t, "answered")) })
		},
		"appendOK": func(t *rapid.T) { w.onNode(t, func(n *simNode) { n.appendNext(true, true) }) },
		"hold": func(t *rapid.T) {
			w.onNode(t, func(n *simNode) { n.holdNext(rapid.Bool().Draw(t, "delivered"), rapid.Bool().Draw(t, "answered")) })
		},
		"holdOK":   func(t *rapid.T) { w.onNode(t, func(n *simNode) { n.holdNext(true, true) }) },
		"fold":     func(t *rapid.T) { w.onNode(t, func(n *simNode) { n.foldNext() }) },
		"foldAll":  func(t *rapid.T) { w.onNode(t, foldAll) },
		"barrier":  w.barrier,
		"barrier2": w.barrier,
		"claim3":   w.newClaim,
		"time": func(t *rapid.T) {
			w.advance(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
		},
		"outage": func(*rapid.T) { w.logDown = !w.logDown },
		"outageRun": func(*rapid.T) {
			w.logDown = true
			w.advance(witnessDelay)
			w.runFor(3)
		},
		"back":      func(*rapid.T) { w.logDown = false },
		"crash":     func(t *rapid.T) { w.onNodeRarely(t, w.crash) },
		"loseOwner": w.loseOwner,
		"freeze":    func(t *rapid.T) { w.onNodeRarely(t, w.freeze) },
		"wake":      func(t *rapid.T) { w.unfreezeAll(t) },
		"remove":    func(*rapid.T) { w.removeOne() },
		"calm":      func(t *rapid.T) { w.logDown = false; w.runFor(20); w.checkFoldsAgree(t) },
		"work":      func(*rapid.T) { w.runFor(3) },
		"replies":   w.deliverAllReplies,
	}
}

func (w *callerSim) barrier(t *rapid.T) {
	for _, n := range w.nodes {
		n.ack()
	}
	w.onNode(t, (*simNode).endNextChange)
}

func foldAll(n *simNode) {
	for n.foldNext() {
	}
}

func (w *callerSim) onNode(t *rapid.T, f func(*simNode)) {
	n := rapid.SampledFrom(w.nodes).Draw(t, "node")
	if n.isRunning() {
		f(n)
	}
}

// loseOwner crashes or pauses the owner of a key that has been claimed, and
// removes it from the members if the log is available.
func (w *callerSim) loseOwner(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "chance") > 0 {
		return
	}
	for i := len(w.attempts) - 1; i >= 0; i-- {
		a := w.attempts[i]
		owner, ok := ownerOf(a.claim.Key, w.members())
		if !a.asked || !ok || !w.node(owner.ID).isRunning() {
			continue
		}
		if rapid.Bool().Draw(t, "freeze") {
			w.freeze(w.node(owner.ID))
		} else {
			w.crash(w.node(owner.ID))
		}
		w.logDown = w.logDown && rapid.Bool().Draw(t, "stays down")
		w.removeOne()
		return
	}
}

// onNodeRarely calls f in one of ten draws, so that a run makes progress before a
// fault.
func (w *callerSim) onNodeRarely(t *rapid.T, f func(*simNode)) {
	if rapid.IntRange(0, 9).Draw(t, "chance") == 0 {
		w.onNode(t, f)
	}
}

func (w *callerSim) onAttempt(t *rapid.T, f func(*rapid.T, *simAttempt)) {
	if len(w.attempts) > 0 {
		if a := rapid.SampledFrom(w.attempts).Draw(t, "attempt"); a.entry.isRunning() {
			f(t, a)
		}
	}
}

func (w *callerSim) newClaim(t *rapid.T) {
	entry := rapid.SampledFrom(w.nodes).Draw(t, "entry")
	if !entry.isRunning() {
		return
	}
	// New keys are drawn throughout the run, so that there are always both unused
	// keys and keys with a history.
	key := len(w.attempts)/attemptsPerKey - rapid.IntRange(0, 1).Draw(t, "older")
	c := Claim{Service: "s", Key: fmt.Sprint(key), Attempt: fmt.Sprint(len(w.attempts))}
	a := &simAttempt{claim: c.record(), entry: entry, waiters: map[Waiter]*simNode{}}
	w.attempts = append(w.attempts, a)
	w.sendClaim(t, a)
}

// sendClaim sends the attempt's claim to the owner in the view of its entry.
func (w *callerSim) sendClaim(_ *rapid.T, a *simAttempt) {
	if a.reported || a.dispatched {
		return
	}
	owner, err := a.entry.view.owner(a.claim.Key)
	if err != nil || !w.node(owner.ID).isRunning() {
		return
	}
	w.waiters++
	n := w.node(owner.ID)
	a.waiters[w.waiters], a.asked = n, true
	n.claim(w.waiters, a.entry, a.claim)
}

func (w *callerSim) giveUp(_ *rapid.T, a *simAttempt) {
	if !a.reported && !a.dispatched {
		a.reported = true
		w.reports = append(w.reports, simReport{a, OutcomeNotRun})
	}
}

// deliverReply delivers one reply, even of a node that has crashed or been paused
// since. A granted attempt is dispatched.
func (w *callerSim) deliverReply(t *rapid.T) {
	n := rapid.SampledFrom(w.nodes).Draw(t, "node")
	if len(n.replies) > 0 {
		w.deliverReplyAt(t, n, rapid.IntRange(0, len(n.replies)-1).Draw(t, "reply"))
	}
}

func (w *callerSim) deliverAllReplies(t *rapid.T) {
	for _, n := range w.nodes {
		for len(n.replies) > 0 {
			w.deliverReplyAt(t, n, 0)
		}
	}
}

func (w *callerSim) deliverReplyAt(t *rapid.T, n *simNode, i int) {
	r := n.replies[i]
	n.replies = append(n.replies[:i:i], n.replies[i+1:]...)
	for _, a := range w.attempts {
		if a.waiters[r.Waiter] == n && !a.reported && !a.dispatched && a.entry.isRunning() && r.Decision == DecisionRun {
			w.dispatch(t, a)
		}
	}
}

func (w *callerSim) dispatch(t *rapid.T, a *simAttempt) {
	a.dispatched = true
	for _, n := range w.nodes {
		if h := n.ledger.held.asOwner[a.claim.Key]; h != nil && h.claim.Attempt == a.claim.Attempt {
			w.witnessGrants++
		}
	}
	for i, o := range w.attempts {
		if o != a && o.claim.Key == a.claim.Key && o.dispatched && !o.notRun {
			t.Fatalf("attempt %x was dispatched although attempt %d of its key has run", a.claim.Attempt, i)
		}
	}
}

func (w *callerSim) finishAttempt(t *rapid.T, a *simAttempt) {
	if !a.dispatched || a.reported {
		return
	}
	a.reported = true
	o := rapid.SampledFrom([]Outcome{OutcomeNotRun, OutcomeAnswered, OutcomeNotRun, OutcomeUnknown}).Draw(t, "outcome")
	a.notRun = o == OutcomeNotRun
	w.reports = append(w.reports, simReport{a, o})
}

// deliverReport delivers a report to the key's owner and may keep it for another
// delivery.
func (w *callerSim) deliverReport(t *rapid.T) {
	if len(w.reports) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.reports)-1).Draw(t, "report")
	r := w.reports[i]
	owner, err := r.attempt.entry.view.owner(r.attempt.claim.Key)
	if err != nil || !w.node(owner.ID).isRunning() || !r.attempt.entry.isRunning() {
		return
	}
	n := w.node(owner.ID)
	if n.ledger.checkOwnership(r.attempt.claim.Key) == nil {
		n.finish(r.attempt.claim, r.outcome, &Answer{})
	}
	if rapid.Bool().Draw(t, "done") {
		w.reports = append(w.reports[:i:i], w.reports[i+1:]...)
	}
}

// crash stops a node for good, at most two of the four.
func (w *callerSim) crash(n *simNode) {
	down := 0
	for _, o := range w.nodes {
		if o.crashed {
			down++
		}
	}
	n.crashed = n.crashed || down < 2
}

// freeze pauses a node, at most once in a run.
func (w *callerSim) freeze(n *simNode) {
	if !w.hasFrozen {
		w.hasFrozen, n.frozen = true, true
	}
}

func (w *callerSim) unfreezeAll(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "chance") > 0 {
		return
	}
	for _, n := range w.nodes {
		n.frozen = false
	}
}

// removeOne removes a crashed or paused node from the members.
func (w *callerSim) removeOne() {
	for _, n := range w.nodes {
		if !n.isRunning() && !n.removed {
			w.remove(n.self.ID, true)
			return
		}
	}
}

// checkFoldsAgree compares the states of nodes that have read equally far.
func (w *callerSim) checkFoldsAgree(t *rapid.T) {
	for _, n := range w.nodes[1:] {
		first := w.nodes[0]
		if n.readOffset != first.readOffset {
			continue
		}
		if x, y := fmt.Sprint(n.state.Parts(10)), fmt.Sprint(first.state.Parts(10)); x != y {
			t.Fatalf("states differ at offset %d:\n%s\n%s", n.readOffset, x, y)
		}
	}
}
