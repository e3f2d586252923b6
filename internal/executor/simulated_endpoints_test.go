package executor_test

import (
	"fmt"
	"slices"
	"time"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/jobs"
)

// Simulated endpoints of a world, and the invariants that they check on a Core.

// maxListedEnds is how many ends an endpoint lists in one answer.
const maxListedEnds = 500

// longestLease is the length to which an endpoint shortens longer leases.
const longestLease = 10 * time.Second

type history struct {
	running int
	failed  int
	// ends are the ends of runs; starts holds for each run how many ends there were when it started.
	ends   []*pastEnd
	starts []int
	// crashes counts the endpoints that the task crashed, and startsAfterLimit its starts since the
	// third of these crashes.
	crashes, startsAfterLimit int
	// lostRuns counts its runs that ended with an incarnation or a lease, and its starts that were
	// sent to a crashed endpoint.
	lostRuns int
}

// After crashLimit crashes a task's starts are counted; maxStartsAfterLimit of them are too many.
const (
	crashLimit          = 3
	maxStartsAfterLimit = 3
)

// pastEnd is the end of a run. It counts once an owner has acknowledged it, even if a later run has
// started by then.
type pastEnd struct {
	how          executor.HowEnded
	acknowledged bool
}

// done reports whether an acknowledged end was successful.
func (p *history) done() bool {
	return slices.ContainsFunc(p.ends, func(e *pastEnd) bool { return e.acknowledged && e.how == executor.EndedDone })
}

// brokenRule returns the rule that one of a task's starts broke, empty if none did.
func (p *history) brokenRule(mostFailures int) string {
	for _, before := range p.starts {
		failures := 0
		for _, end := range p.ends[:before] {
			switch {
			case !end.acknowledged:
			case end.how == executor.EndedDone:
				return "starts after it was done"
			case end.how == executor.EndedFailed:
				failures++
			}
		}
		if failures >= mostFailures {
			return fmt.Sprintf("starts after %d failed runs", failures)
		}
	}
	return ""
}

type run struct {
	task    string
	number  int
	began   time.Duration
	ends    time.Duration
	outcome executor.HowEnded
	needs   executor.Resources
	// stalled is set if the run makes no progress.
	stalled bool
}

type simEndpoint struct {
	id, rack, zone string
	// startedMs is when the incarnation started, by the time of day; its clock showed bootClock at
	// that moment.
	startedMs           int64
	bootedAt, bootClock time.Duration
	// entry, if set, is what service discovery lists for it until entryUntil.
	entry      *executor.EndpointInfo
	entryUntil time.Duration
	capacity   executor.Resources
	// pastCapacities are its earlier capacities, the oldest first.
	pastCapacities []pastCapacity
	// entryWritten is the newest entry that it has written to service discovery, if it writes only at
	// intervals.
	entryWritten   executor.EndpointInfo
	entryWrittenAt time.Duration
	fence          int64
	lease          time.Duration
	running        map[string]*run
	highest        map[string]int
	ended          []executor.ListedEnd
	number         int64
	unresponsive   bool
	// crashAt is when it will crash, 0 for never. A crashed endpoint is down from downAt until
	// backAt.
	crashAt, downAt, backAt time.Duration
	down                    bool
	// polls counts those that took effect.
	polls int
	// losesPollAnswers is set while polls take effect and their answers are lost.
	losesPollAnswers bool
	// hiddenFrom is the lowest epoch whose owner can't reach it; 0 if all owners can.
	hiddenFrom int64
	// rejectsStarts is set while it rejects about half of the starts.
	rejectsStarts bool
	terminated    bool
	skew          float64
	draining      bool
	failsAll      bool
	stalls        bool
	runLength     time.Duration
	// endedAt is when each end occurred. An end is void if leases of other runs there expired, most
	// recently at leaseExpiredAt, after it and before its acknowledgement. If nothing ran any more,
	// no lease has expired, and the end counts whenever it is acknowledged.
	endedAt        map[int64]time.Duration
	leaseExpiredAt time.Duration
	// past is the entry of each end in its task's history.
	past map[int64]*pastEnd
	// percent, if set, is the progress listed for all runs.
	percent int
}

// pastCapacity is a capacity that an endpoint had until some time.
type pastCapacity struct {
	capacity executor.Resources
	until    time.Duration
}

// resize changes an endpoint's capacity while it runs.
func (w *world) resize(h *simEndpoint, cpuMilli int) {
	h.pastCapacities = append(h.pastCapacities, pastCapacity{h.capacity, w.now})
	h.capacity.CPUMilli = cpuMilli
}

// countedCapacity is the most processor capacity that starts may fill: a capacity that has shrunk
// counts for some time after. For an order that is carried out late it is the highest ever.
func (w *world) countedCapacity(h *simEndpoint, late bool) int {
	most := h.capacity.CPUMilli
	for _, past := range h.pastCapacities {
		if late || w.now < past.until+w.limits.CapacityMaxAge {
			most = max(most, past.capacity.CPUMilli)
		}
	}
	return most
}

// writeEntries makes endpoints write their entries, if they write only at intervals.
func (w *world) writeEntries() {
	for _, h := range w.endpoints {
		if w.heartbeatInterval > 0 && !w.storeDown && !h.terminated && !h.down && w.now >= h.entryWrittenAt+w.heartbeatInterval {
			h.entryWritten, h.entryWrittenAt = h.describe(), w.now
			h.entryWritten.Clock = h.clock(w.now)
		}
	}
}

func (w *world) addEndpoint(id string) *simEndpoint {
	h := &simEndpoint{id: id, rack: "r1", startedMs: w.wall(), bootedAt: w.now, bootClock: step, capacity: executor.Resources{CPUMilli: 4000, MemoryMB: 4000}, running: map[string]*run{},
		highest: map[string]int{}, endedAt: map[int64]time.Duration{}, past: map[int64]*pastEnd{}, skew: 1, runLength: 300 * time.Millisecond}
	h.entryWritten, h.entryWrittenAt = h.describe(), w.now
	h.entryWritten.Clock = h.clock(w.now)
	w.endpoints[id] = h
	return h
}

// reachableBy reports whether calls of an epoch's owner reach the endpoint.
func (h *simEndpoint) reachableBy(epoch int64) bool {
	return !h.unresponsive && !h.down && (h.hiddenFrom == 0 || epoch < h.hiddenFrom)
}

func (h *simEndpoint) clock(now time.Duration) time.Duration {
	return h.bootClock + time.Duration(float64(now-h.bootedAt)*h.skew)
}

// extendLease extends the lease of all runs on an endpoint.
func (h *simEndpoint) extendLease(now, until time.Duration) {
	h.lease = max(h.lease, min(until, h.clock(now)+longestLease))
}

// restart replaces an endpoint's incarnation by a new one under the same id, with no earlier state.
// Answers in flight are lost.
func (w *world) restart(h *simEndpoint) {
	w.note("endpoint restarted", "", h.id, 0, 0, 0)
	w.dropRuns(h)
	clear(h.highest)
	clear(h.endedAt)
	clear(h.past)
	h.ended, h.number, h.leaseExpiredAt = nil, 0, 0
	h.fence, h.lease = 0, 0
	h.terminated, h.draining = false, false
	h.down, h.crashAt = false, 0
	h.startedMs = max(h.startedMs+1, w.wall())
	h.entryWritten, h.entryWrittenAt = executor.EndpointInfo{}, 0
	h.bootedAt, h.bootClock = w.now, time.Duration(w.chance("clock", h.id)*float64(time.Second))
}

// dropRuns ends all runs of an endpoint with its incarnation, and loses answers in flight.
func (w *world) dropRuns(h *simEndpoint) {
	for name := range h.running {
		w.history(name).running--
		w.history(name).lostRuns++
	}
	for i, a := range w.answers {
		if a.poll.Endpoint == h.id {
			w.answers[i].result = executor.PollUnanswered
		}
	}
	clear(h.running)
}

// crash ends an incarnation without notice. The endpoint is back after w.downFor.
func (w *world) crash(h *simEndpoint) {
	w.note("endpoint crashed", "", h.id, 0, 0, 0)
	for name := range h.running {
		if w.crashes(name) {
			w.history(name).crashes++
		}
	}
	w.dropRuns(h)
	h.down, h.crashAt, h.downAt, h.backAt = true, 0, w.now, w.now+w.downFor
}

// restartCrashed starts the next incarnation of a crashed endpoint, under its old id or a new one.
func (w *world) restartCrashed(h *simEndpoint) {
	if !w.newIDs {
		w.restart(h)
		return
	}
	h.down, h.terminated = false, true
	w.newIDCount++
	next := w.addEndpoint(fmt.Sprintf("b-%03d", w.newIDCount))
	next.rack, next.zone, next.runLength, next.percent, next.capacity = h.rack, h.zone, h.runLength, h.percent, h.capacity
	next.entryWritten, next.entryWrittenAt = executor.EndpointInfo{}, 0
}

// crashes reports whether a task crashes the endpoints that start it.
func (w *world) crashes(task string) bool {
	n, ok := jobs.ParseTaskName(task)
	return ok && w.crashesEndpoint != nil && w.crashesEndpoint(n)
}

// checkCrashingStarts counts the starts of a task after crashLimit crashes.
func (w *world) checkCrashingStarts(task string) {
	past := w.history(task)
	if past.crashes < crashLimit {
		return
	}
	past.startsAfterLimit++
	if past.startsAfterLimit == maxStartsAfterLimit {
		w.violations = append(w.violations, fmt.Sprintf("%v: %s is started %d times more after %d endpoints have crashed under it\n%s",
			w.now, task, maxStartsAfterLimit, crashLimit, w.traceOf(task)))
	}
}

// describe returns an endpoint's service discovery entry.
func (h *simEndpoint) describe() executor.EndpointInfo {
	return executor.EndpointInfo{ID: h.id, StartedMs: h.startedMs, Addr: h.id, Rack: h.rack, Zone: h.zone, Capacity: h.capacity, Draining: h.draining}
}

func (w *world) carryOut(h *simEndpoint, order executor.Order, epoch int64, lease time.Duration, late bool) executor.OrderResult {
	if h.terminated {
		return executor.OrderOtherIncarnation
	}
	if order.Fence < h.fence {
		return executor.OrderFenced
	}
	h.fence = order.Fence
	if order.Kind == executor.OrderStop {
		w.stop(h, order, late)
		return executor.OrderDone
	}
	if r := h.running[order.Task]; r != nil && r.number == order.Run {
		h.extendLease(w.now, lease)
		return executor.OrderDone
	}
	if order.Run <= h.highest[order.Task] {
		return executor.OrderStaleRun
	}
	if lease <= h.clock(w.now) {
		return executor.OrderLeaseExpired
	}
	if h.rejectsStarts && w.chance("unwell", order.Task, order.Run, epoch) < 0.5 {
		return executor.OrderUnhealthy
	}
	h.extendLease(w.now, lease)
	w.start(h, order, late)
	return executor.OrderDone
}

// start starts a run and checks the invariants.
func (w *world) start(h *simEndpoint, order executor.Order, late bool) {
	past := w.history(order.Task)
	if past.running > 0 {
		w.violations = append(w.violations, fmt.Sprintf("%v: %s runs twice\n%s", w.now, order.Task, w.traceOf(order.Task)))
	}
	past.starts = append(past.starts, len(past.ends))
	w.checkStarts(order.Task)
	past.running++
	if w.crashes(order.Task) {
		w.checkCrashingStarts(order.Task)
		h.crashAt = w.now + w.crashAfter
	}
	n, _ := jobs.ParseTaskName(order.Task)
	runLength := h.runLength
	if w.lengthOf != nil {
		runLength = w.lengthOf(n)
	}
	if w.budgets.Watches(order.Task) {
		runLength = time.Hour
	}
	r := &run{task: order.Task, number: order.Run, began: w.now, ends: w.now + runLength, needs: executor.Resources{CPUMilli: 1000, MemoryMB: 10}}
	if h.failsAll || n.Step == failingStep {
		r.outcome = executor.EndedFailed
	}
	if h.stalls {
		r.ends, r.stalled = w.now+time.Hour, true
	}
	h.running[order.Task] = r
	w.checkAccountLimit()
	var used executor.Resources
	for _, other := range h.running {
		used.CPUMilli += other.needs.CPUMilli
	}
	if countedCapacity := w.countedCapacity(h, late); used.CPUMilli > countedCapacity {
		w.violations = append(w.violations, fmt.Sprintf("%v: %s is over its capacity: %d of %d", w.now, h.id, used.CPUMilli, countedCapacity))
	}
}

// checkStarts records a rule that a task's starts have broken.
func (w *world) checkStarts(task string) {
	if rule := w.history(task).brokenRule(terms().Attempts); rule != "" {
		w.violations = append(w.violations, fmt.Sprintf("%v: %s %s\n%s", w.now, task, rule, w.traceOf(task)))
	}
}

// failingStep is a step number whose tasks always fail.
const failingStep = 9

func (w *world) history(task string) *history {
	if w.runs[task] == nil {
		w.runs[task] = &history{}
	}
	return w.runs[task]
}

func (w *world) stop(h *simEndpoint, order executor.Order, late bool) {
	if r := h.running[order.Task]; r != nil && r.number == order.Run {
		w.checkBudget(h, r, late)
		r.outcome, r.ends = executor.EndedStopped, w.now+100*time.Millisecond
		return
	}
	h.highest[order.Task] = max(h.highest[order.Task], order.Run)
}

// acknowledge drops acknowledged ends from an endpoint's list, and counts those that are not void.
func (w *world) acknowledge(h *simEndpoint, upTo int64) {
	h.ended = slices.DeleteFunc(h.ended, func(e executor.ListedEnd) bool {
		if e.Number > upTo {
			return false
		}
		if h.leaseExpiredAt < h.endedAt[e.Number] {
			h.past[e.Number].acknowledged = true
			w.checkStarts(e.Task)
		}
		return true
	})
}

func (w *world) tickEndpoints() {
	due := w.late
	w.late = nil
	for _, l := range due {
		if h := w.endpoints[l.order.Endpoint]; l.at <= w.now && h != nil && !h.unresponsive && !h.down && h.startedMs == l.startedMs {
			result := w.carryOut(h, l.order, l.epoch, l.lease, true)
			w.note(fmt.Sprintf("late order %d", l.order.Kind), l.order.Task, h.id, l.order.Run, l.epoch, result)
		} else if l.at > w.now {
			w.late = append(w.late, l)
		}
	}
	for _, h := range w.endpoints {
		switch {
		case h.down && w.now >= h.backAt:
			w.restartCrashed(h)
		case h.crashAt > 0 && w.now >= h.crashAt:
			w.crash(h)
		}
		lapsed := h.clock(w.now) > h.lease
		if lapsed && len(h.running) > 0 {
			h.leaseExpiredAt = w.now
		}
		for name, r := range h.running {
			if lapsed {
				w.end(h, name, r, executor.EndedLeaseExpired)
			} else if w.now >= r.ends {
				w.end(h, name, r, r.outcome)
			}
		}
	}
}

func (w *world) end(h *simEndpoint, name string, r *run, how executor.HowEnded) {
	delete(h.running, name)
	w.note("end "+how.String(), name, h.id, r.number, h.fence, 0)
	h.highest[name] = max(h.highest[name], r.number)
	h.number++
	h.endedAt[h.number] = w.now
	h.ended = append(h.ended, executor.ListedEnd{Number: h.number, Task: name, Run: r.number, How: how})
	past := w.history(name)
	past.running--
	h.past[h.number] = &pastEnd{how: how}
	past.ends = append(past.ends, h.past[h.number])
	switch how {
	case executor.EndedFailed:
		past.failed++
	case executor.EndedLeaseExpired:
		past.lostRuns++
	}
}

// kill ends an incarnation and everything on it, for good.
func (w *world) kill(h *simEndpoint) {
	h.terminated = true
	w.note("endpoint killed", "", h.id, 0, 0, 0)
	for name := range h.running {
		w.history(name).running--
	}
	clear(h.running)
}
