package host

import (
	"sync"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/platform"
)

// endpointTable holds the entries of service discovery by pool. A change of an entry then costs the
// owner of its pool a walk over that pool, and other owners nothing. It is safe for concurrent use.
type endpointTable struct {
	mu     sync.Mutex
	byPool map[string]map[string]executor.EndpointInfo
	poolOf map[string]string
}

func newEndpointTable() *endpointTable {
	return &endpointTable{byPool: map[string]map[string]executor.EndpointInfo{}, poolOf: map[string]string{}}
}

// apply applies records, which are all there are if reset is set, and returns the pools whose
// endpoints have changed. unusable is called for each entry that can't be read.
func (t *endpointTable) apply(reset bool, records []platform.Record, unusable func(topic string, err error)) (changed map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed = map[string]bool{}
	if reset {
		for pool := range t.byPool {
			changed[pool] = true
		}
		clear(t.byPool)
		clear(t.poolOf)
	}
	for _, r := range records {
		// An unreadable entry removes its endpoint: the endpoint gets no new
		// work, and its running tasks continue under their leases.
		t.remove(r.Key, changed)
		if len(r.Value) == 0 && !r.Damaged {
			continue
		}
		entry, err := platform.DecodeEndpoint(r)
		if err != nil {
			unusable(platform.TopicEndpoints, err)
			continue
		}
		t.add(r.Key, entry, changed)
	}
	return changed
}

func (t *endpointTable) remove(key string, changed map[string]bool) {
	if pool, known := t.poolOf[key]; known {
		changed[pool] = true
		delete(t.poolOf, key)
		delete(t.byPool[pool], key)
	}
}

func (t *endpointTable) add(key string, e platform.EndpointEntry, changed map[string]bool) {
	if t.byPool[e.Service] == nil {
		t.byPool[e.Service] = map[string]executor.EndpointInfo{}
	}
	changed[e.Service] = true
	t.poolOf[key] = e.Service
	t.byPool[e.Service][key] = executor.EndpointInfo{ID: e.ID, StartedMs: e.StartedMs, Addr: e.Addr, Zone: e.Zone, Kind: e.Kind, Rack: e.Rack, Draining: e.Draining, Clock: e.Clock,
		Capacity: executor.Resources{CPUMilli: e.Capacity.CPUMilli, MemoryMB: e.Capacity.MemoryMB, GPUs: e.Capacity.GPUs}}
}

// list returns the endpoints of a pool.
func (t *endpointTable) list(pool string) []executor.EndpointInfo {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]executor.EndpointInfo, 0, len(t.byPool[pool]))
	for _, info := range t.byPool[pool] {
		out = append(out, info)
	}
	return out
}
