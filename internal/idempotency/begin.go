package idempotency

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cyclamenwheel/internal/peer"
)

const (
	// askPause is the mean pause before an owner is asked again. A change of
	// members takes a few of them.
	askPause = 50 * time.Millisecond
	// finishPause and finishPauseMax bound the pause between tries to report
	// an outcome, finishFor the tries altogether: a dead owner is replaced
	// well within it.
	finishPause    = 50 * time.Millisecond
	finishPauseMax = 2 * time.Second
	finishTimeout  = 2 * time.Second
	finishFor      = 2 * time.Minute
	// maxFinishes bounds the reports under way, maxFinishBytes the answers in
	// them. Past the bytes a report goes without its answer; past the count it
	// is dropped, which leaves its key as one that may have run.
	maxFinishes    = 1 << 14
	maxFinishBytes = 64 << 20
)

func checkKey(c Claim) error {
	if len(c.Key) == 0 || len(c.Key) > MaxKeyLen {
		return &KeyError{Len: len(c.Key)}
	}
	return nil
}

// Begin returns once the claim is decided, see Claims.
//
// An attempt may be asked for again while its answer is missing, as its owner
// knows it by name and it is dispatched only after Begin has returned. If Begin
// gives up after the owner may have heard of it, the attempt is reported as not
// run, so that the key doesn't stay taken.
func (s *Service) Begin(ctx context.Context, c Claim) (Decision, *Answer, error) {
	if err := checkKey(c); err != nil {
		return 0, nil, &NotRunError{Cause: err}
	}
	heard := false
	for {
		r, err := s.ask(ctx, c)
		if err == nil {
			return r.Decision, r.Answer, nil
		}
		heard = heard || mayHaveHeard(err)
		if !final(err) && sleep(ctx, jitter(askPause)) {
			continue
		}
		if heard {
			s.report(FinishReport{FinishRecord: c.outcome(OutcomeNotRun)})
		}
		return 0, nil, notRun(ctx, err)
	}
}

// notRun names the end of the caller's time as the cause where it is one: the
// owner's own failure is then only the last state on the way.
func notRun(ctx context.Context, err error) error {
	if final(err) || ctx.Err() == nil {
		return &NotRunError{Cause: err}
	}
	return &NotRunError{Cause: ctx.Err(), Last: err}
}

// Finish reports the outcome of an attempt in the background, see Claims.
func (s *Service) Finish(c Claim, outcome Outcome, answer *Answer) {
	if answer != nil && answer.Size() > MaxAnswerBytes {
		answer = nil
	}
	s.report(FinishReport{FinishRecord: c.outcome(outcome), Fingerprint: c.Fingerprint, Answer: answer})
}

func (c Claim) outcome(o Outcome) FinishRecord {
	return FinishRecord{Key: HashKey(c.Service, c.Key), Attempt: HashAttempt(c.Attempt), Outcome: o}
}

func (s *Service) ask(ctx context.Context, c Claim) (claimReply, error) {
	owner, err := s.view.Load().owner(HashKey(c.Service, c.Key))
	if err != nil {
		return claimReply{}, err
	}
	if owner.ID == s.self.ID {
		return s.decide(ctx, s.self, c.record())
	}
	return s.links.claim(ctx, owner.ID, c)
}

// typeOf names an error the same way whether it came from here or from a peer.
func typeOf(err error) string {
	var remote *peer.RemoteError
	if errors.As(err, &remote) {
		return remote.Type
	}
	return strings.TrimPrefix(fmt.Sprintf("%T", err), "*")
}

// final tells whether asking again is of no use. An owner that can't be
// reached is final too: the caller learns at once that its request did not
// run, instead of at its deadline.
func final(err error) bool {
	switch typeOf(err) {
	case "peer.UnreachableError", "peer.TooLargeError", "idempotency.NoOwnerError",
		"idempotency.LogUnavailableError", "idempotency.OverloadedError", "idempotency.AbandonedError",
		"idempotency.KeyError":
		return true
	default:
		return false
	}
}

// mayHaveHeard tells whether an owner may know of the attempt after the error.
func mayHaveHeard(err error) bool {
	switch typeOf(err) {
	case "peer.UnreachableError", "peer.TooLargeError", "idempotency.NoOwnerError",
		"idempotency.OverloadedError", "idempotency.KeyError":
		return false
	default:
		return true
	}
}

func jitter(mean time.Duration) time.Duration {
	return time.Duration(rand.Float64() * 2 * float64(mean))
}

// sleep waits for d, or returns false when ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// outbox counts the reports under way.
type outbox struct {
	mu    *sync.Mutex
	count int
	bytes int
}

func newOutbox() outbox { return outbox{mu: &sync.Mutex{}} }

// admit counts a report in, without its answer where there is no room for it.
func (o *outbox) admit(f *FinishReport) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.count >= maxFinishes {
		return false
	}
	if o.bytes+f.size() > maxFinishBytes {
		f.Answer = nil
	}
	o.count++
	o.bytes += f.size()
	return true
}

func (o *outbox) leave(f FinishReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.count--
	o.bytes -= f.size()
}

func (o *outbox) len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.count
}

func (f FinishReport) size() int {
	if f.Answer == nil {
		return 0
	}
	return f.Answer.Size()
}

func (s *Service) report(f FinishReport) {
	if !s.outbox.admit(&f) {
		s.log.Error("too many outcomes to report, one is dropped")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		s.outbox.leave(f)
		return
	}
	s.wg.Go(func() {
		defer s.outbox.leave(f)
		s.deliver(f)
	})
}

// deliver brings a report to the key's owner, whoever that is by then.
func (s *Service) deliver(f FinishReport) {
	ctx, cancel := context.WithTimeout(s.ctx, finishFor)
	defer cancel()
	pause := finishPause
	for {
		err := s.tell(ctx, f)
		if err == nil {
			return
		}
		if !sleep(ctx, jitter(pause)) {
			s.log.Error("outcome not reported", "error", err.Error())
			return
		}
		pause = min(2*pause, finishPauseMax)
	}
}

func (s *Service) tell(ctx context.Context, f FinishReport) error {
	owner, err := s.view.Load().owner(f.Key)
	if err != nil {
		return err
	}
	if owner.ID == s.self.ID {
		return s.serveFinish(f)
	}
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	return s.links.finish(ctx, owner.ID, f)
}
