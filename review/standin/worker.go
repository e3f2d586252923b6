package standin

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Figures of a small deployment's workers.
const (
	heartbeat       = 1500 * time.Millisecond
	holdMax         = 10 * time.Second
	stopTime        = 50 * time.Millisecond
	lastsStartup    = 500 * time.Millisecond
	checkpointEvery = 500 * time.Millisecond
	restoreTime     = 100 * time.Millisecond
	gangTimeout     = 3 * time.Second
	upkeepTime      = 2 * time.Second
	moveTime        = 1500 * time.Millisecond
	maxListedEnds   = 500
	crashTime       = 3 * time.Second
	// crashesBeforeGivenUp is how many workers a task may crash before the starts that follow count.
	crashesBeforeGivenUp = 3
)

// Work is what the spec of a task says: the stand-in's clients put it there.
type Work struct {
	// Ms is how long the task works; 0 means that it lasts.
	Ms int `json:"ms"`
	// Saves means that it checkpoints.
	Saves bool `json:"saves,omitempty"`
	// Gang is the number of members of the task's gang, 0 for none.
	Gang int `json:"gang,omitempty"`
	// Step names the steps (by number) for which Ms and Gang hold; others take 100 ms.
	Step int `json:"step,omitempty"`
	// CPU and MemMB are the task's request.
	CPU int `json:"cpu"`
	// CrashMs is when the task crashes its worker, counted from its start; 0 for never.
	CrashMs int `json:"crashMs,omitempty"`
	// Pad makes the spec longer.
	Pad string `json:"pad,omitempty"`
}

// Machine is a machine and its present worker.
type Machine struct {
	p                *Platform
	Name, Pool       string
	zone, kind, rack string
	cpu, memMB       int
	state            string
	upkeeps          map[int]bool
	id               string
	addr             string
	listener         net.Listener
	server           *http.Server
	born             time.Time
	clock0           time.Duration
	gone             bool
	fence            int64
	lease            time.Duration
	running          map[string]*run
	highest          map[string]int
	ended            []end
	lastEnd          int64
	seq              int
}

type run struct {
	task       string
	number     int
	work       Work
	placedAt   time.Time
	base       time.Duration
	beganAt    time.Time
	checkpoint string
	stopAt     time.Time
	gang       *gang
}

type end struct {
	number     int64
	task       string
	run        int
	how, saved string
}

type gang struct {
	members map[string]*Machine
	size    int
	began   time.Time
	values  map[string]string
	// base is where the gang resumes: the least of its members' checkpoints. over is how it ended, and
	// overAt when.
	base   time.Duration
	over   string
	overAt time.Time
}

func (g *gang) end(how string) {
	if g.over == "" {
		g.over, g.overAt = how, time.Now()
	}
}

// progress is how much of its work the gang has done.
func (g *gang) progress() time.Duration {
	if g.began.IsZero() {
		return g.base
	}
	until := time.Now()
	if g.over != "" {
		until = g.overAt
	}
	return g.base + max(0, until.Sub(g.began))
}

type taskHistory struct {
	runs    map[string]*Machine
	doneAck bool
	starts  int
	// crashes counts the workers that the task has crashed, startsAfter its starts after the third.
	crashes, startsAfter int
}

// SparePool is the pool of the machines that are off.
const SparePool = "spare"

// AddMachine adds a machine, with a worker unless it is off.
func (p *Platform) AddMachine(name, pool, zone, kind, rack string, cpu, memMB int) error {
	m := &Machine{p: p, Name: name, Pool: pool, zone: zone, kind: kind, rack: rack, cpu: cpu, memMB: memMB, state: "up", upkeeps: map[int]bool{}}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.machines[name] = m
	if pool == SparePool {
		m.gone = true
		return nil
	}
	return m.startWorkerLocked()
}

// Machine returns a machine by name.
func (p *Platform) Machine(name string) *Machine {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machines[name]
}

func (m *Machine) startWorkerLocked() error {
	m.p.nextID++
	m.id = fmt.Sprintf("i-%04x%06x", m.p.nextID, rand.IntN(1<<24))
	return m.startIncarnationLocked()
}

// startIncarnationLocked starts a worker under the machine's present id.
func (m *Machine) startIncarnationLocked() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	m.listener, m.addr, m.born, m.clock0 = listener, listener.Addr().String(), time.Now(), time.Duration(rand.IntN(3600_000))*time.Millisecond
	m.gone, m.fence, m.lease, m.running, m.highest, m.ended, m.lastEnd, m.seq = false, 0, 0, map[string]*run{}, map[string]int{}, nil, 0, 0
	mux := http.NewServeMux()
	id := m.id
	mux.HandleFunc("POST /cyclamenwheel/run-start", m.handle(id, m.start))
	mux.HandleFunc("POST /cyclamenwheel/run-stop", m.handle(id, m.stop))
	mux.HandleFunc("POST /cyclamenwheel/hold", func(w http.ResponseWriter, r *http.Request) { m.hold(id, w, r) })
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	m.server = &http.Server{Handler: mux}
	m.p.servers = append(m.p.servers, m.server)
	go func(s *http.Server) { _ = s.Serve(listener) }(m.server)
	m.registerLocked()
	go m.beat(id, m.born)
	return nil
}

func (m *Machine) clock() time.Duration { return m.clock0 + time.Since(m.born) }

func (m *Machine) registerLocked() {
	m.seq++
	entry, _ := json.Marshal(map[string]any{"service": m.Pool, "addr": m.addr, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready",
		"coldLeftMs": 0, "capacity": map[string]int{"cpu": m.cpu, "memMb": m.memMB, "gpu": 0}, "labels": []string{m.kind, m.rack},
		"clockMs": m.clock().Milliseconds(), "born": m.born.UnixMilli(), "seq": m.seq})
	m.p.putLocked("keyed.servers", m.id, entry)
}

func (m *Machine) beat(id string, born time.Time) {
	for {
		time.Sleep(heartbeat)
		m.p.mu.Lock()
		if m.p.closed || m.id != id || m.born != born || m.gone {
			m.p.mu.Unlock()
			return
		}
		m.registerLocked()
		m.p.mu.Unlock()
	}
}

// endWorkerLocked ends the worker with everything on it.
func (m *Machine) endWorkerLocked(why string) {
	m.gone = true
	for name, r := range m.running {
		m.p.Rec.Printf("worker %s: %s run %d ends with its worker (%s)", m.id, name, r.number, why)
		delete(m.p.history(name).runs, fmt.Sprint(r.number))
		breakGang(r)
	}
	m.running = map[string]*run{}
	m.p.putLocked("keyed.servers", m.id, nil)
	go func(s *http.Server) { _ = s.Close() }(m.server)
}

// crashLocked ends the worker without a word. It is back after a while, under the id that it had and with
// nothing of before. Until then its entry stays in service discovery.
func (m *Machine) crashLocked(back time.Duration) {
	m.p.Rec.Printf("DISRUPTION: worker %s on %s crashes, with %d runs; it is back after %s", m.id, m.Name, len(m.running), back)
	m.gone, m.state = true, "down"
	for name, r := range m.running {
		delete(m.p.history(name).runs, fmt.Sprint(r.number))
		if r.gang != nil {
			r.gang.end("broken")
		}
	}
	m.running = map[string]*run{}
	go func(s *http.Server) { _ = s.Close() }(m.server)
	time.AfterFunc(back, func() {
		m.p.mu.Lock()
		defer m.p.mu.Unlock()
		if !m.p.closed {
			m.state = "up"
			_ = m.startIncarnationLocked()
		}
	})
}

func (p *Platform) history(task string) *taskHistory {
	h := p.tasks[task]
	if h == nil {
		h = &taskHistory{runs: map[string]*Machine{}}
		p.tasks[task] = h
	}
	return h
}

type order struct {
	Task           string `json:"task"`
	Run            int    `json:"run"`
	Spec           string `json:"spec"`
	DeadlineMs     int64  `json:"deadlineMs"`
	Fence          int64  `json:"fence"`
	LastCheckpoint string `json:"lastCheckpoint"`
	AckCursor      int64  `json:"ackCursor"`
	WaitMs         int64  `json:"waitMs"`
}

func (m *Machine) checkLocked(id string, r *http.Request, in order) (int, string) {
	want := r.Header.Get("Cyclamenwheel-Expect-Instance")
	if m.gone && m.id == id {
		return noAnswer, ""
	}
	if m.id != id || want != "" && want != id {
		return http.StatusMisdirectedRequest, ""
	}
	if in.Fence < m.fence {
		return http.StatusConflict, "fence"
	}
	m.fence = in.Fence
	m.advanceLocked()
	if m.gone {
		return noAnswer, ""
	}
	return http.StatusOK, ""
}

// noAnswer stands for a connection that breaks without an answer.
const noAnswer = 0

func (m *Machine) handle(id string, f func(order) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in order
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		m.p.mu.Lock()
		status, reason := m.checkLocked(id, r, in)
		if status == http.StatusOK {
			status, reason = f(in)
		}
		body := map[string]any{"clockMs": m.clock().Milliseconds(), "born": m.born.UnixMilli()}
		m.p.mu.Unlock()
		if status == noAnswer {
			panic(http.ErrAbortHandler)
		}
		if reason != "" {
			body["reason"] = reason
		}
		reply(w, status, body)
	}
}

func (m *Machine) extendLocked(deadlineMs int64) {
	lease := min(time.Duration(deadlineMs)*time.Millisecond, m.clock()+holdMax)
	m.lease = max(m.lease, lease)
}

func (m *Machine) start(in order) (int, string) {
	if r := m.running[in.Task]; r != nil && r.number == in.Run {
		return http.StatusOK, ""
	}
	m.extendLocked(in.DeadlineMs)
	if in.Run <= m.highest[in.Task] {
		return http.StatusConflict, "old"
	}
	if m.lease <= m.clock() {
		return http.StatusConflict, "late"
	}
	var work Work
	parts := strings.Split(in.Task, ".")
	if len(parts) != 4 || json.Unmarshal([]byte(in.Spec), &work) != nil {
		return http.StatusBadRequest, ""
	}
	if fmt.Sprint(work.Step) != parts[2] {
		work = Work{Ms: 100, CPU: work.CPU}
	}
	h := m.p.history(in.Task)
	h.starts++
	if h.crashes >= crashesBeforeGivenUp {
		h.startsAfter++
	}
	for number, other := range h.runs {
		other.advanceLocked()
		if h.runs[number] != nil {
			m.p.violateLocked("TWICE: %s run %d starts on %s while run %s is on %s", in.Task, in.Run, m.id, number, other.id)
		}
	}
	if h.doneAck {
		m.p.violateLocked("TWICE: %s run %d starts on %s after an end done was taken note of", in.Task, in.Run, m.id)
	}
	used := work.CPU
	for _, r := range m.running {
		used += r.work.CPU
	}
	if used > m.cpu {
		m.p.violateLocked("LIMIT: %s run %d brings %s to %d of %d", in.Task, in.Run, m.id, used, m.cpu)
	}
	r := &run{task: in.Task, number: in.Run, work: work, placedAt: time.Now(), beganAt: time.Now(), checkpoint: in.LastCheckpoint}
	if in.LastCheckpoint != "" {
		var ms int64
		_, _ = fmt.Sscanf(in.LastCheckpoint[:8], "%x", &ms)
		r.base, r.beganAt = time.Duration(ms)*time.Millisecond, time.Now().Add(restoreTime)
	}
	m.running[in.Task] = r
	h.runs[fmt.Sprint(in.Run)] = m
	if work.Gang > 0 {
		m.joinGangLocked(r)
	}
	return http.StatusOK, ""
}

func gangName(r *run) string {
	parts := strings.Split(r.task, ".")
	return strings.Join(parts[:3], ".") + "/" + fmt.Sprint(r.number)
}

// joinGangLocked adds a member to its gang. Work begins when all are there.
func (m *Machine) joinGangLocked(r *run) {
	name := gangName(r)
	g := m.p.gangs[name]
	if g == nil {
		g = &gang{members: map[string]*Machine{}, size: r.work.Gang, values: map[string]string{}}
		m.p.gangs[name] = g
	}
	r.gang = g
	g.members[r.task], g.values[r.task] = m, r.checkpoint
	m.p.Rec.Printf("worker %s: gang %s, member %s starts with lastCheckpoint %q", m.id, name, r.task, r.checkpoint)
	if len(g.members) == 1 || r.base < g.base {
		g.base = r.base
	}
	if len(g.members) == g.size && g.over == "" {
		g.began = r.beganAt
	}
}

func breakGang(r *run) {
	if r.gang != nil {
		r.gang.end("broken")
	}
}

// progress is how much of its work a run has done.
func (r *run) progress() time.Duration {
	if r.gang != nil {
		return r.gang.progress()
	}
	return r.base + max(0, time.Since(r.beganAt))
}

// saved is the run's newest checkpoint.
func (r *run) saved(atStop bool) string {
	done := r.progress()
	if !r.work.Saves || done <= r.base {
		return r.checkpoint
	}
	if !atStop {
		done = done.Truncate(checkpointEvery)
		if done <= r.base {
			return r.checkpoint
		}
	}
	owner := r.task
	if r.gang != nil {
		owner = gangName(r)
		owner = owner[:strings.LastIndex(owner, "/")]
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(owner))
	return fmt.Sprintf("%08x%08x", done.Milliseconds(), h.Sum32())
}

func (m *Machine) stop(in order) (int, string) {
	if r := m.running[in.Task]; r != nil && r.number == in.Run {
		if r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(stopTime)
		}
		return http.StatusOK, ""
	}
	m.highest[in.Task] = max(m.highest[in.Task], in.Run)
	return http.StatusOK, ""
}

func (m *Machine) endRunLocked(name string, r *run, how string) {
	delete(m.running, name)
	delete(m.p.history(name).runs, fmt.Sprint(r.number))
	m.highest[name] = max(m.highest[name], r.number)
	m.lastEnd++
	saved := ""
	if how != "done" {
		saved = r.saved(how == "stopped" || how == "broken")
	}
	m.ended = append(m.ended, end{m.lastEnd, name, r.number, how, saved})
	if how != "done" {
		m.p.Rec.Printf("worker %s: %s run %d ends %s", m.id, name, r.number, how)
	}
	if how != "done" && how != "broken" {
		breakGang(r)
	}
}

// advanceLocked ends the runs that have come to their end.
func (m *Machine) advanceLocked() {
	if m.gone {
		return
	}
	lapsed := m.clock() > m.lease
	names := make([]string, 0, len(m.running))
	for name := range m.running {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		r := m.running[name]
		switch {
		case r.work.CrashMs > 0 && time.Since(r.placedAt) >= time.Duration(r.work.CrashMs)*time.Millisecond:
			m.p.history(name).crashes++
			m.p.Rec.Printf("worker %s: %s run %d crashes it, %d ms after its start", m.id, name, r.number, time.Since(r.placedAt).Milliseconds())
			m.crashLocked(crashTime)
			return
		case lapsed:
			m.endRunLocked(name, r, "lapsed")
		case !r.stopAt.IsZero() && !time.Now().Before(r.stopAt):
			m.endRunLocked(name, r, "stopped")
		case r.gang != nil && r.gang.over != "":
			m.endRunLocked(name, r, r.gang.over)
		case r.gang != nil && r.gang.began.IsZero():
			if time.Since(r.placedAt) > gangTimeout {
				m.endRunLocked(name, r, "alone")
			}
		case r.work.Ms > 0 && r.progress() >= time.Duration(r.work.Ms)*time.Millisecond:
			if r.gang != nil {
				r.gang.end("done")
			}
			m.endRunLocked(name, r, "done")
		}
	}
}

func (m *Machine) hold(id string, w http.ResponseWriter, r *http.Request) {
	var in order
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.Now().Add(time.Duration(min(in.WaitMs, 2000)) * time.Millisecond)
	for first := true; ; first = false {
		m.p.mu.Lock()
		status, reason := m.checkLocked(id, r, in)
		if status != http.StatusOK {
			body := map[string]any{"clockMs": m.clock().Milliseconds(), "born": m.born.UnixMilli(), "reason": reason}
			m.p.mu.Unlock()
			if status == noAnswer {
				panic(http.ErrAbortHandler)
			}
			reply(w, status, body)
			return
		}
		if first {
			m.extendLocked(in.DeadlineMs)
			for len(m.ended) > 0 && m.ended[0].number <= in.AckCursor {
				if m.ended[0].how == "done" {
					m.p.history(m.ended[0].task).doneAck = true
				}
				m.ended = m.ended[1:]
			}
		}
		if len(m.ended) > 0 || m.p.closed || !time.Now().Before(deadline) || r.Context().Err() != nil {
			body := m.listingLocked()
			m.p.mu.Unlock()
			reply(w, http.StatusOK, body)
			return
		}
		m.p.mu.Unlock()
		time.Sleep(pollStep)
	}
}

func (m *Machine) listingLocked() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for name, r := range m.running {
		percent := 0
		if r.work.Ms > 0 {
			percent = min(99, int(100*r.progress()/(time.Duration(r.work.Ms)*time.Millisecond)))
		} else {
			percent = min(100, int(100*r.progress()/lastsStartup))
		}
		running = append(running, []any{name, r.number, r.saved(false), percent, 0})
	}
	for _, e := range m.ended[:min(len(m.ended), maxListedEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	return map[string]any{"clockMs": m.clock().Milliseconds(), "born": m.born.UnixMilli(), "running": running, "ended": ended}
}

// Running returns the tasks that run now, with the CPU in use and the CPU of a pool.
func (p *Platform) Running(pool string) (tasks map[string]bool, used, capacity int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	tasks = map[string]bool{}
	for _, m := range p.machines {
		if m.Pool != pool || m.gone {
			continue
		}
		m.advanceLocked()
		capacity += m.cpu
		for name, r := range m.running {
			tasks[name] = true
			used += r.work.CPU
		}
	}
	return tasks, used, capacity
}

// Starts returns how often a task was started.
func (p *Platform) Starts(task string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.history(task).starts
}

// GangValues returns the lastCheckpoint values of the members of each run of a gang.
func (p *Platform) GangValues() map[string]map[string]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]map[string]string{}
	for name, g := range p.gangs {
		out[name] = map[string]string{}
		for task, value := range g.values {
			out[name][task] = value
		}
	}
	return out
}

func (p *Platform) handleMachines(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	rows := []map[string]any{}
	for _, m := range p.machines {
		id := m.id
		if m.gone {
			id = ""
		}
		rows = append(rows, map[string]any{"machine": m.Name, "pool": m.Pool, "state": m.state, "zone": m.zone, "labels": []string{m.kind, m.rack},
			"capacity": map[string]int{"cpu": m.cpu, "memMb": m.memMB, "gpu": 0}, "id": id})
	}
	p.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"machines": rows, "nextToken": nil})
}

func (p *Platform) handleMove(w http.ResponseWriter, r *http.Request) {
	var in struct{ Machine, Pool string }
	_ = json.NewDecoder(r.Body).Decode(&in)
	p.change(w, in.Machine, func(m *Machine) (done bool) { return m.Pool == in.Pool }, func(m *Machine) time.Duration {
		m.Pool, m.state = in.Pool, "moving"
		return moveTime
	})
}

func (p *Platform) handleUpkeep(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Machine string
		Wave    int
	}
	_ = json.NewDecoder(r.Body).Decode(&in)
	p.change(w, in.Machine, func(m *Machine) (done bool) { return m.upkeeps[in.Wave] }, func(m *Machine) time.Duration {
		m.upkeeps[in.Wave], m.state = true, "upkeep"
		return upkeepTime
	})
}

func (p *Platform) change(w http.ResponseWriter, name string, done func(*Machine) bool, begin func(*Machine) time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.machines[name]
	switch {
	case m == nil:
		w.WriteHeader(http.StatusBadRequest)
	case done(m):
		reply(w, http.StatusOK, struct{}{})
	case m.state != "up":
		reply(w, http.StatusConflict, map[string]string{"reason": "busy"})
	default:
		if !m.gone {
			m.endWorkerLocked("the machine leaves")
		}
		took := begin(m)
		p.Rec.Printf("machine %s: %s, pool %s", name, m.state, m.Pool)
		time.AfterFunc(took, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			m.state = "up"
			if !p.closed && m.Pool != SparePool {
				_ = m.startWorkerLocked()
			}
		})
		reply(w, http.StatusOK, struct{}{})
	}
}

// UpkeepBegun reports whether a machine has begun its upkeep of a wave.
func (p *Platform) UpkeepBegun(machine string, wave int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machines[machine].upkeeps[wave]
}

// WaveState returns the state of a wave that the system has written last, "" for none.
func (p *Platform) WaveState(wave int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := ""
	key := fmt.Sprintf("wave/%d", wave)
	for _, rec := range p.topicLocked("keyed.status").records {
		if len(rec) > len(key) && string(rec[1:1+rec[0]]) == key {
			var in struct{ State string }
			_ = json.Unmarshal(rec[1+rec[0]:], &in)
			state = in.State
		}
	}
	return state
}

// Free returns how many more tasks of a size the workers of a pool that have a kind could take, and where
// a task runs now, "" if nowhere.
func (p *Platform) Free(pool, kind, task string, cpu int) (tasks int, where string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.machines {
		if m.Pool != pool || m.gone || m.state != "up" {
			continue
		}
		m.advanceLocked()
		free := m.cpu
		for name, r := range m.running {
			free -= r.work.CPU
			if name == task {
				where = m.Name
			}
		}
		if m.kind == kind {
			tasks += free / cpu
		}
	}
	return tasks, where
}

// MachinesOf returns the names of the machines of a pool, those with runs first.
func (p *Platform) MachinesOf(pool string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var names []string
	for _, m := range p.machines {
		if m.Pool == pool {
			names = append(names, m.Name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		if x, y := len(p.machines[a].running), len(p.machines[b].running); x != y {
			return y - x
		}
		return strings.Compare(a, b)
	})
	return names
}

// Machines returns the pool, the kind and the number of runs of each machine, as text.
func (p *Platform) Machines() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var lines []string
	for _, m := range p.machines {
		lines = append(lines, fmt.Sprintf("%s kind %s in %s, %s, %d runs", m.Name, m.kind, m.Pool, m.state, len(m.running)))
	}
	slices.Sort(lines)
	return strings.Join(lines, "; ")
}

// Crashes returns how many workers a task has crashed, and its starts after the third.
func (p *Platform) Crashes(task string) (crashes, startsAfter int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.history(task)
	return h.crashes, h.startsAfter
}
