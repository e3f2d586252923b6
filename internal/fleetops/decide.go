package fleetops

import (
	"slices"
	"time"
)

const (
	// clearMaxAge is how long the word of an owner holds that an endpoint is
	// clear; it is below the time for which the owner keeps it so.
	clearMaxAge = 1200 * time.Millisecond
	// orderRetryAfter is how long the platform's list has to show an order's
	// effect before it is given again.
	orderRetryAfter = 900 * time.Millisecond
	// stopAfterShare of a wave's time is left to tasks that end by themselves;
	// after it what is left on an instance is stopped.
	stopAfterShare = 0.6
	// maxClearWait is the longest that one instance waits for its tasks.
	maxClearWait = 4 * time.Second
)

// Order is an order for the platform.
type Order struct {
	Operation Operation
}

// Clear asks a pool's owner to clear an endpoint, or to go on using it.
type Clear struct {
	Instance, Pool, Endpoint string
	// StartedMs tells the endpoint's incarnation, 0 where not known.
	StartedMs int64
	Hurry     bool
	// Ended says that the platform has ended the incarnation. Service discovery
	// lists it for some seconds more.
	Ended bool
}

// Actions are what a round has decided.
type Actions struct {
	Clears []Clear
	Orders []Order
	// Due are, by pool, endpoints whose instances a wave has yet to take.
	Due map[string][]string
	// Announce are waves whose state the operator is to be told.
	Announce []Announcement
	Events   []Event
}

// Event is a line for the log.
type Event struct {
	What, Instance, Reason string
	Wave                   int
	Pool                   string
}

// Decide goes on with what is under way and begins what is due.
func (s *State) Decide(now time.Duration, wallMs int64) Actions {
	a := Actions{Due: map[string][]string{}}
	s.needsList = false
	s.dropExpired(now)
	for _, name := range s.sortedOps() {
		s.reconcileOperation(now, s.ops[name], &a)
	}
	s.decideMoves(now, &a)
	for _, n := range s.sortedWaves() {
		s.advanceWave(now, wallMs, s.waves[n], &a)
	}
	for _, name := range s.sortedOps() {
		s.clearAndOrder(now, wallMs, s.ops[name], &a)
	}
	s.reportEndedIncarnations(&a)
	return a
}

// reportEndedIncarnations lets the pools' owners know of incarnations that operations have ended.
// Service discovery lists them for some seconds more, longer than their owner was
// asked to leave them alone: a task placed there waits for a lease to run out that
// nobody holds, and its job is late by three to four seconds.
func (s *State) reportEndedIncarnations(a *Actions) {
	for name, op := range s.ops {
		if op.Phase == PhaseOver && op.Ended && !op.endConfirmed && op.Endpoint != "" && s.pools[op.From] != nil {
			a.Clears = append(a.Clears, Clear{Instance: name, Pool: op.From, Endpoint: op.Endpoint, StartedMs: op.StartedMs, Ended: true})
		}
	}
}

func (s *State) sortedOps() []string {
	names := make([]string, 0, len(s.ops))
	for name, op := range s.ops {
		if op.Phase != PhaseOver {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// listSettleTime is how long after an accepted order the list has surely been made
// with its effect. An instance that is up then, unchanged, had been through
// already when the order came.
const listSettleTime = 900 * time.Millisecond

// reconcileOperation ends an operation whose effect the list shows, or follows its
// instance into a new incarnation.
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
		op.Endpoint, op.StartedMs, op.cleared = i.Endpoint, 0, false
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

// clearAndOrder asks for an endpoint to be cleared, and gives the order once it is.
func (s *State) clearAndOrder(now time.Duration, wallMs int64, op *Operation, a *Actions) {
	i, listed := s.instances[op.Instance]
	if !listed || now < s.noOrdersUntil[op.Instance] {
		return
	}
	// An instance that is up without an endpoint may get one at any moment.
	switchedOff := i.Pool == s.spare
	if op.Endpoint != "" && !switchedOff {
		a.Clears = append(a.Clears, Clear{Instance: op.Instance, Pool: op.From, Endpoint: op.Endpoint, StartedMs: op.StartedMs,
			Hurry: s.mustStopTasks(now, wallMs, op), Ended: s.incarnationEnded(op, i)})
	}
	clear := switchedOff || op.cleared && now-op.clearReportedAt < clearMaxAge
	// The endpoint that was cleared may have died meanwhile, and another live on
	// the instance: only a list asked for after the owner's word shows that the
	// two still belong together.
	if clear && !switchedOff && s.listedAt < op.clearSince {
		s.needsList = true
		return
	}
	if !clear || op.orderInFlight || op.orderedAt > 0 && now-op.orderedAt < orderRetryAfter || op.acceptedAt > 0 && !i.Up {
		return
	}
	if op.acceptedAt > 0 && s.listedAt < op.acceptedAt+orderRetryAfter {
		return
	}
	if op.Phase != PhaseOrdered || op.Holder != s.limits.Holder {
		op.Phase, op.Holder = PhaseOrdered, s.limits.Holder
		s.dirtyOps[op.Instance] = true
	}
	op.orderInFlight, op.orderedAt = true, now
	op.OrderedMs, op.OrderedIn = now.Milliseconds(), s.limits.Epoch
	a.Orders = append(a.Orders, Order{*op})
}

// incarnationEnded reports whether the platform has incarnationEnded the incarnation that an operation
// is about: it has accepted the order, and its list has shown the effect since.
// An order that only repeats one that was done ends nothing.
func (s *State) incarnationEnded(op *Operation, i Instance) bool {
	return op.acceptedAt > 0 && s.listedAt > op.acceptedAt && (!i.Up || i.Endpoint != op.Endpoint)
}

// mustStopTasks reports whether an instance can wait no longer for its tasks to end.
func (s *State) mustStopTasks(now time.Duration, wallMs int64, op *Operation) bool {
	w := s.waves[op.Wave]
	if op.Kind != KindMaintain || w == nil {
		return false
	}
	if now-op.beganAt > maxClearWait {
		return true
	}
	return wallMs-w.SeenMs > int64(stopAfterShare*float64(w.within.Milliseconds()))
}

// OrderResult says how the platform took an order.
type OrderResult uint8

// Results of orders.
const (
	OrderAccepted OrderResult = iota
	// OrderUnanswered: it may have been carried out.
	OrderUnanswered
	// OrderBusy: the instance is not up, or leaves.
	OrderBusy
	// OrderRefused: the platform will never do it.
	OrderRefused
	// OrderFenced: a newer holder commands the instance.
	OrderFenced
)

// Ordered takes in how the platform took an order.
func (s *State) Ordered(now time.Duration, instance string, result OrderResult) {
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

// WantsList reports that an order waits for a fresh instance list.
func (s *State) WantsList() bool { return s.needsList }

// Idle reports whether nothing is under way or due.
func (s *State) Idle() bool {
	for _, op := range s.ops {
		if op.Phase != PhaseOver {
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
