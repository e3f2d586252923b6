package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/fold"
	"cyclamenwheel/internal/membership"
)

// StoppedError says that the process is stopping.
type StoppedError struct{}

func (*StoppedError) Error() string { return "process is stopping" }

// UnsettledError says that a record's verdict is not known: it may or may not
// be, or come to be, in the log.
type UnsettledError struct {
	Record fleetlog.ID
	Cause  error
}

func (e *UnsettledError) Error() string {
	return "record " + e.Record.String() + " unsettled: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnsettledError) Unwrap() error { return e.Cause }

// NotAppendedError says that a record certainly is not in the log.
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
	settled := make(chan fold.Verdict, 1)
	if !n.Do(func() { n.waiters[rec.ID] = settled }) {
		return fold.Verdict{}, &StoppedError{}
	}
	defer n.post(func() { delete(n.waiters, rec.ID) })

	uncertain, err := fleetlog.AppendUntil(ctx, n.opts.Platform, rec)
	if err != nil && !uncertain {
		return fold.Verdict{}, &NotAppendedError{Cause: err}
	}
	select {
	case v := <-settled:
		return v, nil
	case <-ctx.Done():
		return fold.Verdict{}, &UnsettledError{Record: rec.ID, Cause: errors.Wrap(ctx.Err(), "waiting for own record")}
	case <-n.ctx.Done():
		return fold.Verdict{}, &StoppedError{}
	}
}

// SubmitAsync does Submit in the background; done is called in the control
// goroutine.
func (n *Node) SubmitAsync(limit time.Duration, kind fleetlog.Kind, epoch uint64, body any, done func(fold.Verdict, error)) {
	n.wg.Go(func() {
		ctx, cancel := context.WithTimeout(n.ctx, limit)
		defer cancel()
		v, err := n.Submit(ctx, kind, epoch, body)
		n.post(func() { done(v, err) })
	})
}

// settle wakes whoever waits for the record. A duplicate is no verdict: the
// first copy gave it.
func (n *Node) settle(a fleetlog.Applied) {
	ch, ok := n.waiters[a.Record.ID]
	if !ok || a.Verdict.Reason == fold.ReasonDuplicate {
		return
	}
	delete(n.waiters, a.Record.ID)
	ch <- a.Verdict
}

// joinLimit bounds one try to join; the next tick tries again.
const joinLimit = 5 * time.Second

func (n *Node) joinIfDue() {
	if n.joining || n.leaving || !n.CaughtUp() || n.Joined() || !n.hooks.MayJoin() {
		return
	}
	n.joining = true
	n.SubmitAsync(joinLimit, fleetlog.KindJoin, 0, membership.Join{Member: n.opts.Self},
		func(v fold.Verdict, err error) {
			n.joining = false
			n.log.Info("join", "accepted", v.Accepted, "reason", v.Reason, "error", errText(err))
		})
}

// Leave takes the process off the members: nothing of it is in flight, so
// handovers need not wait for it.
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

// Background runs f outside the control goroutine; its context ends when the
// node is closed, and Close waits for it.
func (n *Node) Background(f func(context.Context)) {
	n.wg.Go(func() { f(n.ctx) })
}

// Retire makes the process not ready, so that the balancer leaves it; it goes
// on answering what reaches it.
func (n *Node) Retire() {
	n.Do(func() { n.leaving, n.beatWanted = true, true })
}
