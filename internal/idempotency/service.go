package idempotency

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"cyclamenwheel/internal/fold"
	"cyclamenwheel/internal/peer"
)

const (
	// appendTimeout bounds one append. It is far above the usual latency of the log;
	// a slower append counts as failed and its record is sent again.
	appendTimeout = 2 * time.Second
	// holdTimeout bounds a call to a witness, which only writes to memory. A caller
	// is waiting, and a witness that is slower than this is unhealthy.
	holdTimeout = 500 * time.Millisecond
)

// Journal appends records to the platform's log.
type Journal interface {
	// Append adds a record under id. After any error it is called again with the
	// same id and body; the fold applies only one record per id.
	Append(ctx context.Context, id, kind string, body any) error
}

// Options configures a service.
type Options struct {
	// Self is this entry as it appears in the membership.
	Self    Member
	Node    *peer.Node
	Table   Table
	Journal Journal
	Limits  Limits
	Logger  *slog.Logger
}

// Service runs on each entry. It claims the keys of the requests that arrive
// there, decides the claims of the keys that the entry owns, and holds claims as a
// witness for other owners.
type Service struct {
	self         Member
	client       entryClient
	journal      Journal
	log          *slog.Logger
	view         atomic.Pointer[View]
	ctx          context.Context
	cancel       context.CancelFunc
	wg           sync.WaitGroup
	stateChanged chan struct{}
	reports      pendingReports

	mu      sync.Mutex
	closed  bool
	ledger  *Ledger
	lastID  Waiter
	waiters map[Waiter]chan Reply
}

var _ Claims = (*Service)(nil)

// NewService returns a service and registers its handlers on the node. The service
// refuses all claims until SetView is called.
func NewService(opts Options) *Service {
	s := newService(opts, peerClient{node: opts.Node})
	s.register(opts.Node)
	return s
}

func newService(opts Options, l entryClient) *Service {
	ctx, cancel := context.WithCancel(context.Background())
	logger := opts.Logger
	if logger == nil {
		logger = slog.Default()
	}
	s := &Service{
		self: opts.Self, client: l, journal: opts.Journal,
		log: logger.With("component", "idempotency"),
		ctx: ctx, cancel: cancel, stateChanged: make(chan struct{}, 1), reports: newPendingReports(),
		ledger:  NewLedger(opts.Self, opts.Table, opts.Limits),
		waiters: map[Waiter]chan Reply{},
	}
	s.view.Store(&View{})
	s.wg.Go(s.tickLoop)
	return s
}

// Close stops the service. Anything that has not been handed over is lost, so call
// Drain first.
func (s *Service) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cancel()
	s.wg.Wait()
}

// withLedger calls f on the ledger and carries out the resulting actions.
func (s *Service) withLedger(f func(l *Ledger, now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.ledger, time.Now())
	out := s.ledger.TakeActions()
	for _, r := range out.Replies {
		if ch := s.waiters[r.Waiter]; ch != nil {
			delete(s.waiters, r.Waiter)
			ch <- r // does not block: the channel has a buffer of one and gets one reply
		}
	}
	if s.closed {
		return
	}
	for _, a := range out.Appends {
		s.wg.Go(func() { s.appendRecord(a) })
	}
	for _, h := range out.Holds {
		s.wg.Go(func() { s.callWitness(h) })
	}
	select {
	case s.stateChanged <- struct{}{}:
	default:
	}
}

// tickLoop calls Tick when it is due.
func (s *Service) tickLoop() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		s.mu.Lock()
		at, ok := s.ledger.NextTick()
		s.mu.Unlock()
		if ok {
			timer.Reset(time.Until(at))
		} else {
			timer.Stop()
		}
		select {
		case <-s.ctx.Done():
			return
		case <-s.stateChanged:
		case <-timer.C:
			s.withLedger(func(l *Ledger, now time.Time) { l.Tick(now) })
		}
	}
}

func (s *Service) appendRecord(a Append) {
	ctx, cancel := context.WithTimeout(s.ctx, appendTimeout)
	defer cancel()
	var body any = a.Finishes
	if a.Claims != nil {
		body = a.Claims
	}
	err := s.journal.Append(ctx, a.ID, a.Kind, body)
	if err != nil {
		s.log.Warn("append failed; retrying", "record", a.ID, "kind", a.Kind, "error", err.Error())
	}
	s.withLedger(func(l *Ledger, now time.Time) { l.AppendDone(now, a.ID, err) })
}

func (s *Service) callWitness(h Hold) {
	ctx, cancel := context.WithTimeout(s.ctx, holdTimeout)
	defer cancel()
	err := s.client.hold(ctx, h.Witness.ID, h.Claims)
	if err != nil {
		s.log.Warn("witness did not hold claims", "witness", h.Witness.ID, "claims", len(h.Claims), "error", err.Error())
	}
	s.withLedger(func(l *Ledger, now time.Time) { l.HoldDone(now, h.ID, err) })
}

// OnClaimsFolded must be called for every record of claims, whoever wrote it, in
// log order and after it has been applied to the table.
func (s *Service) OnClaimsFolded(recordID string, b ClaimBatch, v fold.Verdict, results []ClaimResult) {
	if v.Reason == fold.ReasonDuplicate {
		return
	}
	s.withLedger(func(l *Ledger, now time.Time) { l.ClaimsFolded(now, recordID, b, v, results) })
}

// OnFinishesFolded must be called for every record of finishes, under the same
// rules as OnClaimsFolded.
func (s *Service) OnFinishesFolded(recordID string, b FinishBatch, v fold.Verdict, results []FinishResult) {
	if v.Reason == fold.ReasonDuplicate {
		return
	}
	s.withLedger(func(l *Ledger, now time.Time) { l.FinishesFolded(now, recordID, b, v, results) })
}

// SetView applies a membership change. It must be called in log order with
// OnClaimsFolded and OnFinishesFolded. A change begins with a view that has
// Pending set, when its record is folded, and ends once every entry has
// acknowledged that offset or is confirmed to be gone.
func (s *Service) SetView(v View) {
	s.view.Store(&v)
	s.withLedger(func(l *Ledger, now time.Time) { l.SetView(now, v) })
}

// Resync must be called after the table was replaced from a snapshot, before any
// later record is folded.
func (s *Service) Resync() {
	s.withLedger(func(l *Ledger, now time.Time) { l.Resync(now) })
}

// Flushed reports whether every claim held by this process is in the log.
func (s *Service) Flushed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Flushed()
}

// PendingWitness returns the number of claims held as a witness that are not in
// the log. While it is above zero, this entry must not acknowledge an offset past
// the removal of a member.
func (s *Service) PendingWitness() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.PendingWitness()
}

// claimAsOwner passes a claim to the ledger and waits for its reply.
func (s *Service) claimAsOwner(ctx context.Context, claimant Member, c ClaimRecord) (claimReply, error) {
	ch := make(chan Reply, 1)
	var id Waiter
	s.withLedger(func(l *Ledger, now time.Time) {
		s.lastID++
		id = s.lastID
		s.waiters[id] = ch
		l.Claim(now, id, claimant, c)
	})
	select {
	case r := <-ch:
		return claimReply{Decision: r.Decision, Answer: r.Answer}, r.Err
	case <-ctx.Done():
	}
	s.withLedger(func(l *Ledger, _ time.Time) {
		delete(s.waiters, id)
		l.RemoveWaiter(id)
	})
	return claimReply{}, ctx.Err()
}

func (s *Service) serveClaim(ctx context.Context, claimant Member, c Claim) (claimReply, error) {
	if err := validateKey(c); err != nil {
		return claimReply{}, err
	}
	return s.claimAsOwner(ctx, claimant, c.record())
}

// serveFinish refuses the outcome of a key that this process does not own, so that
// the sender retries with the current owner.
func (s *Service) serveFinish(f FinishReport) error {
	var err error
	s.withLedger(func(l *Ledger, now time.Time) {
		if err = l.checkOwnership(f.Key); err == nil {
			l.Finish(now, f)
		}
	})
	return err
}

func (s *Service) serveHold(owner Member, claims []ClaimRecord) error {
	var err error
	s.withLedger(func(l *Ledger, now time.Time) { err = l.HoldAsWitness(now, owner, claims) })
	return err
}
