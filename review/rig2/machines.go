package rig2

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

const moveTime = 1500 * time.Millisecond

// machine is what workers run on; those of the spare pool are off.
type machine struct {
	name, pool, state, ip string
	// nextID is the id that the next worker takes over from the last one, if it does.
	nextID, nextAddr string
	rack             int
	worker           *Worker
}

func (m *machine) labels() []string { return []string{"a", "r1-" + strconv.Itoa(1+m.rack)} }

// addMachine adds a machine without a worker.
func (p *Platform) addMachine(ip, pool string) *machine {
	m := &machine{name: fmt.Sprintf("m-%05x", 0xa3f1+len(p.machines)), pool: pool, state: "up", ip: ip, rack: len(p.machines) / 4}
	p.machines = append(p.machines, m)
	return m
}

// AddSpare makes a service the spare pool and gives it machines.
func (p *Platform) AddSpare(ip, pool string, count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spare = pool
	for range count {
		p.addMachine(ip, pool)
	}
}

func (p *Platform) listMachines(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	rows := []map[string]any{}
	for _, m := range p.machines {
		row := map[string]any{"machine": m.name, "pool": m.pool, "state": m.state, "zone": "colombo-a", "labels": m.labels(), "capacity": capacity()}
		if m.worker != nil {
			row["id"] = m.worker.id
		}
		rows = append(rows, row)
	}
	p.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"machines": rows, "nextToken": nil})
}

func (p *Platform) moveMachine(w http.ResponseWriter, r *http.Request) {
	var in struct{ Machine, Pool string }
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var m *machine
	for _, x := range p.machines {
		if x.name == in.Machine {
			m = x
		}
	}
	switch {
	case m == nil:
		w.WriteHeader(http.StatusBadRequest)
	case m.pool == in.Pool:
		answer(w, http.StatusOK, struct{}{})
	case m.state != "up":
		answer(w, http.StatusConflict, map[string]string{"reason": "busy"})
	default:
		p.Record.Line("cloud: %s moves from %s to %s, ordered by %s", m.name, m.pool, in.Pool, r.Header.Get("Cyclamenwheel-Lease-Holder"))
		if m.worker != nil {
			m.worker.leave()
		}
		m.worker, m.pool, m.state = nil, in.Pool, "moving"
		time.AfterFunc(moveTime, func() { p.arrive(m) })
		answer(w, http.StatusOK, struct{}{})
	}
}

// arrive ends a move.
func (p *Platform) arrive(m *machine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m.state = "up"
	if m.pool == p.spare {
		return
	}
	if err := p.startWorker(m); err != nil {
		p.Record.Line("worker of %s: %v", m.name, err)
	}
}

// leave ends a worker with everything that runs on it.
func (w *Worker) leave() {
	w.left = true
	for _, run := range w.running {
		run.How, run.Ended = "left", time.Now()
	}
	clear(w.running)
	t := w.p.topic("keyed.servers")
	t.log = append(t.log, entry{key: w.id})
	go func() { _ = w.server.Close() }()
}
