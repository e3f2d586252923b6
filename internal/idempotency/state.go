package idempotency

import (
	"sync"

	"cyclamenwheel/internal/fold"
)

// expireStep bounds how many old keys one record removes. It is more than one
// record can add, so the table can't outgrow its retention, and small enough
// that no record takes long to fold.
const expireStep = 2 * MaxBatch

// State is the keys in the fold. Apply is called by the one that folds, in log
// order; the other methods may be called from anywhere at any time.
type State struct {
	mu   sync.RWMutex
	rows map[KeyHash]row
	// expiry lists the keys in the order of their claims, which is that of
	// their expiry too, as the log's time never falls. head is its first
	// element in use.
	expiry []expiring
	head   int
	// now is the log time of the last record folded.
	now       int64
	owners    names
	uncertain []Uncertain
}

// row is a KeyState with its owner's name shared. With millions of keys kept for
// a day its size is what this part of the system costs in memory.
type row struct {
	fingerprint [16]byte
	attempt     AttemptHash
	offset      uint64
	timeMillis  int64
	owner       uint32
	status      Status
}

type expiring struct {
	key    KeyHash
	offset uint64
	// timeMillis is kept here too, as the row may be gone.
	timeMillis int64
}

// names gives each name a number. Names of owners long gone stay; a process
// replaces its state from a snapshot far more often than they add up.
type names struct {
	list   []string
	number map[string]uint32
}

func (n *names) of(name string) uint32 {
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

// NewState returns a state without keys.
func NewState() *State { return &State{rows: map[KeyHash]row{}} }

// Members tells the boot id of a member at the offset being folded.
type Members func(id string) (bootID string, ok bool)

// ApplyClaims folds a batch of claims. The first claim of a key in log order
// holds it; repeating the same attempt's claim changes nothing. The results
// are in the order of the claims and nil where the batch was rejected.
//
// A batch of an owner that is not a member is rejected but for its held
// claims: those were granted before, and refusing to know of them would let
// the key run twice. They grant nothing here.
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
			results[i] = s.claim(meta, b.Owner, c)
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

func (s *State) claim(meta fold.Meta, owner string, c ClaimRecord) ClaimResult {
	r, ok := s.live(c.Key)
	switch {
	case !ok && !c.Held && s.isUncertain(c.Key):
		return ClaimResult{Uncertain: true}
	case !ok, r.status == statusReleased && r.attempt != c.Attempt:
		s.insert(meta, owner, c)
		return ClaimResult{Won: true}
	case r.attempt == c.Attempt:
		return ClaimResult{Won: r.status == StatusClaimed, Holder: s.keyState(r)}
	case c.Held:
		s.pin(c, r)
	}
	return ClaimResult{Holder: s.keyState(r)}
}

// pin settles a key for which two attempts hold a claim, one of them granted
// while the log could not be reached. Membership and barrier make this
// impossible short of a fault; if it happens, a later proof that one of the
// two did not run must not release the key, as the other one may have.
func (s *State) pin(c ClaimRecord, r row) {
	if r.status == StatusFinished {
		return
	}
	r.attempt, r.status = c.Attempt, StatusUnknown
	s.rows[c.Key] = r
}

func (s *State) insert(meta fold.Meta, owner string, c ClaimRecord) {
	s.rows[c.Key] = row{
		fingerprint: c.Fingerprint, attempt: c.Attempt, offset: meta.Offset,
		timeMillis: meta.TimeMillis, owner: s.owners.of(owner), status: StatusClaimed,
	}
	s.expiry = append(s.expiry, expiring{key: c.Key, offset: meta.Offset, timeMillis: meta.TimeMillis})
}

// ApplyFinishes folds a batch of finishes. A finish counts whoever reports it:
// it names the attempt, and what became of an attempt does not depend on who
// is a member by then.
func (s *State) ApplyFinishes(meta fold.Meta, b FinishBatch) (fold.Verdict, []FinishResult) {
	if len(b.Finishes) > MaxBatch {
		return fold.Reject(fold.ReasonMalformed, "too many finishes in one record"), nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(meta.TimeMillis)
	results := make([]FinishResult, len(b.Finishes))
	for i, f := range b.Finishes {
		results[i] = s.finish(f)
	}
	return fold.Accept(), results
}

func (s *State) finish(f FinishRecord) FinishResult {
	r, ok := s.live(f.Key)
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

// advance moves log time and removes expired keys, at most expireStep.
func (s *State) advance(now int64) {
	s.now = max(s.now, now)
	for range expireStep {
		if s.head == len(s.expiry) || !expired(s.expiry[s.head].timeMillis, s.now) {
			break
		}
		e := s.expiry[s.head]
		s.head++
		if r, ok := s.rows[e.key]; ok && r.offset == e.offset {
			delete(s.rows, e.key)
		}
	}
	s.trim()
	s.expireUncertain()
}

// trim gives back the used part of the expiry list once it is the larger one,
// so that each element is moved once on average.
func (s *State) trim() {
	if s.head > expireStep && s.head > len(s.expiry)/2 {
		s.expiry = append([]expiring(nil), s.expiry[s.head:]...)
		s.head = 0
	}
}

func expired(claimed, now int64) bool { return now-claimed >= Retention.Milliseconds() }

// live returns a key's row unless it has expired. A row that waits for its
// removal counts as gone, so that the verdict depends on log time alone and
// not on how far the removal has come.
func (s *State) live(key KeyHash) (row, bool) {
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

// Lookup returns what the fold knows of a key; ok is false where it is free.
func (s *State) Lookup(key KeyHash) (KeyState, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	r, ok := s.live(key)
	if !ok || r.status == statusReleased {
		return KeyState{}, false
	}
	return s.keyState(r), true
}

// Len is the number of keys held, for dumps and metrics.
func (s *State) Len() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.rows)
}
