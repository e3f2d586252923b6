package planner

import (
	"time"

	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/fold"
	"cyclamenwheel/internal/planlease"
)

// contend claims or renews the lease.
func (p *Planner) contend(now time.Duration) {
	if !p.node.Joined() {
		return
	}
	lease := p.node.State().Lease
	self := p.node.Self()
	switch p.contender.Decide(lease, p.rank(), now) {
	case planlease.ActClaim:
		p.contender.AppendStarted(now)
		p.node.SubmitAsync(p.opts.Timing.TTL, fleetlog.KindLeaseClaim, 0,
			planlease.Claim{Follows: lease.Epoch, Renewed: lease.Renewed, Holder: self.ID, BootID: self.BootID}, p.leaseSettled)
	case planlease.ActRenew:
		p.contender.AppendStarted(now)
		p.node.SubmitAsync(p.opts.Timing.TTL, fleetlog.KindLeaseRenew, lease.Epoch,
			planlease.Renew{Epoch: lease.Epoch, Holder: self.ID, BootID: self.BootID}, p.leaseSettled)
	}
}

func (p *Planner) leaseSettled(v fold.Verdict, err error) {
	p.contender.AppendFinished(err == nil && v.Accepted)
	p.contender.Observe(p.node.State().Lease, p.node.Now())
	p.dirty = true
}

// rank orders challengers by id, so that one of them claims first.
func (p *Planner) rank() int {
	rank := 0
	for id := range p.node.State().Members.Members {
		if id < p.node.Self().ID {
			rank++
		}
	}
	return rank
}
