package executor

import "time"

// endpoint returns the endpoint with this id, and adds it if it is unknown.
func (c *Core) endpoint(id string) *endpoint {
	e := c.endpoints[id]
	if e == nil {
		e = &endpoint{id: id, term: c.terms[id].next, restarted: c.terms[id].incarnationEnded, tasks: map[*task]bool{}}
		c.endpoints[id] = e
	}
	return e
}

// ObserveEndpoints applies the pool's complete list of endpoints from service discovery.
func (c *Core) ObserveEndpoints(now time.Duration, list []EndpointInfo) {
	for _, e := range c.endpoints {
		e.listed = false
	}
	shown := make(map[string]bool, len(list))
	endedShown := map[Incarnation]bool{}
	for _, info := range list {
		shown[info.ID] = true
		incarnation := Incarnation{info.ID, info.StartedMs}
		if _, ended := c.endedIncarnations[incarnation]; ended {
			endedShown[incarnation] = true
			continue
		}
		e := c.endpoint(info.ID)
		if info.StartedMs != 0 && info.StartedMs < e.startedMs {
			continue // entry of an earlier incarnation
		}
		c.observeIncarnation(now, e, info.StartedMs)
		e.listed, e.draining = true, info.Draining
		e.addr, e.zone, e.kind, e.rack = info.Addr, info.Zone, info.Kind, info.Rack
		e.capacity, e.capacityReportedAt = info.Capacity, info.Clock
		if e.draining {
			c.vacate(now, e)
		}
	}
	c.forgetPastIncarnations(now, shown, endedShown)
	for id, e := range c.endpoints {
		if !shown[id] && len(e.tasks) == 0 && !(e.vacating && now < e.vacateUntil) && !e.hasRecentAbandonedRuns(now) &&
			now >= max(e.earlierRunsUntil, c.earlierClockLeaseExpiry(e)) {
			c.forgetEndpoint(e, false)
		}
	}
}
