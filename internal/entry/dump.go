package entry

import "cyclamenwheel/internal/dispatch"

// View is the entry's part of the state dump.
type View struct {
	Generation uint64 `json:"generation"`
	// Pools holds the endpoints that get work, with the slots this entry may
	// use of each now.
	Pools map[string][]dispatch.Endpoint `json:"pools"`
	// Leaving counts requests in flight to instances that get no new work.
	Leaving map[string]int `json:"leaving"`
}

// Dump returns a function for the state dump; do runs a function in the
// control goroutine.
func (e *Entry) Dump(do func(func()) bool) func() any {
	return func() any {
		v := View{Pools: make(map[string][]dispatch.Endpoint), Leaving: make(map[string]int)}
		do(func() { e.fill(&v) })
		return v
	}
}

func (e *Entry) fill(v *View) {
	v.Generation = e.generation
	for _, id := range e.leaving {
		v.Leaving[id] = e.traffic.InFlight(id)
	}
	table, man := e.table.Load(), e.node.State().Manifest.Current()
	if table == nil || man == nil {
		return
	}
	for _, p := range man.Pools {
		v.Pools[p.Name] = table.Endpoints(p.Name)
	}
}
