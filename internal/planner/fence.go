package planner

import (
	"context"
	"time"

	"cyclamenwheel/internal/membership"
)

// fenceSilent asks the platform to stop an entry instance that holds a
// handover up: silent for FenceAfter, yet still listed. It may be frozen and
// wake at any time, so nothing may pass over it; once stopped it shows as gone
// and leaves the members.
//
// Two limits keep a planner that is itself cut off from stopping the fleet: it
// must hold the lease (hence reach the log), and only a minority of the
// entries may be silent to it.
func (p *Planner) fenceSilent(now time.Duration) {
	if p.opts.FenceAfter <= 0 {
		return
	}
	entries := p.node.State().Members.WithRole(membership.RoleEntry)
	var silent []membership.Member
	for _, m := range entries {
		if p.silence(m.ID) > p.opts.FenceAfter {
			silent = append(silent, m)
		}
	}
	if 2*len(silent) >= len(entries) {
		return
	}
	for _, m := range silent {
		if p.holdsUp(m) {
			p.fence(m, now)
		}
	}
}

// holdsUp reports whether others wait for the member: an operation, or the
// entries' division of slots, which changes only once all have acknowledged a
// change of the members.
func (p *Planner) holdsUp(m membership.Member) bool {
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
	if at, ok := p.asked[op]; ok && now-at < askAgainAfter {
		return
	}
	if p.contender.Holds(p.node.Now()) == 0 {
		return
	}
	p.asked[op] = now
	p.log.Warn("fencing a silent entry", "peer", m.ID, "instance", m.Instance)
	p.background(func(ctx context.Context) {
		if err := p.opts.Platform.Fence(ctx, m.Instance, op); err != nil {
			p.log.Warn("fence not taken", "instance", m.Instance, "error", err.Error())
		}
	})
}
