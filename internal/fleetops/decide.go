package fleetops

import (
	"slices"
	"time"
)

const (
	// vacancyMaxAge is how long an owner's report that an endpoint is empty stays valid; it is below
	// the time for which the owner places no tasks there.
	vacancyMaxAge = 1200 * time.Millisecond
	// orderRetryAfter is how long the platform's list has to show an order's effect before the
	// order is sent again.
	orderRetryAfter = 900 * time.Millisecond
	// stopAfterShare is the share of a wave's time in which tasks may end by themselves; after it
	// the tasks left on an instance are stopped.
	stopAfterShare = 0.6
	// maxVacateWait is the longest time that one instance waits for its tasks to end.
	maxVacateWait = 4 * time.Second
)

// Order is an order to the platform.
type Order struct {
	Operation Operation
}

// VacateItem asks a pool's owner to vacate an endpoint, or reports that its incarnation has ended.
type VacateItem struct {
	Instance, Pool, Endpoint string
	// StartedMs identifies the endpoint's incarnation, 0 if unknown.
	StartedMs int64
	// StopTasks is set if the tasks left on the endpoint must be stopped.
	StopTasks bool
	// Ended is set if the platform has ended the incarnation. Service discovery lists it for some
	// seconds more.
	Ended bool
}

// Actions are the decisions of one round.
type Actions struct {
	VacateItems []VacateItem
	Orders      []Order
	// Due are, by pool, the endpoints whose instances a wave has not begun yet.
	Due map[string][]string
	// Announce are the waves whose state must be published to the operator.
	Announce []Announcement
	Events   []Event
}

// Event is a log line on a decision.
type Event struct {
	What, Instance, Reason string
	Wave                   int
	Pool                   string
}

// Decide advances the operations and waves in progress and begins those that are due.
func (s *State) Decide(now time.Duration, wallMs int64) Actions {
	a := Actions{Due: map[string][]string{}}
	s.needsList, s.visits = false, 0
	s.dropExpired(now)
	for _, name := range s.sortedOps() {
		s.reconcileOperation(now, s.ops[name], &a)
	}
	s.decideMoves(now, &a)
	for _, n := range s.sortedWaves() {
		s.advanceWave(now, wallMs, s.waves[n], &a)
	}
	s.carryOut(now, wallMs, &a)
	s.reportEndedIncarnations(&a)
	a.VacateItems = s.limitItems(a.VacateItems)
	for pool, due := range a.Due {
		a.Due[pool] = due[:min(len(due), MaxDuePerCall)]
	}
	return a
}

// reportEndedIncarnations reports the incarnations that operations have ended to the pools'
// owners. Service discovery lists such an incarnation for longer than the request to vacate it is
// valid: a task placed there waits until a lease that nobody renews has expired, and its job is three
// to four seconds late.
func (s *State) reportEndedIncarnations(a *Actions) {
	for name, op := range s.ops {
		if op.Phase == PhaseEnded && op.Ended && !op.endConfirmed && op.Endpoint != "" && s.pools[op.From] != nil {
			a.VacateItems = append(a.VacateItems, VacateItem{Instance: name, Pool: op.From, Endpoint: op.Endpoint, StartedMs: op.StartedMs, Ended: true})
		}
	}
}

func (s *State) sortedOps() []string {
	names := make([]string, 0, len(s.ops))
	for name, op := range s.ops {
		if op.Phase != PhaseEnded {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// listSettleTime is how long after an accepted order a list must be requested to be sure to show
// its effect. An instance that is up and unchanged in such a list had already been moved or
// maintained when the order arrived.
const listSettleTime = 900 * time.Millisecond

// reconcileOperation ends an operation whose effect the instance list shows, or updates it to its
// instance's new incarnation.
func (s *State) reconcileOperation(now time.Duration, op *Operation, a *Actions) {
	if s.listedAt == 0 {
		return
	}
	i, listed := s.instances[op.Instance]
	switch {
	case !listed:
		s.finish(now, op)
		a.Events = append(a.Events, Event{What: "operation dropped", Instance: op.Instance, Reason: "instance is gone", Wave: op.Wave})
	case !i.Up:
	case op.Phase == PhaseOrdered && op.Kind == KindMove && i.Pool == op.To:
		s.completeOperation(now, op, i, a)
	case op.acceptedAt > 0 && s.listedAt > op.acceptedAt && (i.Endpoint != op.Endpoint || s.listedAt > op.acceptedAt+listSettleTime):
		s.completeOperation(now, op, i, a)
	case op.acceptedAt == 0 && i.Endpoint != op.Endpoint:
		op.Endpoint, op.StartedMs, op.vacated, op.firstAskedAt = i.Endpoint, 0, false, 0
		s.dirtyOps[op.Instance] = true
	}
}

func (s *State) completeOperation(now time.Duration, op *Operation, i Instance, a *Actions) {
	if op.Kind == KindMaintain {
		s.markDone(op.Wave, op.Instance)
	}
	op.Ended = i.Endpoint != op.Endpoint
	s.finish(now, op)
	a.Events = append(a.Events, Event{What: "operation completed", Instance: op.Instance, Reason: op.Kind.String(), Wave: op.Wave, Pool: i.Pool})
}

// vacateAndOrder asks the pool's owner to vacate an operation's endpoint, and sends the order once
// no task is left on it.
func (s *State) vacateAndOrder(now time.Duration, wallMs int64, op *Operation, a *Actions) {
	i, listed := s.instances[op.Instance]
	if !listed || now < s.noOrdersUntil[op.Instance] {
		return
	}
	// An instance that is up without an endpoint may get one at any moment, so only the spare pool
	// counts as having none.
	switchedOff := i.Pool == s.spare
	if op.Endpoint != "" && !switchedOff && s.mustAsk(now, op) {
		a.VacateItems = append(a.VacateItems, VacateItem{Instance: op.Instance, Pool: op.From, Endpoint: op.Endpoint, StartedMs: op.StartedMs,
			StopTasks: s.mustStopTasks(now, wallMs, op), Ended: s.incarnationEnded(op, i)})
	}
	empty := switchedOff || op.vacated && now-op.vacancyReportedAt < vacancyMaxAge
	// The vacated endpoint may have ended since, and a new incarnation may run on the instance:
	// only a list requested after the owner's report shows that the endpoint is still the
	// instance's.
	if empty && !switchedOff && s.listedAt < op.vacatedSince {
		s.needsList = true
		return
	}
	if !empty || op.orderInFlight || op.orderedAt > 0 && now-op.orderedAt < orderRetryAfter || op.acceptedAt > 0 && !i.Up {
		return
	}
	if op.acceptedAt > 0 && s.listedAt < op.acceptedAt+orderRetryAfter || !s.takeOrder(now) {
		return
	}
	if op.Phase != PhaseOrdered || op.Holder != s.limits.Holder {
		op.Phase, op.Holder = PhaseOrdered, s.limits.Holder
		s.dirtyOps[op.Instance] = true
	}
	op.orderInFlight, op.orderedAt = true, now
	op.OrderedMs, op.OrderedEpoch = now.Milliseconds(), s.limits.Epoch
	a.Orders = append(a.Orders, Order{*op})
}

// incarnationEnded reports whether the platform has ended an operation's incarnation: it has
// accepted the order, and a list requested since shows the effect. An order that repeats one
// already carried out ends nothing.
func (s *State) incarnationEnded(op *Operation, i Instance) bool {
	return op.acceptedAt > 0 && s.listedAt > op.acceptedAt && (!i.Up || i.Endpoint != op.Endpoint)
}

// mustStopTasks reports whether an instance can no longer wait for its tasks to end by themselves.
func (s *State) mustStopTasks(now time.Duration, wallMs int64, op *Operation) bool {
	w := s.waves[op.Wave]
	if op.Kind != KindMaintain || w == nil {
		return false
	}
	if now-op.beganAt > maxVacateWait {
		return true
	}
	return wallMs-w.SeenMs > int64(stopAfterShare*float64(w.within.Milliseconds()))
}

// OrderResult is the platform's response to an order.
type OrderResult uint8

const (
	OrderAccepted OrderResult = iota
	// OrderUnanswered: no response; the order may have been carried out.
	OrderUnanswered
	// OrderBusy: the instance is not up, or is already leaving.
	OrderBusy
	// OrderRefused: the platform rejects the order permanently.
	OrderRefused
	// OrderFenced: a newer holder controls the instance.
	OrderFenced
)

// ObserveOrderResult applies the platform's response to an order.
func (s *State) ObserveOrderResult(now time.Duration, instance string, result OrderResult) {
	op := s.ops[instance]
	if op == nil {
		return
	}
	op.orderInFlight = false
	switch result {
	case OrderAccepted:
		op.acceptedAt = now
	case OrderRefused:
		if op.Kind == KindMaintain {
			s.markDone(op.Wave, instance)
		} else {
			s.rejectedKinds[kindInPool{s.instances[instance].Kind, op.To}] = true
		}
		s.finish(now, op)
	}
}

// NeedsList reports whether an order waits for a newer instance list.
func (s *State) NeedsList() bool { return s.needsList }

// Idle reports whether no operation is in progress and no wave is incomplete.
func (s *State) Idle() bool {
	for _, op := range s.ops {
		if op.Phase != PhaseEnded {
			return false
		}
	}
	for _, w := range s.waves {
		if !w.Completed {
			return false
		}
	}
	return true
}
