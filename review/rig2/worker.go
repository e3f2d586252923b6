package rig2

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Bounds of the small sites.
const (
	holdMax     = 10 * time.Second
	stopTimeout = 400 * time.Millisecond
	heartbeat   = 1500 * time.Millisecond
	gangTimeout = 3 * time.Second
	endsPerList = 500
	pollEvery   = 5 * time.Millisecond
	tickEvery   = 10 * time.Millisecond
	warmUp      = 500 * time.Millisecond
	// entryLag is how long the store still shows the entry of before when a worker starts again
	// under its id, lag_ms of the site.
	entryLag = 800 * time.Millisecond
)

// Run is one run of a task on a worker, as the worker saw it.
type Run struct {
	Task         string
	Number       int
	Worker, Pool string
	Began, Ended time.Time
	// How is empty while the run goes on; Acked is set once its end has been taken note of.
	How   string
	Acked time.Time

	left    time.Duration
	lasts   bool
	gang    bool
	stopAt  time.Time
	endedAs int64
}

// Worker is a worker that doesn't guard its capacity.
type Worker struct {
	failsAll bool
	// cut is set while the worker is cut off from all nodes; it runs on. left is set once it has
	// left its machine.
	cut, left bool

	p                 *Platform
	id, machine, pool string
	labels            []string
	addr              string
	server            *http.Server
	startedAt         time.Time
	offset            time.Duration
	firstBeat         time.Duration
	fence             int64
	lease             time.Duration
	running           map[string]*Run
	highest           map[string]int
	runs              []*Run
	ended             []*Run
	lastEnd           int64
}

// AddWorkers starts workers of a pool, one on each of as many machines.
func (p *Platform) AddWorkers(ip, pool string, count int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range count {
		m := p.addMachine(ip, pool)
		if err := p.startWorker(m); err != nil {
			return err
		}
	}
	return nil
}

// startWorker starts a new worker on a machine.
func (p *Platform) startWorker(m *machine) error {
	addr := m.ip + ":0"
	if m.nextID != "" {
		addr = m.nextAddr
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	n := len(p.workers)
	w := &Worker{p: p, id: fmt.Sprintf("i-7f3a91%02x", n), machine: m.name, pool: m.pool, labels: m.labels(), addr: l.Addr().String(),
		startedAt: time.Now(), offset: time.Duration(100+37*n) * time.Second, running: map[string]*Run{}, highest: map[string]int{}}
	if m.nextID != "" {
		// Its counts start anew, and so does its clock.
		w.id, m.nextID, w.offset, w.firstBeat = m.nextID, "", time.Second, entryLag
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /cyclamenwheel/run-start", w.order(w.start))
	mux.HandleFunc("POST /cyclamenwheel/run-stop", w.order(w.stop))
	mux.HandleFunc("POST /cyclamenwheel/hold", w.hold)
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(l) }()
	p.workers = append(p.workers, w)
	m.worker = w
	go w.beat(n)
	go w.live()
	return nil
}

// Workers returns the workers of a pool that are up.
func (p *Platform) Workers(pool string) []*Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*Worker
	for _, w := range p.workers {
		if w.pool == pool && !w.left {
			out = append(out, w)
		}
	}
	return out
}

// SetFailsAll makes the worker fail all that it starts, or no longer.
func (w *Worker) SetFailsAll(fails bool) {
	w.p.mu.Lock()
	defer w.p.mu.Unlock()
	w.failsAll = fails
}

// ID is the worker's id.
func (w *Worker) ID() string { return w.id }

func capacity() map[string]int {
	return map[string]int{"cpu": 64000, "memMb": 131072, "gpu": 0}
}

func (w *Worker) clock() time.Duration { return w.offset + time.Since(w.startedAt) }

func (w *Worker) beat(n int) {
	time.Sleep(w.firstBeat)
	for seq := 1; !w.hasLeft(); seq++ {
		w.p.Put("keyed.servers", w.id, map[string]any{"service": w.pool, "addr": w.addr, "zone": "colombo-a", "version": "1.4", "slots": 8,
			"state": "ready", "coldLeftMs": 0, "seq": seq, "born": w.startedAt.UnixMilli(), "clockMs": w.clock().Milliseconds(),
			"capacity": capacity(), "labels": w.labels, "machine": w.machine})
		time.Sleep(heartbeat + time.Duration(n)*time.Millisecond)
	}
}

type orderIn struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Fence      int64  `json:"fence"`
	AckCursor  int64  `json:"ackCursor"`
	WaitMs     int64  `json:"waitMs"`
}

// SetCut cuts the worker off from all nodes, or heals the cut.
func (w *Worker) SetCut(cut bool) {
	w.p.mu.Lock()
	defer w.p.mu.Unlock()
	w.cut = cut
}

func (w *Worker) hasLeft() bool {
	w.p.mu.Lock()
	defer w.p.mu.Unlock()
	return w.left
}

// crossed waits while the worker is cut off. What is held up is lost if its sender resets the
// connection meanwhile.
func (w *Worker) crossed(r *http.Request) bool {
	for {
		w.p.mu.Lock()
		cut := w.cut
		w.p.mu.Unlock()
		if r.Context().Err() != nil {
			return false
		}
		if !cut {
			return true
		}
		time.Sleep(pollEvery)
	}
}

func (w *Worker) order(f func(orderIn) (int, string)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var in orderIn
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if !w.crossed(r) {
			return
		}
		w.p.mu.Lock()
		status, reason := w.check(r, in)
		if status == http.StatusOK {
			status, reason = f(in)
		}
		clock := w.clock().Milliseconds()
		w.p.mu.Unlock()
		out := map[string]any{"clockMs": clock, "born": w.startedAt.UnixMilli()}
		if reason != "" {
			out["reason"] = reason
		}
		if w.crossed(r) {
			answer(rw, status, out)
		}
	}
}

func (w *Worker) check(r *http.Request, in orderIn) (int, string) {
	if want := r.Header.Get("Cyclamenwheel-Expect-Instance"); want != "" && want != w.id {
		return http.StatusMisdirectedRequest, ""
	}
	if in.Fence < w.fence {
		return http.StatusConflict, "fence"
	}
	w.fence = in.Fence
	return http.StatusOK, ""
}

func (w *Worker) grant(deadlineMs int64) {
	w.lease = max(w.lease, min(time.Duration(deadlineMs)*time.Millisecond, w.clock()+holdMax))
}

func (w *Worker) start(in orderIn) (int, string) {
	w.tick()
	if run := w.running[in.Task]; run != nil && run.Number == in.Run {
		w.grant(in.DeadlineMs)
		return http.StatusOK, ""
	}
	if in.Run <= w.highest[in.Task] || w.running[in.Task] != nil {
		w.grant(in.DeadlineMs)
		return http.StatusConflict, "old"
	}
	w.grant(in.DeadlineMs)
	if w.lease <= w.clock() {
		return http.StatusConflict, "late"
	}
	run := &Run{Task: in.Task, Number: in.Run, Worker: w.id, Pool: w.pool, Began: time.Now()}
	job, step, known := w.p.stepOf(in.Task)
	if known {
		run.left, run.lasts, run.gang = job.Steps[step].work, job.Steps[step].LongRunning, job.Steps[step].Gang
	}
	w.running[in.Task] = run
	w.runs = append(w.runs, run)
	if w.failsAll {
		w.end(run, "failed")
	}
	return http.StatusOK, ""
}

func (w *Worker) stop(in orderIn) (int, string) {
	w.tick()
	if run := w.running[in.Task]; run != nil && run.Number == in.Run {
		if run.stopAt.IsZero() {
			run.stopAt = time.Now().Add(stopTimeout / 4)
		}
		return http.StatusOK, ""
	}
	w.highest[in.Task] = max(w.highest[in.Task], in.Run)
	return http.StatusOK, ""
}

// live ends runs as their time comes.
func (w *Worker) live() {
	for !w.hasLeft() {
		time.Sleep(tickEvery)
		w.p.mu.Lock()
		w.tick()
		w.p.mu.Unlock()
	}
}

func (w *Worker) tick() {
	if w.left {
		return
	}
	now := time.Now()
	lapsed := w.clock() > w.lease
	for _, run := range w.running {
		age := now.Sub(run.Began)
		switch {
		case lapsed:
			w.end(run, "lapsed")
		case !run.stopAt.IsZero() && now.After(run.stopAt):
			w.end(run, "stopped")
		case run.gang:
			w.p.tickGang(run, age)
		case !run.lasts && age >= run.left:
			w.end(run, "done")
		}
	}
}

func (w *Worker) end(run *Run, how string) {
	if run.How != "" {
		return
	}
	run.How, run.Ended = how, time.Now()
	delete(w.running, run.Task)
	w.highest[run.Task] = max(w.highest[run.Task], run.Number)
	w.lastEnd++
	run.endedAs = w.lastEnd
	w.ended = append(w.ended, run)
	if run.gang && how != "done" {
		w.p.breakGang(run)
	}
}

// tickGang lets a gang work while all its members are present, and ends a member that has waited
// for too long.
func (p *Platform) tickGang(run *Run, age time.Duration) {
	members := p.gangOf(run)
	job, step, _ := p.stepOf(run.Task)
	if len(members) < job.Steps[step].Count {
		if age > gangTimeout {
			p.workerOf(run).end(run, "alone")
		}
		return
	}
	last := run.Began
	for _, m := range members {
		if m.Began.After(last) {
			last = m.Began
		}
	}
	if time.Since(last) >= run.left {
		for _, m := range members {
			p.workerOf(m).end(m, "done")
		}
	}
}

// breakGang ends the other members of a gang of which one has ended.
func (p *Platform) breakGang(run *Run) {
	for _, m := range p.gangOf(run) {
		p.workerOf(m).end(m, "broken")
	}
}

// gangOf returns the running members of the run's gang.
func (p *Platform) gangOf(run *Run) []*Run {
	prefix := run.Task[:strings.LastIndex(run.Task, ".")+1]
	var out []*Run
	for _, w := range p.workers {
		for task, r := range w.running {
			if strings.HasPrefix(task, prefix) && r.Number == run.Number {
				out = append(out, r)
			}
		}
	}
	return out
}

func (p *Platform) workerOf(run *Run) *Worker {
	for _, w := range p.workers {
		if w.id == run.Worker && w.running[run.Task] == run {
			return w
		}
	}
	return nil
}

func (w *Worker) hold(rw http.ResponseWriter, r *http.Request) {
	var in orderIn
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if !w.crossed(r) {
		return
	}
	until := time.Now().Add(time.Duration(in.WaitMs) * time.Millisecond)
	for first := true; ; first = false {
		w.p.mu.Lock()
		status, reason := w.check(r, in)
		if status != http.StatusOK {
			clock := w.clock().Milliseconds()
			w.p.mu.Unlock()
			answer(rw, status, map[string]any{"clockMs": clock, "born": w.startedAt.UnixMilli(), "reason": reason})
			return
		}
		if first {
			w.tick()
			w.grant(in.DeadlineMs)
			w.acknowledge(in.AckCursor)
		}
		if len(w.ended) > 0 || !time.Now().Before(until) || r.Context().Err() != nil {
			out := w.lists()
			w.p.mu.Unlock()
			if w.crossed(r) {
				answer(rw, http.StatusOK, out)
			}
			return
		}
		w.p.mu.Unlock()
		time.Sleep(pollEvery)
	}
}

func (w *Worker) acknowledge(cursor int64) {
	for len(w.ended) > 0 && w.ended[0].endedAs <= cursor {
		w.ended[0].Acked = time.Now()
		w.ended = w.ended[1:]
	}
}

func (w *Worker) lists() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for _, run := range w.running {
		percent := int(100 * time.Since(run.Began) / (run.left + 1))
		if run.lasts {
			percent = int(100 * time.Since(run.Began) / warmUp)
		}
		running = append(running, []any{run.Task, run.Number, "", min(100, percent), 0})
	}
	for _, run := range w.ended[:min(endsPerList, len(w.ended))] {
		ended = append(ended, []any{run.endedAs, run.Task, run.Number, run.How, ""})
	}
	return map[string]any{"clockMs": w.clock().Milliseconds(), "born": w.startedAt.UnixMilli(), "running": running, "ended": ended}
}

// Runs returns copies of all runs of a job so far.
func (p *Platform) Runs(job string) []Run {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Run
	for _, w := range p.workers {
		for _, run := range w.runs {
			if strings.HasPrefix(run.Task, job+".") {
				out = append(out, *run)
			}
		}
	}
	return out
}

// stepOf returns the job and the step of a task.
func (p *Platform) stepOf(task string) (Job, int, bool) {
	parts := strings.Split(task, ".")
	job, known := p.jobs[parts[0]]
	if !known || len(parts) != 4 {
		return Job{}, 0, false
	}
	step, err := strconv.Atoi(parts[2])
	if err != nil || step < 0 || step >= len(job.Steps) {
		return Job{}, 0, false
	}
	return job, step, true
}

// Crash ends the worker without a word; it starts again under its id, at its address, after a while.
func (w *Worker) Crash(back time.Duration) {
	w.p.mu.Lock()
	defer w.p.mu.Unlock()
	if w.left {
		return
	}
	w.left = true
	for _, run := range w.running {
		run.How, run.Ended = "crashed", time.Now()
	}
	clear(w.running)
	go func() { _ = w.server.Close() }()
	p := w.p
	for _, m := range p.machines {
		if m.worker == w {
			m.worker, m.state, m.nextID, m.nextAddr = nil, "down", w.id, w.addr
			time.AfterFunc(back, func() { p.arrive(m) })
		}
	}
}

// Load is how many runs the worker has.
func (w *Worker) Load() int {
	w.p.mu.Lock()
	defer w.p.mu.Unlock()
	return len(w.running)
}

// Free returns what the worker's runs leave of its capacity.
func (w *Worker) Free() (cpu, memMb int) {
	w.p.mu.Lock()
	defer w.p.mu.Unlock()
	cpu, memMb = capacity()["cpu"], capacity()["memMb"]
	for task := range w.running {
		if job, step, known := w.p.stepOf(task); known {
			cpu -= job.Steps[step].CPU
			memMb -= job.Steps[step].MemMb
		}
	}
	return cpu, memMb
}
