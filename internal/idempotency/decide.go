package idempotency

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Limits of an owner's ledger.
const (
	// maxUndecided bounds the keys whose claims wait for the log. At the
	// ceiling of the log's appends it is less than a second of work; past it
	// callers are refused at once instead of waiting out their deadlines.
	maxUndecided = 8192
	// maxWaiters bounds the repetitions of one request that wait for it.
	maxWaiters = 64
	// maxRun is how long a granted attempt may stay without a finish before
	// those who wait for it are told that its outcome is unknown. It is above
	// any deadline of a request; it covers a finish that was lost for good.
	maxRun = 15 * time.Minute
	// maxCanceled bounds the remembered attempts that were given up.
	maxCanceled = 1 << 14
)

// Table is what the ledger asks of the fold.
type Table interface {
	Lookup(key KeyHash) (KeyState, bool)
	Uncertain(key KeyHash) bool
}

// Waiter names one who waits for a decision.
type Waiter uint64

// Reply is the answer to a waiter. Err is set where nothing was claimed for
// it.
type Reply struct {
	Waiter   Waiter
	Decision Decision
	Answer   *Answer
	Err      error
}

// Append asks for a record to be appended. Repeating it carries the same ID
// and body, so that the fold counts it once.
type Append struct {
	ID       string
	Kind     string
	Claims   *ClaimBatch
	Finishes *FinishBatch
}

// Hold asks a witness to hold claims that the log can't take now.
type Hold struct {
	ID      string
	Witness Member
	Claims  []ClaimRecord
}

// Actions are what the ledger wants done, in order.
type Actions struct {
	Replies []Reply
	Appends []Append
	Holds   []Hold
}

type phase uint8

const (
	// journalling: the claim waits to be read back from the log, or for the
	// witness.
	journalling phase = iota + 1
	// granted: the asker may dispatch the request.
	granted
	// releasing: the request did not run; the release waits to be read back.
	releasing
)

// slot is a key in motion at its owner.
type slot struct {
	claim  *pendingClaim
	phase  phase
	asker  Member
	asking []Waiter
	others []waiting
	// since is when the present phase began.
	since time.Time
	// finish is an outcome that came before the grant.
	finish *FinishReport
	// holding is set once a witness has been asked, failed where that or the
	// log failed: newcomers are then refused at once.
	holding bool
	failed  error
}

// waiting is another attempt of the same request.
type waiting struct {
	waiter Waiter
	asker  Member
	claim  ClaimRecord
}

// FinishReport is what an asker says of its attempt.
type FinishReport struct {
	FinishRecord
	Fingerprint [16]byte `cbor:"4,keyasint"`
	Answer      *Answer  `cbor:"5,keyasint,omitempty"`
}

// Ledger decides the claims of the keys that this process owns, and holds
// claims of other owners as their witness. It does no I/O and reads no clock;
// whoever drives it carries out its Actions. Not safe for concurrent use.
//
// An attempt is granted only after its own claim has been read back from the
// log as the first one, or, while the log can't be reached, after a witness in
// another zone holds it too. So whatever the order of messages, freezes and
// losses, two attempts of one key are never granted unless the first one is
// proved not to have run.
type Ledger struct {
	self   Member
	table  Table
	limits Limits
	view   View
	// viewSeq counts the changes of view; proven tells that a record written
	// since the last one has been read back.
	viewSeq  uint64
	proven   bool
	slots    map[KeyHash]*slot
	waiters  map[Waiter]KeyHash
	done     *answers
	canceled *simplelru.LRU[AttemptHash, struct{}]
	// undecided are the keys that wait for the log, grants those granted,
	// both in order of time.
	undecided []keyAttempt
	grants    []keyAttempt
	journal   journal
	holder    holder
	out       Actions
}

type keyAttempt struct {
	key     KeyHash
	attempt AttemptHash
	since   time.Time
}

// Limits of a ledger that depend on the fleet.
type Limits struct {
	// AppendsPerSecond is the ceiling for all owners together; each takes an
	// equal share.
	AppendsPerSecond float64
	// AnswerBytes bounds the answers kept for replay.
	AnswerBytes int
}

// DefaultLimits leave most of the log's several hundred appends a second to
// others. With seven owners a claim waits at most 70 ms for its turn, and not
// at all when the owner has not appended lately.
var DefaultLimits = Limits{AppendsPerSecond: 100, AnswerBytes: maxAnswersBytes}

// NewLedger returns a ledger that owns nothing until SetView.
func NewLedger(self Member, table Table, limits Limits) *Ledger {
	canceled, err := simplelru.NewLRU[AttemptHash, struct{}](maxCanceled, nil)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &Ledger{
		self: self, table: table, limits: limits, canceled: canceled,
		slots: map[KeyHash]*slot{}, waiters: map[Waiter]KeyHash{},
		done: newAnswers(limits.AnswerBytes), journal: newJournal(self), holder: newHolder(),
	}
}

// Take returns the actions since the last call.
func (l *Ledger) Take() Actions {
	out := l.out
	l.out = Actions{}
	return out
}

// Claim decides on a claim that arrived from asker, now or later.
func (l *Ledger) Claim(now time.Time, w Waiter, asker Member, c ClaimRecord) {
	l.claim(now, w, asker, c)
	l.pump(now)
}

func (l *Ledger) claim(now time.Time, w Waiter, asker Member, c ClaimRecord) {
	if l.canceled.Contains(c.Attempt) {
		l.refuse(w, &AbandonedError{})
		return
	}
	if err := l.mayGrant(c.Key); err != nil {
		l.refuse(w, err)
		return
	}
	if s := l.slots[c.Key]; s != nil {
		l.join(s, waiting{waiter: w, asker: asker, claim: c})
		return
	}
	if reply, known := l.settled(now, c); known {
		reply.Waiter = w
		l.reply(reply)
		return
	}
	if e, ok := l.table.Lookup(c.Key); ok {
		l.claimKnown(now, w, asker, c, e)
		return
	}
	if l.table.Uncertain(c.Key) {
		l.reply(Reply{Waiter: w, Decision: DecisionUnknown})
		return
	}
	if len(l.undecided) >= maxUndecided {
		l.refuse(w, &OverloadedError{Limit: maxUndecided})
		return
	}
	l.open(now, waiting{waiter: w, asker: asker, claim: c}, nil)
}

// mayGrant tells why this process may not decide on a key.
func (l *Ledger) mayGrant(key KeyHash) error {
	owner, err := l.view.owner(key)
	if err != nil {
		return err
	}
	if owner.ID != l.self.ID || owner.BootID != l.self.BootID {
		return &NotOwnerError{Self: l.self.ID}
	}
	return nil
}

// open begins the claim of a key that is free as far as is known.
func (l *Ledger) open(now time.Time, first waiting, others []waiting) {
	s := &slot{
		claim: &pendingClaim{ClaimRecord: first.claim}, phase: journalling,
		asker: first.asker, others: others, since: now,
	}
	l.slots[first.claim.Key] = s
	l.waitFor(s, first.waiter)
	l.journal.queue = append(l.journal.queue, s.claim)
	l.undecided = append(l.undecided, keyAttempt{key: first.claim.Key, attempt: first.claim.Attempt, since: now})
}

func (l *Ledger) waitFor(s *slot, w Waiter) {
	s.asking = append(s.asking, w)
	l.waiters[w] = s.claim.Key
}

// join adds a claim of a key in motion. The same attempt asks again when the
// answer to its first call was lost.
func (l *Ledger) join(s *slot, o waiting) {
	switch {
	case o.claim.Fingerprint != s.claim.Fingerprint:
		l.reply(Reply{Waiter: o.waiter, Decision: DecisionConflict})
	case s.failed != nil:
		l.refuse(o.waiter, s.failed)
	case o.claim.Attempt == s.claim.Attempt && s.phase == granted:
		l.reply(Reply{Waiter: o.waiter, Decision: DecisionRun})
	case o.claim.Attempt == s.claim.Attempt && s.phase == journalling:
		l.waitFor(s, o.waiter)
	case len(s.others) >= maxWaiters:
		l.refuse(o.waiter, &OverloadedError{Limit: maxWaiters})
	default:
		s.others = append(s.others, o)
		l.waiters[o.waiter] = s.claim.Key
	}
}

// settled answers from what this owner remembers of requests that have run.
func (l *Ledger) settled(now time.Time, c ClaimRecord) (Reply, bool) {
	if e, ok := l.done.get(now, c.Key); ok {
		return replay(e, c), true
	}
	h, ok := l.holder.own[c.Key]
	switch {
	case !ok:
		return Reply{}, false
	case h.claim.Fingerprint != c.Fingerprint:
		return Reply{Decision: DecisionConflict}, true
	case h.outcome == OutcomeAnswered:
		return Reply{Decision: DecisionFinished}, true
	default:
		return Reply{Decision: DecisionUnknown}, true
	}
}

func replay(e ended, c ClaimRecord) Reply {
	switch {
	case e.fingerprint != c.Fingerprint:
		return Reply{Decision: DecisionConflict}
	case e.answer == nil:
		return Reply{Decision: DecisionFinished}
	default:
		return Reply{Decision: DecisionReplay, Answer: e.answer}
	}
}

// claimKnown decides on a key that the fold knows and this owner doesn't: its
// claim was made under another owner or an earlier boot. The attempt that
// holds it may run, as its asker would not ask had it dispatched already.
// Another one is told that the outcome is unknown.
func (l *Ledger) claimKnown(now time.Time, w Waiter, asker Member, c ClaimRecord, e KeyState) {
	if d := decisionOn(e, c); d != DecisionRun {
		l.reply(Reply{Waiter: w, Decision: d})
		return
	}
	s := &slot{claim: &pendingClaim{ClaimRecord: c, sent: true}, phase: journalling, asker: asker}
	l.slots[c.Key] = s
	l.waitFor(s, w)
	l.grant(now, s)
}

func decisionOn(e KeyState, c ClaimRecord) Decision {
	switch {
	case e.Fingerprint != c.Fingerprint:
		return DecisionConflict
	case e.Status == StatusFinished:
		return DecisionFinished
	case e.Status == StatusClaimed && e.Attempt == c.Attempt:
		return DecisionRun
	default:
		return DecisionUnknown
	}
}

// Gone forgets a waiter that no longer listens. Its claim goes on until its
// asker reports it as given up, because its asker may ask again.
func (l *Ledger) Gone(w Waiter) {
	key, ok := l.waiters[w]
	if !ok {
		return
	}
	delete(l.waiters, w)
	if s := l.slots[key]; s != nil {
		s.asking = without(s.asking, func(a Waiter) bool { return a == w })
		s.others = without(s.others, func(o waiting) bool { return o.waiter == w })
	}
}

func without[T any](list []T, drop func(T) bool) []T {
	kept := list[:0]
	for _, v := range list {
		if !drop(v) {
			kept = append(kept, v)
		}
	}
	return kept
}

func (l *Ledger) reply(r Reply) {
	delete(l.waiters, r.Waiter)
	l.out.Replies = append(l.out.Replies, r)
}

func (l *Ledger) refuse(w Waiter, err error) { l.reply(Reply{Waiter: w, Err: err}) }
