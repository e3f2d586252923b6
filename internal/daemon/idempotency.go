package daemon

import (
	"github.com/VictoriaMetrics/metrics"

	"cyclamenwheel/internal/entry"
	"cyclamenwheel/internal/idempotency"
	"cyclamenwheel/internal/settings"
)

// newCallerMetrics returns the registered metrics set of callers' requests,
// which /metrics includes.
func newCallerMetrics() *metrics.Set {
	set := metrics.NewSet()
	metrics.RegisterSet(set)
	return set
}

// newIdempotencyService creates the idempotency service and its connection to
// the fleet log's state. It registers handlers on the peer links, which must
// not have started yet.
func newIdempotencyService(d *Daemon, s settings.EntrySettings) (*entry.Keys, *idempotency.Service) {
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
