package wire

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Endpoint is one incarnation of an endpoint. The spec of a task is its duration in
// milliseconds.
type Endpoint struct {
	p        *Platform
	id       string
	pool     string
	instance string
	listener net.Listener
	server   *http.Server
	// startedAt is the start of the incarnation; its clock showed clockAtStart then.
	startedAt    time.Time
	clockAtStart time.Duration
	// crashed incarnations break every connection without an answer.
	crashed bool
	// cpu is the CPU capacity in thousandths of a core and pastCapacities its earlier values;
	// seq numbers the entries in service discovery.
	cpu            int
	pastCapacities []pastCapacity
	seq            int

	fence         int64
	lease         time.Duration
	running       map[string]*taskRun
	highestRun    map[string]int
	ended         []taskEnd
	lastEndNumber int64
	// lastLapsedEnd is the number of the newest end of a run whose lease expired, 0 for none.
	lastLapsedEnd int64
	removed       bool
}

type taskRun struct {
	number    int
	startedAt time.Time
	duration  time.Duration
	stopping  bool
	// serves is set for a task that runs until its job is cancelled.
	serves bool
}

type taskEnd struct {
	number              int64
	task                string
	run                 int
	outcome, checkpoint string
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Fence      int64  `json:"fence"`
	AckCursor  int64  `json:"ackCursor"`
	WaitMs     int64  `json:"waitMs"`
}

const (
	// stopDuration is the time a stopped run takes to end.
	stopDuration = 50 * time.Millisecond
	// restartEntryDelay is how long service discovery still shows the previous incarnation after
	// a restart under the same id.
	restartEntryDelay = 400 * time.Millisecond
	// maxInitialClock bounds the clock value that an endpoint starts with. Under an id that was in use,
	// the clock starts anew with restartedClock.
	maxInitialClock = time.Hour
	restartedClock  = 10 * time.Millisecond
	// longestLease is the length to which longer leases are shortened.
	longestLease = 10 * time.Second
	// maxListedEnds is how many ends one answer lists.
	maxListedEnds = 500
)

// startEndpointLocked starts an endpoint on an instance.
func (p *Platform) startEndpointLocked(instance, pool string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	id := p.instances[instance].previousEndpoint
	if id == "" || !p.keepIDs {
		id = p.newIDLocked()
	}
	e := p.serveIncarnationLocked(id, instance, pool, listener)
	p.instances[instance].endpoint = id
	e.registerLocked()
	return nil
}

func (p *Platform) newIDLocked() string {
	p.incarnations++
	return fmt.Sprintf("i-%06d", p.incarnations)
}

// restartLocked ends an incarnation without notice and starts another under its id and address,
// without any runs, fence or lease of the previous one.
func (e *Endpoint) restartLocked() error {
	e.crashed = true
	e.dropRunsLocked()
	if err := e.server.Close(); err != nil {
		return err
	}
	next, err := e.startNextIncarnationLocked(e.id)
	if err != nil {
		return err
	}
	time.AfterFunc(restartEntryDelay, func() {
		e.p.mu.Lock()
		defer e.p.mu.Unlock()
		if !next.hasEndedLocked() {
			next.registerLocked()
		}
	})
	return nil
}

// startNextIncarnationLocked starts an incarnation at the address of one that has ended.
func (e *Endpoint) startNextIncarnationLocked(id string) (*Endpoint, error) {
	listener, err := net.Listen("tcp", e.listener.Addr().String())
	if err != nil {
		return nil, err
	}
	next := e.p.serveIncarnationLocked(id, e.instance, e.pool, listener)
	next.clockAtStart = restartedClock
	return next, nil
}

// serveIncarnationLocked starts a new incarnation and its HTTP server.
func (p *Platform) serveIncarnationLocked(id, instance, pool string, listener net.Listener) *Endpoint {
	e := &Endpoint{p: p, id: id, pool: pool, instance: instance, listener: listener, startedAt: time.Now(),
		clockAtStart: time.Duration(p.rng.Int64N(int64(maxInitialClock))), running: map[string]*taskRun{}, highestRun: map[string]int{}, cpu: endpointCPU}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /cyclamenwheel/run-start", e.handle(e.start))
	mux.HandleFunc("POST /cyclamenwheel/run-stop", e.handle(e.stopRun))
	mux.HandleFunc("POST /cyclamenwheel/hold", e.hold)
	e.server = &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(listener) }() // ends with Close
	p.endpoints[e.id] = e
	go e.sendHeartbeats()
	return e
}

// endLocked removes the endpoint at once, with every run on it.
func (e *Endpoint) endLocked() {
	e.removed = true
	e.dropRunsLocked()
	delete(e.p.endpoints, e.id)
	e.p.appendKeyed("keyed.servers", e.id, nil)
	go e.server.Close()
}

// dropRunsLocked drops all running tasks without reporting an end.
func (e *Endpoint) dropRunsLocked() {
	for name, run := range e.running {
		e.p.history(name).running--
		e.recordRunEndLocked(name, run)
	}
	clear(e.running)
}

func (e *Endpoint) clock() time.Duration { return e.clockAtStart + time.Since(e.startedAt) }

// handle decodes an order, checks incarnation and fence, and includes the clock in the answer.
func (e *Endpoint) handle(f func(order) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in order
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		e.p.mu.Lock()
		status, reason := e.check(r, in)
		if status == http.StatusOK {
			status, reason = f(in)
		}
		clock := e.clock().Milliseconds()
		lost := e.p.rng.Float64() < e.p.faults.LostOrders
		e.p.mu.Unlock()
		if lost || status == statusNoAnswer {
			panic(http.ErrAbortHandler)
		}
		reply(w, status, map[string]any{"clockMs": clock, "reason": reason})
	}
}

// statusNoAnswer stands for a connection that is closed without an answer.
const statusNoAnswer = 0

// check rejects orders for another incarnation or with an older fencing token, and ends runs
// that are due to end.
func (e *Endpoint) check(r *http.Request, in order) (int, string) {
	if e.crashed {
		return statusNoAnswer, ""
	}
	if want := r.Header.Get("Cyclamenwheel-Expect-Instance"); e.removed || want != "" && want != e.id {
		return http.StatusMisdirectedRequest, ""
	}
	if in.Fence < e.fence {
		return http.StatusConflict, "fence"
	}
	e.fence = in.Fence
	e.endFinishedRuns()
	return http.StatusOK, ""
}

func (e *Endpoint) start(in order) (int, string) {
	if run := e.running[in.Task]; run != nil && run.number == in.Run {
		return http.StatusOK, ""
	}
	if in.Run <= e.highestRun[in.Task] {
		return http.StatusConflict, "old"
	}
	e.extendLease(in)
	if e.lease <= e.clock() {
		return http.StatusConflict, "late"
	}
	run := &taskRun{number: in.Run, startedAt: time.Now(), duration: time.Hour, serves: in.Spec == SpecServes}
	switch in.Spec {
	case SpecServes:
	case SpecCrashes:
		e.recordCrashingStartLocked(in.Task)
	default:
		ms, err := strconv.Atoi(in.Spec)
		if err != nil {
			return http.StatusBadRequest, ""
		}
		run.duration = time.Duration(ms) * time.Millisecond
	}
	e.running[in.Task] = run
	e.p.recordStart(in.Task, e)
	return http.StatusOK, ""
}

// extendLease extends the lease of all runs to the time that an order asks for, for longestLease at most.
func (e *Endpoint) extendLease(in order) {
	e.lease = max(e.lease, min(time.Duration(in.DeadlineMs)*time.Millisecond, e.clock()+longestLease))
}

func (e *Endpoint) stopRun(in order) (int, string) {
	if run := e.running[in.Task]; run != nil && run.number == in.Run {
		e.checkBudgetLocked(in.Task, run)
		run.stopping, run.duration = true, time.Since(run.startedAt)+stopDuration
		return http.StatusOK, ""
	}
	e.highestRun[in.Task] = max(e.highestRun[in.Task], in.Run)
	return http.StatusOK, ""
}

// endFinishedRuns ends runs that have finished or whose lease has expired.
func (e *Endpoint) endFinishedRuns() {
	leaseExpired := e.clock() > e.lease
	for name, run := range e.running {
		switch {
		case leaseExpired:
			e.endRun(name, run, "lapsed")
		case time.Since(run.startedAt) < run.duration:
		case run.stopping:
			e.endRun(name, run, "stopped")
		default:
			e.endRun(name, run, "done")
		}
	}
}

func (e *Endpoint) endRun(name string, run *taskRun, outcome string) {
	delete(e.running, name)
	e.recordRunEndLocked(name, run)
	e.highestRun[name] = max(e.highestRun[name], run.number)
	e.lastEndNumber++
	e.ended = append(e.ended, taskEnd{number: e.lastEndNumber, task: name, run: run.number, outcome: outcome})
	if outcome == "lapsed" {
		e.lastLapsedEnd = e.lastEndNumber
	}
	e.p.history(name).running--
}

// hold answers a long poll: it renews the lease and waits until a run has ended or the wait time
// is over.
func (e *Endpoint) hold(w http.ResponseWriter, r *http.Request) {
	var in order
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.Now().Add(time.Duration(in.WaitMs) * time.Millisecond)
	for {
		e.p.mu.Lock()
		status, reason := e.check(r, in)
		if status != http.StatusOK {
			clock := e.clock().Milliseconds()
			e.p.mu.Unlock()
			if status == statusNoAnswer {
				panic(http.ErrAbortHandler)
			}
			reply(w, status, map[string]any{"clockMs": clock, "reason": reason})
			return
		}
		e.extendLease(in)
		e.acknowledge(in.AckCursor)
		if len(e.ended) > 0 || !time.Now().Before(deadline) || r.Context().Err() != nil {
			body := e.listing()
			e.p.mu.Unlock()
			reply(w, http.StatusOK, body)
			return
		}
		e.p.mu.Unlock()
		time.Sleep(pollInterval)
	}
}

// acknowledge drops ended runs up to a number. A task that is dropped as done must not start
// again, unless its end is void: a lease has expired on the endpoint between it and its acknowledgement.
func (e *Endpoint) acknowledge(upTo int64) {
	for len(e.ended) > 0 && e.ended[0].number <= upTo {
		if e.ended[0].outcome == "done" && e.ended[0].number > e.lastLapsedEnd {
			e.p.history(e.ended[0].task).done = true
		}
		e.ended = e.ended[1:]
	}
}

// listing returns the running tasks and the ends that are not acknowledged yet.
func (e *Endpoint) listing() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for name, run := range e.running {
		percent := min(99, int(100*time.Since(run.startedAt)/(run.duration+1)))
		if run.serves {
			percent = min(100, int(100*time.Since(run.startedAt)/serveStartup))
		}
		running = append(running, []any{name, run.number, "", percent, 0})
	}
	for _, end := range e.ended[:min(maxListedEnds, len(e.ended))] {
		ended = append(ended, []any{end.number, end.task, end.run, end.outcome, end.checkpoint})
	}
	return map[string]any{"clockMs": e.clock().Milliseconds(), "born": e.startedAt.UnixMilli(), "running": running, "ended": ended}
}
