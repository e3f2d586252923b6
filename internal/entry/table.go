package entry

import (
	"maps"
	"slices"

	"cyclamenwheel/internal/dispatch"
	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/membership"
	"cyclamenwheel/internal/pools"
	"cyclamenwheel/internal/slots"
)

// servingByPool returns the serving instances by pool and records in notServing
// those that get no new requests.
func (e *Entry) servingByPool() map[string][]*pools.Instance {
	st := e.node.State()
	byPool := make(map[string][]*pools.Instance)
	e.notServing = e.notServing[:0]
	for _, id := range slices.Sorted(maps.Keys(st.Pools.Instances)) {
		in := st.Pools.Instances[id]
		switch {
		case in.Phase != pools.PhaseServing:
			e.notServing = append(e.notServing, id)
		case in.Pool != "":
			byPool[in.Pool] = append(byPool[in.Pool], in)
		}
	}
	return byPool
}

func (e *Entry) publishTable(man *manifest.Manifest, byPool map[string][]*pools.Instance) {
	endpoints := make(map[string][]dispatch.Endpoint, len(byPool))
	for pool, instances := range byPool {
		for _, in := range instances {
			if e.node.Live(in.ID) {
				endpoints[pool] = append(endpoints[pool], e.endpoint(in))
			}
		}
	}
	e.table.Store(dispatch.NewRouteTable(e.generation, man.Services, endpoints))
}

func (e *Entry) updateSharerInstances(byPool map[string][]*pools.Instance) {
	sets := make(map[string][]slots.Instance, len(byPool))
	for pool, instances := range byPool {
		for _, in := range instances {
			sets[pool] = append(sets[pool], slots.Instance{ID: in.ID, Slots: in.Slots})
		}
	}
	e.sharer.SetInstances(sets)
}

func (e *Entry) endpoint(in *pools.Instance) dispatch.Endpoint {
	ep := dispatch.Endpoint{
		Instance: in.ID, BootID: in.BootID, Addr: in.Addr, Zone: in.Zone,
		Slots: e.limits[in.ID], Connections: e.connectionShare(in),
	}
	// After a restart that the planner has not recorded yet, the instance list
	// already has the new boot id. It is used only if the platform lists the
	// instance in the same pool, so that a move in progress is not treated as
	// completed.
	if row := e.node.Listed(in.ID); row != nil && row.Pool == in.Pool && e.node.List().Version > e.node.State().Pools.List {
		ep.BootID, ep.Addr = row.BootID, row.Addr
	}
	return ep
}

// connectionShare returns this entry's even share of an endpoint's connections.
// Even division suffices because a connection is useful only with a slot, and
// there are eight times as many connections as slots.
func (e *Entry) connectionShare(in *pools.Instance) int {
	entries := len(e.node.State().Members.WithRole(membership.RoleEntry))
	return max(1, in.Connections/max(1, entries))
}
