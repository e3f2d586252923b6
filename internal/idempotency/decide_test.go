package idempotency

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestIdempotency(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "idempotency")
}

var _ = Describe("ledgers of a fleet", func() {
	var s *sim
	var c ClaimRecord
	var owner, witness, third, fourth *simNode
	answer := &Answer{Status: 201, Body: []byte("receipt")}

	attempt := func(name string) ClaimRecord {
		r := c
		r.Attempt = HashAttempt(name)
		return r
	}
	// ask brings a claim to n and returns its waiter.
	var waiters Waiter
	ask := func(n, from *simNode, name string) Waiter {
		waiters++
		n.claim(waiters, from, attempt(name))
		return waiters
	}
	decided := func(n *simNode, w Waiter) Decision {
		GinkgoHelper()
		r := n.reply(w)
		Expect(r).NotTo(BeNil(), "undecided")
		Expect(r.Err).NotTo(HaveOccurred())
		return r.Decision
	}

	BeforeEach(func() {
		s = newSim(Member{"a", "1", "z1"}, Member{"b", "1", "z2"}, Member{"c", "1", "z2"}, Member{"d", "1", "z3"})
		s.run()
		c = Claim{Service: "settle", Key: "tab 7", Fingerprint: [16]byte{1}, Attempt: "first"}.record()
		o, _ := ownerOf(c.Key, s.members())
		w, _ := witnessOf(c.Key, s.members(), o)
		owner, witness, third, fourth = s.node(o.ID), s.node(w.ID), nil, nil
		for _, n := range s.nodes {
			if n != owner && n != witness {
				third, fourth = n, third
			}
		}
	})

	// One tab close reaches three entries at once. One runs; the two others get
	// the same answer when it is there.
	It("runs one of several claims and gives the others its answer", func() {
		first, second, other := ask(owner, third, "first"), ask(owner, fourth, "second"), ask(owner, owner, "third")
		Expect(owner.reply(first)).To(BeNil(), "granted before it was read back")
		s.run()
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
			func() { s.run() },
			func() { owner.finish(attempt("first"), OutcomeAnswered, answer) },
			func() { s.run(); owner.ledger.done = newAnswers(maxAnswersBytes) },
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
		s.run()
		again := ask(owner, fourth, "again")
		owner.finish(attempt("first"), OutcomeUnknown, nil)
		Expect(decided(owner, again)).To(Equal(DecisionUnknown))
		s.run()
		Expect(decided(owner, ask(owner, third, "later"))).To(Equal(DecisionUnknown))
	})

	// An endpoint refuses the request unrun. The next attempt gets the key only
	// after the release has been read back, so that no reader sees two holders.
	It("gives a released key to the attempt that waits", func() {
		ask(owner, third, "first")
		s.run()
		again := ask(owner, fourth, "again")
		owner.finish(attempt("first"), OutcomeNotRun, nil)
		Expect(owner.reply(again)).To(BeNil())
		s.run()
		Expect(decided(owner, again)).To(Equal(DecisionRun))
	})

	// The answer to an append is lost, twice. The record goes out again under
	// the same id, is counted once, and its claim is granted.
	It("repeats a lost append under the same id", func() {
		w := ask(owner, third, "first")
		id := owner.appends[0].ID
		for range 2 {
			owner.appendNext(true, false)
			s.advance(appendRetry)
			Expect(owner.appends).To(HaveLen(1))
			Expect(owner.appends[0].ID).To(Equal(id))
		}
		s.run()
		Expect(decided(owner, w)).To(Equal(DecisionRun))
		Expect(s.log[len(s.log)-1].id).To(Equal(id))
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
		before := len(s.log)
		s.runFor(100)
		Expect(len(s.log) - before).To(BeNumerically("<=", 3))
		Expect(owner.ledger.status().Journalling).To(BeZero())
	})

	// The asker's entry gives up. A claim that never left is dropped; one that
	// did is released; and a claim that comes after its own cancellation, having
	// been overtaken, is refused.
	It("releases the key of an attempt that was given up", func() {
		ask(owner, third, "first")
		owner.finish(attempt("first"), OutcomeNotRun, nil)
		s.run()
		Expect(owner.ledger.status()).To(And(HaveField("Granted", 0), HaveField("Releasing", 0)))
		owner.finish(attempt("overtaken"), OutcomeNotRun, nil)
		Expect(owner.reply(ask(owner, third, "overtaken")).Err).To(BeAssignableToTypeOf(&AbandonedError{}))
		w := ask(owner, third, "next")
		s.run()
		Expect(decided(owner, w)).To(Equal(DecisionRun))
	})

	// The owner's records are trimmed before it has read them, and its table
	// comes from a snapshot. One claim is in it and one is not: the first is
	// granted, the second is written again.
	It("takes up its claims after its table was replaced", func() {
		w := ask(owner, third, "first")
		other := ClaimRecord{Key: sibling(owner, s), Attempt: AttemptHash{1}}
		waiters++
		lost := waiters
		owner.appendNext(true, true)
		owner.claim(lost, third, other)
		s.advance(holdAfter / 10)
		owner.appends = nil // the second record and its answer are lost
		for third.foldNext() {
		}
		restored, err := RestoreState(third.state.Parts(10))
		Expect(err).NotTo(HaveOccurred())
		*owner.state = State{rows: restored.rows, expiry: restored.expiry, now: restored.now, owners: restored.owners}
		owner.folded = third.folded
		owner.do(func(l *Ledger) { l.Resync(s.now) })
		Expect(decided(owner, w)).To(Equal(DecisionRun))
		s.run()
		Expect(decided(owner, lost)).To(Equal(DecisionRun))
	})

	// The entry that dispatched leaves. Those who wait are told that the
	// outcome is unknown, at the latest when no request can still be running.
	It("says unknown when the asker is lost or silent", func() {
		ask(owner, third, "first")
		s.run()
		again := ask(owner, fourth, "again")
		s.advance(maxRun)
		Expect(decided(owner, again)).To(Equal(DecisionUnknown))
		var other ClaimRecord
		other.Key = sibling(owner, s)
		waiters += 2
		owner.claim(waiters-1, third, other)
		s.run()
		other.Attempt = AttemptHash{1}
		owner.claim(waiters, fourth, other)
		third.crashed = true
		s.remove(third.self.ID, false)
		s.run()
		Expect(decided(owner, waiters)).To(Equal(DecisionUnknown))
	})

	// The owner is killed while an attempt runs. Its successor knows the claim
	// from the fold and must not run the request again; it learns the outcome
	// from the entry that dispatched it.
	It("keeps a running attempt's key after the owner is killed", func() {
		ask(owner, third, "first")
		s.run()
		owner.crashed = true
		s.remove(owner.self.ID, false)
		s.run()
		next, err := third.view.owner(c.Key)
		Expect(err).NotTo(HaveOccurred())
		n := s.node(next.ID)
		Expect(decided(n, ask(n, fourth, "again"))).To(Equal(DecisionUnknown))
		n.finish(attempt("first"), OutcomeAnswered, answer)
		Expect(decided(n, ask(n, fourth, "later"))).To(Equal(DecisionReplay))
	})

	// The owner dies with the answer to a claim on its way. The same attempt
	// asks the successor, which finds it as the holder and lets it run.
	It("grants the same attempt once more to the one that never heard", func() {
		ask(owner, third, "first")
		s.run()
		owner.crashed = true
		s.remove(owner.self.ID, false)
		s.run()
		next, _ := third.view.owner(c.Key)
		Expect(decided(s.node(next.ID), ask(s.node(next.ID), third, "first"))).To(Equal(DecisionRun))
	})

	// The owner freezes with a claim unsent, is removed, and wakes. Its late
	// record is rejected by every reader, and it grants nothing; meanwhile the
	// successor has run the request.
	It("grants nothing when an owner wakes after its removal", func() {
		stale := ask(owner, third, "first")
		owner.frozen = true
		s.remove(owner.self.ID, false)
		s.run()
		next, _ := third.view.owner(c.Key)
		w := ask(s.node(next.ID), fourth, "second")
		s.run()
		Expect(decided(s.node(next.ID), w)).To(Equal(DecisionRun))
		owner.frozen = false
		owner.appendNext(true, true)
		s.run()
		Expect(owner.reply(stale).Err).To(HaveOccurred())
		Expect(owner.ledger.status().Granted).To(BeZero())
		holder, _ := third.state.Lookup(c.Key)
		Expect(holder.Attempt).To(Equal(HashAttempt("second")))
	})

	// While the members change, a key that gets another owner has none: the old
	// one lets go when it folds the change, the new one waits for everybody.
	It("has no owner for a moving key until all have acknowledged", func() {
		third.crashed = true
		s.remove(owner.self.ID, false) // leaves, still alive
		for _, n := range []*simNode{owner, witness, fourth} {
			for n.foldNext() {
			}
			Expect(n.ledger.mayGrant(c.Key)).To(BeAssignableToTypeOf(&ChangingOwnerError{}))
		}
		s.run()
		Expect(witness.view.changing()).To(BeTrue(), "the barrier waits for the crashed one")
		third.gone = true
		s.run()
		Expect(witness.view.changing()).To(BeFalse())
	})

	Context("while the log is down", func() {
		var w Waiter
		BeforeEach(func() {
			s.down = true
			w = ask(owner, third, "first")
			s.advance(holdAfter)
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
			s.down = false
			s.run()
			Expect(owner.ledger.Flushed() && witness.ledger.Flushed()).To(BeTrue())
			holder, _ := third.state.Lookup(c.Key)
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
			second := ClaimRecord{Key: sibling(owner, s), Attempt: AttemptHash{2}}
			owner.claim(99, third, second)
			owner.holdNext(true, true)
			owner.holdNext(true, true)
			owner.finish(second, OutcomeAnswered, answer)
			owner.ledger.journal.claimsLast = true // it is the finishes' turn
			witness.crashed = true
			s.down = false
			s.run()
			holder, _ := third.state.Lookup(second.Key)
			Expect(holder.Status).To(Equal(StatusFinished))
		})

		// A frozen owner was removed and wakes. Its former witness has read of
		// the removal, so it takes nothing from it.
		It("holds nothing for an owner that is losing the key", func() {
			s.down = false
			s.remove(owner.self.ID, false)
			witness.foldNext()
			Expect(witness.ledger.HoldFor(s.now, owner.self, []ClaimRecord{c})).To(BeAssignableToTypeOf(&NotOwnerError{}))
			older := Member{ID: owner.self.ID, BootID: "0"}
			Expect(third.ledger.HoldFor(s.now, older, []ClaimRecord{c})).To(BeAssignableToTypeOf(&NotOwnerError{}))
			Expect(witness.ledger.Flushed()).To(BeTrue())
		})

		// The witness's word comes after the owner has folded a change that
		// takes the key from it, and so has promised to grant nothing more.
		It("grants nothing on a word that comes after the key has moved", func() {
			s.down = false
			s.remove(owner.self.ID, false)
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
			s.down = false
			s.remove(owner.self.ID, false)
			s.run()
			holder, known := third.state.Lookup(c.Key)
			Expect(known).To(BeTrue())
			Expect(holder.Attempt).To(Equal(HashAttempt("first")))
			Expect(owner.ledger.Flushed()).To(BeTrue())
		})

		// The witness knows another attempt of the key, which the owner has not
		// read of yet. It must not help to run the request again.
		It("refuses as a witness what it knows to be claimed", func() {
			other := ClaimBatch{Owner: third.self.ID, OwnerBoot: "1", Claims: []ClaimRecord{attempt("earlier")}}
			s.write(simRecord{id: "x", append: &Append{ID: "x", Claims: &other}})
			s.down = false
			witness.foldNext()
			s.down = true
			owner.holdNext(true, true)
			Expect(owner.reply(w).Err).To(MatchError(ContainSubstring("another attempt")))
		})

		It("refuses as not run where the witness does not answer", func() {
			owner.holdNext(false, false)
			Expect(owner.reply(w).Err).To(BeAssignableToTypeOf(&LogUnavailableError{}))
			Expect(owner.reply(ask(owner, fourth, "again")).Err).To(HaveOccurred())
			owner.finish(attempt("first"), OutcomeNotRun, nil) // its entry gives up
			s.down = false
			s.run()
			next := ask(owner, fourth, "next")
			s.run()
			Expect(decided(owner, next)).To(Equal(DecisionRun))
		})

		// The owner is killed during the outage, after a grant. The witness
		// writes the claim before it acknowledges the owner's removal, so the
		// successor knows the key and doesn't run the request again.
		It("keeps the key when the owner dies before the log is back", func() {
			owner.holdNext(true, true)
			owner.crashed = true
			s.down = false
			s.remove(owner.self.ID, false)
			for witness.foldNext() {
			}
			witness.ack()
			Expect(s.changes[0].acked).NotTo(HaveKey(witness.self.ID))
			s.run()
			next, err := third.view.owner(c.Key)
			Expect(err).NotTo(HaveOccurred())
			Expect(decided(s.node(next.ID), ask(s.node(next.ID), fourth, "again"))).To(Equal(DecisionUnknown))
		})

		// Owner and witness are both lost. Their keys are refused as unknown as
		// long as a key is remembered; all other keys go on.
		It("refuses keys whose owner and witness are both lost", func() {
			owner.holdNext(true, true)
			owner.crashed, witness.crashed = true, true
			s.down = false
			s.remove(owner.self.ID, true)
			witness.gone = true
			s.run()
			s.remove(witness.self.ID, true)
			s.run()
			next, err := third.view.owner(c.Key)
			Expect(err).NotTo(HaveOccurred())
			n := s.node(next.ID)
			Expect(decided(n, ask(n, fourth, "again"))).To(Equal(DecisionUnknown))
			Expect(n.state.UncertainRanges()).NotTo(BeEmpty())
			s.advance(Retention)
			w := ask(n, fourth, "a day later")
			s.run()
			// The mark ends by log time, which moves with the next record.
			Expect(n.reply(w)).NotTo(BeNil())
		})

		// A new owner has not read all that the log had before the outage.
		// Claims under its predecessor may be there, so it refuses.
		It("refuses where the owner has not caught up", func() {
			owner.ledger.proven = false
			later := ask(owner, fourth, "other")
			owner.holds = nil
			s.advance(time.Millisecond)
			Expect(owner.reply(later)).To(BeNil())
			waiters++
			owner.claim(waiters, third, ClaimRecord{Key: sibling(owner, s), Attempt: AttemptHash{9}})
			s.advance(holdAfter)
			Expect(owner.reply(waiters).Err).To(MatchError(ContainSubstring("not caught up")))
		})
	})
})

// sibling returns another key of the same owner.
func sibling(owner *simNode, s *sim) KeyHash {
	for i := byte(1); ; i++ {
		if o, _ := ownerOf(KeyHash{i}, s.members()); o == owner.self {
			return KeyHash{i}
		}
	}
}
