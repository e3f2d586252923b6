package executor_test

import (
	"fmt"
	"slices"
	"time"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/jobs"
)

// Simulated endpoints of a world, and the invariants that they check on a Core.

// longestLease is the length to which an endpoint shortens longer leases.
const longestLease = 10 * time.Second

type history struct {
	running int
	failed  int
	// ends are the ends of runs; starts holds for each run how many ends there were when it started.
	ends   []*pastEnd
	starts []int
	// crashes counts the endpoints that the task crashed, and afterThird its starts since the
	// third of these crashes.
	crashes, afterThird int
	// taken counts its runs that ended with an incarnation or a lease, and its starts that were sent
	// to a crashed endpoint.
	taken int
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

// wrong returns the rule that one of a task's starts broke, empty if none did.
func (p *history) wrong(mostFailures int) string {
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
	needs   executor.Room
	// hung runs make no progress.
	hung bool
}

type host struct {
	id, rack, zone string
	// startedMs is when the incarnation started, by the time of day; its clock showed bootClock at that
	// moment.
	startedMs           int64
	bootedAt, bootClock time.Duration
	// entry, if set, is what service discovery lists for it until entryUntil.
	entry      *executor.EndpointInfo
	entryUntil time.Duration
	capacity   executor.Room
	// rooms are its earlier capacities, the oldest first.
	rooms []pastRoom
	// said is the newest entry that it has written to service discovery, if it writes only at
	// intervals.
	said    executor.EndpointInfo
	saidAt  time.Duration
	fence   int64
	lease   time.Duration
	running map[string]*run
	highest map[string]int
	ended   []executor.ListedEnd
	number  int64
	silent  bool
	// crashAt is when it will crash, 0 for never. A crashed endpoint is down from downAt until backAt.
	crashAt, downAt, backAt time.Duration
	down                    bool
	// hiddenFrom is the lowest epoch whose owner can't reach it; 0 if all owners can.
	hiddenFrom int64
	// unwell endpoints reject about half of the starts.
	unwell   bool
	dead     bool
	skew     float64
	draining bool
	failsAll bool
	hangs    bool
	took     time.Duration
	// endedAt is when each end occurred. An end is void if leases of other runs there expired, most
	// recently at lapsed, after it and before its acknowledgement. If nothing ran any more, no lease
	// has expired, and the end counts whenever it is acknowledged.
	endedAt map[int64]time.Duration
	lapsed  time.Duration
	// past is the entry of each end in its task's history.
	past map[int64]*pastEnd
	// percent, if set, is the progress listed for all runs.
	percent int
}

// pastRoom is a capacity that an endpoint had until some time.
type pastRoom struct {
	room  executor.Room
	until time.Duration
}

// resize changes an endpoint's capacity while it runs.
func (w *world) resize(h *host, cpuMilli int) {
	h.rooms = append(h.rooms, pastRoom{h.capacity, w.now})
	h.capacity.CPUMilli = cpuMilli
}

// countedRoom is the most processor capacity that starts may fill: a capacity that has shrunk
// counts for some time after. For an order that is carried out late it is the highest ever.
func (w *world) countedRoom(h *host, late bool) int {
	most := h.capacity.CPUMilli
	for _, past := range h.rooms {
		if late || w.now < past.until+w.limits.RoomHolds {
			most = max(most, past.room.CPUMilli)
		}
	}
	return most
}

// heartbeats makes endpoints write their entries, if they write only at intervals.
func (w *world) heartbeats() {
	for _, h := range w.hosts {
		if w.beat > 0 && !w.storeAway && !h.dead && !h.down && w.now >= h.saidAt+w.beat {
			h.said, h.saidAt = h.describe(), w.now
			h.said.Clock = h.clock(w.now)
		}
	}
}

func (w *world) addHost(id string) *host {
	h := &host{id: id, rack: "r1", startedMs: w.wall(), capacity: executor.Room{CPUMilli: 4000, MemoryMB: 4000}, running: map[string]*run{},
		highest: map[string]int{}, endedAt: map[int64]time.Duration{}, past: map[int64]*pastEnd{}, skew: 1, took: 300 * time.Millisecond}
	h.said, h.saidAt = h.describe(), w.now
	h.said.Clock = h.clock(w.now)
	w.hosts[id] = h
	return h
}

// hears reports whether calls of an epoch's owner reach the endpoint.
func (h *host) hears(epoch int64) bool {
	return !h.silent && !h.down && (h.hiddenFrom == 0 || epoch < h.hiddenFrom)
}

func (h *host) clock(now time.Duration) time.Duration {
	return h.bootClock + time.Duration(float64(now-h.bootedAt)*h.skew)
}

// hold extends the lease of all runs on an endpoint.
func (h *host) hold(now, until time.Duration) {
	h.lease = max(h.lease, min(until, h.clock(now)+longestLease))
}

// restart replaces an endpoint's incarnation by a new one under the same id, with no earlier state.
// Answers in flight are lost.
func (w *world) restart(h *host) {
	w.note("endpoint restarted", "", h.id, 0, 0, 0)
	w.dropRuns(h)
	clear(h.highest)
	clear(h.endedAt)
	clear(h.past)
	h.ended, h.number, h.lapsed = nil, 0, 0
	h.fence, h.lease = 0, 0
	h.dead, h.draining = false, false
	h.down, h.crashAt = false, 0
	h.startedMs = max(h.startedMs+1, w.wall())
	h.said, h.saidAt = executor.EndpointInfo{}, 0
	h.bootedAt, h.bootClock = w.now, time.Duration(w.chance("clock", h.id)*float64(time.Hour))
}

// dropRuns ends all runs of an endpoint with its incarnation, and loses answers in flight.
func (w *world) dropRuns(h *host) {
	for name := range h.running {
		w.history(name).running--
		w.history(name).taken++
	}
	for i, a := range w.answers {
		if a.poll.Endpoint == h.id {
			w.answers[i].result = executor.LookUnanswered
		}
	}
	clear(h.running)
}

// crash ends an incarnation without notice. The endpoint is back after w.downFor.
func (w *world) crash(h *host) {
	w.note("endpoint crashed", "", h.id, 0, 0, 0)
	for name := range h.running {
		if w.crashes(name) {
			w.history(name).crashes++
		}
	}
	w.dropRuns(h)
	h.down, h.crashAt, h.downAt, h.backAt = true, 0, w.now, w.now+w.downFor
}

// comeBack starts the next incarnation of a crashed endpoint, under its old id or a new one.
func (w *world) comeBack(h *host) {
	if !w.newIDs {
		w.restart(h)
		return
	}
	h.down, h.dead = false, true
	w.born++
	next := w.addHost(fmt.Sprintf("b-%03d", w.born))
	next.rack, next.zone, next.took, next.percent, next.capacity = h.rack, h.zone, h.took, h.percent, h.capacity
	next.said, next.saidAt = executor.EndpointInfo{}, 0
}

// crashes reports whether a task crashes the endpoints that start it.
func (w *world) crashes(task string) bool {
	n, ok := jobs.ParseTaskName(task)
	return ok && w.crasher != nil && w.crasher(n)
}

// checkCrashingStarts counts the starts of a task after crashLimit crashes.
func (w *world) checkCrashingStarts(task string) {
	past := w.history(task)
	if past.crashes < crashLimit {
		return
	}
	past.afterThird++
	if past.afterThird == maxStartsAfterLimit {
		w.broken = append(w.broken, fmt.Sprintf("%v: %s is started %d times more after %d endpoints have crashed under it\n%s",
			w.now, task, maxStartsAfterLimit, crashLimit, w.story(task)))
	}
}

// describe returns an endpoint's service discovery entry.
func (h *host) describe() executor.EndpointInfo {
	return executor.EndpointInfo{ID: h.id, StartedMs: h.startedMs, Addr: h.id, Rack: h.rack, Zone: h.zone, Capacity: h.capacity, Draining: h.draining}
}

func (w *world) carryOut(h *host, order executor.Order, epoch int64, lease time.Duration, late bool) executor.OrderResult {
	if h.dead {
		return executor.OrderGone
	}
	if order.Fence < h.fence {
		return executor.OrderFenced
	}
	h.fence = order.Fence
	if order.Kind == executor.OrderStop {
		w.stop(h, order)
		return executor.OrderDone
	}
	if r := h.running[order.Task]; r != nil && r.number == order.Run {
		h.hold(w.now, lease)
		return executor.OrderDone
	}
	if order.Run <= h.highest[order.Task] {
		return executor.OrderOld
	}
	if lease <= h.clock(w.now) {
		return executor.OrderLate
	}
	if h.unwell && w.chance("unwell", order.Task, order.Run, epoch) < 0.5 {
		return executor.OrderUnhealthy
	}
	h.hold(w.now, lease)
	w.start(h, order, late)
	return executor.OrderDone
}

// start starts a run and checks the invariants.
func (w *world) start(h *host, order executor.Order, late bool) {
	past := w.history(order.Task)
	if past.running > 0 {
		w.broken = append(w.broken, fmt.Sprintf("%v: %s runs twice\n%s", w.now, order.Task, w.story(order.Task)))
	}
	past.starts = append(past.starts, len(past.ends))
	w.judge(order.Task)
	past.running++
	if w.crashes(order.Task) {
		w.checkCrashingStarts(order.Task)
		h.crashAt = w.now + w.crashAfter
	}
	n, _ := jobs.ParseTaskName(order.Task)
	took := h.took
	if w.lengthOf != nil {
		took = w.lengthOf(n)
	}
	r := &run{task: order.Task, number: order.Run, began: w.now, ends: w.now + took, needs: executor.Room{CPUMilli: 1000, MemoryMB: 10}}
	if h.failsAll || n.Step == poisonStep {
		r.outcome = executor.EndedFailed
	}
	if h.hangs {
		r.ends, r.hung = w.now+time.Hour, true
	}
	h.running[order.Task] = r
	w.noteAccount()
	var used executor.Room
	for _, other := range h.running {
		used.CPUMilli += other.needs.CPUMilli
	}
	if room := w.countedRoom(h, late); used.CPUMilli > room {
		w.broken = append(w.broken, fmt.Sprintf("%v: %s is over its capacity: %d of %d", w.now, h.id, used.CPUMilli, room))
	}
}

// judge records a rule that a task's starts have broken.
func (w *world) judge(task string) {
	if wrong := w.history(task).wrong(terms().Attempts); wrong != "" {
		w.broken = append(w.broken, fmt.Sprintf("%v: %s %s\n%s", w.now, task, wrong, w.story(task)))
	}
}

// poisonStep is a step number whose tasks always fail.
const poisonStep = 9

func (w *world) history(task string) *history {
	if w.runs[task] == nil {
		w.runs[task] = &history{}
	}
	return w.runs[task]
}

func (w *world) stop(h *host, order executor.Order) {
	if r := h.running[order.Task]; r != nil && r.number == order.Run {
		r.outcome, r.ends = executor.EndedStopped, w.now+100*time.Millisecond
		return
	}
	h.highest[order.Task] = max(h.highest[order.Task], order.Run)
}

// acknowledge drops acknowledged ends from an endpoint's list, and counts those that are not void.
func (w *world) acknowledge(h *host, upTo int64) {
	h.ended = slices.DeleteFunc(h.ended, func(e executor.ListedEnd) bool {
		if e.Number > upTo {
			return false
		}
		if h.lapsed < h.endedAt[e.Number] {
			h.past[e.Number].acknowledged = true
			w.judge(e.Task)
		}
		return true
	})
}

func (w *world) endpoints() {
	due := w.late
	w.late = nil
	for _, l := range due {
		if h := w.hosts[l.order.Endpoint]; l.at <= w.now && h != nil && !h.silent && !h.down && h.startedMs == l.startedMs {
			result := w.carryOut(h, l.order, l.epoch, l.lease, true)
			w.note(fmt.Sprintf("late order %d", l.order.Kind), l.order.Task, h.id, l.order.Run, l.epoch, result)
		} else if l.at > w.now {
			w.late = append(w.late, l)
		}
	}
	for _, h := range w.hosts {
		switch {
		case h.down && w.now >= h.backAt:
			w.comeBack(h)
		case h.crashAt > 0 && w.now >= h.crashAt:
			w.crash(h)
		}
		lapsed := h.clock(w.now) > h.lease
		if lapsed && len(h.running) > 0 {
			h.lapsed = w.now
		}
		for name, r := range h.running {
			if lapsed {
				w.end(h, name, r, executor.EndedLapsed)
			} else if w.now >= r.ends {
				w.end(h, name, r, r.outcome)
			}
		}
	}
}

func (w *world) end(h *host, name string, r *run, how executor.HowEnded) {
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
	case executor.EndedLapsed:
		past.taken++
	}
}

// kill ends an incarnation and everything on it, for good.
func (w *world) kill(h *host) {
	h.dead = true
	w.note("endpoint killed", "", h.id, 0, 0, 0)
	for name := range h.running {
		w.history(name).running--
	}
	clear(h.running)
}
