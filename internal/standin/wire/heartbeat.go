package wire

import (
	"encoding/json"
	"time"
)

const (
	// Heartbeat is how often endpoints write their entries in service discovery, and
	// StableWindow how long beyond that a room that has shrunk still counts.
	Heartbeat    = 500 * time.Millisecond
	StableWindow = 3 * time.Second
	// beatsMissed is after how many heartbeats without an entry service discovery drops it.
	beatsMissed = 3
)

// pastRoom is a processor room that an endpoint had until some time.
type pastRoom struct {
	cpu   int
	until time.Time
}

// beat writes the incarnation's entry at intervals until it is over.
func (e *Endpoint) beat() {
	for {
		time.Sleep(Heartbeat)
		e.p.mu.Lock()
		if e.overLocked() {
			e.p.mu.Unlock()
			return
		}
		if !e.p.storeDown {
			e.registerLocked()
		}
		e.p.mu.Unlock()
	}
}

// overLocked reports whether the incarnation has ended.
func (e *Endpoint) overLocked() bool {
	return e.gone || e.crashed || e.p.closed || e.p.endpoints[e.id] != e
}

// registerLocked writes the incarnation's entry in service discovery.
func (e *Endpoint) registerLocked() {
	e.seq++
	entry, err := json.Marshal(map[string]any{"service": e.pool, "addr": e.listener.Addr().String(), "zone": "z", "state": "ready",
		"version": "v1", "slots": 8, "coldLeftMs": 0, "seq": e.seq, "born": e.born.UnixMilli(), "clockMs": e.clock().Milliseconds(),
		"capacity": map[string]int{"cpu": e.cpu, "memMb": endpointMemory, "gpu": 0}, "labels": []string{"a", "r-" + e.instance}})
	if err != nil {
		panic(err) // strings and numbers only
	}
	e.p.putKeyed("keyed.servers", e.id, entry)
}

// ResizeEndpoint changes the processor room of one endpoint of a pool while it runs.
func (p *Platform) ResizeEndpoint(pool string, cpu int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.endpoints {
		if e.pool == pool && !e.overLocked() {
			e.rooms = append(e.rooms, pastRoom{e.cpu, time.Now()})
			e.cpu = cpu
			return
		}
	}
}

// roomThatCounts is the processor room that starts may fill.
func (e *Endpoint) roomThatCounts() int {
	most := e.cpu
	for _, past := range e.rooms {
		if time.Since(past.until) < StableWindow+Heartbeat {
			most = max(most, past.cpu)
		}
	}
	return most
}
