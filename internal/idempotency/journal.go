package idempotency

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// appendRetryDelay is the pause before a failed append is retried. It bounds the
	// load on a log that is down, and the delay until an owner notices its recovery.
	appendRetryDelay = 250 * time.Millisecond
	// minAppendInterval is the shortest interval between appends of a single owner.
	minAppendInterval = 10 * time.Millisecond
)

// pendingClaim is a claim that has not been read back from the log.
type pendingClaim struct {
	ClaimRecord
	// sent is set once the claim has been part of an append, dropped if it must not
	// be appended any more.
	sent    bool
	dropped bool
}

// pendingFinish is an outcome that waits to be appended. It must follow its claim
// in the log, so it waits until claim has been sent.
type pendingFinish struct {
	FinishRecord
	claim *pendingClaim
}

// batch is one record that is being appended and read back.
type batch struct {
	record      Append
	claims      []*pendingClaim
	finishes    []FinishRecord
	viewVersion uint64
	failed      bool
	retryAt     time.Time
}

// journal implements group commit: only one append is in flight, so that under
// load the batches grow instead of the append rate.
type journal struct {
	self        Member
	recordCount uint64
	// heldQueue holds claims that were granted through a witness. They are appended
	// before those in claimQueue.
	heldQueue   []*pendingClaim
	claimQueue  []*pendingClaim
	finishQueue []pendingFinish
	inFlight    *batch
	// unread holds the batches that have not been read back, by record ID.
	unread     map[string]*batch
	nextAppend time.Time
	// lastWasClaims makes batches of claims and of outcomes alternate.
	lastWasClaims bool
}

func newJournal(self Member) journal { return journal{self: self, unread: map[string]*batch{}} }

// AppendDone applies the result of an append. A failed append may still have
// reached the log, so the same record is sent again until the log has answered or
// the record has been read back.
func (l *Ledger) AppendDone(now time.Time, id string, err error) {
	j := &l.journal
	if j.inFlight != nil && j.inFlight.record.ID == id {
		if err == nil {
			j.inFlight = nil
		} else {
			j.inFlight.failed, j.inFlight.retryAt = true, now.Add(appendRetryDelay)
		}
	}
	l.sendDue(now)
}

// takeUnread removes and returns this process's batch with that ID, or nil.
func (j *journal) takeUnread(id string) *batch {
	b := j.unread[id]
	delete(j.unread, id)
	if b != nil && j.inFlight == b {
		j.inFlight = nil
	}
	return b
}

// noteReadBack records that the log is available and has been read up to this
// batch. If the batch was written after the last membership change, no claim made
// through an earlier owner is missing.
func (l *Ledger) noteReadBack(b *batch) {
	l.held.logLate = false
	if b.viewVersion == l.viewVersion {
		l.caughtUp = true
	}
}

// sendDue starts the appends that are due and calls witnesses if the log is late.
func (l *Ledger) sendDue(now time.Time) {
	l.callWitnesses(now)
	j := &l.journal
	if b := j.inFlight; b != nil {
		if b.failed && !now.Before(b.retryAt) {
			b.failed = false
			l.out.Appends = append(l.out.Appends, b.record)
		}
		return
	}
	if now.Before(j.nextAppend) {
		return
	}
	if b := l.nextBatch(); b != nil {
		j.nextAppend = now.Add(l.appendInterval())
		l.sendBatch(b)
	}
}

func (l *Ledger) appendInterval() time.Duration {
	share := float64(max(1, len(l.view.Members))) / l.limits.AppendsPerSecond
	return max(minAppendInterval, time.Duration(share*float64(time.Second)))
}

func (l *Ledger) sendBatch(b *batch) {
	j := &l.journal
	j.recordCount++
	b.viewVersion = l.viewVersion
	b.record.ID = fmt.Sprintf("idem/%s/%s/%d", j.self.ID, j.self.BootID, j.recordCount)
	if b.record.Claims != nil {
		b.record.Kind = KindClaims
	} else {
		b.record.Kind = KindFinishes
	}
	j.inFlight, j.unread[b.record.ID] = b, b
	l.out.Appends = append(l.out.Appends, b.record)
}

// nextBatch returns the next batch to append, or nil. Claims that may have run go
// first, then claims and outcomes alternate.
func (l *Ledger) nextBatch() *batch {
	j := &l.journal
	if len(j.heldQueue) == 0 && j.lastWasClaims {
		if b := j.finishBatch(); b != nil {
			return b
		}
	}
	if b := j.claimBatch(); b != nil {
		return b
	}
	if b := j.finishBatch(); b != nil {
		return b
	}
	if l.needsEmptyRecord() {
		return &batch{record: Append{Finishes: &FinishBatch{Owner: j.self.ID, OwnerBoot: j.self.BootID}}}
	}
	return nil
}

// needsEmptyRecord reports whether an empty record has to be appended. Reading it
// back after a membership change proves that the log has been read up to there,
// if there is nothing else to append.
func (l *Ledger) needsEmptyRecord() bool {
	if l.caughtUp || l.view.isChanging() || !l.view.hasMember(l.self.ID, l.self.BootID) {
		return false
	}
	for _, b := range l.journal.unread {
		if b.viewVersion == l.viewVersion {
			return false
		}
	}
	return true
}

func (j *journal) claimBatch() *batch {
	b := &batch{record: Append{Claims: &ClaimBatch{Owner: j.self.ID, OwnerBoot: j.self.BootID}}}
	j.heldQueue = b.fill(j.heldQueue)
	j.claimQueue = b.fill(j.claimQueue)
	if len(b.claims) == 0 {
		return nil
	}
	j.lastWasClaims = true
	return b
}

// fill moves claims from queue into the batch and returns the remaining ones.
func (b *batch) fill(queue []*pendingClaim) []*pendingClaim {
	for len(queue) > 0 && len(b.claims) < MaxBatch {
		c := queue[0]
		queue = queue[1:]
		if c.dropped {
			continue
		}
		c.sent = true
		b.claims = append(b.claims, c)
		b.record.Claims.Claims = append(b.record.Claims.Claims, c.ClaimRecord)
	}
	return queue
}

func (j *journal) finishBatch() *batch {
	b := &batch{record: Append{Finishes: &FinishBatch{Owner: j.self.ID, OwnerBoot: j.self.BootID}}}
	var rest []pendingFinish
	for i, f := range j.finishQueue {
		if len(b.finishes) == MaxBatch {
			rest = append(rest, j.finishQueue[i:]...)
			break
		}
		if f.claim != nil && !f.claim.sent && !f.claim.dropped {
			rest = append(rest, f)
			continue
		}
		b.finishes = append(b.finishes, f.FinishRecord)
	}
	if len(b.finishes) == 0 {
		return nil
	}
	j.finishQueue = rest
	b.record.Finishes.Finishes = b.finishes
	j.lastWasClaims = false
	return b
}

// Resync must be called after the table was replaced from a snapshot because
// unread records had been trimmed. The results of this process's own records may
// be among those. Claims that are in the table count as read back; all others are
// appended again, and the fold recognizes duplicates by their attempt.
func (l *Ledger) Resync(now time.Time) {
	j := &l.journal
	l.viewVersion++
	l.caughtUp, j.inFlight = false, nil
	for _, id := range slices.Sorted(maps.Keys(j.unread)) {
		b := j.unread[id]
		delete(j.unread, id)
		for _, c := range b.claims {
			l.resyncClaim(now, c)
		}
		for _, f := range b.finishes {
			j.finishQueue = append(j.finishQueue, pendingFinish{FinishRecord: f})
		}
	}
	l.sendDue(now)
}

func (l *Ledger) resyncClaim(now time.Time, c *pendingClaim) {
	e, ok := l.table.Lookup(c.Key)
	if !ok {
		c.sent = false
		l.journal.claimQueue = append(l.journal.claimQueue, c)
		return
	}
	r := ClaimResult{Won: e.Attempt == c.Attempt && e.Status == StatusClaimed, Holder: e}
	l.dropFolded(ClaimBatch{Claims: []ClaimRecord{c.ClaimRecord}}, []ClaimResult{r})
	l.applyClaimResult(now, c, r)
}

func (j *journal) hasQueued() bool { return len(j.heldQueue)+len(j.claimQueue)+len(j.finishQueue) > 0 }

// NextTick returns when Tick has to be called next. ok is false if nothing is due.
func (l *Ledger) NextTick() (at time.Time, ok bool) {
	earlier := func(t time.Time) {
		if !ok || t.Before(at) {
			at, ok = t, true
		}
	}
	j := &l.journal
	switch {
	case j.inFlight != nil && j.inFlight.failed:
		earlier(j.inFlight.retryAt)
	case j.inFlight == nil && (j.hasQueued() || l.needsEmptyRecord()):
		earlier(j.nextAppend)
	}
	if len(l.undecidedClaims) > 0 {
		earlier(l.undecidedClaims[0].since.Add(witnessDelay))
	}
	if len(l.grantedAttempts) > 0 {
		earlier(l.grantedAttempts[0].since.Add(maxRunTime))
	}
	return at, ok
}
