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
	// appendTimeout bounds one append. It is above the log's ordinary latency
	// by far; a slower answer counts as lost and the record is sent again.
	appendTimeout = 2 * time.Second
	// holdTimeout bounds a call to a witness, which only writes to memory. A
	// caller is waiting, and a witness that is slower than this is in trouble.
	holdTimeout = 500 * time.Millisecond
)

// Journal appends records to the platform's log.
type Journal interface {
	// Append adds a record under id. It is called again with the same id and
	// body after any error; the fold counts one record per id.
	Append(ctx context.Context, id, kind string, body any) error
}

// Options configure a service.
type Options struct {
	// Self is this entry, as the membership in the fold will know it.
	Self    Member
	Node    *peer.Node
	Table   Table
	Journal Journal
	Limits  Limits
	Logger  *slog.Logger
}

// Service runs on each entry: as the asker for the requests that arrive there,
// as the owner of its share of the keys, and as a witness for others.
type Service struct {
	self    Member
	links   links
	journal Journal
	log     *slog.Logger
	view    atomic.Pointer[View]
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	kick    chan struct{}
	outbox  outbox

	mu      sync.Mutex
	closed  bool
	ledger  *Ledger
	lastID  Waiter
	waiters map[Waiter]chan Reply
}

var _ Claims = (*Service)(nil)

// NewService returns a service whose handlers are registered on the node. It
// refuses everything until SetView.
func NewService(opts Options) *Service {
	s := newService(opts, peerLinks{node: opts.Node})
	s.register(opts.Node)
	return s
}

func newService(opts Options, l links) *Service {
	ctx, cancel := context.WithCancel(context.Background())
	logger := opts.Logger
	if logger == nil {
		logger = slog.Default()
	}
	s := &Service{
		self: opts.Self, links: l, journal: opts.Journal,
		log: logger.With("component", "idempotency"),
		ctx: ctx, cancel: cancel, kick: make(chan struct{}, 1), outbox: newOutbox(),
		ledger:  NewLedger(opts.Self, opts.Table, opts.Limits),
		waiters: map[Waiter]chan Reply{},
	}
	s.view.Store(&View{})
	s.wg.Go(s.loop)
	return s
}

// Close stops the service. What is not handed over by then is lost with the
// process: call Drain before.
func (s *Service) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cancel()
	s.wg.Wait()
}

// step runs f on the ledger and carries out what it asks for.
func (s *Service) step(f func(l *Ledger, now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.ledger, time.Now())
	out := s.ledger.Take()
	for _, r := range out.Replies {
		if ch := s.waiters[r.Waiter]; ch != nil {
			delete(s.waiters, r.Waiter)
			ch <- r // holds one, and gets only one
		}
	}
	if s.closed {
		return
	}
	for _, a := range out.Appends {
		s.wg.Go(func() { s.append(a) })
	}
	for _, h := range out.Holds {
		s.wg.Go(func() { s.hold(h) })
	}
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// loop calls Tick when it is due.
func (s *Service) loop() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		s.mu.Lock()
		at, ok := s.ledger.Wake()
		s.mu.Unlock()
		if ok {
			timer.Reset(time.Until(at))
		} else {
			timer.Stop()
		}
		select {
		case <-s.ctx.Done():
			return
		case <-s.kick:
		case <-timer.C:
			s.step(func(l *Ledger, now time.Time) { l.Tick(now) })
		}
	}
}

func (s *Service) append(a Append) {
	ctx, cancel := context.WithTimeout(s.ctx, appendTimeout)
	defer cancel()
	var body any = a.Finishes
	if a.Claims != nil {
		body = a.Claims
	}
	err := s.journal.Append(ctx, a.ID, a.Kind, body)
	if err != nil {
		s.log.Warn("append failed, repeating it", "record", a.ID, "kind", a.Kind, "error", err.Error())
	}
	s.step(func(l *Ledger, now time.Time) { l.AppendDone(now, a.ID, err) })
}

func (s *Service) hold(h Hold) {
	ctx, cancel := context.WithTimeout(s.ctx, holdTimeout)
	defer cancel()
	err := s.links.hold(ctx, h.Witness.ID, h.Claims)
	if err != nil {
		s.log.Warn("witness did not take claims", "witness", h.Witness.ID, "claims", len(h.Claims), "error", err.Error())
	}
	s.step(func(l *Ledger, now time.Time) { l.HoldDone(now, h.ID, err) })
}

// OnClaimsFolded is to be called for every record of claims, whoever wrote it,
// in log order and after the table has it.
func (s *Service) OnClaimsFolded(recordID string, b ClaimBatch, v fold.Verdict, results []ClaimResult) {
	if v.Reason == fold.ReasonDuplicate {
		return
	}
	s.step(func(l *Ledger, now time.Time) { l.ClaimsFolded(now, recordID, b, v, results) })
}

// OnFinishesFolded is the same for records of finishes.
func (s *Service) OnFinishesFolded(recordID string, b FinishBatch, v fold.Verdict, results []FinishResult) {
	if v.Reason == fold.ReasonDuplicate {
		return
	}
	s.step(func(l *Ledger, now time.Time) { l.FinishesFolded(now, recordID, b, v, results) })
}

// SetView takes a change of the members, in log order with the calls above.
// Begin a change by a view with Pending, from the fold of its record on; end it
// once every live entry has acknowledged that offset or is gone.
func (s *Service) SetView(v View) {
	s.view.Store(&v)
	s.step(func(l *Ledger, now time.Time) { l.SetView(now, v) })
}

// Resync is to be called after the table was replaced from a snapshot, before
// any later record is folded.
func (s *Service) Resync() {
	s.step(func(l *Ledger, now time.Time) { l.Resync(now) })
}

// Flushed tells whether the log has every claim this process holds.
func (s *Service) Flushed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Flushed()
}

// PendingWitness is the number of claims held as a witness that the log has
// not. While it is above zero this entry must not acknowledge an offset past a
// member's leaving.
func (s *Service) PendingWitness() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.PendingWitness()
}

// decide asks the ledger and waits for its answer.
func (s *Service) decide(ctx context.Context, asker Member, c ClaimRecord) (claimReply, error) {
	ch := make(chan Reply, 1)
	var id Waiter
	s.step(func(l *Ledger, now time.Time) {
		s.lastID++
		id = s.lastID
		s.waiters[id] = ch
		l.Claim(now, id, asker, c)
	})
	select {
	case r := <-ch:
		return claimReply{Decision: r.Decision, Answer: r.Answer}, r.Err
	case <-ctx.Done():
	}
	s.step(func(l *Ledger, _ time.Time) {
		delete(s.waiters, id)
		l.Gone(id)
	})
	return claimReply{}, ctx.Err()
}

func (s *Service) serveClaim(ctx context.Context, asker Member, c Claim) (claimReply, error) {
	if err := checkKey(c); err != nil {
		return claimReply{}, err
	}
	return s.decide(ctx, asker, c.record())
}

// serveFinish refuses a finish for a key of another owner, so that its sender
// looks for that one.
func (s *Service) serveFinish(f FinishReport) error {
	var err error
	s.step(func(l *Ledger, now time.Time) {
		if err = l.mayGrant(f.Key); err == nil {
			l.Finish(now, f)
		}
	})
	return err
}

func (s *Service) serveHold(owner Member, claims []ClaimRecord) error {
	var err error
	s.step(func(l *Ledger, now time.Time) { err = l.HoldFor(now, owner, claims) })
	return err
}
