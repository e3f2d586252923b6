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
	// claimRetryPause is the mean pause before a claim is sent to the owner again.
	// A membership change takes a few of these pauses.
	claimRetryPause = 50 * time.Millisecond
	// reportRetryMin and reportRetryMax bound the pause between attempts to
	// deliver an outcome, reportDeliveryTimeout all attempts together. A crashed
	// owner is replaced well within that time.
	reportRetryMin        = 50 * time.Millisecond
	reportRetryMax        = 2 * time.Second
	reportCallTimeout     = 2 * time.Second
	reportDeliveryTimeout = 2 * time.Minute
	// maxPendingReports bounds the outcome reports in flight,
	// maxPendingReportBytes the answers in them. Beyond the byte limit a report is
	// sent without its answer. Beyond the count it is dropped, and its key stays
	// claimed as one that may have run.
	maxPendingReports     = 1 << 14
	maxPendingReportBytes = 64 << 20
)

func validateKey(c Claim) error {
	if len(c.Key) == 0 || len(c.Key) > MaxKeyLen {
		return &KeyError{Len: len(c.Key)}
	}
	return nil
}

// Begin implements Claims.
//
// The same attempt can be claimed repeatedly until a decision arrives: the owner
// identifies it by its attempt ID, and the request is dispatched only after Begin
// returns. If Begin fails after the owner may have received the claim, it reports
// the attempt as not run, so that the key does not stay claimed.
func (s *Service) Begin(ctx context.Context, c Claim) (Decision, *Answer, error) {
	if err := validateKey(c); err != nil {
		return 0, nil, &NotRunError{Cause: err}
	}
	mayBeClaimed := false
	for {
		r, err := s.claimFromOwner(ctx, c)
		if err == nil {
			return r.Decision, r.Answer, nil
		}
		mayBeClaimed = mayBeClaimed || mayHaveReached(err)
		if !isFinal(err) && sleep(ctx, jitter(claimRetryPause)) {
			continue
		}
		if mayBeClaimed {
			s.reportAsync(FinishReport{FinishRecord: c.outcome(OutcomeNotRun)})
		}
		return 0, nil, newNotRunError(ctx, err)
	}
}

// newNotRunError reports the end of the caller's context as the cause if the
// context has ended; the owner's error is then only the last one seen.
func newNotRunError(ctx context.Context, err error) error {
	if isFinal(err) || ctx.Err() == nil {
		return &NotRunError{Cause: err}
	}
	return &NotRunError{Cause: ctx.Err(), Last: err}
}

// Finish implements Claims. It reports the outcome in the background.
func (s *Service) Finish(c Claim, finishRecord Outcome, answer *Answer) {
	if answer != nil && answer.Size() > MaxAnswerBytes {
		answer = nil
	}
	s.reportAsync(FinishReport{FinishRecord: c.outcome(finishRecord), Fingerprint: c.Fingerprint, Answer: answer})
}

func (c Claim) outcome(o Outcome) FinishRecord {
	return FinishRecord{Key: HashKey(c.Service, c.Key), Attempt: HashAttempt(c.Attempt), Outcome: o}
}

func (s *Service) claimFromOwner(ctx context.Context, c Claim) (claimReply, error) {
	owner, err := s.view.Load().owner(HashKey(c.Service, c.Key))
	if err != nil {
		return claimReply{}, err
	}
	if owner.ID == s.self.ID {
		return s.claimAsOwner(ctx, s.self, c.record())
	}
	return s.client.claim(ctx, owner.ID, c)
}

// errorTypeName returns the type name of an error, which is the same for local
// errors and those received from a peer.
func errorTypeName(err error) string {
	var remote *peer.RemoteError
	if errors.As(err, &remote) {
		return remote.Type
	}
	return strings.TrimPrefix(fmt.Sprintf("%T", err), "*")
}

// isFinal reports whether retrying the claim is pointless. An unreachable owner
// is final too, so that the caller learns at once that its request did not run
// instead of waiting for its deadline.
func isFinal(err error) bool {
	switch errorTypeName(err) {
	case "peer.UnreachableError", "peer.TooLargeError", "idempotency.NoOwnerError",
		"idempotency.LogUnavailableError", "idempotency.OverloadedError", "idempotency.AbandonedError",
		"idempotency.KeyError":
		return true
	default:
		return false
	}
}

// mayHaveReached reports whether an owner may have received the claim despite the
// error.
func mayHaveReached(err error) bool {
	switch errorTypeName(err) {
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

// sleep waits for d. It returns false if ctx ends first.
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

// pendingReports counts the outcome reports in flight.
type pendingReports struct {
	mu    *sync.Mutex
	count int
	bytes int
}

func newPendingReports() pendingReports { return pendingReports{mu: &sync.Mutex{}} }

// add counts a report, or returns false if there are too many. It removes the
// answer from a report that exceeds the byte limit.
func (o *pendingReports) add(f *FinishReport) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.count >= maxPendingReports {
		return false
	}
	if o.bytes+f.answerSize() > maxPendingReportBytes {
		f.Answer = nil
	}
	o.count++
	o.bytes += f.answerSize()
	return true
}

func (o *pendingReports) remove(f FinishReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.count--
	o.bytes -= f.answerSize()
}

func (o *pendingReports) len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.count
}

func (f FinishReport) answerSize() int {
	if f.Answer == nil {
		return 0
	}
	return f.Answer.Size()
}

func (s *Service) reportAsync(f FinishReport) {
	if !s.reports.add(&f) {
		s.log.Error("too many outcome reports in flight; dropping one")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		s.reports.remove(f)
		return
	}
	s.wg.Go(func() {
		defer s.reports.remove(f)
		s.deliverReport(f)
	})
}

// deliverReport retries until the current owner of the key accepts the report.
func (s *Service) deliverReport(f FinishReport) {
	ctx, cancel := context.WithTimeout(s.ctx, reportDeliveryTimeout)
	defer cancel()
	pause := reportRetryMin
	for {
		err := s.sendReport(ctx, f)
		if err == nil {
			return
		}
		if !sleep(ctx, jitter(pause)) {
			s.log.Error("could not deliver outcome to the owner of its key", "error", err.Error())
			return
		}
		pause = min(2*pause, reportRetryMax)
	}
}

func (s *Service) sendReport(ctx context.Context, f FinishReport) error {
	owner, err := s.view.Load().owner(f.Key)
	if err != nil {
		return err
	}
	if owner.ID == s.self.ID {
		return s.serveFinish(f)
	}
	ctx, cancel := context.WithTimeout(ctx, reportCallTimeout)
	defer cancel()
	return s.client.finish(ctx, owner.ID, f)
}
