package executor

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// Advice. Load: only a slow external service can tell which endpoints may run a step, and it
// answers one call of a node at a time. A step asks for as many endpoints as it can use in one
// call and reuses the answer while it is valid.
const (
	// maxAdviceEndpoints bounds the endpoints of one call, as each adds to the answer's delay.
	maxAdviceEndpoints = 30
	// minAdviceEndpoints are asked about even for a single task, as most of them may be unfit.
	minAdviceEndpoints = 6
	// adviceEndpointsPerTask is how many endpoints are asked about for each task.
	adviceEndpointsPerTask = 2
	// ticketMargin is the validity that a ticket must have left when a start is ordered with
	// it.
	ticketMargin = 250 * time.Millisecond
	// adviceRetryDelay is the delay after a failed call.
	adviceRetryDelay = 300 * time.Millisecond
)

// advice caches what the service has answered for a step.
type advice struct {
	tickets    map[Incarnation]string
	validUntil time.Duration
	// unfit is true for incarnations known to be unfit; fitness does not change.
	unfit    map[Incarnation]bool
	inFlight bool
	retryAt  time.Duration
}

// AdviceCall asks which endpoints may run a step.
type AdviceCall struct {
	Step      string
	Endpoints []string
	// Timeout bounds the call.
	Timeout time.Duration
	step    *stepRun
	// incarnations are those of Endpoints, in the same order.
	incarnations []Incarnation
}

// requiresTicket reports whether the step's tasks may only start with a ticket.
func (s *stepRun) requiresTicket() bool { return s.job.rec.Terms.Advice != nil }

// ticketFor returns the step's valid ticket for an endpoint, if it has one.
func (s *stepRun) ticketFor(now time.Duration, e *endpoint) (string, bool) {
	if now+ticketMargin > s.advice.validUntil {
		return "", false
	}
	ticket, ok := s.advice.tickets[e.incarnation()]
	return ticket, ok
}

// hasRequiredTicket reports whether the step has a valid ticket for an endpoint or needs none.
func (s *stepRun) hasRequiredTicket(now time.Duration, e *endpoint) bool {
	if !s.requiresTicket() {
		return true
	}
	_, ok := s.ticketFor(now, e)
	return ok
}

// DueAdvice returns the next call to make, if one is due and none is in flight.
func (c *Core) DueAdvice(now time.Duration) (AdviceCall, bool) {
	if c.adviceInFlight {
		return AdviceCall{}, false
	}
	for _, j := range c.open {
		if j.rec.Terms.Advice == nil || j.rec.State.Ended() {
			continue
		}
		for _, t := range j.firstWaitingTasks() {
			if call, due := c.adviceFor(now, t.step); due {
				c.adviceInFlight, t.step.advice.inFlight = true, true
				return call, true
			}
		}
	}
	return AdviceCall{}, false
}

func (c *Core) adviceFor(now time.Duration, s *stepRun) (AdviceCall, bool) {
	if s.advice.inFlight || now < s.advice.retryAt {
		return AdviceCall{}, false
	}
	expired := now+ticketMargin > s.advice.validUntil
	candidates := c.adviceCandidates(now, s, expired)
	if len(candidates) == 0 {
		return AdviceCall{}, false
	}
	terms := s.job.rec.Terms.Advice
	timeout := time.Duration(terms.DecideMs+terms.PeriodMs*len(candidates))*time.Millisecond + time.Second
	name := s.job.rec.Job.ID + "." + strconv.Itoa(s.occ.number) + "." + strconv.Itoa(s.index)
	call := AdviceCall{Step: name, Timeout: timeout, step: s}
	for _, e := range candidates {
		call.Endpoints, call.incarnations = append(call.Endpoints, e.id), append(call.incarnations, e.incarnation())
	}
	return call, true
}

// adviceCandidates returns the endpoints to ask about: the known fit ones if their tickets have
// expired, and otherwise unasked ones while the fit ones have no free capacity.
func (c *Core) adviceCandidates(now time.Duration, s *stepRun, expired bool) []*endpoint {
	var fit, unasked []*endpoint
	fitWithCapacity := 0
	for _, e := range c.endpoints {
		if !c.isOpen(now, e) {
			continue
		}
		_, fitKnown := s.advice.tickets[e.incarnation()]
		switch {
		case fitKnown:
			fit = append(fit, e)
			if e.free().Holds(needs(s.spec)) {
				fitWithCapacity++
			}
		case !s.advice.unfit[e.incarnation()]:
			unasked = append(unasked, e)
		}
	}
	wanted := min(maxAdviceEndpoints, max(minAdviceEndpoints, adviceEndpointsPerTask*s.waiting))
	if len(fit) > 0 && fitWithCapacity > 0 {
		if !expired {
			return nil
		}
		return mostFreeEndpoints(fit, wanted)
	}
	return mostFreeEndpoints(unasked, wanted)
}

func mostFreeEndpoints(endpoints []*endpoint, count int) []*endpoint {
	slices.SortFunc(endpoints, func(a, b *endpoint) int {
		if order := cmp.Compare(b.free().CPUMilli, a.free().CPUMilli); order != 0 {
			return order
		}
		return cmp.Compare(a.id, b.id)
	})
	return endpoints[:min(count, len(endpoints))]
}

// ApplyAdvice applies the answer to a call; ok is false if there was none.
func (c *Core) ApplyAdvice(now time.Duration, call AdviceCall, tickets map[string]string, valid time.Duration, ok bool) {
	c.adviceInFlight = false
	a := &call.step.advice
	a.inFlight = false
	if !ok {
		a.retryAt = now + adviceRetryDelay
		return
	}
	if a.unfit == nil {
		a.unfit, a.tickets = map[Incarnation]bool{}, map[Incarnation]string{}
	}
	if now+ticketMargin > a.validUntil {
		clear(a.tickets) // the remaining tickets have expired
	}
	for _, incarnation := range call.incarnations {
		ticket, fit := tickets[incarnation.ID]
		a.unfit[incarnation] = !fit
		if fit {
			a.tickets[incarnation] = ticket
		}
	}
	if a.validUntil < now {
		a.validUntil = now + valid
	}
	a.validUntil = min(a.validUntil, now+valid)
	c.event(Event{Kind: EventAdvised, Job: call.step.job.rec.Job.ID, Task: call.Step, Run: len(tickets), AgeMs: valid.Milliseconds()})
}
