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
	adviceMost = 30
	// adviceLeast endpoints are asked about even for a single task, as most of
	// them may be unfit.
	adviceLeast = 6
	// advicePerTask is how many endpoints are asked about for each task.
	advicePerTask = 2
	// ticketMargin is left of a ticket's time when a start is ordered with it.
	ticketMargin = 250 * time.Millisecond
	// adviceRetry follows a call that failed.
	adviceRetry = 300 * time.Millisecond
)

// advice is what a step knows of the endpoints that may run it.
type advice struct {
	tickets map[Incarnation]string
	until   time.Duration
	// asked are the incarnations whose fitness is known; fitness does not change.
	asked   map[Incarnation]bool
	out     bool
	retryAt time.Duration
}

// AdviceCall asks which endpoints may run a step.
type AdviceCall struct {
	Step      string
	Endpoints []string
	// Timeout is how long the service may take.
	Timeout time.Duration
	run     *stepRun
	// about are the incarnations of Endpoints, in the same order.
	about []Incarnation
}

// needsAdvice reports whether the step's tasks may only start with a ticket.
func (s *stepRun) needsAdvice() bool { return s.job.rec.Terms.Advice != nil }

// ticketFor returns the step's valid ticket for an endpoint, if it has one.
func (s *stepRun) ticketFor(now time.Duration, e *endpoint) (string, bool) {
	if now+ticketMargin > s.advice.until {
		return "", false
	}
	ticket, ok := s.advice.tickets[e.incarnation()]
	return ticket, ok
}

// advised reports whether the step may start on an endpoint as far as advice
// goes.
func (s *stepRun) advised(now time.Duration, e *endpoint) bool {
	if !s.needsAdvice() {
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
		for _, t := range j.waitingTasks() {
			if call, due := c.adviceFor(now, t.step); due {
				c.adviceOut, t.step.advice.out = true, true
				return call, true
			}
		}
	}
	return AdviceCall{}, false
}

func (c *Core) adviceFor(now time.Duration, s *stepRun) (AdviceCall, bool) {
	if s.advice.out || now < s.advice.retryAt {
		return AdviceCall{}, false
	}
	expired := now+ticketMargin > s.advice.until
	ask := c.adviceCandidates(now, s, expired)
	if len(ask) == 0 {
		return AdviceCall{}, false
	}
	terms := s.job.rec.Terms.Advice
	timeout := time.Duration(terms.DecideMs+terms.PeriodMs*len(ask))*time.Millisecond + time.Second
	name := s.job.rec.Job.ID + "." + strconv.Itoa(s.occ.number) + "." + strconv.Itoa(s.index)
	call := AdviceCall{Step: name, Timeout: timeout, run: s}
	for _, e := range ask {
		call.Endpoints, call.about = append(call.Endpoints, e.id), append(call.about, e.incarnation())
	}
	return call, true
}

// adviceCandidates returns the endpoints to ask about: those known to be fit
// where their tickets have run out, and otherwise new ones while the fit ones
// have too little room.
func (c *Core) adviceCandidates(now time.Duration, s *stepRun, expired bool) []*endpoint {
	var fit, fresh []*endpoint
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
		case !s.advice.asked[e.incarnation()]:
			fresh = append(fresh, e)
		}
	}
	wanted := min(adviceMost, max(adviceLeast, advicePerTask*s.waiting))
	if len(fit) > 0 && room > 0 {
		if !expired {
			return nil
		}
		return mostFree(fit, wanted)
	}
	return mostFree(fresh, wanted)
}

func mostFree(hosts []*endpoint, count int) []*endpoint {
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
	a := &call.run.advice
	a.out = false
	if !ok {
		a.retryAt = now + adviceRetry
		return
	}
	if a.asked == nil {
		a.asked, a.tickets = map[Incarnation]bool{}, map[Incarnation]string{}
	}
	if now+ticketMargin > a.until {
		clear(a.tickets) // what is left has run out
	}
	for _, in := range call.about {
		ticket, good := tickets[in.ID]
		a.asked[in] = !good
		if good {
			a.tickets[in] = ticket
		}
	}
	if a.until < now {
		a.until = now + valid
	}
	a.until = min(a.until, now+valid)
	c.event(Event{Kind: EventAdvised, Job: call.run.job.rec.Job.ID, Task: call.Step, Run: len(tickets), AgeMs: valid.Milliseconds()})
}
