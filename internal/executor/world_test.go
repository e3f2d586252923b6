package executor_test

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/jobs"
	"cyclamenwheel/internal/routing"
)

// world is a pool's surroundings in memory: a journal that refuses older
// epochs, endpoints with fences, leases and ends, and one or more owners.
// Orders and answers can be lost or late.
type world struct {
	now     time.Duration
	seed    uint64
	journal *journal
	hosts   map[string]*host
	owners  []*owner
	late    []lateOrder
	answers []lateAnswer
	// loseOrders and loseAnswers are shares of orders; lateOrders of those
	// lost are carried out later.
	loseOrders, loseAnswers, lateOrders float64
	// trace is what happened to tasks, told of those that break something.
	trace []traced
	// broken lists what an observer of the endpoints saw go wrong.
	broken []string
	// runs is what has run of each task, by name.
	runs   map[string]*history
	limits executor.Limits
	// lengthOf, if set, is how long a task takes on any host.
	lengthOf func(jobs.TaskName) time.Duration
	// slowJournal takes batches side by side and answers them late.
	slowJournal bool
	// inOrder lets owners of random days hand over as they end.
	inOrder bool
}

// longestLease is what an endpoint shortens longer leases to.
const longestLease = 10 * time.Second

type journal struct {
	epoch  int64
	newest map[string][]byte
}

type history struct {
	running int
	failed  int
	// ends are those of runs, and starts how many there were as each run began.
	ends   []*pastEnd
	starts []int
}

// pastEnd is the end of a run. It counts once an owner has acknowledged it, also if that
// comes after a later run has begun.
type pastEnd struct {
	how          executor.HowEnded
	acknowledged bool
}

// done reports whether a good end counts.
func (p *history) done() bool {
	return slices.ContainsFunc(p.ends, func(e *pastEnd) bool { return e.acknowledged && e.how == executor.EndedDone })
}

// wrong returns what one of a task's runs has broken by beginning, if any has.
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

type lateOrder struct {
	at    time.Duration
	order executor.Order
	epoch int64
	lease time.Duration
	// startedMs is the incarnation that got the order. A later one knows nothing of it.
	startedMs int64
}

// lateAnswer is a listing on its way to an owner.
type lateAnswer struct {
	at     time.Duration
	to     *owner
	look   executor.Look
	listed executor.Listed
	result executor.LookResult
}

// traced is something that happened to a task.
type traced struct {
	at         time.Duration
	what, task string
	host       string
	run        int
	epoch      int64
	result     executor.OrderResult
}

func (w *world) note(what, task, host string, run int, epoch int64, result executor.OrderResult) {
	w.trace = append(w.trace, traced{w.now, what, task, host, run, epoch, result})
}

// story is all that happened to a task.
func (w *world) story(task string) string {
	var b strings.Builder
	for _, t := range w.trace {
		if t.task == task || t.task == "" {
			fmt.Fprintf(&b, "%v %s %s run %d epoch %d %v\n", t.at, t.what, t.host, t.run, t.epoch, t.result)
		}
	}
	return b.String()
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
	id, rack string
	// startedMs is when the incarnation started, by the time of day. Its clock showed
	// bootClock then.
	startedMs           int64
	bootedAt, bootClock time.Duration
	// entry is what service discovery still says of it until entryUntil, if anything.
	entry      *executor.EndpointInfo
	entryUntil time.Duration
	capacity   executor.Room
	fence      int64
	lease      time.Duration
	running    map[string]*run
	highest    map[string]int
	ended      []executor.ListedEnd
	number     int64
	silent     bool
	// hiddenFrom is the lowest epoch whose owner can't reach it; 0 hides it
	// from nobody.
	hiddenFrom int64
	// unwell endpoints turn starts away.
	unwell   bool
	dead     bool
	skew     float64
	draining bool
	failsAll bool
	hangs    bool
	took     time.Duration
	// endedAt is when each end came. An end does not stand if the lease of runs beside
	// it has lapsed, as of lapsed last, before it is acknowledged. Where nothing ran any
	// more nothing has lapsed, and the end stands whenever it is acknowledged.
	endedAt map[int64]time.Duration
	lapsed  time.Duration
	// past is what each end stands for in its task's history.
	past map[int64]*pastEnd
	// percent is listed of all runs, where it is set.
	percent int
}

type owner struct {
	core    *executor.Core
	epoch   int64
	stopped bool
	// cut owners reach no journal.
	cut bool
	// busy owners take answers in and get to nothing else.
	busy bool
	// proof is when the journal last took something.
	proof time.Duration
	// batches are on their way to a journal that is slow, the oldest first.
	batches []*batchOnItsWay
	flushed time.Duration
}

// batchOnItsWay is stored at one moment and answered at a later one.
type batchOnItsWay struct {
	ready                    executor.Ready
	sent, storedAt, answered time.Duration
	stored                   bool
}

const (
	// mostOnTheirWay and nextBatchAfter are those of the caller of a Core.
	mostOnTheirWay = 4
	nextBatchAfter = 50 * time.Millisecond
	// slowestLeg is how long a batch takes at most to be stored, and its answer to
	// come.
	slowestLeg = 200 * time.Millisecond
)

// chance is a number from 0 to 1 for something that happens now. It depends on
// what happens and not on the order in which a Core asks, so that a seed gives
// the same day each time.
func (w *world) chance(what ...any) float64 {
	h := fnv.New64a()
	fmt.Fprint(h, w.seed, w.now, what)
	return float64(mixed(h.Sum64())>>11) / (1 << 53)
}

// mixed spreads the bits of a hash whose inputs are alike.
func mixed(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

const step = 10 * time.Millisecond

func testLimits() executor.Limits {
	return executor.Limits{Lease: 3 * time.Second, ProofAge: 4 * time.Second, KeepEnded: time.Minute, StopTimeout: 200 * time.Millisecond, LongestLease: longestLease}
}

func newWorld(seed uint64, hosts int) *world {
	w := &world{now: time.Second, seed: seed, limits: testLimits(),
		journal: &journal{newest: map[string][]byte{}}, hosts: map[string]*host{}, runs: map[string]*history{}}
	for i := range hosts {
		w.addHost(fmt.Sprintf("i-%02d", i))
	}
	return w
}

func (w *world) addHost(id string) *host {
	h := &host{id: id, rack: "r1", startedMs: w.wall(), capacity: executor.Room{CPUMilli: 4000, MemoryMB: 4000}, running: map[string]*run{},
		highest: map[string]int{}, endedAt: map[int64]time.Duration{}, past: map[int64]*pastEnd{}, skew: 1, took: 300 * time.Millisecond}
	w.hosts[id] = h
	return h
}

// hears reports whether an owner's calls arrive.
func (h *host) hears(epoch int64) bool {
	return !h.silent && (h.hiddenFrom == 0 || epoch < h.hiddenFrom)
}

func (h *host) clock(now time.Duration) time.Duration {
	return h.bootClock + time.Duration(float64(now-h.bootedAt)*h.skew)
}

// hold extends the lease of all that runs on an endpoint.
func (h *host) hold(now, until time.Duration) {
	h.lease = max(h.lease, min(until, h.clock(now)+longestLease))
}

// restart ends an incarnation, and another begins under its id. It holds and knows
// nothing of before, and answers that were on their way are lost.
func (w *world) restart(h *host) {
	w.note("endpoint restarted", "", h.id, 0, 0, 0)
	for name := range h.running {
		w.history(name).running--
	}
	for i, a := range w.answers {
		if a.look.Endpoint == h.id {
			w.answers[i].result = executor.LookUnanswered
		}
	}
	clear(h.running)
	clear(h.highest)
	clear(h.endedAt)
	clear(h.past)
	h.ended, h.number, h.lapsed = nil, 0, 0
	h.fence, h.lease = 0, 0
	h.dead, h.draining = false, false
	h.startedMs = max(h.startedMs+1, w.wall())
	h.bootedAt, h.bootClock = w.now, time.Duration(w.chance("clock", h.id)*float64(time.Hour))
}

// describe is what an endpoint says of itself in service discovery.
func (h *host) describe() executor.EndpointInfo {
	return executor.EndpointInfo{ID: h.id, StartedMs: h.startedMs, Addr: h.id, Rack: h.rack, Capacity: h.capacity, Draining: h.draining}
}

// takeOver lets a new owner claim the pool, as the shards package does.
func (w *world) takeOver() *owner {
	w.journal.epoch++
	w.note("takeover", "", "", 0, w.journal.epoch, 0)
	o := &owner{epoch: w.journal.epoch, proof: w.now}
	o.core = executor.New("pool", o.epoch, w.limits, w.now)
	o.core.SetWall(w.wall())
	var records []executor.Record
	for key, value := range w.journal.newest {
		records = append(records, executor.Record{Key: key, Value: value})
	}
	slices.SortFunc(records, func(a, b executor.Record) int { return slices.Compare([]byte(a.Key), []byte(b.Key)) })
	if err := o.core.Restore(records, w.now); err != nil {
		panic(err)
	}
	w.owners = append(w.owners, o)
	return o
}

// handOver lets an owner give the pool up in order.
func (w *world) handOver(o *owner) {
	last := o.core.HandOver(w.now)
	if !o.stopped && !o.cut && o.epoch == w.journal.epoch && len(o.batches) == 0 {
		w.journal.newest[last.Key] = last.Value
	}
	o.stopped = true
}

func (w *world) wall() int64 { return 1_000_000 + w.now.Milliseconds() }

func (w *world) listing() []executor.EndpointInfo {
	var out []executor.EndpointInfo
	for _, h := range w.hosts {
		switch {
		case h.entry != nil && w.now < h.entryUntil:
			out = append(out, *h.entry)
		case !h.dead:
			out = append(out, h.describe())
		}
	}
	slices.SortFunc(out, func(a, b executor.EndpointInfo) int { return slices.Compare([]byte(a.ID), []byte(b.ID)) })
	return out
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += step
		w.endpoints()
		w.deliver()
		for _, o := range w.owners {
			if !o.stopped && !o.busy {
				w.round(o)
			}
		}
	}
}

func (w *world) round(o *owner) {
	c := o.core
	c.SetWall(w.wall())
	c.ObserveEndpoints(w.now, w.listing())
	c.Tick(w.now)
	c.Decide(w.now)
	for _, e := range c.TakeEvents() {
		if e.Task != "" || e.Kind == executor.EventGone {
			w.note(string(e.Kind)+" ("+e.Reason+")", e.Task, e.Endpoint, e.Run, o.epoch, 0)
		}
	}
	if c.Fenced() {
		o.stopped = true
		return
	}
	if w.now-o.proof < w.limits.ProofAge {
		for _, l := range c.DueLooks(w.now) {
			w.look(o, l)
		}
		for _, order := range c.TakeStops() {
			w.send(o, order, 0)
		}
		w.sendStarts(o)
	}
	w.flush(o)
}

// flush appends a batch at once, or ends an owner that has been displaced.
func (w *world) flush(o *owner) {
	if o.cut {
		return
	}
	if o.epoch < w.journal.epoch {
		o.stopped = true
		return
	}
	if w.slowJournal {
		w.flushSideBySide(o)
		return
	}
	o.proof = w.now
	ready := o.core.Ready(w.now)
	w.store(ready)
	w.release(o, ready)
}

func (w *world) store(ready executor.Ready) {
	for _, r := range ready.Records {
		if len(r.Value) == 0 {
			delete(w.journal.newest, r.Key)
		} else {
			w.journal.newest[r.Key] = r.Value
		}
	}
}

func (w *world) release(o *owner, ready executor.Ready) {
	o.core.Advance(w.now, ready)
	w.sendStarts(o)
}

func (w *world) sendStarts(o *owner) {
	for {
		order, lease, ok := o.core.NextStart(w.now)
		if !ok {
			return
		}
		w.send(o, order, lease)
	}
}

// flushSideBySide goes on with the batches on their way and sends another. They are
// stored in order, each is answered some time later, and what it allows waits for
// the answers to all before it.
func (w *world) flushSideBySide(o *owner) {
	for _, b := range o.batches {
		if !b.stored && w.now >= b.storedAt {
			b.stored = true
			w.store(b.ready)
		}
	}
	for len(o.batches) > 0 && o.batches[0].stored && w.now >= o.batches[0].answered {
		b := o.batches[0]
		o.batches = o.batches[1:]
		o.proof = max(o.proof, b.sent)
		w.release(o, b.ready)
	}
	if len(o.batches) == mostOnTheirWay || len(o.batches) > 0 && w.now-o.flushed < nextBatchAfter {
		return
	}
	if !o.core.Dirty() && len(o.batches) > 0 {
		return
	}
	ready := o.core.Ready(w.now)
	if ready.Empty() {
		o.proof = w.now
		return
	}
	b := &batchOnItsWay{ready: ready, sent: w.now, storedAt: w.now + time.Duration(w.chance("store", o.epoch, w.now)*float64(slowestLeg))}
	if n := len(o.batches); n > 0 {
		b.storedAt = max(b.storedAt, o.batches[n-1].storedAt)
	}
	b.answered = b.storedAt + time.Duration(w.chance("answer", o.epoch, w.now)*float64(slowestLeg))
	o.batches, o.flushed = append(o.batches, b), w.now
}

func (w *world) send(o *owner, order executor.Order, lease time.Duration) {
	h := w.hosts[order.Endpoint]
	if h == nil || !h.hears(o.epoch) || w.chance("lost", order.Kind, order.Task, order.Run, o.epoch) < w.loseOrders {
		if w.chance("late", order.Kind, order.Task, order.Run, o.epoch) < w.lateOrders {
			at := w.now + time.Duration(5000*w.chance("delay", order.Kind, order.Task, order.Run, o.epoch))*time.Millisecond
			l := lateOrder{at: at, order: order, epoch: o.epoch, lease: lease}
			if h != nil {
				l.startedMs = h.startedMs
			}
			w.late = append(w.late, l)
		}
		o.core.OrderDone(w.now, order, executor.OrderUnanswered, executor.Answer{})
		return
	}
	result := w.carryOut(h, order, o.epoch, lease)
	w.note(fmt.Sprintf("order %d", order.Kind), order.Task, h.id, order.Run, o.epoch, result)
	if w.chance("unanswered", order.Kind, order.Task, order.Run, o.epoch) < w.loseAnswers {
		o.core.OrderDone(w.now, order, executor.OrderUnanswered, executor.Answer{})
		return
	}
	o.core.OrderDone(w.now, order, result, executor.Answer{Clock: h.clock(w.now)})
}

func (w *world) carryOut(h *host, order executor.Order, epoch int64, lease time.Duration) executor.OrderResult {
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
	w.start(h, order)
	return executor.OrderDone
}

// start begins a run and checks what an observer would.
func (w *world) start(h *host, order executor.Order) {
	past := w.history(order.Task)
	if past.running > 0 {
		w.broken = append(w.broken, fmt.Sprintf("%v: %s runs twice\n%s", w.now, order.Task, w.story(order.Task)))
	}
	past.starts = append(past.starts, len(past.ends))
	w.judge(order.Task)
	past.running++
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
	var used executor.Room
	for _, other := range h.running {
		used.CPUMilli += other.needs.CPUMilli
	}
	if used.CPUMilli > h.capacity.CPUMilli {
		w.broken = append(w.broken, fmt.Sprintf("%v: %s is over its room", w.now, h.id))
	}
}

// judge notes what a task's runs have broken by beginning.
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

func (w *world) look(o *owner, l executor.Look) {
	h := w.hosts[l.Endpoint]
	switch {
	case h == nil || !h.hears(o.epoch):
		o.core.LookDone(w.now, l, executor.LookUnanswered, executor.Listed{})
		return
	case h.dead:
		o.core.LookDone(w.now, l, executor.LookGone, executor.Listed{})
		return
	case l.Fence < h.fence:
		o.core.LookDone(w.now, l, executor.LookFenced, executor.Listed{})
		return
	}
	h.fence = l.Fence
	h.hold(w.now, l.LeaseUntil)
	w.acknowledge(h, l.Acknowledged)
	if w.chance("look", l.Endpoint, o.epoch) < w.loseAnswers {
		o.core.LookDone(w.now, l, executor.LookUnanswered, executor.Listed{})
		return
	}
	listed := executor.Listed{Clock: h.clock(w.now), StartedMs: h.startedMs, Ended: slices.Clone(h.ended)}
	for _, r := range h.running {
		percent := 50
		if !r.hung {
			percent = min(99, int(100*(w.now-r.began)/max(step, r.ends-r.began)))
		}
		if h.percent > 0 {
			percent = h.percent
		}
		listed.Running = append(listed.Running, executor.ListedRun{Task: r.task, Run: r.number, Percent: percent})
	}
	delay := time.Duration(12*w.chance("answer", l.Endpoint, o.epoch)) * step
	w.answers = append(w.answers, lateAnswer{w.now + delay, o, l, listed, executor.LookAnswered})
}

// acknowledge lets an endpoint forget ends, and notes what they stand for from then on.
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

// deliver hands listings to their owners, which may have heard newer things
// meanwhile.
func (w *world) deliver() {
	waiting := w.answers
	w.answers = nil
	for _, a := range waiting {
		if a.at > w.now {
			w.answers = append(w.answers, a)
		} else if !a.to.stopped {
			a.to.core.LookDone(w.now, a.look, a.result, a.listed)
		}
	}
}

func (w *world) endpoints() {
	due := w.late
	w.late = nil
	for _, l := range due {
		if h := w.hosts[l.order.Endpoint]; l.at <= w.now && h != nil && !h.silent && h.startedMs == l.startedMs {
			result := w.carryOut(h, l.order, l.epoch, l.lease)
			w.note(fmt.Sprintf("late order %d", l.order.Kind), l.order.Task, h.id, l.order.Run, l.epoch, result)
		} else if l.at > w.now {
			w.late = append(w.late, l)
		}
	}
	for _, h := range w.hosts {
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
	if how == executor.EndedFailed {
		past.failed++
	}
}

// kill ends an incarnation and everything on it.
func (w *world) kill(h *host) {
	h.dead = true
	w.note("endpoint killed", "", h.id, 0, 0, 0)
	for name := range h.running {
		w.history(name).running--
	}
	clear(h.running)
}

func terms() routing.Terms {
	return routing.Terms{Attempts: 3, Stretch: 2, Slack: 5 * time.Second}
}

func jobOf(n int, steps ...jobs.Step) jobs.Job {
	return jobs.Job{ID: fmt.Sprintf("%016x", n), Steps: steps}
}

func (w *world) submit(o *owner, j jobs.Job) executor.Verdict {
	v, _ := o.core.Submit(w.now, j, executor.Accepting{Queue: "q", Terms: terms()}, 1)
	return v
}

func (w *world) state(o *owner, j jobs.Job) string {
	s, known := o.core.State(j.ID)
	if !known {
		return "unknown"
	}
	return s.String()
}
