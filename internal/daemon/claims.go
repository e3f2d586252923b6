package daemon

import (
	"github.com/VictoriaMetrics/metrics"

	"cyclamenwheel/internal/entry"
	"cyclamenwheel/internal/idempotency"
	"cyclamenwheel/internal/settings"
)

// callerMetrics is the set of the callers' path, shown on /metrics with the
// rest.
func callerMetrics() *metrics.Set {
	set := metrics.NewSet()
	metrics.RegisterSet(set)
	return set
}

// newKeys joins the idempotency service to the fold. Its handlers are
// registered on the peer links, which have not started yet.
func newKeys(d *Daemon, s settings.EntrySettings) (*entry.Keys, *idempotency.Service) {
	keys := entry.NewKeys(d.Node, d.Platform)
	self := d.Node.Self()
	limits := idempotency.DefaultLimits
	limits.AppendsPerSecond = float64(s.AppendsPerSecond)
	service := idempotency.NewService(idempotency.Options{
		Self: idempotency.Member{ID: self.ID, BootID: self.BootID, Zone: self.Zone},
		Node: d.Peers, Table: keys, Journal: keys, Limits: limits, Logger: d.Log,
	})
	keys.Attach(service)
	return keys, service
}
