package idempotency

import (
	"time"

	"cyclamenwheel/internal/fold"
)

// grant allows the attempt that holds the key to run.
func (l *Ledger) grant(now time.Time, k *activeKey) {
	k.phase, k.phaseSince, k.refusal = phaseGranted, now, nil
	l.grantedAttempts = append(l.grantedAttempts, keyAttempt{key: k.claim.Key, attempt: k.claim.Attempt, since: now})
	for _, w := range k.claimWaiters {
		l.reply(Reply{Waiter: w, Decision: DecisionRun})
	}
	k.claimWaiters = nil
	if k.earlyFinish != nil {
		l.finishGranted(now, k, *k.earlyFinish)
	}
}

// Finish applies the outcome of an attempt as its claimant reports it. The report
// may arrive twice, before the claim, or after the key has moved to another owner.
func (l *Ledger) Finish(now time.Time, f FinishReport) {
	l.applyFinish(now, f)
	l.sendDue(now)
}

func (l *Ledger) applyFinish(now time.Time, f FinishReport) {
	if f.Outcome == OutcomeNotRun {
		l.canceledAttempts.Add(f.Attempt, struct{}{})
	}
	k := l.activeKeys[f.Key]
	if k != nil && k.claim.Attempt == f.Attempt {
		l.finishActive(now, k, f)
		return
	}
	if k != nil {
		l.removeWaitingClaim(k, f.Attempt)
	}
	l.finishInactive(now, f)
}

func (l *Ledger) finishActive(now time.Time, k *activeKey, f FinishReport) {
	switch k.phase {
	case phaseGranted:
		l.finishGranted(now, k, f)
	case phaseJournalling:
		l.cancelClaim(now, k, f)
	case phaseReleasing: // duplicate report
	}
}

// cancelClaim ends a claim that its claimant cancelled before it was granted. A
// claim that has not left this process is dropped. A claim that may be in the log
// or held by a witness is released once it has been read back.
func (l *Ledger) cancelClaim(now time.Time, k *activeKey, f FinishReport) {
	for _, w := range k.claimWaiters {
		l.refuse(w, &AbandonedError{})
	}
	k.claimWaiters = nil
	if k.claim.sent || k.witnessCalled {
		k.earlyFinish = &f
		return
	}
	k.claim.dropped = true
	l.startNextClaim(now, k)
}

// finishGranted ends a granted attempt.
func (l *Ledger) finishGranted(now time.Time, k *activeKey, f FinishReport) {
	f.Fingerprint = k.claim.Fingerprint
	l.journal.finishQueue = append(l.journal.finishQueue, pendingFinish{FinishRecord: f.FinishRecord, claim: k.claim})
	if f.Outcome == OutcomeNotRun {
		k.phase, k.phaseSince = phaseReleasing, now
		return
	}
	delete(l.activeKeys, f.Key)
	if h, ok := l.held.asOwner[f.Key]; ok {
		h.outcome = f.Outcome
	}
	l.cacheAnswer(now, f)
	for _, o := range k.waitingClaims {
		l.replyFinished(o, f)
	}
}

func (l *Ledger) cacheAnswer(now time.Time, f FinishReport) {
	if f.Outcome == OutcomeAnswered {
		l.answers.put(f.Key, finishedRequest{fingerprint: f.Fingerprint, answer: f.Answer, finishedAt: now})
	}
}

func (l *Ledger) replyFinished(o waitingClaim, f FinishReport) {
	if f.Outcome != OutcomeAnswered {
		l.reply(Reply{Waiter: o.waiter, Decision: DecisionUnknown})
		return
	}
	r := replayReply(finishedRequest{fingerprint: f.Fingerprint, answer: f.Answer}, o.claim)
	r.Waiter = o.waiter
	l.reply(r)
}

func (l *Ledger) removeWaitingClaim(k *activeKey, attempt AttemptHash) {
	k.waitingClaims = removeIf(k.waitingClaims, func(o waitingClaim) bool {
		if o.claim.Attempt != attempt {
			return false
		}
		l.refuse(o.waiter, &AbandonedError{})
		return true
	})
}

// finishInactive applies the outcome of an attempt that was claimed through
// another owner. An outcome is appended only if the attempt holds the key in the
// fold. A release is always appended, because its claim may not have reached the
// log yet.
func (l *Ledger) finishInactive(now time.Time, f FinishReport) {
	e, ok := l.table.Lookup(f.Key)
	isHolder := ok && e.Attempt == f.Attempt && e.Status == StatusClaimed
	if !isHolder && f.Outcome != OutcomeNotRun {
		return
	}
	if isHolder {
		f.Fingerprint = e.Fingerprint
		l.cacheAnswer(now, f)
	}
	l.journal.finishQueue = append(l.journal.finishQueue, pendingFinish{FinishRecord: f.FinishRecord})
}

// startNextClaim starts the claim of the attempt that has waited longest for a
// released key.
func (l *Ledger) startNextClaim(now time.Time, k *activeKey) {
	delete(l.activeKeys, k.claim.Key)
	if len(k.waitingClaims) > 0 {
		l.startClaim(now, k.waitingClaims[0], k.waitingClaims[1:])
	}
}

// ClaimsFolded applies the result of folding a record of claims, whoever wrote it.
func (l *Ledger) ClaimsFolded(now time.Time, id string, b ClaimBatch, v fold.Verdict, results []ClaimResult) {
	if v.Accepted {
		l.dropFolded(b, results)
	}
	if own := l.journal.takeUnread(id); own != nil {
		l.noteReadBack(own)
		for i, c := range own.claims {
			r := ClaimResult{Rejected: true}
			if i < len(results) {
				r = results[i]
			}
			l.applyClaimResult(now, c, r)
		}
	}
	l.sendDue(now)
}

func (l *Ledger) applyClaimResult(now time.Time, c *pendingClaim, r ClaimResult) {
	l.resendHeld(c, r)
	k := l.activeKeys[c.Key]
	if k == nil || k.claim != c || k.phase != phaseJournalling {
		return
	}
	switch {
	case r.Won:
		l.grant(now, k)
	case r.Rejected:
		l.refuseAndRemove(k, &NotOwnerError{Self: l.self.ID})
	case r.Uncertain:
		l.decideAndRemove(k, func(ClaimRecord) Decision { return DecisionUnknown })
	default:
		l.decideAndRemove(k, func(c ClaimRecord) Decision { return decisionForLoser(r.Holder, c) })
	}
}

// decisionForLoser decides a claim that did not win the key. It never grants: if
// the loser's own attempt holds the key, the claim repeats one that has finished.
func decisionForLoser(holder KeyState, c ClaimRecord) Decision {
	if d := decisionFor(holder, c); d != DecisionRun {
		return d
	}
	return DecisionUnknown
}

// refuseAndRemove removes an active key and refuses its waiters as not run.
func (l *Ledger) refuseAndRemove(k *activeKey, err error) {
	delete(l.activeKeys, k.claim.Key)
	l.refuseAll(k, err)
}

func (l *Ledger) refuseAll(k *activeKey, err error) {
	for _, w := range k.claimWaiters {
		l.refuse(w, err)
	}
	for _, o := range k.waitingClaims {
		l.refuse(o.waiter, err)
	}
	k.claimWaiters, k.waitingClaims = nil, nil
}

// decideAndRemove removes an active key and sends each waiter its decision.
func (l *Ledger) decideAndRemove(k *activeKey, decide func(ClaimRecord) Decision) {
	delete(l.activeKeys, k.claim.Key)
	for _, w := range k.claimWaiters {
		l.reply(Reply{Waiter: w, Decision: decide(k.claim.ClaimRecord)})
	}
	for _, o := range k.waitingClaims {
		l.reply(Reply{Waiter: o.waiter, Decision: decide(o.claim)})
	}
	k.claimWaiters, k.waitingClaims = nil, nil
}

// FinishesFolded applies the result of folding a record of finishes, whoever wrote
// it.
func (l *Ledger) FinishesFolded(now time.Time, id string, _ FinishBatch, _ fold.Verdict, results []FinishResult) {
	if own := l.journal.takeUnread(id); own != nil {
		l.noteReadBack(own)
		for i, f := range own.finishes {
			l.applyReleaseResult(now, f, i < len(results) && results[i].Released)
		}
	}
	l.sendDue(now)
}

func (l *Ledger) applyReleaseResult(now time.Time, f FinishRecord, released bool) {
	k := l.activeKeys[f.Key]
	if k == nil || k.phase != phaseReleasing || k.claim.Attempt != f.Attempt {
		return
	}
	if released {
		l.startNextClaim(now, k)
		return
	}
	l.decideAndRemove(k, func(ClaimRecord) Decision { return DecisionUnknown })
}

// SetView applies a membership change. It must be called in log order, before the
// results of records that follow the change. Keys whose owner has changed or is
// changing are removed at once; an entry's acknowledgement of the change promises
// exactly that.
func (l *Ledger) SetView(now time.Time, v View) {
	if l.view.equal(v) {
		return
	}
	old := l.view
	l.view, l.caughtUp = v, false
	l.viewVersion++
	for key, k := range l.activeKeys {
		if err := l.checkOwnership(key); err != nil {
			k.claim.dropped = !k.claim.Held
			l.refuseAndRemove(k, err)
		} else if old.hasMember(k.claimant.ID, k.claimant.BootID) && !v.hasMember(k.claimant.ID, k.claimant.BootID) {
			l.claimantLost(now, k)
		}
	}
	l.sendDue(now)
}

// claimantLost removes an active key whose claimant is no longer a member or has
// not reported within maxRunTime, so that the outcome can't be known. A claim that
// may be in the log is not released even if it was not granted yet: the claimant
// may only be paused, and may claim through another owner later.
func (l *Ledger) claimantLost(now time.Time, k *activeKey) {
	if k.phase == phaseJournalling && !k.claim.sent && !k.witnessCalled {
		k.claim.dropped = true
		for _, w := range k.claimWaiters {
			l.refuse(w, &AbandonedError{})
		}
		l.startNextClaim(now, k)
		return
	}
	l.decideAndRemove(k, func(ClaimRecord) Decision { return DecisionUnknown })
}

// Tick performs the actions that are due. NextTick returns when to call it next.
func (l *Ledger) Tick(now time.Time) {
	for len(l.grantedAttempts) > 0 {
		g := l.grantedAttempts[0]
		k := l.activeKeys[g.key]
		running := k != nil && k.phase == phaseGranted && k.claim.Attempt == g.attempt
		if running && now.Sub(g.since) < maxRunTime {
			break
		}
		l.grantedAttempts = l.grantedAttempts[1:]
		if running {
			l.claimantLost(now, k)
		}
	}
	l.sendDue(now)
}
