package entry

import (
	"maps"

	"cyclamenwheel/internal/dispatch"
	"cyclamenwheel/internal/manifest"
)

// round divides the slots and publishes a new route table if anything changed.
// As the sharer requires, requests in flight are counted after the traffic path
// has received the new limits.
func (e *Entry) round() {
	e.lastRound = e.node.Now()
	if !e.node.Joined() {
		e.withdrawRoutes()
		return
	}
	e.wasMember = true
	man := e.node.State().Manifest.Current()
	if man == nil {
		return
	}
	if e.dirty {
		e.byPool = e.servingByPool()
		e.updateSharerInstances(e.byPool)
	}
	demand := e.reportDemand(man)
	limits := e.sharer.Publish()
	changed := e.dirty || !maps.Equal(limits, e.limits)
	e.idle = !changed && demand == 0
	if changed {
		e.limits, e.dirty = limits, false
		e.publishTable(man, e.byPool)
		e.traffic.RoutesChanged()
		e.updateBusy()            // before acknowledging the record that removed the instances
		e.node.RequestHeartbeat() // slot loans offered, recalled or confirmed
	}
	inFlight := e.traffic.InFlightAll()
	for id := range limits {
		e.sharer.SetInFlight(id, inFlight[id])
	}
}

// reportDemand reports the demand for each pool to the sharer and returns the
// sum. If demand exceeds this entry's slots, peers are sent a heartbeat
// immediately, as callers are waiting.
func (e *Entry) reportDemand(man *manifest.Manifest) (total int) {
	for i := range man.Pools {
		name := man.Pools[i].Name
		demand := e.traffic.Demand(name)
		total += demand
		e.sharer.SetDemand(name, demand)
		if table := e.table.Load(); table != nil && demand > totalSlots(table.Endpoints(name)) {
			e.node.RequestHeartbeat()
		}
	}
	return total
}

func totalSlots(endpoints []dispatch.Endpoint) int {
	n := 0
	for _, ep := range endpoints {
		n += ep.Slots
	}
	return n
}

// withdrawRoutes removes all routes of an entry that is no longer a member.
// Handovers don't wait for a process that is not a member, so it must not send
// requests to endpoints.
func (e *Entry) withdrawRoutes() {
	if !e.wasMember || !e.dirty {
		return
	}
	e.dirty = false
	e.log.Warn("no longer a member; all routes withdrawn", "offset", e.node.State().Offset)
	e.table.Store(dispatch.NewClosedTable(e.generation))
	e.traffic.RoutesChanged()
}
