package planner

import (
	"context"

	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/planlease"
)

// Release releases the lease if this process holds it, so that a successor
// starts at once rather than after the TTL. It is called when the process
// stops.
func (p *Planner) Release(ctx context.Context) error {
	var epoch uint64
	p.node.Do(func() {
		epoch = p.contender.Holds(p.node.Now())
		p.contender.Retire()
	})
	if epoch == 0 {
		return nil
	}
	_, err := p.node.Submit(ctx, fleetlog.KindLeaseRelease, epoch, planlease.Release{Epoch: epoch})
	return err
}
