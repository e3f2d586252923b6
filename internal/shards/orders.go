package shards

import (
	"time"

	"github.com/cockroachdb/errors"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/platform"
)

// send sends an order to its endpoint in the background and reports the result to the core.
func (r *Runner) send(o executor.Order, lease time.Duration) {
	to := platform.EndpointRef{ID: o.Endpoint, Addr: o.Addr}
	go func() {
		answer, err := r.execute(to, o, lease)
		result := orderResultOf(err)
		if err != nil {
			r.log.Info("order failed", "epoch", r.epoch, "task", o.Task, "run", o.Run, "instance", o.Endpoint,
				"order", int(o.Kind), "result", result.String(), "error", err.Error())
		}
		r.post(func(now time.Duration) { r.core.OrderDone(now, o, result, toAnswer(err, answer)) })
	}()
}

func (r *Runner) execute(to platform.EndpointRef, o executor.Order, lease time.Duration) (platform.EndpointAnswer, error) {
	if o.Kind == executor.OrderStop {
		return r.endpoints.Stop(r.ctx, to, o.Task, o.Run, o.Fence)
	}
	return r.endpoints.Start(r.ctx, to, platform.StartOrder{Task: o.Task, Run: o.Run, Spec: o.Spec, Fence: o.Fence,
		LeaseUntil: lease, Checkpoint: o.Checkpoint, Ticket: o.Ticket})
}

// toAnswer converts the state that an endpoint reports when it accepts or rejects an order.
func toAnswer(err error, in platform.EndpointAnswer) executor.Answer {
	var refused *platform.RefusedError
	if errors.As(err, &refused) {
		in = refused.Answer
	}
	return executor.Answer{Clock: in.Clock, StartedMs: in.StartedMs}
}

// orderResultOf maps an error of the endpoints' client to the result of an order.
func orderResultOf(err error) executor.OrderResult {
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
		return executor.OrderStaleRun
	case platform.RefusedLeaseExpired:
		return executor.OrderLeaseExpired
	case platform.RefusedNoCapacity:
		return executor.OrderNoCapacity
	case platform.RefusedTicket:
		return executor.OrderNoTicket
	case platform.RefusedGone:
		return executor.OrderOtherIncarnation
	case platform.RefusedUnhealthy:
		return executor.OrderUnhealthy
	}
	return executor.OrderInvalid
}

// poll sends a poll to an endpoint in the background and passes the runs that the endpoint lists to
// the core.
func (r *Runner) poll(p executor.Poll) {
	to := platform.EndpointRef{ID: p.Endpoint, Addr: p.Addr}
	go func() {
		listing, err := r.endpoints.Renew(r.ctx, to, platform.Renewal{Fence: p.Fence, Acknowledged: p.Acknowledged,
			LeaseUntil: p.LeaseUntil, Wait: p.Wait})
		result := pollResultOf(err)
		if err != nil && r.ctx.Err() == nil {
			r.log.Info("poll failed", "epoch", r.epoch, "instance", p.Endpoint, "error", err.Error())
		}
		r.post(func(now time.Duration) { r.core.PollDone(now, p, result, toListed(listing)) })
	}()
}

func pollResultOf(err error) executor.PollResult {
	if err == nil {
		return executor.PollAnswered
	}
	switch orderResultOf(err) {
	case executor.OrderFenced:
		return executor.PollFenced
	case executor.OrderOtherIncarnation:
		return executor.PollOtherIncarnation
	}
	return executor.PollUnanswered
}

var endReasons = map[platform.EndReason]executor.HowEnded{
	platform.EndDone: executor.EndedDone, platform.EndFailed: executor.EndedFailed,
	platform.EndStopped: executor.EndedStopped, platform.EndLeaseExpired: executor.EndedLeaseExpired,
	platform.EndGangBroken: executor.EndedGangBroken, platform.EndGangIncomplete: executor.EndedGangIncomplete,
}

func toListed(in platform.RenewalResponse) executor.Listed {
	out := executor.Listed{Clock: in.Clock, StartedMs: in.StartedMs}
	for _, run := range in.Running {
		out.Running = append(out.Running, executor.ListedRun{Task: run.Task, Run: run.Run, Checkpoint: run.Checkpoint,
			Percent: run.Percent})
	}
	for _, end := range in.Ended {
		how, known := endReasons[end.Reason]
		if !known {
			how = executor.EndedStopped
		}
		out.Ended = append(out.Ended, executor.ListedEnd{Number: end.Number, Task: end.Task, Run: end.Run,
			How: how, Checkpoint: end.Checkpoint})
	}
	return out
}

// requestAdvice requests placement advice in the background and reports it to the core.
func (r *Runner) requestAdvice(call executor.AdviceCall) {
	go func() {
		got, err := r.endpoints.Advise(r.ctx, call.Step, call.Endpoints, call.Timeout)
		if err != nil {
			r.log.Info("advice request failed", "epoch", r.epoch, "task", call.Step, "error", err.Error())
		}
		r.post(func(now time.Duration) { r.core.ApplyAdvice(now, call, got.Tickets, got.Valid, err == nil) })
	}()
}
