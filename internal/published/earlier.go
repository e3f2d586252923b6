package published

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"cyclamenwheel/internal/planlease"
	"cyclamenwheel/internal/routing"
)

// EarlierRoute is a queue of an earlier version that led requests to another pool, which may have accepted
// jobs of callers that now address another queue.
type EarlierRoute struct {
	Queue, Service string
	// replacedAt is when the last version with the route was replaced, on a clock that keeps running
	// during suspension.
	replacedAt time.Duration
}

// Age is how long ago the route was replaced.
func (e EarlierRoute) Age() time.Duration { return planlease.Boottime() - e.replacedAt }

// maxEarlierTables bounds the different route tables of earlier versions that are remembered.
const maxEarlierTables = 32

// earlierRoutes remembers where earlier versions led requests. It is safe for concurrent use.
type earlierRoutes struct {
	mu sync.Mutex
	// tables are those of earlier versions, the last replaced one last.
	tables []routeTable
	// current has, by address of a queue in force, the earlier routes of its requests to other pools.
	current map[routing.Address][]EarlierRoute
}

// routeTable has the queues of a version by their addresses.
type routeTable struct {
	queues     map[routing.Address]target
	replacedAt time.Duration
}

// target is the queue and the service that an address leads to.
type target struct{ queue, service string }

func tableOf(c *routing.Config, replacedAt time.Duration) routeTable {
	t := routeTable{queues: make(map[routing.Address]target, len(c.Queues)), replacedAt: replacedAt}
	for i := range c.Queues {
		t.queues[c.Queues[i].Address()] = target{c.Queues[i].Name, c.Queues[i].Service}
	}
	return t
}

// match returns where requests to an address were led: by the queue with the longest prefix.
func (t routeTable) match(a routing.Address) (best target, known bool) {
	if exact, ok := t.queues[a]; ok {
		return exact, true
	}
	longest := -1
	for at, to := range t.queues {
		if at.Contains(a) && len(at.Prefix) > longest {
			best, longest = to, len(at.Prefix)
		}
	}
	return best, longest >= 0
}

// add remembers the table of a version that was replaced, and finds what matters for the one in force.
func (r *earlierRoutes) add(t routeTable, inForce *routing.Config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tables = slices.DeleteFunc(r.tables, func(o routeTable) bool {
		same := maps.Equal(o.queues, t.queues)
		if same {
			t.replacedAt = max(t.replacedAt, o.replacedAt)
		}
		return same
	})
	r.tables = append(r.tables, t)
	r.tables = r.tables[max(0, len(r.tables)-maxEarlierTables):]
	r.current = map[routing.Address][]EarlierRoute{}
	for i := range inForce.Queues {
		q := &inForce.Queues[i]
		for _, earlier := range r.tables {
			if to, known := earlier.match(q.Address()); known && to.service != q.Service {
				r.include(q.Address(), EarlierRoute{to.queue, to.service, earlier.replacedAt})
			}
		}
	}
}

// include adds an earlier route of an address, or takes its newer time.
func (r *earlierRoutes) include(a routing.Address, e EarlierRoute) {
	r.current[a] = slices.DeleteFunc(r.current[a], func(o EarlierRoute) bool {
		same := o.Queue == e.Queue && o.Service == e.Service
		if same {
			e.replacedAt = max(e.replacedAt, o.replacedAt)
		}
		return same
	})
	r.current[a] = append(r.current[a], e)
}

// Earlier returns the queues of earlier versions that led requests to the queue's address to other pools
// than its own.
func (k *Keeper) Earlier(q *routing.Queue) []EarlierRoute {
	k.earlier.mu.Lock()
	defer k.earlier.mu.Unlock()
	return k.earlier.current[q.Address()]
}

// PutEarlier remembers a version that was in force before the present one.
func (k *Keeper) PutEarlier(c *routing.Config) {
	k.putMu.Lock()
	defer k.putMu.Unlock()
	if have := k.config.Load(); have != nil && have.Version > c.Version {
		k.earlier.add(tableOf(c, planlease.Boottime()), have)
	}
}

// PastTable is the route table of an earlier version, as peers tell it.
type PastTable struct {
	Routes []PastRoute `cbor:"1,keyasint"`
	// AgeMs is how long ago the version was replaced.
	AgeMs int64 `cbor:"2,keyasint"`
}

// PastRoute is a route of an earlier version.
type PastRoute struct {
	Address routing.Address `cbor:"1,keyasint"`
	Queue   string          `cbor:"2,keyasint"`
	Service string          `cbor:"3,keyasint"`
}

// pastTables returns the earlier route tables that differ from the one in force, for a peer that has just
// started.
func (k *Keeper) pastTables() []PastTable {
	c := k.Config()
	if c == nil {
		return nil
	}
	inForce, now := tableOf(c, 0), planlease.Boottime()
	k.earlier.mu.Lock()
	defer k.earlier.mu.Unlock()
	var out []PastTable
	for _, t := range k.earlier.tables {
		if maps.Equal(t.queues, inForce.queues) {
			continue
		}
		past := PastTable{AgeMs: (now - t.replacedAt).Milliseconds()}
		for a, to := range t.queues {
			past.Routes = append(past.Routes, PastRoute{a, to.queue, to.service})
		}
		out = append(out, past)
	}
	return out
}

// askEarlier asks a peer for the routes of versions that were in force before this process started. It
// reports whether the peer has answered, or there is none.
func (k *Keeper) askEarlier(ctx context.Context) bool {
	peers := k.opts.Peers()
	if len(peers) == 0 {
		return true
	}
	name := peers[int(k.nextPeer.Add(1))%len(peers)]
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	past, err := k.opts.AskEarlier(ctx, name)
	if err != nil {
		k.opts.Logger.Info("earlier routes not asked of peer", "peer", name, "error", err.Error())
		return false
	}
	now := planlease.Boottime()
	k.putMu.Lock()
	defer k.putMu.Unlock()
	for _, p := range past {
		t := routeTable{queues: map[routing.Address]target{}, replacedAt: now - time.Duration(p.AgeMs)*time.Millisecond}
		for _, route := range p.Routes {
			t.queues[route.Address] = target{route.Queue, route.Service}
		}
		k.earlier.add(t, k.config.Load())
	}
	return true
}
