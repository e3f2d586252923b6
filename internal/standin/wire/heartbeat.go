package wire

import (
	"encoding/json"
	"time"
)

const (
	// Heartbeat is the interval at which endpoints write their entries in service discovery. A
	// reduced capacity replaces the larger one only StableWindow plus one heartbeat later.
	Heartbeat    = 500 * time.Millisecond
	StableWindow = 3 * time.Second
	// maxMissedHeartbeats is the number of missed heartbeats after which service discovery drops
	// an entry.
	maxMissedHeartbeats = 3
)

// pastCapacity is an earlier CPU capacity of an endpoint and the time at which it was replaced.
type pastCapacity struct {
	cpu   int
	until time.Time
}

// sendHeartbeats writes the incarnation's entry once per heartbeat interval until the
// incarnation ends.
func (e *Endpoint) sendHeartbeats() {
	for {
		time.Sleep(Heartbeat)
		e.p.mu.Lock()
		if e.hasEndedLocked() {
			e.p.mu.Unlock()
			return
		}
		if !e.p.storeDown {
			e.registerLocked()
		}
		e.p.mu.Unlock()
	}
}

// hasEndedLocked reports whether the incarnation or the platform has ended.
func (e *Endpoint) hasEndedLocked() bool {
	return e.removed || e.crashed || e.p.closed || e.p.endpoints[e.id] != e
}

// registerLocked writes the incarnation's entry in service discovery.
func (e *Endpoint) registerLocked() {
	e.seq++
	entry, err := json.Marshal(map[string]any{"service": e.pool, "addr": e.listener.Addr().String(), "zone": "z", "state": "ready",
		"version": "v1", "slots": 8, "coldLeftMs": 0, "seq": e.seq, "born": e.startedAt.UnixMilli(), "clockMs": e.clock().Milliseconds(),
		"capacity": map[string]int{"cpu": e.cpu, "memMb": endpointMemory, "gpu": 0}, "labels": []string{"a", "r-" + e.instance}})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	e.p.appendKeyed("keyed.servers", e.id, entry)
}

// ResizeEndpoint changes the CPU capacity of one running endpoint of a pool.
func (p *Platform) ResizeEndpoint(pool string, cpu int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.endpoints {
		if e.pool == pool && !e.hasEndedLocked() {
			e.pastCapacities = append(e.pastCapacities, pastCapacity{e.cpu, time.Now()})
			e.cpu = cpu
			return
		}
	}
}

// allowedCPU is the CPU that running tasks may use: the current capacity, or a larger one that
// was replaced within StableWindow plus one heartbeat.
func (e *Endpoint) allowedCPU() int {
	allowed := e.cpu
	for _, past := range e.pastCapacities {
		if time.Since(past.until) < StableWindow+Heartbeat {
			allowed = max(allowed, past.cpu)
		}
	}
	return allowed
}
