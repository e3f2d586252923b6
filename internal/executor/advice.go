package executor

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// Advice. Load: only a slow service knows which endpoints may run a step, and
// it answers one call of a node at a time. A step asks for as many endpoints as
// it can use, once, and keeps the answer while it holds.
const (
	// adviceMost bounds the endpoints of one call: each adds to the answer's
	// delay.
	maxAdviceEndpoints = 30
	// adviceLeast endpoints are asked about even for a single task, as most of
	// them may be unfit.
	minAdviceEndpoints = 6
	// advicePerTask is how many endpoints are asked about for each task.
	adviceEndpointsPerTask = 2
	// ticketMargin is left of a ticket's time when a start is ordered with it.
	ticketMargin = 250 * time.Millisecond
	// adviceRetry follows a call that failed.
	adviceRetryDelay = 300 * time.Millisecond
)

// advice is what a step knows of the endpoints that may run it.
type advice struct {
	tickets    map[Incarnation]string
	validUntil time.Duration
	// asked are the incarnations whose fitness is known; fitness does not change.
	unfit    map[Incarnation]bool
	inFlight bool
	retryAt  time.Duration
}

// AdviceCall asks which endpoints may run a step.
type AdviceCall struct {
	Step      string
	Endpoints []string
	// Timeout is how long the service may take.
	Timeout time.Duration
	step    *stepRun
	// about are the incarnations of Endpoints, in the same order.
	incarnations []Incarnation
}

// needsAdvice reports whether the step's tasks may only start with a ticket.
func (s *stepRun) requiresTicket() bool { return s.job.rec.Terms.Advice != nil }

// ticketFor returns the step's valid ticket for an endpoint, if it has one.
func (s *stepRun) ticketFor(now time.Duration, e *endpoint) (string, bool) {
	if now+ticketMargin > s.advice.validUntil {
		return "", false
	}
	ticket, ok := s.advice.tickets[e.incarnation()]
	return ticket, ok
}

// advised reports whether the step may start on an endpoint as far as advice
// goes.
func (s *stepRun) hasRequiredTicket(now time.Duration, e *endpoint) bool {
	if !s.requiresTicket() {
		return true
	}
	_, ok := s.ticketFor(now, e)
	return ok
}

// DueAdvice returns the next call to make, if one is due and none is under way.
func (c *Core) DueAdvice(now time.Duration) (AdviceCall, bool) {
	if c.adviceOut {
		return AdviceCall{}, false
	}
	for _, j := range c.open {
		if j.rec.Terms.Advice == nil || j.rec.State.Ended() {
			continue
		}
		for _, t := range j.firstWaitingTasks() {
			if call, due := c.adviceFor(now, t.step); due {
				c.adviceOut, t.step.advice.inFlight = true, true
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
	ask := c.adviceCandidates(now, s, expired)
	if len(ask) == 0 {
		return AdviceCall{}, false
	}
	terms := s.job.rec.Terms.Advice
	timeout := time.Duration(terms.DecideMs+terms.PeriodMs*len(ask))*time.Millisecond + time.Second
	name := s.job.rec.Job.ID + "." + strconv.Itoa(s.occ.number) + "." + strconv.Itoa(s.index)
	call := AdviceCall{Step: name, Timeout: timeout, step: s}
	for _, e := range ask {
		call.Endpoints, call.incarnations = append(call.Endpoints, e.id), append(call.incarnations, e.incarnation())
	}
	return call, true
}

// adviceCandidates returns the endpoints to ask about: those known to be fit
// where their tickets have run out, and otherwise new ones while the fit ones
// have too little room.
func (c *Core) adviceCandidates(now time.Duration, s *stepRun, expired bool) []*endpoint {
	var fit, unasked []*endpoint
	room := 0
	for _, e := range c.endpoints {
		if !c.isOpen(now, e) {
			continue
		}
		_, good := s.advice.tickets[e.incarnation()]
		switch {
		case good:
			fit = append(fit, e)
			if e.free().Holds(needs(s.spec)) {
				room++
			}
		case !s.advice.unfit[e.incarnation()]:
			unasked = append(unasked, e)
		}
	}
	wanted := min(maxAdviceEndpoints, max(minAdviceEndpoints, adviceEndpointsPerTask*s.waiting))
	if len(fit) > 0 && room > 0 {
		if !expired {
			return nil
		}
		return mostFreeEndpoints(fit, wanted)
	}
	return mostFreeEndpoints(unasked, wanted)
}

func mostFreeEndpoints(hosts []*endpoint, count int) []*endpoint {
	slices.SortFunc(hosts, func(a, b *endpoint) int {
		if order := cmp.Compare(b.free().CPUMilli, a.free().CPUMilli); order != 0 {
			return order
		}
		return cmp.Compare(a.id, b.id)
	})
	return hosts[:min(count, len(hosts))]
}

// AdviceDone takes in the answer to a call; ok is false where there was none.
func (c *Core) AdviceDone(now time.Duration, call AdviceCall, tickets map[string]string, valid time.Duration, ok bool) {
	c.adviceOut = false
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
		clear(a.tickets) // what is left has run out
	}
	for _, in := range call.incarnations {
		ticket, good := tickets[in.ID]
		a.unfit[in] = !good
		if good {
			a.tickets[in] = ticket
		}
	}
	if a.validUntil < now {
		a.validUntil = now + valid
	}
	a.validUntil = min(a.validUntil, now+valid)
	c.event(Event{Kind: EventAdvised, Job: call.step.job.rec.Job.ID, Task: call.Step, Run: len(tickets), AgeMs: valid.Milliseconds()})
}
