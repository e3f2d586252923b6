package idempotency

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Limits of an owner's ledger.
const (
	// maxUndecidedClaims bounds the keys whose claims wait for the log. At the
	// maximum append rate this is less than a second of work; beyond it claims are
	// refused at once instead of waiting until their deadlines.
	maxUndecidedClaims = 8192
	// maxWaiters bounds the repetitions of one request that wait for its outcome.
	maxWaiters = 64
	// maxRunTime is how long a granted attempt may stay without a reported outcome
	// before its waiters are told that the outcome is unknown. It exceeds every
	// request deadline and covers a report that was lost for good.
	maxRunTime = 15 * time.Minute
	// maxCanceledAttempts bounds the cancelled attempts that are remembered.
	maxCanceledAttempts = 1 << 14
)

// Table is the ledger's read access to the state of the fold.
type Table interface {
	Lookup(key KeyHash) (KeyState, bool)
	Uncertain(key KeyHash) bool
}

// Waiter identifies a call that waits for a decision.
type Waiter uint64

// Reply is the decision sent to a waiter. Err is set if nothing was claimed for
// it.
type Reply struct {
	Waiter   Waiter
	Decision Decision
	Answer   *Answer
	Err      error
}

// Append is a request to append a record to the log. A retry has the same ID and
// body, so that the fold applies it once.
type Append struct {
	ID       string
	Kind     string
	Claims   *ClaimBatch
	Finishes *FinishBatch
}

// Hold is a request to a witness to hold claims while the log is unavailable.
type Hold struct {
	ID      string
	Witness Member
	Claims  []ClaimRecord
}

// Actions are the effects that the ledger requests, in order.
type Actions struct {
	Replies []Reply
	Appends []Append
	Holds   []Hold
}

type phase uint8

const (
	// phaseJournalling: the claim waits until it is read back from the log or
	// acknowledged by a witness.
	phaseJournalling phase = iota + 1
	// phaseGranted: the claimant may dispatch the request.
	phaseGranted
	// phaseReleasing: the request did not run; the release waits until it is read
	// back from the log.
	phaseReleasing
)

// activeKey is a key whose claim is being recorded, granted or released.
type activeKey struct {
	claim         *pendingClaim
	phase         phase
	claimant      Member
	claimWaiters  []Waiter
	waitingClaims []waitingClaim
	// phaseSince is when the current phase began.
	phaseSince time.Time
	// earlyFinish is an outcome that was reported before the grant.
	earlyFinish *FinishReport
	// witnessCalled is set once a witness has been called. refusal is set if the
	// claim could not be recorded; later claims of the key are then refused at
	// once.
	witnessCalled bool
	refusal       error
}

// waitingClaim is another attempt at the same request that waits for its outcome.
type waitingClaim struct {
	waiter   Waiter
	claimant Member
	claim    ClaimRecord
}

// FinishReport is a claimant's report of an attempt's outcome.
type FinishReport struct {
	FinishRecord
	Fingerprint [16]byte `cbor:"4,keyasint"`
	Answer      *Answer  `cbor:"5,keyasint,omitempty"`
}

// Ledger decides the claims of the keys that this process owns, and holds claims
// of other owners as their witness. It does no I/O and reads no clock; the caller
// carries out its Actions. It is not safe for concurrent use.
//
// An attempt is granted only after its claim has been read back from the log as
// the first one of its key or, while the log is unavailable, after a witness in
// another zone holds it too. Hence two attempts of one key are never granted
// unless the first one is proved not to have run, whatever the order of messages,
// process pauses and losses.
type Ledger struct {
	self   Member
	table  Table
	limits Limits
	view   View
	// viewVersion counts the changes of view. caughtUp is set once a record that
	// this process wrote after the last change has been read back.
	viewVersion      uint64
	caughtUp         bool
	activeKeys       map[KeyHash]*activeKey
	waiterKeys       map[Waiter]KeyHash
	answers          *answerCache
	canceledAttempts *simplelru.LRU[AttemptHash, struct{}]
	// undecidedClaims are the keys that wait for the log, grantedAttempts those
	// that may be running. Both are ordered by time.
	undecidedClaims []keyAttempt
	grantedAttempts []keyAttempt
	journal         journal
	held            heldClaims
	out             Actions
}

type keyAttempt struct {
	key     KeyHash
	attempt AttemptHash
	since   time.Time
}

// Limits configures the limits of a ledger that depend on the fleet.
type Limits struct {
	// AppendsPerSecond is the maximum append rate of all owners together. Each
	// owner gets an equal share.
	AppendsPerSecond float64
	// AnswerBytes bounds the memory for answers cached for replay.
	AnswerBytes int
}

// DefaultLimits leaves most of the log's several hundred appends per second to
// other writers. With seven owners a claim waits at most 70 ms before it is
// appended, and not at all if its owner has not appended recently.
var DefaultLimits = Limits{AppendsPerSecond: 100, AnswerBytes: maxAnswersBytes}

// NewLedger returns a ledger that owns no keys until SetView is called.
func NewLedger(self Member, table Table, limits Limits) *Ledger {
	canceled, err := simplelru.NewLRU[AttemptHash, struct{}](maxCanceledAttempts, nil)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &Ledger{
		self: self, table: table, limits: limits, canceledAttempts: canceled,
		activeKeys: map[KeyHash]*activeKey{}, waiterKeys: map[Waiter]KeyHash{},
		answers: newAnswerCache(limits.AnswerBytes), journal: newJournal(self), held: newHeldClaims(),
	}
}

// TakeActions returns the actions requested since the last call.
func (l *Ledger) TakeActions() Actions {
	out := l.out
	l.out = Actions{}
	return out
}

// Claim decides a claim of claimant. The reply to w may be part of the next
// actions or of later ones.
func (l *Ledger) Claim(now time.Time, w Waiter, claimant Member, c ClaimRecord) {
	l.claim(now, w, claimant, c)
	l.sendDue(now)
}

func (l *Ledger) claim(now time.Time, w Waiter, claimant Member, c ClaimRecord) {
	if l.canceledAttempts.Contains(c.Attempt) {
		l.refuse(w, &AbandonedError{})
		return
	}
	if err := l.checkOwnership(c.Key); err != nil {
		l.refuse(w, err)
		return
	}
	if k := l.activeKeys[c.Key]; k != nil {
		l.joinActiveKey(k, waitingClaim{waiter: w, claimant: claimant, claim: c})
		return
	}
	if reply, finished := l.recallFinished(now, c); finished {
		reply.Waiter = w
		l.reply(reply)
		return
	}
	if e, ok := l.table.Lookup(c.Key); ok {
		l.decideFromFold(now, w, claimant, c, e)
		return
	}
	if l.table.Uncertain(c.Key) {
		l.reply(Reply{Waiter: w, Decision: DecisionUnknown})
		return
	}
	if len(l.undecidedClaims) >= maxUndecidedClaims {
		l.refuse(w, &OverloadedError{Limit: maxUndecidedClaims})
		return
	}
	l.startClaim(now, waitingClaim{waiter: w, claimant: claimant, claim: c}, nil)
}

// checkOwnership returns an error if this process does not own the key.
func (l *Ledger) checkOwnership(key KeyHash) error {
	owner, err := l.view.owner(key)
	if err != nil {
		return err
	}
	if owner.ID != l.self.ID || owner.BootID != l.self.BootID {
		return &NotOwnerError{Self: l.self.ID}
	}
	return nil
}

// startClaim queues the claim of a key for which no other claim is known.
func (l *Ledger) startClaim(now time.Time, first waitingClaim, others []waitingClaim) {
	k := &activeKey{
		claim: &pendingClaim{ClaimRecord: first.claim}, phase: phaseJournalling,
		claimant: first.claimant, waitingClaims: others, phaseSince: now,
	}
	l.activeKeys[first.claim.Key] = k
	l.addClaimWaiter(k, first.waiter)
	l.journal.claimQueue = append(l.journal.claimQueue, k.claim)
	l.undecidedClaims = append(l.undecidedClaims, keyAttempt{key: first.claim.Key, attempt: first.claim.Attempt, since: now})
}

func (l *Ledger) addClaimWaiter(k *activeKey, w Waiter) {
	k.claimWaiters = append(k.claimWaiters, w)
	l.waiterKeys[w] = k.claim.Key
}

// joinActiveKey adds a claim of a key that is already active. An attempt claims
// again if the reply to its first call was lost.
func (l *Ledger) joinActiveKey(k *activeKey, o waitingClaim) {
	switch {
	case o.claim.Fingerprint != k.claim.Fingerprint:
		l.reply(Reply{Waiter: o.waiter, Decision: DecisionConflict})
	case k.refusal != nil:
		l.refuse(o.waiter, k.refusal)
	case o.claim.Attempt == k.claim.Attempt && k.phase == phaseGranted:
		l.reply(Reply{Waiter: o.waiter, Decision: DecisionRun})
	case o.claim.Attempt == k.claim.Attempt && k.phase == phaseJournalling:
		l.addClaimWaiter(k, o.waiter)
	case len(k.waitingClaims) >= maxWaiters:
		l.refuse(o.waiter, &OverloadedError{Limit: maxWaiters})
	default:
		k.waitingClaims = append(k.waitingClaims, o)
		l.waiterKeys[o.waiter] = k.claim.Key
	}
}

// recallFinished replies to a claim of a key that this owner remembers as
// finished.
func (l *Ledger) recallFinished(now time.Time, c ClaimRecord) (Reply, bool) {
	if e, ok := l.answers.get(now, c.Key); ok {
		return replayReply(e, c), true
	}
	h, ok := l.held.asOwner[c.Key]
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

func replayReply(e finishedRequest, c ClaimRecord) Reply {
	switch {
	case e.fingerprint != c.Fingerprint:
		return Reply{Decision: DecisionConflict}
	case e.answer == nil:
		return Reply{Decision: DecisionFinished}
	default:
		return Reply{Decision: DecisionReplay, Answer: e.answer}
	}
}

// decideFromFold decides a claim of a key that is in the fold but not active here:
// it was claimed through another owner or an earlier incarnation. The attempt that
// holds the key may run, because its claimant would not ask again after
// dispatching it. Any other attempt is told that the outcome is unknown.
func (l *Ledger) decideFromFold(now time.Time, w Waiter, claimant Member, c ClaimRecord, e KeyState) {
	if d := decisionFor(e, c); d != DecisionRun {
		l.reply(Reply{Waiter: w, Decision: d})
		return
	}
	k := &activeKey{claim: &pendingClaim{ClaimRecord: c, sent: true}, phase: phaseJournalling, claimant: claimant}
	l.activeKeys[c.Key] = k
	l.addClaimWaiter(k, w)
	l.grant(now, k)
}

func decisionFor(e KeyState, c ClaimRecord) Decision {
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

// RemoveWaiter removes a waiter that no longer listens. Its claim stays until the claimant
// cancels it, because the claimant may ask again.
func (l *Ledger) RemoveWaiter(w Waiter) {
	key, ok := l.waiterKeys[w]
	if !ok {
		return
	}
	delete(l.waiterKeys, w)
	if k := l.activeKeys[key]; k != nil {
		k.claimWaiters = removeIf(k.claimWaiters, func(a Waiter) bool { return a == w })
		k.waitingClaims = removeIf(k.waitingClaims, func(o waitingClaim) bool { return o.waiter == w })
	}
}

func removeIf[T any](list []T, remove func(T) bool) []T {
	kept := list[:0]
	for _, v := range list {
		if !remove(v) {
			kept = append(kept, v)
		}
	}
	return kept
}

func (l *Ledger) reply(r Reply) {
	delete(l.waiterKeys, r.Waiter)
	l.out.Replies = append(l.out.Replies, r)
}

func (l *Ledger) refuse(w Waiter, err error) { l.reply(Reply{Waiter: w, Err: err}) }
