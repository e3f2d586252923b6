package entry

import (
	"maps"

	"cyclamenwheel/internal/dispatch"
	"cyclamenwheel/internal/manifest"
)

// round divides the slots and puts a new route table in force, in the order
// that the sharer asks for: what is in flight is counted after the new limits
// have reached traffic.
func (e *Entry) round() {
	e.lastRound = e.node.Now()
	if !e.node.Joined() {
		e.stepOut()
		return
	}
	e.wasMember = true
	man := e.node.State().Manifest.Current()
	if man == nil {
		return
	}
	if e.dirty {
		e.byPool = e.servingByPool()
		e.shareSlots(e.byPool)
	}
	demand := e.noteDemand(man)
	limits := e.sharer.Publish()
	changed := e.dirty || !maps.Equal(limits, e.limits)
	e.settled = !changed && demand == 0
	if changed {
		e.limits, e.dirty = limits, false
		e.publishTable(man, e.byPool)
		e.traffic.RoutesChanged()
		e.noteBusy()              // before the record that took them out is acknowledged
		e.node.RequestHeartbeat() // loans offered, called back or confirmed
	}
	inFlight := e.traffic.InFlightAll()
	for id := range limits {
		e.sharer.SetInFlight(id, inFlight[id])
	}
}

// noteDemand tells the sharer what each pool's callers want, and returns the
// sum. More than this entry may use is told to the others soon: callers wait
// for it.
func (e *Entry) noteDemand(man *manifest.Manifest) (total int) {
	for i := range man.Pools {
		name := man.Pools[i].Name
		demand := e.traffic.Demand(name)
		total += demand
		e.sharer.SetDemand(name, demand)
		if table := e.table.Load(); table != nil && demand > slotsOf(table.Endpoints(name)) {
			e.node.RequestHeartbeat()
		}
	}
	return total
}

func slotsOf(endpoints []dispatch.Endpoint) int {
	n := 0
	for _, ep := range endpoints {
		n += ep.Slots
	}
	return n
}

// stepOut takes all routes away: handovers do not wait for a process that is
// no member, so it must not send anything.
func (e *Entry) stepOut() {
	if !e.wasMember || !e.dirty {
		return
	}
	e.dirty = false
	e.log.Warn("no longer a member: taking no work", "offset", e.node.State().Offset)
	e.table.Store(dispatch.NewClosedTable(e.generation))
	e.traffic.RoutesChanged()
}
