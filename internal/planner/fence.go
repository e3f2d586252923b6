package planner

import (
	"context"
	"time"

	"cyclamenwheel/internal/membership"
)

// fenceUnresponsive asks the platform to stop entry instances that block
// progress: without a report for longer than FenceAfter, yet still listed. Such
// an entry may be frozen and resume at any time, so its acknowledgement can't
// be skipped; once it is stopped, the platform lists it as gone and it leaves
// the members.
//
// Two limits prevent a planner that is itself partitioned from stopping the
// fleet: it must hold the lease (and therefore reach the log), and only a
// minority of the entries may be unresponsive to it.
func (p *Planner) fenceUnresponsive(now time.Duration) {
	if p.opts.FenceAfter <= 0 {
		return
	}
	entries := p.node.State().Members.WithRole(membership.RoleEntry)
	var unresponsive []membership.Member
	for _, m := range entries {
		if p.sinceLastReport(m.ID) > p.opts.FenceAfter {
			unresponsive = append(unresponsive, m)
		}
	}
	if 2*len(unresponsive) >= len(entries) {
		return
	}
	for _, m := range unresponsive {
		if p.blocksProgress(m) {
			p.fence(m, now)
		}
	}
}

// blocksProgress reports whether anything waits for the member: an operation,
// or the division of slots among the entries, which changes only once all have
// acknowledged a change of the members.
func (p *Planner) blocksProgress(m membership.Member) bool {
	for _, pr := range p.progress {
		for _, w := range pr.Waiting {
			if w.Member == m.ID {
				return true
			}
		}
	}
	h := p.node.PeerReports()[m.ID]
	return h == nil || h.Identity.BootID != m.BootID || h.Heartbeat.Acked < p.node.State().Members.Version
}

func (p *Planner) fence(m membership.Member, now time.Duration) {
	op := "fence-" + m.BootID
	if at, ok := p.requestedAt[op]; ok && now-at < requestRetryInterval {
		return
	}
	if p.contender.Holds(p.node.Now()) == 0 {
		return
	}
	p.requestedAt[op] = now
	p.log.Warn("fencing an unresponsive entry", "peer", m.ID, "instance", m.Instance)
	p.background(func(ctx context.Context) {
		if err := p.opts.Platform.Fence(ctx, m.Instance, op); err != nil {
			p.log.Warn("fence request failed", "instance", m.Instance, "error", err.Error())
		}
	})
}
