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

var _ = Describe("Ledgers of a fleet of entries", func() {
	BeforeEach(newFleet)

	// Three entries claim the same key at once. One attempt runs, the other two get
	// its answer.
	It("runs one of several claims and gives the others its answer", func() {
		first, second, other := sendClaim(owner, third, "first"), sendClaim(owner, fourth, "second"), sendClaim(owner, owner, "third")
		Expect(owner.reply(first)).To(BeNil(), "granted before it was read back")
		fleet.run()
		Expect(expectDecision(owner, first)).To(Equal(DecisionRun))
		Expect(owner.reply(second)).To(BeNil())
		owner.finish(claimBy("first"), OutcomeAnswered, answer)
		for _, w := range []Waiter{second, other, sendClaim(owner, third, "late")} {
			Expect(expectDecision(owner, w)).To(Equal(DecisionReplay))
			Expect(owner.reply(w).Answer).To(Equal(answer))
		}
	})

	It("refuses the key for a different request at every stage", func() {
		stages := []func(){
			func() { sendClaim(owner, third, "first") },
			func() { fleet.run() },
			func() { owner.finish(claimBy("first"), OutcomeAnswered, answer) },
			func() { fleet.run(); owner.ledger.answers = newAnswerCache(maxAnswersBytes) },
		}
		for i, stage := range stages {
			stage()
			other := claimBy(fmt.Sprint("other", i))
			other.Fingerprint = [16]byte{2}
			lastWaiter++
			owner.claim(lastWaiter, third, other)
			Expect(expectDecision(owner, lastWaiter)).To(Equal(DecisionConflict), "stage %d", i)
		}
		Expect(expectDecision(owner, sendClaim(owner, third, "again"))).To(Equal(DecisionFinished))
	})

	// The caller times out and repeats a request whose outcome is lost. It may have
	// run, so it must not run again.
	It("replies with DecisionUnknown after an unknown outcome", func() {
		sendClaim(owner, third, "first")
		fleet.run()
		again := sendClaim(owner, fourth, "again")
		owner.finish(claimBy("first"), OutcomeUnknown, nil)
		Expect(expectDecision(owner, again)).To(Equal(DecisionUnknown))
		fleet.run()
		Expect(expectDecision(owner, sendClaim(owner, third, "later"))).To(Equal(DecisionUnknown))
	})

	// An endpoint refuses a request without running it. The next attempt gets the
	// key only after the release has been read back, so that no reader sees two
	// holders.
	It("grants a released key to the waiting attempt", func() {
		sendClaim(owner, third, "first")
		fleet.run()
		again := sendClaim(owner, fourth, "again")
		owner.finish(claimBy("first"), OutcomeNotRun, nil)
		Expect(owner.reply(again)).To(BeNil())
		fleet.run()
		Expect(expectDecision(owner, again)).To(Equal(DecisionRun))
	})

	// The reply to an append is lost twice. The record is sent again under the same
	// ID, folded once, and its claim is granted.
	It("retries a lost append with the same ID", func() {
		w := sendClaim(owner, third, "first")
		id := owner.appends[0].ID
		for range 2 {
			owner.appendNext(true, false)
			fleet.advance(appendRetryDelay)
			Expect(owner.appends).To(HaveLen(1))
			Expect(owner.appends[0].ID).To(Equal(id))
		}
		fleet.run()
		Expect(expectDecision(owner, w)).To(Equal(DecisionRun))
		Expect(fleet.log[len(fleet.log)-1].id).To(Equal(id))
	})

	// Load: a burst of claims. Only one append is in flight, and the batch grows.
	It("limits the append rate by group commit", func() {
		for i := range 1000 {
			lastWaiter++
			owner.claim(lastWaiter, third, ClaimRecord{Key: KeyHash{byte(i), byte(i >> 8)}, Attempt: AttemptHash{1}})
			if r := owner.reply(lastWaiter); r != nil {
				Expect(r.Err).To(BeAssignableToTypeOf(&NotOwnerError{}))
			}
		}
		before := len(fleet.log)
		fleet.runFor(100)
		Expect(len(fleet.log) - before).To(BeNumerically("<=", 3))
		Expect(owner.ledger.status().Journalling).To(BeZero())
	})

	// The claimant cancels. A claim that was not sent is dropped, one that was sent
	// is released, and one that arrives after its own cancellation is refused.
	It("releases the key of a cancelled attempt", func() {
		sendClaim(owner, third, "first")
		owner.finish(claimBy("first"), OutcomeNotRun, nil)
		fleet.run()
		Expect(owner.ledger.status()).To(And(HaveField("Granted", 0), HaveField("Releasing", 0)))
		owner.finish(claimBy("overtaken"), OutcomeNotRun, nil)
		Expect(owner.reply(sendClaim(owner, third, "overtaken")).Err).To(BeAssignableToTypeOf(&AbandonedError{}))
		w := sendClaim(owner, third, "next")
		fleet.run()
		Expect(expectDecision(owner, w)).To(Equal(DecisionRun))
	})

	// The owner's records are trimmed before it has read them, and its table is
	// replaced from a snapshot. The claim in the snapshot is granted, the one that
	// is missing is appended again.
	It("resumes its claims after its table was replaced", func() {
		w := sendClaim(owner, third, "first")
		other := ClaimRecord{Key: otherKeyOfOwner(), Attempt: AttemptHash{1}}
		lastWaiter++
		lost := lastWaiter
		owner.appendNext(true, true)
		owner.claim(lost, third, other)
		fleet.advance(witnessDelay / 10)
		owner.appends = nil // the second record and its answer are lost
		for third.foldNext() {
		}
		restored, err := RestoreState(third.state.Parts(10))
		Expect(err).NotTo(HaveOccurred())
		*owner.state = State{rows: restored.rows, expiry: restored.expiry, now: restored.now, owners: restored.owners}
		owner.readOffset = third.readOffset
		owner.withLedger(func(l *Ledger) { l.Resync(fleet.now) })
		Expect(expectDecision(owner, w)).To(Equal(DecisionRun))
		fleet.run()
		Expect(expectDecision(owner, lost)).To(Equal(DecisionRun))
	})

	// The claimant leaves or never reports. Waiters are told that the outcome is
	// unknown, at the latest once no request can still be running.
	It("replies with DecisionUnknown if the claimant is lost or does not report", func() {
		sendClaim(owner, third, "first")
		fleet.run()
		again := sendClaim(owner, fourth, "again")
		fleet.advance(maxRunTime)
		Expect(expectDecision(owner, again)).To(Equal(DecisionUnknown))
		var other ClaimRecord
		other.Key = otherKeyOfOwner()
		lastWaiter += 2
		owner.claim(lastWaiter-1, third, other)
		fleet.run()
		other.Attempt = AttemptHash{1}
		owner.claim(lastWaiter, fourth, other)
		third.crashed = true
		fleet.remove(third.self.ID, false)
		fleet.run()
		Expect(expectDecision(owner, lastWaiter)).To(Equal(DecisionUnknown))
	})

	// The owner crashes while an attempt runs. Its successor finds the claim in the
	// fold and must not run the request again. It gets the outcome from the entry
	// that dispatched the request.
	It("keeps the key of a running attempt after the owner crashes", func() {
		sendClaim(owner, third, "first")
		fleet.run()
		owner.crashed = true
		fleet.remove(owner.self.ID, false)
		fleet.run()
		next, err := third.view.owner(testClaim.Key)
		Expect(err).NotTo(HaveOccurred())
		n := fleet.node(next.ID)
		Expect(expectDecision(n, sendClaim(n, fourth, "again"))).To(Equal(DecisionUnknown))
		n.finish(claimBy("first"), OutcomeAnswered, answer)
		Expect(expectDecision(n, sendClaim(n, fourth, "later"))).To(Equal(DecisionReplay))
	})

	// The owner crashes before its reply to a claim arrives. The same attempt claims
	// through the successor, which finds it as the holder and lets it run.
	It("grants an attempt again if its claimant missed the first reply", func() {
		sendClaim(owner, third, "first")
		fleet.run()
		owner.crashed = true
		fleet.remove(owner.self.ID, false)
		fleet.run()
		next, _ := third.view.owner(testClaim.Key)
		Expect(expectDecision(fleet.node(next.ID), sendClaim(fleet.node(next.ID), third, "first"))).To(Equal(DecisionRun))
	})

	// The owner is paused with an unsent claim, is removed, and resumes after its
	// successor has run the request. Its late record is rejected by every reader,
	// and it grants nothing.
	It("grants nothing if a paused owner resumes after its removal", func() {
		stale := sendClaim(owner, third, "first")
		owner.frozen = true
		fleet.remove(owner.self.ID, false)
		fleet.run()
		next, _ := third.view.owner(testClaim.Key)
		w := sendClaim(fleet.node(next.ID), fourth, "second")
		fleet.run()
		Expect(expectDecision(fleet.node(next.ID), w)).To(Equal(DecisionRun))
		owner.frozen = false
		owner.appendNext(true, true)
		fleet.run()
		Expect(owner.reply(stale).Err).To(HaveOccurred())
		Expect(owner.ledger.status().Granted).To(BeZero())
		holder, _ := third.state.Lookup(testClaim.Key)
		Expect(holder.Attempt).To(Equal(HashAttempt("second")))
	})

	// During a membership change a key that moves has no owner: the old owner drops
	// it when it folds the change, the new one waits for all acknowledgements.
	It("has no owner for a moving key until all entries have acknowledged the change", func() {
		third.crashed = true
		fleet.remove(owner.self.ID, false) // removed but still running
		for _, n := range []*simNode{owner, witness, fourth} {
			for n.foldNext() {
			}
			Expect(n.ledger.checkOwnership(testClaim.Key)).To(BeAssignableToTypeOf(&ChangingOwnerError{}))
		}
		fleet.run()
		Expect(witness.view.isChanging()).To(BeTrue(), "the barrier waits for the crashed entry")
		third.removed = true
		fleet.run()
		Expect(witness.view.isChanging()).To(BeFalse())
	})
})
