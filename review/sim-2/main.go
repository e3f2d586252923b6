// Simulation of one pool: the executor's real decisions against simulated workers, journal, owners
// and clocks. It is no case: it found case 5 and suspicions that REPORT-2.md names. Arguments: the
// first seed and the one after the last; V=1 prints the faults of a day that breaks a rule. A seed
// doesn't repeat a day exactly, as the decisions go by the order of Go's maps.
package main

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/jobs"
	"cyclamenwheel/internal/routing"
)

type D = time.Duration

const ms = time.Millisecond

type ev struct {
	at D
	n  int
	f  func()
}
type evs []ev

func (h evs) Len() int { return len(h) }
func (h evs) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].n < h[j].n
}
func (h evs) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *evs) Push(x any)   { *h = append(*h, x.(ev)) }
func (h *evs) Pop() any     { o := *h; x := o[len(o)-1]; *h = o[:len(o)-1]; return x }

type run struct {
	task   string
	n      int
	ep     *ep
	began  D
	ended  D
	how    string
	acked  D
	left   D
	fails  bool
	stopAt D
	endNo  int64
	gang   string
	given  string
	lasts  bool
	epoch  int64
	late   bool
}

type ep struct {
	s       *sim
	mach    int
	id      string
	addr    string
	born    int64
	start   D
	rate    float64
	off     D
	alive   bool
	drain   bool
	fence   int64
	lease   D
	running map[string]*run
	highest map[string]int
	ended   []*run
	last    int64
	grey    bool
	grants  []string
}

func (e *ep) clock() D { return e.off + D(float64(e.s.now-e.start)*e.rate) }

type owner struct {
	s      *sim
	core   *executor.Core
	epoch  int64
	alive  bool
	frozen D
	proven D
	batch  *executor.Ready
	flush  D
	lost   bool
	tokens map[uint64]func(bool)
	tok    uint64
	seen   D
}

type jobx struct {
	j        jobs.Job
	work     []D
	accepted bool
	cancelAt D
}

type sim struct {
	r       *rand.Rand
	now     D
	q       evs
	n       int
	journal map[string][]byte
	epoch   int64
	eps     []*ep
	cuts    map[int]D
	all     []*run
	disc    map[string]executor.EndpointInfo
	owners  []*owner
	jobs    map[string]*jobx
	order   []string
	lostAns float64
	lostOrd float64
	lateOrd float64
	slow    D
	log     []string
	boots   int64
	failsh  float64
	bad     []string
	down    bool
	lateNow bool
}

func (s *sim) at(d D, f func()) { s.n++; heap.Push(&s.q, ev{s.now + d, s.n, f}) }
func (s *sim) say(f string, a ...any) {
	s.log = append(s.log, fmt.Sprintf("%8.3f ", s.now.Seconds())+fmt.Sprintf(f, a...))
}

var limits = executor.Limits{Lease: 3500 * ms, ProofAge: 5 * time.Second, KeepEnded: 10 * time.Minute, StopTimeout: 400 * ms, LongestLease: 10 * time.Second}

func (s *sim) newEp(m int, id string) *ep {
	s.boots++
	if id == "" {
		id = fmt.Sprintf("i-%d-%d", m, s.boots)
	}
	e := &ep{s: s, mach: m, id: id, addr: fmt.Sprintf("10.0.0.%d:80", m), born: 1000000 + int64(s.now/ms)*10 + s.boots, start: s.now, rate: 0.98 + 0.03*s.r.Float64(), off: D(1+s.r.IntN(100000)) * ms, alive: true, running: map[string]*run{}, highest: map[string]int{}}
	s.eps[m] = e
	var beat func()
	beat = func() {
		if !e.alive {
			return
		}
		s.disc[e.id] = executor.EndpointInfo{ID: e.id, StartedMs: e.born, Addr: e.addr, Zone: "z", Kind: "a", Rack: "r" + strconv.Itoa(m%3), Capacity: executor.Resources{CPUMilli: 8000, MemoryMB: 1000000}, Draining: e.drain}
		s.at(1500*ms, beat)
	}
	s.at(D(s.r.IntN(800))*ms, beat)
	return e
}

func (s *sim) crash(m int, same bool) {
	e := s.eps[m]
	if !e.alive {
		return
	}
	e.alive = false
	for _, r := range e.running {
		r.how, r.ended = "crashed", s.now
	}
	e.running = map[string]*run{}
	s.say("crash %s same %v", e.id, same)
	id := ""
	if same {
		id = e.id
	}
	down := D(200+s.r.IntN(4000)) * ms
	if !same {
		s.at(4500*ms, func() { delete(s.disc, e.id) })
	}
	s.at(down, func() { s.newEp(m, id) })
}

func (e *ep) end(r *run, how string) {
	if r.how != "" {
		return
	}
	r.how, r.ended = how, e.s.now
	delete(e.running, r.task)
	e.highest[r.task] = max(e.highest[r.task], r.n)
	e.last++
	r.endNo = e.last
	e.ended = append(e.ended, r)
	if r.gang != "" && how != "done" {
		for _, o := range e.s.gangOf(r) {
			o.ep.end(o, "broken")
		}
	}
}

func (s *sim) gangOf(r *run) []*run {
	var out []*run
	for _, e := range s.eps {
		for _, o := range e.running {
			if o.gang == r.gang && o.n == r.n {
				out = append(out, o)
			}
		}
	}
	return out
}

func (e *ep) tick() {
	if !e.alive {
		return
	}
	if e.clock() > e.lease {
		for _, r := range e.running {
			e.end(r, "lapsed")
		}
		return
	}
	for _, r := range e.running {
		age := e.s.now - r.began
		switch {
		case r.stopAt > 0 && e.s.now >= r.stopAt:
			e.end(r, "stopped")
		case r.fails && age >= r.left/2:
			e.end(r, "failed")
		case r.gang != "":
			g := e.s.gangOf(r)
			if len(g) < e.s.count(r.task) {
				if age > 3*time.Second {
					e.end(r, "alone")
				}
				continue
			}
			var last D
			for _, o := range g {
				last = max(last, o.began)
			}
			if e.s.now-last >= r.left {
				for _, o := range g {
					o.ep.end(o, "done")
				}
			}
		case !r.lasts && age >= r.left:
			e.end(r, "done")
		}
	}
}

func (s *sim) stepOf(task string) (*jobx, int) {
	p := strings.Split(task, ".")
	i, _ := strconv.Atoi(p[2])
	return s.jobs[p[0]], i
}
func (s *sim) count(task string) int { j, i := s.stepOf(task); return j.j.Steps[i].Count }

// start applies a start; ok false for fence.
func (e *ep) doStart(o executor.Order, lease D, epoch int64) executor.OrderResult {
	if o.Endpoint != e.id {
		return executor.OrderOtherIncarnation
	}
	if o.Fence < e.fence {
		return executor.OrderFenced
	}
	e.fence = o.Fence
	e.tick()
	if r := e.running[o.Task]; r != nil && r.n == o.Run {
		e.grant(lease)
		return executor.OrderDone
	}
	e.grant(lease)
	if o.Run <= e.highest[o.Task] || e.running[o.Task] != nil {
		return executor.OrderStaleRun
	}
	if e.lease <= e.clock() {
		return executor.OrderLeaseExpired
	}
	j, i := e.s.stepOf(o.Task)
	st := j.j.Steps[i]
	r := &run{task: o.Task, n: o.Run, ep: e, began: e.s.now, left: j.work[i], fails: e.s.r.Float64() < e.s.failsh, given: o.Checkpoint, lasts: st.LongRunning, epoch: epoch}
	if st.Gang {
		r.gang = o.Task[:strings.LastIndex(o.Task, ".")]
	}
	if st.LongRunning {
		r.left = time.Hour
	}
	e.running[o.Task] = r
	e.s.all = append(e.s.all, r)
	used := 0
	per := 0
	for t := range e.running {
		jj, ii := e.s.stepOf(t)
		used += jj.j.Steps[ii].CPUMilli
		if t[:strings.LastIndex(t, ".")] == o.Task[:strings.LastIndex(o.Task, ".")] {
			per++
		}
	}
	if used > 8000 {
		desc := ""
		for t, rr := range e.running {
			jj, ii := e.s.stepOf(t)
			desc += fmt.Sprintf(" [%s run %d began %v cpu %d epoch %d late %v]", t, rr.n, rr.began, jj.j.Steps[ii].CPUMilli, rr.epoch, rr.late)
		}
		if !e.s.lateNow {
			e.s.bad = append(e.s.bad, fmt.Sprintf("LIMIT %s %d at %v by %s epoch %d:%s", e.id, used, e.s.now, o.Task, epoch, desc))
		}
	}
	if st.MaxPerEndpoint > 0 && per > st.MaxPerEndpoint {
		e.s.bad = append(e.s.bad, fmt.Sprintf("ROUTE maxPer %s at %v", o.Task, e.s.now))
	}
	if e.grey {
		e.end(r, "failed")
	}
	return executor.OrderDone
}

func (e *ep) grant(lease D) {
	if lease > e.lease {
		e.grants = append(e.grants, fmt.Sprintf("%v clock %v lease %v real %v fence %d", e.s.now, e.clock(), lease, e.s.now+D(float64(lease-e.clock())/e.rate), e.fence))
	}
	e.lease = max(e.lease, min(lease.Truncate(ms), e.clock()+10*time.Second))
}

func (e *ep) doStop(o executor.Order) executor.OrderResult {
	if o.Endpoint != e.id {
		return executor.OrderOtherIncarnation
	}
	if o.Fence < e.fence {
		return executor.OrderFenced
	}
	e.fence = o.Fence
	e.tick()
	if r := e.running[o.Task]; r != nil && r.n == o.Run {
		if r.stopAt == 0 {
			r.stopAt = e.s.now + D(e.s.r.IntN(380))*ms
		}
		return executor.OrderDone
	}
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	return executor.OrderDone
}

func (s *sim) cut(m int) bool { return s.now < s.cuts[m] }

func (w *owner) deliver(f func()) {
	if !w.alive || w.lost {
		return
	}
	if w.s.now < w.frozen {
		w.s.at(w.frozen-w.s.now, func() { w.deliver(f) })
		return
	}
	f()
}

func addrMach(a string) int {
	m, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimPrefix(a, "10.0.0."), ":80"))
	return m
}

func (w *owner) send(o executor.Order, lease D) {
	s := w.s
	m := addrMach(o.Addr)
	answered := false
	reply := func(res executor.OrderResult, a executor.Answer) {
		if answered {
			return
		}
		answered = true
		w.deliver(func() { w.core.OrderDone(s.now, o, res, a) })
	}
	s.at(700*ms, func() { reply(executor.OrderUnanswered, executor.Answer{}) })
	exec := func(lost bool) {
		e := s.eps[m]
		if !e.alive {
			reply(executor.OrderUnanswered, executor.Answer{})
			return
		}
		if s.cut(m) {
			return
		}
		var res executor.OrderResult
		if o.Kind == executor.OrderStop {
			res = e.doStop(o)
		} else {
			res = e.doStart(o, lease, w.epoch)
		}
		a := executor.Answer{Clock: e.clock().Truncate(ms), StartedMs: e.born}
		if res == executor.OrderOtherIncarnation {
			a = executor.Answer{}
		}
		if lost {
			return
		}
		s.at(D(200+s.r.IntN(3000))*time.Microsecond, func() {
			if !s.cut(m) {
				reply(res, a)
			}
		})
	}
	if s.r.Float64() < s.lateOrd {
		s.at(D(2000+s.r.IntN(10000))*ms, func() {
			e := s.eps[m]
			if e.alive && !s.cut(m) {
				if o.Kind == executor.OrderStop {
					e.doStop(o)
				} else {
					n := len(s.all)
					s.lateNow = true
					e.doStart(o, lease, w.epoch)
					s.lateNow = false
					for _, r := range s.all[n:] {
						r.late = true
					}
				}
			}
		})
		return
	}
	lost := s.r.Float64() < s.lostOrd
	s.at(D(200+s.r.IntN(3000))*time.Microsecond, func() { exec(lost) })
}

func (w *owner) poll(p executor.Poll) {
	s := w.s
	m := addrMach(p.Addr)
	answered := false
	reply := func(res executor.PollResult, in executor.Listed) {
		if answered {
			return
		}
		answered = true
		w.deliver(func() { w.core.PollDone(s.now, p, res, in) })
	}
	s.at(p.Wait+700*ms, func() { reply(executor.PollUnanswered, executor.Listed{}) })
	lost := s.r.Float64() < s.lostOrd
	s.at(D(200+s.r.IntN(3000))*time.Microsecond, func() {
		e := s.eps[m]
		if !e.alive {
			reply(executor.PollUnanswered, executor.Listed{})
			return
		}
		if s.cut(m) {
			return
		}
		until := s.now + p.Wait
		first := true
		var step func()
		step = func() {
			if !e.alive || answered {
				return
			}
			if p.Endpoint != e.id {
				reply(executor.PollOtherIncarnation, executor.Listed{})
				return
			}
			if p.Fence < e.fence {
				reply(executor.PollFenced, executor.Listed{})
				return
			}
			e.fence = p.Fence
			if first {
				first = false
				e.tick()
				if p.LeaseUntil > 0 {
					e.grant(p.LeaseUntil)
				}
				for len(e.ended) > 0 && e.ended[0].endNo <= p.Acknowledged {
					e.ended[0].acked = s.now
					e.ended = e.ended[1:]
				}
			}
			if len(e.ended) > 0 || s.now >= until {
				in := executor.Listed{Clock: e.clock().Truncate(ms), StartedMs: e.born}
				for t, r := range e.running {
					pc := int(100 * (s.now - r.began) / (r.left + 1))
					if r.lasts {
						pc = min(100, int(100*(s.now-r.began)/(500*ms)))
					}
					in.Running = append(in.Running, executor.ListedRun{Task: t, Run: r.n, Percent: min(100, pc)})
				}
				hows := map[string]executor.HowEnded{"done": executor.EndedDone, "failed": executor.EndedFailed, "stopped": executor.EndedStopped, "lapsed": executor.EndedLeaseExpired, "broken": executor.EndedGangBroken, "alone": executor.EndedGangIncomplete}
				for _, r := range e.ended {
					in.Ended = append(in.Ended, executor.ListedEnd{Number: r.endNo, Task: r.task, Run: r.n, How: hows[r.how]})
				}
				if lost {
					return
				}
				s.at(D(200+s.r.IntN(3000))*time.Microsecond, func() {
					if !s.cut(m) {
						reply(executor.PollAnswered, in)
					}
				})
				return
			}
			s.at(5*ms, step)
		}
		step()
	})
}

func (w *owner) round() {
	s := w.s
	if !w.alive || w.lost || s.now < w.frozen {
		return
	}
	c := w.core
	if s.now-w.seen > 100*ms && !s.down {
		w.seen = s.now
		var list []executor.EndpointInfo
		for _, i := range s.disc {
			list = append(list, i)
		}
		c.ObserveEndpoints(s.now, list)
	}
	c.SetWallClock(1000000 + s.now.Milliseconds())
	c.Tick(s.now)
	c.Decide(s.now)
	for _, e := range c.TakeEvents() {
		if s.now > 80*time.Second && string(e.Kind) == "task waits" {
			s.say("WAITS %s %s", e.Task, e.Reason)
		}
	}
	if c.Fenced() {
		w.lose("fenced by endpoint")
		return
	}
	if s.now-w.proven < limits.ProofAge {
		for _, p := range c.DuePolls(s.now) {
			w.poll(p)
		}
		for _, o := range c.TakeStops() {
			w.send(o, 0)
		}
		for {
			o, l, ok := c.NextStart(s.now)
			if !ok {
				break
			}
			w.send(o, l)
		}
	}
	if w.batch == nil && s.now-w.flush >= 15*ms {
		r := c.Ready(s.now)
		if r.Empty() && s.now-w.proven < 1500*ms {
			return
		}
		w.flush = s.now
		w.batch = &r
		w.append(&r, s.now, false)
	}
}

func (w *owner) append(r *executor.Ready, sent D, done bool) {
	s := w.s
	s.at(D(1+s.r.IntN(3))*ms+s.slow/2, func() {
		fenced := false
		if s.down {
			s.at(60*ms, func() { w.deliver(func() { w.append(r, sent, done) }) })
			return
		}
		if s.epoch > w.epoch {
			fenced = true
		} else if !done {
			for _, x := range r.Records {
				if len(x.Value) == 0 {
					delete(s.journal, x.Key)
				} else {
					s.journal[x.Key] = slices.Clone(x.Value)
				}
			}
			done = true
		}
		if s.r.Float64() < s.lostAns {
			s.at(80*ms, func() { w.deliver(func() { w.append(r, sent, done) }) })
			return
		}
		s.at(D(1+s.r.IntN(3))*ms+s.slow/2, func() {
			w.deliver(func() {
				if fenced {
					w.lose("fenced by store")
					return
				}
				w.proven = max(w.proven, sent)
				w.batch = nil
				w.core.Advance(s.now, *r)
				for _, x := range r.Replies {
					if f := w.tokens[x.Token]; f != nil {
						f(true)
					}
				}
				if s.now-w.proven < limits.ProofAge {
					for {
						o, l, ok := w.core.NextStart(s.now)
						if !ok {
							break
						}
						w.send(o, l)
					}
				}
			})
		})
	})
}

func (w *owner) lose(why string) {
	w.s.say("owner %d lost: %s", w.epoch, why)
	w.lost = true
	if w.s.current() == nil {
		w.s.at(D(100+w.s.r.IntN(1000))*ms, func() { w.s.claimIfNone() })
	}
}

func (s *sim) current() *owner {
	for _, w := range s.owners {
		if w.alive && !w.lost && w.epoch == s.epoch {
			return w
		}
	}
	return nil
}
func (s *sim) claimIfNone() {
	if s.current() == nil {
		s.claim()
	}
}

func (s *sim) claim() {
	if s.down {
		s.at(200*ms, s.claimIfNone)
		return
	}
	s.epoch++
	w := &owner{s: s, epoch: s.epoch, alive: true, proven: s.now, tokens: map[uint64]func(bool){}}
	w.core = executor.New("p", s.epoch, limits, s.now)
	w.core.SetWallClock(1000000 + s.now.Milliseconds())
	var recs []executor.Record
	for k, v := range s.journal {
		recs = append(recs, executor.Record{Key: k, Value: slices.Clone(v)})
	}
	slices.SortFunc(recs, func(a, b executor.Record) int { return strings.Compare(a.Key, b.Key) })
	if err := w.core.Restore(recs, s.now); err != nil {
		s.bad = append(s.bad, "restore: "+err.Error())
	}
	s.owners = append(s.owners, w)
	s.say("claim %d", s.epoch)
}

func (s *sim) submit(id string, tries int) {
	x := s.jobs[id]
	w := s.current()
	retry := func() {
		if tries < 40 && !x.accepted {
			s.at(D(300+s.r.IntN(500))*ms, func() { s.submit(id, tries+1) })
		}
	}
	if w == nil || s.now < w.frozen {
		retry()
		return
	}
	w.tok++
	t := w.tok
	w.tokens[t] = func(bool) { x.accepted = true }
	v, _ := w.core.Submit(s.now, x.j, executor.Accepting{Queue: "q", Terms: routing.Terms{Attempts: 3, SlowdownFactor: 1000, Slack: time.Hour}}, t)
	switch v {
	case executor.VerdictDuplicate:
		x.accepted = true
	case executor.VerdictRefused:
		retry()
	default:
		s.at(1500*ms, func() { retry() })
	}
}

func (s *sim) cancel(id string, tries int) {
	x := s.jobs[id]
	if x.cancelAt > 0 {
		return
	}
	w := s.current()
	again := func() { s.at(400*ms, func() { s.cancel(id, tries+1) }) }
	if w == nil || s.now < w.frozen {
		again()
		return
	}
	w.tok++
	w.tokens[w.tok] = func(bool) {
		if x.cancelAt == 0 {
			x.cancelAt = s.now
		}
	}
	known, durable := w.core.Cancel(s.now, id, w.tok)
	if !known {
		s.bad = append(s.bad, "cancel unknown "+id)
		x.cancelAt = s.now
		return
	}
	if durable {
		x.cancelAt = s.now
		return
	}
	again()
}

var lastSim *sim

func simulate(seed uint64, verbose bool) []string {
	s := &sim{r: rand.New(rand.NewPCG(seed, 3)), journal: map[string][]byte{}, cuts: map[int]D{}, disc: map[string]executor.EndpointInfo{}, jobs: map[string]*jobx{}, failsh: 0.03}
	lastSim = s
	neps := 3 + s.r.IntN(6)
	s.eps = make([]*ep, neps)
	for m := range neps {
		s.newEp(m, "")
	}
	s.claim()
	length := 40 * time.Second
	stopFaults := length
	// jobs
	nj := 0
	var next func()
	next = func() {
		if s.now > length {
			return
		}
		nj++
		id := fmt.Sprintf("%08x%08x", seed&0xffffffff, nj)
		x := &jobx{j: jobs.Job{ID: id, Spec: "x"}}
		st := func(count, cpu int, after ...int) jobs.Step {
			x.work = append(x.work, D(50+s.r.IntN(2500))*ms)
			return jobs.Step{Count: count, CPUMilli: cpu, MemoryMB: 1, EstimateMs: 500, After: after}
		}
		cpu := func() int { return 200 + s.r.IntN(2500) }
		switch s.r.IntN(6) {
		case 0:
			g := st(2+s.r.IntN(4), cpu())
			g.Gang = true
			x.j.Steps = []jobs.Step{g, st(2, cpu(), 0)}
		case 1:
			a, b := st(1+s.r.IntN(3), cpu()), st(1+s.r.IntN(3), cpu(), 0)
			b.Gang = s.r.IntN(3) == 0
			x.j.Steps = []jobs.Step{a, b}
			x.j.Occurrences, x.j.StartAtMs, x.j.IntervalMs = 2+s.r.IntN(4), 1000000+s.now.Milliseconds()+int64(s.r.IntN(1500)), int64(100+s.r.IntN(1500))
		case 2:
			a := st(2, cpu())
			a.LongRunning, a.MayMiss = true, s.r.IntN(2)
			x.j.Steps = []jobs.Step{a}
		default:
			a, b := st(1+s.r.IntN(5), cpu()), st(1+s.r.IntN(4), cpu(), 0)
			a.MaxPerEndpoint = s.r.IntN(3)
			x.j.Steps = []jobs.Step{a, b}
		}
		s.jobs[id] = x
		s.order = append(s.order, id)
		s.submit(id, 0)
		if x.j.Steps[0].LongRunning || s.r.IntN(7) == 0 {
			s.at(D(500+s.r.IntN(12000))*ms, func() { s.cancelWhenAccepted(id) })
		}
		s.at(D(150+s.r.IntN(900))*ms, next)
	}
	s.at(2*time.Second, next)
	var fault func()
	rate := 300 + s.r.IntN(2500)
	kinds := []int{}
	for k := range 12 {
		if s.r.IntN(2) == 0 {
			kinds = append(kinds, k)
		}
	}
	kinds = append(kinds, s.r.IntN(12))
	fault = func() {
		if s.now > stopFaults {
			return
		}
		d := D(200+s.r.IntN(5500)) * ms
		m := s.r.IntN(neps)
		k := kinds[s.r.IntN(len(kinds))]
		s.say("fault %d m %d d %v", k, m, d)
		switch k {
		case 0: // owner killed
			if w := s.current(); w != nil {
				w.alive = false
				s.at(D(1000+s.r.IntN(400))*ms, s.claimIfNone)
			}
		case 1: // owner frozen, taken over if longer than a second
			if w := s.current(); w != nil && s.now >= w.frozen {
				w.frozen = s.now + d
				s.at(1050*ms+D(s.r.IntN(200))*ms, func() {
					if w.frozen > s.now && s.current() == w {
						s.claim()
					}
				})
			}
		case 2: // a second owner without cause: the first one isn't told
			if s.current() != nil {
				s.claim()
			}
		case 3:
			if w := s.current(); w != nil && s.now >= w.frozen && w.batch == nil && s.now-w.proven < limits.ProofAge {
				rec := w.core.HandOver(s.now)
				s.journal[rec.Key] = rec.Value
				w.alive = false
				s.at(D(5+s.r.IntN(300))*ms, s.claimIfNone)
			}
		case 4:
			s.cuts[m] = max(s.cuts[m], s.now+d)
		case 5:
			s.crash(m, true)
		case 6:
			s.crash(m, false)
		case 7:
			s.lostAns = 0.35
			s.at(d, func() { s.lostAns = 0 })
		case 8:
			s.lostOrd = 0.3
			s.at(d, func() { s.lostOrd = 0 })
		case 9:
			s.lateOrd = 0.15
			s.at(d, func() { s.lateOrd = 0 })
		case 10:
			s.slow = 240 * ms
			s.at(d, func() { s.slow = 0 })
		case 11:
			s.down = true
			s.at(min(d, 4500*ms), func() { s.down = false })
		}
		s.at(D(100+s.r.IntN(2*rate))*ms, fault)
	}
	s.at(3*time.Second, fault)
	var tick func()
	tick = func() {
		for _, e := range s.eps {
			e.tick()
		}
		for _, w := range s.owners {
			w.round()
		}
		s.at(10*ms, tick)
	}
	s.at(0, tick)
	s.at(length+2*time.Second, func() { s.lostAns, s.lostOrd, s.lateOrd, s.slow, s.down, s.failsh = 0, 0, 0, 0, false, 0 })
	for len(s.q) > 0 {
		x := heap.Pop(&s.q).(ev)
		s.now = x.at
		if s.now > length+45*time.Second {
			break
		}
		x.f()
	}
	s.check()
	counts = map[string]int{"jobs": len(s.order), "owners": len(s.owners)}
	for _, r := range s.all {
		counts[r.how]++
	}
	if tk := os.Getenv("TASK"); tk != "" {
		for _, r := range s.all {
			if strings.HasPrefix(r.task, tk) {
				fmt.Println("RUN", r.task, r.n, r.ep.id, r.ep.born, "began", r.began, "ended", r.ended, r.how, "acked", r.acked, "epoch", r.epoch, "end", r.endNo)
			}
		}
	}
	if verbose || len(s.bad) > 0 && os.Getenv("V") != "" {
		for _, l := range s.log {
			fmt.Println(l)
		}
	}
	return s.bad
}

func (s *sim) cancelWhenAccepted(id string) {
	if !s.jobs[id].accepted {
		s.at(500*ms, func() { s.cancelWhenAccepted(id) })
		return
	}
	s.cancel(id, 0)
}

func (s *sim) check() {
	say := func(f string, a ...any) { s.bad = append(s.bad, fmt.Sprintf(f, a...)) }
	by := map[string][]*run{}
	for _, r := range s.all {
		if r.how == "" {
			r.ended = s.now + time.Hour
		}
		by[r.task] = append(by[r.task], r)
	}
	gd := map[string]D{}
	ga := map[string]D{}
	for _, r := range s.all {
		if r.gang != "" && r.how == "done" {
			if t, ok := gd[r.gang]; !ok || r.ended < t {
				gd[r.gang] = r.ended
			}
			if t, ok := ga[r.gang]; r.acked > 0 && (!ok || r.acked < t) {
				ga[r.gang] = r.acked
			}
		}
	}
	for task, rs := range by {
		j, i := s.stepOf(task)
		st := j.j.Steps[i]
		p := strings.Split(task, ".")
		for n, a := range rs {
			if a.late {
				continue
			}
			if t, ok := ga[a.gang]; ok && a.gang != "" && a.began > t {
				say("TWICE gang %s begins %v after acked %v", task, a.began, t)
			}
			if j.cancelAt > 0 && a.began > j.cancelAt+3*time.Second && a.epoch > 0 {
				say("UNASKED %s starts %v after cancel (at %v)", task, a.began-j.cancelAt, a.began)
			}
			if j.cancelAt > 0 && !a.late && a.ended > j.cancelAt+25*time.Second {
				say("UNASKED %s runs on %v", task, a.ended-j.cancelAt)
			}
			for _, b := range rs[n+1:] {
				if !b.late && a.began < b.ended && b.began < a.ended {
					say("TWICE %s run %d on %s %v-%v %s (epoch %d) and run %d on %s %v-%v %s (epoch %d)", task, a.n, a.ep.id, a.began, a.ended, a.how, a.epoch, b.n, b.ep.id, b.began, b.ended, b.how, b.epoch)
				}
			}
			failed := 0
			for _, b := range rs {
				if b.how == "done" && b.acked > 0 && !st.LongRunning && a.began > b.ended {
					say("TWICE %s run %d begins %v after done %v acked %v", task, a.n, a.began, b.ended, b.acked)
				}
				if b.how == "failed" && b.acked > 0 && b.ended < a.began {
					failed++
				}
			}
			if failed >= 3 && !st.LongRunning {
				say("BUDGET %s", task)
			}
			if j.j.Occurrences > 0 {
				k, _ := strconv.ParseInt(p[1], 10, 64)
				if a.began.Milliseconds()+1000000 < j.j.StartAtMs+k*j.j.IntervalMs {
					say("ORDER early %s", task)
				}
			}
			for _, bf := range st.After {
				for idx := range j.j.Steps[bf].Count {
					o := fmt.Sprintf("%s.%s.%d.%d", p[0], p[1], bf, idx)
					ok := false
					if t, g := gd[fmt.Sprintf("%s.%s.%d", p[0], p[1], bf)]; g && t <= a.began {
						ok = true
					}
					for _, b := range by[o] {
						ok = ok || b.how == "done" && b.ended <= a.began
					}
					if !ok {
						say("ORDER %s before %s", task, o)
					}
				}
			}
		}
	}
	w := s.current()
	if w == nil {
		say("no owner at the end")
		return
	}
	for _, id := range s.order {
		x := s.jobs[id]
		if !x.accepted {
			continue
		}
		state, ok := w.core.State(id)
		missing := 0
		for k := range max(1, x.j.Occurrences) {
			for i, st := range x.j.Steps {
				_, g := gd[fmt.Sprintf("%s.%d.%d", id, k, i)]
				for idx := range st.Count {
					done := g
					for _, r := range by[fmt.Sprintf("%s.%d.%d.%d", id, k, i, idx)] {
						done = done || r.how == "done"
					}
					if !done {
						missing++
					}
				}
			}
		}
		switch {
		case !ok:
			say("LOST %s unknown", id)
		case state == executor.JobCompleted && missing > 0:
			say("MIXED %s completed, missing %d", id, missing)
		case state == executor.JobFailed:
			cause := false
			for task, rs := range by {
				if !strings.HasPrefix(task, id) {
					continue
				}
				f, cr := 0, 0
				for _, r := range rs {
					if r.how == "failed" {
						f++
					}
					if r.how == "crashed" {
						cr++
					}
				}
				cause = cause || f >= 3 || cr >= 2 || rs[0].gang != "" && f >= 1
			}
			if !cause {
				say("LOST %s failed without cause", id)
			}
		case (state == executor.JobQueued || state == executor.JobRunning) && !x.j.Steps[0].LongRunning:
			_ = missing
		case state == executor.JobRunning && x.j.Steps[0].LongRunning && x.cancelAt == 0:
			for idx := range x.j.Steps[0].Count {
				on := false
				for _, r := range by[fmt.Sprintf("%s.0.0.%d", id, idx)] {
					on = on || r.how == ""
				}
				if !on {
					_ = idx
				}
			}
		}
	}
}

var counts map[string]int

func main() {
	from, _ := strconv.ParseUint(os.Args[1], 10, 64)
	to, _ := strconv.ParseUint(os.Args[2], 10, 64)
	for seed := from; seed < to; seed++ {
		bad := simulate(seed, false)
		if os.Getenv("COUNT") != "" {
			fmt.Println(seed, counts)
		}
		if len(bad) > 0 {
			seen := map[string]bool{}
			for _, b := range bad {
				f := strings.Fields(b)
				for _, w := range f {
					if len(w) > 20 && strings.Count(w, ".") == 3 && !seen[w] {
						seen[w] = true
						for _, r := range lastSim.all {
							if r.task == w {
								if len(r.ep.grants) > 0 {
									fmt.Println("GRANTS", r.ep.id, r.ep.rate, strings.Join(grantsNear(r), " | "))
								}
								fmt.Println("RUN", r.task, r.n, r.ep.id, r.ep.born, "began", r.began, "ended", r.ended, r.how, "acked", r.acked, "epoch", r.epoch, "late", r.late)
							}
						}
					}
				}
			}
			if os.Getenv("V") != "" {
				for _, l := range lastSim.log {
					fmt.Println("LOG", l)
				}
			}
			fmt.Println("seed", seed, len(bad))
			for _, b := range bad[:min(6, len(bad))] {
				fmt.Println("  ", b)
			}
		}
	}
}

func grantsNear(r *run) []string {
	var out []string
	for _, g := range r.ep.grants {
		f := strings.Fields(g)
		t, _ := time.ParseDuration(f[0])
		if t > r.began-5*time.Second && t <= r.ended+time.Second {
			out = append(out, g)
		}
	}
	return out
}
