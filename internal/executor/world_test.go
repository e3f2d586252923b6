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
	"cyclamenwheel/internal/standin/disruption"
)

// world simulates a pool's environment in memory: a journal that rejects older epochs, endpoints
// with fencing tokens, leases and ends, and one or more owners. Orders and answers can be lost
// or late.
type world struct {
	now       time.Duration
	seed      uint64
	journal   *journal
	endpoints map[string]*simEndpoint
	owners    []*owner
	late      []lateOrder
	answers   []lateAnswer
	// loseOrders and loseAnswers are the fractions of orders and answers that are lost;
	// lateOrders is the fraction of lost orders that are carried out later.
	loseOrders, loseAnswers, lateOrders float64
	// trace records what happened to tasks; it is printed for tasks that violate a contract.
	trace []traceEvent
	// violations lists the contract violations seen on the endpoints.
	violations []string
	// runs is the history of each task, by name.
	runs   map[string]*history
	limits executor.Limits
	// lengthOf, if set, returns how long a task takes on any endpoint.
	lengthOf func(jobs.TaskName) time.Duration
	// slowJournal makes the journal accept several batches at a time and answer them late.
	slowJournal bool
	// crashesEndpoint selects the tasks that crash the endpoints that start them, crashAfter their
	// start. An endpoint that has crashed is back after downFor, under another id if newIDs is
	// set.
	crashesEndpoint     func(jobs.TaskName) bool
	crashAfter, downFor time.Duration
	newIDs              bool
	newIDCount          int
	// heartbeatInterval is the interval at which endpoints write their service discovery entries, 0
	// for immediately. While storeDown is set, neither they nor owners can write.
	heartbeatInterval time.Duration
	storeDown         bool
	// account is the account that submits the jobs. It may have limitMilli running in this pool.
	account    string
	limitMilli int
	// ownersHandOver makes the owners of random scenarios hand their pool over when they end.
	ownersHandOver bool
	// budgets checks the disruption budgets of long-running steps.
	budgets disruption.Check
	// answersNameIncarnation makes answers to orders name the incarnation that they are from.
	answersNameIncarnation bool
	// waitingPolls makes polls wait for an end, as endpoints do; openPolls are those that wait.
	waitingPolls bool
	openPolls    []openPoll
}

type journal struct {
	epoch  int64
	newest map[string][]byte
}

type lateOrder struct {
	at    time.Duration
	order executor.Order
	epoch int64
	lease time.Duration
	// startedMs identifies the incarnation that the order was sent to. A later one does not get
	// it.
	startedMs int64
}

// lateAnswer is a listing that is in flight to an owner.
type lateAnswer struct {
	at     time.Duration
	to     *owner
	poll   executor.Poll
	listed executor.Listed
	result executor.PollResult
}

// traceEvent is something that happened to a task.
type traceEvent struct {
	at         time.Duration
	what, task string
	endpoint   string
	run        int
	epoch      int64
	result     executor.OrderResult
}

func (w *world) note(what, task, endpoint string, run int, epoch int64, result executor.OrderResult) {
	w.trace = append(w.trace, traceEvent{w.now, what, task, endpoint, run, epoch, result})
}

// traceOf returns the trace of a task as text.
func (w *world) traceOf(task string) string {
	var b strings.Builder
	for _, t := range w.trace {
		if t.task == task || t.task == "" {
			fmt.Fprintf(&b, "%v %s %s run %d epoch %d %v\n", t.at, t.what, t.endpoint, t.run, t.epoch, t.result)
		}
	}
	return b.String()
}

type owner struct {
	core    *executor.Core
	epoch   int64
	stopped bool
	// partitioned means that the owner can't reach the journal.
	partitioned bool
	// busy means that the owner receives answers but does nothing else.
	busy bool
	// frozenUntil is when a suspended owner continues; answers wait for it.
	frozenUntil time.Duration
	// lastProof is when the journal last confirmed the owner's epoch.
	lastProof time.Duration
	// batches are in flight to a slow journal, oldest first.
	batches []*batchInFlight
	flushed time.Duration
}

// batchInFlight is stored at one time and answered at a later one.
type batchInFlight struct {
	ready                    executor.Ready
	sent, storedAt, answered time.Duration
	stored                   bool
}

const (
	// maxBatchesInFlight and batchInterval are the values that the caller of a Core uses.
	maxBatchesInFlight = 4
	batchInterval      = 50 * time.Millisecond
	// maxJournalDelay is the longest time until a batch is stored, and from then until its
	// answer arrives.
	maxJournalDelay = 200 * time.Millisecond
)

// chance returns a pseudo-random number from 0 to 1 for an event at the current time. It depends
// on the event and not on the order in which a Core acts, so that a seed always gives the same
// run.
func (w *world) chance(what ...any) float64 {
	h := fnv.New64a()
	fmt.Fprint(h, w.seed, w.now, what)
	return float64(mixBits(h.Sum64())>>11) / (1 << 53)
}

// mixBits spreads the bits of hashes whose inputs are similar.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

const step = 10 * time.Millisecond

// entryTTL is how long service discovery lists an endpoint that has become unresponsive.
const entryTTL = 4500 * time.Millisecond

func testLimits() executor.Limits {
	return executor.Limits{Lease: 3 * time.Second, ProofAge: 4 * time.Second, KeepEnded: time.Minute, StopTimeout: 200 * time.Millisecond, LongestLease: longestLease,
		CapacityMaxAge: 4500 * time.Millisecond}
}

// establishedClock is the clock at the world's start of endpoints that have run for long. The clock of an
// incarnation that starts later starts anew.
const establishedClock = time.Hour

func newWorld(seed uint64, endpoints int) *world {
	w := &world{now: time.Second, seed: seed, limits: testLimits(), crashAfter: step, downFor: 2 * time.Second,
		journal: &journal{newest: map[string][]byte{}}, endpoints: map[string]*simEndpoint{}, runs: map[string]*history{}}
	for i := range endpoints {
		w.addEndpoint(fmt.Sprintf("i-%02d", i)).bootClock = establishedClock
	}
	return w
}

// takeOver makes a new owner claim the pool, as the shards package does.
func (w *world) takeOver() *owner {
	w.journal.epoch++
	w.note("takeover", "", "", 0, w.journal.epoch, 0)
	o := &owner{epoch: w.journal.epoch, lastProof: w.now}
	o.core = executor.New("pool", o.epoch, w.limits, w.now)
	o.core.SetWallClock(w.wall())
	var records []executor.Record
	for key, value := range w.journal.newest {
		records = append(records, executor.Record{Key: key, Value: value})
	}
	slices.SortFunc(records, func(a, b executor.Record) int { return slices.Compare([]byte(a.Key), []byte(b.Key)) })
	if err := o.core.Restore(records, w.now); err != nil {
		panic(err)
	}
	if w.account != "" {
		setAccountLimit(w, o, w.account, w.limitMilli, 1)
	}
	w.owners = append(w.owners, o)
	return o
}

// handOver makes an owner hand the pool over.
func (w *world) handOver(o *owner) {
	last := o.core.HandOver(w.now)
	if !o.stopped && !o.partitioned && o.epoch == w.journal.epoch && len(o.batches) == 0 {
		w.journal.newest[last.Key] = last.Value
	}
	o.stopped = true
}

func (w *world) wall() int64 { return 1_000_000 + w.now.Milliseconds() }

// discoveryList returns what service discovery lists.
func (w *world) discoveryList() []executor.EndpointInfo {
	var out []executor.EndpointInfo
	for _, h := range w.endpoints {
		switch {
		case h.entry != nil && w.now < h.entryUntil:
			out = append(out, *h.entry)
		case h.down && w.now-h.downAt > entryTTL:
		case h.terminated:
		case w.heartbeatInterval > 0:
			if h.entryWritten.ID != "" {
				out = append(out, h.entryWritten)
			}
		default:
			out = append(out, h.describe())
		}
	}
	slices.SortFunc(out, func(a, b executor.EndpointInfo) int { return slices.Compare([]byte(a.ID), []byte(b.ID)) })
	return out
}

// run advances the simulated time.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += step
		w.tickEndpoints()
		w.writeEntries()
		w.answerOpenPolls()
		w.deliverListings()
		w.observeBudgetedTasks()
		for _, o := range w.owners {
			if !o.stopped && !o.busy && w.now >= o.frozenUntil {
				w.round(o)
			}
		}
	}
}

// round runs one iteration of an owner's loop.
func (w *world) round(o *owner) {
	c := o.core
	c.SetWallClock(w.wall())
	c.ObserveEndpoints(w.now, w.discoveryList())
	c.Tick(w.now)
	c.Decide(w.now)
	for _, e := range c.TakeEvents() {
		if e.Task != "" || e.Kind == executor.EventIncarnationEnded {
			w.note(string(e.Kind)+" ("+e.Reason+")", e.Task, e.Endpoint, e.Run, o.epoch, 0)
		}
	}
	if c.Fenced() {
		o.stopped = true
		return
	}
	if w.now-o.lastProof < w.limits.ProofAge {
		for _, p := range c.DuePolls(w.now) {
			w.poll(o, p)
		}
		for _, order := range c.TakeStops() {
			w.send(o, order, 0)
		}
		w.sendStarts(o)
	}
	w.flush(o)
}

// flush appends a batch, or stops an owner whose epoch is no longer the newest.
func (w *world) flush(o *owner) {
	if o.partitioned || w.storeDown {
		return
	}
	if o.epoch < w.journal.epoch {
		o.stopped = true
		return
	}
	if w.slowJournal {
		w.flushPipelined(o)
		return
	}
	o.lastProof = w.now
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

// flushPipelined advances the batches in flight and sends another. They are stored in order and
// answered some time later; a batch is released only after the answers to all earlier ones.
func (w *world) flushPipelined(o *owner) {
	for _, b := range o.batches {
		if !b.stored && w.now >= b.storedAt {
			b.stored = true
			w.store(b.ready)
		}
	}
	for len(o.batches) > 0 && o.batches[0].stored && w.now >= o.batches[0].answered {
		b := o.batches[0]
		o.batches = o.batches[1:]
		o.lastProof = max(o.lastProof, b.sent)
		w.release(o, b.ready)
	}
	if len(o.batches) == maxBatchesInFlight || len(o.batches) > 0 && w.now-o.flushed < batchInterval {
		return
	}
	if !o.core.Dirty() && len(o.batches) > 0 {
		return
	}
	ready := o.core.Ready(w.now)
	if ready.Empty() {
		o.lastProof = w.now
		return
	}
	b := &batchInFlight{ready: ready, sent: w.now, storedAt: w.now + time.Duration(w.chance("store", o.epoch, w.now)*float64(maxJournalDelay))}
	if n := len(o.batches); n > 0 {
		b.storedAt = max(b.storedAt, o.batches[n-1].storedAt)
	}
	b.answered = b.storedAt + time.Duration(w.chance("answer", o.epoch, w.now)*float64(maxJournalDelay))
	o.batches, o.flushed = append(o.batches, b), w.now
}

func (w *world) send(o *owner, order executor.Order, lease time.Duration) {
	h := w.endpoints[order.Endpoint]
	if h == nil || !h.reachableBy(o.epoch) || w.chance("lost", order.Kind, order.Task, order.Run, o.epoch) < w.loseOrders {
		if w.chance("late", order.Kind, order.Task, order.Run, o.epoch) < w.lateOrders {
			at := w.now + time.Duration(5000*w.chance("delay", order.Kind, order.Task, order.Run, o.epoch))*time.Millisecond
			l := lateOrder{at: at, order: order, epoch: o.epoch, lease: lease}
			if h != nil {
				l.startedMs = h.startedMs
			}
			w.late = append(w.late, l)
		}
		if h != nil && h.down && order.Kind == executor.OrderStart {
			w.history(order.Task).lostRuns++
		}
		o.core.OrderDone(w.now, order, executor.OrderUnanswered, executor.Answer{})
		return
	}
	result := w.carryOut(h, order, o.epoch, lease, false)
	w.note(fmt.Sprintf("order %d", order.Kind), order.Task, h.id, order.Run, o.epoch, result)
	if w.chance("unanswered", order.Kind, order.Task, order.Run, o.epoch) < w.loseAnswers {
		o.core.OrderDone(w.now, order, executor.OrderUnanswered, executor.Answer{})
		return
	}
	answer := executor.Answer{Clock: h.clock(w.now)}
	if w.answersNameIncarnation {
		answer.StartedMs = h.startedMs
	}
	o.core.OrderDone(w.now, order, result, answer)
}

func (w *world) poll(o *owner, p executor.Poll) {
	h := w.endpoints[p.Endpoint]
	switch {
	case h == nil || !h.reachableBy(o.epoch):
		w.failPoll(o, p)
		return
	case h.terminated:
		o.core.PollDone(w.now, p, executor.PollOtherIncarnation, executor.Listed{})
		return
	case p.Fence < h.fence:
		o.core.PollDone(w.now, p, executor.PollFenced, executor.Listed{})
		return
	}
	h.fence = p.Fence
	h.polls++
	h.extendLease(w.now, p.LeaseUntil)
	w.acknowledge(h, p.Acknowledged)
	if h.losesPollAnswers || w.chance("look", p.Endpoint, o.epoch) < w.loseAnswers {
		w.failPoll(o, p)
		return
	}
	if w.waitingPolls && p.Wait > 0 {
		w.openPolls = append(w.openPolls, openPoll{o, p, h.startedMs, h.number, w.now + p.Wait})
		return
	}
	w.answerPoll(o, p, h)
}

// answerPoll answers a poll with what the endpoint has now.
func (w *world) answerPoll(o *owner, p executor.Poll, h *simEndpoint) {
	listed := executor.Listed{Clock: h.clock(w.now), StartedMs: h.startedMs, Ended: slices.Clone(h.ended[:min(maxListedEnds, len(h.ended))])}
	for _, r := range h.running {
		percent := 50
		if !r.stalled {
			percent = min(99, int(100*(w.now-r.began)/max(step, r.ends-r.began)))
		}
		if w.budgets.Watches(r.task) {
			percent = min(100, int(100*(w.now-r.began)/serviceStartup))
		}
		if h.percent > 0 {
			percent = h.percent
		}
		listed.Running = append(listed.Running, executor.ListedRun{Task: r.task, Run: r.number, Percent: percent})
	}
	delay := time.Duration(12*w.chance("answer", p.Endpoint, o.epoch)) * step
	w.answers = append(w.answers, lateAnswer{w.now + delay, o, p, listed, executor.PollAnswered})
}

// deliverListings passes listings to their owners, which may have received newer ones meanwhile.
func (w *world) deliverListings() {
	waiting := w.answers
	w.answers = nil
	for _, a := range waiting {
		if a.at > w.now || a.to.frozenUntil > w.now {
			w.answers = append(w.answers, a)
		} else if !a.to.stopped {
			a.to.core.PollDone(w.now, a.poll, a.result, a.listed)
		}
	}
}

func terms() routing.Terms {
	return routing.Terms{Attempts: 3, SlowdownFactor: 2, Slack: 5 * time.Second}
}

func jobOf(n int, steps ...jobs.Step) jobs.Job {
	return jobs.Job{ID: fmt.Sprintf("%016x", n), Steps: steps}
}

func (w *world) submit(o *owner, j jobs.Job) executor.Verdict {
	w.watchBudgets(j)
	v, _ := o.core.Submit(w.now, j, executor.Accepting{Queue: "q", Terms: terms(), Account: w.account}, 1)
	return v
}

func (w *world) state(o *owner, j jobs.Job) string {
	s, known := o.core.State(j.ID)
	if !known {
		return "unknown"
	}
	return s.String()
}
