package shards

import (
	"time"

	"github.com/cockroachdb/errors"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/platform"
)

// send carries out an order in the background and reports how it went.
func (r *Runner) send(o executor.Order, lease time.Duration) {
	to := platform.EndpointRef{ID: o.Endpoint, Addr: o.Addr}
	go func() {
		answer, err := r.carryOut(to, o, lease)
		result := resultOf(err)
		if err != nil {
			r.log.Info("order not done", "epoch", r.epoch, "task", o.Task, "run", o.Run, "instance", o.Endpoint,
				"order", int(o.Kind), "result", result.String(), "error", err.Error())
		}
		r.post(func(now time.Duration) { r.core.OrderDone(now, o, result, answerOf(err, answer)) })
	}()
}

func (r *Runner) carryOut(to platform.EndpointRef, o executor.Order, lease time.Duration) (platform.EndpointAnswer, error) {
	if o.Kind == executor.OrderStop {
		return r.endpoints.Stop(r.ctx, to, o.Task, o.Run, o.Fence)
	}
	return r.endpoints.Start(r.ctx, to, platform.StartOrder{Task: o.Task, Run: o.Run, Spec: o.Spec, Fence: o.Fence,
		LeaseUntil: lease, Checkpoint: o.Checkpoint, Ticket: o.Ticket})
}

// answerOf returns what an endpoint told of itself as it did an order or turned it away.
func answerOf(err error, in platform.EndpointAnswer) executor.Answer {
	var refused *platform.RefusedError
	if errors.As(err, &refused) {
		in = refused.Answer
	}
	return executor.Answer{Clock: in.Clock, StartedMs: in.StartedMs}
}

// resultOf says what an error of the endpoints' client means for an order.
func resultOf(err error) executor.OrderResult {
	if err == nil {
		return executor.OrderDone
	}
	var refused *platform.RefusedError
	if !errors.As(err, &refused) {
		return executor.OrderUnanswered
	}
	switch refused.Reason {
	case platform.RefusedFence:
		return executor.OrderFenced
	case platform.RefusedRunEnded:
		return executor.OrderOld
	case platform.RefusedLeaseExpired:
		return executor.OrderLate
	case platform.RefusedNoCapacity:
		return executor.OrderNoRoom
	case platform.RefusedTicket:
		return executor.OrderNoTicket
	case platform.RefusedGone:
		return executor.OrderGone
	case platform.RefusedUnhealthy:
		return executor.OrderUnhealthy
	}
	return executor.OrderInvalid
}

// look sends a renewal in the background and reports what was listed.
func (r *Runner) look(l executor.Look) {
	to := platform.EndpointRef{ID: l.Endpoint, Addr: l.Addr}
	go func() {
		look, err := r.endpoints.Renew(r.ctx, to, platform.Renewal{Fence: l.Fence, Acknowledged: l.Acknowledged,
			LeaseUntil: l.LeaseUntil, Wait: l.Wait})
		result := lookResultOf(err)
		if err != nil && r.ctx.Err() == nil {
			r.log.Info("renewal not done", "epoch", r.epoch, "instance", l.Endpoint, "error", err.Error())
		}
		r.post(func(now time.Duration) { r.core.LookDone(now, l, result, listedOf(look)) })
	}()
}

func lookResultOf(err error) executor.LookResult {
	if err == nil {
		return executor.LookAnswered
	}
	switch resultOf(err) {
	case executor.OrderFenced:
		return executor.LookFenced
	case executor.OrderGone:
		return executor.LookGone
	}
	return executor.LookUnanswered
}

var endedHow = map[platform.EndReason]executor.HowEnded{
	platform.EndDone: executor.EndedDone, platform.EndFailed: executor.EndedFailed,
	platform.EndStopped: executor.EndedStopped, platform.EndLeaseExpired: executor.EndedLapsed,
	platform.EndGangBroken: executor.EndedBroken, platform.EndGangIncomplete: executor.EndedAlone,
}

func listedOf(in platform.RenewalResponse) executor.Listed {
	out := executor.Listed{Clock: in.Clock, StartedMs: in.StartedMs}
	for _, run := range in.Running {
		out.Running = append(out.Running, executor.ListedRun{Task: run.Task, Run: run.Run, Checkpoint: run.Checkpoint,
			Percent: run.Percent})
	}
	for _, end := range in.Ended {
		how, known := endedHow[end.Reason]
		if !known {
			how = executor.EndedStopped
		}
		out.Ended = append(out.Ended, executor.ListedEnd{Number: end.Number, Task: end.Task, Run: end.Run,
			How: how, Checkpoint: end.Checkpoint})
	}
	return out
}

// advise asks for advice in the background.
func (r *Runner) advise(call executor.AdviceCall) {
	go func() {
		got, err := r.endpoints.Advise(r.ctx, call.Step, call.Endpoints, call.Timeout)
		if err != nil {
			r.log.Info("no advice", "epoch", r.epoch, "task", call.Step, "error", err.Error())
		}
		r.post(func(now time.Duration) { r.core.AdviceDone(now, call, got.Tickets, got.Valid, err == nil) })
	}()
}
