package idempotency

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// appendRetry is the pause before an append is repeated. It bounds what an
	// owner asks of a log that is down, and how late it sees the log return.
	appendRetry = 250 * time.Millisecond
	// minAppendInterval bounds an owner's appends where it is alone.
	minAppendInterval = 10 * time.Millisecond
)

// pendingClaim is a claim on its way to the log.
type pendingClaim struct {
	ClaimRecord
	// sent tells that it has been part of an append, drop that it is no longer
	// to be.
	sent bool
	drop bool
}

// pendingFinish is a finish on its way to the log. It must follow its claim
// there, so it waits until after has been sent.
type pendingFinish struct {
	FinishRecord
	after *pendingClaim
}

// batch is one record on its way to the log and back.
type batch struct {
	record   Append
	claims   []*pendingClaim
	finishes []FinishRecord
	viewSeq  uint64
	failed   bool
	retryAt  time.Time
}

// journal does the group commit: one append in flight, batches that grow
// instead of the rate.
type journal struct {
	self  Member
	count uint64
	// flush goes before queue: claims that were granted while the log could
	// not be reached.
	flush      []*pendingClaim
	queue      []*pendingClaim
	finishes   []pendingFinish
	inflight   *batch
	awaiting   map[string]*batch
	nextAppend time.Time
	// claimsLast alternates claims and finishes while there are both.
	claimsLast bool
}

func newJournal(self Member) journal { return journal{self: self, awaiting: map[string]*batch{}} }

// AppendDone takes the answer to an append. After any failure the record may
// be in the log, so the same record is sent again until the log has answered
// or the record has been read back.
func (l *Ledger) AppendDone(now time.Time, id string, err error) {
	j := &l.journal
	if j.inflight != nil && j.inflight.record.ID == id {
		if err == nil {
			j.inflight = nil
		} else {
			j.inflight.failed, j.inflight.retryAt = true, now.Add(appendRetry)
		}
	}
	l.pump(now)
}

// folded returns this process's batch of that id, once.
func (j *journal) folded(id string) *batch {
	b := j.awaiting[id]
	delete(j.awaiting, id)
	if b != nil && j.inflight == b {
		j.inflight = nil
	}
	return b
}

// readBack notes what reading an own record back proves: the log answers, and
// everything before the record has been read. If it was written after the last
// change of the members, no claim made under an earlier owner is missed.
func (l *Ledger) readBack(b *batch) {
	l.holder.stalled = false
	if b.viewSeq == l.viewSeq {
		l.proven = true
	}
}

// pump appends what is due and turns to the witness where the log is late.
func (l *Ledger) pump(now time.Time) {
	l.holdOverdue(now)
	j := &l.journal
	if b := j.inflight; b != nil {
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
		l.send(b)
	}
}

func (l *Ledger) appendInterval() time.Duration {
	share := float64(max(1, len(l.view.Members))) / l.limits.AppendsPerSecond
	return max(minAppendInterval, time.Duration(share*float64(time.Second)))
}

func (l *Ledger) send(b *batch) {
	j := &l.journal
	j.count++
	b.viewSeq = l.viewSeq
	b.record.ID = fmt.Sprintf("idem/%s/%s/%d", j.self.ID, j.self.BootID, j.count)
	if b.record.Claims != nil {
		b.record.Kind = KindClaims
	} else {
		b.record.Kind = KindFinishes
	}
	j.inflight, j.awaiting[b.record.ID] = b, b
	l.out.Appends = append(l.out.Appends, b.record)
}

// nextBatch returns what to append next, or nil. Claims that may have run go
// first, then claims and finishes in turn.
func (l *Ledger) nextBatch() *batch {
	j := &l.journal
	if len(j.flush) == 0 && j.claimsLast {
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
	if l.needsFence() {
		return &batch{record: Append{Finishes: &FinishBatch{Owner: j.self.ID, OwnerBoot: j.self.BootID}}}
	}
	return nil
}

// needsFence tells whether an empty record is wanted, to read back after a
// change of members where there is nothing else to write.
func (l *Ledger) needsFence() bool {
	if l.proven || l.view.changing() || !l.view.has(l.self.ID, l.self.BootID) {
		return false
	}
	for _, b := range l.journal.awaiting {
		if b.viewSeq == l.viewSeq {
			return false
		}
	}
	return true
}

func (j *journal) claimBatch() *batch {
	b := &batch{record: Append{Claims: &ClaimBatch{Owner: j.self.ID, OwnerBoot: j.self.BootID}}}
	j.flush = b.fill(j.flush)
	j.queue = b.fill(j.queue)
	if len(b.claims) == 0 {
		return nil
	}
	j.claimsLast = true
	return b
}

// fill moves claims from queue into the batch and returns the rest.
func (b *batch) fill(queue []*pendingClaim) []*pendingClaim {
	for len(queue) > 0 && len(b.claims) < MaxBatch {
		c := queue[0]
		queue = queue[1:]
		if c.drop {
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
	for i, f := range j.finishes {
		if len(b.finishes) == MaxBatch {
			rest = append(rest, j.finishes[i:]...)
			break
		}
		if f.after != nil && !f.after.sent && !f.after.drop {
			rest = append(rest, f)
			continue
		}
		b.finishes = append(b.finishes, f.FinishRecord)
	}
	if len(b.finishes) == 0 {
		return nil
	}
	j.finishes = rest
	b.record.Finishes.Finishes = b.finishes
	j.claimsLast = false
	return b
}

// Resync is to be called after the table was replaced from a snapshot, as some
// records were trimmed unread. Verdicts on this process's own may be among
// them: what the table shows is taken as read back, and the rest is written
// again. The fold tells repetitions by their attempt.
func (l *Ledger) Resync(now time.Time) {
	j := &l.journal
	l.viewSeq++
	l.proven, j.inflight = false, nil
	for _, id := range slices.Sorted(maps.Keys(j.awaiting)) {
		b := j.awaiting[id]
		delete(j.awaiting, id)
		for _, c := range b.claims {
			l.resyncClaim(now, c)
		}
		for _, f := range b.finishes {
			j.finishes = append(j.finishes, pendingFinish{FinishRecord: f})
		}
	}
	l.pump(now)
}

func (l *Ledger) resyncClaim(now time.Time, c *pendingClaim) {
	e, ok := l.table.Lookup(c.Key)
	if !ok {
		c.sent = false
		l.journal.queue = append(l.journal.queue, c)
		return
	}
	r := ClaimResult{Won: e.Attempt == c.Attempt && e.Status == StatusClaimed, Holder: e}
	l.observe(ClaimBatch{Claims: []ClaimRecord{c.ClaimRecord}}, []ClaimResult{r})
	l.claimFolded(now, c, r)
}

func (j *journal) hasWork() bool { return len(j.flush)+len(j.queue)+len(j.finishes) > 0 }

// Wake returns when Tick is next to be called; ok is false where nothing is
// due.
func (l *Ledger) Wake() (at time.Time, ok bool) {
	earlier := func(t time.Time) {
		if !ok || t.Before(at) {
			at, ok = t, true
		}
	}
	j := &l.journal
	switch {
	case j.inflight != nil && j.inflight.failed:
		earlier(j.inflight.retryAt)
	case j.inflight == nil && (j.hasWork() || l.needsFence()):
		earlier(j.nextAppend)
	}
	if len(l.undecided) > 0 {
		earlier(l.undecided[0].since.Add(holdAfter))
	}
	if len(l.grants) > 0 {
		earlier(l.grants[0].since.Add(maxRun))
	}
	return at, ok
}
