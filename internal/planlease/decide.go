package planlease

import "time"

// Timing configures the lease. All durations are measured on a clock that keeps running while the
// machine is suspended.
type Timing struct {
	// TTL is how long a challenger waits without seeing a renewal before it claims.
	TTL time.Duration
	// RenewEvery is the holder's renewal interval; a third of TTL tolerates two lost renewals.
	RenewEvery time.Duration
	// Stagger is added per rank to a challenger's wait, so that usually only one of several
	// challengers appends a claim.
	Stagger time.Duration
}

// Action is what a contender should do now.
type Action uint8

const (
	ActWait Action = iota
	ActClaim
	ActRenew
)

// Contender decides when one process claims or renews the lease. It holds what this process
// observed on its own clock; State, which is folded from the log, names the holder.
type Contender struct {
	self, bootID string
	timing       Timing

	seenRenewed   uint64        // latest State.Renewed observed
	seenAt        time.Duration // own clock when seenRenewed was first observed
	sentAt        time.Duration // own clock just before the latest claim or renewal was sent
	confirmedAt   time.Duration // sentAt of the latest one that the fold accepted
	heldEpoch     uint64        // epoch held by this process, 0 if none
	appendPending bool          // a claim or renewal is in flight
}

// NewContender returns a contender for the process self in its boot bootID.
func NewContender(self, bootID string, timing Timing) *Contender {
	return &Contender{self: self, bootID: bootID, timing: timing}
}

// Observe updates the contender with the folded lease at time now on its own clock.
func (c *Contender) Observe(s State, now time.Duration) {
	if s.Renewed != c.seenRenewed || c.seenAt == 0 {
		c.seenRenewed, c.seenAt = s.Renewed, now
	}
	isHolder := s.Holder == c.self && s.BootID == c.bootID && !s.Released
	if !isHolder {
		c.heldEpoch = 0
		return
	}
	c.heldEpoch = s.Epoch
}

// AppendStarted records that a claim or renewal is about to be appended at now.
func (c *Contender) AppendStarted(now time.Duration) { c.sentAt, c.appendPending = now, true }

// AppendFinished records that the append announced by AppendStarted is no longer in flight: the
// fold has accepted or rejected its record, or the caller has given it up.
func (c *Contender) AppendFinished(accepted bool) {
	if accepted {
		// The lease is valid from the time before the append was sent. A challenger sees the
		// record later than that, so it waits until after the holder has stopped acting.
		c.confirmedAt = c.sentAt
	}
	c.appendPending = false
}

// Decide returns the action to take at now, given the folded lease. rank is this process's
// position among the challengers.
func (c *Contender) Decide(s State, rank int, now time.Duration) Action {
	c.Observe(s, now)
	if c.appendPending {
		return ActWait
	}
	if c.heldEpoch != 0 {
		if now-c.sentAt >= c.timing.RenewEvery {
			return ActRenew
		}
		return ActWait
	}
	wait := c.timing.TTL + time.Duration(rank)*c.timing.Stagger
	if s.Epoch == 0 || s.Released {
		wait = time.Duration(rank) * c.timing.Stagger
	}
	if now-c.seenAt >= wait {
		return ActClaim
	}
	return ActWait
}

// Holds returns the epoch under which this process may act at now, or 0. It must be called before
// every action: a process that was suspended for longer than its TTL then finds the lease expired
// by its own clock, even before it has read the successor's claim.
func (c *Contender) Holds(now time.Duration) uint64 {
	if c.heldEpoch == 0 || now-c.confirmedAt >= c.timing.TTL {
		return 0
	}
	return c.heldEpoch
}

// Retire makes the contender drop the lease and stop contending, before its process releases the
// lease and exits.
func (c *Contender) Retire() { c.heldEpoch, c.appendPending = 0, true }
