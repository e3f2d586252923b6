package wire

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Endpoint is one incarnation of an endpoint. The spec of a task is how many
// milliseconds it works.
type Endpoint struct {
	p        *Platform
	id       string
	pool     string
	instance string
	listener net.Listener
	server   *http.Server
	// born is when the incarnation started; its clock showed clockAtBirth then.
	born         time.Time
	clockAtBirth time.Duration
	// crashed incarnations answer nothing.
	crashed bool
	// cpu is the processor room, rooms what it was before; seq numbers the entries.
	cpu   int
	rooms []pastRoom
	seq   int

	fence   int64
	lease   time.Duration
	running map[string]*taskRun
	highest map[string]int
	ended   []taskEnd
	number  int64
	gone    bool
}

type taskRun struct {
	number int
	began  time.Time
	work   time.Duration
	stop   bool
}

type taskEnd struct {
	number     int64
	task       string
	run        int
	how, saved string
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
	// stopTime is how long a stop takes.
	stopTime = 50 * time.Millisecond
	// entryLag is how long service discovery shows an incarnation that has restarted
	// under its id.
	entryLag = 400 * time.Millisecond
	// latestClock bounds what an incarnation's clock shows as it starts.
	latestClock = time.Hour
)

// startEndpointLocked starts the endpoint of an instance.
func (p *Platform) startEndpointLocked(instance, pool string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	id := p.instances[instance].former
	if id == "" || !p.keepIDs {
		id = p.newIDLocked()
	}
	e := p.incarnationLocked(id, instance, pool, listener)
	p.instances[instance].endpoint = id
	e.registerLocked()
	return nil
}

func (p *Platform) newIDLocked() string {
	p.incarnations++
	return fmt.Sprintf("i-%06d", p.incarnations)
}

// restartLocked ends an incarnation without notice and starts another under its id and
// address, which holds and knows nothing of before.
func (e *Endpoint) restartLocked() error {
	e.crashed = true
	e.dropRunsLocked()
	if err := e.server.Close(); err != nil {
		return err
	}
	next, err := e.nextLocked(e.id)
	if err != nil {
		return err
	}
	time.AfterFunc(entryLag, func() {
		e.p.mu.Lock()
		defer e.p.mu.Unlock()
		if !next.overLocked() {
			next.registerLocked()
		}
	})
	return nil
}

// nextLocked serves the incarnation after one that has ended, at its address.
func (e *Endpoint) nextLocked(id string) (*Endpoint, error) {
	listener, err := net.Listen("tcp", e.listener.Addr().String())
	if err != nil {
		return nil, err
	}
	return e.p.incarnationLocked(id, e.instance, e.pool, listener), nil
}

// incarnationLocked serves a new incarnation.
func (p *Platform) incarnationLocked(id, instance, pool string, listener net.Listener) *Endpoint {
	e := &Endpoint{p: p, id: id, pool: pool, instance: instance, listener: listener, born: time.Now(),
		clockAtBirth: time.Duration(p.rng.Int64N(int64(latestClock))), running: map[string]*taskRun{}, highest: map[string]int{}, cpu: endpointCPU}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /cyclamenwheel/run-start", e.handle(e.start))
	mux.HandleFunc("POST /cyclamenwheel/run-stop", e.handle(e.stopRun))
	mux.HandleFunc("POST /cyclamenwheel/hold", e.hold)
	e.server = &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(listener) }() // ends with Close
	p.endpoints[e.id] = e
	go e.beat()
	return e
}

// endLocked ends an incarnation at once, and all that runs on it.
func (e *Endpoint) endLocked() {
	e.gone = true
	e.dropRunsLocked()
	delete(e.p.endpoints, e.id)
	e.p.putKeyed("keyed.servers", e.id, nil)
	go e.server.Close()
}

// dropRunsLocked takes back what runs.
func (e *Endpoint) dropRunsLocked() {
	for name := range e.running {
		e.p.history(name).running--
	}
	clear(e.running)
}

func (e *Endpoint) clock() time.Duration { return e.clockAtBirth + time.Since(e.born) }

// handle checks incarnation and fence, and answers with the clock.
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

// statusNoAnswer stands for a connection that breaks without an answer.
const statusNoAnswer = 0

func (e *Endpoint) check(r *http.Request, in order) (int, string) {
	if e.crashed {
		return statusNoAnswer, ""
	}
	if want := r.Header.Get("Cyclamenwheel-Expect-Instance"); e.gone || want != "" && want != e.id {
		return http.StatusMisdirectedRequest, ""
	}
	if in.Fence < e.fence {
		return http.StatusConflict, "fence"
	}
	e.fence = in.Fence
	e.settle()
	return http.StatusOK, ""
}

func (e *Endpoint) start(in order) (int, string) {
	if run := e.running[in.Task]; run != nil && run.number == in.Run {
		return http.StatusOK, ""
	}
	if in.Run <= e.highest[in.Task] {
		return http.StatusConflict, "old"
	}
	if lease := time.Duration(in.DeadlineMs) * time.Millisecond; lease > e.lease {
		e.lease = lease
	}
	if e.lease <= e.clock() {
		return http.StatusConflict, "late"
	}
	ms, err := strconv.Atoi(in.Spec)
	if err != nil && in.Spec != SpecCrashes {
		return http.StatusBadRequest, ""
	}
	if in.Spec == SpecCrashes {
		ms = int(time.Hour.Milliseconds())
		e.startCrashingLocked(in.Task)
	}
	e.running[in.Task] = &taskRun{number: in.Run, began: time.Now(), work: time.Duration(ms) * time.Millisecond}
	e.p.began(in.Task, e)
	return http.StatusOK, ""
}

func (e *Endpoint) stopRun(in order) (int, string) {
	if run := e.running[in.Task]; run != nil && run.number == in.Run {
		run.stop, run.work = true, time.Since(run.began)+stopTime
		return http.StatusOK, ""
	}
	e.highest[in.Task] = max(e.highest[in.Task], in.Run)
	return http.StatusOK, ""
}

// settle ends what is through or has lost its lease.
func (e *Endpoint) settle() {
	lapsed := e.clock() > e.lease
	for name, run := range e.running {
		switch {
		case lapsed:
			e.endRun(name, run, "lapsed")
		case time.Since(run.began) < run.work:
		case run.stop:
			e.endRun(name, run, "stopped")
		default:
			e.endRun(name, run, "done")
		}
	}
}

func (e *Endpoint) endRun(name string, run *taskRun, how string) {
	delete(e.running, name)
	e.highest[name] = max(e.highest[name], run.number)
	e.number++
	e.ended = append(e.ended, taskEnd{number: e.number, task: name, run: run.number, how: how})
	e.p.history(name).running--
}

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
		e.lease = max(e.lease, time.Duration(in.DeadlineMs)*time.Millisecond)
		e.acknowledge(in.AckCursor)
		if len(e.ended) > 0 || !time.Now().Before(deadline) || r.Context().Err() != nil {
			body := e.listing()
			e.p.mu.Unlock()
			reply(w, http.StatusOK, body)
			return
		}
		e.p.mu.Unlock()
		time.Sleep(pollStep)
	}
}

// acknowledge forgets ends. A task whose good end is forgotten must not start
// again.
func (e *Endpoint) acknowledge(upTo int64) {
	for len(e.ended) > 0 && e.ended[0].number <= upTo {
		if e.ended[0].how == "done" {
			e.p.history(e.ended[0].task).done = true
		}
		e.ended = e.ended[1:]
	}
}

func (e *Endpoint) listing() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for name, run := range e.running {
		percent := min(99, int(100*time.Since(run.began)/(run.work+1)))
		running = append(running, []any{name, run.number, "", percent, 0})
	}
	for _, end := range e.ended {
		ended = append(ended, []any{end.number, end.task, end.run, end.how, end.saved})
	}
	return map[string]any{"clockMs": e.clock().Milliseconds(), "born": e.born.UnixMilli(), "running": running, "ended": ended}
}
