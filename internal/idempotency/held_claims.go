package idempotency

import (
	"fmt"
	"time"
)

const (
	// witnessDelay is how long a claim waits for the log before a witness is called
	// instead. It is well above the usual latency of the log, because each call to a
	// witness costs a message and later an additional record.
	witnessDelay = time.Second
	// maxHeldClaims bounds the claims held as owner and, separately, as witness. It
	// covers a log outage of 43 minutes at 100 claims per second, in an estimated
	// 35 MB. Beyond it claims are refused as not run.
	maxHeldClaims = 1 << 18
)

// ownedHeldClaim is a claim that this owner granted through a witness. It is kept
// until it has been read back from the log, even after the request has finished,
// because no other process but the witness knows it.
type ownedHeldClaim struct {
	claim   *pendingClaim
	outcome Outcome
}

// heldClaims are the claims that are not in the log yet, as owner and as witness
// of another owner.
type heldClaims struct {
	asOwner   map[KeyHash]*ownedHeldClaim
	asWitness map[KeyHash]*pendingClaim
	// witnessCalls are the claims of each call to a witness in flight, by call ID.
	witnessCalls map[string][]*pendingClaim
	callCount    uint64
	// logLate is set while the log is slow or unavailable: new claims then go to a
	// witness at once instead of after witnessDelay.
	logLate bool
}

func newHeldClaims() heldClaims {
	return heldClaims{
		asOwner: map[KeyHash]*ownedHeldClaim{}, asWitness: map[KeyHash]*pendingClaim{},
		witnessCalls: map[string][]*pendingClaim{},
	}
}

// callWitnesses sends the claims that the log has delayed for too long to
// witnesses.
func (l *Ledger) callWitnesses(now time.Time) {
	for len(l.undecidedClaims) > 0 && l.undecidedKey(l.undecidedClaims[0]) == nil {
		l.undecidedClaims = l.undecidedClaims[1:]
	}
	if len(l.undecidedClaims) == 0 {
		return
	}
	if now.Sub(l.undecidedClaims[0].since) >= witnessDelay {
		l.held.logLate = true
	}
	if !l.held.logLate {
		return
	}
	byWitness := map[Member][]*pendingClaim{}
	var order []Member
	for _, u := range l.undecidedClaims {
		k := l.undecidedKey(u)
		if k == nil {
			continue
		}
		w, err := l.witnessFor(u.key)
		if err != nil {
			l.refuseUndecided(k, &LogUnavailableError{Cause: err})
			continue
		}
		if byWitness[w] == nil {
			order = append(order, w)
		}
		k.witnessCalled = true
		byWitness[w] = append(byWitness[w], k.claim)
	}
	l.undecidedClaims = nil
	for _, w := range order {
		l.callWitness(w, byWitness[w])
	}
}

func (l *Ledger) undecidedKey(u keyAttempt) *activeKey {
	k := l.activeKeys[u.key]
	if k == nil || k.phase != phaseJournalling || k.claim.Attempt != u.attempt || k.earlyFinish != nil {
		return nil
	}
	return k
}

// witnessFor returns the member that is to hold a claim. An owner that has not
// read the log up to the change that made it the owner must not grant through a
// witness: the unread part may contain claims of the previous owner.
func (l *Ledger) witnessFor(key KeyHash) (Member, error) {
	if !l.caughtUp {
		return Member{}, &UnprovenError{}
	}
	if len(l.held.asOwner) >= maxHeldClaims {
		return Member{}, &OverloadedError{Limit: maxHeldClaims}
	}
	w, ok := l.view.witness(key, l.selfInView())
	if !ok {
		return Member{}, &NoWitnessError{}
	}
	return w, nil
}

// selfInView returns this process with its zone according to the membership.
func (l *Ledger) selfInView() Member {
	for _, m := range l.view.Members {
		if m.ID == l.self.ID {
			return m
		}
	}
	return l.self
}

func (l *Ledger) callWitness(w Member, claims []*pendingClaim) {
	for len(claims) > 0 {
		part := claims[:min(len(claims), MaxBatch)]
		claims = claims[len(part):]
		l.held.callCount++
		h := Hold{ID: fmt.Sprintf("hold/%d", l.held.callCount), Witness: w}
		for _, c := range part {
			h.Claims = append(h.Claims, c.ClaimRecord)
		}
		l.held.witnessCalls[h.ID] = part
		l.out.Holds = append(l.out.Holds, h)
	}
}

// refuseUndecided refuses current and later waiters of a key. The key stays
// active, because its claim may still reach the log.
func (l *Ledger) refuseUndecided(k *activeKey, err error) {
	k.refusal = err
	l.refuseAll(k, err)
}

// HoldDone applies a witness's reply. On success the claim is held in two zones
// and its attempt may run.
func (l *Ledger) HoldDone(now time.Time, id string, err error) {
	claims := l.held.witnessCalls[id]
	delete(l.held.witnessCalls, id)
	for _, c := range claims {
		k := l.activeKeys[c.Key]
		if k == nil || k.claim != c || k.phase != phaseJournalling {
			continue // the log has decided meanwhile, or the key has moved
		}
		if err != nil {
			l.refuseUndecided(k, &LogUnavailableError{Cause: err})
			continue
		}
		c.Held = true
		l.held.asOwner[c.Key] = &ownedHeldClaim{claim: c}
		l.grant(now, k)
	}
	l.sendDue(now)
}

// HoldAsWitness holds claims of another owner as its witness, either all or none. It
// refuses an owner that, in this process's view, does not own a key or is about to
// lose it: by acknowledging that change this process has promised to hold no
// further claims for that owner.
func (l *Ledger) HoldAsWitness(now time.Time, owner Member, claims []ClaimRecord) error {
	if len(l.held.asWitness)+len(claims) > maxHeldClaims {
		return &OverloadedError{Limit: maxHeldClaims}
	}
	for _, c := range claims {
		if !l.view.owns(owner, c.Key) {
			return &NotOwnerError{Self: owner.ID}
		}
		if e, ok := l.table.Lookup(c.Key); ok && e.Attempt != c.Attempt {
			return &KnownKeyError{Owner: owner.ID}
		}
		if h, ok := l.held.asWitness[c.Key]; ok && h.Attempt != c.Attempt {
			return &KnownKeyError{Owner: owner.ID}
		}
	}
	for _, c := range claims {
		if _, ok := l.held.asWitness[c.Key]; ok {
			continue
		}
		c.Held = true
		p := &pendingClaim{ClaimRecord: c}
		l.held.asWitness[c.Key] = p
		l.journal.heldQueue = append(l.journal.heldQueue, p)
	}
	l.sendDue(now)
	return nil
}

// dropFolded removes the held claims that are now in the fold, no matter whether
// the owner or the witness wrote them.
func (l *Ledger) dropFolded(b ClaimBatch, results []ClaimResult) {
	for i, c := range b.Claims {
		if i >= len(results) || results[i].Rejected {
			continue
		}
		folded := results[i].Won || c.Held || results[i].Holder.Attempt == c.Attempt
		if !folded {
			continue
		}
		if h := l.held.asWitness[c.Key]; h != nil && h.Attempt == c.Attempt {
			h.dropped = true
			delete(l.held.asWitness, c.Key)
		}
		if h := l.held.asOwner[c.Key]; h != nil && h.claim.Attempt == c.Attempt {
			h.claim.dropped = true
			delete(l.held.asOwner, c.Key)
		}
	}
}

// resendHeld queues a claim again, marked as held, if it was appended before a
// witness held it and the fold did not accept it. The fold has to record that the
// request may have run.
func (l *Ledger) resendHeld(c *pendingClaim, r ClaimResult) {
	h := l.held.asOwner[c.Key]
	if h == nil || h.claim != c || r.Won {
		return
	}
	c.sent, c.dropped = false, false
	l.journal.heldQueue = append(l.journal.heldQueue, c)
}

// Flushed reports whether every claim held by this process is in the fold.
func (l *Ledger) Flushed() bool { return len(l.held.asOwner) == 0 && len(l.held.asWitness) == 0 }

// PendingWitness returns the number of claims held as a witness that are not in
// the fold. While it is above zero, a process must not acknowledge an offset past
// the removal of a member: that member's successor would not know these claims.
func (l *Ledger) PendingWitness() int { return len(l.held.asWitness) }
