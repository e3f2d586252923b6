package idempotency

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("ledgers of a fleet", func() {
	BeforeEach(newFleet)

	Context("while the log is down", func() {
		var w Waiter
		BeforeEach(func() {
			fleet.down = true
			w = ask(owner, third, "first")
			fleet.advance(holdAfter)
			Expect(owner.reply(w)).To(BeNil())
			Expect(owner.holds).To(HaveLen(1))
		})

		// The claim is held by owner and witness in two zones before it runs.
		// Both write it when the log is back, and let go of it once it is read.
		It("grants on the word of a witness and flushes later", func() {
			Expect(owner.self.Zone).NotTo(Equal(witness.self.Zone))
			owner.holdNext(true, true)
			Expect(decided(owner, w)).To(Equal(DecisionRun))
			Expect(witness.ledger.PendingWitness()).To(Equal(1))
			owner.finish(attempt("first"), OutcomeAnswered, answer)
			Expect(decided(owner, ask(owner, fourth, "again"))).To(Equal(DecisionReplay))
			fleet.down = false
			fleet.run()
			Expect(owner.ledger.Flushed() && witness.ledger.Flushed()).To(BeTrue())
			holder, _ := third.state.Lookup(tabClaim.Key)
			Expect(holder.Status).To(Equal(StatusFinished))
		})

		// The answer has been dropped from memory and the log is still down, so
		// only the owner's list of held claims knows that the request has run.
		It("remembers a held key whose answer is gone", func() {
			owner.holdNext(true, true)
			owner.finish(attempt("first"), OutcomeAnswered, answer)
			owner.ledger.done = newAnswers(maxAnswersBytes)
			Expect(decided(owner, ask(owner, fourth, "again"))).To(Equal(DecisionFinished))
		})

		// The request ends before its claim has left for the log, as an earlier
		// record is stuck there. The claim must still be written first, or the
		// key would stay taken by a request that is over.
		It("writes a claim before its finish", func() {
			second := ClaimRecord{Key: sibling(), Attempt: AttemptHash{2}}
			owner.claim(99, third, second)
			owner.holdNext(true, true)
			owner.holdNext(true, true)
			owner.finish(second, OutcomeAnswered, answer)
			owner.ledger.journal.claimsLast = true // it is the finishes' turn
			witness.crashed = true
			fleet.down = false
			fleet.run()
			holder, _ := third.state.Lookup(second.Key)
			Expect(holder.Status).To(Equal(StatusFinished))
		})

		// A frozen owner was removed and wakes. Its former witness has read of
		// the removal, so it takes nothing from it.
		It("holds nothing for an owner that is losing the key", func() {
			fleet.down = false
			fleet.remove(owner.self.ID, false)
			witness.foldNext()
			Expect(witness.ledger.HoldFor(fleet.now, owner.self, []ClaimRecord{tabClaim})).To(BeAssignableToTypeOf(&NotOwnerError{}))
			older := Member{ID: owner.self.ID, BootID: "0"}
			Expect(third.ledger.HoldFor(fleet.now, older, []ClaimRecord{tabClaim})).To(BeAssignableToTypeOf(&NotOwnerError{}))
			Expect(witness.ledger.Flushed()).To(BeTrue())
		})

		// The witness's word comes after the owner has folded a change that
		// takes the key from it, and so has promised to grant nothing more.
		It("grants nothing on a word that comes after the key has moved", func() {
			fleet.down = false
			fleet.remove(owner.self.ID, false)
			for owner.foldNext() {
			}
			owner.holdNext(true, true)
			Expect(owner.reply(w).Err).To(BeAssignableToTypeOf(&ChangingOwnerError{}))
			Expect(owner.ledger.status().Granted).To(BeZero())
		})

		// The record of the claim goes out, the witness grants it, and the owner
		// is removed before the record: the fold rejects it. The owner sends the
		// claim once more as held, so that the fold learns of it.
		It("tells the fold of a held claim that it had rejected", func() {
			owner.holdNext(true, true)
			witness.crashed = true
			fleet.down = false
			fleet.remove(owner.self.ID, false)
			fleet.run()
			holder, known := third.state.Lookup(tabClaim.Key)
			Expect(known).To(BeTrue())
			Expect(holder.Attempt).To(Equal(HashAttempt("first")))
			Expect(owner.ledger.Flushed()).To(BeTrue())
		})

		// The witness knows another attempt of the key, which the owner has not
		// read of yet. It must not help to run the request again.
		It("refuses as a witness what it knows to be claimed", func() {
			other := ClaimBatch{Owner: third.self.ID, OwnerBoot: "1", Claims: []ClaimRecord{attempt("earlier")}}
			fleet.write(simRecord{id: "x", append: &Append{ID: "x", Claims: &other}})
			fleet.down = false
			witness.foldNext()
			fleet.down = true
			owner.holdNext(true, true)
			Expect(owner.reply(w).Err).To(MatchError(ContainSubstring("another attempt")))
		})

		It("refuses as not run where the witness does not answer", func() {
			owner.holdNext(false, false)
			Expect(owner.reply(w).Err).To(BeAssignableToTypeOf(&LogUnavailableError{}))
			Expect(owner.reply(ask(owner, fourth, "again")).Err).To(HaveOccurred())
			owner.finish(attempt("first"), OutcomeNotRun, nil) // its entry gives up
			fleet.down = false
			fleet.run()
			next := ask(owner, fourth, "next")
			fleet.run()
			Expect(decided(owner, next)).To(Equal(DecisionRun))
		})

		// The owner is killed during the outage, after a grant. The witness
		// writes the claim before it acknowledges the owner's removal, so the
		// successor knows the key and doesn't run the request again.
		It("keeps the key when the owner dies before the log is back", func() {
			owner.holdNext(true, true)
			owner.crashed = true
			fleet.down = false
			fleet.remove(owner.self.ID, false)
			for witness.foldNext() {
			}
			witness.ack()
			Expect(fleet.changes[0].acked).NotTo(HaveKey(witness.self.ID))
			fleet.run()
			next, err := third.view.owner(tabClaim.Key)
			Expect(err).NotTo(HaveOccurred())
			Expect(decided(fleet.node(next.ID), ask(fleet.node(next.ID), fourth, "again"))).To(Equal(DecisionUnknown))
		})

		// Owner and witness are both lost. Their keys are refused as unknown as
		// long as a key is remembered; all other keys go on.
		It("refuses keys whose owner and witness are both lost", func() {
			owner.holdNext(true, true)
			owner.crashed, witness.crashed = true, true
			fleet.down = false
			fleet.remove(owner.self.ID, true)
			witness.gone = true
			fleet.run()
			fleet.remove(witness.self.ID, true)
			fleet.run()
			next, err := third.view.owner(tabClaim.Key)
			Expect(err).NotTo(HaveOccurred())
			n := fleet.node(next.ID)
			Expect(decided(n, ask(n, fourth, "again"))).To(Equal(DecisionUnknown))
			Expect(n.state.UncertainRanges()).NotTo(BeEmpty())
			fleet.advance(Retention)
			w := ask(n, fourth, "a day later")
			fleet.run()
			// The mark ends by log time, which moves with the next record.
			Expect(n.reply(w)).NotTo(BeNil())
		})

		// A new owner has not read all that the log had before the outage.
		// Claims under its predecessor may be there, so it refuses.
		It("refuses where the owner has not caught up", func() {
			owner.ledger.proven = false
			later := ask(owner, fourth, "other")
			owner.holds = nil
			fleet.advance(time.Millisecond)
			Expect(owner.reply(later)).To(BeNil())
			waiters++
			owner.claim(waiters, third, ClaimRecord{Key: sibling(), Attempt: AttemptHash{9}})
			fleet.advance(holdAfter)
			Expect(owner.reply(waiters).Err).To(MatchError(ContainSubstring("not caught up")))
		})
	})
})
