package idempotency

import (
	"sync"

	"cyclamenwheel/internal/fold"
)

// maxExpiredPerRecord bounds the expired keys that folding one record removes. It
// is more than one record can add, so that the table does not outgrow its
// retention, and small enough that no record takes long to fold.
const maxExpiredPerRecord = 2 * MaxBatch

// State is the table of keys in the fold. Only the goroutine that folds the log
// may call the Apply methods, in log order; the other methods are safe for
// concurrent use.
type State struct {
	mu   sync.RWMutex
	rows map[KeyHash]row
	// expiry lists the keys in the order of their claims, which is also the order of
	// their expiry because log time never decreases. expiryHead is the index of the
	// first remaining element.
	expiry     []expiryEntry
	expiryHead int
	// now is the log time of the last folded record.
	now       int64
	owners    nameTable
	uncertain []Uncertain
}

// row is a KeyState with its owner's name interned. Millions of keys are kept for
// a day, so the size of a row determines the memory use of this package.
type row struct {
	fingerprint [16]byte
	attempt     AttemptHash
	offset      uint64
	timeMillis  int64
	owner       uint32
	status      Status
}

type expiryEntry struct {
	key    KeyHash
	offset uint64
	// timeMillis is kept here as well because the row may have been removed.
	timeMillis int64
}

// nameTable assigns a number to each name. Names of former owners are kept; a
// process replaces its state from a snapshot long before they add up.
type nameTable struct {
	list   []string
	number map[string]uint32
}

func (n *nameTable) numberOf(name string) uint32 {
	if i, ok := n.number[name]; ok {
		return i
	}
	if n.number == nil {
		n.number = map[string]uint32{}
	}
	i := uint32(len(n.list))
	n.list = append(n.list, name)
	n.number[name] = i
	return i
}

// NewState returns an empty state.
func NewState() *State { return &State{rows: map[KeyHash]row{}} }

// Members returns the boot ID of a member at the offset that is being folded.
type Members func(id string) (bootID string, ok bool)

// ApplyClaims folds a batch of claims. The first claim of a key in log order holds
// it; repeating the claim of the same attempt changes nothing. The results are in
// the order of the claims and nil if the batch was rejected.
//
// If the owner is not a member, the batch is rejected except for its held claims.
// Those were granted before, and ignoring them would let the request run twice.
// Folding them does not grant anything.
func (s *State) ApplyClaims(meta fold.Meta, b ClaimBatch, members Members) (fold.Verdict, []ClaimResult) {
	if len(b.Claims) > MaxBatch {
		return fold.Reject(fold.ReasonMalformed, "too many claims in one record"), nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(meta.TimeMillis)
	boot, member := members(b.Owner)
	member = member && boot == b.OwnerBoot
	if !member && !hasHeld(b.Claims) {
		return fold.Reject(ReasonNotMember, b.Owner+" "+b.OwnerBoot), nil
	}
	results := make([]ClaimResult, len(b.Claims))
	for i, c := range b.Claims {
		if member || c.Held {
			results[i] = s.applyClaim(meta, b.Owner, c)
		} else {
			results[i] = ClaimResult{Rejected: true}
		}
	}
	return fold.Accept(), results
}

func hasHeld(claims []ClaimRecord) bool {
	for _, c := range claims {
		if c.Held {
			return true
		}
	}
	return false
}

func (s *State) applyClaim(meta fold.Meta, owner string, c ClaimRecord) ClaimResult {
	r, ok := s.unexpired(c.Key)
	switch {
	case !ok && !c.Held && s.isUncertain(c.Key):
		return ClaimResult{Uncertain: true}
	case !ok, r.status == statusReleased && r.attempt != c.Attempt:
		s.insert(meta, owner, c)
		return ClaimResult{Won: true}
	case r.attempt == c.Attempt:
		return ClaimResult{Won: r.status == StatusClaimed, Holder: s.keyState(r)}
	case c.Held:
		s.markContested(c, r)
	}
	return ClaimResult{Holder: s.keyState(r)}
}

// markContested marks a key that two attempts claim, one of them granted through a
// witness while the log was unavailable. Membership and barrier rule this out
// short of a fault. If it happens, proof that one of the attempts did not run must
// not release the key, because the other one may have run.
func (s *State) markContested(c ClaimRecord, r row) {
	if r.status == StatusFinished {
		return
	}
	r.attempt, r.status = c.Attempt, StatusUnknown
	s.rows[c.Key] = r
}

func (s *State) insert(meta fold.Meta, owner string, c ClaimRecord) {
	s.rows[c.Key] = row{
		fingerprint: c.Fingerprint, attempt: c.Attempt, offset: meta.Offset,
		timeMillis: meta.TimeMillis, owner: s.owners.numberOf(owner), status: StatusClaimed,
	}
	s.expiry = append(s.expiry, expiryEntry{key: c.Key, offset: meta.Offset, timeMillis: meta.TimeMillis})
}

// ApplyFinishes folds a batch of finishes. A finish is applied whoever reports it:
// it names the attempt, and the outcome of an attempt does not depend on the
// current members.
func (s *State) ApplyFinishes(meta fold.Meta, b FinishBatch) (fold.Verdict, []FinishResult) {
	if len(b.Finishes) > MaxBatch {
		return fold.Reject(fold.ReasonMalformed, "too many finishes in one record"), nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(meta.TimeMillis)
	results := make([]FinishResult, len(b.Finishes))
	for i, f := range b.Finishes {
		results[i] = s.applyFinish(f)
	}
	return fold.Accept(), results
}

func (s *State) applyFinish(f FinishRecord) FinishResult {
	r, ok := s.unexpired(f.Key)
	if !ok || r.attempt != f.Attempt || r.status != StatusClaimed {
		return FinishResult{}
	}
	switch f.Outcome {
	case OutcomeNotRun:
		r.status = statusReleased
		s.rows[f.Key] = r
		return FinishResult{Applied: true, Released: true}
	case OutcomeAnswered:
		r.status = StatusFinished
	default:
		r.status = StatusUnknown
	}
	s.rows[f.Key] = r
	return FinishResult{Applied: true}
}

// advance sets the log time and removes at most maxExpiredPerRecord expired keys.
func (s *State) advance(now int64) {
	s.now = max(s.now, now)
	for range maxExpiredPerRecord {
		if s.expiryHead == len(s.expiry) || !expired(s.expiry[s.expiryHead].timeMillis, s.now) {
			break
		}
		e := s.expiry[s.expiryHead]
		s.expiryHead++
		if r, ok := s.rows[e.key]; ok && r.offset == e.offset {
			delete(s.rows, e.key)
		}
	}
	s.compactExpiry()
	s.expireUncertain()
}

// compactExpiry frees the consumed part of the expiry list once it is larger than
// the rest, so that each element is copied once on average.
func (s *State) compactExpiry() {
	if s.expiryHead > maxExpiredPerRecord && s.expiryHead > len(s.expiry)/2 {
		s.expiry = append([]expiryEntry(nil), s.expiry[s.expiryHead:]...)
		s.expiryHead = 0
	}
}

func expired(claimed, now int64) bool { return now-claimed >= Retention.Milliseconds() }

// unexpired returns the row of a key unless it has expired. An expired row that
// has not been removed yet counts as absent, so that results depend on log time
// only and not on the progress of the removal.
func (s *State) unexpired(key KeyHash) (row, bool) {
	r, ok := s.rows[key]
	if !ok || expired(r.timeMillis, s.now) {
		return row{}, false
	}
	return r, true
}

func (s *State) keyState(r row) KeyState {
	return KeyState{
		Fingerprint: r.fingerprint, Attempt: r.attempt, Owner: s.owners.list[r.owner],
		Offset: r.offset, TimeMillis: r.timeMillis, Status: r.status,
	}
}

// Lookup returns the state of a key. ok is false if the key is free.
func (s *State) Lookup(key KeyHash) (KeyState, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	r, ok := s.unexpired(key)
	if !ok || r.status == statusReleased {
		return KeyState{}, false
	}
	return s.keyState(r), true
}

// Len returns the number of keys in the table.
func (s *State) Len() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.rows)
}
