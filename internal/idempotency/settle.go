package idempotency

import (
	"time"

	"cyclamenwheel/internal/fold"
)

// grant lets the slot's attempt run.
func (l *Ledger) grant(now time.Time, s *slot) {
	s.phase, s.since, s.failed = granted, now, nil
	l.grants = append(l.grants, keyAttempt{key: s.claim.Key, attempt: s.claim.Attempt, since: now})
	for _, w := range s.asking {
		l.reply(Reply{Waiter: w, Decision: DecisionRun})
	}
	s.asking = nil
	if s.finish != nil {
		l.finishSlot(now, s, *s.finish)
	}
}

// Finish takes the outcome of an attempt from its asker. It may come twice, or
// before the claim, or after the key has got another owner.
func (l *Ledger) Finish(now time.Time, f FinishReport) {
	l.finish(now, f)
	l.pump(now)
}

func (l *Ledger) finish(now time.Time, f FinishReport) {
	if f.Outcome == OutcomeNotRun {
		l.canceled.Add(f.Attempt, struct{}{})
	}
	s := l.slots[f.Key]
	if s != nil && s.claim.Attempt == f.Attempt {
		l.finishOwn(now, s, f)
		return
	}
	if s != nil {
		l.dropOthers(s, f.Attempt)
	}
	l.finishElsewhere(now, f)
}

func (l *Ledger) finishOwn(now time.Time, s *slot, f FinishReport) {
	switch s.phase {
	case granted:
		l.finishSlot(now, s, f)
	case journalling:
		l.cancelSlot(now, s, f)
	case releasing: // reported twice
	}
}

// cancelSlot ends a claim whose asker gave up before it was granted. A claim
// that has not left this process is simply dropped. One that may be in the log
// or with a witness is released once it has been read back.
func (l *Ledger) cancelSlot(now time.Time, s *slot, f FinishReport) {
	for _, w := range s.asking {
		l.refuse(w, &AbandonedError{})
	}
	s.asking = nil
	if s.claim.sent || s.holding {
		s.finish = &f
		return
	}
	s.claim.drop = true
	l.next(now, s)
}

// finishSlot ends a granted attempt.
func (l *Ledger) finishSlot(now time.Time, s *slot, f FinishReport) {
	f.Fingerprint = s.claim.Fingerprint
	l.journal.finishes = append(l.journal.finishes, pendingFinish{FinishRecord: f.FinishRecord, after: s.claim})
	if f.Outcome == OutcomeNotRun {
		s.phase, s.since = releasing, now
		return
	}
	delete(l.slots, f.Key)
	if h, ok := l.holder.own[f.Key]; ok {
		h.outcome = f.Outcome
	}
	l.remember(now, f)
	for _, o := range s.others {
		l.answerEnded(o, f)
	}
}

func (l *Ledger) remember(now time.Time, f FinishReport) {
	if f.Outcome == OutcomeAnswered {
		l.done.put(f.Key, ended{fingerprint: f.Fingerprint, answer: f.Answer, at: now})
	}
}

func (l *Ledger) answerEnded(o waiting, f FinishReport) {
	if f.Outcome != OutcomeAnswered {
		l.reply(Reply{Waiter: o.waiter, Decision: DecisionUnknown})
		return
	}
	r := replay(ended{fingerprint: f.Fingerprint, answer: f.Answer}, o.claim)
	r.Waiter = o.waiter
	l.reply(r)
}

func (l *Ledger) dropOthers(s *slot, attempt AttemptHash) {
	s.others = without(s.others, func(o waiting) bool {
		if o.claim.Attempt != attempt {
			return false
		}
		l.refuse(o.waiter, &AbandonedError{})
		return true
	})
}

// finishElsewhere takes the outcome of an attempt that was claimed under
// another owner. Only what the fold knows is journalled, and a release in any
// case: the claim it ends may still be on its way to the log.
func (l *Ledger) finishElsewhere(now time.Time, f FinishReport) {
	e, ok := l.table.Lookup(f.Key)
	holds := ok && e.Attempt == f.Attempt && e.Status == StatusClaimed
	if !holds && f.Outcome != OutcomeNotRun {
		return
	}
	if holds {
		f.Fingerprint = e.Fingerprint
		l.remember(now, f)
	}
	l.journal.finishes = append(l.journal.finishes, pendingFinish{FinishRecord: f.FinishRecord})
}

// next gives a key that was released to the attempt that waited longest.
func (l *Ledger) next(now time.Time, s *slot) {
	delete(l.slots, s.claim.Key)
	if len(s.others) > 0 {
		l.open(now, s.others[0], s.others[1:])
	}
}

// ClaimsFolded takes the verdict on a record of claims, whoever wrote it.
func (l *Ledger) ClaimsFolded(now time.Time, id string, b ClaimBatch, v fold.Verdict, results []ClaimResult) {
	if v.Accepted {
		l.observe(b, results)
	}
	if own := l.journal.folded(id); own != nil {
		l.readBack(own)
		for i, c := range own.claims {
			r := ClaimResult{Rejected: true}
			if i < len(results) {
				r = results[i]
			}
			l.claimFolded(now, c, r)
		}
	}
	l.pump(now)
}

func (l *Ledger) claimFolded(now time.Time, c *pendingClaim, r ClaimResult) {
	l.heldFolded(c, r)
	s := l.slots[c.Key]
	if s == nil || s.claim != c || s.phase != journalling {
		return
	}
	switch {
	case r.Won:
		l.grant(now, s)
	case r.Rejected:
		l.drop(s, &NotOwnerError{Self: l.self.ID})
	case r.Uncertain:
		l.dropAs(s, func(ClaimRecord) Decision { return DecisionUnknown })
	default:
		l.dropAs(s, func(c ClaimRecord) Decision { return decisionLost(r.Holder, c) })
	}
}

// decisionLost answers a claim that lost to holder. It never grants: where the
// loser's own attempt holds the key, that is a repetition of a claim that has
// finished.
func decisionLost(holder KeyState, c ClaimRecord) Decision {
	if d := decisionOn(holder, c); d != DecisionRun {
		return d
	}
	return DecisionUnknown
}

// drop ends a slot and refuses its waiters as not run.
func (l *Ledger) drop(s *slot, err error) {
	delete(l.slots, s.claim.Key)
	l.refuseAll(s, err)
}

func (l *Ledger) refuseAll(s *slot, err error) {
	for _, w := range s.asking {
		l.refuse(w, err)
	}
	for _, o := range s.others {
		l.refuse(o.waiter, err)
	}
	s.asking, s.others = nil, nil
}

// dropAs ends a slot and decides on each waiter.
func (l *Ledger) dropAs(s *slot, decide func(ClaimRecord) Decision) {
	delete(l.slots, s.claim.Key)
	for _, w := range s.asking {
		l.reply(Reply{Waiter: w, Decision: decide(s.claim.ClaimRecord)})
	}
	for _, o := range s.others {
		l.reply(Reply{Waiter: o.waiter, Decision: decide(o.claim)})
	}
	s.asking, s.others = nil, nil
}

// FinishesFolded takes the verdict on a record of finishes, whoever wrote it.
func (l *Ledger) FinishesFolded(now time.Time, id string, _ FinishBatch, _ fold.Verdict, results []FinishResult) {
	if own := l.journal.folded(id); own != nil {
		l.readBack(own)
		for i, f := range own.finishes {
			l.finishFolded(now, f, i < len(results) && results[i].Released)
		}
	}
	l.pump(now)
}

func (l *Ledger) finishFolded(now time.Time, f FinishRecord, released bool) {
	s := l.slots[f.Key]
	if s == nil || s.phase != releasing || s.claim.Attempt != f.Attempt {
		return
	}
	if released {
		l.next(now, s)
		return
	}
	l.dropAs(s, func(ClaimRecord) Decision { return DecisionUnknown })
}

// SetView takes a change of the members. It must be told in log order: before
// the verdicts on records that follow the change. Keys whose owner has become
// another or uncertain are let go of at once, which is what an entry's
// acknowledgement of the change promises.
func (l *Ledger) SetView(now time.Time, v View) {
	if l.view.equal(v) {
		return
	}
	old := l.view
	l.view, l.proven = v, false
	l.viewSeq++
	for key, s := range l.slots {
		if err := l.mayGrant(key); err != nil {
			s.claim.drop = !s.claim.Held
			l.drop(s, err)
		} else if old.has(s.asker.ID, s.asker.BootID) && !v.has(s.asker.ID, s.asker.BootID) {
			l.askerLost(now, s)
		}
	}
	l.pump(now)
}

// askerLost ends the slot of an attempt whose entry has left. What became of
// its request can't be known. A claim that may be in the log is not released
// even where it was not granted yet: the entry may only be frozen, and ask
// another owner later.
func (l *Ledger) askerLost(now time.Time, s *slot) {
	if s.phase == journalling && !s.claim.sent && !s.holding {
		s.claim.drop = true
		for _, w := range s.asking {
			l.refuse(w, &AbandonedError{})
		}
		l.next(now, s)
		return
	}
	l.dropAs(s, func(ClaimRecord) Decision { return DecisionUnknown })
}

// Tick does what is due. Wake tells when it is to be called.
func (l *Ledger) Tick(now time.Time) {
	for len(l.grants) > 0 {
		g := l.grants[0]
		s := l.slots[g.key]
		running := s != nil && s.phase == granted && s.claim.Attempt == g.attempt
		if running && now.Sub(g.since) < maxRun {
			break
		}
		l.grants = l.grants[1:]
		if running {
			l.askerLost(now, s)
		}
	}
	l.pump(now)
}
