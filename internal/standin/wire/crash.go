package wire

import (
	"fmt"
	"time"
)

// SpecCrashes is the spec of a task that crashes the endpoints that start it.
const SpecCrashes = "crash"

const (
	// crashAfter is how long after its start such a task crashes its endpoint, and crashMost
	// the longest that the endpoint is down.
	crashAfter = 10 * time.Millisecond
	crashMost  = 1500 * time.Millisecond
	// mostCrashes is the number of crashes after which a task's starts are counted, and
	// mostStartsAfter how many of those are too many.
	mostCrashes     = 3
	mostStartsAfter = 3
)

// startCrashingLocked notes the start of a task that crashes its endpoint, and lets it.
func (e *Endpoint) startCrashingLocked(task string) {
	h := e.p.history(task)
	if h.crashes >= mostCrashes {
		if h.afterThird++; h.afterThird == mostStartsAfter {
			e.p.broken = append(e.p.broken, fmt.Sprintf("%s is started %d times more after %d endpoints have crashed under it", task, mostStartsAfter, mostCrashes))
		}
	}
	time.AfterFunc(crashAfter, func() {
		e.p.mu.Lock()
		defer e.p.mu.Unlock()
		if e.overLocked() {
			return
		}
		h.crashes++
		e.crashLocked(time.Duration(e.p.rng.Int64N(int64(crashMost))), e.p.rng.IntN(2) == 0)
	})
}

// crashLocked ends an incarnation without notice. The endpoint is back some time later, at its
// address and under its id or another one.
func (e *Endpoint) crashLocked(down time.Duration, newID bool) {
	e.crashed = true
	e.dropRunsLocked()
	go e.server.Close()
	time.AfterFunc(beatsMissed*Heartbeat, func() {
		e.p.mu.Lock()
		defer e.p.mu.Unlock()
		if e.p.endpoints[e.id] == e && !e.gone {
			e.p.putKeyed("keyed.servers", e.id, nil)
		}
	})
	time.AfterFunc(down, func() { e.comeBack(newID) })
}

// comeBack begins the next incarnation of an endpoint that has crashed, unless its instance has
// been taken meanwhile.
func (e *Endpoint) comeBack(newID bool) {
	e.p.mu.Lock()
	defer e.p.mu.Unlock()
	if e.gone || e.p.closed || e.p.endpoints[e.id] != e {
		return
	}
	id := e.id
	if newID {
		id = e.p.newIDLocked()
	}
	next, err := e.nextLocked(id)
	if err != nil {
		e.p.broken = append(e.p.broken, e.id+" is not back: "+err.Error())
		return
	}
	if newID {
		delete(e.p.endpoints, e.id)
		e.p.putKeyed("keyed.servers", e.id, nil)
	}
	e.p.instances[e.instance].endpoint = id
	next.registerLocked()
}
