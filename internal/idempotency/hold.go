package idempotency

import (
	"fmt"
	"time"
)

const (
	// holdAfter is how long a claim waits for the log before the witness is
	// asked instead. It is well above the log's ordinary latency: each turn to
	// the witness costs a message, and later one more record.
	holdAfter = time.Second
	// maxHeld bounds the claims held as owner and, apart, as witness. It is 43
	// minutes of outage at 100 claims a second and, by estimate, 35 MB; past it claims
	// are refused as not run.
	maxHeld = 1 << 18
)

// heldClaim is a claim granted without the log. It is remembered until it has
// been read back, whatever became of the request: nobody else knows of it.
type heldClaim struct {
	claim   *pendingClaim
	outcome Outcome
}

// holder keeps the claims that the log has not got yet: own as their owner,
// other as the witness of another owner.
type holder struct {
	own   map[KeyHash]*heldClaim
	other map[KeyHash]*pendingClaim
	// asked are the claims of each call to a witness under way.
	asked map[string][]*pendingClaim
	count uint64
	// stalled tells that the log is late: new claims go to the witness at once
	// and not after holdAfter each.
	stalled bool
}

func newHolder() holder {
	return holder{
		own: map[KeyHash]*heldClaim{}, other: map[KeyHash]*pendingClaim{},
		asked: map[string][]*pendingClaim{},
	}
}

// holdOverdue turns to the witnesses for the claims that the log is late for.
func (l *Ledger) holdOverdue(now time.Time) {
	for len(l.undecided) > 0 && l.undecidedSlot(l.undecided[0]) == nil {
		l.undecided = l.undecided[1:]
	}
	if len(l.undecided) == 0 {
		return
	}
	if now.Sub(l.undecided[0].since) >= holdAfter {
		l.holder.stalled = true
	}
	if !l.holder.stalled {
		return
	}
	byWitness := map[Member][]*pendingClaim{}
	var order []Member
	for _, u := range l.undecided {
		s := l.undecidedSlot(u)
		if s == nil {
			continue
		}
		w, err := l.witnessFor(u.key)
		if err != nil {
			l.fail(s, &LogUnavailableError{Cause: err})
			continue
		}
		if byWitness[w] == nil {
			order = append(order, w)
		}
		s.holding = true
		byWitness[w] = append(byWitness[w], s.claim)
	}
	l.undecided = nil
	for _, w := range order {
		l.ask(w, byWitness[w])
	}
}

func (l *Ledger) undecidedSlot(u keyAttempt) *slot {
	s := l.slots[u.key]
	if s == nil || s.phase != journalling || s.claim.Attempt != u.attempt || s.finish != nil {
		return nil
	}
	return s
}

// witnessFor returns who is to hold a claim. An owner that has not read the
// log up to the change that made it the owner must not grant by witness:
// claims of the owner before it may be among what it has not read.
func (l *Ledger) witnessFor(key KeyHash) (Member, error) {
	if !l.proven {
		return Member{}, &UnprovenError{}
	}
	if len(l.holder.own) >= maxHeld {
		return Member{}, &OverloadedError{Limit: maxHeld}
	}
	w, ok := l.view.witness(key, l.selfInView())
	if !ok {
		return Member{}, &NoWitnessError{}
	}
	return w, nil
}

// selfInView is this process with the zone that the members know it by.
func (l *Ledger) selfInView() Member {
	for _, m := range l.view.Members {
		if m.ID == l.self.ID {
			return m
		}
	}
	return l.self
}

func (l *Ledger) ask(w Member, claims []*pendingClaim) {
	for len(claims) > 0 {
		part := claims[:min(len(claims), MaxBatch)]
		claims = claims[len(part):]
		l.holder.count++
		h := Hold{ID: fmt.Sprintf("hold/%d", l.holder.count), Witness: w}
		for _, c := range part {
			h.Claims = append(h.Claims, c.ClaimRecord)
		}
		l.holder.asked[h.ID] = part
		l.out.Holds = append(l.out.Holds, h)
	}
}

// fail refuses the waiters of a slot now and newcomers from now on. The claim
// itself may reach the log yet, so the slot stays until that is known.
func (l *Ledger) fail(s *slot, err error) {
	s.failed = err
	l.refuseAll(s, err)
}

// HoldDone takes a witness's answer. With it the claim is held twice, in two
// zones, and its attempt may run.
func (l *Ledger) HoldDone(now time.Time, id string, err error) {
	claims := l.holder.asked[id]
	delete(l.holder.asked, id)
	for _, c := range claims {
		s := l.slots[c.Key]
		if s == nil || s.claim != c || s.phase != journalling {
			continue // the log has decided meanwhile, or the key has moved
		}
		if err != nil {
			l.fail(s, &LogUnavailableError{Cause: err})
			continue
		}
		c.Held = true
		l.holder.own[c.Key] = &heldClaim{claim: c}
		l.grant(now, s)
	}
	l.pump(now)
}

// HoldFor holds claims of another owner, as its witness. All or none are
// taken. It refuses an owner that, as far as this process has read the log, is
// not the owner or is about to lose the key: by its acknowledgement of that
// change this process has promised to hold nothing more for it.
func (l *Ledger) HoldFor(now time.Time, owner Member, claims []ClaimRecord) error {
	if len(l.holder.other)+len(claims) > maxHeld {
		return &OverloadedError{Limit: maxHeld}
	}
	for _, c := range claims {
		if !l.view.owns(owner, c.Key) {
			return &NotOwnerError{Self: owner.ID}
		}
		if e, ok := l.table.Lookup(c.Key); ok && e.Attempt != c.Attempt {
			return &KnownKeyError{Owner: owner.ID}
		}
		if h, ok := l.holder.other[c.Key]; ok && h.Attempt != c.Attempt {
			return &KnownKeyError{Owner: owner.ID}
		}
	}
	for _, c := range claims {
		if _, ok := l.holder.other[c.Key]; ok {
			continue
		}
		c.Held = true
		p := &pendingClaim{ClaimRecord: c}
		l.holder.other[c.Key] = p
		l.journal.flush = append(l.journal.flush, p)
	}
	l.pump(now)
	return nil
}

// observe lets go of held claims that the fold has come to know, by whichever
// of owner and witness was first.
func (l *Ledger) observe(b ClaimBatch, results []ClaimResult) {
	for i, c := range b.Claims {
		if i >= len(results) || results[i].Rejected {
			continue
		}
		known := results[i].Won || c.Held || results[i].Holder.Attempt == c.Attempt
		if !known {
			continue
		}
		if h := l.holder.other[c.Key]; h != nil && h.Attempt == c.Attempt {
			h.drop = true
			delete(l.holder.other, c.Key)
		}
		if h := l.holder.own[c.Key]; h != nil && h.claim.Attempt == c.Attempt {
			h.claim.drop = true
			delete(l.holder.own, c.Key)
		}
	}
}

// heldFolded repeats, as held, a claim that was sent before it was granted by
// witness and that the fold did not take: the fold must learn that it may have
// run.
func (l *Ledger) heldFolded(c *pendingClaim, r ClaimResult) {
	h := l.holder.own[c.Key]
	if h == nil || h.claim != c || r.Won {
		return
	}
	c.sent, c.drop = false, false
	l.journal.flush = append(l.journal.flush, c)
}

// Flushed tells whether the fold knows every claim this process holds.
func (l *Ledger) Flushed() bool { return len(l.holder.own) == 0 && len(l.holder.other) == 0 }

// PendingWitness is the number of claims held as a witness that the fold does
// not know. A process must not acknowledge an offset past a member's leaving
// while it is above zero: the successor of that member would not know them.
func (l *Ledger) PendingWitness() int { return len(l.holder.other) }
