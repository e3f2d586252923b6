package entry

import "cyclamenwheel/internal/dispatch"

// View is the entry's part of the state dump.
type View struct {
	Generation uint64 `json:"generation"`
	// Pools holds the endpoints that get requests, with the number of slots that
	// this entry may currently use of each.
	Pools map[string][]dispatch.Endpoint `json:"pools"`
	// Leaving counts, by instance, requests in flight to instances that get no
	// new requests.
	Leaving map[string]int `json:"leaving"`
}

// Dump returns a function that collects the View for the state dump. runInLoop
// runs a function in the control goroutine.
func (e *Entry) Dump(runInLoop func(func()) bool) func() any {
	return func() any {
		v := View{Pools: make(map[string][]dispatch.Endpoint), Leaving: make(map[string]int)}
		runInLoop(func() { e.fillView(&v) })
		return v
	}
}

func (e *Entry) fillView(v *View) {
	v.Generation = e.generation
	for _, id := range e.notServing {
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
