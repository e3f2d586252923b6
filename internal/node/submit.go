package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/fold"
	"cyclamenwheel/internal/membership"
)

// StoppedError means that the process is stopping.
type StoppedError struct{}

func (*StoppedError) Error() string { return "process is stopping" }

// UnsettledError means that a record's verdict is unknown: the record may or may not be in
// the log, or may still arrive there.
type UnsettledError struct {
	Record fleetlog.ID
	Cause  error
}

func (e *UnsettledError) Error() string {
	return "record " + e.Record.String() + " has an unknown outcome: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnsettledError) Unwrap() error { return e.Cause }

// NotAppendedError means that a record is certainly not in the log.
type NotAppendedError struct{ Cause error }

func (e *NotAppendedError) Error() string { return "record not appended: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotAppendedError) Unwrap() error { return e.Cause }

// Submit appends a record and waits until this process has folded it. It must
// not be called from the control goroutine; use SubmitAsync there.
func (n *Node) Submit(ctx context.Context, kind fleetlog.Kind, epoch uint64, body any) (fold.Verdict, error) {
	rec, err := fleetlog.NewRecord(kind, n.opts.Self.ID, epoch, body)
	if err != nil {
		return fold.Verdict{}, err
	}
	verdicts := make(chan fold.Verdict, 1)
	if !n.Do(func() { n.waiters[rec.ID] = verdicts }) {
		return fold.Verdict{}, &StoppedError{}
	}
	defer n.post(func() { delete(n.waiters, rec.ID) })

	uncertain, err := fleetlog.AppendWithRetry(ctx, n.opts.Platform, rec)
	if err != nil && !uncertain {
		return fold.Verdict{}, &NotAppendedError{Cause: err}
	}
	select {
	case v := <-verdicts:
		return v, nil
	case <-ctx.Done():
		return fold.Verdict{}, &UnsettledError{Record: rec.ID, Cause: errors.Wrap(ctx.Err(), "waiting for own record")}
	case <-n.ctx.Done():
		return fold.Verdict{}, &StoppedError{}
	}
}

// SubmitAsync runs Submit in the background and calls done in the control goroutine.
func (n *Node) SubmitAsync(limit time.Duration, kind fleetlog.Kind, epoch uint64, body any, done func(fold.Verdict, error)) {
	n.wg.Go(func() {
		ctx, cancel := context.WithTimeout(n.ctx, limit)
		defer cancel()
		v, err := n.Submit(ctx, kind, epoch, body)
		n.post(func() { done(v, err) })
	})
}

// deliverVerdict passes a record's verdict to its waiting submitter. A duplicate is
// ignored: the first copy has delivered the verdict.
func (n *Node) deliverVerdict(a fleetlog.Applied) {
	ch, ok := n.waiters[a.Record.ID]
	if !ok || a.Verdict.Reason == fold.ReasonDuplicate {
		return
	}
	delete(n.waiters, a.Record.ID)
	ch <- a.Verdict
}

// joinTimeout bounds one attempt to join; the next tick retries.
const joinTimeout = 5 * time.Second

func (n *Node) joinIfDue() {
	if n.joining || n.leaving || !n.CaughtUp() || n.Joined() || !n.hooks.MayJoin() {
		return
	}
	n.joining = true
	n.SubmitAsync(joinTimeout, fleetlog.KindJoin, 0, membership.Join{Member: n.opts.Self},
		func(v fold.Verdict, err error) {
			n.joining = false
			n.log.Info("join", "accepted", v.Accepted, "reason", v.Reason, "error", errText(err))
		})
}

// Leave removes the process from the members. Nothing of it is in flight, so handovers
// need not wait for it.
func (n *Node) Leave(ctx context.Context) error {
	n.Do(func() { n.leaving = true })
	_, err := n.Submit(ctx, fleetlog.KindLeave, 0, membership.Leave{
		ID: n.opts.Self.ID, BootID: n.opts.Self.BootID, Graceful: true, Why: "shutdown",
	})
	return err
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Background runs f outside the control goroutine. Its context ends when the node is
// closed, and Close waits for it.
func (n *Node) Background(f func(context.Context)) {
	n.wg.Go(func() { f(n.ctx) })
}

// MarkNotReady makes the process not ready, so that the load balancer stops sending requests to
// it. It still answers those that arrive.
func (n *Node) MarkNotReady() {
	n.Do(func() { n.leaving, n.heartbeatRequested = true, true })
}
