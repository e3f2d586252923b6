package planner

import (
	"time"

	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/fold"
	"cyclamenwheel/internal/planlease"
)

// claimOrRenewLease claims or renews the lease if that is due.
func (p *Planner) claimOrRenewLease(now time.Duration) {
	if !p.node.Joined() {
		return
	}
	lease := p.node.State().Lease
	self := p.node.Self()
	switch p.contender.Decide(lease, p.rank(), now) {
	case planlease.ActClaim:
		p.contender.AppendStarted(now)
		p.node.SubmitAsync(p.opts.Timing.TTL, fleetlog.KindLeaseClaim, 0,
			planlease.Claim{Follows: lease.Epoch, Renewed: lease.Renewed, Holder: self.ID, BootID: self.BootID}, p.leaseAppendDone)
	case planlease.ActRenew:
		p.contender.AppendStarted(now)
		p.node.SubmitAsync(p.opts.Timing.TTL, fleetlog.KindLeaseRenew, lease.Epoch,
			planlease.Renew{Epoch: lease.Epoch, Holder: self.ID, BootID: self.BootID}, p.leaseAppendDone)
	}
}

func (p *Planner) leaseAppendDone(v fold.Verdict, err error) {
	p.contender.AppendFinished(err == nil && v.Accepted)
	p.contender.Observe(p.node.State().Lease, p.node.Now())
	p.roundNeeded = true
}

// rank returns the number of members with a smaller id. Challengers wait
// longer the higher their rank, so that usually one of them claims first.
func (p *Planner) rank() int {
	rank := 0
	for id := range p.node.State().Members.Members {
		if id < p.node.Self().ID {
			rank++
		}
	}
	return rank
}
