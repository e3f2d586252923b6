package idempotency

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Ledgers of a fleet of entries", func() {
	BeforeEach(newFleet)

	Context("while the log is down", func() {
		var w Waiter
		BeforeEach(func() {
			fleet.logDown = true
			w = sendClaim(owner, third, "first")
			fleet.advance(witnessDelay)
			Expect(owner.reply(w)).To(BeNil())
			Expect(owner.holds).To(HaveLen(1))
		})

		// Owner and witness, in two zones, hold the claim before its request runs. Both
		// append it after the outage and drop it once it has been read back.
		It("grants through a witness and appends the claim after the outage", func() {
			Expect(owner.self.Zone).NotTo(Equal(witness.self.Zone))
			owner.holdNext(true, true)
			Expect(expectDecision(owner, w)).To(Equal(DecisionRun))
			Expect(witness.ledger.PendingWitness()).To(Equal(1))
			owner.finish(claimBy("first"), OutcomeAnswered, answer)
			Expect(expectDecision(owner, sendClaim(owner, fourth, "again"))).To(Equal(DecisionReplay))
			fleet.logDown = false
			fleet.run()
			Expect(owner.ledger.Flushed() && witness.ledger.Flushed()).To(BeTrue())
			holder, _ := third.state.Lookup(testClaim.Key)
			Expect(holder.Status).To(Equal(StatusFinished))
		})

		// The answer is no longer cached and the log is still down, so only the owner's
		// held claims show that the request has run.
		It("remembers a held key whose answer is evicted", func() {
			owner.holdNext(true, true)
			owner.finish(claimBy("first"), OutcomeAnswered, answer)
			owner.ledger.answers = newAnswerCache(maxAnswersBytes)
			Expect(expectDecision(owner, sendClaim(owner, fourth, "again"))).To(Equal(DecisionFinished))
		})

		// The request finishes before its claim is appended, as an earlier record is
		// still in flight. The claim must precede the finish in the log, or the key
		// would stay claimed by a finished request.
		It("appends a claim before its finish", func() {
			second := ClaimRecord{Key: otherKeyOfOwner(), Attempt: AttemptHash{2}}
			owner.claim(99, third, second)
			owner.holdNext(true, true)
			owner.holdNext(true, true)
			owner.finish(second, OutcomeAnswered, answer)
			owner.ledger.journal.lastWasClaims = true // so the next batch holds finishes
			witness.crashed = true
			fleet.logDown = false
			fleet.run()
			holder, _ := third.state.Lookup(second.Key)
			Expect(holder.Status).To(Equal(StatusFinished))
		})

		// A paused owner was removed and resumes. Its former witness has read the
		// removal and refuses its claims.
		It("holds no claims for an owner that is losing the key", func() {
			fleet.logDown = false
			fleet.remove(owner.self.ID, false)
			witness.foldNext()
			Expect(witness.ledger.HoldAsWitness(fleet.now, owner.self, []ClaimRecord{testClaim})).To(BeAssignableToTypeOf(&NotOwnerError{}))
			older := Member{ID: owner.self.ID, BootID: "0"}
			Expect(third.ledger.HoldAsWitness(fleet.now, older, []ClaimRecord{testClaim})).To(BeAssignableToTypeOf(&NotOwnerError{}))
			Expect(witness.ledger.Flushed()).To(BeTrue())
		})

		// The witness's reply arrives after the owner has folded a change that moves the
		// key, and so has promised to grant nothing more.
		It("grants nothing if the witness replies after the key has moved", func() {
			fleet.logDown = false
			fleet.remove(owner.self.ID, false)
			for owner.foldNext() {
			}
			owner.holdNext(true, true)
			Expect(owner.reply(w).Err).To(BeAssignableToTypeOf(&ChangingOwnerError{}))
			Expect(owner.ledger.status().Granted).To(BeZero())
		})

		// The claim is appended, then granted through a witness, but the owner is
		// removed before its record is folded, so the fold rejects it. The owner appends
		// it again as held, so that the fold records it.
		It("appends a held claim again after the fold has rejected it", func() {
			owner.holdNext(true, true)
			witness.crashed = true
			fleet.logDown = false
			fleet.remove(owner.self.ID, false)
			fleet.run()
			holder, known := third.state.Lookup(testClaim.Key)
			Expect(known).To(BeTrue())
			Expect(holder.Attempt).To(Equal(HashAttempt("first")))
			Expect(owner.ledger.Flushed()).To(BeTrue())
		})

		// The witness knows another attempt of the key that the owner has not read yet.
		// It must not help to run the request again.
		It("refuses as a witness to hold a key that another attempt has claimed", func() {
			other := ClaimBatch{Owner: third.self.ID, OwnerBoot: "1", Claims: []ClaimRecord{claimBy("earlier")}}
			fleet.write(simRecord{id: "x", append: &Append{ID: "x", Claims: &other}})
			fleet.logDown = false
			witness.foldNext()
			fleet.logDown = true
			owner.holdNext(true, true)
			Expect(owner.reply(w).Err).To(MatchError(ContainSubstring("another attempt")))
		})

		It("refuses as not run if the witness does not reply", func() {
			owner.holdNext(false, false)
			Expect(owner.reply(w).Err).To(BeAssignableToTypeOf(&LogUnavailableError{}))
			Expect(owner.reply(sendClaim(owner, fourth, "again")).Err).To(HaveOccurred())
			owner.finish(claimBy("first"), OutcomeNotRun, nil) // the claimant cancels
			fleet.logDown = false
			fleet.run()
			next := sendClaim(owner, fourth, "next")
			fleet.run()
			Expect(expectDecision(owner, next)).To(Equal(DecisionRun))
		})

		// The owner crashes during the outage, after a grant. The witness appends the
		// claim before it acknowledges the owner's removal, so the successor knows the
		// key and does not run the request again.
		It("keeps the key if the owner crashes during the outage", func() {
			owner.holdNext(true, true)
			owner.crashed = true
			fleet.logDown = false
			fleet.remove(owner.self.ID, false)
			for witness.foldNext() {
			}
			witness.ack()
			Expect(fleet.changes[0].acked).NotTo(HaveKey(witness.self.ID))
			fleet.run()
			next, err := third.view.owner(testClaim.Key)
			Expect(err).NotTo(HaveOccurred())
			Expect(expectDecision(fleet.node(next.ID), sendClaim(fleet.node(next.ID), fourth, "again"))).To(Equal(DecisionUnknown))
		})

		// Owner and witness are both lost. Their keys are refused as unknown for
		// Retention; all other keys stay available.
		It("refuses keys whose owner and witness are both lost", func() {
			owner.holdNext(true, true)
			owner.crashed, witness.crashed = true, true
			fleet.logDown = false
			fleet.remove(owner.self.ID, true)
			witness.removed = true
			fleet.run()
			fleet.remove(witness.self.ID, true)
			fleet.run()
			next, err := third.view.owner(testClaim.Key)
			Expect(err).NotTo(HaveOccurred())
			n := fleet.node(next.ID)
			Expect(expectDecision(n, sendClaim(n, fourth, "again"))).To(Equal(DecisionUnknown))
			Expect(n.state.UncertainRanges()).NotTo(BeEmpty())
			fleet.advance(Retention)
			w := sendClaim(n, fourth, "a day later")
			fleet.run()
			// The mark expires by log time, which advances with the next record.
			Expect(n.reply(w)).NotTo(BeNil())
		})

		// A new owner has not read everything that was in the log before the outage. The
		// unread part may contain claims of its predecessor, so it refuses.
		It("refuses claims while the owner has not caught up", func() {
			owner.ledger.caughtUp = false
			later := sendClaim(owner, fourth, "other")
			owner.holds = nil
			fleet.advance(time.Millisecond)
			Expect(owner.reply(later)).To(BeNil())
			lastWaiter++
			owner.claim(lastWaiter, third, ClaimRecord{Key: otherKeyOfOwner(), Attempt: AttemptHash{9}})
			fleet.advance(witnessDelay)
			Expect(owner.reply(lastWaiter).Err).To(MatchError(ContainSubstring("not caught up")))
		})
	})
})
