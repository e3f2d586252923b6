package idempotency

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestIdempotency(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "idempotency")
}

var _ = Describe("ledgers of a fleet", func() {
	BeforeEach(newFleet)

	// One tab close reaches three entries at once. One runs; the two others get
	// the same answer when it is there.
	It("runs one of several claims and gives the others its answer", func() {
		first, second, other := ask(owner, third, "first"), ask(owner, fourth, "second"), ask(owner, owner, "third")
		Expect(owner.reply(first)).To(BeNil(), "granted before it was read back")
		fleet.run()
		Expect(decided(owner, first)).To(Equal(DecisionRun))
		Expect(owner.reply(second)).To(BeNil())
		owner.finish(attempt("first"), OutcomeAnswered, answer)
		for _, w := range []Waiter{second, other, ask(owner, third, "late")} {
			Expect(decided(owner, w)).To(Equal(DecisionReplay))
			Expect(owner.reply(w).Answer).To(Equal(answer))
		}
	})

	It("refuses the key to another request, at every stage", func() {
		stages := []func(){
			func() { ask(owner, third, "first") },
			func() { fleet.run() },
			func() { owner.finish(attempt("first"), OutcomeAnswered, answer) },
			func() { fleet.run(); owner.ledger.done = newAnswers(maxAnswersBytes) },
		}
		for i, stage := range stages {
			stage()
			other := attempt(fmt.Sprint("other", i))
			other.Fingerprint = [16]byte{2}
			waiters++
			owner.claim(waiters, third, other)
			Expect(decided(owner, waiters)).To(Equal(DecisionConflict), "stage %d", i)
		}
		Expect(decided(owner, ask(owner, third, "again"))).To(Equal(DecisionFinished))
	})

	// The caller times out and sends again. The request may have run and its
	// outcome is lost: the caller is told so and it doesn't run again.
	It("says unknown after an unknown outcome", func() {
		ask(owner, third, "first")
		fleet.run()
		again := ask(owner, fourth, "again")
		owner.finish(attempt("first"), OutcomeUnknown, nil)
		Expect(decided(owner, again)).To(Equal(DecisionUnknown))
		fleet.run()
		Expect(decided(owner, ask(owner, third, "later"))).To(Equal(DecisionUnknown))
	})

	// An endpoint refuses the request unrun. The next attempt gets the key only
	// after the release has been read back, so that no reader sees two holders.
	It("gives a released key to the attempt that waits", func() {
		ask(owner, third, "first")
		fleet.run()
		again := ask(owner, fourth, "again")
		owner.finish(attempt("first"), OutcomeNotRun, nil)
		Expect(owner.reply(again)).To(BeNil())
		fleet.run()
		Expect(decided(owner, again)).To(Equal(DecisionRun))
	})

	// The answer to an append is lost, twice. The record goes out again under
	// the same id, is counted once, and its claim is granted.
	It("repeats a lost append under the same id", func() {
		w := ask(owner, third, "first")
		id := owner.appends[0].ID
		for range 2 {
			owner.appendNext(true, false)
			fleet.advance(appendRetry)
			Expect(owner.appends).To(HaveLen(1))
			Expect(owner.appends[0].ID).To(Equal(id))
		}
		fleet.run()
		Expect(decided(owner, w)).To(Equal(DecisionRun))
		Expect(fleet.log[len(fleet.log)-1].id).To(Equal(id))
	})

	// Many claims at once: one append in flight, and the batch grows.
	It("commits in groups below a ceiling", func() {
		for i := range 1000 {
			waiters++
			owner.claim(waiters, third, ClaimRecord{Key: KeyHash{byte(i), byte(i >> 8)}, Attempt: AttemptHash{1}})
			if r := owner.reply(waiters); r != nil {
				Expect(r.Err).To(BeAssignableToTypeOf(&NotOwnerError{}))
			}
		}
		before := len(fleet.log)
		fleet.runFor(100)
		Expect(len(fleet.log) - before).To(BeNumerically("<=", 3))
		Expect(owner.ledger.status().Journalling).To(BeZero())
	})

	// The asker's entry gives up. A claim that never left is dropped; one that
	// did is released; and a claim that comes after its own cancellation, having
	// been overtaken, is refused.
	It("releases the key of an attempt that was given up", func() {
		ask(owner, third, "first")
		owner.finish(attempt("first"), OutcomeNotRun, nil)
		fleet.run()
		Expect(owner.ledger.status()).To(And(HaveField("Granted", 0), HaveField("Releasing", 0)))
		owner.finish(attempt("overtaken"), OutcomeNotRun, nil)
		Expect(owner.reply(ask(owner, third, "overtaken")).Err).To(BeAssignableToTypeOf(&AbandonedError{}))
		w := ask(owner, third, "next")
		fleet.run()
		Expect(decided(owner, w)).To(Equal(DecisionRun))
	})

	// The owner's records are trimmed before it has read them, and its table
	// comes from a snapshot. One claim is in it and one is not: the first is
	// granted, the second is written again.
	It("takes up its claims after its table was replaced", func() {
		w := ask(owner, third, "first")
		other := ClaimRecord{Key: sibling(), Attempt: AttemptHash{1}}
		waiters++
		lost := waiters
		owner.appendNext(true, true)
		owner.claim(lost, third, other)
		fleet.advance(holdAfter / 10)
		owner.appends = nil // the second record and its answer are lost
		for third.foldNext() {
		}
		restored, err := RestoreState(third.state.Parts(10))
		Expect(err).NotTo(HaveOccurred())
		*owner.state = State{rows: restored.rows, expiry: restored.expiry, now: restored.now, owners: restored.owners}
		owner.folded = third.folded
		owner.do(func(l *Ledger) { l.Resync(fleet.now) })
		Expect(decided(owner, w)).To(Equal(DecisionRun))
		fleet.run()
		Expect(decided(owner, lost)).To(Equal(DecisionRun))
	})

	// The entry that dispatched leaves. Those who wait are told that the
	// outcome is unknown, at the latest when no request can still be running.
	It("says unknown when the asker is lost or silent", func() {
		ask(owner, third, "first")
		fleet.run()
		again := ask(owner, fourth, "again")
		fleet.advance(maxRun)
		Expect(decided(owner, again)).To(Equal(DecisionUnknown))
		var other ClaimRecord
		other.Key = sibling()
		waiters += 2
		owner.claim(waiters-1, third, other)
		fleet.run()
		other.Attempt = AttemptHash{1}
		owner.claim(waiters, fourth, other)
		third.crashed = true
		fleet.remove(third.self.ID, false)
		fleet.run()
		Expect(decided(owner, waiters)).To(Equal(DecisionUnknown))
	})

	// The owner is killed while an attempt runs. Its successor knows the claim
	// from the fold and must not run the request again; it learns the outcome
	// from the entry that dispatched it.
	It("keeps a running attempt's key after the owner is killed", func() {
		ask(owner, third, "first")
		fleet.run()
		owner.crashed = true
		fleet.remove(owner.self.ID, false)
		fleet.run()
		next, err := third.view.owner(tabClaim.Key)
		Expect(err).NotTo(HaveOccurred())
		n := fleet.node(next.ID)
		Expect(decided(n, ask(n, fourth, "again"))).To(Equal(DecisionUnknown))
		n.finish(attempt("first"), OutcomeAnswered, answer)
		Expect(decided(n, ask(n, fourth, "later"))).To(Equal(DecisionReplay))
	})

	// The owner dies with the answer to a claim on its way. The same attempt
	// asks the successor, which finds it as the holder and lets it run.
	It("grants the same attempt once more to the one that never heard", func() {
		ask(owner, third, "first")
		fleet.run()
		owner.crashed = true
		fleet.remove(owner.self.ID, false)
		fleet.run()
		next, _ := third.view.owner(tabClaim.Key)
		Expect(decided(fleet.node(next.ID), ask(fleet.node(next.ID), third, "first"))).To(Equal(DecisionRun))
	})

	// The owner freezes with a claim unsent, is removed, and wakes. Its late
	// record is rejected by every reader, and it grants nothing; meanwhile the
	// successor has run the request.
	It("grants nothing when an owner wakes after its removal", func() {
		stale := ask(owner, third, "first")
		owner.frozen = true
		fleet.remove(owner.self.ID, false)
		fleet.run()
		next, _ := third.view.owner(tabClaim.Key)
		w := ask(fleet.node(next.ID), fourth, "second")
		fleet.run()
		Expect(decided(fleet.node(next.ID), w)).To(Equal(DecisionRun))
		owner.frozen = false
		owner.appendNext(true, true)
		fleet.run()
		Expect(owner.reply(stale).Err).To(HaveOccurred())
		Expect(owner.ledger.status().Granted).To(BeZero())
		holder, _ := third.state.Lookup(tabClaim.Key)
		Expect(holder.Attempt).To(Equal(HashAttempt("second")))
	})

	// While the members change, a key that gets another owner has none: the old
	// one lets go when it folds the change, the new one waits for everybody.
	It("has no owner for a moving key until all have acknowledged", func() {
		third.crashed = true
		fleet.remove(owner.self.ID, false) // leaves, still alive
		for _, n := range []*simNode{owner, witness, fourth} {
			for n.foldNext() {
			}
			Expect(n.ledger.mayGrant(tabClaim.Key)).To(BeAssignableToTypeOf(&ChangingOwnerError{}))
		}
		fleet.run()
		Expect(witness.view.changing()).To(BeTrue(), "the barrier waits for the crashed one")
		third.gone = true
		fleet.run()
		Expect(witness.view.changing()).To(BeFalse())
	})
})
