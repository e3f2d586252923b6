package rig2

import (
	"fmt"
	"net/http"
	"strconv"
)

// machine is what a worker runs on.
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

// arrive starts the machine's worker again.
func (p *Platform) arrive(m *machine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m.state = "up"
	if err := p.startWorker(m); err != nil {
		p.Record.Line("worker of %s: %v", m.name, err)
	}
}
