package wire

import (
	"fmt"
	"time"
)

// SpecCrashes is the spec of a task that crashes every endpoint that starts it.
const SpecCrashes = "crash"

const (
	// crashDelay is the time from the start of such a task to the crash of its endpoint, and
	// maxCrashDowntime bounds how long the endpoint is down.
	crashDelay       = 10 * time.Millisecond
	maxCrashDowntime = 1500 * time.Millisecond
	// crashThreshold is the number of crashes after which further starts of a task are counted,
	// and maxStartsAfterThreshold the count that is a violation.
	crashThreshold          = 3
	maxStartsAfterThreshold = 3
)

// recordCrashingStartLocked records the start of a task that crashes its endpoint and schedules
// the crash.
func (e *Endpoint) recordCrashingStartLocked(task string) {
	h := e.p.history(task)
	if h.crashes >= crashThreshold {
		if h.startsAfterThreshold++; h.startsAfterThreshold == maxStartsAfterThreshold {
			e.p.violations = append(e.p.violations, fmt.Sprintf("%s is started %d times more after %d endpoints have crashed under it", task, maxStartsAfterThreshold, crashThreshold))
		}
	}
	time.AfterFunc(crashDelay, func() {
		e.p.mu.Lock()
		defer e.p.mu.Unlock()
		if e.hasEndedLocked() {
			return
		}
		h.crashes++
		e.crashLocked(time.Duration(e.p.rng.Int64N(int64(maxCrashDowntime))), e.p.rng.IntN(2) == 0)
	})
}

// crashLocked ends an incarnation without notice. The endpoint restarts after the downtime at
// the same address, under its old id or a new one.
func (e *Endpoint) crashLocked(downtime time.Duration, newID bool) {
	e.crashed = true
	e.dropRunsLocked()
	go e.server.Close()
	time.AfterFunc(maxMissedHeartbeats*Heartbeat, func() {
		e.p.mu.Lock()
		defer e.p.mu.Unlock()
		if e.p.endpoints[e.id] == e && !e.removed {
			e.p.appendKeyed("keyed.servers", e.id, nil)
		}
	})
	time.AfterFunc(downtime, func() { e.restartCrashed(newID) })
}

// restartCrashed starts the next incarnation of a crashed endpoint, unless its instance has been
// moved or maintained meanwhile.
func (e *Endpoint) restartCrashed(newID bool) {
	e.p.mu.Lock()
	defer e.p.mu.Unlock()
	if e.removed || e.p.closed || e.p.endpoints[e.id] != e {
		return
	}
	id := e.id
	if newID {
		id = e.p.newIDLocked()
	}
	next, err := e.startNextIncarnationLocked(id)
	if err != nil {
		e.p.violations = append(e.p.violations, e.id+" is not back: "+err.Error())
		return
	}
	if newID {
		delete(e.p.endpoints, e.id)
		e.p.appendKeyed("keyed.servers", e.id, nil)
	}
	e.p.instances[e.instance].endpoint = id
	next.registerLocked()
}
